"""What follows an attempt at an engine: another one, or which answer."""

import enum
import random

import msgspec

# Engines that only refuse or cannot be reached are tried up to this many
# times; each costs a round trip, and a caller waits meanwhile.
SENDS_MAX = 4
# Time below which another attempt cannot end in time (s): a connection, the
# prompt and the first event take longer on an idle engine.
LEFT_MIN_S = 0.05
# Share of the latency objective that a request may wait in an engine's
# queue; the rest is for the prompt and the first event on a full engine.
QUEUE_SHARE = 0.4
# The same for a caller that was refused before: it goes before new ones, but
# a longer queue would make the answers of all behind it late as well.
RETURN_QUEUE_SHARE = 0.6
# A caller with less than this share of the route's time has waited before.
FRESH_SHARE = 0.95
# Shortest time after which a refused caller is told to return, and by how
# much the times are spread (s): the time of one to two requests at an engine,
# so that those refused together do not come back together.
RETRY_MIN_S = 0.4
RETRY_SPREAD_S = 0.9


class Seen(enum.Enum):
    """How an attempt ended without a usable answer."""

    UNREACHABLE = "unreachable"
    REFUSED = "refused"
    BROKEN = "broken"
    SILENT = "silent"
    FAILED = "failed"


NOT_RUN = frozenset((Seen.UNREACHABLE, Seen.REFUSED))


class Next(enum.Enum):
    """What to do after an attempt."""

    RETRY = "retry"
    REFUSE = "refuse"
    FAIL = "fail"


class History:
    """The attempts made for one request."""

    __slots__ = ("_repeatable", "_runs_max", "excluded", "runs", "sends")

    def __init__(self, repeatable, runs_max):
        self._repeatable = repeatable
        self._runs_max = runs_max
        self.excluded = set()
        self.runs = 0
        self.sends = 0

    def note(self, engine, seen):
        """Notes an attempt that gave no usable answer."""
        self.excluded.add(engine)
        self.sends += 1
        if seen not in NOT_RUN:
            self.runs += 1

    @property
    def may_repeat(self):
        """Whether one more run is allowed after what may have run."""
        if self.runs == 0:
            return True
        return self._repeatable and self.runs < self._runs_max

    @property
    def last_run(self):
        """Whether the run under way is the last that is allowed."""
        return not self._repeatable or self.runs + 1 >= self._runs_max

    def next(self, left_s):
        """Returns what to do, with `left_s` until the deadline."""
        final = Next.REFUSE if self.runs == 0 else Next.FAIL
        if not self.may_repeat or left_s < LEFT_MIN_S:
            return final
        if self.sends - self.runs >= SENDS_MAX:
            return final
        return Next.RETRY


class Refusal(msgspec.Struct, frozen=True):
    """An answer of the daemon's own; `run` if the request may have run."""

    status: int
    reason: str
    retry_after_s: float | None = None


def returning(patience_s, timeout_s):
    """Whether a caller has waited before, by the time that it has left."""
    return patience_s is not None and patience_s < FRESH_SHARE * timeout_s


def queue_max_s(route, patience_s):
    """Returns how long a request may wait for a slot; past it, it is refused.

    Under lasting overload the queue stays at this length, so it must leave
    room for an answer in time.
    """
    share = QUEUE_SHARE
    if returning(patience_s, route.timeout_s):
        share = RETURN_QUEUE_SHARE
    return share * route.first_byte_s


def retry_after_s(wait_s, draw=random.random):
    """Returns when a refused caller does best to come again (s)."""
    return round(wait_s + RETRY_MIN_S + RETRY_SPREAD_S * draw(), 2)
