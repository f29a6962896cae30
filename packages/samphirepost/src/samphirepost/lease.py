"""Leases on rows of the table service, with no clock compared across VMs.

A watcher counts from when it saw the row change; a holder from before it
asked. Both use their own monotonic clock (s).
"""

HOLDER_MARGIN = 0.7


class Watch:
    """How long one row has stood unchanged, as this daemon saw it."""

    __slots__ = ("revision", "since_s")

    def __init__(self):
        self.revision = None
        self.since_s = 0.0

    def observe(self, revision, now_s):
        """Notes the row's revision as read at `now_s`."""
        if revision != self.revision:
            self.revision = revision
            self.since_s = now_s

    def restart(self, now_s):
        """Counts anew: nobody could renew while the service was out."""
        self.since_s = now_s

    def lapsed(self, lease_s, now_s):
        """Whether the holder may be replaced."""
        return self.revision is not None and now_s - self.since_s >= lease_s


class Hold:
    """This daemon's own lease on a row."""

    __slots__ = ("asked_s", "lease_s")

    def __init__(self, lease_s, asked_s):
        self.lease_s = lease_s
        self.asked_s = asked_s

    def renewed(self, asked_s):
        """Notes a write that took effect and was asked for at `asked_s`."""
        self.asked_s = max(self.asked_s, asked_s)

    def valid(self, now_s):
        """Whether the holder may still act on its lease."""
        return now_s - self.asked_s < self.lease_s * HOLDER_MARGIN

    def due(self, now_s):
        """Whether the lease ought to be renewed now."""
        return now_s - self.asked_s >= self.lease_s / 4
