"""Crowds of hostile callers against a real daemon, one crowd a test.

The daemon is told that its VM has 160 MB. Each test checks that the process
lives, that its resident memory and open descriptors stayed under bounds that
follow from its settings, and that an ordinary request is answered afterwards.
"""

import contextlib
import http.client
import json
import pathlib
import select
import socket
import threading

import pytest

from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import tunnel
from tests import entryhelper

MEMORY_MB = 160
# Parts of the VM's memory: the targets of docs/design/hard-load.md.
CROWD_SHARE = 100 / 160
BODIES_SHARE = 140 / 160
THREADS = 32
CONNECTIONS = 60
SETTINGS = {
    "memory_mb": MEMORY_MB,
    "listen": {
        "threads": THREADS,
        "connections": CONNECTIONS,
        "head_s": 2.0,
        "body_silence_s": 5.0,
    },
}
# Descriptors besides callers' connections and those to engines: listeners,
# the log, the store, peers, feeds, imported files.
OTHER_DESCRIPTORS = 64
LEGAL_BODY_BYTES = 4_194_304
LEGAL_HEAD_BYTES = 16_384
PIECE_BYTES = 16_384
MISSING_BYTES = 16
TRICKLE_S = 0.05
BODIES = 24
# Enough legal bodies to exceed the VM.
LARGE_CROWD = 48
HEADS = 400


class LargeEngine(streamengine.Engine):
    """An engine whose answers have 4 MB in 200 events, without a pause."""

    def __init__(self, name):
        super().__init__(name, 200, 0.0, slots=64)
        self.padding = 20_000


@pytest.fixture
def start(tmp_path):
    """Returns a function that starts one daemon with one engine."""
    with contextlib.ExitStack() as stack:

        def start_fleet(new_engine=streamengine.Engine, **listen):
            settings = SETTINGS | {"listen": SETTINGS["listen"] | listen}
            found = entryfleet.Fleet(1, 1, tmp_path, new_engine, settings)
            stack.enter_context(found)
            found.wait_ready()
            return found

        yield start_fleet


class Crowd:
    """Connections to a port, each with a thread that sends.

    `send(sock, number)` sends until it is done or raises OSError; the
    connection then stays open. The thread of a connection that the daemon
    closed has ended, and `closed` counts it.
    """

    def __init__(self, port, count, send):
        self._send = send
        self._lock = threading.Lock()
        self.closed = 0
        self.done = 0
        self.socks = []
        self.threads = []
        for number in range(count):
            sock = socket.create_connection((fleet_module.HOST, port))
            sock.settimeout(entryhelper.WAIT_S)
            thread = threading.Thread(
                target=self._run, args=(sock, number), daemon=True
            )
            self.socks.append(sock)
            self.threads.append(thread)
            thread.start()

    def _run(self, sock, number):
        is_closed = False
        try:
            self._send(sock, number)
        except OSError:
            is_closed = True
        with self._lock:
            self.closed += is_closed
            self.done += 1

    def wait_sent(self):
        """Waits until each connection has sent its part or was closed."""
        entryhelper.wait_until(
            lambda: self.done == len(self.socks), "the crowd has sent"
        )

    def close(self):
        """Closes all connections."""
        for sock in self.socks:
            sock.close()


def status_field(daemon, name):
    """Returns a field of the process's status in bytes."""
    text = pathlib.Path(f"/proc/{daemon.process.popen.pid}/status").read_text()
    (line,) = [one for one in text.splitlines() if one.startswith(name + ":")]
    return int(line.split()[1]) * 1024


def descriptor_count(daemon):
    """Returns the number of the process's open descriptors."""
    path = pathlib.Path(f"/proc/{daemon.process.popen.pid}/fd")
    return len(list(path.iterdir()))


def post(daemon, request, body=b"prompt", path="/bills/1", **options):
    """Sends an online request; returns the status, headers and body."""
    conn = http.client.HTTPConnection(
        fleet_module.HOST, daemon.callers_port, timeout=entryhelper.WAIT_S
    )
    headers = {
        "Host": entryfleet.HOSTNAME,
        "Request-Id": request,
        "Deadline-Ms": "20000",
    }
    try:
        conn.request("POST", path, body, headers, **options)
        resp = conn.getresponse()
        return resp.status, dict(resp.getheaders()), resp.read()
    finally:
        conn.close()


