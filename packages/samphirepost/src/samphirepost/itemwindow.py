"""Chooses the batch items for which a daemon asks for slots.

Items compete for the engines of one pool. A daemon asks for a few items at a
time, as its report has to fit into a datagram, and runs a limited number. What
cannot run now takes no place of items that need something else. Within one
need, the order of the items is kept.
"""

import collections

import msgspec

# Items that one daemon runs at a time, over all pools. A pool may take as many
# of these places as it leaves free (a dynamic threshold, as in the buffers of
# network switches: Choudhury and Hahne, 1998), so half of them if it is alone.
CONCURRENT_RUNS_MAX = 64
# Items of one need for which a daemon asks at a time, and of all needs.
WANTED_PER_NEED_MAX = 16
WANTED_MAX = 24


class Need(msgspec.Struct, frozen=True, order=True):
    """What an item waits for; items with equal needs wait for the same.

    `version` is the software version that has to go on with its output, and
    empty if any may run it. `probe` is the cause of crashes that it would
    probe, or empty. Unless it `fits`, no engine of the pool has memory for it.
    """

    pool: str
    version: str = ""
    probe: str = ""
    fits: bool = True


class ItemWindow:
    """Collects items by need, most urgent first, and chooses among them.

    `running` has the number of items that run by pool.
    """

    __slots__ = ("_lines", "_running", "_running_total")

    def __init__(self, running):
        self._running = running
        self._running_total = sum(running.values())
        self._lines = {}

    def room(self, pool):
        """Returns how many more items of a pool may run."""
        free = CONCURRENT_RUNS_MAX - self._running_total
        running = self._running.get(pool, 0)
        if free > 0 and not running:
            return max(1, (free + 1) // 2)
        return max(0, (free - running + 1) // 2)

    def has_room(self, need):
        """Whether one more item of a need may be chosen."""
        waiting = len(self._lines.get(need, ()))
        return waiting < min(WANTED_PER_NEED_MAX, self.room(need.pool))

    def add(self, need, item):
        """Adds an item behind those of the same need, if it has room."""
        if self.has_room(need):
            self._lines.setdefault(need, []).append(item)

    def choose(self, turn):
        """Returns pairs of a need and an item; needs take turns.

        With `turn`, a number that grows from call to call, each need comes
        first in turn: there may be more of them than places.
        """
        left = min(WANTED_MAX, CONCURRENT_RUNS_MAX - self._running_total)
        rooms = {need.pool: self.room(need.pool) for need in self._lines}
        lines = collections.deque(
            (need, iter(line)) for need, line in sorted(self._lines.items())
        )
        lines.rotate(-turn)
        found = []
        while lines and len(found) < left:
            need, line = lines.popleft()
            item = next(line, None)
            if item is None or not rooms[need.pool]:
                continue
            rooms[need.pool] -= 1
            found.append((need, item))
            lines.append((need, line))
        return found
