"""Failures without a length whose engine ends in the middle of them."""

import pytest

from tests import entryhelper

PATHS = ["/notes/1", "/bills/1", "/slips/1", "/prints/1"]
REPORT = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


class FailingServer(entryhelper.RawServer):
    """An engine that answers with a failure without a length.

    With `dies`, it refuses connections once it has sent a part of the body.
    """

    def __init__(self, status, dies):
        super().__init__()
        self._status = status
        self._dies = dies
        self.request_count = 0

    def serve(self, conn):
        """Serves one connection."""
        data = conn.recv(65_536)
        if data.startswith(b"GET /report "):
            conn.sendall(REPORT)
        if not data.startswith(b"POST "):
            return
        self.request_count += 1
        request = data.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
        conn.sendall(
            b"HTTP/1.1 %d F\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\nbody"
            % (self._status, request)
        )
        if self._dies:
            self.stop()


@pytest.fixture
def fleet():
    """A daemon without engines, with routes of all online kinds."""
    new_fleet = entryhelper.start_without_engines()
    yield new_fleet
    new_fleet.stop()


# review/15, MIXED: a 500 that a crash cut off was passed on as whole.
@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("status", [404, 500])
def test_a_failure_whose_engine_ended_is_not_passed_on(fleet, path, status):
    server = FailingServer(status, dies=True)
    fleet.list_address("e1", server.address)
    reply = fleet.send_online("r1", path)
    assert server.request_count
    assert reply.status in (502, 503)
    assert "Response-Seal" not in reply.headers
    server.stop()


@pytest.mark.parametrize("path", ["/bills/1", "/prints/1"])
def test_a_failure_whose_engine_goes_on_is_passed_on(fleet, path):
    server = FailingServer(500, dies=False)
    fleet.list_address("e1", server.address)
    reply = fleet.send_online("r1", path)
    assert (reply.status, reply.body) == (500, b"body")
    server.stop()


# review/14 and soak 9533, MIXED: an item was given up after a 422 whose engine
# crashed, as the end of the connection was taken for that of the answer.
@pytest.mark.parametrize("status", [422, 500])
def test_a_verdict_whose_engine_ended_does_not_count(fleet, status):
    servers = [FailingServer(status, dies=True) for _ in range(3)]
    for number, server in enumerate(servers):
        fleet.list_address(f"e{number}", server.address)
    assert fleet.submit("job", 1).status == 202
    entryhelper.wait_until(
        lambda: all(one.request_count for one in servers),
        "the item ran at each engine",
    )
    assert fleet.results("job")["results"] == []
    for server in servers:
        server.stop()


def test_a_verdict_whose_engine_goes_on_counts(fleet):
    server = FailingServer(422, dies=False)
    fleet.list_address("e1", server.address)
    assert fleet.submit("job", 1).status == 202
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the item is given up"
    )
    assert [one["state"] for one in results] == ["dead_letter"]
    assert server.request_count == 1
    server.stop()
