"""Tests which item gives its slot to an online request."""

import hypothesis
from hypothesis import strategies
import msgspec

from samphirepost import expendability
from samphirepost import slotmessages
from tests import test_allocator

SLOTS = test_allocator.SLOTS


def gives_way(**claims):
    """Returns the name of the claim that gives way at instant 0."""
    return max(claims, key=lambda name: claims[name].rank(0.0))


def claim(due_s=20.0, end_s=1.0, **fields):
    """Returns a Claim; by default of an item that is well in time."""
    return expendability.Claim(due_s=due_s, end_s=end_s, **fields)


def test_an_item_that_was_stopped_before_goes_on():
    """Else one item pays for many starts, and ends late."""
    found = gives_way(
        stopped=claim(due_s=30.0, preemptions=1), other=claim(due_s=10.0)
    )
    assert found == "other"


def test_an_item_that_is_about_to_be_late_goes_on():
    """Else it is done too late for want of one slot."""
    found = gives_way(
        at_risk=claim(due_s=4.0, end_s=2.5),
        other=claim(due_s=30.0, preemptions=3),
    )
    assert found == "other"


def test_an_item_that_is_late_anyway_gives_way_first():
    """Stopping it costs no deadline."""
    found = gives_way(
        late=claim(due_s=1.0, end_s=5.0, late=True, preemptions=2),
        other=claim(),
    )
    assert found == "late"


def test_what_remains_counts_for_the_time_that_an_item_can_wait():
    """Two items are due at once, and one needs longer."""
    found = gives_way(
        long=claim(due_s=10.0, end_s=4.0), short=claim(due_s=10.0, end_s=1.0)
    )
    assert found == "short"


def test_a_run_that_is_about_to_end_goes_on():
    """Its slot becomes free as soon as that of a stopped one."""
    found = gives_way(
        ending=claim(end_s=0.05), other=claim(due_s=10.0, preemptions=2)
    )
    assert found == "other"


def test_what_is_not_told_counts_as_unknown():
    """Daemons of older builds tell neither; the last one due gives way."""
    runs = [
        slotmessages.Run(i, "e0", True, False, left_s)
        for i, left_s in enumerate((5.0, 9.0, 7.0))
    ]
    claims = [expendability.claim_of(run, 100.0) for run in runs]
    assert all(one.end_s is None for one in claims)
    assert max(claims, key=lambda one: one.rank(100.0)) is claims[1]


def test_messages_of_older_builds_are_read():
    """They end before the fields that tell what an item needs."""
    packed = msgspec.msgpack.encode([1, "e0", True, False, 5.0, "farms"])
    run = msgspec.msgpack.decode(packed, type=slotmessages.Run)
    assert (run.needs_ms, run.preemptions) == (0, 0)
    packed = msgspec.msgpack.encode([1, "plants", False, 5.0])
    wanted = msgspec.msgpack.decode(packed, type=slotmessages.WantedSlot)
    assert (wanted.needs_ms, wanted.preemptions) == (0, 0)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(
    strategies.lists(
        strategies.builds(
            expendability.Claim,
            strategies.booleans(),
            strategies.floats(-5.0, 30.0),
            strategies.none() | strategies.floats(-5.0, 10.0),
            strategies.integers(0, 5),
        ),
        min_size=1,
        max_size=20,
    )
)
def test_no_item_at_risk_gives_way_while_another_can(claims):
    """Nor one that was stopped more often than another like it."""
    chosen = max(claims, key=lambda one: one.rank(0.0))
    standing = chosen.rank(0.0)[0]
    assert standing == max(one.rank(0.0)[0] for one in claims)
    for one in claims:
        if one.rank(0.0)[0] == standing:
            assert chosen.preemptions <= one.preemptions


class TestArrivalsOverRunningItems:
    """Load pattern: items fill all slots, then online requests arrive."""

    def test_stops_go_round_the_items(self):
        """An item that was stopped before is the last to stop again."""
        hub = test_allocator.Hub(1)
        runs = [
            slotmessages.Run(i, "e0", True, False, 20.0, "", 2000, i != 3)
            for i in range(SLOTS)
        ]
        hub.report(runs=runs, vm="batch")
        hub.request(100)
        assert hub.preempted == [("batch", 3)]

    def test_an_item_that_was_just_granted_its_slot_is_known(self):
        """Before the next report of its daemon tells what it runs."""
        hub = test_allocator.Hub(1)
        wanted = [
            slotmessages.WantedSlot(
                i, test_allocator.POOL, False, 20.0, preemptions=int(i != 3)
            )
            for i in range(SLOTS)
        ]
        hub.report(wanted=wanted, vm="batch")
        assert len(hub.grants) == SLOTS
        hub.request(100)
        assert hub.preempted == [("batch", 3)]
