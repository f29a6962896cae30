"""Tests the quotas of organisations, at the hub and without one.

The load: organisations below their rate from one VM, and hot ones that send
several times theirs, beside hubs that are lost, split or new.
"""

import bisect
import random

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import allocator
from samphirepost import organisations
from samphirepost import quotas
from samphirepost import roster
from samphirepost import routing
from samphirepost import slotmessages
from samphirepost_daemon.entry import quotacharge

BOUNDS = quotas.Bounds()
RATES = strategies.floats(0.5, 200.0)


def organisation(rate=10.0, burst=10.0, name="a"):
    """Returns an organisation with a quota."""
    return organisations.Organisation(name, None, rate, burst)


def hub(*known, now_s=0.0, bounds=BOUNDS):
    """Returns the HubQuotas of a hub that hears all members."""
    found = quotas.HubQuotas(bounds)
    found.reset(now_s)
    found.set_directory(
        organisations.Directory({one.name: one for one in known}), now_s
    )
    return found


def send(hub_quotas, name, now_s):
    """Charges a request if the quota allows it; returns whether it does."""
    if hub_quotas.wait_s(name, now_s):
        return False
    hub_quotas.charge(name, now_s)
    return True


def most_in_window(sent_s, window_s=BOUNDS.window_s):
    """Returns the most of these instants in a sliding window."""
    sent_s = sorted(sent_s)
    return max(
        (
            bisect.bisect_right(sent_s, first_s + window_s) - index
            for index, first_s in enumerate(sent_s)
        ),
        default=0,
    )


def bound(one):
    """Returns the most requests of an organisation in a window."""
    return BOUNDS.expected(one) + BOUNDS.excess(one)


@hypothesis.given(
    RATES,
    strategies.floats(0.0, 200.0),
    strategies.lists(strategies.floats(0.0, 0.3), max_size=400),
)
def test_a_hub_keeps_the_quota_in_each_window(rate, burst, gaps):
    """A hot organisation sends at any times."""
    one = organisation(rate, burst)
    found = hub(one)
    sent_s = []
    now_s = 0.0
    for gap_s in gaps:
        now_s += gap_s
        for _ in range(20):
            if send(found, "a", now_s):
                sent_s.append(now_s)
    assert most_in_window(sent_s) <= bound(one)


@hypothesis.given(
    RATES,
    strategies.floats(1.0, 200.0),
    strategies.lists(
        strategies.tuples(
            strategies.floats(0.0, 1.0), strategies.floats(0.0, 0.1)
        ),
        max_size=300,
    ),
)
def test_what_the_quota_allows_is_never_refused(rate, burst, gaps):
    """Grants come later than requests: up to 0.1 s, and not evenly."""
    one = organisation(rate, burst)
    found = hub(one)
    allowed = quotas.Bucket(rate, burst, burst, 0.0)
    granted_s = []
    now_s = 0.0
    for gap_s, late_s in gaps:
        now_s += gap_s
        if not allowed.wait_s(now_s):
            allowed.take(now_s)
            granted_s.append(now_s + late_s)
    assert all(send(found, "a", at_s) for at_s in sorted(granted_s))


@hypothesis.given(RATES, strategies.floats(0, 200), strategies.floats(0, 1))
def test_two_hubs_keep_the_quota_together(rate, burst, cut_s):
    """A network partition: each hears a part of the members."""
    one = organisation(rate, burst)
    for heard in range(0, 21):
        first, second = hub(one), hub(one, now_s=cut_s)
        sent_s = []
        now_s = 0.0
        while now_s < 6.0:
            if now_s >= cut_s:
                first.set_members(heard, 20, now_s)
                second.set_members(20 - heard, 20, now_s)
                for _ in range(200):
                    if not send(second, "a", now_s):
                        break
                    sent_s.append(now_s)
            for _ in range(400):
                if not send(first, "a", now_s):
                    break
                sent_s.append(now_s)
            now_s += 0.5
        assert most_in_window(sent_s) <= bound(one)


@hypothesis.given(RATES, strategies.floats(0, 200), strategies.integers(0, 9))
def test_a_new_hub_and_the_one_before_keep_the_quota(rate, burst, change):
    """The hub is lost under a hot organisation, whose daemons tell nothing."""
    one = organisation(rate, burst)
    current = hub(one)
    sent_s = []
    for step in range(24):
        now_s = step * 0.5
        if step == change:
            current = hub(one, now_s=now_s)
        for _ in range(500):
            if not send(current, "a", now_s):
                break
            sent_s.append(now_s)
    assert most_in_window(sent_s) <= bound(one)


def test_a_new_hub_that_is_told_everything_refuses_nothing():
    """What daemons sent lately leaves a part of the burst."""
    one = organisation(10.0, 100.0)
    found = hub(one)
    found.apply_sent("vm-1", {"a": 30})
    found.apply_sent("vm-2", {})
    granted = sum(send(found, "a", 0.0) for _ in range(200))
    assert granted >= 100
    careful = hub(one)
    careful.apply_sent("vm-1", {"a": 30})
    careful.apply_sent("vm-2", None)
    assert sum(send(careful, "a", 0.0) for _ in range(200)) < 50


