"""Tests listeners with a memory budget: who is refused, how, and what is kept.

The budget is small, so that a few connections fill it.
"""

import socket
import threading

import hypothesis
from hypothesis import strategies
import pytest
from waitress import adjustments

from samphirepost import memorybudget
from samphirepost_bench import fleet as fleet_module
from samphirepost_daemon import boundedchannel
from samphirepost_daemon import boundedparser
from samphirepost_daemon import callerguard
from samphirepost_daemon import listener
from samphirepost_daemon import outputbuffer
from tests import entryhelper

KIND = memorybudget.Kind.CALLER
# Callers have 1.4 MB of it.
BUDGET_BYTES = 4_800_000
# One such body fits, and two do not.
BODY_BYTES = 300_000
LARGE_BYTES = 10_000_000
THREADS = 4
CONNECTIONS = 100
HEAD = b"POST / HTTP/1.1\r\nHost: h\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"


class App:
    """Answers with the length of the body, and then `answer`.

    Waits for `may_answer` after the arrival of a request. `cuts` has what
    the environment told about an answer that ended early.
    """

    def __init__(self):
        self.answer = ()
        self.arrivals = threading.Semaphore(0)
        self.bodies = []
        self.cuts = []
        self.may_answer = threading.Event()
        self.may_answer.set()

    def __call__(self, environ, start_response):
        """Answers one request."""
        self.bodies.append(environ["wsgi.input"].read())
        self.arrivals.release()
        self.may_answer.wait(entryhelper.WAIT_S)
        start_response("200 OK", [])
        try:
            yield b"%d" % len(self.bodies[-1])
            yield from self.answer
        except GeneratorExit:
            self.cuts.append(environ[callerguard.ANSWER_CUT]())
            raise


class Served:
    """A listener with a Budget; `refusals` lists what it reported."""

    def __init__(self, limits):
        self.app = App()
        self.budget = memorybudget.Budget(BUDGET_BYTES)
        self.refusals = []
        guard = callerguard.Guard(
            self.budget, KIND, limits, lambda one, _: self.refusals.append(one)
        )
        self._port = fleet_module.free_port()
        self._listener = listener.Listener(
            self.app,
            f"127.0.0.1:{self._port}",
            THREADS,
            LARGE_BYTES,
            CONNECTIONS,
            60,
            guard=guard,
        )
        self._listener.start()
        self.socks = []

    def connect(self, data=b""):
        """Returns a new connection on which `data` was sent."""
        sock = socket.create_connection(("127.0.0.1", self._port))
        sock.settimeout(entryhelper.WAIT_S)
        self.socks.append(sock)
        sock.sendall(data)
        return sock

    @property
    def held(self):
        """The bytes that callers keep."""
        return self.budget.held(KIND)

    def wait_held(self, least):
        """Waits until callers keep at least so many bytes."""
        entryhelper.wait_until(lambda: self.held >= least, "bytes are kept")

    def wait_unused(self):
        """Waits until callers keep nothing."""
        entryhelper.wait_until(lambda: not self.held, "all is given back")

    def close(self):
        """Stops the listener."""
        self.app.may_answer.set()
        for sock in self.socks:
            sock.close()
        self._listener._server.close()


@pytest.fixture
def serve():
    """Returns a function that starts a Served with limits."""
    started = []

    def start(**limits):
        started.append(Served(callerguard.Limits(**limits)))
        return started[-1]

    yield start
    for one in started:
        one.close()


def request_of(count):
    """Returns a whole request with a body of so many bytes."""
    return HEAD + b"Content-Length: %d\r\n\r\n" % count + b"x" * count


def read_all(sock):
    """Returns what arrives until the connection ends, and closes it."""
    found = b""
    with sock:
        while True:
            try:
                data = sock.recv(65_536)
            except ConnectionError:
                return found
            if not data:
                return found
            found += data


def status_of(sock):
    """Returns the status of the response on a connection, and closes it."""
    return int(read_all(sock).split(b" ", 2)[1])


# Accounts.


def test_a_served_request_gives_its_bytes_back(serve):
    """Else a daemon refuses all callers after some hours."""
    served = serve()
    for _ in range(20):
        assert status_of(served.connect(request_of(BODY_BYTES))) == 200
    served.wait_unused()
    assert served.refusals == []


@pytest.mark.parametrize(
    "data",
    [
        b"",
        b"\r\n",
        HEAD,
        request_of(BODY_BYTES)[:-1],
        CHUNKED + b"10\r\nabc",
        request_of(BODY_BYTES),
    ],
)
def test_a_caller_that_leaves_gives_its_bytes_back(serve, data):
    """Wherever it leaves: in the head, in the body, before the answer."""
    served = serve()
    served.app.may_answer.clear()
    sock = served.connect(data)
    served.wait_held(boundedchannel.CONNECTION_BYTES)
    sock.close()
    served.app.may_answer.set()
    served.wait_unused()


