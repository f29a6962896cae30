"""Tests which engines the hub finds by the outcomes of their runs."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import enginehealth
from samphirepost import roster

POOL = "plants"
RUNS_PER_S = 300
# Runs between two reads of the engines by the hub.
REFRESH_RUNS = 15


def make_engines(count, started_ms=0):
    """Returns the engines of a pool."""
    return [
        roster.Engine(
            f"e{number}", POOL, "10.0.0.1:80", "a", 8, started_ms=started_ms
        )
        for number in range(count)
    ]


class Fleet:
    """Engines that fail shares of their runs, which ten daemons see.

    `fail_shares` has the share by engine. Runs go to random engines that are
    not avoided; each ends at once.
    """

    def __init__(self, fail_shares, seed):
        self.fail_shares = fail_shares
        self.health = enginehealth.FleetHealth()
        self.health.set_engines(make_engines(len(fail_shares)))
        self.now_s = 0.0
        self.failed = 0
        self._random = random.Random(seed)

    def run(self, count):
        """Sends requests to the engines."""
        for number in range(count):
            self.now_s += 1 / RUNS_PER_S
            if number % REFRESH_RUNS == 0:
                self.health.set_engines(make_engines(len(self.fail_shares)))
            chosen = self._random.randrange(len(self.fail_shares))
            engine = f"e{chosen}"
            if self.health.is_avoided(engine, self.now_s):
                continue
            self.health.record_probe(engine, self.now_s)
            if self._random.random() < self.fail_shares[chosen]:
                vm = f"vm{self._random.randrange(10)}"
                self.failed += 1
                self.health.record_failure(engine, vm, self.now_s)
            else:
                self.health.record_success(engine, self.now_s)


def test_engines_that_fail_part_of_their_requests_are_found():
    """Load pattern: five of 29 engines fail, their health answers are good.

    With the share of failures alone, 149 requests failed in 8 s. Each of
    these engines has to be found within some ten requests of its own.
    """
    fail_shares = [0.5] * 5 + [0.0] * 24
    for seed in range(10):
        fleet = Fleet(fail_shares, seed)
        fleet.run(29 * 40)
        in_all = fleet.failed
        fleet.run(4 * RUNS_PER_S)
        assert fleet.health.suspects == {f"e{one}" for one in range(5)}
        assert in_all < 40
        assert fleet.failed - in_all < 25


@pytest.mark.parametrize("share", [0.0, 0.02, 0.3, 0.6, 1.0])
def test_no_engine_stands_out_if_all_fail_alike(share):
    """Requests that fail everywhere must not take engines out of use."""
    for seed in range(5):
        fleet = Fleet([share] * 20, seed)
        fleet.run(400)
        counts = []
        for _ in range(40):
            fleet.run(50)
            counts.append(len(fleet.health.suspects))
        assert sum(counts) / len(counts) < 1


def test_most_engines_may_fail():
    """The few that work must then get the requests."""
    fleet = Fleet([1.0] * 25 + [0.0] * 4, 1)
    fleet.run(29 * 40)
    assert fleet.health.suspects == {f"e{one}" for one in range(25)}


def test_an_engine_that_fails_more_than_its_failing_peers_is_found():
    """One fails nine of ten runs while all others fail one of ten."""
    fleet = Fleet([0.9] + [0.1] * 19, 1)
    fleet.run(20 * 40)
    assert "e0" in fleet.health.suspects


def test_a_success_by_luck_does_not_end_the_suspicion():
    """An engine that fails half of its runs passes one probe in two."""
    health = enginehealth.FleetHealth()
    health.set_engines(make_engines(4))
    health.record_success("e0", 0.0)
    for number in range(3):
        health.record_failure("e0", f"vm{number}", 0.1)
    now_s = 0.1 + enginehealth.AVOID_S
    for _ in range(enginehealth.PARTIAL_SUCCESSES_MIN - 1):
        assert not health.is_avoided("e0", now_s)
        health.record_probe("e0", now_s)
        health.record_success("e0", now_s)
        assert health.suspects == {"e0"}
    health.record_probe("e0", now_s)
    health.record_success("e0", now_s)
    assert not health.suspects


def test_a_failed_probe_begins_a_longer_pause():
    """The successes before it no longer count."""
    health = enginehealth.FleetHealth()
    health.set_engines(make_engines(4))
    health.record_success("e0", 0.0)
    for number in range(3):
        health.record_failure("e0", f"vm{number}", 0.1)
    now_s = 0.1 + enginehealth.AVOID_S
    health.record_probe("e0", now_s)
    health.record_success("e0", now_s)
    health.record_probe("e0", now_s)
    health.record_failure("e0", "vm0", now_s)
    assert health.is_avoided("e0", now_s + 1.5 * enginehealth.AVOID_S)
    now_s += 2 * enginehealth.AVOID_S
    for _ in range(enginehealth.PARTIAL_SUCCESSES_MIN - 1):
        health.record_probe("e0", now_s)
        health.record_success("e0", now_s)
    assert health.suspects == {"e0"}


def test_it_is_tried_first_with_what_may_be_repeated():
    """Other requests are not lost with a probe, unless nothing else comes."""
    health = enginehealth.FleetHealth()
    health.set_engines(make_engines(4))
    for number in range(3):
        health.record_failure("e0", f"vm{number}", 0.0)
    now_s = enginehealth.AVOID_S
    assert health.may_try("e0", True, now_s)
    assert not health.may_try("e0", False, now_s)
    assert health.may_try("e1", False, now_s)
    now_s += enginehealth.REPEATABLE_FIRST_S
    assert health.may_try("e0", False, now_s)


def test_a_restarted_engine_has_no_history():
    """It has the same id and address; its faults may be gone."""
    health = enginehealth.FleetHealth()
    health.set_engines(make_engines(4, started_ms=1))
    for number in range(3):
        health.record_failure("e0", f"vm{number}", 0.0)
    health.set_engines(make_engines(4, started_ms=1))
    assert health.suspects == {"e0"}
    health.set_engines(make_engines(4, started_ms=2))
    assert not health.suspects
    assert health.witnesses("e0", 0.0) == []


def test_failures_long_ago_do_not_count():
    """Two failures in a row an hour apart show nothing at low load."""
    health = enginehealth.FleetHealth()
    health.set_engines(make_engines(4))
    for number in range(4):
        now_s = 3600.0 * number
        health.record_failure("e0", f"vm{number}", now_s)
        assert not health.suspects


_EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["fail", "ok", "probe", "leave", "restart"]),
        strategies.integers(0, 3),
        strategies.integers(0, 2),
        strategies.floats(0.0, 2.0),
    ),
    max_size=200,
)


@hypothesis.given(_EVENTS)
def test_the_peers_share_is_that_of_the_kept_outcomes(steps):
    """Sums that drift would let sound engines stand out, or none.

    A suspect engine is always tried again within AVOID_MAX_S and PROBE_S.
    """
    health = enginehealth.FleetHealth()
    engines = make_engines(4)
    health.set_engines(engines)
    now_s = 0.0
    for number, (step, engine, vm, pause_s) in enumerate(steps):
        now_s += pause_s
        engine_id = f"e{engine}"
        if step == "fail":
            health.record_failure(engine_id, f"vm{vm}", now_s)
        elif step == "ok":
            health.record_success(engine_id, now_s)
        elif step == "probe":
            health.record_probe(engine_id, now_s)
        elif step == "leave":
            health.remove(engine_id)
        else:
            health.set_engines(make_engines(4, started_ms=number))
        kept = [
            outcome
            for record in health._records.values()
            for outcome in record.outcomes
            if record.pool == POOL and not record.suspect
        ]
        total = health._pools[POOL]
        assert total.runs == len(kept)
        assert total.failures == sum(one.has_failed for one in kept)
        for suspect in health.suspects:
            wait_s = enginehealth.AVOID_MAX_S + enginehealth.PROBE_S
            assert not health.is_avoided(suspect, now_s + wait_s)
