"""Where a stream ends that may be resumed, if its answers have no length."""

import contextlib
import threading
import time

import pytest

from samphirepost import streamends
from samphirepost_daemon.entry import streamend
from tests import entryhelper

EVENTS = 6
TEXT = "\n".join(str(number) for number in range(1, EVENTS + 1))


class EndingServer(entryhelper.RawServer):
    """An engine that ends its answers as the `ends` of its next ones say.

    An end is the number of events after which an answer without a length
    ends, None for all that follow of `events`, or what is sent in its place.
    The last one stands for all further answers. `first_id` is the id of the
    first event, None for events without ids; `headers` are added to each
    head. `resumed` has the id of the event after which each request asked,
    None for none; `deadlines` their Deadline-Ms. `left` is set once a caller
    has closed the connection of a silent answer.
    """

    def __init__(self, *ends, first_id=1, events=EVENTS, headers=b""):
        super().__init__()
        self.ends = list(ends)
        self.first_id = first_id
        self.events = events
        self.headers = headers
        self.resumed = []
        self.deadlines = []
        self.left = threading.Event()

    def serve(self, conn):
        """Answers one request."""
        head, _, body = conn.recv(65_536).partition(b"\r\n\r\n")
        if not head:
            # A test of the path.
            return
        if head.startswith(b"GET /report "):
            conn.sendall(b"HTTP/1.1 404 Not Found\r\n\r\n")
            return
        lines = [line.partition(b":") for line in head.lower().split(b"\r\n")]
        found = {name: value.strip() for name, _, value in lines}
        while len(body) < int(found.get(b"content-length", 0)):
            received = conn.recv(65_536)
            if not received:
                return
            body += received
        after = found.get(b"last-event-id")
        self.resumed.append(None if after is None else int(after))
        self.deadlines.append(int(found[b"deadline-ms"]))
        end = self.ends.pop(0) if len(self.ends) > 1 else self.ends[0]
        start = 0
        if after is not None:
            start = int(after) + 1 - (self.first_id or 0)
        self._send(conn, found[b"request-id"], start, end)

    def _send(self, conn, request, start, end):
        head = (
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
            b"Content-Type: text/event-stream\r\n%s" % (request, self.headers)
        )
        if isinstance(end, Framed):
            body = self._events(start, start + end.count)
            head += b"Content-Length: %d\r\n" % len(body)
            conn.sendall(head + b"\r\n" + body)
        elif isinstance(end, bytes):
            conn.sendall(end % request)
        elif end == SILENT:
            conn.sendall(head + b"\r\n")
            # Nothing comes until the other side closes.
            with contextlib.suppress(OSError):
                conn.recv(1)
            self.left.set()
        else:
            stop = self.events if end is None else start + end
            conn.sendall(head + b"\r\n" + self._events(start, stop))

    def _events(self, start, stop):
        lines = []
        for number in range(start, min(stop, self.events)):
            if self.first_id is not None:
                lines.append(b"id: %d\n" % (self.first_id + number))
            lines.append(b"data: %d\n\n" % (number + 1))
        return b"".join(lines)


class Framed:
    """An answer of `count` events that has a length."""

    def __init__(self, count):
        self.count = count


SILENT = "silent"
REFUSED = (
    b"HTTP/1.1 503 Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n"
)
FAILED = (
    b"HTTP/1.1 500 Failed\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
    b"Content-Length: 0\r\n\r\n"
)
CROSSED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: x%s\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
)
UNSEALED = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\n"
    b"Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n"
)
INSIDE = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\n\r\nid: 4\nda"
)


@pytest.fixture
def fleet():
    """A daemon without engines."""
    new_fleet = entryhelper.Fleet(engines=0)
    yield new_fleet
    new_fleet.stop()


@pytest.fixture
def start(fleet):
    """Returns a function that starts an EndingServer and lists it."""
    servers = []

    def start_server(*ends, **kwargs):
        server = EndingServer(*ends, **kwargs)
        servers.append(server)
        fleet.list_address(f"e{len(servers)}", server.address)
        return server

    yield start_server
    for server in servers:
        server.stop()


def count_ends(fleet):
    """Returns the results of streams whose end was looked into."""
    found = {}
    for family in fleet.daemons[0].metrics.unframed.collect():
        for sample in family.samples:
            if sample.name.endswith("_total"):
                found[sample.labels["result"]] = sample.value
    return found


# Soak 8218, MIXED: an engine that lived on ended an answer between two events,
# and a stream of 6 of 12 events was passed on as whole.
def test_a_stream_that_its_engine_ends_early_goes_on_there(fleet, start):
    server = start(3, None)
    found = fleet.send_online("r1")
    assert (found.status, found.complete) == (200, True)
    assert found.text == TEXT
    assert server.resumed == [None, 3, 6, 4, 2]
    assert count_ends(fleet) == {"went-on": 1, "agreed": 1}


