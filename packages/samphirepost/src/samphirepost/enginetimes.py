"""Learns how fast each engine is, compared with its peers.

The hub learns it from the ends of all daemons' runs, by incarnation of the
engine. Speeds are relative to the median engine of a pool, so that none is
slow if all are, and what a report says is bounded. All instants are monotonic
seconds.
"""

import bisect
import collections
import itertools
import math
import statistics

# Times outside of these bounds (s) are no measurements.
TIME_MIN_S = 1e-6
TIME_MAX_S = 60.0
# Runs of an engine whose median counts: one that stuttered does not change it.
SAMPLES_MAX = 9
SAMPLES_MIN = 3
# What was learned of an engine is forgotten after this time (s) without a run:
# it gets few runs while it is slow.
STALE_S = 5.0
# Engines whose times are known before they are compared.
ENGINES_MIN = 2
# An engine is slow below this share of the median engine's speed; as long as
# another has a free slot, it gets no online request.
SLOW_SPEED = 0.5
# The speeds that are told apart: smaller differences are noise.
SPEEDS = (0.5, 0.63, 0.79, 1.0, 1.26, 1.59, 2.0)
MEDIAN_SPEED = 1.0
_SPEED_BOUNDS = tuple(
    math.sqrt(lower * upper) for lower, upper in itertools.pairwise(SPEEDS)
)
# Initial estimate of the time that an online request occupies a slot of the
# median engine (s), and the weight of each completed request in its moving
# average.
SERVICE_TIME_INITIAL_S = 0.7
SERVICE_TIME_SAMPLE_SHARE = 0.05


class Samples:
    """The last times of one kind at an engine.

    `median_s` is None while there are too few.
    """

    __slots__ = ("_times", "last_s", "median_s")

    def __init__(self):
        self._times = collections.deque(maxlen=SAMPLES_MAX)
        self.last_s = None
        self.median_s = None

    def add(self, time_s, now_s):
        """Adds the time of one run."""
        if self.last_s is not None and now_s - self.last_s > STALE_S:
            self._times.clear()
        self._times.append(time_s)
        self.last_s = now_s
        self.median_s = None
        if len(self._times) >= SAMPLES_MIN:
            self.median_s = statistics.median(self._times)

    def estimate_s(self, now_s):
        """Returns the median time, or None if too little is known."""
        if self.last_s is None or now_s - self.last_s > STALE_S:
            return None
        return self.median_s


class EngineRecord:
    """The times of one incarnation of an engine.

    They are the time between two events and the time to the first one.
    """

    __slots__ = ("first", "pace", "pool", "started_ms")

    def __init__(self, pool, started_ms):
        self.pool = pool
        self.started_ms = started_ms
        self.pace = Samples()
        self.first = Samples()


class Speeds:
    """The speeds of a pool's engines; those without history have the median's.

    `slow` has the ids of the slow ones.
    """

    __slots__ = ("_known", "service_time_s", "slow")

    def __init__(self, known, slow, service_time_s):
        self._known = known
        self.slow = slow
        self.service_time_s = service_time_s

    def of(self, engine_id):
        """Returns the speed of an engine, one of SPEEDS."""
        return self._known.get(engine_id, MEDIAN_SPEED)

    def uneven(self):
        """Returns the speeds by engine that are not the median one."""
        return {
            engine_id: speed
            for engine_id, speed in self._known.items()
            if speed != MEDIAN_SPEED
        }


UNKNOWN_SPEEDS = Speeds({}, frozenset(), SERVICE_TIME_INITIAL_S)


class EngineTimes:
    """What the hub has learned about the times of all engines."""

    __slots__ = ("_records", "_service_times_s")

    def __init__(self):
        self._records = {}
        self._service_times_s = {}

    def set_engines(self, engines):
        """Sets what engines are listed; drops what ended incarnations did.

        remove() drops the records of engines that are no longer listed.
        """
        for engine in engines:
            known = self._records.get(engine.id)
            if (
                known is None
                or known.started_ms != engine.started_ms
                or (known.pool != engine.pool)
            ):
                self._records[engine.id] = EngineRecord(
                    engine.pool, engine.started_ms
                )

    def remove(self, engine_id):
        """Drops the record of an engine that left its pool."""
        self._records.pop(engine_id, None)

    def record_end(self, engine_id, end, now_s):
        """Records the times that a slotmessages.RunEnd has."""
        record = self._records.get(engine_id)
        if record is None:
            return
        if TIME_MIN_S < end.pace_s < TIME_MAX_S:
            record.pace.add(end.pace_s, now_s)
        if TIME_MIN_S < end.first_s < TIME_MAX_S:
            record.first.add(end.first_s, now_s)

    def record_service(self, engine_id, service_s, speed):
        """Records how long a completed online request occupied a slot.

        `speed` is that of its engine.
        """
        record = self._records.get(engine_id)
        if record is None:
            return
        known_s = self._service_times_s.get(
            record.pool, SERVICE_TIME_INITIAL_S
        )
        known_s += SERVICE_TIME_SAMPLE_SHARE * (service_s * speed - known_s)
        self._service_times_s[record.pool] = known_s

    def speeds(self, pool, engine_ids, now_s):
        """Returns the Speeds of a pool's engines.

        The time between events decides; where it is not known, the time to
        the first event, which also depends on the prompts.
        """
        records = [
            (engine_id, self._records[engine_id])
            for engine_id in engine_ids
            if engine_id in self._records
        ]
        found = _relative_speeds(
            {key: one.first.estimate_s(now_s) for key, one in records}
        )
        found |= _relative_speeds(
            {key: one.pace.estimate_s(now_s) for key, one in records}
        )
        slow = frozenset(key for key, one in found.items() if one < SLOW_SPEED)
        known = {key: _nearest_speed(one) for key, one in found.items()}
        service_time_s = self._service_times_s.get(
            pool, SERVICE_TIME_INITIAL_S
        )
        return Speeds(known, slow, service_time_s)


def _relative_speeds(times):
    """Returns the speeds by engine, of the times (s) or None by engine."""
    known = {key: time_s for key, time_s in times.items() if time_s}
    if len(known) < ENGINES_MIN:
        return {}
    median_s = statistics.median(known.values())
    return {key: median_s / time_s for key, time_s in known.items()}


def _nearest_speed(speed):
    """Returns the one of SPEEDS whose ratio to a speed is nearest to 1."""
    return SPEEDS[bisect.bisect(_SPEED_BOUNDS, speed)]
