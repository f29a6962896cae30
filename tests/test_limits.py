"""Engines that name the rate of requests that they take from all daemons.

The daemons run in this process, with emulated store and engines.
"""

import threading
import time

import pytest

from tests import entryhelper

# The users' bounds: from CONTACT_S after an engine first named its limit, it
# gets in any WINDOW_S at most EXCESS times what that allows, and MORE_MAX.
CONTACT_S = 3.0
WINDOW_S = 4.0
EXCESS = 1.5
MORE_MAX = 5
LIMIT_PER_S = 2.0
DAEMONS = 3
# Items at this pace keep the slots of three engines busy for 12 s.
ITEM_EVENT_INTERVAL_S = 0.1


@pytest.fixture
def fleet():
    """Three daemons with three engines, of which two are limited."""
    new_fleet = entryhelper.Fleet(engines=3, daemons=DAEMONS)
    for engine in new_fleet.engines[:2]:
        engine.limit_per_s = LIMIT_PER_S
    yield new_fleet
    new_fleet.stop()


class Load:
    """Callers that send requests one after the other until stopped."""

    def __init__(self, fleet, callers):
        self._fleet = fleet
        self._stopped = threading.Event()
        self.replies = []
        self.threads = [
            threading.Thread(target=self._send, args=(f"c{i}", i % DAEMONS))
            for i in range(callers)
        ]
        for thread in self.threads:
            thread.start()

    def _send(self, name, daemon):
        number = 0
        while not self._stopped.is_set():
            number += 1
            self.replies.append(
                self._fleet.send_online(f"{name}-{number}", daemon=daemon)
            )

    def stop(self):
        """Stops the callers after their requests."""
        self._stopped.set()
        for thread in self.threads:
            thread.join()


def run_for(fleet, callers, seconds):
    """Applies load for some seconds; returns the Replies."""
    load = Load(fleet, callers)
    over_s = time.monotonic() + seconds
    entryhelper.wait_until(
        lambda: time.monotonic() > over_s, "the load was applied"
    )
    load.stop()
    return load.replies


def most_in_a_window(engine, from_s):
    """Returns the most requests that an engine got in WINDOW_S."""
    times = sorted(
        one.at_s for one in list(engine.arrivals) if one.at_s >= from_s
    )
    return max(
        (
            sum(began_s <= at_s < began_s + WINDOW_S for at_s in times)
            for began_s in times
        ),
        default=0,
    )


def assert_limits_kept(fleet):
    """Checks the engines that named a limit."""
    for engine in fleet.engines[:2]:
        from_s = min(one.at_s for one in engine.arrivals) + CONTACT_S
        allowed = EXCESS * LIMIT_PER_S * WINDOW_S + MORE_MAX
        assert most_in_a_window(engine, from_s) <= allowed


# A limit that an engine named was ignored: it got requests as it had slots.
def test_engines_get_no_more_than_they_named(fleet):
    replies = run_for(fleet, 9, CONTACT_S + 2 * WINDOW_S)
    assert {reply.status for reply in replies} == {200}
    assert_limits_kept(fleet)


# Without a hub each daemon chooses by itself; together they keep the limit.
def test_limits_hold_while_no_hub_answers(fleet):
    run_for(fleet, 9, 1.0)
    for daemon in fleet.daemons:
        daemon.slots._select_hub = lambda _: None
        daemon.slots._hub.address = None
    run_for(fleet, 9, CONTACT_S + WINDOW_S)
    assert_limits_kept(fleet)


# Items are requests too.
def test_limits_hold_for_batch_items(fleet):
    for engine in fleet.engines:
        engine.event_interval_s = ITEM_EVENT_INTERVAL_S
    for number in range(DAEMONS):
        assert fleet.submit(f"job{number}", 120, number).status == 202
    over_s = time.monotonic() + CONTACT_S + 2 * WINDOW_S
    entryhelper.wait_until(
        lambda: (
            time.monotonic() > over_s
            or all(fleet.complete_results(f"job{i}") for i in range(DAEMONS))
        ),
        "the jobs are complete, or ran for long enough",
    )
    assert_limits_kept(fleet)
