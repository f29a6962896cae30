"""Exchanges between daemons over real connections."""

import concurrent.futures
import threading

from samphirepost import errors
from samphirepost import messages
from samphirepost_bench import fleet
from samphirepost_daemon import metrics
from samphirepost_daemon import peers

SHORT_S = 0.05
LONG_S = 5.0


def address():
    return f"tcp://{fleet.HOST}:{fleet.free_port()}"


def test_reply_comes_back():
    where = address()
    server = peers.Server(where, lambda command: messages.Acknowledgement())
    server.start()
    reply = peers.Client().ask(where, messages.TablesRequest(), LONG_S)
    assert reply == messages.Acknowledgement()
    server.stop()


def test_command_that_is_not_durable_in_time_is_unknown():
    where = address()
    server = peers.Server(where, lambda command: concurrent.futures.Future())
    server.start()
    reply = peers.Client().ask(where, messages.TablesRequest(), SHORT_S)
    assert reply.kind is errors.Kind.PLATFORM_UNCERTAIN
    assert reply.outcome is errors.Outcome.UNKNOWN
    server.stop()


def test_dead_peer_is_given_up_and_unknown():
    reply = peers.Client().ask(address(), messages.TablesRequest(), SHORT_S)
    assert reply.kind is errors.Kind.PEER_UNREACHABLE
    assert reply.outcome is errors.Outcome.UNKNOWN


def test_connection_that_timed_out_is_not_used_again():
    """The server's handler hangs once, as a silent connection would."""
    where = address()
    hang = threading.Event()
    commands = []

    def handle(command):
        commands.append(command)
        if len(commands) == 1:
            hang.wait()
        return messages.Acknowledgement()

    server = peers.Server(where, handle)
    server.start()
    client = peers.Client()
    before = retired()
    first = client.ask(where, messages.TablesRequest(), SHORT_S)
    assert first.kind is errors.Kind.PEER_UNREACHABLE
    hang.set()
    assert retired() == before + 1
    assert client.connections(where) == 0
    second = client.ask(where, messages.TablesRequest(), LONG_S)
    assert second == messages.Acknowledgement()
    assert client.connections(where) == 1
    server.stop()


def retired():
    found = metrics.PEER_CONNECTIONS_RETIRED.collect()[0].samples[0]
    return found.value
