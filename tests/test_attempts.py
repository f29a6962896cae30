"""Tests how often a request is attempted, and which error is returned."""

import hypothesis
from hypothesis import strategies

from samphirepost import attempts

_failure = strategies.sampled_from(list(attempts.AttemptFailure))


def record_attempts(repeatable, executions_max, failures, remaining_s=1.0):
    """Returns the history and the last decision after failed attempts."""
    history = attempts.History(repeatable, executions_max)
    decision = attempts.NextAction.RETRY
    for number, failure in enumerate(failures):
        history.record_failure(f"e{number}", failure)
        decision = history.next_action(remaining_s)
        if decision is not attempts.NextAction.RETRY:
            break
    return history, decision


@hypothesis.given(
    strategies.booleans(),
    strategies.integers(1, 4),
    strategies.lists(_failure),
)
def test_a_request_runs_no_more_often_than_allowed(repeatable, most, failures):
    """At most once if it can't be repeated, else up to the route's limit."""
    history, _ = record_attempts(repeatable, most, failures)
    assert history.executions <= (most if repeatable else 1)
    assert (
        history.attempts - history.executions
        <= attempts.UNEXECUTED_ATTEMPTS_MAX
    )


@hypothesis.given(
    strategies.booleans(),
    strategies.integers(1, 4),
    strategies.lists(_failure),
)
def test_a_refusal_is_only_told_of_what_never_ran(repeatable, most, failures):
    """REFUSE promises that no engine has executed the request."""
    history, decision = record_attempts(repeatable, most, failures)
    if decision is attempts.NextAction.REFUSE:
        assert history.executions == 0
    if decision is attempts.NextAction.FAIL:
        assert history.executions > 0


def test_a_reset_after_the_send_ends_what_cannot_be_repeated():
    """Without a connection nothing ran; after a reset it may have run."""
    _, decision = record_attempts(
        False, 3, [attempts.AttemptFailure.UNREACHABLE]
    )
    assert decision is attempts.NextAction.RETRY
    _, decision = record_attempts(False, 3, [attempts.AttemptFailure.BROKEN])
    assert decision is attempts.NextAction.FAIL


def test_no_attempt_follows_without_time():
    """Shortly before the deadline the request is refused at once."""
    _, decision = record_attempts(
        True, 3, [attempts.AttemptFailure.REFUSED], remaining_s=0.01
    )
    assert decision is attempts.NextAction.REFUSE
