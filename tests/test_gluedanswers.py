"""A second answer stands behind a head or an event that was broken off.

Its head and its first event, which has the same id, follow without a gap.
"""

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_daemon.entry import items
from tests import entryhelper
from tests import test_brokenanswers

HEAD = test_brokenanswers.HEAD
EVENTS = "id: 1\ndata: {id}:1\n\nid: 2\ndata: {id}:2\n\n"
BROKEN_EVENTS = {
    "after the head": "",
    "in a name": "id:",
    "after the id": "id: 1",
    "after a line": "id: 1\n",
    "in the data": "id: 1\ndata: {id}",
}

fleet = test_brokenanswers.fleet


def glued(broken):
    return f"{HEAD}\r\n{BROKEN_EVENTS[broken]}{HEAD}\r\n{EVENTS}"


# An item was done whose text had the head of a second answer in it.
@pytest.mark.parametrize("broken", BROKEN_EVENTS)
def test_a_second_answer_does_not_complete_an_event_of_an_item(broken):
    engine = test_brokenanswers.ScriptedEngine(glued(broken))
    partial = batchjob.PartialOutput()
    outcome = entryhelper.run_item(
        batchjob.Item("i1", "/evening/1", {}, b"body", 10),
        roster.Engine("e1", "plants", engine.address, "a", 8),
        partial,
    )
    engine.stop()
    assert isinstance(outcome, items.InterruptedRun)
    assert partial.texts in ([], [b"i1:1"], [b"i1:1", b"i1:2"])


# The same bytes reached callers.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_a_second_answer_does_not_complete_an_event(fleet, path):
    (engine,) = test_brokenanswers.script(fleet, glued("in a name"))
    for number, broken in enumerate(BROKEN_EVENTS):
        engine.later_script = glued(broken)
        found = fleet.send_online(f"r{number}", path)
        assert b"HTTP" not in found.body, broken
