"""Watches this daemon's paths to the engines, and finds who is at fault.

A request whose connection failed, fell silent or was closed reports it here
and goes on; the thread finds out, by connections of its own and with peers,
whether the engine or the path to it is at fault.
"""

import collections
import queue
import random
import threading
import time

import msgspec

from samphirepost import enginepaths
from samphirepost_daemon.entry import crashprobe
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import enginestatus
from samphirepost_daemon.entry import tunnel

# Half of a short latency objective: an attempt at another engine can still
# be in time. A sound engine accepts within a few milliseconds.
CONNECT_TIMEOUT_S = 0.15
# Time for a peer to connect to an engine and to test its path (s).
PEER_TIMEOUT_S = 2 * CONNECT_TIMEOUT_S + 0.1
# In place of a LostRun: an engine was not reached, so a test will be due.
WAKE_UP = None
# Peers that are asked about an engine, one after the other.
PEERS_ASKED_MAX = 2


class Crash(msgspec.Struct, frozen=True):
    """A request that was lost with its engine before its answer had begun."""

    request: str
    parts: tuple[str, ...]
    has_head: bool


class LostRun(msgspec.Struct, frozen=True):
    """A run whose connection to its engine failed, fell silent or closed.

    `unreached` if no connection could be opened. With `crash`, the request
    may have crashed the engine. `lost_s` is the monotonic time of the loss.
    """

    engine: object
    unreached: bool
    crash: Crash | None = None
    lost_s: float = msgspec.field(default_factory=time.monotonic)


