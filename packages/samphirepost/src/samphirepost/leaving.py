"""The engines that get no new work, from sources other than the registry.

An engine that leaves says so in its answers, which may be sooner than the
registry tells. An entry is stale if another engine answers at its address: the
engine that wrote it has ended, and the registry has not removed it yet.

Each daemon remembers what engines told it, and reports it to the hub; the hub
announces what any daemon was told, and the engines that leave by its own
registry, as the registry may be slow to answer a single daemon. All instants
are monotonic seconds.
"""

import enum
import threading

import msgspec

# That an engine leaves is kept for this long (s): until its entry has gone.
TOLD_KEPT_S = 600.0
# A stale entry is kept for this long (s). One that no engine writes again has
# expired by then, see roster.ENTRY_EXPIRY_S; one that is still listed may be
# that of a sound engine, as heartbeats are not seen here.
STALE_KEPT_S = 4.0
# What an engine told is reported to the hub for this long (s), as reports may
# be lost.
REPORTED_S = 5.0
# An announcement holds for this long (s) without the next one.
ANNOUNCEMENT_VALID_S = 5.0
# Stale entries in one message.
STALE_MAX = 200


class Reason(enum.Enum):
    """Why an engine gets no new work."""

    LEAVING = "leaving"
    STALE = "stale"


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an engine; see roster.Engine."""

    engine: str
    started_ms: int


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """An incarnation of an engine at one address (IP:PORT)."""

    engine: str
    started_ms: int
    address: str


class StaleEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry that counts as stale for `left_s` more."""

    entry: Entry
    left_s: float


_KEPT_S = {Incarnation: TOLD_KEPT_S, Entry: STALE_KEPT_S}


def incarnation(engine):
    """Returns the Incarnation of a roster.Engine."""
    return Incarnation(engine.id, engine.started_ms)


def entry(engine):
    """Returns the Entry of a roster.Engine."""
    return Entry(engine.id, engine.started_ms, engine.address)


class _Told:
    """The Incarnations that leave and the Entries that are stale.

    Each holds for a time of its kind since it was told first. Thread-safe.
    """

    __slots__ = ("_lock", "_told_s")

    def __init__(self):
        self._lock = threading.Lock()
        self._told_s = {}

    def add(self, key, told_s, now_s):
        """Adds what was told at `told_s`; returns whether it is new."""
        with self._lock:
            kept = dict(self.current(now_s))
            is_new = key not in kept
            kept.setdefault(key, told_s)
            self._told_s = kept
        return is_new

    def holds(self, key, now_s):
        """Whether a key was told and still holds."""
        told_s = self._told_s.get(key)
        return told_s is not None and now_s - told_s <= _KEPT_S[type(key)]

    def current(self, now_s):
        """Returns pairs of a key that holds and when it was told first."""
        return [
            (key, told_s)
            for key, told_s in self._told_s.items()
            if now_s - told_s <= _KEPT_S[type(key)]
        ]

    def leaving(self, now_s, age_max_s=TOLD_KEPT_S):
        """Returns the Incarnations told in the last `age_max_s`."""
        return tuple(
            key
            for key, told_s in self.current(now_s)
            if isinstance(key, Incarnation) and now_s - told_s <= age_max_s
        )

    def stale(self, now_s):
        """Returns the StaleEntries, STALE_MAX at most."""
        found = [
            StaleEntry(key, round(told_s + STALE_KEPT_S - now_s, 3))
            for key, told_s in self.current(now_s)
            if isinstance(key, Entry)
        ]
        return tuple(found[-STALE_MAX:])

    def __bool__(self):
        return bool(self._told_s)


class EngineMarks:
    """The engines that one daemon gives no new work.

    That an engine leaves holds for its incarnation until its entry is gone,
    whatever the registry says of it. That an entry is stale holds for its id,
    address and incarnation, for STALE_KEPT_S at most.
    """

    __slots__ = ("_announced_until_s", "_told")

    def __init__(self):
        self._told = _Told()
        self._announced_until_s = {}

    def record_told(self, engine, now_s, reason=Reason.LEAVING):
        """Records what an answer said of an engine.

        For Reason.STALE, the answer of another engine at its address.
        Returns whether that is new.
        """
        key = incarnation(engine)
        if reason is Reason.STALE:
            key = entry(engine)
        return self._told.add(key, now_s, now_s)

    def to_report(self, now_s):
        """Returns the Incarnations that said of late that they leave."""
        return self._told.leaving(now_s, REPORTED_S)

    def stale_to_report(self, now_s):
        """Returns the StaleEntries that this daemon was told of."""
        return self._told.stale(now_s)

    def announce(self, incarnations, now_s, stale=()):
        """Applies an announcement of the hub, which replaces the last one."""
        until_s = now_s + ANNOUNCEMENT_VALID_S
        announced = dict.fromkeys(incarnations, until_s)
        for one in stale:
            announced[one.entry] = now_s + _left_s(one)
        self._announced_until_s = announced

    def is_marked(self, engine, now_s):
        """Whether an engine must get no new work."""
        announced = self._announced_until_s
        if not self._told and not announced:
            return False
        return any(
            self._told.holds(key, now_s)
            or (key in announced and now_s <= announced[key])
            for key in (incarnation(engine), entry(engine))
        )


class ReportedMarks:
    """What the daemons reported to the hub."""

    __slots__ = ("_reported",)

    def __init__(self):
        self._reported = _Told()

    def apply(self, incarnations, now_s, stale=()):
        """Applies a report; returns whether some of it is new."""
        told_s = dict.fromkeys(incarnations, now_s)
        for one in stale:
            told_s[one.entry] = now_s + _left_s(one) - STALE_KEPT_S
        new = [
            key
            for key, told_s in told_s.items()
            if self._reported.add(key, told_s, now_s)
        ]
        return bool(new)

    def known(self, now_s):
        """Returns the Incarnations that were reported to leave."""
        return self._reported.leaving(now_s)

    def known_stale(self, now_s):
        """Returns the StaleEntries that were reported."""
        return self._reported.stale(now_s)


def _left_s(stale):
    """Returns how long a StaleEntry of a message may hold (s)."""
    return min(max(stale.left_s, 0.0), STALE_KEPT_S)
