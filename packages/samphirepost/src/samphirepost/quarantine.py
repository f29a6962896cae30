"""Finds the parts of prompts that crash engines, and keeps them from engines.

Requests share parts of their prompts. If each engine that begins to answer a
request with a certain part crashes, the daemons must stop sending requests
with it, but not the sound requests that were at the same engines or share
other parts with it. Each daemon reports the requests that it lost before
their answers had begun; the hub judges the parts. All instants are monotonic
seconds of the daemon that holds them.
"""

import collections
import threading

import msgspec

from samphirepost import slotmessages

# Crashed engines under one part before it is quarantined. A sound part that
# few requests have may be at two engines that crash for another reason.
CRASHES_MIN = 3
# Crashes of engines under a part to which answers had begun count once in this
# time (s): engines that are lost together had such parts by chance.
SEPARATE_S = 1.0
# Crashes and begun answers are remembered for this long (s).
MEMORY_S = 60.0
# Crashes that a daemon remembers, the parts whose answers had begun, and the
# crashed engines that the hub remembers.
OWN_CRASHES_MAX = 32
BEGUN_PARTS_MAX = 4096
# Parts in the crashes of one report, which has to fit into a datagram.
REPORTED_PARTS_MAX = 256
CRASHED_ENGINES_MAX = 256
# A crash is reported for this long (s), as a report may be lost.
REPORT_S = 2.0
# Suspects that the hub tells the daemons, most crashes first.
SUSPECTS_MAX = 32
# Time (s) from the first suspicion of a part to its quarantine, in which the
# daemons report whether answers to it have begun.
SETTLE_S = 0.25
# An engine at which a run succeeds within this time (s) after its supposed
# crash has not crashed: a new process takes longer to start. Within the
# shorter time, the success may be older than the crash.
ALIVE_MIN_S = 0.1
ALIVE_MAX_S = 1.0
# The first quarantine of a part, doubled each time up to the longest one (s).
QUARANTINE_S = 60.0
QUARANTINE_MAX_S = 3600.0
# Interval between probes of a part whose quarantine is over (s).
PROBE_INTERVAL_S = 5.0
# A row whose quarantine has been over for this long (s) is deleted.
FORGET_S = 3600.0
# A part that the hub announced stays quarantined for this long (s) after the
# last announcement, until it is read from the store.
ANNOUNCED_S = 2.0


def duration_s(strikes):
    """Returns how long the quarantine with this number lasts (s)."""
    doublings = min(strikes - 1, 16)
    return min(QUARANTINE_S * 2**doublings, QUARANTINE_MAX_S)


class OwnCrash:
    """A request that this daemon lost before its answer had begun."""

    __slots__ = ("at_s", "engine", "has_head", "parts", "report_until_s")

    def __init__(self, engine, parts, has_head, now_s):
        self.engine = engine
        self.parts = parts
        self.has_head = has_head
        self.at_s = now_s
        self.report_until_s = now_s + REPORT_S


