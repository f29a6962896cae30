"""Engines that say in their answers that they leave.

The registry lists them as ready all the time: some never report that they
drain, and an answer may tell sooner than the list.
"""

import threading

import hypothesis
from hypothesis import strategies as st
import pytest

from samphirepost import leaving
from samphirepost import roster
from samphirepost_bench import entryfleet
from samphirepost_bench import streamengine
from tests import entryhelper
from tests import test_stranded

Fault = streamengine.Fault


@pytest.fixture
def fleet():
    """Two daemons with two engines."""
    new_fleet = entryhelper.Fleet(daemons=2)
    yield new_fleet
    new_fleet.stop()


def is_known(daemon, engine):
    """Whether a daemon no longer uses an engine that is listed as ready."""
    listed = daemon.state.roster.get(engine.name)
    assert not listed.draining
    return not daemon.state.is_usable(listed)


def assert_not_used(fleet, engine):
    """Sends requests and a job; none of them reaches the engine."""
    entryhelper.wait_until(
        lambda: all(is_known(one, engine) for one in fleet.daemons),
        "all daemons know it",
    )
    before = len(engine.arrivals)
    for number in range(12):
        reply = fleet.send_online(f"after-{number}", daemon=number % 2)
        assert reply.status == 200
    fleet.submit("after", 4)
    entryhelper.wait_until(
        lambda: fleet.complete_results("after"), "the job is done"
    )
    assert len(engine.arrivals) == before


def list_other(fleet, state):
    """Lists the second engine in a state; waits until all daemons know."""
    other = fleet.engines[1]
    fleet.list_engine(other, state)
    for daemon in fleet.daemons:
        entryhelper.wait_until(
            lambda one=daemon: (
                one.state.is_usable(one.state.roster.get(other.name))
                == (state == "ready")
            ),
            f"the second engine is {state}",
        )


def tell(fleet, fault=None, daemon=0, path="/notes/1"):
    """Has the first engine answer a request that it leaves; returns it.

    The other engine takes no requests meanwhile.
    """
    list_other(fleet, "draining")
    engine = fleet.engines[0]
    engine.says_leaving = True
    if fault is not None:
        engine.faults.append(fault)
    fleet.send_online("told", path, daemon)
    assert engine.arrivals
    list_other(fleet, "ready")
    return engine


@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_an_engine_that_says_so_in_a_stream_gets_no_new_work(fleet, path):
    """From any daemon: they hear of it through the hub."""
    assert_not_used(fleet, tell(fleet, path=path))


def test_an_engine_that_says_so_in_a_refusal_gets_no_new_work(fleet):
    """The request itself goes to another engine."""
    assert_not_used(fleet, tell(fleet, Fault.REFUSE))


def test_an_engine_that_says_so_to_an_item_gets_no_new_work(fleet):
    """The item that it runs is completed."""
    fleet.engines[0].says_leaving = True
    fleet.submit("job", 12)
    entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )
    assert fleet.engines[0].arrivals
    assert_not_used(fleet, fleet.engines[0])


def test_an_engine_that_starts_again_is_used_again(fleet):
    """It is another incarnation under the same id."""
    engine = tell(fleet)
    daemon = fleet.daemons[0]
    entryhelper.wait_until(lambda: is_known(daemon, engine), "it is known")
    engine.says_leaving = False
    entry = engine.entry(entryfleet.POOL) | {"born": 7}
    fleet.store.put_row("servers", engine.name, entry)
    entryhelper.wait_until(
        lambda: daemon.state.is_usable(daemon.state.roster.get(engine.name)),
        "it is used again",
    )


@pytest.fixture
def stranded():
    """Four daemons and two engines whose connections can be cut."""
    new_fleet = test_stranded.StrandedFleet(engines=2)
    yield new_fleet
    new_fleet.stop()


def test_an_engine_that_says_so_through_a_peer_gets_no_new_work(stranded):
    """A VM without a path to the engines hears of it all the same."""
    (cut_off,), _ = test_stranded.choose(stranded, 1, with_hub=False)
    stranded.strand([cut_off], new="refuse")
    daemon = stranded.daemons[cut_off]
    stranded.send_online("first", daemon=cut_off)
    entryhelper.wait_until(
        lambda: daemon.paths.is_doubtful, "the daemon doubts its paths"
    )
    engine = tell(stranded, daemon=cut_off)
    told = entryhelper.wait_until(
        lambda: daemon.state.marks.to_report(0.0), "the daemon was told"
    )
    assert [one.engine for one in told] == [engine.name]


# On real machines, a feed that stalled kept an engine in use that drained or
# whose entry was removed: up to 2.7 s where 2 s are allowed.
@pytest.mark.parametrize("way", ["draining", "removed"])
def test_a_daemon_with_a_stalled_feed_hears_from_the_hub(fleet, way):
    """The daemon itself reads the list only later."""
    vm = entryhelper.wait_until(fleet.common_hub, "all have one hub")
    stalled = next(one for one in fleet.daemons if one.parts.me != vm)
    has_stalled = threading.Event()
    # A failed poll is tried again after a pause.
    stalled.watchers[1].poll_once = has_stalled.set
    assert has_stalled.wait(entryhelper.WAIT_S)
    hub = next(one for one in fleet.daemons if one is not stalled)
    engine = fleet.engines[0]
    listed = stalled.state.roster.get(engine.name)
    if way == "removed":
        fleet.store.remove_row("servers", engine.name)
    else:
        fleet.list_engine(engine, "draining")
    entryhelper.wait_until(
        lambda: not hub.state.is_usable(listed), "the hub has read it"
    )
    entryhelper.wait_until(
        lambda: not stalled.state.is_usable(listed),
        "the daemon no longer uses it",
    )
    assert stalled.state.roster.get(engine.name) == listed


class TestEnginesThatLeave:
    """What a daemon remembers of engines that leave."""

    ENGINE = roster.Engine("e1", "plants", "127.0.0.1:1", "a", 8, started_ms=5)

    def test_its_own_word_holds_whatever_the_registry_says(self):
        """Also while the list still names it ready, and for long."""
        known = leaving.EngineMarks()
        assert not known.is_marked(self.ENGINE, 0.0)
        assert known.record_told(self.ENGINE, 0.0)
        assert not known.record_told(self.ENGINE, 1.0)
        for now_s in (0.0, 60.0, leaving.TOLD_KEPT_S):
            assert known.is_marked(self.ENGINE, now_s)

    def test_an_announcement_replaces_the_last_one(self):
        """And ends by itself, if no other follows."""
        known = leaving.EngineMarks()
        known.announce([leaving.incarnation(self.ENGINE)], 0.0)
        assert known.is_marked(self.ENGINE, 1.0)
        late_s = leaving.ANNOUNCEMENT_VALID_S + 0.1
        assert not known.is_marked(self.ENGINE, late_s)
        known.announce([], 1.0)
        assert not known.is_marked(self.ENGINE, 1.0)


@hypothesis.given(
    st.lists(
        st.tuples(st.integers(0, 3), st.integers(0, 2), st.floats(0, 30)),
        max_size=30,
    )
)
def test_the_hub_knows_what_any_daemon_was_told(told):
    """Whichever daemon reports, and how often."""
    hub = leaving.ReportedMarks()
    now_s, expected = 0.0, set()
    for engine, started_ms, pause_s in told:
        now_s += pause_s
        one = leaving.Incarnation(f"e{engine}", started_ms)
        assert hub.apply((one,), now_s) == (one not in expected)
        expected.add(one)
    assert set(hub.known(now_s)) == expected
