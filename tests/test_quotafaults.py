"""Tests the quotas of real daemons of one process under single failures.

The load: an organisation that sends as fast as it is answered, at all
daemons; what must hold is counted from the requests that reached engines.
"""

import bisect
import threading
import time

import pytest

from samphirepost import quotas
from samphirepost_bench import entryfleet
from tests import entryhelper

BOUNDS = quotas.Bounds()
RATE_PER_S = 10.0
BURST = 10.0
BOUND = (RATE_PER_S * BOUNDS.window_s + BURST) * (1 + BOUNDS.overshoot) + (
    BOUNDS.slack
)
HOT = {"name": "hot", "apiKeys": ["key-hot"], "ratePerS": 10, "burst": 10}
CALM = {"name": "calm", "apiKeys": ["key-calm"], "ratePerS": 50, "burst": 50}
# Requests of the hot organisation that are answered, with 429 or otherwise.
ANSWERS = 400


class QuotaFleet(entryhelper.Fleet):
    """A fleet whose tables declare two organisations with quotas."""

    def configure(self, version, routes, tenants=(HOT, CALM)):
        """Writes tables with organisations."""
        document = entryfleet.tables(version, routes)
        document["tenants"] = list(tenants)
        self.store.put_row("op", "config", document)


class HotCallers:
    """Threads that send without a pause until ANSWERS were received."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._lock = threading.Lock()
        self._count = 0
        self.statuses = []
        self._threads = [
            threading.Thread(target=self._run, args=(number,))
            for number in range(4)
        ]
        for thread in self._threads:
            thread.start()

    def _run(self, number):
        while True:
            with self._lock:
                self._count += 1
                count = self._count
            if count > ANSWERS:
                return
            headers = {"Credential": "key-hot", "Request-Id": f"h{count}"}
            try:
                reply = self._fleet.call(
                    "POST",
                    "/notes/1",
                    headers,
                    b"x",
                    count % len(self._fleet.daemons),
                )
            except OSError:
                continue
            self.statuses.append(reply.status)

    @property
    def answered(self):
        """The number of answers so far."""
        return len(self.statuses)

    def join(self):
        """Waits until all answers were received."""
        for thread in self._threads:
            thread.join()


def most_in_window(fleet, window_s=BOUNDS.window_s):
    """Returns the most runs of the hot organisation in a window."""
    times = sorted(
        one.at_s
        for engine in fleet.engines
        for one in engine.arrivals
        if one.has_run and one.headers.get("Tenant") == "hot"
    )
    return max(
        bisect.bisect_right(times, at_s + window_s) - index
        for index, at_s in enumerate(times)
    )


@pytest.fixture(name="fleet")
def make_fleet():
    """Yields a fleet of three daemons that have one hub."""
    fleet = QuotaFleet(engines=2, daemons=3)
    entryhelper.wait_until(fleet.common_hub, "a common hub")
    yield fleet
    fleet.stop()


def test_the_quota_holds_as_the_hub_is_lost(fleet):
    """The next hub knows nothing of what was granted."""
    hub = fleet.common_hub()
    callers = HotCallers(fleet)
    entryhelper.wait_until(lambda: callers.answered > ANSWERS / 4, "load")
    for daemon in fleet.daemons:
        if daemon.parts.me == hub:
            # Its requests go on; it takes part in no exchange any more.
            daemon.slots._receive = entryhelper._exit_thread
            daemon.slots.join()
    callers.join()
    assert most_in_window(fleet) <= BOUND
    assert 429 in callers.statuses


def test_a_quota_that_is_lowered_under_load_holds(fleet):
    """The burst of the higher one must not be spent after it."""
    callers = HotCallers(fleet)
    entryhelper.wait_until(lambda: callers.answered > ANSWERS / 4, "load")
    lower = {**HOT, "ratePerS": 1, "burst": 1}
    fleet.configure(2, entryfleet.ROUTES, (lower, CALM))
    entryhelper.wait_until(
        lambda: all(one.state.table.revision == 2 for one in fleet.daemons),
        "the lower quota",
    )
    lowered_s = time.monotonic()
    callers.join()
    assert most_in_window(fleet) <= BOUND
    late = [
        one
        for engine in fleet.engines
        for one in engine.arrivals
        if one.has_run and one.at_s > lowered_s + BOUNDS.window_s
    ]
    assert len(late) <= (1 * BOUNDS.window_s + 1) * 1.1 + BOUNDS.slack


def test_a_hot_organisation_costs_another_nothing(fleet):
    """Requests within a quota are served beside one that is used up."""
    callers = HotCallers(fleet)
    entryhelper.wait_until(lambda: 429 in callers.statuses, "a refusal")
    headers = {"Credential": "key-calm"}
    for number in range(20):
        headers["Request-Id"] = f"c{number}"
        reply = fleet.call("POST", "/notes/1", headers, b"x", number % 3)
        assert reply.status != 429
    callers.join()


def test_a_refusal_tells_when_the_quota_allows_the_next(fleet):
    """A caller that returns earlier would be refused again for nothing."""
    callers = HotCallers(fleet)
    callers.join()
    headers = {"Credential": "key-hot", "Request-Id": "late"}
    reply = fleet.call("POST", "/notes/1", headers, b"x")
    if reply.status == 429:
        assert float(reply.headers["Retry-After"]) > 0
    assert fleet.arrived("late") == (reply.status == 200)
