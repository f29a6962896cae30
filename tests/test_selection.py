"""Tests which engine gets a request under typical load patterns."""

import collections
import heapq
import random

import hypothesis
from hypothesis import strategies

from samphirepost import attempts
from samphirepost import roster
from samphirepost import routing
from samphirepost import selection
from samphirepost import slotmessages

SLOTS = 8
ROUTE = routing.Route(
    "notes", "shop.example", "/", routing.Kind.STREAM, (), first_byte_s=0.3
)


def make_engines(count=6):
    """Returns the engines of a pool."""
    return [
        roster.Engine(f"e{i}", "plants", f"10.0.0.{i}:80", "a", SLOTS)
        for i in range(count)
    ]


def set_others(tracker, engines, online, batch=0, now_s=0.0):
    """Records the same counts of other daemons for every engine."""
    counts = {one.id: slotmessages.Count(online, batch) for one in engines}
    tracker.record_others(counts, now_s)


def test_a_full_engine_gets_nothing_while_others_have_room():
    """Other daemons' requests count as much as this daemon's own."""
    engines = make_engines(3)
    tracker = selection.LoadTracker("a")
    tracker.record_others(
        {"e0": slotmessages.Count(8, 0), "e1": slotmessages.Count(1, 7)}, 0.0
    )
    tracker.start_run(1, "e2")
    for point in (0.0, 0.5, 0.99):
        assert tracker.choose_engine(engines, (), 0.0, [point].pop).id == "e2"


def test_without_room_the_shortest_queue_is_chosen():
    """An engine with a much longer queue is never chosen."""
    engines = make_engines(2)
    tracker = selection.LoadTracker("a")
    tracker.record_others(
        {"e0": slotmessages.Count(26, 0), "e1": slotmessages.Count(9, 0)}, 0.0
    )
    for point in (0.0, 0.99):
        assert tracker.choose_engine(engines, (), 0.0, [point].pop).id == "e1"


@hypothesis.given(
    strategies.lists(strategies.integers(-8, 20), min_size=1, max_size=30),
    strategies.floats(0.5, 50.0),
)
def test_the_level_takes_just_the_requests_expected(loads, more):
    """Filling all engines up to the level takes the expected requests."""
    level = selection.fill_level([float(load) for load in loads], more)
    missing = sum(max(0.0, level - load) for load in loads)
    assert abs(missing - more) < 1e-6 * max(1.0, more, *map(abs, loads))


class TestManyDaemonsThatChooseOnTheSameOldCounts:
    """Load pattern: a jump of load before new counts have arrived."""

    def test_their_requests_spread(self):
        """The few engines with free slots do not get all requests."""
        engines = make_engines(24)
        draw = random.Random(1).random
        chosen = collections.Counter()
        counts = {one.id: slotmessages.Count(SLOTS, 0) for one in engines}
        counts["e0"] = counts["e1"] = slotmessages.Count(SLOTS - 2, 0)
        for _ in range(24):
            tracker = selection.LoadTracker("a")
            tracker.record_others(counts, 0.0)
            chosen[tracker.choose_engine(engines, (), 0.0, draw).id] += 1
        assert max(chosen.values()) <= 6
        assert len(chosen) >= 10


def test_old_counts_of_others_are_ignored():
    """After a failure of the hub, old counts must not be used forever."""
    engines = make_engines(2)
    tracker = selection.LoadTracker("a")
    set_others(tracker, engines, 5)
    assert tracker.load("e0", 0.0) == 5
    assert tracker.load("e0", selection.OTHERS_STALE_S + 0.1) == 0


def test_an_engine_that_failed_is_the_last_choice():
    """It is avoided for some time, longer with each failure."""
    engines = make_engines(2)
    tracker = selection.LoadTracker("a")
    tracker.record_failure("e0", 0.0)
    set_others(tracker, engines[1:], 7)
    assert tracker.choose_engine(engines, (), 0.1).id == "e1"
    assert tracker.choose_engine(engines, ("e1",), 0.1).id == "e0"
    tracker.record_failure("e0", 0.1)
    assert tracker.is_avoided("e0", 0.1 + selection.AVOID_S * 1.5)


class TestBatchItemsWhileNoHubAnswers:
    """Load pattern: a daemon that is cut off from its peers holds a job."""

    def test_items_start_only_above_the_reserve(self):
        """Late items leave more slots free than items that are in time."""
        engines = make_engines()
        tracker = selection.LoadTracker("a")
        set_others(tracker, engines, 7)
        assert (
            tracker.choose_batch_engine(engines, 0.0, late=False) is not None
        )
        assert tracker.choose_batch_engine(engines, 0.0, late=True) is None
        set_others(tracker, engines, 8)
        assert tracker.choose_batch_engine(engines, 0.0, late=False) is None


