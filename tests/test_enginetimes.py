"""Tests what the hub learns about the speeds of engines."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import enginetimes
from samphirepost import poolview
from samphirepost import roster
from samphirepost import slotmessages

POOL = "plants"


def make_engines(count, started_ms=0):
    """Returns the engines of a pool."""
    return [
        roster.Engine(
            f"e{number}", POOL, "10.0.0.1:80", "a", 8, started_ms=started_ms
        )
        for number in range(count)
    ]


def record(times, engine, *paces, first_s=0.0, now_s=0.0):
    """Records runs at an engine at these paces."""
    for pace_s in paces:
        end = slotmessages.RunEnd(
            1, slotmessages.Outcome.OK, pace_s, first_s=first_s
        )
        times.record_end(f"e{engine}", end, now_s)


def make_times(paces):
    """Returns EngineTimes of engines that had three runs each."""
    times = enginetimes.EngineTimes()
    times.set_engines(make_engines(len(paces)))
    for number, pace_s in enumerate(paces):
        record(times, number, *[pace_s] * enginetimes.SAMPLES_MIN)
    return times


def speeds_of(times, count, now_s=0.0):
    """Returns the speeds of all engines, in order."""
    engine_ids = [f"e{number}" for number in range(count)]
    found = times.speeds(POOL, engine_ids, now_s)
    return [found.of(engine_id) for engine_id in engine_ids]


def test_speeds_are_relative_to_the_median_engine():
    """Slots of slow and fast engines would count the same."""
    times = make_times([0.02, 0.02 / 1.7, 0.02, 0.02 / 0.7, 0.02])
    assert speeds_of(times, 5) == [1.0, 1.59, 1.0, 0.63, 1.0]


@pytest.mark.parametrize("pace_s", [0.003, 0.02, 1.0])
def test_none_is_slow_if_all_are(pace_s):
    """A load that slows all engines would take all of them out of use."""
    times = make_times([pace_s] * 4)
    assert speeds_of(times, 4) == [1.0] * 4
    assert not times.speeds(POOL, ["e0", "e1", "e2", "e3"], 0.0).slow


def test_a_stutter_in_one_run_does_not_make_an_engine_slow():
    """A sound engine would get no online requests."""
    times = make_times([0.02] * 4)
    record(times, 0, 2.0)
    assert speeds_of(times, 4) == [1.0] * 4


def test_an_engine_without_history_counts_as_the_median():
    """An engine that is new would get no requests, and stay unknown."""
    times = enginetimes.EngineTimes()
    times.set_engines(make_engines(4))
    for number in range(3):
        record(times, number, 0.01 * (number + 1), 0.01, 0.01)
    record(times, 3, 0.09, 0.09)
    assert speeds_of(times, 4)[3] == 1.0


def test_what_was_learned_ends_with_the_incarnation():
    """A restarted engine would be judged by the runs before its restart."""
    times = make_times([0.02, 0.02, 0.02, 0.09])
    assert speeds_of(times, 4)[3] < 1.0
    times.set_engines(make_engines(4))
    assert speeds_of(times, 4)[3] < 1.0
    times.set_engines(make_engines(4, started_ms=1))
    assert speeds_of(times, 4) == [1.0] * 4


def test_a_slow_engine_is_tried_again_after_a_while():
    """It gets no runs that could show that it is no longer slow."""
    times = make_times([0.02, 0.02, 0.02, 0.09])
    now_s = enginetimes.STALE_S + 0.1
    for number in range(3):
        record(times, number, 0.02, 0.02, 0.02, now_s=now_s)
    assert speeds_of(times, 4, now_s)[3] == 1.0


def test_short_answers_are_judged_by_their_first_event():
    """They have too few events for a pace."""
    times = enginetimes.EngineTimes()
    times.set_engines(make_engines(4))
    for number in range(4):
        first_s = 0.2 if number == 0 else 0.1
        record(times, number, *[0.0] * 3, first_s=first_s)
    assert speeds_of(times, 4) == [0.5, 1.0, 1.0, 1.0]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 4),
            strategies.floats(allow_infinity=True, allow_nan=True),
            strategies.floats(allow_infinity=True, allow_nan=True),
        ),
        max_size=60,
    )
)
def test_whatever_is_reported_speeds_stay_bounded(reports):
    """A report that lies must not draw all requests to one engine."""
    times = enginetimes.EngineTimes()
    times.set_engines(make_engines(5))
    for engine, pace_s, first_s in reports:
        record(times, engine, pace_s, first_s=first_s)
    assert set(speeds_of(times, 5)) <= set(enginetimes.SPEEDS)


def make_view(times, engines):
    """Returns a PoolView of idle engines."""
    view = poolview.PoolView()
    engine_ids = [engine.id for engine in engines]
    speeds = times.speeds(POOL, engine_ids, 0.0)
    view.refresh(engines, {}, speeds, 0.0)
    return view


def test_the_predicted_wait_follows_the_speeds():
    """A pool of fast engines without a median peer is no faster."""
    times = make_times([0.02, 0.02, 0.01])
    for _ in range(200):
        times.record_service("e0", 0.4, 1.0)
        times.record_service("e2", 0.2, 2.0)
    view = make_view(times, make_engines(3))
    slots = 8 + 8 + 8 * 2.0
    assert view.wait_s(9, set(), {}) == pytest.approx(10 * 0.4 / slots, 0.01)
    assert view.wait_s(9, {"e2"}, {}) == pytest.approx(10 * 0.4 / 16, 0.01)
    assert view.wait_s(0, {"e2"}, {"e1": 5.0}) == pytest.approx(
        0.4 / (8 + 5.0 * 0.4), 0.01
    )
    assert view.wait_s(0, {"e0", "e1", "e2"}, {}) == 0.0


@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 4), strategies.integers(0, 9))
    )
)
def test_the_engine_with_the_most_room_is_chosen(steps):
    """The buckets must follow each change of a load."""
    times = make_times([0.01, 0.015, 0.02, 0.03, 0.05])
    engines = make_engines(5)
    view = make_view(times, engines)
    speeds = speeds_of(times, 5)
    online = [0] * 5
    for number, count in steps:
        load = poolview.EngineLoad()
        load.online = online[number] = count
        view.update(f"e{number}", load)
    free = [max(0, 8 - count) for count in online]
    rooms = [one * speed for one, speed in zip(free, speeds, strict=True)]
    assert view.free_total == sum(free)
    found = view.most_free(lambda _: True, "")
    if max(rooms):
        assert rooms[int(found.id[1:])] == max(rooms)
    else:
        assert found is None
