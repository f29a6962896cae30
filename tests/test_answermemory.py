"""Faults: many answers without end at once, in a daemon process.

The process gets 160 MB, as the smallest VMs do. Each test checks that it
lives, that its memory and descriptors stay bounded, and that it answers an
ordinary request afterwards. Single answers are in test_endless.
"""

import contextlib
import http.client
import itertools
import json
import os
import re
import socket
import threading

import pytest

from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_daemon.entry import tunnel
from tests import entryhelper

MEMORY_MB = 160
# Largest resident memory of a daemon that is told MEMORY_MB.
RESIDENT_MAX_MB = 100
DESCRIPTORS_MAX = 300
REQUESTS = 32
RELAYS = 24
ITEMS = 4
ITEM_RUNS = 6
STILL_POLLS = 100
REQUEST_ID = re.compile(rb"^request-id: *(\S+)\r$", re.I | re.M)
STREAM_PATH = "/bills/1"
PLAIN_PATH = "/plain/"
SEALED = b"Request-Id: %s\r\nResponse-Seal: s\r\n"
TEXT = b"x" * 32_768


def plain(status):
    """Returns the pieces of a plain answer without a length or an end."""

    def pieces(request_id):
        yield b"HTTP/1.1 %d X\r\n%s\r\n" % (status, SEALED % request_id)
        yield from itertools.repeat(TEXT)

    return pieces


def numbered_events(request_id):
    """Yields the pieces of a stream of whole events without an end."""
    yield b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n%s\r\n" % (
        SEALED % request_id
    )
    for first in itertools.count(1, 1000):
        yield b"".join(
            b"id: %d\ndata: w\n\n" % number
            for number in range(first, first + 1000)
        )


class EndlessEngine(entryhelper.RawServer):
    """Answers with pieces until the connection is closed.

    `closed` counts the connections that the other side has closed, `sent` has
    the bytes that were sent on each.
    """

    def __init__(self, pieces):
        self._pieces = pieces
        self._lock = threading.Lock()
        self.closed = 0
        self.sent = []
        super().__init__()

    def serve(self, conn):
        """Reads the head of a request and answers without end."""
        data = entryhelper.read_head(conn)
        if data is None:
            return
        found = REQUEST_ID.search(data)
        if found is None:
            # It asks for the engine's report.
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}")
            return
        with self._lock:
            number = len(self.sent)
            self.sent.append(0)
        with contextlib.suppress(OSError):
            for piece in self._pieces(found[1]):
                conn.sendall(piece)
                self.sent[number] += len(piece)
        with self._lock:
            self.closed += 1

    def wait_still(self):
        """Waits until nothing was sent for STILL_POLLS polls."""
        seen = []

        def is_still():
            seen.append(sum(self.sent))
            return seen[-STILL_POLLS:] == [seen[-1]] * STILL_POLLS

        entryhelper.wait_until(is_still, "no more is read")


