"""The retry budget of a route: limits retries to a share of its requests."""

# Credit is measured in retries.
CREDIT_RETRIES_MAX = 10.0
CREDIT_RETRIES_PER_S = 1.0


class RetryBudget:
    """A token bucket: a request adds a share of a retry, a retry spends one.

    It also fills by `CREDIT_RETRIES_PER_S`, so that a route with little
    traffic can retry. Instants are seconds of the monotonic clock.
    """

    __slots__ = ("credit", "earned_s", "share")

    def __init__(self, share, now_s):
        self.share = share
        self.credit = CREDIT_RETRIES_MAX
        self.earned_s = now_s

    def earn(self, now_s):
        """Adds the share that one request earns."""
        self._add(self.share, now_s)

    def spend(self, now_s):
        """Spends one retry; returns False if the budget has none."""
        self._add(0.0, now_s)
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True

    def _add(self, credit, now_s):
        refill = max(0.0, now_s - self.earned_s) * CREDIT_RETRIES_PER_S
        self.earned_s = max(self.earned_s, now_s)
        self.credit = min(CREDIT_RETRIES_MAX, self.credit + credit + refill)
