"""The monotonic clock and the Unix clock of the VM."""

import time

from samphirepost import ledger


class Clock:
    """Monotonic time for leases, Unix time for stored deadlines, in s."""

    def monotonic_s(self):
        """Returns the monotonic time (s)."""
        return time.monotonic()

    def unix_s(self):
        """Returns the Unix time (s)."""
        return time.time()

    def now(self):
        """Returns the time of both clocks."""
        return ledger.Instant(self.monotonic_s(), self.unix_s())
