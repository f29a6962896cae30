"""How often a request is sent, and what its caller is told."""

import hypothesis
from hypothesis import strategies

from samphirepost import attempts

_seen = strategies.sampled_from(list(attempts.Seen))


def run(repeatable, runs_max, ends, left_s=1.0):
    """Returns the history and the answer after the ends of attempts."""
    history = attempts.History(repeatable, runs_max)
    after = attempts.Next.RETRY
    for number, seen in enumerate(ends):
        history.note(f"e{number}", seen)
        after = history.next(left_s)
        if after is not attempts.Next.RETRY:
            break
    return history, after


@hypothesis.given(
    strategies.booleans(), strategies.integers(1, 4), strategies.lists(_seen)
)
def test_a_request_runs_no_more_often_than_allowed(repeatable, most, ends):
    """At most once if it can't be repeated, else up to the route's limit."""
    history, _ = run(repeatable, most, ends)
    assert history.runs <= (most if repeatable else 1)
    assert history.sends - history.runs <= attempts.SENDS_MAX


@hypothesis.given(
    strategies.booleans(), strategies.integers(1, 4), strategies.lists(_seen)
)
def test_a_refusal_is_only_told_of_what_never_ran(repeatable, most, ends):
    """After a run that may have begun, the answer promises nothing."""
    history, after = run(repeatable, most, ends)
    if after is attempts.Next.REFUSE:
        assert history.runs == 0
    if after is attempts.Next.FAIL:
        assert history.runs > 0


def test_a_reset_after_the_send_ends_what_cannot_be_repeated():
    """A connection that never opened is certain; a reset is not."""
    _, after = run(False, 3, [attempts.Seen.UNREACHABLE])
    assert after is attempts.Next.RETRY
    _, after = run(False, 3, [attempts.Seen.BROKEN])
    assert after is attempts.Next.FAIL


def test_no_attempt_follows_without_time():
    """What is given up gets its answer at once."""
    _, after = run(True, 3, [attempts.Seen.REFUSED], left_s=0.01)
    assert after is attempts.Next.REFUSE
