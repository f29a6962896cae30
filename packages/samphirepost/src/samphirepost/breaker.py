"""A circuit breaker for one target; instants are monotonic (s)."""

FAILURES_TO_OPEN = 3
OPEN_S = 2.0


class Breaker:
    """Opens after failures in a row, then lets one request probe."""

    __slots__ = ("failures", "open_until_s", "probing")

    def __init__(self):
        self.failures = 0
        self.open_until_s = 0.0
        self.probing = False

    def allows(self, now_s):
        """Whether a request may go to the target."""
        if self.failures < FAILURES_TO_OPEN:
            return True
        return now_s >= self.open_until_s and not self.probing

    def sent(self, now_s):
        """Notes a request that goes to the target."""
        if self.failures >= FAILURES_TO_OPEN:
            self.probing = True

    def succeeded(self):
        """Notes an answer and closes the breaker."""
        self.failures = 0
        self.probing = False

    def failed(self, now_s):
        """Notes a failure and keeps the breaker open for a while."""
        self.failures += 1
        self.probing = False
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until_s = now_s + OPEN_S

    def abandoned(self):
        """Notes a request that ended without telling of the target."""
        self.probing = False
