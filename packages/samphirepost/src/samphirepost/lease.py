"""Leases on rows of the table service, without comparing clocks across VMs.

An observer counts the lease from when it saw the row change, the holder from
before it sent the write. Each uses its own monotonic clock (s).
"""

# The holder acts for this share of the lease only, so that it stops before an
# observer whose clock runs faster replaces it. Rates may differ by 10 %.
HOLDER_LEASE_SHARE = 0.7


class LeaseObserver:
    """Tracks how long this daemon has seen a row unchanged."""

    __slots__ = ("revision", "unchanged_since_s")

    def __init__(self):
        self.revision = None
        self.unchanged_since_s = 0.0

    def observe(self, revision, now_s):
        """Records the row's revision as read at `now_s`."""
        if revision != self.revision:
            self.revision = revision
            self.unchanged_since_s = now_s

    def restart(self, now_s):
        """Restarts the count after an outage of the table service.

        No holder could renew its lease meanwhile.
        """
        self.unchanged_since_s = now_s

    def is_expired(self, lease_s, now_s):
        """Returns whether the holder may be replaced.

        A row that was never observed is not expired.
        """
        return (
            self.revision is not None
            and now_s - self.unchanged_since_s >= lease_s
        )


class HeldLease:
    """A lease on a row that this daemon holds."""

    __slots__ = ("lease_s", "sent_s")

    def __init__(self, lease_s, sent_s):
        self.lease_s = lease_s
        self.sent_s = sent_s

    def record_renewal(self, sent_s):
        """Records a successful write that was sent at `sent_s`."""
        self.sent_s = max(self.sent_s, sent_s)

    def is_valid(self, now_s):
        """Returns whether the holder may still act on its lease."""
        return now_s - self.sent_s < self.lease_s * HOLDER_LEASE_SHARE

    def is_renewal_due(self, now_s):
        """Returns whether a quarter of the lease has passed since renewal."""
        return now_s - self.sent_s >= self.lease_s / 4