def check_daemon(fleet, share, connections=CONNECTIONS):
    """Checks the process's life, memory and descriptors, and a request."""
    (daemon,) = fleet.daemons
    assert daemon.process.alive, daemon.process.exit_report()
    descriptors = descriptor_count(daemon)
    assert descriptors <= connections + 2 * THREADS + OTHER_DESCRIPTORS
    status, _, _ = entryhelper.wait_until(
        lambda: served(daemon), "an ordinary request is answered"
    )
    assert status == 200
    assert daemon.process.alive, daemon.process.exit_report()
    peak_bytes = status_field(daemon, "VmHWM")
    assert peak_bytes <= share * MEMORY_MB * 1_000_000


def served(daemon):
    """Returns the reply to an ordinary request, unless it is a refusal.

    A refused caller returns, as a caller does after 503.
    """
    found = post(daemon, "ordinary")
    return None if found[0] == 503 else found


def body_head(number, framing, path="/bills/1"):
    """Returns the head of a request with a large body."""
    return (
        f"POST {path} HTTP/1.1\r\nHost: {entryfleet.HOSTNAME}\r\n"
        f"Request-Id: body-{number}\r\nDeadline-Ms: 20000\r\n"
        f"{framing}\r\n\r\n"
    ).encode()


def send_almost_all(sock, number):
    """Sends a legal body but for its last bytes, in one piece."""
    sock.sendall(body_head(number, f"Content-Length: {LEGAL_BODY_BYTES}"))
    sock.sendall(b"x" * (LEGAL_BODY_BYTES - MISSING_BYTES))


