"""The free slots of one pool's engines, kept up to date run by run.

The cost of a choice does not grow with the number of engines.
"""

# Engines with the same number of free slots that are looked at, to find an
# allowed one of the right zone.
SCAN_MAX = 64


class EngineLoad:
    """The runs at one engine; preempted ones are about to leave it.

    `items` has the keys of the batch items that are not preempted.
    """

    __slots__ = ("items", "online", "preempted")

    def __init__(self):
        self.online = 0
        self.items = set()
        self.preempted = 0

    @property
    def occupied(self):
        """The number of slots that are not about to become free."""
        return self.online + len(self.items)

    @property
    def is_idle(self):
        """Whether nothing runs at the engine."""
        return not self.occupied and not self.preempted


class PoolView:
    """Engines of a pool by their number of free slots.

    `online` counts the online requests at all engines, `items` has the keys
    of all batch items that are not preempted. `refreshed_s` is the monotonic
    instant of the last refresh.
    """

    __slots__ = (
        "_buckets",
        "_free",
        "engines",
        "items",
        "online",
        "refreshed_s",
        "slots",
        "slow",
    )

    def __init__(self):
        self.engines = {}
        self.items = set()
        self.online = 0
        self.slots = 0
        self.slow = frozenset()
        self.refreshed_s = None
        self._free = {}
        self._buckets = {}

    def refresh(self, engines, loads, slow, now_s):
        """Replaces the engines, with their EngineLoads by id."""
        self.engines = {engine.id: engine for engine in engines}
        self.slots = sum(engine.slots for engine in engines)
        self.slow = slow
        self.refreshed_s = now_s
        self.online = 0
        self.items = set()
        self._free = {}
        self._buckets = {}
        for engine in engines:
            load = loads.get(engine.id)
            if load is not None:
                self.online += load.online
                self.items |= load.items
            self.update(engine.id, load)

    def update(self, engine_id, load):
        """Applies the EngineLoad of an engine; None if nothing runs there."""
        engine = self.engines[engine_id]
        free = engine.slots - (load.occupied if load else 0)
        known = self._free.get(engine_id)
        if known == free:
            return
        if known is not None:
            self._buckets[known].discard(engine_id)
        self._free[engine_id] = free
        self._buckets.setdefault(free, set()).add(engine_id)

    def is_eligible(self, engine_id, req):
        """Whether an engine will do for a slotmessages.SlotRequest."""
        if engine_id in req.excluded:
            return False
        return req.version in (None, self.engines[engine_id].version)

    def free(self, engine_id):
        """Returns the free slots of an engine; none if it is unknown."""
        return max(0, self._free.get(engine_id, 0))

    @property
    def free_total(self):
        """The free slots of all engines."""
        return sum(
            free * len(bucket)
            for free, bucket in self._buckets.items()
            if free > 0
        )

    def most_free(self, is_allowed, zone):
        """Returns an allowed engine with the most free slots, or None.

        Among equals, one of the zone if there is one; an empty zone means
        any.
        """
        for free in sorted(self._buckets, reverse=True):
            if free <= 0:
                return None
            engine = self._choose(self._buckets[free], is_allowed, zone)
            if engine is not None:
                return engine
        return None

    def least_occupied(self, is_allowed):
        """Returns an allowed engine with the most free slots, free or not."""
        for free in sorted(self._buckets, reverse=True):
            engine = self._choose(self._buckets[free], is_allowed, "")
            if engine is not None:
                return engine
        return None

    def _choose(self, engine_ids, is_allowed, zone):
        found = None
        for count, engine_id in enumerate(engine_ids):
            if count >= SCAN_MAX:
                break
            if not is_allowed(engine_id):
                continue
            engine = self.engines[engine_id]
            if not zone or engine.zone == zone:
                return engine
            if found is None:
                found = engine
        return found