class TestAPeakOfOnlineRequestsOverAllSlots:
    """Load pattern: for seconds more requests than the engines serve."""

    def test_the_wait_grows_with_the_queue(self):
        """A free slot means no wait; each queued request adds to it."""
        engines = make_engines(2)
        tracker = selection.LoadTracker("a")
        set_others(tracker, engines, SLOTS - 1)
        assert tracker.queue_wait_s(engines, 0.0) == 0.0
        set_others(tracker, engines, SLOTS)
        first_s = tracker.queue_wait_s(engines, 0.0)
        assert first_s == tracker.service_time_s / (2 * SLOTS)
        set_others(tracker, engines, SLOTS + 2)
        assert tracker.queue_wait_s(engines, 0.0) > first_s

    def test_a_free_slot_that_all_want_does_not_hide_the_queue(self):
        """The pool's wait is used, not that of its least loaded engine."""
        engines = make_engines(2)
        tracker = selection.LoadTracker("a")
        tracker.record_others(
            {"e0": slotmessages.Count(20, 0), "e1": slotmessages.Count(7, 0)},
            0.0,
        )
        assert tracker.queue_wait_s(engines, 0.0) > 0.3

    def test_a_caller_that_returns_is_told_from_a_new_one(self):
        """It has less of the route's timeout left, and may queue longer."""
        assert not attempts.is_caller_retry(5.0, 5.0)
        assert not attempts.is_caller_retry(None, 5.0)
        assert attempts.is_caller_retry(4.2, 5.0)
        fresh_s = attempts.queue_wait_max_s(ROUTE, 5.0)
        assert attempts.queue_wait_max_s(ROUTE, 4.2) > fresh_s

    def test_a_caller_that_returns_may_wait_at_the_hub_for_an_answer(self):
        """It is late already; what it needs is an answer before its timeout.

        A new caller waits no longer than its objective allows.
        """
        assert attempts.hub_wait_max_s(ROUTE, 5.0) == (
            attempts.queue_wait_max_s(ROUTE, 5.0)
        )
        assert attempts.hub_wait_max_s(ROUTE, None) == (
            attempts.queue_wait_max_s(ROUTE, None)
        )
        assert attempts.hub_wait_max_s(ROUTE, 4.0) == 2.5
        assert attempts.hub_wait_max_s(ROUTE, 2.0) == 1.0
        assert attempts.hub_wait_max_s(ROUTE, 0.5) == (
            attempts.queue_wait_max_s(ROUTE, 0.5)
        )

    def test_refused_callers_return_spread_and_after_the_queue(self):
        """Else they would retry together and fill the same queue."""
        early = attempts.retry_after_s(0.5, lambda: 0.0)
        late = attempts.retry_after_s(0.5, lambda: 1.0)
        assert early >= 0.5
        assert late - early >= attempts.RETRY_AFTER_JITTER_S - 0.01


class Callers:
    """Simulates callers at a steady rate; a rejected one retries once.

    The engines are simulated as one queue in order with `slots` slots.
    """

    # Time to the first event at an engine that starts a request at once (s).
    FIRST_EVENT_S = 0.1

    def __init__(self, slots, per_s, seconds):
        self.slots = slots
        self.arrivals = [
            (number / per_s, ROUTE.timeout_s)
            for number in range(int(per_s * seconds))
        ]
        self.first_s = []
        self.refused = 0

    def simulate(self):
        """Simulates all callers in order of arrival."""
        draw = random.Random(1).random
        free_s = [0.0] * self.slots
        while self.arrivals:
            now_s, remaining_s = heapq.heappop(self.arrivals)
            queued = sum(end > now_s for end in free_s)
            wait_s = 0.0
            if queued == self.slots:
                wait_s = min(free_s) - now_s
            if wait_s <= attempts.queue_wait_max_s(ROUTE, remaining_s):
                begin_s = max(now_s, heapq.heappop(free_s))
                heapq.heappush(
                    free_s, begin_s + selection.SERVICE_TIME_INITIAL_S
                )
                self.first_s.append(begin_s - now_s + self.FIRST_EVENT_S)
            elif remaining_s == ROUTE.timeout_s:
                pause_s = attempts.retry_after_s(wait_s, draw)
                retry = (now_s + pause_s, remaining_s - pause_s)
                heapq.heappush(self.arrivals, retry)
            else:
                self.refused += 1


class TestALastingOverload:
    """Load pattern: most engines are removed and do not return."""

    def test_the_engines_left_answer_in_time(self):
        """They serve nearly their capacity in time; the rest is rejected."""
        slots, seconds = 2 * SLOTS, 30
        callers = Callers(slots, 60, seconds)
        callers.simulate()
        capacity = slots / selection.SERVICE_TIME_INITIAL_S * seconds
        in_time = sum(one <= ROUTE.first_byte_s for one in callers.first_s)
        assert in_time >= 0.9 * capacity
        assert callers.refused > 0

    def test_without_overload_nobody_is_refused(self):
        """A short queue does not lead to rejections."""
        callers = Callers(2 * SLOTS, 20, 30)
        callers.simulate()
        assert callers.refused == 0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["e0", "e1"]),
            strategies.booleans(),
            strategies.booleans(),
        )
    )
)
def test_counts_follow_what_starts_and_ends(steps):
    """Counts equal the running requests and never fall below zero."""
    tracker = selection.LoadTracker("a")
    running = []
    for run_id, (name, batch, start) in enumerate(steps):
        if start:
            tracker.start_run(run_id, name, batch)
            running.append((run_id, name, batch))
        else:
            same = [one for one in running if one[1:] == (name, batch)]
            for one in same[:1]:
                tracker.end_run(one[0])
                running.remove(one)
        for engine in ("e0", "e1"):
            expected = [one for one in running if one[1] == engine]
            batch_count = sum(one[2] for one in expected)
            assert tracker.count(engine, 0.0) == slotmessages.Count(
                len(expected) - batch_count, batch_count
            )
        assert {run.id for run in tracker.own_runs(0.0)} == {
            one[0] for one in running
        }
