"""The daemons agree on one hub again after faults between them."""

import pytest

from tests import entryhelper

DAEMONS = 3


@pytest.fixture
def fleet():
    """Three daemons with two engines."""
    new_fleet = entryhelper.Fleet(daemons=DAEMONS)
    yield new_fleet
    new_fleet.stop()


def first_hub(fleet):
    """Returns the daemon that all daemons report to."""
    vm = entryhelper.wait_until(fleet.common_hub, "all have one hub")
    return next(one for one in fleet.daemons if one.parts.me == vm)


def silence(daemon, others):
    """Drops what a daemon sends, until the others have another hub."""
    send = daemon.slots._send
    daemon.slots._send = lambda *_: None
    daemon.slots.hub_server._send = lambda *_: None
    for other in others:
        entryhelper.wait_until(
            lambda one=other: one.slots.hub_vm != daemon.parts.me,
            "another hub is selected",
        )
    daemon.slots._send = send
    daemon.slots.hub_server._send = send


# The announcements of an excluded hub were dropped, as they were not from the
# present one: two hubs stayed until the members changed, and each granted all
# slots of all engines.
def test_a_hub_that_was_silent_for_a_while_is_selected_again(fleet):
    hub = first_hub(fleet)
    others = [one for one in fleet.daemons if one is not hub]
    for _ in range(2):
        silence(hub, others)
        entryhelper.wait_until(
            lambda: fleet.common_hub() == hub.parts.me,
            "all daemons report to one hub again",
        )


# The same from the other side: a daemon that heard nobody for a while.
def test_a_daemon_that_was_cut_off_reports_to_the_hub_again(fleet):
    hub = first_hub(fleet)
    cut_off = next(one for one in fleet.daemons if one is not hub)
    receive = cut_off.slots._apply_datagram
    cut_off.slots._apply_datagram = lambda *_: None
    entryhelper.wait_until(
        lambda: cut_off.slots.hub_vm != hub.parts.me, "it has another hub"
    )
    cut_off.slots._apply_datagram = receive
    entryhelper.wait_until(
        lambda: fleet.common_hub() == hub.parts.me,
        "all daemons report to one hub again",
    )