def test_each_early_end_is_asked_about(fleet, start):
    server = start(2, 1, 1, 1, Framed(1))
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None, 2, 3, 4, 5]


def test_an_answer_with_a_length_that_adds_nothing_states_the_end(
    fleet, start
):
    server = start(None, Framed(0))
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None, 6]
    assert count_ends(fleet) == {"stated": 1}


def test_a_repeat_with_a_length_states_the_end(fleet, start):
    server = start(None, 0, Framed(2))
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None, 6, 4]


# What a repeat has beyond the last event was not asked for after it.
def test_a_repeat_that_goes_on_is_asked_for_after_the_last_event(fleet, start):
    server = start(3, 0, None, None, Framed(0))
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None, 3, 1, 3, 6]


# Answers that are all broken off after their heads agree on nothing.
def test_answers_without_events_never_end_a_stream(fleet, start):
    server = start(3, 0)
    found = fleet.send_online("r1")
    assert (found.status, found.complete) == (200, False)
    assert found.text == "1\n2\n3"
    assert len(server.resumed) == 1 + streamends.QUESTIONS_MAX
    assert count_ends(fleet) == {"uncertain": 1}


@pytest.mark.parametrize(
    "end",
    [REFUSED, FAILED, CROSSED, UNSEALED, INSIDE, SILENT],
    ids=["refused", "failed", "crossed", "unsealed", "inside", "silent"],
)
def test_a_question_that_fails_ends_no_stream(fleet, start, end):
    server = start(3, end)
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == ("1\n2\n3", False)
    assert server.resumed == [None, 3]


def test_a_repeat_that_lacks_events_ends_no_stream(fleet, start):
    start(3, 0, Framed(1))
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == ("1\n2\n3", False)


# A stand-in that heeds no Last-Event-Id repeats events under their ids.
def test_events_that_were_not_asked_for_are_not_passed_on(fleet, start):
    again = UNSEALED.replace(b"Content-Length: 0", b"Response-Seal: s")
    server = start(3, again + b"id: 1\ndata: 1\n\n")
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == ("1\n2\n3", False)
    assert server.resumed == [None, 3]


@pytest.mark.parametrize("first_id", [0, 1])
@pytest.mark.parametrize("count", [1, 2, 3, 6])
def test_streams_of_any_length_are_whole(fleet, start, count, first_id):
    server = start(None, first_id=first_id, events=count)
    found = fleet.send_online("r1")
    assert found.complete
    assert found.text == "\n".join(str(one + 1) for one in range(count))
    assert len(server.resumed) == 4
    assert server.resumed[1] == first_id + count - 1


# A stream that a caller takes up: where it begins is not known.
def test_a_stream_that_is_taken_up_is_asked_about(fleet, start):
    server = start(Framed(EVENTS), 2, None)
    assert fleet.send_online("r0").complete
    server.resumed.clear()
    headers = {"Last-Event-Id": "1", "Resumes": "r0"}
    found = fleet.send_online("r1", **headers)
    assert (found.text, found.complete) == ("2\n3\n4\n5\n6", True)
    assert server.resumed == [1, 3, 6, 4, 2]


# A caller whose connection broke after the last event.
def test_a_stream_that_is_taken_up_at_its_end_is_whole(fleet, start):
    server = start(Framed(EVENTS), None)
    assert fleet.send_online("r0").complete
    server.resumed.clear()
    headers = {"Last-Event-Id": "6", "Resumes": "r0"}
    found = fleet.send_online("r1", **headers)
    assert (found.status, found.text, found.complete) == (200, "", True)
    assert server.resumed == [6, 4, 2, 5]


# The first answer to a take-up may end after its head.
def test_a_stream_that_is_taken_up_goes_on_after_an_empty_answer(fleet, start):
    server = start(Framed(EVENTS), 0, None, Framed(EVENTS), Framed(0))
    assert fleet.send_online("r0").complete
    server.resumed.clear()
    headers = {"Last-Event-Id": "3", "Resumes": "r0"}
    found = fleet.send_online("r1", **headers)
    assert (found.text, found.complete) == ("4\n5\n6", True)
    assert server.resumed == [3, 1, 3]


class FirstInNeed(EndingServer):
    """An engine whose next answers have the headers in `needs`."""

    def _send(self, *args):
        self.headers = self.needs.pop() if self.needs else b""
        super()._send(*args)


IN_NEED = pytest.mark.parametrize(
    "header", [b"Server-Limit: 50", b"Server-Leaving: 1"]
)