class Observations:
    """What one daemon saw of the parts of prompts; thread-safe."""

    __slots__ = ("_begun_s", "_crashes", "_lock")

    def __init__(self):
        self._lock = threading.Lock()
        self._begun_s = {}
        self._crashes = collections.deque(maxlen=OWN_CRASHES_MAX)

    def record_begun(self, parts, now_s):
        """Records that an answer to a prompt with these parts has begun."""
        with self._lock:
            for part in parts:
                self._begun_s.pop(part, None)
                self._begun_s[part] = now_s
            while len(self._begun_s) > BEGUN_PARTS_MAX:
                del self._begun_s[next(iter(self._begun_s))]

    def record_crash(self, engine, parts, has_head, now_s):
        """Records that an engine ended before the answer had begun.

        `has_head` tells whether the head of the answer had arrived.
        """
        with self._lock:
            self._crashes.append(OwnCrash(engine, parts, has_head, now_s))

    def report_again(self, now_s):
        """Has all crashes reported once more, to a new hub."""
        with self._lock:
            for crash in self._crashes:
                crash.report_until_s = now_s + REPORT_S

    def crashes(self, now_s):
        """Returns the slotmessages.Crash entries to report.

        The newest come first, with REPORTED_PARTS_MAX parts at most.
        """
        found = []
        part_count = 0
        with self._lock:
            for crash in reversed(self._crashes):
                if now_s >= min(crash.report_until_s, crash.at_s + MEMORY_S):
                    continue
                part_count += len(crash.parts)
                if part_count > REPORTED_PARTS_MAX:
                    break
                found.append(
                    slotmessages.Crash(
                        crash.engine.id,
                        crash.engine.started_ms,
                        crash.parts,
                        crash.has_head,
                        round(now_s - crash.at_s, 3),
                    )
                )
        return tuple(found)

    def begun(self, parts, now_s):
        """Returns slotmessages.Begun entries for those parts that began."""
        with self._lock:
            return tuple(
                slotmessages.Begun(part, round(now_s - self._begun_s[part], 3))
                for part in parts
                if now_s - self._begun_s.get(part, -MEMORY_S) < MEMORY_S
            )


class Quarantined(msgspec.Struct, frozen=True):
    """A part in quarantine until `until_s`, since `since_s`.

    Once it is over, one request at a time may probe the part.
    """

    since_s: float
    until_s: float
    strikes: int


class Blocked(msgspec.Struct, frozen=True):
    """No request with this part may run before `left_s` have passed."""

    part: str
    left_s: float


class Probation(msgspec.Struct, frozen=True):
    """The part's quarantine is over; the hub decides who may probe it."""

    part: str


class Quarantine:
    """The parts that one daemon keeps from engines.

    They are stored by the hub that decided, and announced by it meanwhile.
    """

    __slots__ = ("_announced", "_stored")

    def __init__(self):
        self._announced = {}
        self._stored = {}

    def replace(self, stored):
        """Replaces all stored parts, a dict of Quarantined by part."""
        self._stored = dict(stored)

    def put(self, part, quarantined):
        """Adds or replaces a stored part."""
        self._stored = {**self._stored, part: quarantined}

    def remove(self, part):
        """Removes a stored part."""
        self._stored = {k: v for k, v in self._stored.items() if k != part}

    def announce(self, parts, now_s):
        """Applies an announcement of the hub."""
        until_s = now_s + ANNOUNCED_S
        announced = {
            part: one for part, one in self._announced.items() if one > now_s
        }
        self._announced = announced | dict.fromkeys(parts, until_s)

    def check(self, parts, now_s):
        """Returns Blocked, Probation, or None if the parts may be sent."""
        if self.is_empty:
            return None
        on_probation = None
        for part in parts:
            stored = self._stored.get(part)
            if stored is not None and now_s < stored.until_s:
                return Blocked(part, stored.until_s - now_s)
            if now_s < self._announced.get(part, 0.0):
                return Blocked(part, QUARANTINE_S)
            if stored is not None:
                on_probation = Probation(part)
        return on_probation

    @property
    def is_empty(self):
        """Whether no part is quarantined."""
        return not self._stored and not self._announced

    def get(self, part):
        """Returns the stored Quarantined of a part, or None."""
        return self._stored.get(part)

    @property
    def stored_parts(self):
        """The stored parts, also those whose quarantine is over."""
        return tuple(self._stored)

    def forgotten(self, now_s):
        """Returns the stored parts whose rows are no longer needed."""
        return [
            part
            for part, one in self._stored.items()
            if now_s > one.until_s + FORGET_S
        ]


