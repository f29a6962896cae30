"""A circuit breaker for one target.

Instants are seconds of the monotonic clock.
"""

FAILURES_TO_OPEN = 3
OPEN_S = 2.0


class Breaker:
    """Opens after consecutive failures, then admits one request as a probe.

    Consecutive failures of the same request count once: the request itself
    may be the cause, and must not block the target for other requests.
    """

    __slots__ = ("failures", "last_failed_request", "open_until_s", "probing")

    def __init__(self):
        self.failures = 0
        self.last_failed_request = ""
        self.open_until_s = 0.0
        self.probing = False

    def allows(self, now_s):
        """Returns whether a request may be sent to the target."""
        if self.failures < FAILURES_TO_OPEN:
            return True
        return now_s >= self.open_until_s and not self.probing

    def record_sent(self, now_s):
        """Records that a request is sent; with an open breaker, a probe."""
        if self.failures >= FAILURES_TO_OPEN:
            self.probing = True

    def record_success(self):
        """Records a successful response and closes the breaker."""
        self.failures = 0
        self.last_failed_request = ""
        self.probing = False

    def record_failure(self, work, now_s):
        """Records a failure of the request with id `work`.

        Opens the breaker for `OPEN_S` from the `FAILURES_TO_OPEN`-th
        consecutive failure on.
        """
        if work != self.last_failed_request:
            self.failures += 1
            self.last_failed_request = work
        self.probing = False
        if self.failures >= FAILURES_TO_OPEN:
            self.open_until_s = now_s + OPEN_S

    def record_abandoned(self):
        """Records a request whose end says nothing about the target."""
        self.probing = False
