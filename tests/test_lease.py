"""Tests leases, which never compare clocks across VMs."""

import hypothesis
from hypothesis import strategies as st

from samphirepost import lease
from tests import helper

LEASE_S = 5.0
delays = st.floats(0.0, 3.0)
rates = st.floats(0.9, 1.1)
offsets = st.floats(-1e6, 1e6)


@hypothesis.example(
    writes=[(0.0, 0.0, 0.0)],
    holder=(1.0, 0.0),
    observer=(1.0, 0.0),
    pause=LEASE_S + 0.5,
)
@hypothesis.given(
    writes=st.lists(st.tuples(delays, delays, delays), min_size=1),
    holder=st.tuples(rates, offsets),
    observer=st.tuples(rates, offsets),
    pause=st.floats(0.0, 20.0),
)
def test_valid_holder_is_never_replaced(writes, holder, observer, pause):
    """The clocks of holder and observer differ in offset and by 10 % in rate.

    Each write is sent, takes effect and is read at three different instants.
    """
    held, row, real_s = None, lease.LeaseObserver(), 0.0
    for revision, (to_effect, to_read, to_next) in enumerate(writes):
        sent_s = real_s * holder[0] + holder[1]
        if held is None:
            held = lease.HeldLease(LEASE_S, sent_s)
        held.record_renewal(sent_s)
        real_s += to_effect + to_read
        row.observe(revision, real_s * observer[0] + observer[1])
        real_s += to_next
    real_s += pause
    holder_s = real_s * holder[0] + holder[1]
    observer_s = real_s * observer[0] + observer[1]
    overlap = held.is_valid(holder_s) and row.is_expired(LEASE_S, observer_s)
    assert not overlap


def test_observer_restarts_its_count_after_an_outage():
    """No holder can renew while the table service is unavailable."""
    row = lease.LeaseObserver()
    row.observe(7, 0.0)
    row.restart(60.0)
    assert not row.is_expired(LEASE_S, 60.0 + LEASE_S / 2)
    assert row.is_expired(LEASE_S, 60.0 + LEASE_S)


def test_row_never_seen_is_no_reason_to_take_over():
    """Without a first read, nothing is known about the row's age."""
    assert not lease.LeaseObserver().is_expired(LEASE_S, 1e9)


def test_takeover_from_a_stale_view_fails():
    """The old owner renews its lease after the new one has read the row."""
    table, objects = helper.FakeTable(), helper.FakeObjects()
    old = helper.owner(table, objects, "vm-a")
    new = helper.Owner("vm-b", table, objects, helper.WriteIds("b"))
    new.begin_acquire(helper.at(6))
    old.seal(helper.at(6))
    old.commit(helper.at(6))
    new.complete_acquire()
    assert new.partition is None
    assert old.partition is not None
