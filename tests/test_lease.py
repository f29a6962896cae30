"""Leases with no clock compared across VMs."""

import hypothesis
from hypothesis import strategies as st

from samphirepost import lease
from tests import helper

LEASE_S = 5.0
delays = st.floats(0.0, 3.0)
rates = st.floats(0.9, 1.1)
offsets = st.floats(-1e6, 1e6)


@hypothesis.given(
    writes=st.lists(st.tuples(delays, delays, delays), min_size=1),
    holder=st.tuples(rates, offsets),
    watcher=st.tuples(rates, offsets),
    pause=st.floats(0.0, 20.0),
)
def test_valid_holder_is_never_replaced(writes, holder, watcher, pause):
    """Clocks differ in offset and, by a tenth, in rate.

    A write is asked for, takes effect and is seen at three instants.
    """
    hold, watch, real_s = None, lease.Watch(), 0.0
    for revision, (to_effect, to_sight, rest) in enumerate(writes):
        asked_s = real_s * holder[0] + holder[1]
        if hold is None:
            hold = lease.Hold(LEASE_S, asked_s)
        hold.renewed(asked_s)
        real_s += to_effect + to_sight
        watch.observe(revision, real_s * watcher[0] + watcher[1])
        real_s += rest
    real_s += pause
    holder_s = real_s * holder[0] + holder[1]
    watcher_s = real_s * watcher[0] + watcher[1]
    both = hold.valid(holder_s) and watch.lapsed(LEASE_S, watcher_s)
    assert not both


def test_watcher_counts_anew_after_an_outage():
    """Nobody could renew while the table service was out."""
    watch = lease.Watch()
    watch.observe(7, 0.0)
    watch.restart(60.0)
    assert not watch.lapsed(LEASE_S, 60.0 + LEASE_S / 2)
    assert watch.lapsed(LEASE_S, 60.0 + LEASE_S)


def test_row_never_seen_is_no_reason_to_take_over():
    assert not lease.Watch().lapsed(LEASE_S, 1e9)


def test_takeover_from_a_stale_view_fails():
    """The old owner renewed after the view was made."""
    table, objects = helper.FakeTable(), helper.FakeObjects()
    old = helper.owner(table, objects, "vm-a")
    new = helper.Owner("vm-b", table, objects, helper.Ids("b"))
    new.take(helper.at(6))
    old.close(helper.at(6))
    old.commit(helper.at(6))
    new.settle_take()
    assert new.held is None
    assert old.held is not None
