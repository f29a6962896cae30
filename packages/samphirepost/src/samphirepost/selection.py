"""Tracks this daemon's runs; chooses engines while the hub does not answer.

The choice is by the requests that all daemons run at each engine. All
instants are monotonic seconds.
"""

import random

from samphirepost import slotmessages

# Added to the load of an engine of another zone (requests), since a round trip
# there takes 2 ms longer and traffic between zones is billed. It is less than
# one, so that one running request fewer outweighs it.
OTHER_ZONE_COST = 0.3
# Assumed age of other daemons' counts when they are used (s): half of the
# interval at which the hub sends them.
COUNTS_AGE_S = 0.2
# An engine that failed is avoided for AVOID_S, doubled with each further
# failure up to AVOID_MAX_S.
AVOID_S = 0.5
AVOID_MAX_S = 4.0
# Other daemons' counts are ignored after this time (s) without an update.
OTHERS_STALE_S = 1.5

# Shares of a pool's slots that batch items leave free for online requests;
# late items leave more.
START_FREE_SHARE = 0.12
LATE_FREE_SHARE = 0.2
# Initial estimate of the time that an online request occupies a slot (s), and
# the weight of each completed request in its moving average.
SERVICE_TIME_INITIAL_S = 0.7
SERVICE_TIME_SAMPLE_SHARE = 0.05


def fill_level(loads, more):
    """Returns the level to which `more` requests raise the lowest loads."""
    ordered = sorted(loads)
    total = 0.0
    for count, load in enumerate(ordered, start=1):
        total += load
        level = (total + more) / count
        if count == len(ordered) or level <= ordered[count]:
            return level
    return more


class EngineHealth:
    """The consecutive failures of an engine, and until when to avoid it."""

    __slots__ = ("avoid_until_s", "failures")

    def __init__(self):
        self.failures = 0
        self.avoid_until_s = 0.0


class OwnRun:
    """A run of this daemon at an engine; see slotmessages.Run.

    A batch item's job is due at `deadline_s`; its run is expected to end at
    `end_s`, None if that is not known.
    """

    __slots__ = (
        "batch",
        "deadline_s",
        "end_s",
        "engine_id",
        "late",
        "organisation",
        "preemptions",
        "tokens",
    )

    def __init__(
        self,
        engine_id,
        batch=False,
        late=False,
        deadline_s=0.0,
        organisation="",
        end_s=None,
        preemptions=0,
        tokens=0,
    ):
        self.end_s = end_s
        self.preemptions = preemptions
        self.tokens = tokens
        self.organisation = organisation
        self.engine_id = engine_id
        self.batch = batch
        self.late = late
        self.deadline_s = deadline_s

    def needs_ms(self, now_s):
        """Returns how long the run is expected to go on (ms), 0 if unknown."""
        if self.end_s is None:
            return 0
        return max(1, round((self.end_s - now_s) * 1000))


