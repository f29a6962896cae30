"""A listener's threads: as many as requests are in progress at a time."""

import http.client
import threading

import pytest

from samphirepost_bench import fleet as fleet_module
from samphirepost_daemon import listener
from tests import entryhelper

THREADS_MAX = 4


class Gate:
    """A WSGI application that answers once it is let go."""

    def __init__(self):
        self.entered = threading.Semaphore(0)
        self.open = threading.Event()

    def __call__(self, environ, start_response):
        """Answers when the gate is open."""
        self.entered.release()
        self.open.wait(entryhelper.WAIT_S)
        start_response("200 OK", [("Content-Length", "0")])
        return []


@pytest.fixture
def served():
    """A listener before a gate, with its address."""
    gate = Gate()
    address = f"127.0.0.1:{fleet_module.free_port()}"
    made = listener.Listener(gate, address, THREADS_MAX, 1000, 100, 60)
    made.start()
    yield made, gate, address
    gate.open.set()
    made._server.close()


def ask(address):
    """Sends a request on a connection of its own, which it returns."""
    conn = http.client.HTTPConnection(address, timeout=entryhelper.WAIT_S)
    conn.request("GET", "/")
    return conn


def answered(conn):
    """Whether the request on a connection is answered."""
    status = conn.getresponse().status
    conn.close()
    return status == 200


def test_requests_one_after_the_other_share_a_thread(served):
    """An idle thread takes the next request."""
    made, gate, address = served
    assert made.threads == 0
    gate.open.set()
    for _ in range(5):
        assert answered(ask(address))
        entryhelper.until(lambda: made.idle, "the request has ended")
    assert made.threads <= 2


def test_each_request_that_finds_all_busy_gets_a_thread(served):
    """Load pattern: a burst at a daemon that had nothing to do."""
    made, gate, address = served
    conns = [ask(address) for _ in range(THREADS_MAX + 2)]
    for _ in range(THREADS_MAX):
        assert gate.entered.acquire(timeout=entryhelper.WAIT_S)
    assert made.threads == THREADS_MAX
    gate.open.set()
    assert all(answered(conn) for conn in conns)
    assert made.threads == THREADS_MAX
