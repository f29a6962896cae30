"""Marks on engines that get no new work; see also test_leaving.py."""

import hypothesis
from hypothesis import strategies as st
import pytest

from samphirepost import leaving
from samphirepost import roster

ENGINES = [
    roster.Engine(name, "plants", address, "a", 8, started_ms=started_ms)
    for name in ("e1", "e2")
    for address in ("10.0.0.1:1", "10.0.0.2:1")
    for started_ms in (1, 2)
]
STALE = leaving.Reason.STALE


@hypothesis.given(
    st.lists(
        st.tuples(st.sampled_from(ENGINES), st.floats(0, 3)), max_size=30
    ),
    st.floats(0, 10),
)
def test_only_the_entries_that_were_told_are_marked_for_a_while(told, pause_s):
    """By id, address and start, however often they are told."""
    known = leaving.EngineMarks()
    now_s, last_s = 0.0, {}
    for engine, gap_s in told:
        now_s += gap_s
        known.record_told(engine, now_s, STALE)
        last_s[engine] = now_s
        assert known.is_marked(engine, now_s)
    now_s += pause_s
    for engine in ENGINES:
        if known.is_marked(engine, now_s):
            assert now_s - last_s[engine] <= leaving.STALE_KEPT_S
        else:
            key = leaving.entry(engine)
            left = {one.entry for one in known.stale_to_report(now_s)}
            assert key not in left


STEP = st.sampled_from(("tell", "report", "announce", "pause", "new hub"))


@hypothesis.given(
    st.lists(st.tuples(STEP, st.floats(0, 2)), max_size=40),
    st.floats(0, 0.2),
)
def test_a_mark_ends_at_all_daemons(steps, delay_s):
    """Whatever is lost, late or told again, and whichever daemon is the hub.

    The instants of one daemon mean nothing to another one, and each message
    takes `delay_s`.
    """
    engine = ENGINES[0]
    teller, hub = leaving.EngineMarks(), leaving.ReportedMarks()
    listener = leaving.EngineMarks()
    now_s, told_s = 0.0, None
    for step, gap_s in steps:
        if step == "tell":
            teller.record_told(engine, now_s, STALE)
            told_s = now_s
        elif step == "report":
            report = teller.stale_to_report(now_s)
            hub.apply((), 1000.0 + now_s + delay_s, report)
        elif step == "announce":
            stale = hub.known_stale(1000.0 + now_s)
            listener.announce((), 5000.0 + now_s + delay_s, stale)
        elif step == "new hub":
            hub = leaving.ReportedMarks()
        else:
            now_s += gap_s
        if listener.is_marked(engine, 5000.0 + now_s):
            # The hub and the listener each add a delay and a rounding.
            late_s = 2 * delay_s + 0.01
            assert now_s - told_s <= leaving.STALE_KEPT_S + late_s
    hub = leaving.ReportedMarks()
    teller.record_told(ENGINES[1], now_s, STALE)
    hub.apply((), now_s, teller.stale_to_report(now_s))
    listener.announce((), now_s, hub.known_stale(now_s))
    assert listener.is_marked(ENGINES[1], now_s)


def test_a_late_report_does_not_renew_a_mark():
    """Reports are repeated, as they may be lost."""
    known, hub = leaving.EngineMarks(), leaving.ReportedMarks()
    known.record_told(ENGINES[0], 0.0, STALE)
    assert hub.apply((), 0.0, known.stale_to_report(0.0))
    assert not hub.apply((), 3.0, known.stale_to_report(3.0))
    late_s = leaving.STALE_KEPT_S + 0.1
    assert not hub.known_stale(late_s)
    assert not known.stale_to_report(late_s)


@pytest.mark.parametrize("left_s", [-1.0, 1e9, float("inf")])
def test_an_odd_time_in_a_message_is_bounded(left_s):
    """As no mark may last."""
    stale = leaving.StaleEntry(leaving.entry(ENGINES[0]), left_s)
    known, hub = leaving.EngineMarks(), leaving.ReportedMarks()
    hub.apply((), 0.0, (stale,))
    known.announce((), 0.0, (stale,))
    late_s = leaving.STALE_KEPT_S + 0.1
    assert not hub.known_stale(late_s)
    assert not known.is_marked(ENGINES[0], late_s)


def test_both_reasons_hold_apart():
    """An engine that leaves does so for longer, at any address."""
    known = leaving.EngineMarks()
    known.record_told(ENGINES[0], 0.0, STALE)
    known.record_told(ENGINES[0], 0.0)
    assert len(known.to_report(0.0)) == len(known.stale_to_report(0.0)) == 1
    late_s = leaving.STALE_KEPT_S + 0.1
    assert known.is_marked(ENGINES[0], late_s)
    assert not known.stale_to_report(late_s)
