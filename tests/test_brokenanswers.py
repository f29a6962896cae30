"""Answers of faulty engines that must not pass for sound ones.

The engines are servers that send scripted bytes for each request.
"""

import re
import threading

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_bench import entryfleet
from samphirepost_daemon.entry import items
from tests import entryhelper

HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n"
)
UNSEALED_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
STALE_REFUSAL = (
    "HTTP/1.1 503 Busy\r\nRequest-Id: earlier\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n"
)
BEGUN_STREAM = HEAD + "\r\nid: 1\ndata: {id}:1\n\nid: 2\nda"
# How much later an engine sends what it adds to an answer (s).
ADDED_AFTER_S = 0.2
ROUTES = (
    *entryfleet.ROUTES,
    entryfleet.route("slips", "/slips/", "idempotent"),
    entryfleet.route("prints", "/prints/", "non_idempotent"),
)


class ScriptedEngine(entryhelper.RawServer):
    """Sends `script` for each request, with the request's id, then closes.

    Later requests get `later_script`, unless it is None. After a script,
    `added` follows, which the daemon reads apart.
    """

    def __init__(self, script):
        self._script = script
        self.added = ""
        self.later_script = None
        self.requests = []
        super().__init__()

    def serve(self, conn):
        """Reads one request and sends the script.

        Returns if the connection ends before it, as a test of the path does.
        """
        data = b""
        while b"\r\n\r\n" not in data:
            received = conn.recv(65_536)
            if not received:
                return
            data += received
        found = [
            line.partition(": ")[2]
            for line in data.decode().split("\r\n")
            if line.lower().startswith("request-id: ")
        ]
        if not found:
            self.answer_other(conn)
            return
        (request,) = found
        self.requests.append(request)
        conn.sendall(self._script.format(id=request).encode())
        self._script = self.later_script or self._script
        if self.added:
            threading.Event().wait(ADDED_AFTER_S)
            conn.sendall(self.added.format(id=request).encode())

    def answer_other(self, conn):
        """Does nothing to a request without an id, such as for a report."""


@pytest.fixture
def fleet():
    """A daemon without engines; scripted ones are listed by script()."""
    new_fleet = entryhelper.Fleet(engines=0)
    new_fleet.configure(2, ROUTES)
    state = new_fleet.daemons[0].state
    entryhelper.wait_until(
        lambda: state.table.revision == 2, "the routes are known"
    )
    yield new_fleet
    new_fleet.stop()


def script(fleet, *scripts):
    """Lists an engine for each script; returns the ScriptedEngines."""
    engines = [ScriptedEngine(one) for one in scripts]
    for number, engine in enumerate(engines):
        fleet.list_address(f"scripted-{number}", engine.address)
    return engines


# More reports of issue 31, 1: an earlier refusal, written once more, passed
# for "not run" of a request that ran, and let it run again.
@pytest.mark.parametrize("path", ["/bills/1", "/prints/1"])
def test_a_refusal_of_another_request_promises_nothing(fleet, path):
    engines = script(fleet, STALE_REFUSAL, STALE_REFUSAL)
    found = fleet.send_online("r1", path)
    assert found.status == 502
    assert sum(one.requests.count("r1") for one in engines) == 1


# What the engine that is to go on with a stream answers in its place.
NOT_THE_REST = {
    "failure": (
        "HTTP/1.1 500 Broken\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
        "Content-Length: 6\r\n\r\nbroken"
    ),
    "page": (
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
        "Content-Type: text/html\r\nContent-Length: 8\r\n\r\nbroken\n\n"
    ),
    "empty page": (
        "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
        "Content-Type: text/html\r\nContent-Length: 0\r\n\r\n"
    ),
    "text": HEAD + "Content-Length: 8\r\n\r\nbroken\n\n",
    "head": (HEAD + "\r\nHTTP/1.1 500 Broken\nRequest-Id: {id}\n\nbroken\n\n"),
    "all again": HEAD + "\r\nid: 1\ndata: {id}:1\n\nid: 2\ndata: x\n\n",
    "a gap": HEAD + "\r\nid: 3\ndata: {id}:3\n\n",
    "text later": HEAD + "\r\nid: 2\ndata: {id}:2\n\nbroken\n\n",
}


# More reports of issue 31, 2: the text of an error, or its head, stood in the
# middle of a stream, or the stream ended as if it were complete.
@pytest.mark.parametrize("rest", NOT_THE_REST)
def test_only_the_rest_of_a_stream_follows_what_broke_off(fleet, rest):
    (engine,) = script(fleet, BEGUN_STREAM)
    engine.later_script = NOT_THE_REST[rest]
    fleet.list_address("again", engine.address)
    found = fleet.send_online("r1")
    assert len(engine.requests) == 2
    assert (found.status, found.complete) == (200, False)
    assert b"broken" not in found.body
    ids = re.findall(rb"^id: (\d+)$", found.body, re.MULTILINE)
    assert ids in ([b"1"], [b"1", b"2"])


# More reports of issue 31, 3: an engine stopped in the middle of its head, and
# callers got a 200 with an empty body, framed as whole.
CUT_HEADS = {
    "in a name": HEAD + "Content-Le",
    "in a number": HEAD + "Content-Length: 1",
    "after a line": HEAD,
    "after the seal": HEAD + "\r\n",
    "before the seal": UNSEALED_HEAD + "\r\n",
    "before the seal, with a body": UNSEALED_HEAD + "\r\nid: 1\ndata: x\n\n",
    "in the status line": "HTTP/1.1 20",
    "in a body": HEAD + "Content-Length: 9\r\n\r\nid: 1",
}


