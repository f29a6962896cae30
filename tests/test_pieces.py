"""Tests of splitting values larger than a store row, and joining them."""

import base64

import hypothesis
from hypothesis import strategies

from samphirepost_daemon.entry import chunks
from samphirepost_daemon.entry import store

_row_sizes = strategies.sampled_from([8, 64, 65536])
_values = strategies.lists(
    strategies.binary(min_size=1, max_size=300), min_size=1, max_size=5
)


def rows(chunker, values):
    """Returns the rows of all values, in key order."""
    all_rows = []
    for number, value in enumerate(values):
        puts = chunker.split_to_rows(
            store.Key("results", "h", f"job/{number:06d}"), value
        )
        all_rows.extend(store.Row(key, data, 1) for key, data in puts.items())
    return all_rows


@hypothesis.given(_row_sizes, strategies.binary(max_size=5000))
def test_no_piece_is_larger_than_a_row(row_bytes_max, data):
    """Chunks must stay within the row limit once encoded in base64.

    The store rejects larger rows.
    """
    for chunk in chunks.Chunker(row_bytes_max).split(data):
        assert len(base64.b64encode(chunk)) <= row_bytes_max


@hypothesis.given(_row_sizes, _values, strategies.integers(1, 40))
@hypothesis.example(64, [b"y" * 100], 2)
def test_a_page_that_ends_anywhere_gives_whole_values(size, values, end):
    """The last value of a page may lack chunks that the next page has.

    Returned as complete, it would be truncated.
    """
    chunker = chunks.Chunker(size)
    all_rows = rows(chunker, values)
    page = all_rows[:end]
    more = len(page) < len(all_rows)
    found = chunker.join(page, more)
    assert found == values[: len(found)]
    if not more:
        assert found == values


def test_a_value_of_just_whole_pieces_is_read():
    """A full last chunk must not look like one that others follow."""
    chunker = chunks.Chunker(64)
    value = b"y" * (2 * chunker.chunk_bytes_max)
    assert chunker.join(rows(chunker, [value]), more=False) == [value]
