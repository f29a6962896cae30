"""Leases on rows of the table service, without comparing clocks across VMs.

An observer counts the lease from when it saw the row change, the holder from
before it sent the write. Each uses its own monotonic clock (s).
"""

HOLDER_MARGIN = 0.7


class Watch:
    """Tracks how long this daemon has seen a row unchanged."""

    __slots__ = ("revision", "since_s")

    def __init__(self):
        self.revision = None
        self.since_s = 0.0

    def observe(self, revision, now_s):
        """Records the row's revision as read at `now_s`."""
        if revision != self.revision:
            self.revision = revision
            self.since_s = now_s

    def restart(self, now_s):
        """Restarts the count after an outage of the table service.

        No holder could renew its lease meanwhile.
        """
        self.since_s = now_s

    def lapsed(self, lease_s, now_s):
        """Returns whether the holder may be replaced.

        A row that was never observed is not expired.
        """
        return self.revision is not None and now_s - self.since_s >= lease_s


class Hold:
    """A lease on a row that this daemon holds."""

    __slots__ = ("asked_s", "lease_s")

    def __init__(self, lease_s, asked_s):
        self.lease_s = lease_s
        self.asked_s = asked_s

    def renewed(self, asked_s):
        """Records a successful write that was sent at `asked_s`."""
        self.asked_s = max(self.asked_s, asked_s)

    def valid(self, now_s):
        """Returns whether the holder may still act on its lease."""
        return now_s - self.asked_s < self.lease_s * HOLDER_MARGIN

    def due(self, now_s):
        """Returns whether a quarter of the lease has passed since renewal."""
        return now_s - self.asked_s >= self.lease_s / 4
