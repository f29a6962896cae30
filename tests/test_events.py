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


class CountingBuffer(bytearray):
    """Counts the bytes that are looked at and copied."""

    looked_at = 0

    def find(self, piece, start=0):
        """Returns where a piece is."""
        type(self).looked_at += len(self) - start
        return super().find(piece, start)

    def __add__(self, data):
        type(self).looked_at += len(self)
        return CountingBuffer(super().__add__(data))

    def split(self, piece):
        """Returns the parts between the pieces."""
        type(self).looked_at += len(self)
        return [CountingBuffer(one) for one in super().split(piece)]


# review/7, the same cause: an event without end that comes in small pieces was
# copied with each of them, up to 1 MiB.
def test_an_event_in_small_pieces_is_looked_at_once():
    """Its engine would take the whole processor of a daemon."""
    parser = events.Parser()
    parser._buffer = CountingBuffer()
    CountingBuffer.looked_at = 0
    for _ in range(20_000):
        assert parser.feed(b"x") == []
    assert len(parser.incomplete) == 20_000
    assert CountingBuffer.looked_at <= 3 * 20_000


def test_the_end_of_an_event_may_come_in_two_pieces():
    """Only new bytes are searched, and the last one before them."""
    parser = events.Parser()
    for piece in (b"id: 1\ndata: a", b"\n", b"\nid: 2\ndata: b\n", b""):
        found = parser.feed(piece)
        assert bool(found) == piece.startswith(b"\nid")
    assert parser.incomplete == b"id: 2\ndata: b\n"
    assert [one.id for one in parser.feed(b"\n")] == [2]
