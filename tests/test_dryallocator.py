"""Tests that previews decide like the hub, and change nothing."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import dryallocator
from samphirepost import organisations
from samphirepost import slotmessages
from samphirepost import whereabouts
from tests import test_allocator

POOL = test_allocator.POOL
SLOTS = test_allocator.SLOTS
Decision = whereabouts.Decision


def make_request(**fields):
    """Returns the SlotRequest of a preview."""
    return slotmessages.SlotRequest(
        "vm0", 0, POOL, "a", **({"priority": 0, "wait_max_s": 0.12} | fields)
    )


def preview(hub, **fields):
    """Returns the SlotOutlook of a request of vm0."""
    return dryallocator.preview(
        hub.allocator, make_request(**fields), hub.now_s
    )


def preview_item(hub):
    """Returns the SlotOutlook of an item of vm0."""
    wanted = slotmessages.WantedSlot(0, POOL, False, 10.0)
    return dryallocator.preview_item(hub.allocator, wanted, "vm0", hub.now_s)


@pytest.fixture(name="hub")
def make_hub():
    """A hub with one engine, to which vm0 reports."""
    hub = test_allocator.Hub(1)
    hub.report(vm="vm0")
    return hub


class TestOnline:
    """Previews of online requests."""

    def test_a_free_slot(self, hub):
        """The engine and what runs there are told."""
        hub.request(1)
        found = preview(hub)
        assert found.decision is Decision.ENGINE
        assert (found.engine.id, found.engine.online) == ("e0", 1)
        assert found.free == SLOTS - 1

    def test_the_slot_of_an_item(self, hub):
        """No item is stopped for a preview."""
        hub.fill_with_items(SLOTS)
        assert preview(hub).decision is Decision.STOPS_ITEM
        assert not hub.preempted
        assert hub.allocator.preempted == 0

    def test_a_place_in_the_queue(self, hub):
        """The expected wait is told, and no place is taken."""
        for i in range(SLOTS):
            hub.request(i + 1)
        found = preview(hub)
        assert found.decision is Decision.WAITS
        assert 0.0 < found.wait_s <= 0.12
        assert hub.allocator.waiting_count == 0

    def test_a_wait_that_is_too_long(self, hub):
        """The caller would be refused at once."""
        for i in range(SLOTS + 1):
            hub.request(i + 1)
        found = preview(hub)
        assert found.decision is Decision.REFUSED
        assert found.wait_s > 0.12
        assert not found.over_quota

    def test_a_quota_that_is_used_up(self, hub):
        """Previews are not charged; a refusal tells the wait."""
        one = organisations.Organisation("farms", None, 0.1, 0.0)
        quotas = hub.allocator.quotas
        quotas.set_directory(organisations.Directory({"farms": one}), 0.0)
        for _ in range(100):
            found = preview(hub, organisation="farms")
            assert found.decision is Decision.ENGINE
        hub.request(1, organisation="farms")
        while quotas.wait_s("farms", 0.0) == 0.0:
            quotas.charge("farms", 0.0)
        found = preview(hub, organisation="farms")
        assert found.over_quota
        assert found.wait_s > 0.0
        assert quotas.refused == 0

    def test_a_daemon_that_does_not_report_gets_no_decision(self):
        """The hub knows neither its address nor its paths."""
        hub = test_allocator.Hub(1)
        assert preview(hub) is whereabouts.UNDECIDED


class TestItems:
    """Previews of batch items."""

    def test_a_free_slot(self, hub):
        """An item starts in it."""
        assert preview_item(hub).decision is Decision.ENGINE
        assert not hub.grants

    def test_online_requests_wait(self, hub):
        """They go first."""
        for i in range(SLOTS + 1):
            hub.request(i + 1)
        assert preview_item(hub).decision is Decision.WAITS

    def test_slots_are_left_to_online_arrivals(self, hub):
        """The reserve is told."""
        for i in range(SLOTS - 1):
            hub.request(i + 1)
        found = preview_item(hub)
        assert found.decision is Decision.WAITS
        assert (found.free, found.reserved) == (1, 1)


STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(strategies.just("request"), strategies.integers(0)),
        strategies.tuples(
            strategies.just("items"), strategies.integers(0, 12)
        ),
        strategies.tuples(strategies.just("end"), strategies.integers(0, 20)),
        strategies.tuples(strategies.just("pass"), strategies.integers(0, 20)),
    ),
    max_size=30,
)


def play(steps, previews):
    """Returns all that a hub decided, with previews between the steps."""
    hub = test_allocator.Hub(2)
    hub.report(vm="vm0")
    one = organisations.Organisation("farms", None, 5.0, 3.0)
    hub.allocator.quotas.set_directory(
        organisations.Directory({"farms": one}), 0.0
    )
    for number, (kind, value) in enumerate(steps):
        for _ in range(previews):
            preview(hub, organisation="farms", priority=number % 3)
            preview_item(hub)
        if kind == "request":
            organisation = "farms" if value % 2 else ""
            hub.request(
                number + 1,
                vm="vm1",
                organisation=organisation,
                priority=value % 3,
            )
        elif kind == "items":
            hub.fill_with_items(value, vm=f"batch{number}")
        elif kind == "end":
            end = slotmessages.RunEnd(value, slotmessages.Outcome.OK)
            hub.report(ended=[end], vm="vm1")
        else:
            hub.now_s += value / 100
            hub.allocate()
    return (
        hub.grants,
        hub.denials,
        hub.queued,
        hub.preempted,
        hub.allocator.granted,
        hub.allocator.quotas.refused,
    )


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(STEPS)
def test_previews_change_no_decision(steps):
    """A look at the hub must not move requests or charge quotas."""
    assert play(steps, 0) == play(steps, 3)


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    strategies.integers(0, 3 * SLOTS), strategies.integers(0, 3 * SLOTS)
)
def test_a_preview_tells_what_the_request_gets(online, items):
    """If nothing changes between them."""
    hub = test_allocator.Hub(2)
    hub.report(vm="vm0")
    for i in range(online):
        hub.request(i + 1)
    hub.fill_with_items(items)
    told = preview(hub)
    stopped = len(hub.preempted)
    hub.request(1000)
    key = ("vm0", 1000)
    if told.decision is Decision.WAITS:
        assert key in hub.queued
    elif told.decision is Decision.REFUSED:
        assert hub.denials[key] == told.wait_s
    else:
        assert hub.grants[key] == told.engine.id
        is_stop = told.decision is Decision.STOPS_ITEM
        assert len(hub.preempted) - stopped == is_stop


def test_a_preview_is_not_the_answer_to_a_request_that_it_displaces():
    """A denial of another request comes first among the messages."""
    hub = test_allocator.Hub(1)
    for number in range(SLOTS):
        hub.request(1, vm=f"vm{number}")
    hub.request(2, vm="vm1", returns=True, wait_max_s=0.12)
    assert ("vm1", 2) in hub.queued
    found = preview(hub, wait_max_s=0.12)
    assert found.decision is whereabouts.Decision.WAITS
