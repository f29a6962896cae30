"""Requests with a part of a prompt that crashes engines, and their neighbours.

Engines crash when they begin to answer a request with the part BAD. The
daemons run in this process, with emulated store and engines.
"""

import itertools
import time

import pytest

from samphirepost import quarantine
from samphirepost_bench import streamengine
from tests import entryhelper

FIRST = "a0"
BAD = "bad"
# The users' bounds: so many more requests with the part may reach engines
# later than CONTACT_S after the crash with this number.
CRASHES = 5
CONTACT_S = 3.0
MORE_MAX = 3
DAEMONS = 3


@pytest.fixture
def fleet():
    """Three daemons with six engines that crash on BAD."""
    new_fleet = entryhelper.Fleet(engines=6, daemons=DAEMONS)
    new_fleet.crash_on(BAD)
    yield new_fleet
    new_fleet.stop()


class Caller:
    """Sends online requests with prompts, each time to the next daemon."""

    def __init__(self, fleet):
        self._fleet = fleet
        self._numbers = itertools.count()
        self.sent = []

    def send(self, part, path="/notes/1"):
        """Sends a request whose prompt has FIRST, a part and its own."""
        number = next(self._numbers)
        request = f"{part}-{number}"
        self.sent.append(request)
        return self._fleet.send_online(
            request,
            path,
            daemon=number % len(self._fleet.daemons),
            body=b"prompt %d" % number,
            **{"Prompt-Prefix": f"{FIRST}:8,{part}:8,own{number}:8"},
        )

    def arrived(self, first=0):
        """Returns how many sends of requests reached engines."""
        return sum(map(self._fleet.arrived, self.sent[first:]))


def wait_until_contact():
    """Waits for the time in which daemons may learn from one another."""
    over_s = time.monotonic() + CONTACT_S
    entryhelper.wait_until(
        lambda: time.monotonic() > over_s, "daemons were in contact"
    )


def crash_engines(fleet, caller, path="/notes/1"):
    """Sends requests with BAD until CRASHES engines crashed.

    Stops earlier if the requests no longer reach engines.
    """
    for _ in range(4 * CRASHES):
        if len(fleet.crashed) >= CRASHES:
            break
        caller.send(BAD, path)
    wait_until_contact()


# Incident inc1: one part of a prompt crashed engine after engine, as each
# failure was held against the engine and never against the request.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_requests_that_crash_engines_stop_reaching_them(fleet, path):
    caller = Caller(fleet)
    crash_engines(fleet, caller, path)
    sent_before = len(caller.sent)
    replies = [caller.send(BAD, path) for _ in range(3 * DAEMONS)]
    assert caller.arrived(sent_before) <= MORE_MAX
    for request, reply in zip(caller.sent[sent_before:], replies, strict=True):
        if not fleet.arrived(request):
            assert reply.status == 503
            assert float(reply.headers["Retry-After"]) > 0


# An answer without a length that ends after its head passed for a whole one,
# so that nothing told of the crash.
def test_a_crash_after_the_head_of_an_unframed_answer_counts(fleet):
    for engine in fleet.engines:
        engine.unframed = True
    caller = Caller(fleet)
    crash_engines(fleet, caller, "/bills/1")
    sent_before = len(caller.sent)
    for _ in range(3 * DAEMONS):
        assert caller.send(BAD, "/bills/1").status in (502, 503)
    assert caller.arrived(sent_before) <= MORE_MAX


# A false suspicion of a shared part would refuse sound requests.
def test_sound_requests_beside_them_are_served(fleet):
    caller = Caller(fleet)
    crash_engines(fleet, caller)
    for number in range(2 * DAEMONS):
        reply = caller.send(f"b{number}")
        assert (reply.status, reply.complete) == (200, True)


# What is known of a part must outlive the daemons that learned it.
def test_a_quarantine_outlives_all_daemons(fleet):
    caller = Caller(fleet)
    crash_engines(fleet, caller)
    for daemon in fleet.daemons:
        entryhelper.stop_daemon(daemon)
    fleet.daemons[:] = [fleet.start(f"new-{i}") for i in range(DAEMONS)]
    sent_before = len(caller.sent)
    for _ in range(2 * DAEMONS):
        caller.send(BAD)
    assert caller.arrived(sent_before) <= MORE_MAX
    reply = caller.send("sound")
    assert (reply.status, reply.complete) == (200, True)


# The runs of an item that crashes engines were repeated without end, as a
# broken run counts for no attempt.
def test_items_that_crash_engines_stop_reaching_them(fleet):
    fleet.submit("bad1", 2, 0, f"{FIRST}:8,{BAD}:8,own1:8")
    entryhelper.wait_until(
        lambda: fleet.crashed, "an item has crashed an engine"
    )
    wait_until_contact()
    wait_until_contact()
    fleet.submit("bad2", 2, 1, f"{FIRST}:8,{BAD}:8,own2:8")
    items = [f"{job}-{i}" for job in ("bad1", "bad2") for i in range(2)]
    arrived_before = sum(map(fleet.arrived, items))
    assert fleet.submit("sound", 20, 2, f"{FIRST}:8,b1:8,own3:8").status == 202
    entryhelper.wait_until(
        lambda: fleet.complete_results("sound"), "the sound job is complete"
    )
    wait_until_contact()
    assert sum(map(fleet.arrived, items)) - arrived_before <= MORE_MAX
    assert fleet.results("bad1")["results"] == []


# A failure of an engine with a free slot told that the part was sound.
def test_an_answer_that_is_a_failure_clears_no_part(fleet):
    for engine in fleet.engines:
        engine.faults.append(streamengine.Fault.FAIL)
    caller = Caller(fleet)
    assert caller.send("b1", "/bills/1").status == 500
    observations = fleet.daemons[0].observations
    assert observations.begun(("b1",), time.monotonic()) == ()
    caller.send("b2", "/bills/1")


# Items that may probe a part filled the list of wanted items, and those of
# other jobs waited behind them.
def test_items_go_on_beside_those_whose_quarantine_is_over(fleet):
    now_s = time.monotonic()
    over = quarantine.Quarantined(now_s - 100.0, now_s - 40.0, 1)
    for daemon in fleet.daemons:
        daemon.quarantine_writer.put("q1", over)
        entryhelper.wait_until(
            lambda one=daemon: one.quarantine.get("q1"), "the part is stored"
        )
    fleet.submit("slow", 40, 0, f"{FIRST}:8,q1:8,own1:8")
    fleet.submit("sound", 20, 0, f"{FIRST}:8,b1:8,own2:8")
    for job in ("sound", "slow"):
        entryhelper.wait_until(
            lambda job=job: fleet.complete_results(job), "a job is complete"
        )
