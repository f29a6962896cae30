"""A model of one pool that compares rules for the reserve of online slots.

Deterministic: the same rule gives the same figures. Online requests take a
free slot or that of an item; items fill what the rule leaves free.
"""

import collections
import math
import random

from samphirepost import demandpeaks

SLOTS = 64
TICK_S = 0.01
TICKS = 12_000
# Range of the time (s) that an item needs, and that of the time of an online
# request as a share of the mean.
ITEM_S = (0.5, 5.0)
ONLINE_SHARES = (0.6, 1.4)
# A stopped item leaves its slot after this time (s): its daemon is told, and
# closes the connection.
STOP_S = 0.05
# Slot time (s) that each start of an item costs, and that a resumed item needs
# to read its prompt and text again.
START_S = 0.02
REREAD_S = (0.005, 0.02)
# Time constant (s) with which the rule "peak use" forgets a peak.
USE_MEMORY_S = 10.0
# Period of the loads "square" and "sine" (s).
PERIOD_S = 7.0
# Mean slots that online requests want.
LOW = 10.5
HIGH = 52.5


def square(now_s):
    """Steps of 3.5 s, five to one."""
    return HIGH if now_s % PERIOD_S >= PERIOD_S / 2 else LOW


def sine(now_s):
    """The same mean and extremes without steps."""
    swing = math.sin(2 * math.pi * now_s / PERIOD_S)
    return (HIGH + LOW + (HIGH - LOW) * swing) / 2


def steady(_now_s):
    """A Poisson stream."""
    return (HIGH + LOW) / 2


def jump(now_s):
    """One jump at half of the time."""
    return HIGH if now_s >= TICKS * TICK_S / 2 else LOW


LOADS = (square, sine, steady, jump)


class Rule:
    """A fixed number of standard deviations of the online requests."""

    def __init__(self, deviations):
        self._deviations = deviations

    def record(self, online, now_s):
        """Records the number of online requests that run."""

    def reserved(self, online, _now_s):
        """Returns the slots that items leave free."""
        return self._deviations * math.sqrt(online)


class _PeakUse(Rule):
    """Up to the recent peak of online use, which is slowly forgotten."""

    def __init__(self):
        self._peak = 0.0

    def record(self, online, now_s):
        decay = math.exp(-TICK_S / USE_MEMORY_S)
        self._peak = max(online, self._peak * decay)

    def reserved(self, online, _now_s):
        return max(0.0, self._peak - online)


class _RecentRise(Rule):
    """The rule in use, samphirepost.demandpeaks."""

    def __init__(self):
        self._peaks = demandpeaks.DemandPeaks()
        self._online = 0

    def record(self, online, now_s):
        for _ in range(self._online - online):
            self._peaks.record_end()
        for _ in range(online - self._online):
            self._peaks.record_start(online, now_s)
        self._online = online

    def reserved(self, online, now_s):
        return self._peaks.reserved(online, now_s)


RULES = {
    "none": lambda: Rule(0.0),
    "half a deviation": lambda: Rule(0.5),
    "one deviation": lambda: Rule(1.0),
    "peak use": _PeakUse,
    "recent rise": _RecentRise,
}


class Pool:
    """The slots: online requests and items by the instant they end.

    `requests` counts those in `online`, `waited` those that did not get a slot
    at once; `done` and `stopped` count items.
    """

    requests = waited = done = stopped = 0
    idle_share = 0.0

    def __init__(self, seed, online_s):
        self._online_s = online_s
        self._draw = random.Random(seed)
        self.online = []
        self._items = []
        self._waiting = collections.deque()
        self._stopped = []

    @property
    def free(self):
        """The number of free slots."""
        return SLOTS - len(self.online) - len(self._items)

    def end_runs(self, now_s):
        """Removes what has ended."""
        self.online = [end_s for end_s in self.online if end_s > now_s]
        self.done += sum(end_s <= now_s for end_s in self._items)
        self._items = [end_s for end_s in self._items if end_s > now_s]

    def serve_online(self, now_s, arrivals):
        """Starts online requests: those that waited, then `arrivals`."""
        self.requests += arrivals
        self._waiting.extend([now_s] * arrivals)
        while self._waiting and (self.free or self._items):
            delay_s = 0.0 if self.free else self._stop_item(now_s)
            self.waited += delay_s > 0 or self._waiting[0] < now_s
            self._waiting.popleft()
            length_s = self._online_s * self._draw.uniform(*ONLINE_SHARES)
            self.online.append(now_s + delay_s + length_s)

    def _stop_item(self, now_s):
        self._items.sort()
        end_s = self._items.pop()
        self._stopped.append(end_s - now_s + self._draw.uniform(*REREAD_S))
        self.stopped += 1
        return STOP_S

    def start_items(self, now_s, budget):
        """Starts as many items as the budget allows."""
        for _ in range(min(math.ceil(budget), self.free)):
            length_s = self._draw.uniform(*ITEM_S)
            left_s = self._stopped.pop() if self._stopped else length_s
            self._items.append(now_s + START_S + left_s)


def run(make_rule, load, seed=1, online_s=0.7):
    """Returns the Pool after a rule was applied to a load.

    `make_rule()` returns a Rule; online requests hold a slot for `online_s`.
    """
    rule, pool, next_s = make_rule(), Pool(seed, online_s), 0.0
    draw = random.Random(seed + 1)
    for tick in range(TICKS):
        now_s = tick * TICK_S
        pool.end_runs(now_s)
        arrivals = 0
        while next_s <= now_s:
            arrivals += 1
            next_s += draw.expovariate(load(next_s) / online_s)
        pool.serve_online(now_s, arrivals)
        rule.record(len(pool.online), now_s)
        reserved = rule.reserved(len(pool.online), now_s)
        pool.start_items(now_s, pool.free - reserved)
        pool.idle_share += pool.free / SLOTS / TICKS
    return pool


def print_table(seed=1, online_s=0.7):
    """Prints the outcomes of all rules under all loads."""
    print("load    rule              waited   done  stopped  idle")
    for load in LOADS:
        for name, make_rule in RULES.items():
            pool = run(make_rule, load, seed, online_s)
            print(
                f"{load.__name__:7} {name:16}"
                f" {pool.waited / pool.requests:7.1%} {pool.done:6}"
                f" {pool.stopped:8} {pool.idle_share:6.1%}"
            )
