"""Planned stops of an entry daemon: no request is read and then cut."""

import threading

import pytest

from samphirepost_daemon.entry import core
from tests import entryhelper


@pytest.fixture
def fleet():
    """One daemon with two engines, which stops without a wait for callers."""
    new_fleet = entryhelper.Fleet(unready_s=0.0)
    yield new_fleet
    new_fleet.stop()


class LateRequest:
    """Stands in for the relay; a request comes as it is asked if it is idle.

    That is the last look before the exit.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self.replies = []
        self._threads = []

    @property
    def is_idle(self):
        """True, after a request has reached an engine."""
        if not self._threads:
            thread = threading.Thread(target=self._send)
            self._threads.append(thread)
            thread.start()
            entryhelper.wait_until(
                lambda: self._fleet.arrived("late"), "the request runs"
            )
        return True

    def _send(self):
        self.replies.append(self._fleet.send_online("late", "/bills/1"))

    def join(self):
        """Waits for the reply."""
        for thread in self._threads:
            thread.join()


# A request that came while the daemon closed its log was passed on and cut.
def test_a_request_that_comes_at_the_exit_is_answered(fleet):
    (daemon,) = fleet.daemons
    late = daemon.engine_relay = LateRequest(fleet)
    core.drain(daemon)
    assert daemon.callers.idle
    late.join()
    (reply,) = late.replies
    assert (reply.status, reply.complete) == (200, True)
    with pytest.raises(ConnectionRefusedError):
        fleet.send_online("after")
