"""A route's retry budget: retries stay a small share of its requests."""

BURST_RETRIES = 10.0
FLOOR_PER_S = 1.0


class Budget:
    """Every request earns a share of a retry; a retry spends a whole one.

    A route with little traffic earns `FLOOR_PER_S` besides. Instants are
    monotonic (s).
    """

    __slots__ = ("credit", "earned_s", "share")

    def __init__(self, share, now_s):
        self.share = share
        self.credit = BURST_RETRIES
        self.earned_s = now_s

    def earn(self, now_s):
        """Notes a request."""
        self._add(self.share, now_s)

    def spend(self, now_s):
        """Takes one retry; returns whether there was one."""
        self._add(0.0, now_s)
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def _add(self, credit, now_s):
        floor = max(0.0, now_s - self.earned_s) * FLOOR_PER_S
        self.earned_s = max(self.earned_s, now_s)
        self.credit = min(BURST_RETRIES, self.credit + credit + floor)
