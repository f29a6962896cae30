"""Chooses engines by what this daemon and its peers have running there.

All instants are monotonic seconds.
"""

import random

from samphirepost import loadshare

# What a request sent to another zone must gain, in running requests: less
# than one, as a round trip takes 2 ms more and the bytes have a price.
OTHER_ZONE_COST = 0.3
# How old counts of others are when they are used (s): half of the time that
# two messages take at most.
COUNTS_AGE_S = 0.05
# An engine that failed is avoided this long, doubled up to the longest.
AVOID_S = 0.5
AVOID_MAX_S = 4.0
# What others run is forgotten after this many seconds without news of it.
OTHERS_STALE_S = 1.5


# Shares of a pool's slots that stay free for online requests: below the
# first, batch items are stopped; above the second, they are started, and
# above the third also those that are late. A pool that online requests fill
# takes a seventh of its slots anew in the 0.1 s that counts travel.
KEEP_FREE_SHARE = 0.06
START_FREE_SHARE = 0.12
LATE_FREE_SHARE = 0.2
# How long an online request holds a slot (s) until some have ended, and the
# weight of each that ends.
SERVICE_FIRST_S = 0.7
SERVICE_GAIN = 0.05


def fill_level(loads, more):
    """Returns the level that `more` requests fill the lowest loads up to."""
    ordered = sorted(loads)
    total = 0.0
    for count, load in enumerate(ordered, start=1):
        total += load
        level = (total + more) / count
        if count == len(ordered) or level <= ordered[count]:
            return level
    return more


class Health:
    """What attempts at one engine have shown."""

    __slots__ = ("avoid_until_s", "failures")

    def __init__(self):
        self.failures = 0
        self.avoid_until_s = 0.0


class Board:
    """Running requests by engine, and each engine's health."""

    __slots__ = (
        "_batch",
        "_health",
        "_online",
        "_others",
        "_others_s",
        "_zone",
        "service_s",
    )

    def __init__(self, zone):
        self._zone = zone
        self._online = {}
        self._batch = {}
        self._health = {}
        self._others = {}
        self._others_s = 0.0
        self.service_s = SERVICE_FIRST_S

    def started(self, name, batch=False):
        """Counts a request that goes to an engine."""
        counts = self._batch if batch else self._online
        counts[name] = counts.get(name, 0) + 1

    def ended(self, name, batch=False):
        """Counts a request that left an engine."""
        counts = self._batch if batch else self._online
        left = counts.get(name, 0) - 1
        if left > 0:
            counts[name] = left
        else:
            counts.pop(name, None)

    def own(self):
        """Returns this daemon's running requests by engine."""
        names = [*self._online, *self._batch]
        return {
            name: loadshare.Count(
                self._online.get(name, 0), self._batch.get(name, 0)
            )
            for name in names
        }

    def take_others(self, counts, now_s):
        """Notes what all other daemons run, by engine."""
        self._others = counts
        self._others_s = now_s

    def count(self, name, now_s):
        """Returns the requests known to run at an engine."""
        others = loadshare.NONE
        if now_s - self._others_s <= OTHERS_STALE_S:
            others = self._others.get(name, loadshare.NONE)
        return loadshare.Count(
            self._online.get(name, 0) + others.online,
            self._batch.get(name, 0) + others.batch,
        )

    def load(self, name, now_s):
        """Returns the number of requests known to run at an engine."""
        count = self.count(name, now_s)
        return count.online + count.batch

    def free(self, engines, now_s):
        """Returns the free slots of a pool's engines."""
        return sum(
            max(0, engine.slots - self.load(engine.id, now_s))
            for engine in engines
            if not self.avoided(engine.id, now_s)
        )

    def wait_s(self, engines, now_s):
        """Returns how long a request to a pool waits for a slot now."""
        sound = [one for one in engines if not self.avoided(one.id, now_s)]
        slots = sum(one.slots for one in sound)
        if not slots:
            return 0.0
        running = sum(self.load(one.id, now_s) for one in sound)
        return max(0, running + 1 - slots) * self.service_s / slots

    def served(self, took_s):
        """Notes how long an online request held its slot."""
        self.service_s += SERVICE_GAIN * (took_s - self.service_s)

    def batch_to_stop(self, engines, now_s, draw=random.random):
        """Returns how many of its batch items this daemon stops.

        Items are stopped so that slots stay free for online work; the
        daemons share the stops by what each runs.
        """
        slots = sum(engine.slots for engine in engines)
        need = KEEP_FREE_SHARE * slots - self.free(engines, now_s)
        mine = sum(self._batch.get(engine.id, 0) for engine in engines)
        if need <= 0 or mine == 0:
            return 0
        total = sum(self.count(engine.id, now_s).batch for engine in engines)
        part = min(need, total) * mine / total
        return min(mine, int(part + draw()))

    def succeeded(self, name):
        """Notes an answer of an engine."""
        self._health.pop(name, None)

    def failed(self, name, now_s):
        """Notes a failure; the engine is avoided for a while."""
        health = self._health.setdefault(name, Health())
        pause_s = min(AVOID_S * 2**health.failures, AVOID_MAX_S)
        health.failures += 1
        health.avoid_until_s = now_s + pause_s

    def avoided(self, name, now_s):
        """Whether recent failures speak against an engine."""
        health = self._health.get(name)
        return health is not None and now_s < health.avoid_until_s

    def choose(self, engines, excluded, now_s, draw=random.random):
        """Returns an engine for a request, or None.

        Other daemons choose on the same counts before these are renewed.
        The requests expected meanwhile would fill the least loaded engines
        up to some level; an engine is drawn in proportion to what it lacks
        to that level, so that all choices together fill it evenly. Engines
        that failed lately are taken only when no other is left.
        """
        left = [one for one in engines if one.id not in excluded]
        sound = [one for one in left if not self.avoided(one.id, now_s)]
        candidates = sound or left
        if not candidates:
            return None
        loads = [self._cost(one, now_s) for one in candidates]
        running = sum(self.load(one.id, now_s) for one in candidates)
        unseen = 1 + running / self.service_s * COUNTS_AGE_S
        level = fill_level(loads, unseen)
        point = draw() * unseen
        for one, load in zip(candidates, loads, strict=True):
            point -= max(0.0, level - load)
            if point < 0:
                return one
        return candidates[loads.index(min(loads))]

    def _cost(self, engine, now_s):
        zone = 0.0 if engine.zone == self._zone else OTHER_ZONE_COST
        return self.load(engine.id, now_s) - engine.slots + zone

    def choose_batch(self, engines, now_s, late):
        """Returns an engine for a batch item, or None.

        Slots stay free for online work, more of them for an item that is
        late already.
        """
        share = LATE_FREE_SHARE if late else START_FREE_SHARE
        slots = sum(engine.slots for engine in engines)
        if self.free(engines, now_s) <= share * slots:
            return None
        roomy = [
            engine
            for engine in engines
            if self.load(engine.id, now_s) < engine.slots
            and not self.avoided(engine.id, now_s)
        ]
        return self.choose(roomy, (), now_s)
