"""Decides whether a request gets another attempt, and when callers retry.

Counts the attempts of one request, bounds how long a request may queue for
an engine, and computes the Retry-After times of rejected callers.
"""

import enum
import random

import msgspec

# Attempts of one request that engines refuse or that reach no engine; each
# costs a round trip while the caller waits.
UNEXECUTED_ATTEMPTS_MAX = 4
# With less time than this until the deadline (s), no further attempt is made:
# even on an idle engine, connecting, the prompt and the first event take
# longer.
REMAINING_MIN_S = 0.05
# Share of the latency objective that a request may wait for a slot; the rest
# is for the prompt and the first event on a full engine.
QUEUE_SHARE = 0.55
# The same for a caller that was rejected before, while no hub keeps an order.
RETRY_QUEUE_SHARE = 0.65
# Share of the route's timeout that such a caller may wait for a slot at the
# hub: it is past the latency objective, goes after new callers, and gets the
# slots that these leave. The share of the timeout that must be left then is
# for the answer.
RETRY_WAIT_SHARE = 0.5
RETRY_ANSWER_SHARE = 0.2
# A request with less than this share of the route's timeout left is a
# caller's retry.
FIRST_TRY_SHARE_MIN = 0.95
# Shortest Retry-After of a rejected caller, and the random time added to it
# (s): the time of one to two requests at an engine, so that callers rejected
# together do not retry together.
RETRY_AFTER_MIN_S = 0.4
RETRY_AFTER_JITTER_S = 0.9


class AttemptFailure(enum.Enum):
    """Why an attempt gave no usable response.

    UNASKED: its answer may be whole, and the engine may not be asked.
    UNRECORDED: the daemon could not record where the stream begins. PEER: a
    peer that was to relay the request did not send it. NO_MEMORY: the daemon
    has no memory free for the answer. None of them is a failure of the engine.
    """

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"
    UNASKED = "unasked"
    UNRECORDED = "unrecorded"
    PEER = "peer"
    NO_MEMORY = "no-memory"


NOT_EXECUTED = frozenset(
    (
        AttemptFailure.UNREACHABLE,
        AttemptFailure.REFUSED,
        AttemptFailure.PEER,
    )
)


class NextAction(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


class History:
    """The failed attempts of one request.

    `attempts` counts all of them, `executions` those in which an engine may
    have executed the request; `excluded` has the ids of the engines tried.
    """

    __slots__ = (
        "_executions_max",
        "_repeatable",
        "attempts",
        "excluded",
        "executions",
    )

    def __init__(self, repeatable, executions_max):
        self._repeatable = repeatable
        self._executions_max = executions_max
        self.excluded = set()
        self.executions = 0
        self.attempts = 0

    def record_failure(self, engine, failure):
        """Records an attempt that gave no usable response."""
        if failure is not AttemptFailure.PEER:
            self.excluded.add(engine)
        self.attempts += 1
        if failure not in NOT_EXECUTED:
            self.executions += 1
        if failure is AttemptFailure.NO_MEMORY:
            # Another answer would need memory too.
            self._repeatable = False

    @property
    def can_execute_again(self):
        """Whether an engine may execute the request once more."""
        if self.executions == 0:
            return True
        return self._repeatable and self.executions < self._executions_max

    @property
    def is_last_execution(self):
        """Whether the current attempt's execution is the last allowed."""
        return (
            not self._repeatable or self.executions + 1 >= self._executions_max
        )

    def next_action(self, remaining_s):
        """Returns what to do with `remaining_s` seconds until the deadline.

        REFUSE means that no engine has executed the request, FAIL that one
        may have.
        """
        final = NextAction.REFUSE if self.executions == 0 else NextAction.FAIL
        if not self.can_execute_again or remaining_s < REMAINING_MIN_S:
            return final
        if self.attempts - self.executions >= UNEXECUTED_ATTEMPTS_MAX:
            return final
        return NextAction.RETRY


class ErrorResponse(msgspec.Struct, frozen=True):
    """An error response that the daemon itself gives to a caller."""

    status: int
    reason: str
    retry_after_s: float | None = None


def is_caller_retry(remaining_s, timeout_s):
    """Whether a caller retries, judged by the time that it has left (s).

    `remaining_s` is None if the caller sent no time limit.
    """
    return (
        remaining_s is not None
        and remaining_s < FIRST_TRY_SHARE_MIN * timeout_s
    )


def time_limit_s(route, remaining_s):
    """Returns how long a request may take (s), by its route and its caller.

    `remaining_s` is None if the caller sent no time limit.
    """
    if remaining_s is None:
        return route.timeout_s
    return min(route.timeout_s, remaining_s)


def queue_wait_max_s(route, remaining_s):
    """Returns how long a request may queue for a slot (s).

    A request that would wait longer is rejected. Under sustained overload
    the queue stays at this length, so the rest of the latency objective must
    suffice for the response.
    """
    share = QUEUE_SHARE
    if is_caller_retry(remaining_s, route.timeout_s):
        share = RETRY_QUEUE_SHARE
    return share * route.first_byte_s


def hub_wait_max_s(route, remaining_s):
    """Returns how long a request may wait at the hub for a slot (s).

    A new caller is rejected if it would wait longer than queue_wait_max_s().
    """
    wait_max_s = queue_wait_max_s(route, remaining_s)
    if not is_caller_retry(remaining_s, route.timeout_s):
        return wait_max_s
    answer_s = RETRY_ANSWER_SHARE * route.timeout_s
    longest_s = min(RETRY_WAIT_SHARE * route.timeout_s, remaining_s - answer_s)
    return max(wait_max_s, longest_s)


def retry_after_s(wait_s, draw=random.random):
    """Returns the Retry-After time of a rejected caller (s)."""
    return round(wait_s + RETRY_AFTER_MIN_S + RETRY_AFTER_JITTER_S * draw(), 2)
