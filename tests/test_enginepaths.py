"""Tests which faults are held against an engine, and which against a path."""

import hypothesis
from hypothesis import strategies as st

from samphirepost import enginepaths

ENGINES = ["e0", "e1", "e2", "e3"]
Fault = enginepaths.Fault
Sight = enginepaths.Sight


def fail(paths, *engine_ids, now_s=1.0):
    """Records that connections to engines failed."""
    for engine_id in engine_ids:
        paths.record_unreached(engine_id, now_s)


def test_a_daemon_that_reaches_no_engine_is_stranded():
    paths = enginepaths.EnginePaths()
    assert not paths.is_doubtful
    fail(paths, "e0")
    assert paths.is_doubtful
    assert not paths.is_stranded(4)
    fail(paths, "e1")
    assert paths.is_stranded(4)


def test_a_daemon_with_one_engine_is_stranded_without_it():
    paths = enginepaths.EnginePaths()
    fail(paths, "e0")
    assert paths.is_stranded(1)


def test_one_engine_that_is_reached_ends_the_doubt():
    paths = enginepaths.EnginePaths()
    fail(paths, "e0", "e1", now_s=1.0)
    assert not paths.record_reached("e2", 2.0)
    assert not paths.is_doubtful
    assert paths.unreached() == ("e0", "e1")
    assert paths.record_reached("e0", 2.0)
    assert paths.unreached() == ("e1",)


# stranded of issue 31: what a peer reaches was held against the engine.
def test_an_engine_that_peers_reach_is_not_at_fault():
    paths = enginepaths.EnginePaths()
    fail(paths, "e0")
    for reaches_others in (False, True):
        fault = paths.judge("e0", reaches_others, Sight.REACHED)
        assert fault is Fault.PATH


# A crashed engine was lost to all daemons at once: each asked peers that were
# in doubt themselves, nobody could tell, and no crash was reported (deadly).
def test_a_daemon_that_reaches_others_blames_what_no_peer_can_tell():
    paths = enginepaths.EnginePaths()
    fail(paths, "e0")
    assert paths.judge("e0", True, Sight.UNKNOWN) is Fault.ENGINE
    assert not paths.is_doubtful


def test_a_daemon_that_reaches_nothing_blames_nobody_by_itself():
    paths = enginepaths.EnginePaths()
    fail(paths, "e0")
    assert paths.judge("e0", False, Sight.UNKNOWN) is Fault.UNKNOWN
    assert paths.is_doubtful


def test_unreached_engines_are_tested_one_at_a_time_the_oldest_first():
    paths = enginepaths.EnginePaths()
    fail(paths, "e0", now_s=1.0)
    fail(paths, "e1", now_s=1.1)
    assert paths.next_to_test(1.2) is None
    due_s = 1.2 + enginepaths.TEST_INTERVAL_S
    assert paths.next_to_test(due_s) == "e0"
    fail(paths, "e0", now_s=due_s)
    assert paths.next_to_test(due_s) == "e1"


steps = st.lists(
    st.tuples(
        st.sampled_from(["reached", "unreached", "judge", "retain"]),
        st.sampled_from(ENGINES),
        st.sampled_from(list(Sight)),
    ),
    max_size=40,
)


@hypothesis.given(steps)
def test_the_last_connection_decides(found):
    """Whatever was judged before, a reached engine is not unreached.

    A daemon is never in doubt after a connection to any engine.
    """
    paths = enginepaths.EnginePaths()
    last = {}
    for now_s, (what, engine_id, sight) in enumerate(found, start=1):
        if what == "reached":
            paths.record_reached(engine_id, float(now_s))
            assert not paths.is_doubtful
            last.pop(engine_id, None)
        elif what == "unreached":
            paths.record_unreached(engine_id, float(now_s))
            last[engine_id] = True
        elif what == "judge":
            paths.judge(engine_id, False, sight)
        else:
            paths.retain([engine_id])
            last = {key: True for key in last if key == engine_id}
        assert set(paths.unreached()) == set(last)
        if paths.is_stranded(len(ENGINES)):
            assert paths.is_doubtful
