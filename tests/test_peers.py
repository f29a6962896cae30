"""Requests between daemons over real connections, and their failures."""

import concurrent.futures
import threading

import pynng
import pytest

from samphirepost import codec
from samphirepost import errors
from samphirepost import messages
from samphirepost_bench import fleet
from samphirepost_daemon import metrics
from samphirepost_daemon import peers
from tests import entryhelper

SHORT_S = 0.05
LONG_S = 5.0


def address():
    return f"tcp://{fleet.HOST}:{fleet.free_port()}"


def test_reply_comes_back():
    server_address = address()
    server = peers.Server(
        server_address, lambda command: messages.Acknowledgement()
    )
    server.start()
    reply = peers.Client().request(
        server_address, messages.TablesRequest(), LONG_S
    )
    assert reply == messages.Acknowledgement()
    server.stop()


class Caller:
    """A peer whose own time limit is far off: the server's time decides."""

    def __init__(self, server_address):
        self._socket = pynng.Req0(
            resend_time=peers.RESEND_NEVER_MS,
            recv_timeout=int(entryhelper.WAIT_S * 1000),
        )
        self._socket.dial(server_address, block=True)

    def request(self, wait_s):
        """Returns the server's reply to a request that allows `wait_s`."""
        request = messages.Request("r1", messages.TablesRequest())
        self._socket.send(codec.pack(peers.TimedRequest(request, wait_s)))
        response = codec.unpack(self._socket.recv(), messages.Response)
        assert response.id == "r1"
        return response.reply

    def close(self):
        """Closes the connection."""
        self._socket.close()


# A server that does not reply in the time allowed looks dead to its peers.
def test_command_that_is_not_durable_in_time_is_unknown():
    server_address = address()
    replies = [messages.Acknowledgement(), concurrent.futures.Future()]
    server = peers.Server(server_address, lambda command: replies.pop())
    server.start()
    caller = Caller(server_address)
    reply = caller.request(SHORT_S)
    assert reply.kind is errors.Kind.PLATFORM_UNCERTAIN
    assert reply.outcome is errors.Outcome.UNKNOWN
    assert caller.request(SHORT_S) == messages.Acknowledgement()
    caller.close()
    server.stop()


# What a server says of a command is passed on, and its connection is kept.
def test_failure_that_the_server_replies_is_returned():
    server_address = address()
    failure = errors.Failure(
        errors.Kind.PLATFORM_UNCERTAIN,
        "the command is not durable yet",
        errors.Outcome.UNKNOWN,
    )
    server = peers.Server(server_address, lambda command: failure)
    server.start()
    client = peers.Client()
    reply = client.request(server_address, messages.TablesRequest(), LONG_S)
    assert reply == failure
    assert client.count_connections(server_address) == 1
    server.stop()


# A client that gave up before the server's time is over would take it for
# dead, and so hear of no command that is not durable in time.
def test_client_waits_longer_than_it_allows_the_server(monkeypatch):
    waits = []

    async def record(self, address, request_id, data, timeout_s):
        timed = codec.unpack(data, peers.TimedRequest)
        waits.append((timed.wait_s, timeout_s))

    monkeypatch.setattr(peers.Client, "_send_request", record)
    for wait_s in (SHORT_S, LONG_S):
        peers.Client().request(address(), messages.TablesRequest(), wait_s)
    assert waits == [
        (SHORT_S, SHORT_S + peers.REPLY_GRACE_S),
        (LONG_S, LONG_S + peers.REPLY_GRACE_S),
    ]
    assert peers.REPLY_GRACE_S > 0


def test_command_that_raises_does_not_end_its_context(monkeypatch):
    """Each of the few contexts would be gone for good after one fault."""
    monkeypatch.setattr(peers, "CONTEXTS", 2)
    outcomes = [messages.Acknowledgement()] + 3 * [None]

    def handle(command):
        outcome = outcomes.pop()
        if outcome is None:
            raise ValueError("a fault")
        return outcome

    server_address = address()
    server = peers.Server(server_address, handle)
    server.start()
    client = peers.Client()
    for _ in range(3):
        reply = client.request(
            server_address, messages.TablesRequest(), LONG_S
        )
        assert reply.kind is errors.Kind.INTERNAL
        assert reply.outcome is errors.Outcome.UNKNOWN
    reply = client.request(server_address, messages.TablesRequest(), LONG_S)
    assert reply == messages.Acknowledgement()
    server.stop()


# The connection was left open until Python freed it, in whichever thread.
def test_connection_with_a_reply_to_another_request_is_closed():
    server_address = address()
    server = pynng.Rep0(listen=server_address)
    client = peers.Client()
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        fut = pool.submit(
            client.request, server_address, messages.TablesRequest(), LONG_S
        )
        server.recv()
        (connection,) = client._connections.values()
        other = messages.Response("other", messages.Acknowledgement())
        server.send(codec.pack(other))
        reply = fut.result()
    assert reply.kind is errors.Kind.STREAM_CROSSED
    assert reply.outcome is errors.Outcome.UNKNOWN
    assert client.count_connections(server_address) == 0
    with pytest.raises(pynng.Closed):
        connection.socket.new_context()
    server.close()


def test_dead_peer_is_given_up_and_unknown():
    reply = peers.Client().request(
        address(), messages.TablesRequest(), SHORT_S
    )
    assert reply.kind is errors.Kind.PEER_UNREACHABLE
    assert reply.outcome is errors.Outcome.UNKNOWN


def test_connection_that_timed_out_is_not_used_again():
    """The handler stalls once, like a connection that drops all traffic.

    Guards against a client that reuses the connection and times out again.
    """
    server_address = address()
    unblock = threading.Event()
    commands = []

    def handle(command):
        commands.append(command)
        if len(commands) == 1:
            unblock.wait()
        return messages.Acknowledgement()

    server = peers.Server(server_address, handle)
    server.start()
    client = peers.Client()
    before = count_retired()
    first = client.request(server_address, messages.TablesRequest(), SHORT_S)
    assert first.kind is errors.Kind.PEER_UNREACHABLE
    unblock.set()
    assert count_retired() == before + 1
    assert client.count_connections(server_address) == 0
    second = client.request(server_address, messages.TablesRequest(), LONG_S)
    assert second == messages.Acknowledgement()
    assert client.count_connections(server_address) == 1
    server.stop()


def count_retired():
    sample = metrics.PEER_CONNECTIONS_RETIRED.collect()[0].samples[0]
    return sample.value
