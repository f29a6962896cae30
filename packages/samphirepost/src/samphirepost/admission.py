"""Limits the batch sequences that run on an engine beside online requests.

An engine has no priorities, so the one daemon that admits batch work to it
limits the number of batch sequences. The token intervals of the batch streams
show the duration of each engine step without delay. A linear model is fitted
to them (step time = base + sequences x slope), and the limit follows from the
slowdown of online requests that the pool's `online_headroom` allows.
"""

import collections

START_LIMIT = 2
SAMPLES_MAX = 64
SAMPLES_MIN = 8
ADJUST_EVERY_S = 0.25
INCREASE_FACTOR = 1.5  # of the limit, while steps are within the headroom
DECREASE_FACTOR = 0.7
TOLERANCE = 1.15  # times the allowed step time, before the limit decreases
DECAY_FACTOR = 0.99  # of the weight of earlier samples, per sample
PRIOR_SLOPE_SHARE = 0.0075  # of the smallest step time, per sequence
PRIOR_WEIGHT = 20.0
SLOPE_SHARE_MIN = 0.001
BURST_FACTOR = 2.0  # times the mean of online requests
BURST_REQUESTS_MIN = 4
BURST_S = 1.0
MEAN_HALF_LIFE_S = 10.0


class LinearFit:
    """A least-squares line; the weight of old samples decays.

    `smallest_y` rises by 0.1 % a sample, so that an outlier fades.
    """

    __slots__ = (
        "_count",
        "_sum_x",
        "_sum_xx",
        "_sum_xy",
        "_sum_y",
        "smallest_y",
    )

    def __init__(self):
        self._count = 0.0
        self._sum_x = 0.0
        self._sum_y = 0.0
        self._sum_xx = 0.0
        self._sum_xy = 0.0
        self.smallest_y = None

    def add(self, x, y):
        """Adds the sample (x, y) and decays the weight of earlier ones."""
        for name in ("_count", "_sum_x", "_sum_y", "_sum_xx", "_sum_xy"):
            setattr(self, name, getattr(self, name) * DECAY_FACTOR)
        self._count += 1
        self._sum_x += x
        self._sum_y += y
        self._sum_xx += x * x
        self._sum_xy += x * y
        self.smallest_y = (
            y if self.smallest_y is None else min(self.smallest_y * 1.001, y)
        )

    def slope(self):
        """Returns the slope, pulled to the prior when x varies little."""
        prior = self.smallest_y * PRIOR_SLOPE_SHARE
        mean = self._sum_x / self._count
        variation = self._sum_xx - self._count * mean * mean
        covariation = self._sum_xy - mean * self._sum_y
        weighted = (covariation + PRIOR_WEIGHT * prior) / (
            variation + PRIOR_WEIGHT
        )
        return max(self.smallest_y * SLOPE_SHARE_MIN, weighted)

    def base(self):
        """Returns the fitted y at x = 0, at least half the smallest y."""
        fitted = (self._sum_y - self.slope() * self._sum_x) / self._count
        return max(self.smallest_y * 0.5, fitted)


class Limit:
    """The limit on batch sequences of one engine.

    Instants are seconds of the monotonic clock.
    """

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
        self.line = LinearFit()
        self.changed_s = 0.0
        self.online = 0
        self.mean_online = 0.0
        self.mean_at_s = 0.0
        self.burst_until_s = 0.0

    def see_gap(self, gap_ms):
        """Records the time between two tokens of a batch stream (ms)."""
        self.gaps_ms.append(gap_ms)

    def see_online(self, online, now_s):
        """Records how many online requests run on the engine.

        A count far above the running mean starts a burst, which halves the
        limit for `BURST_S`.
        """
        elapsed = max(0.0, now_s - self.mean_at_s)
        decay = 0.5 ** (elapsed / MEAN_HALF_LIFE_S)
        self.mean_online = decay * self.mean_online + (1 - decay) * self.online
        self.mean_at_s = now_s
        self.online = online
        if online > max(BURST_REQUESTS_MIN, BURST_FACTOR * self.mean_online):
            self.burst_until_s = now_s + BURST_S

    def alone_ms(self):
        """Returns the step time without batch sequences (ms)."""
        return self.line.base() + self.line.slope() * self.online

    def fitting(self):
        """Returns how many batch sequences fit into the headroom."""
        if self.line.smallest_y is None:
            return float(START_LIMIT)
        slowdown_ms = (self.headroom - 1.0) * self.alone_ms()
        return slowdown_ms / self.line.slope()

    def room(self, now_s):
        """Returns how many batch sequences the engine may run now."""
        if self.fixed:
            return self.fixed
        room = min(self.limit, self.fitting(), self.limit_max)
        if now_s < self.burst_until_s:
            room = room / 2
        return max(self._sequences_min(), int(room))

    def _sequences_min(self):
        """Returns the minimum: 1 for an engine without online requests.

        A pool whose headroom of 1.0 allows no slowdown has no minimum.
        """
        return 0 if self.online or self.headroom <= 1.0 else 1

    def adjust(self, batch, now_s):
        """Updates the model and the limit from the recorded intervals.

        `batch` is the number of batch sequences that ran meanwhile. Does
        nothing more often than every `ADJUST_EVERY_S`, or with fewer than
        `SAMPLES_MIN` intervals.
        """
        if now_s - self.changed_s < ADJUST_EVERY_S:
            return
        self.changed_s = now_s
        if len(self.gaps_ms) < SAMPLES_MIN:
            return
        ordered = sorted(self.gaps_ms)
        median_ms = ordered[len(ordered) // 2]
        self.gaps_ms.clear()
        self.line.add(batch + self.online, median_ms)
        allowed_ms = self.headroom * self.alone_ms()
        if median_ms > TOLERANCE * allowed_ms:
            self.limit = max(1.0, self.limit * DECREASE_FACTOR)
        else:
            increased = max(self.limit + 1.0, self.limit * INCREASE_FACTOR)
            self.limit = min(float(self.limit_max), increased)
