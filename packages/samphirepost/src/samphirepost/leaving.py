"""The engines that leave, from sources other than this daemon's registry.

An engine that leaves says so in its answers, which may be sooner than the
registry tells. Each daemon remembers what engines told it, and reports it to
the hub; the hub announces the engines that leave by any daemon's word or by
its own registry, as the registry may be slow to answer a single daemon. All
instants are monotonic seconds.
"""

import msgspec

# What an engine told is kept for this long (s): until its entry has gone.
TOLD_KEPT_S = 600.0
# It is reported to the hub for this long (s), as reports may be lost.
REPORTED_S = 5.0
# An announcement holds for this long (s) without the next one.
ANNOUNCEMENT_VALID_S = 5.0


class Incarnation(msgspec.Struct, frozen=True, array_like=True):
    """One incarnation of an engine; see roster.Engine."""

    engine: str
    started_ms: int


def incarnation(engine):
    """Returns the Incarnation of a roster.Engine."""
    return Incarnation(engine.id, engine.started_ms)


class LeavingEngines:
    """The incarnations that leave; thread-safe, as all values are replaced.

    An engine's own word holds until its entry is gone, whatever the registry
    says of it.
    """

    __slots__ = ("_announced", "_announced_until_s", "_told")

    def __init__(self):
        self._told = {}
        self._announced = frozenset()
        self._announced_until_s = 0.0

    def record_told(self, engine, now_s):
        """Records that an engine's answer said that it leaves.

        Returns whether that is new.
        """
        key = incarnation(engine)
        kept = {
            other: told_s
            for other, told_s in self._told.items()
            if now_s - told_s <= TOLD_KEPT_S
        }
        is_new = key not in kept
        kept.setdefault(key, now_s)
        self._told = kept
        return is_new

    def to_report(self, now_s):
        """Returns what engines told this daemon of late."""
        return tuple(
            key
            for key, told_s in self._told.items()
            if now_s - told_s <= REPORTED_S
        )

    def announce(self, incarnations, now_s):
        """Applies an announcement of the hub, which replaces the last one."""
        self._announced = frozenset(incarnations)
        self._announced_until_s = now_s + ANNOUNCEMENT_VALID_S

    def is_leaving(self, engine, now_s):
        """Whether an engine must get no new work."""
        if not self._told and not self._announced:
            return False
        key = incarnation(engine)
        if key in self._told:
            return True
        return now_s <= self._announced_until_s and key in self._announced


class ReportedLeaving:
    """What the daemons reported to the hub."""

    __slots__ = ("_reported",)

    def __init__(self):
        self._reported = {}

    def apply(self, incarnations, now_s):
        """Applies a report; returns whether some of them are new."""
        is_new = any(one not in self._reported for one in incarnations)
        for one in incarnations:
            self._reported.setdefault(one, now_s)
        return is_new

    def known(self, now_s):
        """Returns the incarnations that were reported of late."""
        self._reported = {
            one: reported_s
            for one, reported_s in self._reported.items()
            if now_s - reported_s <= TOLD_KEPT_S
        }
        return tuple(self._reported)
