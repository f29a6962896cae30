"""Streams that have no length and end with the engine's connection."""

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import items
from tests import entryhelper

Fault = streamengine.Fault


@pytest.fixture
def fleet():
    """One daemon with two engines whose streams are unframed."""
    new_fleet = entryhelper.Fleet()
    for engine in new_fleet.engines:
        engine.unframed = True
    yield new_fleet
    new_fleet.stop()


def test_a_stream_that_ends_after_an_event_is_whole(fleet):
    for path in ("/notes/1", "/bills/1"):
        found = fleet.send_online(f"r{path}", path)
        assert (found.status, found.complete) == (200, True)
        assert found.text == fleet.engines[0].text(f"r{path}")


# The end of the connection could pass for the end of the stream.
def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.CUT_EVENT)
    fleet.engines[0].faults.clear()
    for number in range(4):
        found = fleet.send_online(f"r{number}")
        assert found.complete
        assert found.text == fleet.engines[0].text(f"r{number}")


def test_a_stream_that_ends_inside_an_event_is_cut(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.CUT_EVENT)
    found = fleet.send_online("r1", "/bills/1")
    assert not found.complete
    assert fleet.ran("r1") == 1


# A head and no event passed for a whole answer without events.
def test_a_stream_that_ends_after_its_head_is_no_answer(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.EMPTY)
    found = fleet.send_online("r1", "/bills/1")
    assert found.status == 502
    assert "Response-Seal" not in found.headers


def test_a_stream_that_ends_after_its_head_is_asked_for_elsewhere(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.EMPTY)
    fleet.engines[0].faults.clear()
    for number in range(4):
        found = fleet.send_online(f"r{number}")
        assert (found.status, found.complete) == (200, True)
        assert found.text == fleet.engines[0].text(f"r{number}")


class HeadServer(entryhelper.RawServer):
    """An engine that closes each connection after the head of an answer."""

    def serve(self, conn):
        """Sends a head without a length."""
        conn.recv(65_536)
        conn.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\n\r\n")


# An item that was resumed there passed for complete, with part of its text.
def test_an_item_whose_engine_ends_after_the_head_is_interrupted():
    server = HeadServer()
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    partial = batchjob.PartialOutput()
    assert partial.append_event(1, b"text")
    engine = roster.Engine("e1", "plants", server.address, "a", 8)
    outcome = entryhelper.run_item(item, engine, partial)
    server.stop()
    assert isinstance(outcome, items.InterruptedRun)
    assert (outcome.lost, outcome.has_head) == (True, True)
