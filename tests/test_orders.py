"""Tests orders to engines: fenced, one engine at a time, until reported."""

import hypothesis
from hypothesis import strategies as st

from samphirepost import errors
from samphirepost import orders
from samphirepost import tables
from samphirepost import targetmessages


def pool(model="plants-2", count=4, every_ms=1000):
    found = tuple(
        tables.Target(f"engine-{n}", "http://127.0.0.1:1", "zone-1")
        for n in range(count)
    )
    return tables.Pool(found, model=model, load_every_ms=every_ms)


@hypothesis.given(st.integers(0, 3), st.floats(0, 20), st.integers(1, 5000))
def test_loads_stay_within_the_weight_stores_rate(number, now_s, every_ms):
    """All engines of a pool would else load their models at once."""
    found = pool(every_ms=every_ms)
    is_turn = orders.is_load_turn(found, f"engine-{number}", 0.0, now_s)
    assert is_turn == (now_s >= number * every_ms / 1000)


@hypothesis.given(
    st.lists(st.tuples(st.integers(1, 9), st.booleans()), max_size=30),
    st.booleans(),
)
def test_engine_ends_with_the_newest_order(deliveries, checks):
    """Old orders arrive late and in any order; the report decides."""
    newest = orders.desired_order(pool("model-9"), 9)
    report = targetmessages.LoadReport("engine-0")
    for revision, _ in deliveries:
        deliver(
            report, targetmessages.Order(f"model-{revision}", revision), checks
        )
    if not orders.is_applied(newest, report):
        assert orders.is_due(
            newest, orders.LastOrder(9, 0.0), orders.RESEND_INTERVAL_S
        )
        deliver(report, newest, checks)
    assert orders.is_applied(newest, report)


def deliver(report, order, checks):
    """Applies an order; an engine that checks orders ignores an old one."""
    if checks and order.fencing < report.fencing:
        return
    report.model = order.model
    report.fencing = order.fencing


def test_engine_is_not_ordered_again_while_it_loads():
    """Only a newer order is sent before RESEND_INTERVAL_S has passed."""
    order = orders.desired_order(pool(), 3)
    last_order = orders.LastOrder(3, 10.0)
    assert not orders.is_due(
        order, last_order, 10.0 + orders.RESEND_INTERVAL_S / 2
    )
    assert orders.is_due(order, orders.LastOrder(2, 10.0), 10.0)


def test_two_pools_may_not_order_one_engine_differently():
    """The engine would else load two models in turn."""
    found = tables.Tables(
        1, {}, {}, {"a": pool("plants-1"), "b": pool("plants-2")}
    )
    failure = tables.check(found)
    assert failure.kind is errors.Kind.BAD_REQUEST
    assert "engine-0" in failure.reason
