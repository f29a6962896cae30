"""How many slots of a pool batch items leave free for online arrivals.

An arrival that finds no free slot stops an item, and waits until the item has
left. What arrives within that time finds a free slot if items leave as many
free as the number of online requests has recently risen by in such a time.
More than the recent peak of online use is not left free.
All instants are monotonic seconds.
"""

import math

# The reserve is at least this many standard deviations of the number of online
# requests that run: arrivals are random, so that number varies by the square
# root of its mean.
DEVIATIONS_MIN = 0.5
# Time (s) in which a stopped item leaves its slot. Rises are taken over one
# to two times this.
RISE_WINDOW_S = 0.05
# Peaks are forgotten with this time constant (s): a longer one costs idle
# slots, a shorter one stopped items; see docs/design/reserve.md.
MEMORY_S = 5.0


class DecayingMaximum:
    """The maximum of a series, which falls exponentially in time."""

    __slots__ = ("_at_s", "_value")

    def __init__(self):
        self._value = 0.0
        self._at_s = 0.0

    def record(self, value, now_s):
        """Records a value of the series."""
        if value >= self.at(now_s):
            self._value = value
            self._at_s = now_s

    def at(self, now_s):
        """Returns the maximum at an instant."""
        elapsed_s = max(0.0, now_s - self._at_s)
        return self._value * math.exp(-elapsed_s / MEMORY_S)


class DemandPeaks:
    """The recent peaks of a pool's online use and of its rise.

    Each start and each end of an online request is recorded.
    """

    __slots__ = (
        "_level",
        "_low",
        "_low_before",
        "_rise",
        "_use",
        "_window_s",
    )

    def __init__(self):
        self._level = 0
        self._low = 0
        self._low_before = 0
        self._window_s = -math.inf
        self._rise = DecayingMaximum()
        self._use = DecayingMaximum()

    def record_start(self, online, now_s):
        """Records that one of `online` requests got its slot."""
        self._begin_window(now_s)
        self._level += 1
        rise = self._level - min(self._low, self._low_before)
        self._rise.record(rise, now_s)
        self._use.record(online, now_s)

    def record_end(self):
        """Records that an online request left its slot."""
        self._level -= 1
        self._low = min(self._low, self._level)

    def _begin_window(self, now_s):
        elapsed_s = now_s - self._window_s
        if elapsed_s < RISE_WINDOW_S:
            return
        is_next = elapsed_s < 2 * RISE_WINDOW_S
        self._low_before = self._low if is_next else self._level
        self._low = self._level
        self._window_s = now_s

    def reserved(self, online, now_s):
        """Returns the slots to leave free while `online` requests run."""
        rise = min(self._rise.at(now_s), self._use.at(now_s) - online)
        return max(DEVIATIONS_MIN * math.sqrt(online), rise)


# Of a pool at which nothing has been recorded.
NONE = DemandPeaks()
