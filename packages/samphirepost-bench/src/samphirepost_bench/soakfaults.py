"""The soak's faults: each begins, lasts a while, and ends."""

import time

from samphirepost_bench import memorystore
from samphirepost_bench import streamengine

# How long a planned stop may take (s): the platform kills after its grace.
STOP_S = 8.0
READY_S = 30.0
POLL_S = 0.05

_ENGINE_FAULTS = (
    streamengine.Fault.REFUSE,
    streamengine.Fault.CUT,
    streamengine.Fault.CUT_EVENT,
    streamengine.Fault.SILENT,
    streamengine.Fault.CROSS,
)


class Fault:
    """One fault at one thing; `where` names it in the trace.

    `begin` and `end` are called once each, unless the fault is not `placed`:
    then all that it could strike is taken by others. A fault that `spares`
    touches neither daemons nor the store.
    """

    spares = False

    def __init__(self, fleet, draw):
        self.fleet = fleet
        self.draw = draw
        self.where = ""
        self.placed = True

    def __str__(self):
        return f"{type(self).__name__} {self.where}"

    def begin(self):
        """Brings the fault about."""

    def end(self):
        """Takes the fault away."""

    def take(self, things):
        """Returns one that no other fault has taken, if there is one."""
        free = [one for one in things if one.name not in self.fleet.taken]
        if not free:
            self.placed = False
            return None
        found = self.draw.choice(free)
        self.where = found.name
        self.fleet.taken.add(found.name)
        return found

    def release(self):
        """Lets other faults take it."""
        self.fleet.taken.discard(self.where)


class AtDaemon(Fault):
    """A fault at a daemon that no other fault has taken."""

    def __init__(self, fleet, draw):
        super().__init__(fleet, draw)
        self.daemon = self.take(fleet.daemons)


class DaemonKill(AtDaemon):
    """A VM loses power, and comes back."""

    def begin(self):
        """Kills the process."""
        self.daemon.process.kill()

    def end(self):
        """Starts it again."""
        self.daemon.start()
        self.release()


class DaemonPause(AtDaemon):
    """A VM stands still."""

    def begin(self):
        """Stops the process."""
        self.daemon.process.freeze()

    def end(self):
        """Lets it go on."""
        self.daemon.process.thaw()
        self.release()


class DaemonStop(AtDaemon):
    """A planned stop: what was read is answered first."""

    def begin(self):
        """Asks the process to stop."""
        self.daemon.process.terminate()

    def end(self):
        """Starts it again once it has ended, or its grace is over."""
        until_s = time.monotonic() + STOP_S
        while self.daemon.process.alive and time.monotonic() < until_s:
            time.sleep(POLL_S)
        if self.daemon.process.alive:
            self.daemon.process.kill()
        self.daemon.start()
        self.release()


class SettingsChanged(AtDaemon):
    """The settings file changes a few times in a row."""

    def begin(self):
        """Tells the process so, three times."""
        for _ in range(3):
            self.daemon.hang_up()

    def end(self):
        """Lets other faults take the daemon."""
        self.release()


class StoreDown(Fault):
    """The store refuses all calls."""

    def begin(self):
        """Turns the store off."""
        self.fleet.store.down = True

    def end(self):
        """Turns it on."""
        self.fleet.store.down = False


class StoreAnswersLost(Fault):
    """The next writes take effect, some of them later, and go unanswered."""

    def begin(self):
        """Marks the next writes."""
        kinds = (memorystore.LOSE, memorystore.LATE, memorystore.REFUSE)
        rows = self.fleet.store.rows
        rows.faults.extend(self.draw.choice(kinds) for _ in range(6))

    def end(self):
        """Lets the late writes take effect."""
        self.fleet.store.rows.faults.clear()
        self.fleet.store.rows.settle()


class StoreCut(AtDaemon):
    """One daemon loses the store: no new connections, silent old ones."""

    def begin(self):
        """Cuts the path."""
        self.daemon.store_proxy.refusing = True
        self.daemon.store_proxy.silence()

    def end(self):
        """Heals it; what hung is reset."""
        self.daemon.store_proxy.refusing = False
        self.fleet.proxies.cut(self.daemon.store_proxy)
        self.release()


