"""A model of one queue under a jump in load, to compare orders of callers.

Callers arrive at random at a share of the capacity, and for the time of the
jump at a multiple of it. A refused caller returns once, after Retry-After.
`python -m samphirepost_bench.overloadmodel` prints the comparison.
"""

import bisect
import heapq
import itertools
import random

import msgspec

from samphirepost import attempts
from samphirepost import routing

SLOTS = 40
SERVICE_S = 0.7
# Time to the first event at an engine that starts a request at once (s).
FIRST_EVENT_S = 0.1
# Load before and after the jump, as a share of the capacity.
BASE_LOAD = 0.8
# Times (s) before and after the jump.
BEGIN_S = 5.0
AFTER_S = 8.0
# Lengths (s) of the jumps, and their loads as multiples of the capacity.
JUMPS_S = (1.0, 3.0, 9.0, 30.0)
FACTORS = (1.2, 1.5, 2.5, 5.0)
ROUTE = routing.Route("model", "h", "/", routing.Kind.IDEMPOTENT, ())


class Rule(msgspec.Struct, frozen=True):
    """An order of callers; `wait_max_s` bounds how long they may wait."""

    name: str
    is_returning_first: bool
    wait_max_s: object


RULES = (
    Rule("returning first", True, attempts.queue_wait_max_s),
    Rule("new first", False, attempts.queue_wait_max_s),
    Rule("new first, long wait", False, attempts.hub_wait_max_s),
)


class Result(msgspec.Struct):
    """What became of the callers."""

    callers: int = 0
    in_time: int = 0
    served: int = 0
    refused_twice: int = 0


class Caller(msgspec.Struct, order=True):
    """A caller that first arrived at `first_s`, in the order of the queue.

    `is_second` if the Rule puts it after others: callers that are new or that
    return. `returns` if it was refused before.
    """

    is_second: bool
    expires_s: float
    number: int
    first_s: float
    returns: bool


class Model:
    """One queue of all engines, under one Rule."""

    def __init__(self, rule, factor, jump_s, seed=1):
        self.result = Result()
        self._rule = rule
        self._rng = random.Random(seed)
        self._free = SLOTS
        self._queue, self._events = [], []
        self._number = 0
        now_s = 0.0
        while now_s < BEGIN_S + jump_s + AFTER_S:
            load = factor if 0 <= now_s - BEGIN_S < jump_s else BASE_LOAD
            now_s += self._rng.expovariate(load * SLOTS / SERVICE_S)
            self._push(now_s, self._arrive, now_s, False)
            self.result.callers += 1

    def run(self):
        """Simulates all callers; returns the Result."""
        while self._events:
            now_s, _, action, args = heapq.heappop(self._events)
            action(now_s, *args)
        return self.result

    def _push(self, at_s, action, *args):
        self._number += 1
        heapq.heappush(self._events, (at_s, self._number, action, args))

    def _wait_s(self, ahead):
        return (ahead + 1) * SERVICE_S / SLOTS

    def _arrive(self, now_s, first_s, returns):
        left_s = ROUTE.timeout_s - (now_s - first_s)
        wait_max_s = self._rule.wait_max_s(ROUTE, left_s)
        is_second = returns != self._rule.is_returning_first
        caller = Caller(
            is_second, now_s + wait_max_s, self._number, first_s, returns
        )
        place = bisect.bisect(self._queue, caller)
        if self._free and not self._queue:
            self._start(now_s, caller)
        elif self._wait_s(place) > wait_max_s:
            self._refuse(now_s, caller)
        else:
            self._queue.insert(place, caller)
            self._push(caller.expires_s, self._expire, caller)
            longest_s = self._wait_s(len(self._queue) - 1)
            if now_s + longest_s > self._queue[-1].expires_s:
                self._refuse(now_s, self._queue.pop())

    def _start(self, now_s, caller):
        self._free -= 1
        first_event_s = now_s + FIRST_EVENT_S - caller.first_s
        self.result.served += 1
        self.result.in_time += first_event_s <= ROUTE.first_byte_s
        duration_s = SERVICE_S * self._rng.uniform(0.6, 1.4)
        self._push(now_s + duration_s, self._end)

    def _end(self, now_s):
        self._free += 1
        if self._queue:
            self._start(now_s, self._queue.pop(0))

    def _expire(self, now_s, caller):
        if caller in self._queue:
            self._queue.remove(caller)
            self._refuse(now_s, caller)

    def _refuse(self, now_s, caller):
        wait_s = self._wait_s(len(self._queue))
        at_s = now_s + attempts.retry_after_s(wait_s, self._rng.random)
        left_s = ROUTE.timeout_s - (at_s - caller.first_s)
        if caller.returns or left_s < SERVICE_S:
            self.result.refused_twice += 1
        else:
            self._push(at_s, self._arrive, caller.first_s, True)


def main():
    """Prints the Result of each rule for each jump."""
    for factor, jump_s, rule in itertools.product(FACTORS, JUMPS_S, RULES):
        print(factor, jump_s, rule.name, Model(rule, factor, jump_s).run())


if __name__ == "__main__":
    main()