# review/9, ORDER: streams that such engines broke off were passed on as whole.
@IN_NEED
@pytest.mark.parametrize("end", [None, 3])
def test_an_engine_in_need_is_not_asked(fleet, start, header, end):
    """What nobody may be asked about is not known to be whole."""
    server = start(end, headers=header + b"\r\n")
    found = fleet.send_online("r1", "/drafts/1")
    assert not found.complete
    assert found.text == "\n".join(TEXT.split("\n")[:end])
    assert server.resumed == [None]
    assert count_ends(fleet) == {"unasked": 1}
    tracker = fleet.daemons[0].parts.load_tracker
    # It is no failure of the engine.
    assert not tracker.is_avoided("e1", time.monotonic())


@IN_NEED
@pytest.mark.parametrize("end", [None, 3])
def test_a_stream_of_an_engine_in_need_goes_on_elsewhere(fleet, header, end):
    servers = [FirstInNeed(end, None) for _ in range(2)]
    servers[1].ends = servers[0].ends
    servers[1].needs = servers[0].needs = [header + b"\r\n"]
    for number, server in enumerate(servers):
        fleet.list_address(f"e{number}", server.address)
    found = fleet.send_online("r1")
    for server in servers:
        server.stop()
    assert (found.text, found.complete) == (TEXT, True)


# It may name its limit in the answer to a question.
def test_an_engine_is_not_asked_once_it_is_in_need(fleet, start):
    limited = UNSEALED.replace(
        b"Content-Length: 0", b"Response-Seal: s\r\nServer-Limit: 50"
    )
    server = start(3, limited, Framed(0))
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == ("1\n2\n3", False)
    assert server.resumed == [None, 3]


def test_an_end_is_asked_of_an_engine_without_a_limit(fleet, start):
    """Another engine in need could not tell it either."""
    in_need = [start(None, headers=b"Server-Limit: 50\r\n") for _ in range(4)]
    for number in range(8):
        fleet.send_online(f"first-{number}")
    sound = start(None)
    found = [fleet.send_online(f"r{number}") for number in range(20)]
    assert all(one.complete for one in found)
    assert {one.text for one in found} == {TEXT}
    assert any(None in server.resumed[4:] for server in in_need)
    assert sound.resumed


def test_a_stream_whose_events_have_no_ids_is_not_asked_about(fleet, start):
    server = start(None, first_id=None)
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None]


def test_a_stream_that_may_not_be_resumed_is_not_asked_about(fleet, start):
    server = start(None)
    found = fleet.send_online("r1", "/bills/1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None]


@pytest.fixture
def alike(start):
    """Returns a function that starts two engines, which share their `ends`.

    Whichever gets a request first, the ends are used in their order.
    """

    def start_both(*ends):
        servers = start(*ends), start(*ends)
        servers[1].ends = servers[0].ends
        servers[1].resumed = servers[0].resumed
        return servers[0]

    return start_both


# Questions go to the engine that answered: they are no further engines.
def test_a_stream_goes_on_elsewhere_after_a_question_that_fails(fleet, alike):
    server = alike(3, 1, REFUSED, Framed(2))
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None, 3, 4, 4]


# Only the end of the stream was left to find: another engine has no event for
# it, and callers got whole streams as broken off.
def test_the_end_of_a_stream_is_found_elsewhere(fleet, alike):
    server = alike(None, REFUSED, None)
    found = fleet.send_online("r1")
    assert (found.text, found.complete) == (TEXT, True)
    assert server.resumed == [None, 6, 6, 4, 2]


def test_a_stream_of_one_engine_is_cut_after_a_question_that_fails(
    fleet, alike
):
    server = alike(3, 1, REFUSED, Framed(2))
    found = fleet.send_online("r1", "/drafts/1")
    assert (found.text, found.complete) == ("1\n2\n3\n4", False)
    assert server.resumed == [None, 3, 4]


def test_questions_have_what_is_left_of_the_deadline(fleet, start):
    server = start(3, None)
    assert fleet.send_online("r1").complete
    assert server.deadlines == sorted(server.deadlines, reverse=True)
    assert server.deadlines[0] <= 5000


# The engine is released when the caller leaves, not when its time is up.
def test_a_caller_that_leaves_in_a_question_ends_it(fleet, start, monkeypatch):
    monkeypatch.setattr(streamend, "SILENCE_MAX_S", entryhelper.WAIT_S)
    server = start(3, SILENT)
    fleet.send_and_leave(
        "r1", path="/drafts/1", until=lambda: server.resumed == [None, 3]
    )
    assert server.left.wait(entryhelper.WAIT_S)
    requests = fleet.daemons[0].metrics.requests
    entryhelper.wait_until(
        lambda: requests.labels("drafts", "caller-gone")._value.get(),
        "the caller is gone",
    )
