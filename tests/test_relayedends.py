"""Tests that the end of a relay never passes for the end of an answer."""

import socket
import struct

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import items
from samphirepost_daemon.entry import tunnel
from tests import entryhelper

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nResponse-Seal: s\r\n"
EVENTS = b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
RELAY_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def in_chunks(*pieces):
    """Returns the pieces as a whole body in chunks."""
    chunks = [b"%x\r\n%s\r\n" % (len(one), one) for one in pieces]
    return b"".join(chunks) + b"0\r\n\r\n"


ANSWERS = {
    "without a length": HEAD + b"\r\n" + EVENTS,
    "with a length": HEAD
    + b"Content-Length: %d\r\n\r\n" % len(EVENTS)
    + EVENTS,
    "in chunks": HEAD
    + b"Transfer-Encoding: chunked\r\n\r\n"
    + in_chunks(EVENTS[:20], EVENTS[20:]),
}


class CutPeer(entryhelper.RawServer):
    """A peer that relays an answer and breaks off; `data` is what it sends."""

    def __init__(self):
        super().__init__()
        self.data = b""

    def serve(self, conn):
        """Answers one order, once it has come."""
        conn.recv(65_536)
        conn.sendall(self.data)


class RelayedPaths:
    """Opens calls through a peer."""

    @staticmethod
    def open(call, _engine, through, order, request):
        """Sends a request; see PathMonitor.open()."""
        failure = call.connect_peer(through, entryhelper.WAIT_S)
        return failure or call.send_relayed(order, entryhelper.WAIT_S, request)


class EndsObserver(items.RunObserver):
    """Records the ends of answers without a length."""

    __slots__ = ("ends",)

    def __init__(self):
        self.ends = []

    def unframed_end(self, _resume_after, end):
        """Records an end."""
        self.ends.append(end)

    def may_ask_again(self):
        """Returns False: one answer is looked at."""
        return False


def run_through(peer, data):
    """Runs an item through a peer; returns the outcome and unframed ends."""
    peer.data = data
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    record = batchjob.Record("job", "h", "r", item.path, (item,))
    engine = roster.Engine("e1", "plants", "10.1.0.1:1", "a", 8)
    run = holdermessages.ItemRun(
        1, ("h", "job"), 0, engine, batchjob.PartialOutput(), peer.address
    )
    observer = EndsObserver()
    outcome = items.run_item(
        RelayedPaths(), record, item, engine, run, lambda: False, observer
    )
    return outcome, observer.ends


@pytest.fixture
def peer():
    """A CutPeer."""
    new_peer = CutPeer()
    yield new_peer
    new_peer.stop()


# A peer that is killed could pass for an engine that ends its answer.
@pytest.mark.parametrize("kind", ANSWERS)
def test_a_peer_that_breaks_off_ends_no_item(peer, kind):
    answer = ANSWERS[kind]
    body = in_chunks(tunnel.OPENED, answer[:70], answer[70:])
    data = RELAY_HEAD + body
    for cut in range(len(data)):
        outcome, ends = run_through(peer, data[:cut])
        if kind != "without a length" and len(data) - cut <= 7:
            # All of the engine's answer has come.
            assert outcome == items.CompletedRun(framed=True)
            continue
        assert isinstance(outcome, items.InterruptedRun), data[:cut]
        assert ends == []
    outcome, ends = run_through(peer, data)
    if kind == "without a length":
        assert ends == [2]
    else:
        assert outcome == items.CompletedRun(framed=True)


class EventServer(entryhelper.RawServer):
    """An engine that sends a head and an event, and then does as it is told.

    "close" ends the connection, "reset" resets it, "wait" leaves it open.
    """

    def __init__(self, then):
        super().__init__()
        self._then = then

    def serve(self, conn):
        """Answers one request."""
        if not conn.recv(65_536):
            return
        conn.sendall(HEAD + b"\r\nid: 1\ndata: a\n\n")
        if self._then == "wait":
            conn.recv(65_536)
        elif self._then == "reset":
            conn.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
            )


@pytest.fixture(scope="module")
def fleet():
    """Two daemons; the first one relays."""
    new_fleet = entryhelper.Fleet(engines=1, daemons=2)
    entryhelper.wait_until(
        lambda: all(
            len(one.slots.hub_selector.members) == 2
            for one in new_fleet.daemons
        ),
        "both daemons are members",
    )
    yield new_fleet
    new_fleet.stop()


# An engine that resets its connection, and a relay whose time is up, could
# pass for an engine that ends its answer without a length.
@pytest.mark.parametrize(
    ("then", "left_s", "is_end"),
    [("close", 10.0, True), ("reset", 10.0, False), ("wait", 0.3, False)],
)
def test_only_the_engines_own_end_comes_through_a_daemon(
    fleet, then, left_s, is_end
):
    server = EventServer(then)
    name = f"then-{then}"
    fleet.list_address(name, server.address)
    cfg = fleet.daemons[0].cfg
    call = engineclient.Call()
    address = f"{cfg.peer_address}:{cfg.peer_port}"
    assert call.connect_peer(address, entryhelper.WAIT_S) is None
    headers = [("Host", "h"), ("Content-Length", "0")]
    order = tunnel.RelayOrder(name, left_s, item=True)
    request = ("POST", "/evening/1", headers, b"")
    assert call.send_relayed(order, entryhelper.WAIT_S, request) is None
    parts = [call.read(entryhelper.WAIT_S)]
    while isinstance(
        parts[-1], (engineclient.ResponseHead, engineclient.BodyData)
    ):
        parts.append(call.read(entryhelper.WAIT_S))
    call.close()
    server.stop()
    if is_end:
        assert parts[-1] == engineclient.EndOfResponse(unframed=True)
    else:
        assert isinstance(parts[-1], engineclient.CallFailure), parts
        assert parts[-1].at_peer