class StoreOneWay(AtDaemon):
    """The store hears one daemon, which does not hear the store."""

    def begin(self):
        """Drops the answers."""
        self.daemon.store_proxy.answers_lost = True

    def end(self):
        """Lets answers pass."""
        self.daemon.store_proxy.answers_lost = False
        self.release()


class StoreSlow(Fault):
    """Every call of the store takes longer."""

    def begin(self):
        """Delays what passes to the store and back."""
        for daemon in self.fleet.daemons:
            daemon.store_proxy.delay_s = 0.15

    def end(self):
        """Takes the delay away."""
        for daemon in self.fleet.daemons:
            daemon.store_proxy.delay_s = 0.0


class AtEngine(Fault):
    """A fault at one engine."""

    spares = True

    def __init__(self, fleet, draw):
        super().__init__(fleet, draw)
        self.engine = draw.choice(fleet.engines)
        self.where = self.engine.name


class EngineCut(AtEngine):
    """An engine can not be reached; its open connections are reset."""

    def begin(self):
        """Cuts the engine off."""
        self.proxy = self.engine.proxy
        self.proxy.refusing = True
        self.fleet.proxies.cut(self.proxy)

    def end(self):
        """Lets it be reached."""
        self.proxy.refusing = False


class EngineSilence(AtEngine):
    """An engine's open connections go silent, new ones work."""

    def begin(self):
        """Silences what is open."""
        self.engine.proxy.silence()


class EngineSpoils(AtEngine):
    """An engine refuses, cuts, mixes up or hangs its next requests."""

    def begin(self):
        """Marks the next requests."""
        faults = self.engine.current.faults
        faults.extend(self.draw.choice(_ENGINE_FAULTS) for _ in range(4))

    def end(self):
        """Takes back what was not used."""
        self.engine.current.faults.clear()


class AtEntry(Fault):
    """A fault that changes an engine's entry, one at a time."""

    spares = True

    def __init__(self, fleet, draw):
        super().__init__(fleet, draw)
        self.engine = self.take(fleet.engines)


class EngineDrains(AtEntry):
    """An engine says that it leaves, and stays after all."""

    def begin(self):
        """Says so."""
        self.since_s = self.engine.announce("draining")

    def end(self):
        """Takes work again."""
        self.engine.announce("ready")
        self.release()


class EngineReborn(AtEntry):
    """An engine crashes and starts again under its id, elsewhere."""

    def begin(self):
        """Ends the one incarnation and starts the next."""
        self.engine.proxy.refusing = True
        self.fleet.proxies.cut(self.engine.proxy)
        self.engine.restart()

    def end(self):
        """Lets other faults take the engine."""
        self.release()


class TablesChange(Fault):
    """Versions of the tables come in quick succession."""

    spares = True

    def begin(self):
        """Writes three versions."""
        for _ in range(3):
            self.fleet.configure(timeoutMs=self.draw.choice([4000, 5000]))


KINDS = (
    DaemonKill,
    DaemonPause,
    DaemonStop,
    SettingsChanged,
    StoreDown,
    StoreAnswersLost,
    StoreCut,
    StoreOneWay,
    StoreSlow,
    EngineCut,
    EngineSilence,
    EngineSpoils,
    EngineDrains,
    EngineReborn,
    TablesChange,
)


class Entry:
    """One line of the trace: what was wrong from when until when (s)."""

    __slots__ = ("begin_s", "end_s", "fault")

    def __init__(self, fault, begin_s):
        self.fault = fault
        self.begin_s = begin_s
        self.end_s = None


class Trace:
    """All faults of a run, in order."""

    def __init__(self, start_s):
        self.start_s = start_s
        self.entries = []

    def calm(self, begin_s, end_s):
        """Whether daemons and store were untouched in this span."""
        return not any(
            one.begin_s <= end_s
            and (one.end_s is None or one.end_s >= begin_s)
            for one in self.entries
            if not one.fault.spares
        )

    def lines(self):
        """Returns the trace as text."""
        found = []
        for one in self.entries:
            end = "end" if one.end_s is None else f"{self.at(one.end_s):.2f}"
            span = f"{self.at(one.begin_s):7.2f} to {end:>6} s"
            found.append(f"{span}  {one.fault}")
        return found

    def at(self, instant_s):
        """Returns the time of an instant since the run began (s)."""
        return instant_s - self.start_s
