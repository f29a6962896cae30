"""The free slots of one pool's engines, kept up to date run by run.

Free slots are weighed by the speed of their engine. The cost of a choice does
not grow with the number of engines.
"""

from samphirepost import enginetimes

# Engines of the same room that are looked at, to find an allowed one of the
# right zone.
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
    """Engines of a pool by their room: the free slots that they have.

    A slot of a fast engine is more room than one of a slow engine. `online`
    counts the online requests at all engines, `items` has the keys
    of all batch items that are not preempted. `refreshed_s` is the monotonic
    instant of the last refresh.
    """

    __slots__ = (
        "_buckets",
        "_capacity",
        "_free",
        "_rooms",
        "engines",
        "free_total",
        "items",
        "online",
        "refreshed_s",
        "slots",
        "speeds",
    )

    def __init__(self):
        self.engines = {}
        self.items = set()
        self.online = 0
        self.slots = 0
        self.speeds = enginetimes.UNKNOWN_SPEEDS
        self.refreshed_s = None
        self.free_total = 0
        self._capacity = 0.0
        self._free = {}
        self._rooms = {}
        self._buckets = {}

    def refresh(self, engines, loads, speeds, now_s):
        """Replaces the engines, with their EngineLoads by id.

        `speeds` are their enginetimes.Speeds.
        """
        self.engines = {engine.id: engine for engine in engines}
        self.slots = sum(engine.slots for engine in engines)
        self.speeds = speeds
        self.refreshed_s = now_s
        self._capacity = sum(self._capacity_of(one) for one in self.engines)
        self.online = 0
        self.items = set()
        self.free_total = 0
        self._free = {}
        self._rooms = {}
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
        if self._free.get(engine_id) == free:
            return
        self.free_total += max(0, free) - self.free(engine_id)
        self._free[engine_id] = free
        self._move(engine_id, _room(free, self.speeds.of(engine_id)))

    def _move(self, engine_id, room):
        known = self._rooms.get(engine_id)
        if known is not None:
            bucket = self._buckets[known]
            bucket.discard(engine_id)
            if not bucket:
                del self._buckets[known]
        self._rooms[engine_id] = room
        self._buckets.setdefault(room, set()).add(engine_id)

    def is_eligible(self, engine_id, req):
        """Whether an engine will do for a slotmessages.SlotRequest."""
        if engine_id in req.excluded:
            return False
        return req.version in (None, self.engines[engine_id].version)

    def free(self, engine_id):
        """Returns the free slots of an engine; none if it is unknown."""
        return max(0, self._free.get(engine_id, 0))

    def room(self, engine_id):
        """Returns the room of an engine, above 0 if it has a free slot."""
        return self._rooms[engine_id]

    @property
    def slow(self):
        """The ids of the slow engines."""
        return self.speeds.slow

    def wait_s(self, ahead, excluded, limits):
        """Returns how long a request waits behind `ahead` others (s).

        The set `excluded` has the ids of engines that serve none of them,
        `limits` the rates (requests a second) that engines of the pool named.
        """
        service_s = self.speeds.service_time_s
        capacity = self._capacity
        capacity -= sum(self._capacity_of(one) for one in excluded)
        for engine_id, per_s in limits.items():
            if engine_id not in excluded:
                unused = self._capacity_of(engine_id) - per_s * service_s
                capacity -= max(0.0, unused)
        if capacity <= 0:
            return 0.0
        return (ahead + 1) * service_s / capacity

    def _capacity_of(self, engine_id):
        """Returns the slots of an engine, in slots at the median speed."""
        return self.engines[engine_id].slots * self.speeds.of(engine_id)

    def most_free(self, is_allowed, zone):
        """Returns an allowed engine with the most room, or None.

        Among equals, one of the zone if there is one; an empty zone means
        any. An engine without a free slot has no room.
        """
        for room in sorted(self._buckets, reverse=True):
            if room <= 0:
                return None
            engine = self._choose(self._buckets[room], is_allowed, zone)
            if engine is not None:
                return engine
        return None

    def least_occupied(self, is_allowed):
        """Returns an allowed engine with the most room, if any or not."""
        for room in sorted(self._buckets, reverse=True):
            engine = self._choose(self._buckets[room], is_allowed, "")
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


def _room(free, speed):
    """Returns the room of an engine: above 0 if it has a free slot.

    At the speed of the median, more free slots are more room, and fewer
    requests beyond the slots.
    """
    if free > 0:
        return free * speed
    return (free - 1) / speed
