"""How daemons tell each other what they run at which engine.

Every daemon reports its counts to one hub and hears from it what all others
run, so the messages grow with the daemons and not with their pairs. Any
daemon is a hub for those that report to it; which one that is follows from
a ranking that all compute alike. Two hubs for a moment only make the counts
of each incomplete. All instants are monotonic seconds.
"""

import msgspec

from samphirepost import hashing

# A hub that is silent this long is passed over: ten of its messages.
HUB_SILENT_S = 0.5
# A hub that was passed over is tried again after this (s).
HUB_RETRY_S = 3.0
# A daemon that has not reported for this long is not counted (s).
REPORT_STALE_S = 1.0


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Requests that run at one engine."""

    online: int = 0
    batch: int = 0


NONE = Count()


class Report(msgspec.Struct, frozen=True, array_like=True, tag=1):
    """What one daemon runs, by engine."""

    vm: str
    counts: dict[str, Count]


class Totals(msgspec.Struct, frozen=True, array_like=True, tag=2):
    """What all other daemons run, by engine."""

    vm: str
    counts: dict[str, Count]


def add(total, counts):
    """Adds a map of counts to `total` and returns it."""
    for name, count in counts.items():
        have = total.get(name, NONE)
        total[name] = Count(
            have.online + count.online, have.batch + count.batch
        )
    return total


def subtract(total, counts):
    """Returns `total` without `counts`, and without what is zero then."""
    left = dict(total)
    for name, count in counts.items():
        have = left.pop(name)
        rest = Count(have.online - count.online, have.batch - count.batch)
        if rest != NONE:
            left[name] = rest
    return left


class Hub:
    """Collects reports and sums them up for each reporter."""

    __slots__ = ("_reports",)

    def __init__(self):
        self._reports = {}

    def take(self, report, address, now_s):
        """Notes a daemon's report and where it came from."""
        self._reports[report.vm] = (now_s, address, report.counts)

    def others(self, now_s):
        """Returns what all others run, for each reporter.

        The sum over all is made once, so the work grows with the reporters.
        """
        for name, (seen_s, _, _) in list(self._reports.items()):
            if now_s - seen_s > REPORT_STALE_S:
                del self._reports[name]
        total = {}
        for _, _, counts in self._reports.values():
            total = add(total, counts)
        return {
            vm: subtract(total, entry[2])
            for vm, entry in self._reports.items()
        }

    def address(self, vm):
        """Returns where a reporter's messages came from."""
        return self._reports[vm][1]


class Ranking:
    """Which hub to report to."""

    __slots__ = ("_heard_s", "_hub", "_passed_over", "_since_s", "members")

    def __init__(self):
        self.members = {}
        self._passed_over = {}
        self._hub = None
        self._since_s = 0.0
        self._heard_s = 0.0

    def heard(self, vm, now_s):
        """Notes a message of a hub."""
        if vm == self._hub:
            self._heard_s = now_s

    def hub(self, me, now_s):
        """Returns the member to report to, or None if there is no other."""
        silent_s = now_s - max(self._heard_s, self._since_s)
        if self._hub not in (None, me) and silent_s > HUB_SILENT_S:
            self._passed_over[self._hub] = now_s + HUB_RETRY_S
        best = None
        for vm in hashing.ranked("hub", list(self.members)):
            if self._passed_over.get(vm, 0.0) <= now_s:
                best = vm
                break
        if best != self._hub:
            self._hub = best
            self._since_s = now_s
        return best
