"""Tracks the engines listed by the registry, also across its outages.

All instants are monotonic seconds.
"""

import msgspec

from samphirepost import streamversions

# After an outage the registry restores the entries of live engines within 2 s;
# 0.2 s more for this daemon's read.
RESTORE_GRACE_S = 2.2
# The registry counts as stable once it has responded for more than this time
# (s) since an outage. The platform defines a store as stable after 3 s.
STABLE_S = 3.0
# An entry expires after this time (s) without a write of its engine, three
# heartbeats. An outage that was shorter can have ended none after it.
ENTRY_EXPIRY_S = 3.6
# An engine that left is told for this long (s).
LEFT_TOLD_S = 30.0


class Engine(msgspec.Struct, frozen=True):
    """One incarnation of an engine; `started_ms` is unique to it.

    `version` is that of its software, empty if the registry names none.
    """

    id: str
    pool: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    started_ms: int = 0
    version: str = ""


class Roster:
    """The listed engines by id.

    An entry that may have expired in an outage is pending removal: its engine
    stays usable until RESTORE_GRACE_S after the end of the outage. Such are
    the entries that are missing in the first answer after an outage; and after
    one of ENTRY_EXPIRY_S, those removed until the registry is stable.
    `last_read_s` is the instant of the last successful read, or None.
    `change_count` counts the engines that came and left.
    """

    __slots__ = (
        "_engines",
        "_left",
        "_listed_s",
        "_outage_s",
        "_pending_removal",
        "_restored_s",
        "_unavailable",
        "_versions_left_s",
        "change_count",
        "last_read_s",
    )

    def __init__(self):
        self._engines = {}
        self._left = {}
        self._listed_s = {}
        self._outage_s = 0.0
        self._versions_left_s = {}
        self._pending_removal = {}
        self._unavailable = False
        self._restored_s = None
        self.change_count = 0
        self.last_read_s = None

    def record_outage(self):
        """Records that the registry did not respond."""
        self._unavailable = True

    def apply_full_read(self, engines, now_s):
        """Applies a read of all entries of the registry."""
        self._record_response(now_s)
        listed = {engine.id: engine for engine in engines}
        for engine_id in list(self._engines):
            if engine_id not in listed:
                self._remove_or_defer(engine_id, now_s)
        for engine in listed.values():
            self.apply_entry(engine, now_s)

    def apply_entry(self, engine, now_s):
        """Applies one new or changed entry."""
        self._record_response(now_s)
        known = self._engines.get(engine.id)
        if known is not None and (known.version, known.started_ms) != (
            engine.version,
            engine.started_ms,
        ):
            self._remove(engine.id, now_s)
        self._listed_s.setdefault(engine.id, now_s)
        self._engines[engine.id] = engine
        self._left.pop((engine.id, engine.started_ms), None)
        self.change_count += known is None or known != engine
        self._pending_removal.pop(engine.id, None)

    def apply_removal(self, engine_id, now_s):
        """Applies the removal of one entry."""
        self._record_response(now_s)
        self._remove_or_defer(engine_id, now_s)

    def record_read(self, now_s):
        """Records a read without changes."""
        self._record_response(now_s)

    def usable_engines(self, pool, now_s):
        """Returns the pool's engines that accept new work."""
        self._remove_expired(now_s)
        return [
            engine
            for engine in list(self._engines.values())
            if engine.pool == pool and not engine.draining
        ]

    def usable_engine(self, engine_id, now_s):
        """Returns an engine that accepts new work by its id, or None."""
        self._remove_expired(now_s)
        engine = self._engines.get(engine_id)
        return None if engine is None or engine.draining else engine

    def usable(self):
        """Returns the engines of all pools that accept new work."""
        return [
            engine
            for engine in list(self._engines.values())
            if not engine.draining
        ]

    def get(self, engine_id):
        """Returns an engine by id, or None."""
        return self._engines.get(engine_id)

    def listed_engines(self, pool):
        """Returns the pool's engines, also those that are draining."""
        return [
            engine
            for engine in list(self._engines.values())
            if engine.pool == pool
        ]

    def left_engines(self, now_s):
        """Returns the engines that drain, and those that left of late."""
        left = []
        for key, (engine, left_s) in list(self._left.items()):
            if now_s - left_s > LEFT_TOLD_S:
                self._left.pop(key, None)
            else:
                left.append(engine)
        draining = [
            engine
            for engine in list(self._engines.values())
            if engine.draining
        ]
        return [*draining, *left]

    def listed_s(self, engine_id):
        """Returns since when an engine is listed with its version, or None."""
        return self._listed_s.get(engine_id)

    def recent_versions(self, pool, now_s):
        """Returns the software versions of a pool's engines, now and of late.

        A version counts for streamversions.VERSION_KEPT_S after its last
        engine has left.
        """
        found = {engine.version for engine in self.listed_engines(pool)}
        for (other, version), left_s in list(self._versions_left_s.items()):
            if now_s - left_s > streamversions.VERSION_KEPT_S:
                self._versions_left_s.pop((other, version), None)
            elif other == pool:
                found.add(version)
        return found

    def __len__(self):
        return len(self._engines)

    def _record_response(self, now_s):
        if self._unavailable:
            self._unavailable = False
            self._restored_s = now_s
            self._outage_s = now_s - (self.last_read_s or 0.0)
        self.last_read_s = now_s

    def _remove_or_defer(self, engine_id, now_s):
        if engine_id not in self._engines:
            return
        if not self._may_have_expired(now_s):
            self._remove(engine_id, now_s)
            return
        self._pending_removal.setdefault(
            engine_id, self._restored_s + RESTORE_GRACE_S
        )

    def _may_have_expired(self, now_s):
        """Whether an entry that is missing now may come back."""
        if self._restored_s is None or now_s - self._restored_s > STABLE_S:
            return False
        is_first_answer = now_s == self._restored_s
        return is_first_answer or self._outage_s >= ENTRY_EXPIRY_S

    def _remove_expired(self, now_s):
        for engine_id, until_s in list(self._pending_removal.items()):
            if now_s >= until_s:
                self._remove(engine_id, now_s)

    def _remove(self, engine_id, now_s):
        engine = self._engines.pop(engine_id, None)
        self._pending_removal.pop(engine_id, None)
        self._listed_s.pop(engine_id, None)
        if engine is not None:
            self.change_count += 1
            self._left[engine_id, engine.started_ms] = engine, now_s
            self._versions_left_s[engine.pool, engine.version] = now_s
