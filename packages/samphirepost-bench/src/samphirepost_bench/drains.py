"""Measures how late requests still reach engines that leave.

Runs real daemons with a store and engines on loopback. Engines leave one
after the other: an entry says that its engine is draining, or is removed.
Some feeds of the store break off or stall shortly before, at one daemon or at
all, as they do on a busy machine. The figure of a leave is the time from the
store's acknowledgement to the last request that reaches the engine.
"""

import random
import threading
import time

import msgspec

from samphirepost_bench import entryfleet
from samphirepost_bench import soak

# Requests must not reach an engine later than this after the acknowledgement
# (s): `drainMs`.
DRAIN_S = 2.0
CALLERS = 8
# Time for which arrivals at an engine that leaves are watched (s).
WATCH_S = 4.0
# Longest pauses (s): from a fault of the feeds to the leave, and of a feed
# that stalls.
FAULT_BEFORE_S = 0.6
STALL_S = 1.6


class Leave(msgspec.Struct, frozen=True):
    """One engine that left: how, beside which fault, and the last request.

    `late_s` is the time from the acknowledgement to that request, 0 if none
    came after it.
    """

    way: str
    fault: str
    late_s: float


class Drains:
    """One run: callers send requests all the time while engines leave."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._rng = random.Random(f"{seed} drains")
        self._stop = threading.Event()
        self._seed = seed
        self.leaves = []

    def run(self, count):
        """Has `count` engines leave, one after the other."""
        self._fleet.wait_ready()
        threads = [
            threading.Thread(target=self._send_requests, args=(number,))
            for number in range(CALLERS)
        ]
        for thread in threads:
            thread.start()
        for _ in range(count):
            self.leaves.append(self._remove_one())
        self._stop.set()
        for thread in threads:
            thread.join()

    def _send_requests(self, caller):
        rng = random.Random(f"{self._seed} caller {caller}")
        number = 0
        while not self._stop.is_set():
            number += 1
            soak.send_request(
                rng.choice(self._fleet.daemons),
                "POST",
                "/notes/1",
                {
                    "Request-Id": f"c{caller}-{number}",
                    "Deadline-Ms": "5000",
                },
                b"prompt",
            )

    def _remove_one(self):
        engine = self._rng.choice(self._fleet.engines)
        incarnation = engine.newest_incarnation
        way = self._rng.choice(("draining", "removed"))
        fault = self._rng.choice(("none", "reset", "reset all", "stall"))
        proxies = self._disturb(fault)
        time.sleep(self._rng.uniform(0.0, FAULT_BEFORE_S))
        if way == "draining":
            left_s = engine.register("draining")
        else:
            self._fleet.store.remove_row("servers", engine.name)
            left_s = time.monotonic()
        time.sleep(STALL_S)
        for proxy in proxies:
            proxy.delay_s = 0.0
        time.sleep(WATCH_S - STALL_S)
        late_s = max(
            (one.at_s - left_s for one in list(incarnation.arrivals)),
            default=0.0,
        )
        engine.restart()
        return Leave(way, fault, max(0.0, round(late_s, 3)))

    def _disturb(self, fault):
        """Disturbs feeds of the store; returns the proxies that stall."""
        daemons = self._fleet.daemons
        if fault != "reset all":
            daemons = [self._rng.choice(daemons)]
        proxies = [daemon.store_proxy for daemon in daemons]
        if fault == "stall":
            for proxy in proxies:
                proxy.delay_s = self._rng.uniform(0.0, STALL_S)
            return proxies
        if fault != "none":
            for proxy in proxies:
                self._fleet.proxies.reset(proxy)
        return []


def run(seeds, leaves, daemons=3, engines=4, report=print):
    """Runs each seed; returns the number of leaves over DRAIN_S.

    Passes a line for each leave over it, and one a seed, to `report`.
    """
    late_count = 0
    for seed in seeds:
        with entryfleet.Fleet(daemons, engines) as fleet:
            drains = Drains(fleet, seed)
            drains.run(leaves)
        late = [one for one in drains.leaves if one.late_s > DRAIN_S]
        late_count += len(late)
        for one in late:
            report(f"  late: {one.late_s:.3f} s, {one.way}, {one.fault}")
        largest_s = max(one.late_s for one in drains.leaves)
        report(
            f"seed {seed}: {len(drains.leaves)} engines left,"
            f" {len(late)} got requests after {DRAIN_S:g} s,"
            f" the last after {largest_s:.3f} s"
        )
    return late_count