class Host:
    """One daemon process with one engine, which a test may replace."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.daemon = fleet.daemons[0]
        self._servers = []

    def list_endless(self, pieces):
        """Lists an EndlessEngine in place of the sound one; returns it."""
        server = EndlessEngine(pieces)
        self._servers.append(server)
        sound = self.fleet.engines[0]
        entry = sound.newest_incarnation.entry(entryfleet.POOL)
        entry |= {"address": server.address, "slots": REQUESTS, "born": 9}
        self.fleet.store.put_row("servers", sound.name, entry)
        entryhelper.wait_until(
            lambda: self.send("first") != 200 and server.sent,
            "the endless engine is used",
        )
        return server

    def add_plain_route(self):
        """Configures a route whose answers are no streams."""
        routes = (
            *entryfleet.ROUTES,
            entryfleet.route("plain", PLAIN_PATH, "non_idempotent"),
        )
        document = entryfleet.tables(self.fleet.version + 1, routes)
        self.fleet.store.put_row("op", "config", document)
        entryhelper.wait_until(
            lambda: self.send("plain", PLAIN_PATH) != 404,
            "the route is configured",
        )

    def send(self, request_id, path=STREAM_PATH):
        """Sends a request; returns its status, or None without an answer."""
        conn = http.client.HTTPConnection(
            fleet_module.HOST,
            self.daemon.callers_port,
            timeout=entryhelper.WAIT_S,
        )
        headers = {
            "Host": entryfleet.HOSTNAME,
            "Request-Id": request_id,
            "Deadline-Ms": "5000",
        }
        try:
            conn.request("POST", path, b"prompt", headers)
            resp = conn.getresponse()
            while resp.read(65_536):
                pass
            return resp.status
        except (OSError, http.client.HTTPException):
            return None
        finally:
            conn.close()

    def send_many(self, count, path):
        """Sends requests at once; returns their statuses."""
        found = []
        threads = [
            threading.Thread(
                target=lambda one=number: found.append(
                    self.send(f"r{one}", path)
                )
            )
            for number in range(count)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        return found

    def open_relay(self, number):
        """Returns a connection on which a peer has a run relayed."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(entryhelper.WAIT_S)
        sock.connect((fleet_module.HOST, self.daemon.peer_port))
        request = b"POST / HTTP/1.1\r\nRequest-Id: p%d\r\n\r\n" % number
        name = self.fleet.engines[0].name
        order = tunnel.RelayOrder(name, entryhelper.WAIT_S, data=request)
        sock.sendall(tunnel.Tunnel("peer").encode(order))
        return sock

    def submit(self, job):
        """Submits a job of items of 40 tokens each."""
        items = [
            {
                "id": f"{job}-{number}",
                "path": f"/evening/{number}",
                "headers": {"Token-Count": "10,40"},
                "body": "Ym9keQ==",
                "tokens": 50,
            }
            for number in range(ITEMS)
        ]
        conn = http.client.HTTPConnection(
            fleet_module.HOST,
            self.daemon.callers_port,
            timeout=entryhelper.WAIT_S,
        )
        headers = {"Host": entryfleet.HOSTNAME, "Request-Id": job}
        body = json.dumps({"requests": items}).encode()
        conn.request("POST", "/evening/x", body, headers)
        assert conn.getresponse().status == 202
        conn.close()

    def check(self):
        """Checks the process, and that it answers an ordinary request."""
        process = self.daemon.process
        assert process.alive, process.exit_report()
        descriptors = len(os.listdir(f"/proc/{process.popen.pid}/fd"))
        assert descriptors <= DESCRIPTORS_MAX
        assert process.peak_mb <= RESIDENT_MAX_MB
        self.fleet.engines[0].restart()
        entryhelper.wait_until(
            lambda: self.send("ordinary") == 200, "a request is answered"
        )
        assert process.alive, process.exit_report()
        assert process.peak_mb <= RESIDENT_MAX_MB

    def stop(self):
        """Stops the endless engines."""
        for server in self._servers:
            server.stop()


@pytest.fixture
def host(tmp_path):
    """A daemon process that is told MEMORY_MB."""
    fleet = entryfleet.Fleet(1, 1, tmp_path, settings={"memory_mb": MEMORY_MB})
    with fleet:
        fleet.wait_ready()
        new_host = Host(fleet)
        yield new_host
        new_host.stop()


@pytest.mark.parametrize("status", [200, 500])
def test_plain_answers_without_end(host, status):
    """Each answer was kept up to 16 MiB, however many there were."""
    host.add_plain_route()
    host.list_endless(plain(status))
    found = host.send_many(REQUESTS, PLAIN_PATH)
    # An engine may have run those that were sent.
    assert set(found) <= {502, 503, 504}
    host.check()


def test_relays_to_peers_that_do_not_read(host):
    """The listener kept up to 16 MB for each peer that reads slowly."""
    server = host.list_endless(plain(200))
    before = len(server.sent)
    with contextlib.ExitStack() as stack:
        for number in range(RELAYS):
            stack.enter_context(host.open_relay(number))
        entryhelper.wait_until(
            lambda: len(server.sent) >= before + RELAYS, "the runs began"
        )
        server.wait_still()
        host.check()


def test_items_whose_events_have_no_end(host):
    """An item for 40 tokens kept every event of an engine without end."""
    server = host.list_endless(numbered_events)
    before = server.closed
    host.submit("j")
    entryhelper.wait_until(
        lambda: server.closed >= before + ITEM_RUNS, "the items have run"
    )
    host.check()