class PathMonitor(threading.Thread):
    """Knows which engines this daemon reaches; tests the others again.

    `peer_addresses()` returns the addresses of the other daemons by VM id.
    """

    def __init__(self, parts, peer_addresses):
        super().__init__(daemon=True, name="paths")
        self._parts = parts
        self._peer_addresses = peer_addresses
        self._paths = enginepaths.EnginePaths()
        self._lost = queue.SimpleQueue()
        self._is_doubtful = False
        self._undecided = collections.defaultdict(list)
        self._probe = crashprobe.CrashProbe(parts, self._decide_crash)

    # Called by the threads of requests.

    @property
    def is_doubtful(self):
        """Whether this daemon may reach no engine itself."""
        return self._paths.is_doubtful

    @property
    def is_stranded(self):
        """Whether this daemon reaches no engine itself."""
        return self._paths.is_stranded(len(self._parts.state.roster))

    def is_unreached(self, engine_id):
        """Whether the last connection to an engine failed."""
        return self._paths.is_unreached(engine_id)

    def unreached(self):
        """Returns the ids of the engines that are not reached."""
        return self._paths.unreached()

    def dial(self, engine):
        """Returns a socket connected to an engine; raises OSError.

        What this tells of the path is recorded.
        """
        try:
            sock = self._parts.dialer(engine.address, CONNECT_TIMEOUT_S)
        except OSError:
            self._paths.record_unreached(engine.id, time.monotonic())
            self._publish()
            # The thread may wait without a time limit.
            self._lost.put(WAKE_UP)
            raise
        if self._paths.record_reached(engine.id, time.monotonic()):
            self._parts.log.event("path.restored", engine=engine.id)
        self._publish()
        return sock

    def open(self, call, engine, through, order, request):
        """Sends a request on a Call, through a peer's address unless empty.

        `order` is the RelayOrder for the peer; see Call.send_relayed() for
        `request`. Returns None, or CallFailure.
        """
        if not through:
            return call.connect(self.dial, engine) or call.send(*request)
        failure = call.connect_peer(through, CONNECT_TIMEOUT_S)
        if failure is None:
            failure = call.send_relayed(order, PEER_TIMEOUT_S, request)
        label = "opened" if failure is None else "failed"
        self._parts.metrics.relayed.labels("own", label).inc()
        return failure

    def choose_peer(self, excluded, draw=random.choice):
        """Returns the address of a peer to go through, or ""."""
        addresses = [
            f"{host}:{port}"
            for host, port in self._peer_addresses().values()
            if f"{host}:{port}" not in excluded
        ]
        return draw(addresses) if addresses else ""

    def report_lost(self, lost_run):
        """Has the thread find out why a LostRun ended."""
        self._lost.put(lost_run)

    def _publish(self):
        """Tells the hub at once when this daemon begins or ends to doubt."""
        is_doubtful = self._paths.is_doubtful
        if is_doubtful != self._is_doubtful:
            self._is_doubtful = is_doubtful
            self._parts.metrics.path_doubts.set(is_doubtful)
            self._parts.log.event(
                "paths.doubtful" if is_doubtful else "paths.trusted",
                unreached=self._paths.unreached(),
                stranded=self.is_stranded,
            )
            self._parts.slots.report()

    # The thread.

    def run(self):
        """Diagnoses lost runs and tests paths until the process exits."""
        while True:
            try:
                self.work()
            except Exception as exc:
                self._parts.log.failure(
                    "fault", where="paths", error=repr(exc)
                )

    def work(self):
        """Waits for lost runs, or until a test is due, and does the work."""
        for runs in self._take_lost().values():
            self._diagnose(runs)
        self._test_unreached()

    def _take_lost(self):
        """Waits for the first LostRun; returns all that wait, by engine."""
        wait_s = None
        if self._paths.unreached():
            wait_s = enginepaths.TEST_INTERVAL_S / 2
        found = collections.defaultdict(list)
        try:
            lost_run = self._lost.get(timeout=wait_s)
            while True:
                if lost_run is not WAKE_UP:
                    found[lost_run.engine.id].append(lost_run)
                lost_run = self._lost.get_nowait()
        except queue.Empty:
            return found

    def _diagnose(self, runs):
        """Finds out why runs at one engine were lost."""
        engine = runs[-1].engine
        is_reached = (
            not self.is_stranded
            and not runs[-1].unreached
            and self._test(engine)
        )
        fault = enginepaths.Fault.ENGINE
        if not is_reached:
            reaches_others = self.reaches_others(engine.id)
            sight = self._ask_peers(engine)
            fault = self._paths.judge(engine.id, reaches_others, sight)
            self._publish()
        self._parts.log.event(
            "path.judged",
            engine=engine.id,
            fault=fault.value,
            runs=len(runs),
            reached=is_reached,
            unreached=self._paths.unreached(),
        )
        if fault is enginepaths.Fault.PATH:
            self._parts.load_tracker.record_success(engine.id)
        if is_reached:
            self._blame_if_ended(runs)
        elif fault is enginepaths.Fault.ENGINE:
            self._blame(runs)
        elif fault is enginepaths.Fault.UNKNOWN:
            self._undecided[engine.id] += runs

    def _blame_if_ended(self, runs):
        """Has the crash found out of an engine that is reached.

        An engine that lives on is at fault all the same, but has not crashed.
        """
        self._blame([one for one in runs if one.crash is None])
        doubtful = [one for one in runs if one.crash is not None]
        if doubtful:
            self._probe.ask(doubtful)

    def _decide_crash(self, runs, life):
        """Blames an engine for lost runs by the Life that it was found in.

        Without a report it counts as crashed: a sound one gives it in time.
        """
        if not runs:
            return
        self._parts.log.event(
            "crash.judged",
            engine=runs[-1].engine.id,
            started_ms=runs[-1].engine.started_ms,
            life=life.value,
            runs=len(runs),
        )
        if life is enginestatus.Life.UNREACHED:
            for lost_run in runs:
                self.report_lost(
                    msgspec.structs.replace(lost_run, unreached=True)
                )
        elif life is enginestatus.Life.RUNNING:
            self._blame(
                [msgspec.structs.replace(one, crash=None) for one in runs]
            )
        else:
            self._blame(runs)

    def _blame(self, runs):
        """Reports that an engine was at fault for lost runs."""
        for lost_run in runs:
            engine, crash = lost_run.engine, lost_run.crash
            self._parts.slots.record_engine_failure(engine.id)
            if crash is not None:
                self._parts.slots.record_crash(
                    engine,
                    crash.request,
                    crash.parts,
                    crash.has_head,
                    lost_run.lost_s,
                )

    def _decide_later(self):
        """Blames engines that are gone for runs whose loss was not explained.

        One that is reached again was not at fault.
        """
        for engine_id in list(self._undecided):
            engine = self._parts.state.roster.get(engine_id)
            if engine is None:
                self._blame(self._undecided.pop(engine_id))
            elif not self._paths.is_unreached(engine_id):
                del self._undecided[engine_id]

    def _test(self, engine):
        """Returns whether a connection to an engine can be opened."""
        try:
            self.dial(engine).close()
        except OSError:
            return False
        return True

    def reaches_others(self, engine_id):
        """Returns whether this daemon reaches engines but for one.

        Tests one that is not known to be unreached, unless it is known.
        """
        if self.is_stranded:
            return False
        others = [
            engine
            for engine in self._parts.state.roster.usable()
            if engine.id != engine_id
            and not self._paths.is_unreached(engine.id)
        ]
        return bool(others) and self._test(random.choice(others))

    def _test_unreached(self):
        """Tests engines again that were not reached, until one fails."""
        roster = self._parts.state.roster
        self._paths.retain([engine.id for engine in roster.usable()])
        self._publish()
        while True:
            engine_id = self._paths.next_to_test(time.monotonic())
            engine = roster.get(engine_id) if engine_id else None
            if engine is None:
                break
            if not self._test(engine):
                if self.is_doubtful:
                    self.reaches_others(engine.id)
                break
        self._decide_later()

    def _ask_peers(self, engine):
        """Returns the Sight of an engine that peers have."""
        asked = set()
        for _ in range(PEERS_ASKED_MAX):
            address = self.choose_peer(asked)
            if not address:
                break
            asked.add(address)
            found = self._ask_peer(address, engine)
            if found is not enginepaths.Sight.UNKNOWN:
                return found
        return enginepaths.Sight.UNKNOWN

    def _ask_peer(self, address, engine):
        order = tunnel.RelayOrder(engine.id, PEER_TIMEOUT_S)
        call = engineclient.Call()
        try:
            failure = self.open(call, engine, address, order, None)
        finally:
            call.close()
        if failure is None:
            return enginepaths.Sight.REACHED
        if failure.unreached:
            return enginepaths.Sight.UNREACHED
        return enginepaths.Sight.UNKNOWN
