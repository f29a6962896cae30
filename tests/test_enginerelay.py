"""Tests what a daemon relays to engines for peers, and what it refuses."""

import io
import socket
import types

import pytest

from samphirepost import codec
from samphirepost import relays
from samphirepost import roster
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import enginerelay
from samphirepost_daemon.entry import pathmonitor
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.entry import wiring
from tests import entryhelper

PEER = "10.0.0.2"


class Relay:
    """An EngineRelayApp whose connections to engines fail or succeed."""

    def __init__(self, error=None):
        self.parts = wiring.SharedParts("vm-1", "a")
        self.parts.paths = pathmonitor.PathMonitor(self.parts, dict)
        self.parts.slots = types.SimpleNamespace(report=lambda: None)
        self.parts.dialer = self._dial
        self._error = error
        self.dialled = []
        engine = roster.Engine("e0", "plants", "10.1.0.1:1", "a", 8)
        self.parts.state.roster.apply_entry(engine, 0.0)
        self.app = enginerelay.EngineRelayApp(
            self.parts, lambda: {"vm-2": (PEER, 7)}
        )

    def _dial(self, address, _timeout_s):
        self.dialled.append(address)
        raise self._error or ConnectionRefusedError

    def status(self, order, host=PEER):
        """Sends a RelayOrder as a peer; returns the status code."""
        found = []
        environ = {
            "wsgi.input": io.BytesIO(codec.pack(order)),
            "REMOTE_ADDR": host,
        }
        self.app(environ, lambda status, _: found.append(status))
        return int(found[0].split()[0])


def test_strangers_are_refused():
    relay = Relay()
    order = tunnel.RelayOrder("e0", 1.0)
    assert relay.status(order, host="10.9.9.9") == 403
    assert relay.dialled == []


def test_only_listed_engines_are_reached():
    relay = Relay()
    assert relay.status(tunnel.RelayOrder("10.1.0.1:1", 1.0)) == 503
    assert relay.dialled == []


def test_a_stopping_daemon_relays_nothing_more():
    relay = Relay()
    relay.parts.state.stop_began_s = 1.0
    assert relay.status(tunnel.RelayOrder("e0", 1.0)) == 503
    assert relay.dialled == []


def test_an_unreadable_order_is_refused():
    assert Relay().status(["not an order"]) == 400


# The reply must not blame the engine when the peer has no path itself.
def test_a_peer_without_a_path_tells_nothing_of_the_engine():
    relay = Relay()
    assert relay.status(tunnel.RelayOrder("e0", 1.0)) == 503
    assert relay.dialled == ["10.1.0.1:1"]
    assert relay.app.is_idle


def test_relayed_runs_are_limited_and_items_more_so():
    counter = enginerelay.RunCounter()
    started = [counter.try_start(True) for _ in range(relays.RUNS_MAX)]
    assert sum(started) == enginerelay.ITEM_RUNS_MAX
    rest = [counter.try_start(False) for _ in range(relays.RUNS_MAX)]
    assert sum(started) + sum(rest) == relays.RUNS_MAX
    for _ in range(enginerelay.ITEM_RUNS_MAX):
        counter.end(True)
    assert counter.try_start(True)


HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def chunk(data):
    """Returns a chunk of a chunked body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def feed(*pieces):
    """Returns what a Tunnel tells of a peer's bytes, piece by piece."""
    found = tunnel.Tunnel("10.0.0.1:7")
    found.encode(tunnel.RelayOrder("e0", 1.0, data=b"request"))
    return [part for piece in pieces for part in found.feed(piece)]


def test_the_engines_bytes_come_through_unchanged():
    body = chunk(tunnel.OPENED) + chunk(b"HTTP/1.1 ") + chunk(b"200 OK")
    parts = feed(HEAD + body, b"0\r\n\r\n")
    assert [one.data for one in parts] == [b"HTTP/1.1 ", b"200 OK", b""]


def test_bytes_beside_the_opening_are_not_lost():
    parts = feed(HEAD + chunk(tunnel.OPENED + b"data"))
    assert [one.data for one in parts] == [b"data"]


# A relay that ends early must not look like an engine that closed.
@pytest.mark.parametrize("cut", range(0, 30, 3))
def test_a_relay_that_breaks_off_is_no_end_of_the_answer(cut):
    data = HEAD + chunk(tunnel.OPENED) + chunk(b"data")
    parts = feed(data[: len(data) - cut], b"")
    assert isinstance(parts[-1], tunnel.Broken)
    assert not any(
        isinstance(one, tunnel.EngineData) and not one.data for one in parts
    )


def test_a_refusal_tells_whether_the_engine_or_the_peer_fails():
    for status, is_unreached in ((502, True), (503, False), (403, False)):
        head = b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % status
        (refused,) = feed(head)
        assert isinstance(refused, tunnel.Refused)
        assert refused.is_unreached == is_unreached


def test_an_answer_without_an_opening_is_no_answer():
    parts = feed(HEAD + b"0\r\n\r\n")
    assert isinstance(parts[-1], tunnel.Broken)


# A daemon that learned only from a peer's order that it does not reach an
# engine tested it no more: it doubted its paths until it was restarted.
def test_an_engine_that_was_not_reached_for_a_peer_is_tested_again():
    relay = Relay()
    paths = relay.parts.paths
    paths.start()
    assert relay.status(tunnel.RelayOrder("e0", 1.0)) == 503
    assert paths.is_doubtful
    with socket.create_server(("127.0.0.1", 0)) as server:
        address = f"127.0.0.1:{server.getsockname()[1]}"
        relay.parts.dialer = lambda _, timeout_s: engineclient.dial(
            address, timeout_s
        )
        entryhelper.wait_until(
            lambda: not paths.is_doubtful, "the engine is reached again"
        )


class HalfSocket:
    """A connection to an engine that fails while the request is sent."""

    def settimeout(self, timeout_s):
        """Does nothing."""

    def setblocking(self, flag):
        """Does nothing."""

    def sendall(self, data):
        """Fails; the engine may have the request by now."""
        raise ConnectionResetError

    def close(self):
        """Does nothing."""


# A refusal means that nothing was sent: a request that runs at most once was
# sent again, or called not run, though the engine might have had it.
def test_a_request_that_was_sent_in_part_is_not_refused():
    relay = Relay()
    relay.parts.dialer = lambda *_: HalfSocket()
    order = tunnel.RelayOrder("e0", 1.0, data=b"request")
    environ = {
        "wsgi.input": io.BytesIO(codec.pack(order)),
        "REMOTE_ADDR": PEER,
    }
    statuses = []
    body = relay.app(environ, lambda status, _: statuses.append(status))
    assert statuses == ["200 OK"]
    chunks = iter(body)
    assert next(chunks) == tunnel.OPENED
    with pytest.raises(enginerelay.RelayCut):
        next(chunks)
    body.close()
    assert relay.app.is_idle