def test_an_answer_that_is_not_read_counts_and_is_given_back(serve):
    """What waits is memory of the daemon, also after the request's end."""
    served = serve()
    served.app.answer = [b"x" * 50_000] * 200
    sock = served.connect(request_of(2))
    entryhelper.wait_until(lambda: served.refusals, "the answer is cut")
    assert served.refusals == [callerguard.Refusal.OUTPUT]
    assert b"\r\n0\r\n\r\n" not in read_all(sock)
    assert served.app.cuts == [True]
    served.wait_unused()


def test_an_answer_that_is_read_may_be_larger_than_the_budget(serve):
    """Only what waits for its reader counts."""
    served = serve()
    sock = served.connect()
    found = []
    reader = threading.Thread(target=lambda: found.append(read_all(sock)))
    paced = threading.Event()

    def pieces():
        for _ in range(400):
            entryhelper.wait_until(
                lambda: served.held < BUDGET_BYTES / 10, "the caller has read"
            )
            yield b"x" * 50_000
        paced.set()

    served.app.answer = pieces()
    reader.start()
    sock.sendall(request_of(2))
    reader.join()
    assert paced.is_set()
    assert found[0].endswith(b"\r\n0\r\n\r\n")
    assert served.refusals == []
    served.wait_unused()


# Refusals.


def test_a_body_that_does_not_fit_now_gets_503_and_has_not_run(serve):
    """It is refused at its head; those that came before go on."""
    served = serve()
    first = served.connect(request_of(BODY_BYTES)[:-1])
    served.wait_held(2 * BODY_BYTES)
    second = served.connect(request_of(BODY_BYTES)[:-1])
    answer = read_all(second)
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"\r\nRetry-After: 1\r\n" in answer
    assert served.app.bodies == []
    first.sendall(b"x")
    assert status_of(first) == 200


def test_a_body_that_never_fits_gets_413(serve):
    """503 would have its caller send it again and again."""
    served = serve()
    sock = served.connect(HEAD + b"Content-Length: 900000\r\n\r\n")
    assert status_of(sock) == 413
    assert served.refusals == [callerguard.Refusal.BODY_SIZE]


def test_chunks_that_do_not_fit_are_refused_before_they_are_kept(serve):
    """Their sum is not known at the head."""
    served = serve()
    chunk = b"%x\r\n%s\r\n" % (10_000, b"x" * 10_000)
    sock = served.connect(CHUNKED)
    with pytest.raises(OSError):
        while True:
            sock.sendall(chunk)
    assert served.refusals == [callerguard.Refusal.BODY_SIZE]
    served.wait_unused()


@pytest.mark.parametrize(
    "data", [b"1;" + b"x" * 2_000, b"0\r\n" + b"x" * 40_000]
)
def test_chunk_lines_without_end_are_refused(serve, data):
    """They are no part of the body, whose size is bounded."""
    served = serve()
    assert status_of(served.connect(CHUNKED + data)) == 400


def test_a_late_request_gives_way_to_another(serve, monkeypatch):
    """Bodies that stop before their end must not shut out sound ones."""
    monkeypatch.setattr(boundedchannel, "EVICTION_AGE_S", 0.0)
    served = serve()
    late = served.connect(request_of(BODY_BYTES)[:-1])
    served.wait_held(2 * BODY_BYTES)
    assert status_of(served.connect(request_of(BODY_BYTES))) == 200
    assert status_of(late) == 503
    assert served.refusals == [callerguard.Refusal.EVICTED]


def test_a_request_in_progress_gives_way_to_none(serve, monkeypatch):
    """An engine may have run it."""
    monkeypatch.setattr(boundedchannel, "EVICTION_AGE_S", 0.0)
    served = serve()
    served.app.may_answer.clear()
    first = served.connect(request_of(BODY_BYTES))
    assert served.app.arrivals.acquire(timeout=entryhelper.WAIT_S)
    assert status_of(served.connect(request_of(BODY_BYTES))) == 503
    served.app.may_answer.set()
    assert status_of(first) == 200


def test_a_refusal_reaches_a_caller_that_still_sends(serve):
    """A connection closed under its sender may lose the response."""
    served = serve()
    sock = served.connect(HEAD + b"Content-Length: 900000\r\n\r\n")
    sock.sendall(b"x" * 900_000)
    assert status_of(sock) == 413


