"""Faults: a server sends bytes without end, or a byte now and then.

Each case runs on loopback, against a server that sends until the connection
is closed. What is read is bounded in bytes or time, the connection is closed,
and the failure has a type.
"""

import socket
import threading
import time

import pytest

from samphirepost import batchjob
from samphirepost import errors
from samphirepost import roster
from samphirepost_bench import entryfleet
from samphirepost_daemon.entry import boundedhttp
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import items
from samphirepost_daemon.entry import log
from samphirepost_daemon.entry import metrics
from samphirepost_daemon.entry import store
from samphirepost_daemon.entry import storerelay
from samphirepost_daemon.platform import client
from tests import entryhelper

CHUNKED_HEAD = (
    b"HTTP/1.1 200 OK\r\nRequest-Id: r1\r\nResponse-Seal: s\r\n"
    b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
)
CHUNK = b"%x\r\n%s\r\n" % (32_768, b"x" * 32_768)
# What a server sends at first, and then without end.
ENDLESS = {
    "status line": (b"", b"x" * 1024),
    "head": (b"HTTP/1.1 200 OK\r\n", b"X-More: 1\r\n" * 100),
    "header": (b"HTTP/1.1 200 OK\r\nX-More: ", b"x" * 1024),
    "informational": (b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 10),
    "chunked body": (CHUNKED_HEAD, CHUNK),
    "plain body": (b"HTTP/1.1 200 OK\r\n\r\n", b"x" * 32_768),
    "chunk header": (CHUNKED_HEAD, b"0" * 1024),
}
TRICKLE_S = 0.05


class EndlessServer(entryhelper.RawServer):
    """A server that answers with `first`, then `rest` until it is cut off.

    `closed` is set once the other side has closed the connection.
    """

    def __init__(self, first, rest, pause_s=0.0):
        self._first = first
        self._rest = rest
        self._pause_s = pause_s
        self.closed = threading.Event()
        super().__init__()

    def serve(self, conn):
        """Sends without end."""
        conn.recv(65_536)
        pause = threading.Event()
        try:
            conn.sendall(self._first)
            while True:
                conn.sendall(self._rest)
                if self._pause_s:
                    pause.wait(self._pause_s)
        except OSError:
            self.closed.set()


@pytest.fixture
def serve():
    """Returns a function that starts an EndlessServer."""
    servers = []

    def start(*args, **fields):
        servers.append(EndlessServer(*args, **fields))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


@pytest.fixture
def watchdog():
    """A Watchdog that is checked as the daemon's main loop does."""
    guard = boundedhttp.Watchdog(log.Log("vm"))
    stopped = threading.Event()

    def check():
        while not stopped.wait(0.05):
            guard.check(time.monotonic())

    thread = threading.Thread(target=check)
    thread.start()
    yield guard
    stopped.set()
    thread.join()


def read_to_the_end(server):
    """Reads an engine's response until its CallFailure; returns this."""
    call = engineclient.Call()
    engine = roster.Engine("e0", "plants", server.address, "a", 8)
    assert (
        call.connect(lambda one: engineclient.dial(one.address, 1.0), engine)
        is None
    )
    assert call.send("POST", "/", [("Host", "h")], b"") is None
    size = 0
    while True:
        part = call.read(entryhelper.WAIT_S)
        if isinstance(part, engineclient.BodyData):
            size += len(part.data)
            assert size <= engineclient.RESPONSE_BYTES_MAX
        elif not isinstance(part, engineclient.ResponseHead):
            call.close()
            return part


@pytest.mark.parametrize("kind", ENDLESS)
def test_an_engine_that_sends_without_end_fails(serve, kind):
    """The bytes that are read and kept are bounded."""
    server = serve(*ENDLESS[kind])
    failure = read_to_the_end(server)
    assert isinstance(failure, engineclient.CallFailure)
    assert failure.sent
    assert server.closed.wait(entryhelper.WAIT_S)


DIGITS = b"9" * 5000
LARGE_NUMBERS = {
    "length": b"HTTP/1.1 200 OK\r\nContent-Length: " + DIGITS + b"\r\n\r\n",
    "event id": CHUNKED_HEAD
    + b"%x\r\nid: %s\ndata: a\n\n\r\n" % (len(DIGITS) + 14, DIGITS),
}


# Numbers of over 4,300 digits are not converted; that is an exception.
@pytest.mark.parametrize("kind", LARGE_NUMBERS)
def test_a_number_of_many_digits_is_no_answer(serve, kind):
    """The item's run is interrupted, and its engine is at fault."""
    server = serve(LARGE_NUMBERS[kind], b"", pause_s=TRICKLE_S)
    item = batchjob.Item("r1", "/", {}, b"", 1)
    engine = roster.Engine("e0", "plants", server.address, "a", 8)
    outcome = entryhelper.run_item(item, engine, batchjob.PartialOutput())
    assert isinstance(outcome, items.InterruptedRun)
    assert outcome.is_engine_failure


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_store_that_sends_without_end_is_uncertain(serve, watchdog, kind):
    """A write may have taken effect, so its outcome is unknown."""
    server = serve(*ENDLESS[kind])
    found = client.StoreClient(
        server.address, metrics.Metrics(), watchdog
    ).commit(store.Transaction({}, {store.Key("t", "", "k"): b"v"}))
    assert isinstance(found, errors.Failure)
    assert found.outcome is errors.Outcome.UNKNOWN
    assert server.closed.wait(entryhelper.WAIT_S)


