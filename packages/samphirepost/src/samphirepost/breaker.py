"""A circuit breaker for one target; instants are monotonic (s)."""

FAILURES_TO_OPEN = 3
OPEN_S = 2.0


class Breaker:
    """Opens after failures in a row, then lets one request probe.

    A request that fails again and again counts once: it may be at fault
    itself, and must not close the target to others.
    """

    __slots__ = ("failures", "last_failed", "open_until_s", "probing")

    def __init__(self):
        self.failures = 0
        self.last_failed = ""
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
        self.last_failed = ""
        self.probing = False

    def failed(self, work, now_s):
        """Notes a failure of `work`; the breaker may open for a while."""
        if work != self.last_failed:
            self.failures += 1
            self.last_failed = work
        self.probing = False
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until_s = now_s + OPEN_S

    def abandoned(self):
        """Notes a request that ended without telling of the target."""
        self.probing = False
