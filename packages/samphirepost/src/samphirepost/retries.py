"""A route's retry budget: retries stay a small share of its requests."""

BURST_RETRIES = 10.0


class Budget:
    """Every request earns a share of a retry; a retry spends a whole one."""

    __slots__ = ("credit", "share")

    def __init__(self, share):
        self.share = share
        self.credit = BURST_RETRIES

    def earn(self):
        """Notes a request."""
        self.credit = min(BURST_RETRIES, self.credit + self.share)

    def spend(self):
        """Takes one retry; returns whether there was one."""
        if self.credit < 1.0:
            return False
        self.credit -= 1.0
        return True