def test_an_organisation_that_sends_later_has_its_whole_burst():
    """A careful hub would refuse its first burst for nothing."""
    one = organisation(10.0, 200.0)
    found = hub(one)
    assert sum(send(found, "a", 60.0) for _ in range(300)) >= 200


def test_a_lowered_quota_holds_at_once():
    """The level that the higher one left would still be spent."""
    found = hub(organisation(100.0, 100.0))
    assert send(found, "a", 0.0)
    lower = organisation(1.0, 1.0)
    found.set_directory(organisations.Directory({"a": lower}), 0.1)
    granted = sum(send(found, "a", 0.1) for _ in range(200))
    assert granted <= 1 + BOUNDS.excess(lower)


def test_an_organisation_without_a_quota_is_never_refused():
    """A rate of 0 means no limit, as does one that is not declared."""
    found = hub(organisation(0.0, 0.0))
    for name in ("a", "other"):
        assert all(send(found, name, 0.0) for _ in range(1000))


def test_a_refund_gives_one_request_back():
    """It was charged, and no engine ran it."""
    found = hub(organisation(1.0, 0.0))
    while send(found, "a", 0.0):
        pass
    found.refund("a")
    assert send(found, "a", 0.0)
    assert not send(found, "a", 0.0)


def test_hot_organisations_are_told_to_the_daemons():
    """Without a hub, daemons are careful with them only."""
    found = hub(organisation(), organisation(name="b"))
    while send(found, "a", 0.0):
        pass
    send(found, "b", 0.0)
    assert found.constrained(0.0) == ("a",)


class TestWithoutHub:
    """Tests daemons that charge by themselves."""

    def daemons(self, count, seed=1):
        """Returns the LocalQuotas of daemons that started long ago."""
        rng = random.Random(seed)
        return [
            quotas.LocalQuotas(BOUNDS, -100.0, rng.random)
            for _ in range(count)
        ]

    @pytest.mark.parametrize("rate", [2.0, 20.0, 100.0])
    def test_a_hot_organisation_stays_at_its_quota_in_sum(self, rate):
        """It was at its quota before the hub was lost."""
        one = organisation(rate, rate)
        daemons = self.daemons(75)
        rng = random.Random(2)
        sent_s = []
        for index in range(int(rate * BOUNDS.window_s)):
            at_s = index / rate
            rng.choice(daemons).record_sent("a", at_s)
            sent_s.append(at_s)
        for daemon in daemons:
            daemon.announce_constrained(("a",))
        now_s = BOUNDS.window_s
        while now_s < 2 * BOUNDS.window_s:
            now_s += rng.expovariate(6 * rate)
            if not rng.choice(daemons).charge(one, 75, now_s):
                sent_s.append(now_s)
        assert most_in_window(sent_s) <= bound(one)

    def test_others_are_not_refused_while_a_new_hub_is_found(self):
        """Their requests come to any daemon, one here and one there."""
        one = organisation(4.0, 4.0)
        daemons = self.daemons(75)
        rng = random.Random(3)
        refused = sum(
            bool(rng.choice(daemons).charge(one, 75, index / 3.0))
            for index in range(5)
        )
        assert refused == 0

    def test_a_daemon_that_just_started_knows_nothing_of_what_was_sent(self):
        """A new hub must not take that for nothing sent."""
        found = quotas.LocalQuotas(BOUNDS, 0.0)
        assert found.sent(1.0) is None
        assert found.sent(BOUNDS.window_s + 0.1) == {}

    def test_what_was_sent_is_counted_by_window(self):
        """Older requests no longer count."""
        found = self.daemons(1)[0]
        found.record_sent("a", 0.0)
        found.record_sent("a", 4.0)
        found.record_sent("b", 4.0)
        assert found.sent(4.5) == {"a": 2, "b": 1}
        assert found.sent(6.0) == {"a": 1, "b": 1}
        assert found.sent(20.0) == {}


