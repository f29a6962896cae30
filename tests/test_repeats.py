"""A request that crashes engines comes again, beside sound requests.

Engines crash when they begin to answer the body CRASHING. Sound requests of
the same session share all parts of their prompts with it. The daemons run in
this process, with emulated store and engines.
"""

import itertools
import time

import pytest

from tests import entryhelper

CRASHING = b"the request that crashes engines"
SHARED = "first:8,session:8"
# The users' bounds: the request may reach engines so often later than
# CONTACT_S after it has crashed the engine with this number.
CRASHES = 3
CONTACT_S = 3.0
MORE_MAX = 3
DAEMONS = 3


@pytest.fixture
def fleet():
    """Three daemons with six engines that crash on CRASHING."""
    new_fleet = entryhelper.Fleet(engines=6, daemons=DAEMONS)
    new_fleet.crash_on(body=CRASHING)
    yield new_fleet
    new_fleet.stop()


class Caller:
    """Sends online requests of one session, each to the next daemon."""

    def __init__(self, fleet, path="/notes/1", shared=SHARED):
        self._fleet = fleet
        self._path = path
        self._shared = shared
        self._numbers = itertools.count()
        self.repeats = []

    def repeat(self, daemon=None):
        """Sends the request that crashes engines once more."""
        request = f"crashing-{len(self.repeats)}"
        self.repeats.append(request)
        return self._send(request, CRASHING, "own:8", daemon)

    def send_sound(self):
        """Sends a sound request of the same session.

        Sends it again if it was at an engine that another request crashed.
        """
        number = next(self._numbers)
        for attempt in range(3):
            reply = self._send(
                f"sound-{number}.{attempt}",
                b"prompt %d" % number,
                f"own{number}:8",
            )
            if reply.status == 200 and reply.complete:
                break
        return reply

    def _send(self, request, body, own_part, daemon=None):
        if daemon is None:
            daemon = next(self._numbers) % len(self._fleet.daemons)
        return self._fleet.send_online(
            request,
            self._path,
            daemon=daemon,
            body=body,
            **{"Prompt-Prefix": f"{self._shared},{own_part}".lstrip(",")},
        )

    def arrived(self, first=0):
        """Returns how often the repeated request reached engines."""
        return sum(map(self._fleet.arrived, self.repeats[first:]))


def wait_until_contact():
    """Waits for the time in which daemons may learn from one another."""
    over_s = time.monotonic() + CONTACT_S
    entryhelper.wait_until(
        lambda: time.monotonic() > over_s, "daemons were in contact"
    )


def crash_engines(fleet, caller, count=CRASHES):
    """Repeats the request until `count` engines crashed, and waits then.

    Sound requests of its session are answered meanwhile.
    """
    for _ in range(4 * count):
        if len(fleet.crashed) >= count:
            break
        caller.repeat()
        caller.send_sound()
    wait_until_contact()


def check_repeats(fleet, caller):
    """Checks that repeats stay away from engines and sound ones do not."""
    repeats_before = len(caller.repeats)
    replies = []
    for _ in range(4 * DAEMONS):
        caller.repeat()
        replies.append(caller.send_sound())
    assert caller.arrived(repeats_before) <= MORE_MAX
    assert {(one.status, one.complete) for one in replies} == {(200, True)}


# Incident inc1 of issue 28: crashes were held against the parts of a prompt,
# which sound requests of the same session cleared.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_a_request_that_crashes_engines_stops_reaching_them(fleet, path):
    caller = Caller(fleet, path)
    crash_engines(fleet, caller)
    check_repeats(fleet, caller)


# A prompt of one part shares none, so nothing was reported of its crashes.
def test_a_request_without_shared_parts_stops_reaching_engines(fleet):
    caller = Caller(fleet, shared="")
    crash_engines(fleet, caller)
    check_repeats(fleet, caller)


# What is known of a request must outlive the daemons that learned it.
def test_the_repeats_stay_away_after_all_daemons_were_lost(fleet):
    caller = Caller(fleet)
    crash_engines(fleet, caller)
    fleet.restart_all()
    check_repeats(fleet, caller)


# All daemons are lost again and again before the third crash of each life.
def test_crashes_count_across_losses_of_all_daemons(fleet):
    caller = Caller(fleet)
    for _ in range(2):
        crash_engines(fleet, caller, len(fleet.crashed) + 2)
        fleet.restart_all()
    check_repeats(fleet, caller)


# An item that was at engines that crashed is owed, whoever crashed them.
def test_items_of_the_session_are_done_beside_the_repeats(fleet):
    caller = Caller(fleet)
    crash_engines(fleet, caller)
    assert fleet.submit("job", 20, 0, f"{SHARED},own:8").status == 202
    caller.repeat()
    entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is complete"
    )
    caller.repeat()
    states = {one["state"] for one in fleet.results("job")["results"]}
    assert states == {"done"}
