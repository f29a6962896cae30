"""How much batch work one engine gets beside its online work.

An engine knows no priorities, so the one daemon that admits batch work to
it bounds the sequences from outside. The batch streams themselves show the
time of each engine step without lag.
"""

import collections

MIN_LIMIT = 0
START_LIMIT = 4
STEP_SAMPLES = 64
GROW_EVERY_S = 0.25
GROWTH = 1.25
CUT = 0.7
BASE_STEP_MS = 8.0
SEQUENCE_MS = 0.06
BURST_FACTOR = 2.0
BURST_MIN = 4
MEAN_HALF_LIFE_S = 10.0


class Limit:
    """The batch limit of one engine; instants are monotonic (s)."""

    __slots__ = (
        "burst_until_s",
        "changed_s",
        "gaps_ms",
        "headroom",
        "limit",
        "limit_max",
        "mean_at_s",
        "mean_online",
        "online",
    )

    def __init__(self, headroom, limit_max):
        self.headroom = headroom
        self.limit_max = limit_max
        self.limit = float(min(START_LIMIT, limit_max))
        self.gaps_ms = collections.deque(maxlen=STEP_SAMPLES)
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
        high = max(BURST_MIN, BURST_FACTOR * self.mean_online)
        if online > high:
            self.burst_until_s = now_s + 1.0

    def allowed_ms(self):
        """Returns the step time that online requests may be made to see."""
        alone = BASE_STEP_MS + SEQUENCE_MS * self.online
        return alone * self.headroom

    def room(self, now_s):
        """Returns the number of batch sequences that the engine may run."""
        share = self.headroom - 1.0
        alone = BASE_STEP_MS + SEQUENCE_MS * self.online
        fits = alone * share / SEQUENCE_MS
        if now_s < self.burst_until_s:
            fits = fits / 2
        return max(MIN_LIMIT, int(min(self.limit, fits, self.limit_max)))

    def adjust(self, now_s):
        """Grows the limit while steps are short; cuts it when they aren't."""
        if now_s - self.changed_s < GROW_EVERY_S:
            return
        self.changed_s = now_s
        if not self.gaps_ms:
            self.limit = max(self.limit, 1.0)
            return
        ordered = sorted(self.gaps_ms)
        middle = ordered[len(ordered) // 2]
        if middle > self.allowed_ms():
            self.limit = max(1.0, self.limit * CUT)
        else:
            grown = max(self.limit + 1.0, self.limit * GROWTH)
            self.limit = min(float(self.limit_max), grown)
        self.gaps_ms.clear()
