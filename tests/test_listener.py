"""Tests that a listener starts threads only as requests need them."""

import http.client
import socket
import threading
import time

import pytest

from samphirepost_bench import fleet as fleet_module
from samphirepost_daemon import listener
from tests import entryhelper

THREADS_MAX = 4


class BlockingApp:
    """A WSGI application that blocks until the test sets `may_answer`."""

    def __init__(self):
        self.arrivals = threading.Semaphore(0)
        self.may_answer = threading.Event()

    def __call__(self, environ, start_response):
        """Signals the arrival of a request, waits, then answers 200."""
        self.arrivals.release()
        self.may_answer.wait(entryhelper.WAIT_S)
        start_response("200 OK", [("Content-Length", "0")])
        return []


@pytest.fixture
def running_listener():
    """A started listener, its blocking application and its address."""
    app = BlockingApp()
    address = f"127.0.0.1:{fleet_module.free_port()}"
    server = listener.Listener(app, address, THREADS_MAX, 1000, 100, 60)
    server.start()
    yield server, app, address
    app.may_answer.set()
    server._server.close()


def send_request(address):
    """Sends a request on a new connection; returns the connection."""
    conn = http.client.HTTPConnection(address, timeout=entryhelper.WAIT_S)
    conn.request("GET", "/")
    return conn


def is_answered(conn):
    """Whether the request on a connection is answered with 200.

    Closes the connection.
    """
    status = conn.getresponse().status
    conn.close()
    return status == 200


def is_refused(address):
    """Whether a new connection is refused."""
    host, _, port = address.rpartition(":")
    try:
        socket.create_connection((host, int(port))).close()
    except ConnectionResetError:
        # The listener was closed while the connection waited in its backlog.
        return False
    except ConnectionRefusedError:
        return True
    return False


def test_requests_one_after_the_other_share_a_thread(running_listener):
    """An idle thread must be reused for the next request."""
    server, app, address = running_listener
    assert server.thread_count == 0
    app.may_answer.set()
    for _ in range(5):
        assert is_answered(send_request(address))
        entryhelper.wait_until(lambda: server.idle, "the listener is idle")
    assert server.thread_count <= 2


def test_each_request_that_finds_all_busy_gets_a_thread(running_listener):
    """A burst at an idle listener starts threads, up to THREADS_MAX."""
    server, app, address = running_listener
    conns = [send_request(address) for _ in range(THREADS_MAX + 2)]
    for _ in range(THREADS_MAX):
        assert app.arrivals.acquire(timeout=entryhelper.WAIT_S)
    assert server.thread_count == THREADS_MAX
    app.may_answer.set()
    assert all(is_answered(conn) for conn in conns)
    assert server.thread_count == THREADS_MAX


def test_a_closed_listener_has_answered_what_it_read(running_listener):
    """Else the exit that follows cuts a request that was read before it."""
    server, app, address = running_listener
    conns = [send_request(address) for _ in range(2)]
    for _ in conns:
        assert app.arrivals.acquire(timeout=entryhelper.WAIT_S)
    assert not server.close(time.monotonic())
    entryhelper.wait_until(
        lambda: is_refused(address), "no connection is accepted"
    )
    app.may_answer.set()
    assert all(is_answered(conn) for conn in conns)
    assert server.close(time.monotonic() + entryhelper.WAIT_S)


def test_a_connection_without_a_request_does_not_keep_a_listener_open(
    running_listener,
):
    """Its caller learns at once that it has to go elsewhere."""
    server, _, address = running_listener
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port))) as sock:
        entryhelper.wait_until(
            lambda: server._server.active_channels, "the connection is open"
        )
        assert server.close(time.monotonic() + entryhelper.WAIT_S)
        assert sock.recv(1) == b""
