"""Limits the batch sequences that run on an engine beside online requests.

An engine has no priorities, so the one daemon that admits batch work to it
limits the number of batch sequences. The token intervals of the batch streams
show the duration of each engine step without delay. A linear model is fitted
to them (step time = base + sequences x slope), and the limit follows from the
slowdown of online requests that the pool's `online_headroom` allows.
"""

import collections

INITIAL_LIMIT = 2  # batch sequences, before the first samples
SAMPLES_MAX = 64  # token intervals used for an adjustment
SAMPLES_MIN = 8
ADJUST_INTERVAL_S = 0.25
INCREASE_FACTOR = 1.5  # of the limit, while steps are within the headroom
DECREASE_FACTOR = 0.7
TOLERANCE_FACTOR = 1.15  # times the allowed step time, before a decrease
DECAY_FACTOR = 0.99  # of the weight of earlier samples, per sample
PRIOR_SLOPE_SHARE = 0.0075  # of the smallest step time, per sequence
PRIOR_WEIGHT = 20.0
SLOPE_SHARE_MIN = 0.001
BURST_FACTOR = 2.0  # times the running mean of online requests
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


class BatchLimit:
    """The limit on batch sequences of one engine.

    Instants are seconds of the monotonic clock.
    """

    __slots__ = (
        "burst_until_s",
        "adjusted_s",
        "fixed_limit",
        "token_intervals_ms",
        "headroom",
        "adaptive_limit",
        "limit_max",
        "step_model",
        "mean_at_s",
        "mean_online",
        "online",
    )

    def __init__(self, headroom, limit_max):
        self.headroom = headroom
        self.limit_max = limit_max
        self.fixed_limit = 0
        self.adaptive_limit = float(INITIAL_LIMIT)
        self.token_intervals_ms = collections.deque(maxlen=SAMPLES_MAX)
        self.step_model = LinearFit()
        self.adjusted_s = 0.0
        self.online = 0
        self.mean_online = 0.0
        self.mean_at_s = 0.0
        self.burst_until_s = 0.0

    def record_token_interval(self, interval_ms):
        """Records the time between two tokens of a batch stream (ms)."""
        self.token_intervals_ms.append(interval_ms)

    def record_online(self, online, now_s):
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

    def baseline_ms(self):
        """Returns the step time without batch sequences (ms)."""
        return self.step_model.base() + self.step_model.slope() * self.online

    def headroom_limit(self):
        """Returns how many batch sequences fit into the headroom."""
        if self.step_model.smallest_y is None:
            return float(INITIAL_LIMIT)
        slowdown_ms = (self.headroom - 1.0) * self.baseline_ms()
        return slowdown_ms / self.step_model.slope()

    def current_limit(self, now_s):
        """Returns how many batch sequences the engine may run now."""
        if self.fixed_limit:
            return self.fixed_limit
        allowed = min(
            self.adaptive_limit, self.headroom_limit(), self.limit_max
        )
        if now_s < self.burst_until_s:
            allowed = allowed / 2
        return max(self._sequences_min(), int(allowed))

    def _sequences_min(self):
        """Returns the minimum limit: 1 for an engine without online requests.

        The minimum is 0 if the pool's headroom of 1.0 allows no slowdown.
        """
        return 0 if self.online or self.headroom <= 1.0 else 1

    def adjust(self, batch, now_s):
        """Updates the model and the limit from the recorded intervals.

        `batch` is the number of batch sequences that ran meanwhile. Checks
        once per `ADJUST_INTERVAL_S`, and needs `SAMPLES_MIN` intervals.
        """
        if now_s - self.adjusted_s < ADJUST_INTERVAL_S:
            return
        self.adjusted_s = now_s
        if len(self.token_intervals_ms) < SAMPLES_MIN:
            return
        ordered = sorted(self.token_intervals_ms)
        median_ms = ordered[len(ordered) // 2]
        self.token_intervals_ms.clear()
        self.step_model.add(batch + self.online, median_ms)
        allowed_ms = self.headroom * self.baseline_ms()
        if median_ms > TOLERANCE_FACTOR * allowed_ms:
            self.adaptive_limit = max(
                1.0, self.adaptive_limit * DECREASE_FACTOR
            )
        else:
            increased = max(
                self.adaptive_limit + 1.0,
                self.adaptive_limit * INCREASE_FACTOR,
            )
            self.adaptive_limit = min(float(self.limit_max), increased)
