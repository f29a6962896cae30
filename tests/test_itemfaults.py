"""Answers in place of items' outputs, and what they allow."""

import itertools
import random

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_bench import itemfaults
from samphirepost_daemon.entry import items
from tests import entryhelper

Ending = itemfaults.Ending


class FaultyServer(entryhelper.RawServer):
    """Writes the pieces of a Fault until they end or the reader leaves."""

    def __init__(self, fault):
        super().__init__()
        self._fault = fault

    def serve(self, conn):
        """Answers one request."""
        conn.recv(65_536)
        try:
            for piece in itemfaults.pieces(self._fault, "i1"):
                conn.sendall(piece)
        except OSError:
            return


def all_faults():
    for status, ending in itertools.product((200, 422, 500), Ending):
        if (status, ending) != (200, Ending.WHOLE):
            yield itemfaults.Fault(status, ending)


# review/10, MIXED: only an engine's own whole failure may end an item.
@pytest.mark.parametrize("fault", list(all_faults()), ids=str)
def test_only_whole_failures_are_verdicts(fault):
    server = FaultyServer(fault)
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    engine = roster.Engine("e1", "plants", server.address, "a", 8)
    outcome = entryhelper.run_item(item, engine, batchjob.PartialOutput())
    server.stop()
    verdicts = (items.FailedRun, items.UnprocessableItem)
    assert isinstance(outcome, verdicts) == fault.is_verdict


def test_faults_of_an_item_are_the_same_at_all_engines():
    drawn = {
        item: [itemfaults.draw_stumble(7, item, count) for count in range(9)]
        for item in map(str, range(400))
    }
    stumbling = [found for found in drawn.values() if found[0] is not None]
    assert 60 < len(stumbling) < 140
    for found in stumbling:
        first = found[: itemfaults.STUMBLES]
        assert first == [found[0]] * itemfaults.STUMBLES
        assert not any(found[itemfaults.STUMBLES :])
    assert {one[0].ending for one in stumbling} == set(Ending)


def test_faults_are_drawn_by_the_seed():
    drawn = [
        [itemfaults.draw(rng) for _ in range(200)]
        for rng in (random.Random(1), random.Random(1))
    ]
    assert drawn[0] == drawn[1]
    assert 0 < sum(one is not None for one in drawn[0]) < 40


@pytest.mark.parametrize(
    ("faults", "attempts_max", "is_allowed"),
    [
        ([(500, Ending.WHOLE)] * 3, 3, True),
        ([(500, Ending.WHOLE)] * 2, 3, False),
        ([(500, Ending.WHOLE)], 1, True),
        ([(422, Ending.WHOLE)], 3, True),
        ([(422, Ending.CUT_BODY)] * 5, 1, False),
        ([(500, Ending.ENDLESS_BODY)] * 5, 1, False),
        ([(200, Ending.ENDLESS_CHUNKS)] * 5, 1, False),
    ],
)
def test_an_item_may_be_given_up(faults, attempts_max, is_allowed):
    found = [itemfaults.Fault(*one) for one in faults]
    assert itemfaults.may_be_given_up(found, attempts_max) == is_allowed