class LoadTracker:
    """Tracks the running requests by engine, and each engine's health.

    `service_time_s` is the average time that an online request occupies a
    slot. May be used by many threads.
    """

    __slots__ = (
        "_health",
        "_others",
        "_others_s",
        "_runs",
        "_zone",
        "service_time_s",
    )

    def __init__(self, zone):
        self._zone = zone
        self._runs = {}
        self._health = {}
        self._others = {}
        self._others_s = 0.0
        self.service_time_s = SERVICE_TIME_INITIAL_S

    def start_run(self, run_id, engine_id, batch=False, **fields):
        """Records a request that is sent to an engine.

        See OwnRun for `fields`.
        """
        self._runs[run_id] = OwnRun(engine_id, batch, **fields)

    def end_run(self, run_id):
        """Records that a request no longer runs; it may be unknown."""
        self._runs.pop(run_id, None)

    def is_running(self, run_id):
        """Whether a run has started and not ended."""
        return run_id in self._runs

    def own_runs(self, now_s):
        """Returns this daemon's runs, as it reports them."""
        return tuple(
            slotmessages.Run(
                run_id,
                run.engine_id,
                run.batch,
                run.late,
                round(run.deadline_s - now_s, 2) if run.batch else 0.0,
                run.organisation,
                run.needs_ms(now_s),
                run.preemptions,
                run.tokens,
            )
            for run_id, run in list(self._runs.items())
        )

    def record_others(self, counts, now_s):
        """Records the running requests of all other daemons by engine."""
        self._others = counts
        self._others_s = now_s

    def count(self, engine_id, now_s):
        """Returns the Count of requests known to run at an engine."""
        others = slotmessages.ZERO_COUNT
        if now_s - self._others_s <= OTHERS_STALE_S:
            others = self._others.get(engine_id, slotmessages.ZERO_COUNT)
        own = [
            run
            for run in list(self._runs.values())
            if run.engine_id == engine_id
        ]
        own_batch = sum(run.batch for run in own)
        return slotmessages.Count(
            len(own) - own_batch + others.online, own_batch + others.batch
        )

    def load(self, engine_id, now_s):
        """Returns the number of requests known to run at an engine."""
        count = self.count(engine_id, now_s)
        return count.online + count.batch

    def free_slots(self, engines, now_s):
        """Returns the number of free slots of a pool's healthy engines."""
        return sum(
            max(0, engine.slots - self.load(engine.id, now_s))
            for engine in engines
            if not self.is_avoided(engine.id, now_s)
        )

    def queue_wait_s(self, engines, now_s):
        """Returns how long a new request would wait for a slot of a pool (s).

        Returns 0 if no engine of the pool is healthy.
        """
        healthy = [
            engine
            for engine in engines
            if not self.is_avoided(engine.id, now_s)
        ]
        slots = sum(engine.slots for engine in healthy)
        if not slots:
            return 0.0
        running = sum(self.load(engine.id, now_s) for engine in healthy)
        return max(0, running + 1 - slots) * self.service_time_s / slots

    def record_service_time(self, duration_s):
        """Records how long an online request occupied its slot."""
        self.service_time_s += SERVICE_TIME_SAMPLE_SHARE * (
            duration_s - self.service_time_s
        )

    def record_success(self, engine_id):
        """Records a response of an engine, which resets its failure count."""
        self._health.pop(engine_id, None)

    def record_failure(self, engine_id, now_s):
        """Records a failure of an engine, to be avoided for some time."""
        health = self._health.setdefault(engine_id, EngineHealth())
        pause_s = min(AVOID_S * 2**health.failures, AVOID_MAX_S)
        health.failures += 1
        health.avoid_until_s = now_s + pause_s

    def is_avoided(self, engine_id, now_s):
        """Whether an engine is avoided because of recent failures."""
        health = self._health.get(engine_id)
        return health is not None and now_s < health.avoid_until_s

    def choose_engine(self, engines, excluded, now_s, draw=random.random):
        """Returns an engine for a request, or None.

        Other daemons choose by the same counts before the next update. The
        requests expected until then would fill the least loaded engines up
        to some level. An engine is drawn with a probability proportional to
        its distance from that level, so that all choices together fill the
        engines evenly. Avoided engines are chosen only if no other is left.
        """
        allowed = [engine for engine in engines if engine.id not in excluded]
        healthy = [
            engine
            for engine in allowed
            if not self.is_avoided(engine.id, now_s)
        ]
        candidates = healthy or allowed
        if not candidates:
            return None
        loads = [self._cost(engine, now_s) for engine in candidates]
        running = sum(self.load(engine.id, now_s) for engine in candidates)
        expected = 1 + running / self.service_time_s * COUNTS_AGE_S
        level = fill_level(loads, expected)
        point = draw() * expected
        for engine, load in zip(candidates, loads, strict=True):
            point -= max(0.0, level - load)
            if point < 0:
                return engine
        return candidates[loads.index(min(loads))]

    def _cost(self, engine, now_s):
        zone_cost = 0.0 if engine.zone == self._zone else OTHER_ZONE_COST
        return self.load(engine.id, now_s) - engine.slots + zone_cost

    def choose_batch_engine(self, engines, now_s, late):
        """Returns an engine for a batch item, or None.

        Returns None unless more slots than a reserve for online requests are
        free; the reserve is larger for an item that is already late.
        """
        share = LATE_FREE_SHARE if late else START_FREE_SHARE
        slots = sum(engine.slots for engine in engines)
        if self.free_slots(engines, now_s) <= share * slots:
            return None
        with_free_slots = [
            engine
            for engine in engines
            if self.load(engine.id, now_s) < engine.slots
            and not self.is_avoided(engine.id, now_s)
        ]
        return self.choose_engine(with_free_slots, (), now_s)
