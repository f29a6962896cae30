"""Tests that truncated, crossed or reordered streams are never complete."""

import hypothesis
from hypothesis import strategies as st
import msgspec

from samphirepost import errors
from samphirepost import stream
from samphirepost import targetmessages

WORK = "req-000-a"
FAULTS = ("drop", "repeat", "cross", "swap", "late")


def event(position, work=WORK, reason=None):
    """Returns an event's data; with a finish reason, without text."""
    text = "" if reason else f" {position}"
    choice = targetmessages.Choice(text=text, finish_reason=reason)
    return msgspec.json.encode(
        targetmessages.StreamEvent(work, [choice], position)
    )


def stream_events(count):
    """Returns the events of a complete stream of `count` tokens."""
    found = [event(position) for position in range(count)]
    return [*found, event(count, reason="stop"), stream.DONE_DATA]


def inject_fault(events, fault, at):
    """Returns the events with a fault at index `at`."""
    events = list(events)
    at %= len(events)
    if fault == "drop":
        del events[at]
    elif fault == "repeat":
        events.insert(at, events[at])
    elif fault == "cross":
        events.insert(at, event(at, "req-000-other"))
    elif fault == "late":
        events.insert(at, event(0))
    elif at + 1 < len(events):
        events[at], events[at + 1] = events[at + 1], events[at]
    return events


def follow(events):
    """Returns the checker after the events, and the Failure or None."""
    checker = stream.StreamChecker(WORK)
    for data in events:
        if checker.finished:
            break
        found = checker.accept(data)
        if isinstance(found, errors.Failure):
            return checker, found
    return checker, None


@hypothesis.given(
    st.integers(1, 12),
    st.lists(
        st.tuples(st.sampled_from(FAULTS), st.integers(0, 20)), max_size=3
    ),
)
def test_stream_accepted_as_complete_has_the_complete_text(count, faults):
    """Up to three faults are injected into a complete stream."""
    events = stream_events(count)
    for fault, at in faults:
        events = inject_fault(events, fault, at)
    checker, failure = follow(events)
    if failure is None and checker.finished:
        assert checker.text == "".join(f" {n}" for n in range(count))
        assert checker.emitted == count


@hypothesis.given(st.integers(0, 12))
def test_cut_stream_is_not_whole(length):
    """An engine may close the connection within a stream."""
    checker, _ = follow(stream_events(12)[:length])
    assert not checker.finished


def test_repeated_event_is_dropped_and_the_stream_continues():
    """A repeated token must not appear twice in the text."""
    events = stream_events(3)
    checker, failure = follow([events[0], events[0], *events[1:]])
    assert failure is None
    assert checker.finished
    assert checker.text == " 0 1 2"


def test_event_of_another_request_fails_the_stream():
    """Its text must not reach the caller of this request."""
    _, failure = follow([event(0), event(1, "req-000-other")])
    assert failure.kind is errors.Kind.STREAM_CROSSED


def test_end_without_a_reason_fails_the_stream():
    """A stream without a finish reason may be truncated."""
    _, failure = follow([event(0), stream.DONE_DATA])
    assert failure.kind is errors.Kind.STREAM_BROKEN


@hypothesis.given(st.lists(st.integers(1, 30)), st.integers(1, 8))
def test_events_are_the_same_however_they_are_cut(sizes, count):
    """The received chunks may end anywhere within an event."""
    data = b"".join(b"data: " + e + b"\n\n" for e in stream_events(count))
    found, rest, start = [], b"", 0
    for size in [*sizes, len(data)]:
        events, rest = stream.split_events(rest + data[start : start + size])
        found.extend(events)
        start += size
    assert found == stream_events(count)
    assert rest == b""