@pytest.mark.parametrize(
    "path", ["/notes/1", "/bills/1", "/slips/1", "/prints/1"]
)
@pytest.mark.parametrize("head", CUT_HEADS)
def test_a_head_that_was_cut_is_no_answer(fleet, head, path):
    script(fleet, CUT_HEADS[head])
    found = fleet.send_online("r1", path)
    assert found.status == 502
    assert "Response-Seal" not in found.headers


# What an engine adds to an answer that has no length. Nothing tells where that
# ends, so a second answer on its connection is read as a part of its body.
ADDED = {
    "a second answer": HEAD + "\r\nid: 1\ndata: {id}:1\n\n",
    "the first event": "id: 1\ndata: {id}:1\n\n",
    "a later event": "id: 9\ndata: {id}:9\n\n",
    "no event": "broken\n\n",
}


# Users' days, MIXED: back ends that stutter may answer twice, the second time
# late, and a caller had both answers in one.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
@pytest.mark.parametrize("added", ADDED)
def test_what_is_added_to_an_answer_is_not_passed_on(fleet, added, path):
    (engine,) = script(
        fleet,
        HEAD + "\r\nid: 1\ndata: {id}:1\n\nid: 2\ndata: {id}:2\n\n",
    )
    engine.added = ADDED[added]
    found = fleet.send_online("r1", path)
    assert (found.status, found.complete) == (200, False)
    assert found.body == (b"id: 1\ndata: r1:1\n\nid: 2\ndata: r1:2\n\n")


BEGINS_LATE = "id: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"


# Any first event passed for the first of its output, so an answer of which the
# beginning was missing was whole.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_a_stream_without_its_beginning_is_no_answer(fleet, path):
    (engine,) = script(fleet, f"{HEAD}Content-Length: 32\r\n\r\n{BEGINS_LATE}")
    found = fleet.send_online("r1", path)
    assert engine.requests
    assert found.status == 502
    assert b"data" not in found.body


# The same for an item, which was listed as done.
def test_an_item_without_its_beginning_is_not_complete():
    engine = ScriptedEngine(f"{HEAD}Content-Length: 32\r\n\r\n{BEGINS_LATE}")
    partial = batchjob.PartialOutput()
    outcome = entryhelper.run_item(
        batchjob.Item("i1", "/evening/1", {}, b"body", 10),
        roster.Engine("e1", "plants", engine.address, "a", 8),
        partial,
    )
    engine.stop()
    assert isinstance(outcome, items.InterruptedRun)
    assert partial.text == b""


PLAIN = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
    "Content-Type: text/plain\r\n"
)
REPORT = "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
REFUSAL = "HTTP/1.1 503 Busy\r\nRequest-Id: {id}\r\nNot-Executed: 1\r\n\r\n"
# Plain answers whose engine answers twice on the connection.
ANSWERED_TWICE = {
    "whole": f"{PLAIN}\r\nthe body{PLAIN}\r\nthe body",
    "refused": f"{PLAIN}\r\nthe body{REFUSAL}",
    "filled up": f"{PLAIN}Content-Length: 90\r\n\r\nthe b{PLAIN}\r\nthe body",
}


class ReportingEngine(ScriptedEngine):
    """A ScriptedEngine that lives on: it answers when asked for its report."""

    def answer_other(self, conn):
        """Answers a request without an id."""
        conn.sendall(REPORT.encode())


# A second answer on its connection stood in the body of a plain answer.
@pytest.mark.parametrize("path", ["/slips/1", "/prints/1"])
@pytest.mark.parametrize("kind", ANSWERED_TWICE)
def test_a_body_with_a_second_answer_is_no_answer(fleet, kind, path):
    engine = ReportingEngine(ANSWERED_TWICE[kind])
    fleet.list_address("scripted", engine.address)
    found = fleet.send_online("r1", path)
    assert engine.requests
    assert found.status == 502
    assert "Response-Seal" not in found.headers


def test_a_plain_answer_without_a_length_is_whole(fleet):
    engine = ReportingEngine(f"{PLAIN}\r\nthe body")
    fleet.list_address("scripted", engine.address)
    found = fleet.send_online("r1", "/slips/1")
    assert (found.status, found.body) == (200, b"the body")


# A comment in front of the first event hid whether the stream begins there.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_comments_do_not_hide_where_a_stream_begins(fleet, path):
    remark = ": hi\n\n"
    events = "id: {number}\ndata: {id}:{number}\n\n"
    first = events.replace("{number}", "1")
    body = remark + first + remark + events.replace("{number}", "2")
    length = len(body.replace("{id}", "r1"))
    (engine,) = script(fleet, f"{HEAD}Content-Length: {length}\r\n\r\n{body}")
    found = fleet.send_online("r1", path)
    assert (found.status, found.complete) == (200, True)
    assert found.text == "r1:1\nr1:2"
    late = remark + events.replace("{number}", "7")
    length = len(late.replace("{id}", "r2"))
    engine.later_script = f"{HEAD}Content-Length: {length}\r\n\r\n{late}"
    engine._script = engine.later_script
    found = fleet.send_online("r2", path)
    assert found.status == 502
