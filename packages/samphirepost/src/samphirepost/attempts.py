"""Decides whether a request gets another attempt, and when callers retry.

Counts the attempts of one request, bounds how long a request may queue for
an engine, and computes the Retry-After times of rejected callers.
"""

import enum
import random

import msgspec

# Attempts of one request that engines refuse or that reach no engine; each
# costs a round trip while the caller waits.
SENDS_MAX = 4
# With less time than this until the deadline (s), no further attempt is made:
# connecting, the prompt and the first event take longer on an idle engine.
LEFT_MIN_S = 0.05
# Share of the latency objective that a request may spend in an engine's
# queue; the rest is for the prompt and the first event on a full engine.
QUEUE_SHARE = 0.4
# The same for a caller that was rejected before: it has priority over new
# callers, but a longer queue would also delay every request behind it.
RETURN_QUEUE_SHARE = 0.6
# A request with less than this share of the route's timeout left is a
# caller's retry.
FRESH_SHARE = 0.95
# Shortest Retry-After of a rejected caller, and the random time added to it
# (s): the time of one to two requests at an engine, so that callers rejected
# together do not retry together.
RETRY_MIN_S = 0.4
RETRY_SPREAD_S = 0.9


class Seen(enum.Enum):
    """Why an attempt gave no usable response."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"


NOT_RUN = frozenset((Seen.UNREACHABLE, Seen.REFUSED))


class Next(enum.Enum):
    """What to do after a failed attempt."""

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


class History:
    """The failed attempts of one request.

    `sends` counts all of them, `runs` those in which an engine may have
    executed the request; `excluded` holds the ids of the engines tried.
    """

    __slots__ = ("_repeatable", "_runs_max", "excluded", "runs", "sends")

    def __init__(self, repeatable, runs_max):
        self._repeatable = repeatable
        self._runs_max = runs_max
        self.excluded = set()
        self.runs = 0
        self.sends = 0

    def note(self, engine, seen):
        """Records an attempt that gave no usable response."""
        self.excluded.add(engine)
        self.sends += 1
        if seen not in NOT_RUN:
            self.runs += 1

    @property
    def may_repeat(self):
        """Whether an engine may execute the request once more."""
        if self.runs == 0:
            return True
        return self._repeatable and self.runs < self._runs_max

    @property
    def last_run(self):
        """Whether the current attempt's execution is the last allowed."""
        return not self._repeatable or self.runs + 1 >= self._runs_max

    def next(self, left_s):
        """Returns what to do with `left_s` seconds until the deadline.

        REFUSE means that no engine has executed the request, FAIL that one
        may have.
        """
        final = Next.REFUSE if self.runs == 0 else Next.FAIL
        if not self.may_repeat or left_s < LEFT_MIN_S:
            return final
        if self.sends - self.runs >= SENDS_MAX:
            return final
        return Next.RETRY


class Refusal(msgspec.Struct, frozen=True):
    """An error response that the daemon itself gives to a caller."""

    status: int
    reason: str
    retry_after_s: float | None = None


def returning(remaining_s, timeout_s):
    """Whether a caller retries, judged by the time that it has left (s).

    `remaining_s` is None if the caller sent no time limit.
    """
    return remaining_s is not None and remaining_s < FRESH_SHARE * timeout_s


def queue_max_s(route, remaining_s):
    """Returns how long a request may queue for a slot (s).

    A request that would wait longer is rejected. Under sustained overload
    the queue stays at this length, so the rest of the latency objective must
    suffice for the response.
    """
    share = QUEUE_SHARE
    if returning(remaining_s, route.timeout_s):
        share = RETURN_QUEUE_SHARE
    return share * route.first_byte_s


def retry_after_s(wait_s, draw=random.random):
    """Returns the Retry-After time of a rejected caller (s)."""
    return round(wait_s + RETRY_MIN_S + RETRY_SPREAD_S * draw(), 2)
