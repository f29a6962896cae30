"""Shares between daemons how many requests each runs at which engine.

Every daemon reports its counts to one hub and receives from it the totals of
all others, so the number of messages grows with the number of daemons, not of
pairs. Any daemon acts as hub for those that report to it; all daemons select
the hub by the same ranking. While two hubs exist for a moment, the totals of
each are incomplete. All instants are monotonic seconds.
"""

import msgspec

from samphirepost import hashing

# A hub from which no message was received for this long (s), the time of ten
# messages, is excluded.
HUB_TIMEOUT_S = 0.5
# An excluded hub is eligible again after this time (s).
HUB_RETRY_S = 3.0
# A daemon that has not reported for this long (s) is not counted.
REPORT_STALE_S = 1.0


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Running requests at one engine."""

    online: int = 0
    batch: int = 0


ZERO_COUNT = Count()


class Report(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """One daemon's running requests by engine, sent to the hub."""

    vm: str
    counts: dict[str, Count]


class Totals(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """All other daemons' running requests by engine, sent by hub `vm`."""

    vm: str
    counts: dict[str, Count]


def add_counts(total, counts):
    """Adds a map of counts to `total` in place and returns it."""
    for engine, count in counts.items():
        current = total.get(engine, ZERO_COUNT)
        total[engine] = Count(
            current.online + count.online, current.batch + count.batch
        )
    return total


def subtract_counts(total, counts):
    """Returns `total` minus `counts`, without engines at zero.

    Every engine in `counts` must be in `total`.
    """
    remaining = dict(total)
    for engine, count in counts.items():
        current = remaining.pop(engine)
        difference = Count(
            current.online - count.online, current.batch - count.batch
        )
        if difference != ZERO_COUNT:
            remaining[engine] = difference
    return remaining


class Hub:
    """Collects reports and computes the totals for each reporter."""

    __slots__ = ("_reports",)

    def __init__(self):
        self._reports = {}

    def record_report(self, report, address, now_s):
        """Records a daemon's report and its sender's address."""
        self._reports[report.vm] = (now_s, address, report.counts)

    def totals_of_others(self, now_s):
        """Returns the counts of all others for each reporter, by VM.

        The sum over all reports is computed once, so the cost is linear in
        the number of reporters. Stale reports are dropped.
        """
        for vm, (received_s, _, _) in list(self._reports.items()):
            if now_s - received_s > REPORT_STALE_S:
                del self._reports[vm]
        total = {}
        for _, _, counts in self._reports.values():
            total = add_counts(total, counts)
        return {
            vm: subtract_counts(total, entry[2])
            for vm, entry in self._reports.items()
        }

    def address_of(self, vm):
        """Returns the address from which a reporter's last report came."""
        return self._reports[vm][1]


class HubSelector:
    """Selects the hub to report to.

    `members` has the address of each member by VM.
    """

    __slots__ = (
        "_excluded_until_s",
        "_hub",
        "_last_received_s",
        "_selected_s",
        "members",
    )

    def __init__(self):
        self.members = {}
        self._excluded_until_s = {}
        self._hub = None
        self._selected_s = 0.0
        self._last_received_s = 0.0

    def record_message(self, vm, now_s):
        """Records that a message from the hub `vm` was received."""
        if vm == self._hub:
            self._last_received_s = now_s

    def select_hub(self, me, now_s):
        """Returns the VM of the hub, or None if no member is eligible.

        The result is `me` if this daemon is the hub itself.
        """
        idle_s = now_s - max(self._last_received_s, self._selected_s)
        if self._hub not in (None, me) and idle_s > HUB_TIMEOUT_S:
            self._excluded_until_s[self._hub] = now_s + HUB_RETRY_S
        best = None
        for vm in hashing.ranked("hub", list(self.members)):
            if self._excluded_until_s.get(vm, 0.0) <= now_s:
                best = vm
                break
        if best != self._hub:
            self._hub = best
            self._selected_s = now_s
        return best
