"""Tests the choice of targets, breakers, retry budgets and batch limits."""

import collections

import hypothesis
from hypothesis import strategies as st

from samphirepost import admission
from samphirepost import breaker
from samphirepost import retries
from samphirepost import tables
from samphirepost import targetchoice
from samphirepost import targetmessages

NAMES = [f"engine-{n}" for n in range(5)]


def target_states():
    return {name: targetchoice.TargetState() for name in NAMES}


@hypothesis.given(st.lists(st.integers(0, 40), min_size=5, max_size=5))
def test_affinity_never_goes_past_the_bound(loads):
    """A frequent prefix must not overload the target that it maps to."""
    states = target_states()
    for name, load in zip(NAMES, loads, strict=True):
        states[name].online = load
    usable = targetchoice.candidates(NAMES, states, (), 0.0)
    chosen = targetchoice.choose_target(usable, "prefix")
    mean = sum(loads) / len(loads)
    bound = (
        targetchoice.AFFINITY_BOUND_FACTOR * mean
        + targetchoice.AFFINITY_SLACK_REQUESTS
    )
    assert states[chosen].online <= bound


def test_same_prefix_goes_to_the_same_target_while_there_is_room():
    """Else the target's prefix cache is not used."""
    states = target_states()
    usable = targetchoice.candidates(NAMES, states, (), 0.0)
    chosen = {targetchoice.choose_target(usable, "prefix") for _ in range(10)}
    assert len(chosen) == 1


def test_prefixes_spread_over_the_targets():
    """A skewed hash would send most prefixes to few targets."""
    usable = targetchoice.candidates(NAMES, target_states(), (), 0.0)
    counts = collections.Counter(
        targetchoice.choose_target(usable, f"prefix-{n}") for n in range(1000)
    )
    assert min(counts.values()) > 120


def test_leaving_silent_and_broken_targets_get_nothing():
    """Leaving, without reports, with an open breaker, or excluded."""
    states = target_states()
    states["engine-0"].record_report(
        targetmessages.LoadReport("engine-0", leaving=True), 0
    )
    states["engine-1"].reports_missed = targetchoice.REPORTS_MISSED_MAX
    for number in range(breaker.FAILURES_TO_OPEN):
        states["engine-2"].breaker.record_failure(f"work-{number}", 0.0)
    usable = targetchoice.candidates(NAMES, states, ("engine-3",), 0.1)
    assert [c.id for c in usable] == ["engine-4"]


def test_old_report_counts_for_less():
    """Reported requests of other daemons may have finished since."""
    state = targetchoice.TargetState()
    state.record_report(targetmessages.LoadReport("engine-0", running=16), 0.0)
    assert state.load(0.0) == 16
    assert state.load(4 * targetchoice.REPORT_HALF_LIFE_S) == 1
    state.online = 3
    assert state.load(1e6) == 3


def test_open_breaker_lets_one_probe_through():
    """A target that still fails must not get all requests at once."""
    circuit = breaker.Breaker()
    for number in range(breaker.FAILURES_TO_OPEN):
        circuit.record_failure(f"work-{number}", 0.0)
    assert not circuit.allows(0.1)
    later_s = breaker.OPEN_S
    assert circuit.allows(later_s)
    circuit.record_sent(later_s)
    assert not circuit.allows(later_s)
    circuit.record_success()
    assert circuit.allows(later_s)


def test_one_bad_item_does_not_close_a_target():
    """One item that failed on every attempt opened three engines' breakers.

    These engines then got no online requests.
    """
    circuit = breaker.Breaker()
    for _ in range(10):
        circuit.record_failure("work", 0.0)
    assert circuit.allows(0.1)


@hypothesis.given(
    st.integers(0, 2000),
    st.sampled_from([0.05, 0.08, 0.3]),
    st.floats(0.0, 2.0),
)
def test_retries_stay_within_the_budget(requests, share, gap_s):
    """Every request fails and requests four retries."""
    budget = retries.RetryBudget(share, 0.0)
    sent = 0
    for number in range(requests):
        budget.earn(number * gap_s)
        sent += sum(budget.spend(number * gap_s) for _ in range(4))
    refill = requests * gap_s * retries.CREDIT_RETRIES_PER_S
    bound = requests * share + retries.CREDIT_RETRIES_MAX + refill
    assert sent <= bound + 1e-6


def test_retry_storm_adds_less_than_a_tenth_to_the_load():
    """Every request fails, at 100 requests a second for one minute."""
    budget = retries.RetryBudget(tables.Route("p", ()).retry_budget, 0.0)
    sent = 0
    for number in range(6000):
        budget.earn(number / 100)
        sent += 1 + sum(budget.spend(number / 100) for _ in range(3))
    assert sent <= 1.1 * 6000


@hypothesis.given(
    st.sampled_from([1.0, 1.05, 1.5, 3.0]),
    st.lists(st.integers(0, 200), min_size=1, max_size=60),
    st.floats(1.0, 60.0),
)
def test_batch_never_gets_more_than_its_bound(headroom, bursts, gap_ms):
    """The limit stays within the pool's maximum for any measurements."""
    limit = admission.BatchLimit(headroom, 64)
    for step, online in enumerate(bursts):
        now_s = step * admission.ADJUST_INTERVAL_S
        limit.record_online(online, now_s)
        for _ in range(admission.SAMPLES_MIN):
            limit.record_token_interval(gap_ms)
        limit.adjust(8, now_s)
        assert 0 <= limit.current_limit(now_s) <= 64


@hypothesis.given(
    st.floats(4.0, 40.0), st.floats(0.003, 0.03), st.integers(0, 30)
)
def test_limit_converges_to_the_slowdown_that_the_pool_allows(
    base_ms, share, online
):
    """Each sequence lengthens the step by a share of its base time."""
    headroom = 1.3
    limit = admission.BatchLimit(headroom, 200)
    slope_ms = base_ms * share
    for step in range(400):
        now_s = step * admission.ADJUST_INTERVAL_S
        limit.record_online(online, now_s)
        batch = limit.current_limit(now_s)
        for _ in range(admission.SAMPLES_MIN):
            limit.record_token_interval(base_ms + slope_ms * (batch + online))
        limit.adjust(batch, now_s)
    baseline_ms = base_ms + slope_ms * online
    actual_ms = base_ms + slope_ms * (limit.current_limit(now_s) + online)
    assert actual_ms <= baseline_ms * headroom * admission.TOLERANCE_FACTOR
    assert limit.current_limit(now_s) >= 1 or online


def test_burst_halves_the_batch_at_once():
    """The limit is halved before any new token interval is recorded."""
    limit = admission.BatchLimit(2.0, 64)
    for step in range(40):
        now_s = step * admission.ADJUST_INTERVAL_S
        limit.record_online(1, now_s)
        for _ in range(admission.SAMPLES_MIN):
            limit.record_token_interval(9.0)
        limit.adjust(8, now_s)
    before = limit.current_limit(now_s)
    limit.record_online(40, now_s)
    assert limit.current_limit(now_s) <= before / 2 + 1
