"""Load balancing: prefix affinity with bounded load, else least load."""

import hashlib

import msgspec

from samphirepost import breaker
from samphirepost import hashing

AFFINITY_BYTES = 256
AFFINITY_BOUND_FACTOR = 1.25  # times the mean load
AFFINITY_SLACK_REQUESTS = 2.0  # requests above the bound
REPORT_HALF_LIFE_S = 1.0  # of the weight of other daemons' requests
REPORTS_MISSED_MAX = 3


class TargetState:
    """The state of one target as known to this daemon.

    `online` and `batch` count this daemon's own requests. `leaving` is what
    the target last reported, `listed_leaving` what the platform lists.
    `reports_missed` counts the consecutive failed requests for a report.
    """

    __slots__ = (
        "batch",
        "breaker",
        "leaving",
        "listed_leaving",
        "reports_missed",
        "online",
        "own_at_report",
        "report",
        "reported_s",
    )

    def __init__(self):
        self.online = 0
        self.batch = 0
        self.breaker = breaker.Breaker()
        self.leaving = False
        self.listed_leaving = False
        self.reports_missed = 0
        self.report = None
        self.reported_s = 0.0
        self.own_at_report = 0

    def record_report(self, report, now_s):
        """Records a load report that was received at `now_s`."""
        self.report = report
        self.reported_s = now_s - report.age_s
        self.own_at_report = self.online + self.batch
        self.reports_missed = 0
        self.leaving = report.leaving

    def is_usable(self, now_s):
        """Returns whether new requests may be sent to the target."""
        if self.leaving or self.listed_leaving:
            return False
        if self.reports_missed >= REPORTS_MISSED_MAX:
            return False
        return self.breaker.allows(now_s)

    def load(self, now_s):
        """Returns the estimated number of requests on the target.

        These are this daemon's own requests, and those of other daemons by
        the last report, whose weight halves every `REPORT_HALF_LIFE_S`.
        """
        own = self.online + self.batch
        if self.report is None:
            return float(own)
        total = self.report.running + self.report.waiting
        others = max(0, total - self.own_at_report)
        age_s = max(0.0, now_s - self.reported_s)
        return own + others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)


class Candidate(msgspec.Struct, frozen=True):
    """A usable target and its load in requests."""

    id: str
    load: float


def candidates(targets, states, excluded, now_s):
    """Returns the usable targets without those excluded, sorted by id."""
    usable = []
    for target_id in sorted(targets):
        state = states.get(target_id)
        if state is None or target_id in excluded:
            continue
        if state.is_usable(now_s):
            usable.append(Candidate(target_id, state.load(now_s)))
    return usable


def affinity_key(prompt):
    """Returns the affinity key of a prompt, a hash of its beginning."""
    head = prompt[:AFFINITY_BYTES].encode()
    return hashlib.blake2b(head, digest_size=8).hexdigest()


def choose_target(usable, key):
    """Returns the id of the target for a prompt's affinity key, or None.

    Targets are ranked by rendezvous hashing of the key, and the first whose
    load is within the bound above the mean load is chosen. So a prefix stays
    on one target, and a frequent prefix spreads over several.
    """
    if not usable:
        return None
    mean = sum(candidate.load for candidate in usable) / len(usable)
    bound = AFFINITY_BOUND_FACTOR * mean + AFFINITY_SLACK_REQUESTS
    loads = {candidate.id: candidate.load for candidate in usable}
    for target_id in hashing.ranked(key, list(loads)):
        if loads[target_id] <= bound:
            return target_id
    return min(loads, key=loads.get)
