"""Tests what an item makes of the bytes of an engine's answer."""

import contextlib

import pytest

from samphirepost import answerbounds
from samphirepost import batchjob
from samphirepost import roster
from samphirepost_daemon.entry import items
from tests import entryhelper

HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\n"
)
TWO_EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"


class BytesServer(entryhelper.RawServer):
    """Sends `answer` for each request and closes the connection.

    A request ends with `request_end`.
    """

    def __init__(self, answer):
        super().__init__()
        self.answer = answer
        self.request_end = b"\r\n\r\nbody"

    def serve(self, conn):
        """Answers one request, once it has been read."""
        data = b""
        while self.request_end not in data:
            received = conn.recv(65_536)
            if not received:
                return
            data += received
        with contextlib.suppress(OSError):
            conn.sendall(self.answer)


@pytest.fixture
def server():
    """A BytesServer."""
    new_server = BytesServer(b"")
    yield new_server
    new_server.stop()


def run(server, answer, partial):
    """Runs an item that gets an answer; returns the outcome."""
    server.answer = answer
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    engine = roster.Engine("e1", "plants", server.address, "a", 8)
    return entryhelper.run_item(item, engine, partial)


def with_length(body):
    """Returns a whole answer with a length."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body


def in_chunks(body, trailers=b""):
    """Returns a whole answer in chunks of seven bytes."""
    pieces = [body[start : start + 7] for start in range(0, len(body), 7)]
    return (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n"
        + b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in pieces)
        + b"0\r\n"
        + trailers
        + b"\r\n"
    )


# PROTOCOL.md, "Batch jobs": the data of all events in order, separated by line
# feeds.
@pytest.mark.parametrize(
    ("body", "text"),
    [
        (TWO_EVENTS, b"a\nb"),
        (b"id: 1\ndata: a\ndata: b\n\nid: 2\ndata: c\n\n", b"a\nb\nc"),
        (b"data: a\nid: 1\n\nid: 2\ndata:b\n\n", b"a\nb"),
        (b"id: 1\ndata:  a \n\nid: 2\ndata:\n\n", b" a \n"),
        (b"weight-versions: 3\nid: 1\ndata: a: b\n\n", b"a: b"),
        (b"id: 1\ndata\ndata: a\n\n", b"\na"),
        (TWO_EVENTS + b": remark\n\n", b"a\nb"),
        (b": remark\nid: 1\nevent: token\ndata: a\n\n", b"a"),
        (b"id: 0\ndata: a\n\nid: 1\ndata: b\n\n", b"a\nb"),
    ],
)
@pytest.mark.parametrize(
    "encode",
    [
        with_length,
        in_chunks,
        lambda body: in_chunks(body, b"Check: 1\r\n"),
        lambda body: b"HTTP/1.1 103 Early\r\n\r\n" + with_length(body),
        lambda body: with_length(body) + with_length(b"id: 9\ndata: x\n\n"),
        lambda body: in_chunks(body) + in_chunks(b"id: 9\ndata: x\n\n"),
    ],
)
def test_an_items_text_is_the_data_of_all_events(server, encode, body, text):
    partial = batchjob.PartialOutput()
    assert run(server, encode(body), partial) == items.CompletedRun(True)
    assert partial.text == text


# Users' days, MIXED: a part of an answer could pass for the whole.
@pytest.mark.parametrize("after", [0, 1])
@pytest.mark.parametrize(
    "answer",
    [
        with_length(TWO_EVENTS),
        in_chunks(TWO_EVENTS),
        in_chunks(TWO_EVENTS, b"Check: 1\r\n"),
    ],
)
def test_no_part_of_an_answer_with_an_end_is_whole(server, answer, after):
    answer = answer.replace(b"id: 2", b"id: %d" % (2 + after))
    answer = answer.replace(b"id: 1", b"id: %d" % (1 + after))
    for cut in range(len(answer)):
        partial = batchjob.PartialOutput()
        if after:
            assert partial.append_event(1, b"0")
        outcome = run(server, answer[:cut], partial)
        assert isinstance(outcome, items.InterruptedRun), answer[:cut]
    partial = batchjob.PartialOutput()
    if after:
        assert partial.append_event(1, b"0")
    assert run(server, answer, partial) == items.CompletedRun(True)


@pytest.mark.parametrize(
    "answer",
    [
        with_length(b""),
        in_chunks(b""),
        # A length that ends inside an event.
        HEAD + b"Content-Length: 29\r\n\r\n" + TWO_EVENTS,
        with_length(TWO_EVENTS.replace(b"\n", b"\r\n")),
        with_length(b"id: 1\r\ndata: a\r\n\n"),
        with_length(TWO_EVENTS + b": remark\ndata: c\n\n"),
        with_length(TWO_EVENTS + b"id: 2\ndata: b\n\n"),
        with_length(b"data: a\n\n" + TWO_EVENTS),
    ],
)
def test_an_answer_that_is_not_a_whole_series_completes_nothing(
    server, answer
):
    outcome = run(server, answer, batchjob.PartialOutput())
    assert isinstance(outcome, items.InterruptedRun)


# Another request's answer could end an item, or count as its failure.
@pytest.mark.parametrize("status", [200, 422, 429, 500, 503])
def test_an_answer_of_another_request_tells_nothing(server, status):
    head = b"HTTP/1.1 %d X\r\nRequest-Id: i2\r\nResponse-Seal: s\r\n" % status
    answer = head + b"Content-Length: 30\r\n\r\n" + TWO_EVENTS
    partial = batchjob.PartialOutput()
    outcome = run(server, answer, partial)
    assert outcome == items.InterruptedRun("another request's answer", True)
    assert partial.texts == []


def verdict(status, framing, body=b"", seal=b"Response-Seal: s\r\n"):
    """Returns an engine's answer with the status of a failure."""
    head = b"HTTP/1.1 %d X\r\n%sRequest-Id: i1\r\n" % (status, seal)
    return head + framing + b"\r\n" + body


