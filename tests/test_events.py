"""Tests that event streams are forwarded in complete events only."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import events


def encode(number, lines):
    """Returns an event's bytes."""
    data = b"".join(b"data: " + line + b"\n" for line in lines)
    return b"id: %d\n" % number + data + b"\n"


_line = strategies.binary(max_size=20).map(
    lambda data: data.replace(b"\n", b"").replace(b"\r", b"")
)


@hypothesis.given(
    strategies.lists(strategies.lists(_line, min_size=1, max_size=3)),
    strategies.lists(strategies.integers(1, 30)),
)
def test_cuts_between_packets_do_not_matter(texts, cuts):
    """The same events are parsed wherever the bytes are split."""
    stream = b"".join(encode(i, lines) for i, lines in enumerate(texts))
    parser = events.Parser()
    found = []
    unread = stream
    for cut in cuts:
        found += parser.feed(unread[:cut])
        unread = unread[cut:]
    found += parser.feed(unread)
    assert b"".join(event.raw for event in found) == stream
    assert [event.id for event in found] == list(range(len(texts)))
    assert parser.incomplete == b""
    assert [event.data for event in found] == [b"\n".join(t) for t in texts]


def test_a_version_line_is_no_data():
    """A line with the weights' version is part of the raw bytes only."""
    raw = b"weight-versions: 7\nid: 3\ndata: lily\n\n"
    (event,) = events.Parser().feed(raw)
    assert (event.raw, event.id, event.data) == (raw, 3, b"lily")


def test_an_incomplete_event_is_not_returned():
    """An engine that stops within an event must not complete it."""
    parser = events.Parser()
    assert parser.feed(b"id: 1\ndata: a\n\nid: 2\nda")[0].id == 1
    assert parser.incomplete == b"id: 2\nda"


# A second answer behind an event that was broken off completed that event.
@pytest.mark.parametrize(
    "block",
    [
        b"id: 1\ndata: aHTTP/1.1 200 OK\r\nRequest-Id: r\r\n\r\nid: 1",
        b"id: 1\ndata: aHTTP/1.1 200 OK\nRequest-Id: r",
        b"HTTP/1.1 200 OK",
        b"id: 1\ndata: a\nid: 2\ndata: b",
        b"id: 1\ndata: a\r",
        b"broken",
    ],
)
def test_what_is_no_event_ends_the_stream(block):
    parser = events.Parser()
    found = parser.feed(b"id: 1\ndata: a\n\n" + block + b"\n\nid: 2\n\n")
    assert [event.id for event in found] == [1]
    assert parser.is_unsound
    assert parser.feed(b"id: 2\ndata: b\n\n") == []


def test_comments_and_other_fields_are_parts_of_events():
    raw = b": comment\nevent: token\nretry\nid: 3\ndata: lily\ndata\n\n"
    (event,) = events.Parser().feed(raw)
    assert (event.id, event.data) == (3, b"lily\n")
