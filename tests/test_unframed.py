"""Streams that have no length and end with the engine's connection."""

import threading

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import holdermessages
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


class EventServer(entryhelper.RawServer):
    """An engine whose answer has no length; it ends when the caller leaves.

    `sent` is set once an event has been sent.
    """

    def __init__(self):
        super().__init__()
        self.sent = threading.Event()

    def serve(self, conn):
        """Sends a head and one event, then waits for the caller."""
        conn.recv(65_536)
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\n"
            b"Response-Seal: s\r\n\r\nid: 1\ndata: a\n\n"
        )
        self.sent.set()
        conn.recv(65_536)


class StoppingObserver(items.RunObserver):
    """Stops a run as its head arrives, as if it lost its slot then."""

    __slots__ = ("_run",)

    def __init__(self, run):
        self._run = run

    def head_received(self, _head):
        """Stops the run once an event is on its way."""
        self._run.stop()


@pytest.fixture
def event_server():
    """An EventServer."""
    server = EventServer()
    yield server
    server.stop()


# The end of the connection that the daemon had closed itself passed for the
# engine's, so the item was listed as done with part of its text.
def test_an_item_that_loses_its_slot_is_not_complete(event_server):
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    record = batchjob.Record("job", "h", "r", item.path, (item,))
    engine = roster.Engine("e1", "plants", event_server.address, "a", 8)
    partial = batchjob.PartialOutput()
    run = holdermessages.ItemRun(1, ("h", "job"), 0, engine, partial)
    outcome = items.run_item(
        entryhelper.DirectPaths(),
        record,
        item,
        engine,
        run,
        # The connection ends before the flag is looked at again.
        lambda: False,
        StoppingObserver(run),
    )
    assert isinstance(outcome, items.InterruptedRun)
    assert not outcome.lost


# The same for whoever reads the answer, and however its bytes come.
def test_an_aborted_call_has_no_end_of_response(event_server):
    call = engineclient.Call()
    engine = roster.Engine("e1", "plants", event_server.address, "a", 8)
    call.connect(lambda one: engineclient.dial(one.address, 1.0), engine)
    headers = [("Host", "h"), ("Content-Length", "0")]
    assert call.send("POST", "/evening/1", headers, b"") is None
    assert event_server.sent.wait(entryhelper.WAIT_S)
    assert isinstance(call.read(entryhelper.WAIT_S), engineclient.ResponseHead)
    call.abort()
    parts = []
    while not (parts and isinstance(parts[-1], engineclient.CallFailure)):
        parts.append(call.read(entryhelper.WAIT_S))
        assert not isinstance(parts[-1], engineclient.EndOfResponse)
    call.close()
    assert not parts[-1].lost