def verdict_in_chunks(status):
    """Returns an answer of a failure in chunks."""
    framing = b"Transfer-Encoding: chunked\r\n"
    return verdict(status, framing, b"6\r\nbroken\r\n0\r\n\r\n")


OUTCOMES = {
    422: items.UnprocessableItem(),
    500: items.FailedRun("the engine failed"),
}


# RULES.md, MIXED: an item that no whole 500 or 422 ended was given up.
@pytest.mark.parametrize("status", OUTCOMES)
@pytest.mark.parametrize("is_chunked", [False, True])
def test_no_part_of_a_failure_counts(server, status, is_chunked):
    answer = verdict(status, b"Content-Length: 6\r\n", b"broken")
    if is_chunked:
        answer = verdict_in_chunks(status)
    for cut in range(len(answer)):
        outcome = run(server, answer[:cut], batchjob.PartialOutput())
        assert isinstance(outcome, items.InterruptedRun), answer[:cut]
    assert run(server, answer, batchjob.PartialOutput()) == OUTCOMES[status]


@pytest.mark.parametrize("status", OUTCOMES)
def test_a_failure_whose_head_was_cut_counts_for_nothing(server, status):
    answer = verdict(status, b"", seal=b"")
    outcome = run(server, answer, batchjob.PartialOutput())
    assert outcome == items.CUT_HEAD


@pytest.mark.parametrize("status", OUTCOMES)
def test_a_whole_failure_without_a_length_counts(server, status):
    """An item that fails at each run must not go on until its retention."""
    answer = verdict(status, b"", b"broken")
    assert run(server, answer, batchjob.PartialOutput()) == OUTCOMES[status]


@pytest.mark.parametrize("status", OUTCOMES)
@pytest.mark.parametrize("framing", [b"", b"Content-Length: %d\r\n" % 2**40])
def test_a_failure_without_end_counts_for_nothing(server, status, framing):
    size = answerbounds.ANSWER_BYTES_MAX + 1
    answer = verdict(status, framing, b"x" * size)
    outcome = run(server, answer, batchjob.PartialOutput())
    assert isinstance(outcome, items.EndlessRun)


# A second answer behind an empty one without a length was read as its events.
def test_an_answer_inside_another_has_no_events_of_the_item(server):
    partial = batchjob.PartialOutput()
    answer = HEAD + b"\r\n" + HEAD.replace(b"i1", b"i2") + b"\r\n" + TWO_EVENTS
    outcome = run(server, answer, partial)
    assert isinstance(outcome, items.InterruptedRun)
    assert partial.texts == []


# A page that says nothing of the output passed for the end of a resumed item.
def test_an_empty_page_ends_no_resumed_item(server):
    partial = batchjob.PartialOutput()
    assert partial.append_event(1, b"a")
    page = with_length(b"").replace(b"event-stream", b"html")
    outcome = run(server, page, partial)
    assert isinstance(outcome, items.InterruptedRun)
    assert run(server, with_length(b""), partial) == items.CompletedRun(True)


class TwiceServer(BytesServer):
    """Answers each request twice on its connection, without a length."""

    def serve(self, conn):
        """Sends the events of ITEM after those that the request has."""
        lines = conn.recv(65_536).lower().split(b"\r\n")
        after = [one for one in lines if one.startswith(b"last-event-id:")]
        first = int(after[0].split(b":")[1]) if after else 0
        body = b"".join(
            b"id: %d\ndata: %d\n\n" % (number, number)
            for number in range(first + 1, 7)
        )
        conn.sendall(2 * (HEAD + b"\r\n" + body))


# An item never ended at engines that answer twice, and they were blamed.
def test_an_item_ends_at_an_engine_that_answers_twice():
    server = TwiceServer(b"")
    partial = batchjob.PartialOutput()
    outcome = run(server, b"", partial)
    server.stop()
    assert outcome == items.CompletedRun(framed=False)
    assert partial.text == b"1\n2\n3\n4\n5\n6"


# A comment between events, as servers send to keep connections, ended runs.
def test_comments_between_events_are_no_part_of_a_text(server):
    body = b": hi\n\nid: 1\ndata: a\n\n: hi\n\nid: 2\ndata: b\n\n"
    partial = batchjob.PartialOutput()
    assert run(server, with_length(body), partial) == items.CompletedRun(True)
    assert partial.text == b"a\nb"