@pytest.mark.parametrize(
    ("data", "refusal"),
    [
        (HEAD, callerguard.Refusal.HEAD_TIME),
        (b"\r\n", callerguard.Refusal.HEAD_TIME),
        (request_of(9)[:-1], callerguard.Refusal.BODY_SILENCE),
        (CHUNKED + b"9\r\nabc", callerguard.Refusal.BODY_SILENCE),
    ],
)
def test_a_request_that_does_not_go_on_gets_408(serve, data, refusal):
    """Its memory and its connection are for others."""
    served = serve(head_s=0.2, body_silence_s=0.2)
    assert status_of(served.connect(data)) == 408
    assert served.refusals == [refusal]
    served.wait_unused()


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (HEAD + b"X: " + b"x" * 40_000, 431),
        (HEAD + b"Content-Length: 20000000\r\n\r\n", 413),
        (HEAD + b"Content-Length: x\r\n\r\n", 400),
        (HEAD + b"Transfer-Encoding: gzip\r\n\r\n", 501),
        (b"\r\n" * 1_000, 400),
        (b" \r\n\r\n" * 1_000, 400),
        (b"\r\n" * 10 + request_of(3), 200),
        (request_of(3) + request_of(4), 200),
        (HEAD + b"Expect: 100-continue\r\n\r\n", 200),
        (b"GET / HTTP/1.0\r\n\r\n", 200),
    ],
)
def test_requests_get_the_status_of_their_fault(serve, data, status):
    """Bounds must not change what a client learns of a malformed request."""
    served = serve()
    assert status_of(served.connect(data)) == status
    served.wait_unused()


def test_a_caller_that_waits_for_leave_to_send_gets_it(serve):
    """Expect: 100-continue, as some clients send before large bodies."""
    served = serve()
    sock = served.connect(
        HEAD + b"Expect: 100-continue\r\nContent-Length: 3\r\n\r\n"
    )
    assert sock.recv(65_536) == b"HTTP/1.1 100 Continue\r\n\r\n"
    sock.sendall(b"abc")
    assert status_of(sock) == 200


# Parts.


def take(account, count):
    """Takes bytes; returns None, or the Refusal."""
    return None if account.take(count) else callerguard.Refusal.MEMORY


def parse(pieces):
    """Returns the BoundedParser that was fed with pieces of one request."""
    budget = memorybudget.Budget(BUDGET_BYTES)
    guard = callerguard.Guard(budget, KIND, callerguard.Limits(), None)
    adj = adjustments.Adjustments(
        max_request_header_size=32_768, inbuf_overflow=LARGE_BYTES
    )
    parser = boundedparser.BoundedParser(adj, guard, guard.account("a"), take)
    for piece in pieces:
        while piece and not parser.completed:
            piece = piece[parser.received(piece) :]
    return parser, budget


@hypothesis.given(
    strategies.lists(strategies.binary(min_size=1, max_size=60), max_size=9),
    strategies.booleans(),
    strategies.lists(strategies.integers(0, 800), max_size=12),
)
def test_a_request_is_the_same_however_it_is_cut(parts, is_chunked, cuts):
    """Guards against bytes lost or counted twice between two reads."""
    body = b"".join(parts)
    if is_chunked:
        sent = b"".join(b"%x\r\n%s\r\n" % (len(one), one) for one in parts)
        data = CHUNKED + sent + b"0\r\n\r\n"
    else:
        data = HEAD + b"Content-Length: %d\r\n\r\n" % len(body) + body
    places = sorted({0, *(one for one in cuts if one < len(data)), len(data)})
    pieces = [
        data[start:end] for start, end in zip(places, places[1:], strict=False)
    ]
    parser, budget = parse(pieces)
    assert parser.completed and parser.error is None
    assert parser.refusal is None
    assert parser.get_body_stream().read() == body
    assert budget.held(KIND) == parser.held_bytes >= 2 * len(body)
    parser.close()
    assert not budget.held(KIND)


def test_a_body_is_kept_once():
    """read() returned a second copy of each body."""
    parser, _ = parse([request_of(BODY_BYTES)])
    assert (
        parser.get_body_stream().read() is parser.get_body_stream().getvalue()
    )


@hypothesis.given(
    strategies.lists(
        strategies.one_of(
            strategies.binary(min_size=1, max_size=200),
            strategies.integers(1, 300),
        )
    )
)
def test_an_output_buffer_is_a_queue_of_bytes(steps):
    """What is sent has to be what was queued, in order."""
    buffer = outputbuffer.OutputBuffer()
    queued = sent = b""
    for step in steps:
        if isinstance(step, bytes):
            buffer.append(step)
            queued += step
        else:
            found = buffer.get(step)
            assert len(found) <= step
            if found:
                buffer.skip(len(found), True)
            sent += found
        assert len(buffer) == len(queued) - len(sent)
    assert queued.startswith(sent)
