"""Answers of faulty engines that must not pass for sound ones.

The engines are servers that send scripted bytes for each request.
"""

import pytest

from samphirepost_bench import entryfleet
from tests import entryhelper

HEAD = (
    "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n"
    "Content-Type: text/event-stream\r\n"
)
UNSEALED_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\n"
STALE_REFUSAL = (
    "HTTP/1.1 503 Busy\r\nRequest-Id: earlier\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n"
)
BEGUN_STREAM = HEAD + "\r\nid: 1\ndata: {id}:1\n\nid: 2\nda"
ROUTES = (
    *entryfleet.ROUTES,
    entryfleet.route("slips", "/slips/", "idempotent"),
    entryfleet.route("prints", "/prints/", "non_idempotent"),
)


class ScriptedEngine(entryhelper.RawServer):
    """Sends `script` for each request, with the request's id, then closes."""

    def __init__(self, script):
        self._script = script
        self.requests = []
        super().__init__()

    def serve(self, conn):
        """Reads one request and sends the script."""
        data = b""
        while b"\r\n\r\n" not in data:
            data += conn.recv(65_536)
        (request,) = [
            line.partition(": ")[2]
            for line in data.decode().split("\r\n")
            if line.lower().startswith("request-id: ")
        ]
        self.requests.append(request)
        conn.sendall(self._script.format(id=request).encode())


@pytest.fixture
def fleet():
    """A daemon without engines; scripted ones are listed by script()."""
    new_fleet = entryhelper.Fleet(engines=0)
    new_fleet.configure(2, ROUTES)
    state = new_fleet.daemons[0].state
    entryhelper.wait_until(
        lambda: state.table.revision == 2, "the routes are known"
    )
    yield new_fleet
    new_fleet.stop()


def script(fleet, *scripts):
    """Lists an engine for each script; returns the ScriptedEngines."""
    engines = [ScriptedEngine(one) for one in scripts]
    for number, engine in enumerate(engines):
        entry = {
            "service": entryfleet.POOL,
            "address": engine.address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "seq": 1,
        }
        fleet.store.put_row("servers", f"scripted-{number}", entry)
    state = fleet.daemons[0].state
    entryhelper.wait_until(
        lambda: len(state.roster) == len(engines), "the engines are listed"
    )
    return engines


# More reports of issue 31, 1: an earlier refusal, written once more, passed
# for "not run" of a request that ran, and let it run again.
@pytest.mark.parametrize("path", ["/bills/1", "/prints/1"])
def test_a_refusal_of_another_request_promises_nothing(fleet, path):
    engines = script(fleet, STALE_REFUSAL, STALE_REFUSAL)
    found = fleet.send_online("r1", path)
    assert found.status == 502
    assert sum(one.requests.count("r1") for one in engines) == 1
