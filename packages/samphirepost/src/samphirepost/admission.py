"""How much batch work one engine gets beside its online work.

An engine knows no priorities, so the one daemon that admits batch work to
it bounds the sequences from outside. The batch streams themselves show the
time of each engine step without lag; from these a straight line is learned,
step time = base + sequences x slope, and the bound follows from the harm
that the pool's `online_headroom` allows.
"""

import collections

START_LIMIT = 2
SAMPLES_MAX = 64
SAMPLES_MIN = 8
ADJUST_EVERY_S = 0.25
GROWTH = 1.5
CUT = 0.7
TOLERANCE = 1.15
FORGET = 0.99
PRIOR_SLOPE_SHARE = 0.0075
PRIOR_WEIGHT = 20.0
SLOPE_SHARE_MIN = 0.001
BURST_FACTOR = 2.0
BURST_MIN = 4
BURST_S = 1.0
MEAN_HALF_LIFE_S = 10.0


class Line:
    """A straight line fitted to samples; old ones are slowly forgotten."""

    __slots__ = ("_n", "_x", "_xx", "_xy", "_y", "least")

    def __init__(self):
        self._n = 0.0
        self._x = 0.0
        self._y = 0.0
        self._xx = 0.0
        self._xy = 0.0
        self.least = None

    def add(self, x, y):
        """Adds a sample."""
        for name in ("_n", "_x", "_y", "_xx", "_xy"):
            setattr(self, name, getattr(self, name) * FORGET)
        self._n += 1
        self._x += x
        self._y += y
        self._xx += x * x
        self._xy += x * y
        self.least = y if self.least is None else min(self.least * 1.001, y)

    def slope(self):
        """Returns the fitted slope, drawn to the prior where data is thin."""
        prior = self.least * PRIOR_SLOPE_SHARE
        mean = self._x / self._n
        spread = self._xx - self._n * mean * mean
        product = self._xy - mean * self._y
        weighed = (product + PRIOR_WEIGHT * prior) / (spread + PRIOR_WEIGHT)
        return max(self.least * SLOPE_SHARE_MIN, weighed)

    def base(self):
        """Returns the fitted value at no sequences."""
        fitted = (self._y - self.slope() * self._x) / self._n
        return max(self.least * 0.5, fitted)


class Limit:
    """The batch limit of one engine; instants are monotonic (s)."""

    __slots__ = (
        "burst_until_s",
        "changed_s",
        "fixed",
        "gaps_ms",
        "headroom",
        "limit",
        "limit_max",
        "line",
        "mean_at_s",
        "mean_online",
        "online",
    )

    def __init__(self, headroom, limit_max):
        self.headroom = headroom
        self.limit_max = limit_max
        self.fixed = 0
        self.limit = float(START_LIMIT)
        self.gaps_ms = collections.deque(maxlen=SAMPLES_MAX)
        self.line = Line()
        self.changed_s = 0.0
        self.online = 0
        self.mean_online = 0.0
        self.mean_at_s = 0.0
        self.burst_until_s = 0.0

    def see_gap(self, gap_ms):
        """Notes the time between two tokens of a batch stream."""
        self.gaps_ms.append(gap_ms)

    def see_online(self, online, now_s):
        """Notes how many online requests run on the engine."""
        elapsed = max(0.0, now_s - self.mean_at_s)
        keep = 0.5 ** (elapsed / MEAN_HALF_LIFE_S)
        self.mean_online = keep * self.mean_online + (1 - keep) * self.online
        self.mean_at_s = now_s
        self.online = online
        if online > max(BURST_MIN, BURST_FACTOR * self.mean_online):
            self.burst_until_s = now_s + BURST_S

    def alone_ms(self):
        """Returns the step time with the online requests alone."""
        return self.line.base() + self.line.slope() * self.online

    def fitting(self):
        """Returns the sequences that the headroom has room for."""
        if self.line.least is None:
            return float(START_LIMIT)
        harm_ms = (self.headroom - 1.0) * self.alone_ms()
        return harm_ms / self.line.slope()

    def room(self, now_s):
        """Returns the number of batch sequences that the engine may run."""
        if self.fixed:
            return self.fixed
        room = min(self.limit, self.fitting(), self.limit_max)
        if now_s < self.burst_until_s:
            room = room / 2
        return max(self._least(), int(room))

    def _least(self):
        """An engine without online work always gets some."""
        return 0 if self.online or self.headroom <= 1.0 else 1

    def adjust(self, batch, now_s):
        """Learns from the steps seen while `batch` sequences ran."""
        if now_s - self.changed_s < ADJUST_EVERY_S:
            return
        self.changed_s = now_s
        if len(self.gaps_ms) < SAMPLES_MIN:
            return
        ordered = sorted(self.gaps_ms)
        middle_ms = ordered[len(ordered) // 2]
        self.gaps_ms.clear()
        self.line.add(batch + self.online, middle_ms)
        allowed_ms = self.headroom * self.alone_ms()
        if middle_ms > TOLERANCE * allowed_ms:
            self.limit = max(1.0, self.limit * CUT)
        else:
            grown = max(self.limit + 1.0, self.limit * GROWTH)
            self.limit = min(float(self.limit_max), grown)
