"""Tests the search for a second answer, and how long it takes."""

import re

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import embeddedhead

HEADER = "Request-Id"
PIECES = (
    b"HTTP/1.1 200 OK",
    b"http/1.0 500",
    b"HTTP/1.",
    b"/1.1 200",
    b"HTTP/1.1 20",
    b"\r\n",
    b"\n",
    b"\r",
    b"\r\n\r\n",
    b"Request-Id: r1",
    b"request-id:R1",
    b"Request-Id:  r1",
    b"Request-Id: r1 ",
    b"Request-Id: r2",
    b"Name: value",
    b"x",
    b" ",
)


def matches(data, value):
    """Returns the same by a regular expression, in quadratic time."""
    status_line = rb"HTTP/1\.\d \d{3}[^\r\n]*\r\n"
    header = rf"{HEADER}: *{re.escape(value)}\r\n".encode()
    pattern = status_line + rb"(?:[^\r\n]+\r\n)*?" + header
    return re.search(pattern, data, re.IGNORECASE) is not None


@hypothesis.settings(max_examples=3000, derandomize=True, deadline=None)
@hypothesis.given(strategies.lists(strategies.sampled_from(PIECES)))
def test_heads_are_found_as_by_the_expression(pieces):
    data = b"".join(pieces)
    found = embeddedhead.holds_head(data, HEADER, "r1")
    assert found == matches(data, "r1")


class CountingBytes(bytes):
    """Counts the bytes that find() looks at and that slices copy."""

    looked_at = 0

    def find(self, piece, start=0, end=None):
        """Returns where a piece is; counts the bytes up to its end."""
        end = len(self) if end is None else end
        found = super().find(piece, start, end)
        stop = end if found < 0 else found + len(piece)
        self.looked_at += max(0, stop - start)
        return found

    def __getitem__(self, key):
        found = super().__getitem__(key)
        self.looked_at += len(found)
        return found


# review/7, CONFIG: an answer of 60,000 status lines hung the whole process, as
# the search went through all that followed each of them.
@pytest.mark.parametrize(
    "line",
    [
        b"HTTP/1.1 200 OK\r\n",
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200 \r",
        b"HTTP/1.1 200 \n",
        b"HTTP/1.1 200 OK\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nRequest-Id: r2\r\n",
        b"/1.",
        b"\r\n",
        b"\r",
        b"x",
    ],
)
def test_each_byte_is_looked_at_a_few_times(line):
    data = CountingBytes(line * 20_000)
    assert not embeddedhead.holds_head(data, HEADER, "r1")
    assert data.looked_at <= 12 * len(data)
