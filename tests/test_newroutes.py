"""Jobs of a route that a daemon does not know yet, or not any more."""

import threading

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import routing
from samphirepost import slotmessages
from samphirepost_bench import entryfleet
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import state as state_module
from tests import entryhelper

NEW_ROUTE = entryfleet.route(
    "evening", "/evening/", "batch", maxAttempts=2, retentionS=60
)
OTHER_ROUTES = tuple(
    one for one in entryfleet.ROUTES if one["name"] != "evening"
)


@pytest.fixture
def pair():
    """Two daemons with two engines."""
    new_fleet = entryhelper.Fleet(daemons=2)
    yield new_fleet
    new_fleet.stop()


def configure(fleet, version, routes, daemons):
    """Writes tables and waits until some daemons have them."""
    fleet.configure(version, routes)
    for number in daemons:
        state = fleet.daemons[number].state
        entryhelper.wait_until(
            lambda one=state: one.table.revision == version, "it is read"
        )


def stall_tables(daemon):
    """Stops a daemon's reads of the tables; returns the event that ends it."""
    released = threading.Event()
    stalled = threading.Event()
    watcher = next(one for one in daemon.watchers if one.name == "watch-op")
    poll_once = watcher.poll_once

    def wait():
        stalled.set()
        released.wait(entryhelper.WAIT_S)
        watcher.poll_once = poll_once
        return True

    watcher.poll_once = wait
    entryhelper.wait_until(stalled.is_set, "the reads are stalled")
    return released


# review/13, MIXED: a daemon that took a job of a new route over took the route
# for removed, as its tables were older, and gave all items up at once.
def test_items_of_a_new_route_wait_for_the_tables(pair):
    configure(pair, 2, OTHER_ROUTES, (0, 1))
    released = stall_tables(pair.daemons[1])
    configure(pair, 3, (*OTHER_ROUTES, NEW_ROUTE), (0,))
    for engine in pair.engines:
        engine.event_interval_s = 0.2
    assert pair.submit("job", 4).status == 202
    pair.daemons[0].actor.tell(holdermessages.Stop())
    entryhelper.wait_until(
        lambda: pair.daemons[1].state.held_jobs, "the job is taken over"
    )
    over_s = state_module.boottime_s() + 2 * state_module.TABLE_FRESH_S
    entryhelper.wait_until(
        lambda: state_module.boottime_s() > over_s, "the tables are old"
    )
    found = pair.results("job", daemon=1)["results"]
    assert all(one["state"] == "done" for one in found)
    released.set()
    results = entryhelper.wait_until(
        lambda: pair.complete_results("job", daemon=1), "the job is done"
    )
    assert {one["state"] for one in results} == {"done"}


@hypothesis.given(
    confirmed_s=strategies.floats(0.0, 100.0),
    since_s=strategies.floats(0.0, 100.0),
    newer=strategies.booleans(),
)
def test_tables_say_nothing_of_what_came_after_them(
    confirmed_s, since_s, newer
):
    """An answer of the store may be as old as its request."""
    now_s = 100.0
    state = state_module.State()
    state.apply_table(routing.Table(1, (), {}))
    state.table_confirmed_s = state_module.boottime_s() - (now_s - confirmed_s)
    if newer:
        state.record_peer_tables(slotmessages.TablesAge(2, 0.0))
    if state.knows_tables_since(since_s, now_s):
        assert confirmed_s > since_s
        assert not newer


def test_items_of_a_removed_route_are_given_up(pair):
    for engine in pair.engines:
        engine.event_interval_s = 1.0
    assert pair.submit("job", 40).status == 202
    configure(pair, 2, OTHER_ROUTES, (0, 1))
    results = entryhelper.wait_until(
        lambda: pair.complete_results("job", daemon=1), "the job is over"
    )
    assert "dead_letter" in {one["state"] for one in results}
