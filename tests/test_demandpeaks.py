"""Tests how many slots items leave free for online arrivals."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import demandpeaks
from samphirepost import roster
from samphirepost import slotmessages
from samphirepost_bench import reservemodel
from tests import test_allocator

SLOTS = test_allocator.SLOTS


def record_burst(peaks, count, now_s):
    """Records `count` starts at one instant, and all their ends."""
    for i in range(count):
        peaks.record_start(i + 1, now_s)
    for _ in range(count):
        peaks.record_end()


def test_slots_are_kept_free_for_a_rise_like_a_recent_one():
    """Else items start where the next step stops them."""
    peaks = demandpeaks.DemandPeaks()
    record_burst(peaks, 12, 1.0)
    assert peaks.reserved(0, 1.0) == pytest.approx(12)


def test_a_rise_is_forgotten():
    """Else one burst leaves slots idle for good."""
    peaks = demandpeaks.DemandPeaks()
    record_burst(peaks, 12, 1.0)
    later_s = 1.0 + 5 * demandpeaks.MEMORY_S
    assert peaks.reserved(0, later_s) < 1.0


def test_a_slow_rise_needs_no_large_reserve():
    """Items that end meanwhile make room for it."""
    peaks = demandpeaks.DemandPeaks()
    for i in range(20):
        peaks.record_start(i + 1, i * 2 * demandpeaks.RISE_WINDOW_S)
    assert peaks.reserved(0, 2.0) < 3.0


def test_a_rise_over_the_end_of_a_window_counts_whole():
    """Half of the arrivals come just before it, half just after."""
    peaks = demandpeaks.DemandPeaks()
    window_s = demandpeaks.RISE_WINDOW_S
    for i in range(10):
        peaks.record_start(i + 1, 1.0 if i < 5 else 1.0 + window_s)
    assert peaks.reserved(0, 1.0 + window_s) == pytest.approx(10)


def test_the_turnover_of_requests_is_no_rise():
    """As many end as start: the number of free slots stays."""
    peaks = demandpeaks.DemandPeaks()
    for i in range(100):
        peaks.record_start(8, 1.0 + i / 1000)
        peaks.record_end()
    assert peaks.reserved(8, 1.1) < 2.0


@hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.integers(0, 6),
            strategies.integers(0, 6),
            strategies.floats(0.0, 1.0),
        ),
        max_size=40,
    )
)
def test_no_more_is_kept_free_than_was_recently_used(steps):
    """The reserve and the use together stay below the peak, or a deviation."""
    peaks = demandpeaks.DemandPeaks()
    online, highest, now_s = 0, 0, 0.0
    for starts, ends, pause_s in steps:
        now_s += pause_s
        for _ in range(starts):
            online += 1
            peaks.record_start(online, now_s)
        highest = max(highest, online)
        least = demandpeaks.DEVIATIONS_MIN * online**0.5
        reserved = peaks.reserved(online, now_s)
        assert reserved >= least
        assert reserved <= max(least, highest - online)
        for _ in range(min(ends, online)):
            online -= 1
            peaks.record_end()


def end_all(hub, vms):
    """Ends run 1 of each of some VMs."""
    end = slotmessages.RunEnd(1, slotmessages.Outcome.OK)
    for vm in vms:
        hub.report(ended=[end], vm=vm)


class TestDemandInSteps:
    """Load pattern: online demand that falls and rises again at once."""

    def test_the_next_step_finds_its_slots_free(self):
        """Items that had started there would be stopped."""
        hub = test_allocator.Hub(follows_rises=True)
        vms = [f"vm{i}" for i in range(12)]
        for vm in vms:
            hub.request(1, vm=vm)
        end_all(hub, vms)
        hub.now_s = 0.5
        hub.fill_with_items(100)
        for vm in vms[:8]:
            hub.request(2, vm=vm)
        assert hub.preempted == []
        assert any(vm == "batch" for vm, _ in hub.grants)

    def test_runs_that_a_new_hub_is_told_of_are_no_rise(self):
        """Else items stand still after each change of the hub."""
        hub = test_allocator.Hub(follows_rises=True)
        runs = [slotmessages.Run(i, f"e{i % 4}") for i in range(20)]
        hub.report(runs=runs, vm="vm0")
        hub.report(runs=(), vm="vm0")
        hub.fill_with_items(100)
        assert len(hub.grants) == 4 * SLOTS

    def test_pools_have_reserves_of_their_own(self):
        """A rise at one pool leaves the slots of another to items."""
        hub = test_allocator.Hub(follows_rises=True)
        other = [
            roster.Engine(f"o{i}", "other", f"10.0.1.{i}:80", "a", SLOTS)
            for i in range(4)
        ]
        hub.allocator.set_engines("other", other, 0.0)
        for i in range(12):
            hub.request(1, vm=f"vm{i}")
        end_all(hub, [f"vm{i}" for i in range(12)])
        wanted = [
            slotmessages.WantedSlot(i, "other", False, 10.0)
            for i in range(100)
        ]
        hub.report(wanted=wanted, vm="batch")
        sent = hub.allocator.allocate("other", 0.0)
        assert len(sent) == 4 * SLOTS


@pytest.fixture(scope="module")
def outcomes():
    """The model's Pools by load and rule."""
    return {
        load.__name__: {
            name: reservemodel.run(make_rule, load)
            for name, make_rule in reservemodel.RULES.items()
        }
        for load in reservemodel.LOADS
    }


@pytest.mark.parametrize(
    "load", [load.__name__ for load in reservemodel.LOADS]
)
def test_the_rule_is_never_the_worst(outcomes, load):
    """In no column, under no load of the model."""
    ours = outcomes[load]["recent rise"]
    others = [
        pool for name, pool in outcomes[load].items() if name != "recent rise"
    ]
    assert ours.waited < max(pool.waited for pool in others)
    assert ours.stopped < max(pool.stopped for pool in others)
    assert ours.done > min(pool.done for pool in others)
    assert ours.idle_share < max(pool.idle_share for pool in others)


@pytest.mark.parametrize(
    "load", [load.__name__ for load in reservemodel.LOADS]
)
def test_it_stops_a_quarter_fewer_runs_for_a_tenth_of_the_items(
    outcomes, load
):
    """Compared with half a deviation of the present use."""
    ours = outcomes[load]["recent rise"]
    before = outcomes[load]["half a deviation"]
    assert ours.stopped < 0.75 * before.stopped
    assert ours.waited < 0.85 * before.waited
    assert ours.done > 0.9 * before.done