class CrashedEngine:
    """An engine that ended at `at_s`, and the parts that may be the cause.

    `positions` has, by part, its position in the prompt; `answered` those
    whose requests the engine had begun to answer. It is `explained` once a
    quarantined part is the cause, or if it has not crashed after all.
    """

    __slots__ = ("answered", "at_s", "explained", "positions")

    def __init__(self, at_s):
        self.at_s = at_s
        self.positions = {}
        self.answered = set()
        self.explained = False

    def explain(self):
        """Clears all parts of the suspicion."""
        self.explained = True
        self.positions = {}
        self.answered = set()


class Judge:
    """Decides at the hub which parts crash engines.

    A part is quarantined after CRASHES_MIN crashes since an answer to it last
    began. Among several, a part to which no answer has begun is taken for the
    cause, and rather one whose requests the engines had begun to answer; it
    clears the other parts at these engines. `quarantine` is the Quarantine of
    the hub's own daemon.
    """

    __slots__ = (
        "_begun_s",
        "_by_engine",
        "_crashed",
        "_probed_s",
        "_quarantine",
        "_suspected_s",
        "_suspects",
        "cleared_count",
        "decided",
    )

    def __init__(self, quarantine):
        self.cleared_count = 0
        self._quarantine = quarantine
        self._crashed = {}
        self._by_engine = {}
        self._begun_s = {}
        self._suspected_s = {}
        self._suspects = None
        self._probed_s = {}
        self.decided = {}

    # Evidence.

    def apply_crash(self, crash, now_s):
        """Applies a slotmessages.Crash; returns whether a part is new."""
        at_s = now_s - crash.age_s
        key = (crash.engine, crash.started_ms)
        crashed = self._crashed.get(key)
        if crashed is None:
            crashed = self._crashed[key] = CrashedEngine(at_s)
            self._by_engine[crash.engine] = crashed
        self._suspects = None
        if any(self._is_blocked(part, now_s) for part in crash.parts):
            crashed.explain()
        if crashed.explained:
            return False
        is_new = False
        for position, part in enumerate(crash.parts):
            if self._begun_s.get(part, -MEMORY_S) > at_s:
                continue
            crashed.positions[part] = max(
                position, crashed.positions.get(part, 0)
            )
            if crash.has_head:
                crashed.answered.add(part)
            if part not in self._suspected_s:
                self._suspected_s[part] = now_s
                is_new = True
        return is_new

    def _is_blocked(self, part, now_s):
        if part in self.decided:
            return True
        stored = self._quarantine.get(part)
        return stored is not None and now_s < stored.until_s

    def apply_begun(self, begun, now_s):
        """Applies a slotmessages.Begun; returns whether it lifts a quarantine.

        An answer that began after a crash shows that the part has not caused
        that crash. `cleared_count` counts the crashes it was suspected of.
        """
        part = begun.part
        at_s = max(
            now_s - begun.age_s, self._begun_s.get(part, now_s - MEMORY_S)
        )
        self._begun_s[part] = at_s
        self._suspects = None
        for crashed in self._crashed.values():
            if at_s > crashed.at_s and part in crashed.positions:
                del crashed.positions[part]
                self.cleared_count += 1
        known = self.decided.get(part) or self._quarantine.get(part)
        if known is None or at_s <= known.since_s:
            return False
        self.decided.pop(part, None)
        return True

    def record_success(self, engine_id, now_s):
        """Records that a run succeeded at an engine: it has not crashed."""
        crashed = self._by_engine.get(engine_id)
        if crashed is None:
            return
        if ALIVE_MIN_S < now_s - crashed.at_s < ALIVE_MAX_S:
            crashed.explain()
            self._suspects = None

    @property
    def has_crashes(self):
        """Whether engines have crashed of late."""
        return bool(self._crashed)

    @property
    def is_idle(self):
        """Whether there is nothing to decide or to forget."""
        return not (self._crashed or self.decided or self._begun_s)

    # Decisions.

    def suspects(self):
        """Returns the parts for which the daemons shall report answers."""
        if self._suspects is None:
            most_common = self._counts().most_common(SUSPECTS_MAX)
            self._suspects = tuple(part for part, _ in most_common)
        known = (*self.decided, *self._quarantine.stored_parts)
        return tuple(dict.fromkeys((*self._suspects, *known)))[:SUSPECTS_MAX]

    def decide(self, now_s):
        """Quarantines the parts that are due; returns them."""
        self._forget(now_s)
        found = []
        while True:
            part = self._worst_part(now_s)
            if part is None:
                return found
            self._decide(part, now_s)
            found.append(part)

    def _decide(self, part, now_s):
        causes = [
            crashed
            for crashed in self._crashed.values()
            if part in crashed.positions
        ]
        stored = self._quarantine.get(part)
        strikes = 1 + (stored.strikes if stored else 0)
        self.decided[part] = Quarantined(
            min(crashed.at_s for crashed in causes),
            now_s + duration_s(strikes),
            strikes,
        )
        for crashed in causes:
            crashed.explain()

    def _worst_part(self, now_s):
        counts = self._counts()
        worst, worst_rank = None, None
        for part, count in counts.items():
            if now_s - self._suspected_s[part] < SETTLE_S:
                continue
            is_sound_before = part in self._begun_s
            if is_sound_before:
                count = self._unexplained_count(part, counts)
            if count < self._crashes_needed(part):
                continue
            # Of parts that always come together, the later one is taken:
            # fewer requests have it.
            answered_count = self._answered_count(part)
            rank = (
                not is_sound_before,
                answered_count >= self._crashes_needed(part),
                self._position(part),
                answered_count,
                count,
            )
            if worst is None or rank > worst_rank:
                worst, worst_rank = part, rank
        return worst

    def _crashes_needed(self, part):
        is_known = self._quarantine.get(part) is not None
        return 1 if is_known else CRASHES_MIN

    def _counts(self):
        return collections.Counter(
            part
            for crashed in self._crashed.values()
            for part in crashed.positions
        )

    def _unexplained_count(self, part, counts):
        """Counts the crashes of a part that no likelier one explains.

        Those within SEPARATE_S count once.
        """
        instants = sorted(
            crashed.at_s
            for crashed in self._crashed.values()
            if part in crashed.positions
            and not any(
                counts[other] > 1 and other not in self._begun_s
                for other in crashed.positions
            )
        )
        count, counted_s = 0, -SEPARATE_S
        for at_s in instants:
            if at_s - counted_s >= SEPARATE_S:
                count, counted_s = count + 1, at_s
        return count

    def _answered_count(self, part):
        return sum(
            part in crashed.positions and part in crashed.answered
            for crashed in self._crashed.values()
        )

    def _position(self, part):
        return max(
            crashed.positions.get(part, 0)
            for crashed in self._crashed.values()
        )

    def may_probe(self, part, now_s):
        """Whether a request may probe a part now; counts as a probe then."""
        if self._is_blocked(part, now_s):
            return False
        probed_s = self._probed_s.get(part)
        if probed_s is not None and now_s - probed_s < PROBE_INTERVAL_S:
            return False
        self._probed_s[part] = now_s
        return True

    def _forget(self, now_s):
        old_s = now_s - MEMORY_S
        self._suspects = None
        for key, crashed in list(self._crashed.items()):
            is_excess = len(self._crashed) > CRASHED_ENGINES_MAX
            if crashed.at_s < old_s or is_excess:
                del self._crashed[key]
                if self._by_engine.get(key[0]) is crashed:
                    del self._by_engine[key[0]]
        for part, at_s in list(self._begun_s.items()):
            if at_s < old_s:
                del self._begun_s[part]
        counts = self._counts()
        for part in list(self._suspected_s):
            if part not in counts:
                del self._suspected_s[part]
        for part, one in list(self.decided.items()):
            if now_s >= one.until_s:
                del self.decided[part]
        for part, at_s in list(self._probed_s.items()):
            if at_s < old_s:
                del self._probed_s[part]
