"""Tells daemons without the store whether a pool has one software version.

A stream without a record began at the base version of its pool. A daemon that
cannot read the records may rely on that only while no daemon knows of engines
of another version: those that do may have begun streams there. Each daemon
reports the pools in which it knows another version, and the hub announces the
pools of all. None in place of the pools means that they are not known.
"""

# An announcement is relied on for this long (s); the hub repeats it sooner.
ANNOUNCEMENT_VALID_S = 1.0
# Interval at which a daemon looks again for versions of the past (s).
REFRESH_INTERVAL_S = 5.0


class KnownVersions:
    """The pools in which this daemon knows a version other than the base.

    `pools` is a tuple of their names, or None while they are not known.
    """

    __slots__ = ("_bases", "_roster", "_seen", "_refresh_s", "pools")

    def __init__(self, engine_roster, bases):
        self._roster = engine_roster
        self._bases = bases
        self._seen = None
        self._refresh_s = 0.0
        self.pools = None

    def refresh(self, pools, now_s):
        """Looks at the engines of all `pools`; returns whether it changed."""
        if self._roster.last_read_s is None or self._bases.read_s is None:
            return False
        seen = (
            tuple(pools),
            self._roster.change_count,
            self._bases.change_count,
        )
        if seen == self._seen and now_s < self._refresh_s:
            return False
        self._seen = seen
        self._refresh_s = now_s + REFRESH_INTERVAL_S
        before, self.pools = self.pools, self._find(pools, now_s)
        return before != self.pools

    def _find(self, pools, now_s):
        return tuple(pool for pool in pools if self._has_others(pool, now_s))

    def _has_others(self, pool, now_s):
        versions = self._roster.recent_versions(pool, now_s)
        base = self._bases.get(pool)
        if base is None or base.record_all:
            return bool(versions)
        return bool(versions - {base.version})


class ReportedVersions:
    """What the daemons reported to the hub."""

    __slots__ = ("_pools_by_vm",)

    def __init__(self):
        self._pools_by_vm = {}

    def apply(self, vm, pools):
        """Applies the pools of a daemon's report; they may be None."""
        self._pools_by_vm[vm] = pools

    def remove(self, vm):
        """Removes a daemon that no longer reports."""
        self._pools_by_vm.pop(vm, None)

    def union(self, members):
        """Returns the sorted pools of all daemons.

        Returns None unless all `members`, a collection of VMs, told theirs.
        """
        found = set()
        for vm in members:
            pools = self._pools_by_vm.get(vm)
            if pools is None:
                return None
            found.update(pools)
        return tuple(sorted(found)) if members else None


class AnnouncedVersions:
    """The hub's last announcement.

    Instants are those of a clock that also runs while the VM is suspended.
    """

    __slots__ = ("_pools", "_received_s")

    def __init__(self):
        self._pools = None
        self._received_s = 0.0

    def record(self, pools, now_s):
        """Records an announcement; `pools` may be None."""
        self._pools = pools
        self._received_s = now_s

    def has_one_version(self, pool, now_s):
        """Whether no daemon knows another version than the pool's base."""
        if self._pools is None:
            return False
        if now_s - self._received_s > ANNOUNCEMENT_VALID_S:
            return False
        return pool not in self._pools