def send_almost_all_in_pieces(sock, number):
    """Sends a legal body but for its last bytes, in many pieces."""
    sock.sendall(body_head(number, f"Content-Length: {LEGAL_BODY_BYTES}"))
    for _ in range(LEGAL_BODY_BYTES // PIECE_BYTES - 1):
        sock.sendall(b"x" * PIECE_BYTES)


def send_almost_all_in_chunks(sock, number):
    """Sends a legal body in chunks, without the last one."""
    sock.sendall(body_head(number, "Transfer-Encoding: chunked"))
    chunk = b"%x\r\n%s\r\n" % (PIECE_BYTES, b"x" * PIECE_BYTES)
    for _ in range(LEGAL_BODY_BYTES // PIECE_BYTES):
        sock.sendall(chunk)


BODY_SENDERS = {
    "whole": send_almost_all,
    "pieces": send_almost_all_in_pieces,
    "chunks": send_almost_all_in_chunks,
}


# 24 such bodies took a daemon to 477 MB.
@pytest.mark.parametrize("kind", BODY_SENDERS)
def test_bodies_that_stop_before_their_end_stay_in_the_budget(start, kind):
    """Each body is legal; together they exceed the VM."""
    fleet = start()
    crowd = Crowd(
        fleet.daemons[0].callers_port, LARGE_CROWD, BODY_SENDERS[kind]
    )
    crowd.wait_sent()
    check_daemon(fleet, BODIES_SHARE)
    crowd.close()


# 16 relays to slow peers took a daemon to 255 MB.
def test_bodies_at_the_peers_listener_stay_in_the_budget(start):
    """A fault of a peer must not end the daemon."""
    fleet = start()

    def send(sock, number):
        head = body_head(
            number, f"Content-Length: {LEGAL_BODY_BYTES}", "/engine"
        )
        sock.sendall(head)
        sock.sendall(b"x" * (LEGAL_BODY_BYTES - MISSING_BYTES))

    crowd = Crowd(fleet.daemons[0].peer_port, BODIES, send)
    crowd.wait_sent()
    check_daemon(fleet, CROWD_SHARE)
    crowd.close()


def test_whole_bodies_at_once_are_served_or_refused_as_not_run(start):
    """503 means that no engine has got the request."""
    fleet = start()
    (daemon,) = fleet.daemons
    body = b"x" * LEGAL_BODY_BYTES
    replies = {}

    def send(request):
        with contextlib.suppress(OSError, http.client.HTTPException):
            replies[request] = post(daemon, request, body)

    requests = [f"whole-{number}" for number in range(BODIES)]
    threads = [threading.Thread(target=send, args=(one,)) for one in requests]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    check_daemon(fleet, BODIES_SHARE)
    for request, (status, headers, _) in replies.items():
        if status == 503:
            assert float(headers["Retry-After"]) > 0
            assert not fleet.arrivals(request)
        else:
            assert status == 200
    for request in set(requests) - set(replies):
        assert not fleet.arrivals(request)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_one_large_body_is_served_in_calm(start, is_chunked):
    """The budget of the smallest VM must hold a legal body."""
    fleet = start()
    body = b"x" * LEGAL_BODY_BYTES
    sent, options = body, {}
    if is_chunked:
        pieces = range(0, LEGAL_BODY_BYTES, PIECE_BYTES)
        sent = (body[start : start + PIECE_BYTES] for start in pieces)
        options = {"encode_chunked": True}
    status, _, _ = post(fleet.daemons[0], "large", sent, **options)
    assert status == 200
    (arrival,) = fleet.arrivals("large")
    assert arrival.body == body
    check_daemon(fleet, CROWD_SHARE)


def test_a_head_of_the_largest_legal_size_is_served(start):
    """The limit on heads must leave room above it."""
    fleet = start()
    (daemon,) = fleet.daemons
    head = body_head("head", "Content-Length: 2").removesuffix(b"\r\n")
    number = 0
    while len(head) < LEGAL_HEAD_BYTES - 300:
        head += f"X-{number}: {'x' * 200}\r\n".encode()
        number += 1
    sock = socket.create_connection((fleet_module.HOST, daemon.callers_port))
    with sock:
        sock.settimeout(entryhelper.WAIT_S)
        sock.sendall(head + b"\r\nab")
        assert sock.recv(64).startswith(b"HTTP/1.1 200 ")


def test_heads_over_the_limit_stay_in_the_budget(start):
    """A large number of heads that each were let grow filled the VM."""
    fleet = start(connections=1000, head_s=20.0)
    head = b"POST /bills/1 HTTP/1.1\r\nX-More: " + b"x" * 250_000
    crowd = Crowd(
        fleet.daemons[0].callers_port,
        HEADS,
        lambda sock, _: sock.sendall(head),
    )
    crowd.wait_sent()
    check_daemon(fleet, CROWD_SHARE, 1000)
    crowd.close()


def test_heads_of_many_fields_stay_in_the_budget(start):
    """A field takes many times its bytes once it is decoded."""
    fleet = start(connections=1000)
    head = body_head("head", "Content-Length: 2").removesuffix(b"\r\n")
    number = 0
    while len(head) < LEGAL_HEAD_BYTES - 20:
        head += f"x{number}:1\r\n".encode()
        number += 1
    crowd = Crowd(
        fleet.daemons[0].callers_port,
        HEADS,
        lambda sock, _: sock.sendall(head + b"\r\na"),
    )
    crowd.wait_sent()
    check_daemon(fleet, CROWD_SHARE, 1000)
    crowd.close()


def trickle(first, rest):
    """Returns a function that sends `first`, then `rest` without end."""

    def send(sock, _):
        pause = threading.Event()
        sock.sendall(first)
        while True:
            sock.sendall(rest)
            pause.wait(TRICKLE_S)

    return send


def test_heads_without_end_are_closed(start):
    """Bytes now and then kept a connection and its descriptor for ever."""
    fleet = start()
    first = b"POST /bills/1 HTTP/1.1\r\n"
    crowd = Crowd(
        fleet.daemons[0].callers_port,
        3 * CONNECTIONS,
        trickle(first, b"X-More: 1\r\n"),
    )
    check_daemon(fleet, CROWD_SHARE)
    entryhelper.wait_until(
        lambda: crowd.closed == len(crowd.socks), "each connection is closed"
    )
    crowd.close()


def test_empty_lines_without_end_are_closed(start):
    """They were skipped for ever, which occupied the listener's thread."""
    fleet = start()
    crowd = Crowd(
        fleet.daemons[0].callers_port,
        BODIES,
        trickle(b"", b"\r\n" * 2000),
    )
    entryhelper.wait_until(
        lambda: crowd.closed == len(crowd.socks), "each connection is closed"
    )
    check_daemon(fleet, CROWD_SHARE)
    crowd.close()


def test_connections_without_a_request_give_way(start):
    """A crowd that only connects kept all others from being accepted."""
    fleet = start()
    crowd = Crowd(
        fleet.daemons[0].callers_port, 3 * CONNECTIONS, lambda *_: None
    )
    crowd.wait_sent()
    check_daemon(fleet, CROWD_SHARE)
    crowd.close()


def send_online(sock, number):
    """Sends an online request; its answer is not read."""
    sock.sendall(body_head(number, "Content-Length: 2") + b"ab")


def arrived_count(fleet):
    """Returns the number of requests that reached the engine."""
    return len(fleet.engines[0].newest_incarnation.arrivals)


def slow_readers(fleet):
    """Returns a Crowd of slow readers whose requests have all arrived."""
    crowd = Crowd(fleet.daemons[0].callers_port, BODIES, send_online)
    crowd.wait_sent()
    engine = fleet.engines[0].newest_incarnation
    entryhelper.wait_until(
        lambda: arrived_count(fleet) == BODIES, "all requests have arrived"
    )
    entryhelper.wait_until(
        lambda: len(engine.sent_ids) or engine.disconnected.is_set(),
        "the engine has sent an answer",
    )
    return crowd


# Each answer waited whole for its reader, whatever the sum.
def test_answers_that_are_not_read_stay_in_the_budget(start):
    """What waits for slow readers counts; those that do not fit are cut."""
    fleet = start(LargeEngine)
    crowd = slow_readers(fleet)
    (daemon,) = fleet.daemons
    entryhelper.wait_until(
        lambda: running_count(daemon) == 0, "all slots are given back"
    )
    check_daemon(fleet, CROWD_SHARE)
    crowd.close()


# 64 relays to slow peers took a daemon to 829 MB.
def test_relayed_answers_that_are_not_read_stay_in_the_budget(start):
    """A peer that reads slowly must not fill the VM that relays for it."""
    fleet = start(LargeEngine)
    (daemon,) = fleet.daemons
    engine = fleet.engines[0].newest_incarnation

    def send(sock, number):
        head = body_head(number, "Content-Length: 2")
        named = b"Target-Instance: " + engine.name.encode() + b"\r\nHost: "
        data = head.replace(b"Host: ", named, 1) + b"ab"
        order = tunnel.RelayOrder(engine.name, 20.0, data=data)
        sock.sendall(tunnel.Tunnel("peer").encode(order))

    crowd = Crowd(daemon.peer_port, LARGE_CROWD, send)
    entryhelper.wait_until(
        lambda: len(readable(crowd.socks)) == LARGE_CROWD,
        "each order is answered or refused",
    )
    entryhelper.wait_until(
        lambda: (
            len(engine.sent_ids) + len(engine.broken_ids)
            == arrived_count(fleet)
        ),
        "all answers of the engine were read or cut",
    )
    check_daemon(fleet, CROWD_SHARE, 200)
    crowd.close()


def readable(socks):
    """Returns the sockets on which something has arrived."""
    return select.select(socks, [], [], 0)[0]


def running_count(daemon):
    """Returns the number of online requests in progress, by the metrics."""
    conn = http.client.HTTPConnection(
        fleet_module.HOST, daemon.readiness_port, timeout=entryhelper.WAIT_S
    )
    try:
        conn.request("GET", "/metrics")
        text = conn.getresponse().read().decode()
    finally:
        conn.close()
    (line,) = [
        one
        for one in text.splitlines()
        if one.startswith("samphirepost_running ")
    ]
    return float(line.split()[1])


def test_a_slow_reader_gets_its_whole_answer(start):
    """The engine's slot is given back before the caller reads."""
    fleet = start(LargeEngine)
    (daemon,) = fleet.daemons
    engine = fleet.engines[0].newest_incarnation
    conn = http.client.HTTPConnection(
        fleet_module.HOST, daemon.callers_port, timeout=entryhelper.WAIT_S
    )
    headers = {
        "Host": entryfleet.HOSTNAME,
        "Request-Id": "slow",
        "Deadline-Ms": "20000",
    }
    conn.request("POST", "/bills/1", b"prompt", headers)
    entryhelper.wait_until(
        lambda: "slow" in engine.sent_ids and running_count(daemon) == 0,
        "the engine's answer was read",
    )
    resp = conn.getresponse()
    events = resp.read().split(b"\n\n")
    assert events[-1] == b""
    assert len(events) == engine.events + 1
    check_daemon(fleet, CROWD_SHARE)
    conn.close()


def test_refusals_are_counted_and_logged(start):
    """An operator must see why callers were refused."""
    fleet = start()
    (daemon,) = fleet.daemons
    crowd = Crowd(daemon.callers_port, BODIES, send_almost_all)
    crowd.wait_sent()
    check_daemon(fleet, BODIES_SHARE)
    crowd.close()
    lines = [
        json.loads(line)
        for line in (fleet.folder / "vm-0.log").read_text().splitlines()
    ]
    refused = [one for one in lines if one["event"] == "caller.refused"]
    assert {one["kind"] for one in refused} >= {"memory"}