@pytest.mark.parametrize("kind", ENDLESS)
def test_a_peer_that_sends_without_end_is_uncertain(serve, watchdog, kind):
    """A peer may have passed the request on to the store."""
    server = serve(*ENDLESS[kind])
    host, _, port = server.address.rpartition(":")

    class RefusingStore:
        """A store that refuses this daemon."""

        def read_rows(self, *_):
            """Refuses a read."""
            return errors.Failure(errors.Kind.PLATFORM_OUT, "refused")

    failover = storerelay.FailoverStore(
        "me",
        RefusingStore(),
        lambda: {"peer": (host, int(port))},
        log.Log("me"),
        metrics.Metrics(),
        watchdog,
    )
    found = failover.read_rows("t", "")
    assert isinstance(found, errors.Failure)
    assert server.closed.wait(entryhelper.WAIT_S)


def test_a_store_that_trickles_is_given_up(serve, watchdog):
    """A byte now and then must not hold a thread for ever."""
    first = b"HTTP/1.1 200 OK\r\nContent-Length: 100000\r\n\r\n"
    server = serve(first, b"x", pause_s=TRICKLE_S)
    found = client.StoreClient(
        server.address, metrics.Metrics(), watchdog
    ).get_object("o")
    assert isinstance(found, errors.Failure)
    assert server.closed.wait(entryhelper.WAIT_S)


def test_an_object_whose_transfer_was_ended_is_not_whole(serve, watchdog):
    """Without a length, the end of the connection would complete it."""
    server = serve(b"HTTP/1.1 200 OK\r\n\r\n", b"x", pause_s=TRICKLE_S)
    found = client.StoreClient(
        server.address, metrics.Metrics(), watchdog
    ).get_object("o")
    assert isinstance(found, errors.Failure)
    assert found.outcome is errors.Outcome.UNKNOWN


def test_a_connection_that_has_ended_is_not_touched():
    """Its descriptor may belong to another connection by then."""
    guard = boundedhttp.Watchdog(log.Log("vm"))
    first, second = socket.socketpair()
    with guard.guard(first, 1.0):
        pass
    guard.check(2.0)
    first.send(b"x")
    assert second.recv(1) == b"x"
    first.close()
    second.close()


@pytest.fixture
def fleet():
    """One daemon with two engines."""
    new_fleet = entryhelper.Fleet()
    yield new_fleet
    new_fleet.stop()


def replace_engines(fleet, server):
    """Lists the server in place of every engine of the pool."""
    for engine in fleet.engines:
        entry = engine.entry(entryfleet.POOL) | {"address": server.address}
        fleet.store.put_row("servers", engine.name, entry)
    roster = fleet.daemons[0].state.roster
    entryhelper.wait_until(
        lambda: all(
            roster.get(engine.name).address == server.address
            for engine in fleet.engines
        ),
        "the engines' address has changed",
    )


@pytest.mark.parametrize("kind", ["head", "chunked body", "informational"])
def test_a_caller_is_told_that_its_request_may_have_run(fleet, serve, kind):
    """Others are served meanwhile and afterwards."""
    server = serve(*ENDLESS[kind])
    sound = fleet.engines[0].address
    replace_engines(fleet, server)
    found = fleet.send_online("r1", "/bills/1")
    assert found.status in (502, 504)
    assert server.closed.wait(entryhelper.WAIT_S)
    for engine in fleet.engines:
        fleet.store.put_row(
            "servers", engine.name, engine.entry(entryfleet.POOL)
        )
    entryhelper.wait_until(
        lambda: fleet.daemons[0].state.roster.get("engine-0").address == sound,
        "the engines are listed as before",
    )
    assert fleet.send_online("r2").status == 200


def test_an_item_whose_engine_trickles_is_interrupted(serve):
    """Bytes that complete no event do not extend its time."""
    server = serve(CHUNKED_HEAD, b"1\r\n:\r\n", pause_s=TRICKLE_S)
    item = batchjob.Item("r1", "/", {}, b"", 1)
    engine = roster.Engine("e0", "plants", server.address, "a", 8)
    outcome = entryhelper.run_item(item, engine, batchjob.PartialOutput())
    assert isinstance(outcome, items.InterruptedRun)
    assert outcome.is_engine_failure
    assert server.closed.wait(entryhelper.WAIT_S)


def test_a_request_that_may_run_again_leaves_an_engine_that_trickles(
    fleet, serve
):
    """Bytes that complete no event are no progress of the stream."""
    head = CHUNKED_HEAD.replace(b"r1", b"r3")
    server = serve(head, b"1\r\n:\r\n", pause_s=TRICKLE_S)
    slow, sound = fleet.engines
    entry = slow.entry(entryfleet.POOL) | {"address": server.address}
    fleet.store.put_row("servers", slow.name, entry)
    fleet.store.put_row(
        "servers", sound.name, sound.entry(entryfleet.POOL, "draining")
    )
    roster = fleet.daemons[0].state.roster
    entryhelper.wait_until(
        lambda: (
            len(roster.usable_engines(entryfleet.POOL, 0.0)) == 1
            and roster.get(slow.name).address == server.address
        ),
        "only the slow engine is left",
    )
    replies = []
    thread = threading.Thread(
        target=lambda: replies.append(fleet.send_online("r3"))
    )
    thread.start()
    entryhelper.wait_until(
        lambda: fleet.daemons[0].slots._load_tracker.own_runs(0.0),
        "the request runs",
    )
    fleet.store.put_row("servers", sound.name, sound.entry(entryfleet.POOL))
    thread.join()
    assert (replies[0].status, replies[0].complete) == (200, True)
    assert replies[0].text == sound.text("r3")
