"""The clocks of one VM."""

import time

from samphirepost import ledger


class Clock:
    """Monotonic time for leases and Unix time for stored deadlines (s)."""

    def monotonic_s(self):
        """Returns the monotonic time."""
        return time.monotonic()

    def unix_s(self):
        """Returns the Unix time."""
        return time.time()

    def now(self):
        """Returns both clocks."""
        return ledger.Instant(self.monotonic_s(), self.unix_s())
