"""Which target gets a request: bounded-load affinity, else least load."""

import hashlib

import msgspec

from samphirepost import breaker
from samphirepost import hashing

AFFINITY_BYTES = 256
AFFINITY_BOUND = 1.25
AFFINITY_SLACK = 2.0
REPORT_HALF_LIFE_S = 1.0
REPORTS_MISSED_MAX = 3


class Seen:
    """What this daemon knows of one target."""

    __slots__ = (
        "batch",
        "breaker",
        "leaving",
        "listed_leaving",
        "missed",
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
        self.missed = 0
        self.report = None
        self.reported_s = 0.0
        self.own_at_report = 0

    def take_report(self, report, now_s):
        """Notes a load report that arrived at `now_s`."""
        self.report = report
        self.reported_s = now_s - report.age_s
        self.own_at_report = self.online + self.batch
        self.missed = 0
        self.leaving = report.leaving

    def usable(self, now_s):
        """Whether the target may get new work."""
        if self.leaving or self.listed_leaving:
            return False
        if self.missed >= REPORTS_MISSED_MAX:
            return False
        return self.breaker.allows(now_s)

    def load(self, now_s):
        """Returns the requests that run there: own, and others' by report.

        What the report tells of others counts for less as it ages.
        """
        own = self.online + self.batch
        if self.report is None:
            return float(own)
        total = self.report.running + self.report.waiting
        others = max(0, total - self.own_at_report)
        age_s = max(0.0, now_s - self.reported_s)
        return own + others * 0.5 ** (age_s / REPORT_HALF_LIFE_S)


class Candidate(msgspec.Struct, frozen=True):
    """A usable target and its load."""

    id: str
    load: float


def candidates(targets, seen, excluded, now_s):
    """Returns the usable targets but those excluded, in order of id."""
    found = []
    for name in sorted(targets):
        known = seen.get(name)
        if known is None or name in excluded:
            continue
        if known.usable(now_s):
            found.append(Candidate(name, known.load(now_s)))
    return found


def prefix(prompt):
    """Returns a key for the prompt's leading bytes."""
    head = prompt[:AFFINITY_BYTES].encode()
    return hashlib.blake2b(head, digest_size=8).hexdigest()


def choose(found, key):
    """Returns the id of the target for a prompt's prefix key, or None.

    The prefix's own target gets it, unless its load is past the bound over
    the mean; then the next by rank, so that hot prefixes spread.
    """
    if not found:
        return None
    mean = sum(candidate.load for candidate in found) / len(found)
    bound = AFFINITY_BOUND * mean + AFFINITY_SLACK
    loads = {candidate.id: candidate.load for candidate in found}
    for name in hashing.ranked(key, list(loads)):
        if loads[name] <= bound:
            return name
    return min(loads, key=loads.get)