class TestAllocator:
    """Tests the charge of a grant."""

    def make(self, rate=1.0, burst=0.0):
        """Returns an Allocator with one engine and an organisation."""
        found = allocator.Allocator("hub")
        report = slotmessages.Report("vm-1", 1)
        found.apply_report(report, ("h", 1), 0.0)
        engine = roster.Engine("e0", "pool", "a:1", "a", 1000, False)
        found.set_engines("pool", [engine], 0.0)
        directory = organisations.Directory({"a": organisation(rate, burst)})
        found.quotas.set_directory(directory, 0.0)
        return found

    def ask(self, found, run_id, **fields):
        """Returns the answer to a request for a slot."""
        fields.setdefault("organisation", "a")
        req = slotmessages.SlotRequest(
            "vm-1", run_id, "pool", "a", 0, 0.1, **fields
        )
        ((_, message),) = found.request_slot(req, ("h", 1), 0.0)
        return message

    def exhaust(self, found):
        """Uses the quota up; returns the ids of the runs."""
        for run_id in range(100, 200):
            if not isinstance(self.ask(found, run_id), slotmessages.Grant):
                return list(range(100, run_id))
        raise AssertionError("no refusal")

    def test_a_request_over_its_quota_is_denied_at_once(self):
        """It must not wait in the queue, nor take a slot."""
        found = self.make()
        self.exhaust(found)
        denial = self.ask(found, 1)
        assert isinstance(denial, slotmessages.Denial)
        assert denial.over_quota
        assert 0 < denial.wait_s <= 1.0
        assert found.quotas.refused == 2

    def test_a_further_attempt_is_not_charged_again(self):
        """A request counts once, whatever its attempts."""
        found = self.make()
        self.exhaust(found)
        grant = self.ask(found, 1, is_charged=True)
        assert isinstance(grant, slotmessages.Grant)

    def test_other_organisations_have_their_own_quota(self):
        """A hot one costs them nothing."""
        found = self.make()
        self.exhaust(found)
        grant = self.ask(found, 1, organisation="b")
        assert isinstance(grant, slotmessages.Grant)

    def test_a_grant_that_is_not_used_is_not_charged(self):
        """Its request went elsewhere, where it was charged."""
        found = self.make()
        run_ids = self.exhaust(found)
        end = slotmessages.RunEnd(
            run_ids[0], slotmessages.Outcome.UNKNOWN, is_unused=True
        )
        report = slotmessages.Report("vm-1", 2, ended=(end,))
        found.apply_report(report, ("h", 1), 0.0)
        assert isinstance(self.ask(found, 1), slotmessages.Grant)
        assert self.ask(found, 2).over_quota

    def test_a_request_that_no_engine_ran_is_refunded(self):
        """Its daemon tells so when it ends."""
        found = self.make()
        self.exhaust(found)
        report = slotmessages.Report("vm-1", 2, refunds=("a",))
        found.apply_report(report, ("h", 1), 0.0)
        assert isinstance(self.ask(found, 1), slotmessages.Grant)
        found.apply_report(report, ("h", 1), 0.0)
        assert self.ask(found, 2).over_quota

    def test_runs_without_a_grant_are_charged(self):
        """Their daemon had no hub when it sent them."""
        found = self.make(rate=1.0, burst=100.0)
        before = sum(
            isinstance(self.ask(found, run_id), slotmessages.Grant)
            for run_id in range(100, 105)
        )
        assert before == 5
        runs = tuple(
            slotmessages.Run(run_id, "e0", organisation="a")
            for run_id in range(1000)
        )
        report = slotmessages.Report("vm-1", 2, runs)
        found.apply_report(report, ("h", 1), 0.0)
        assert self.ask(found, 5000).over_quota


class TestRunsThatTheHubDidNotGrant:
    """Tests what reports of runs and lost grants cost an organisation."""

    def test_a_report_of_a_run_does_not_end_what_a_new_hub_is_told(self):
        """Else it would grant nearly a second window's worth."""
        one = organisation(10.0, 100.0)
        found = hub(one)
        found.apply_sent("a", {"a": 1})
        found.charge_reported("a", 0.0)
        found.apply_sent("b", {"a": 149})
        granted = sum(send(found, "a", 0.0) for _ in range(300))
        assert granted <= BOUNDS.excess(one)

    def test_a_lost_grant_is_refunded(self):
        """Its daemon sends the request without it, and that is charged."""
        make = TestAllocator()
        found = make.make(rate=0.001, burst=0.0)
        run_ids = make.exhaust(found)
        report = slotmessages.Report("vm-1", 2)
        found.apply_report(report, ("h", 1), 1.0)
        assert run_ids
        assert isinstance(make.ask(found, 1), slotmessages.Grant)

    def test_a_run_that_the_hub_charged_is_reported_without_a_name(self):
        """A further attempt that its daemon chose would be charged twice."""
        charge = quotacharge.QuotaCharge(Parts(), "a")
        assert charge.apply_grant() is None
        assert charge.reported_name == ""
        charge = quotacharge.QuotaCharge(Parts(), "a")
        assert charge.make_locally() is None
        assert charge.reported_name == "a"

    def test_what_was_charged_without_the_hub_is_not_refunded_there(self):
        """The hub never charged it: a refund would be a token for nothing."""
        parts = Parts()
        charge = quotacharge.QuotaCharge(parts, "a")
        assert charge.make_locally() is None
        charge.settle(0, was_sent=False)
        assert parts.refunds == []
        charge = quotacharge.QuotaCharge(parts, "a")
        assert charge.apply_grant() is None
        charge.settle(0, was_sent=False)
        assert parts.refunds == ["a"]


class Parts:
    """The shared parts that a QuotaCharge uses, as one fake."""

    hub_keeps_quotas = True
    daemon_count = 1
    hub_vm = "hub"
    metrics = None

    def __init__(self):
        self.refunds = []
        self.refund = self.refunds.append
        self.slots = self.state = self
        self.quotas = quotas.LocalQuotas(BOUNDS, 0.0)
        directory = organisations.Directory({"a": organisation()})
        self.table = routing.Table(1, (), {}, directory=directory)
