"""The state of a partition's ledger in memory and in a snapshot."""

import msgspec

from samphirepost import jobs
from samphirepost import messages
from samphirepost import records


class RequestEntry:
    """The ledger's entry for one request.

    `closed_attempts` lists the attempts that ended before anything was sent.
    """

    __slots__ = (
        "attempt",
        "caller",
        "closed_attempts",
        "daemon",
        "deadline_unix_s",
        "digest",
        "reference",
        "status",
    )

    def __init__(self, caller, digest):
        self.caller = caller
        self.digest = digest
        self.attempt = ""
        self.daemon = ""
        self.deadline_unix_s = 0.0
        self.status = messages.RequestStatus.NEW
        self.reference = None
        self.closed_attempts = ()


class Claim:
    """Items of one job that a runner has claimed until `expires_at_s`.

    `expires_at_s` is in seconds of the monotonic clock.
    """

    __slots__ = ("expires_at_s", "isolated", "items", "runner", "work")

    def __init__(self, runner, work, items, isolated, expires_at_s):
        self.runner = runner
        self.work = work
        self.items = set(items)
        self.isolated = isolated
        self.expires_at_s = expires_at_s


class EntrySnapshot(msgspec.Struct, frozen=True, array_like=True):
    """An entry in a snapshot, stored as an array: the field order is fixed."""

    work: str
    caller: str
    digest: str
    attempt: str
    daemon: str
    deadline_unix_s: float
    status: messages.RequestStatus
    reference: records.Reference | None
    closed_attempts: tuple[str, ...]


class ClaimSnapshot(msgspec.Struct, frozen=True, array_like=True):
    """A claim in a snapshot, stored as an array: the field order is fixed.

    Its expiry time is set anew when the snapshot is loaded.
    """

    claim: str
    runner: str
    work: str
    items: tuple[int, ...]
    isolated: bool


class Snapshot(msgspec.Struct, frozen=True):
    """A partition's state as stored; results stay in their segments."""

    entries: tuple[EntrySnapshot, ...]
    jobs: tuple[jobs.JobSnapshot, ...]
    claims: tuple[ClaimSnapshot, ...]


class State:
    """A partition's entries, jobs and claims.

    A claim lasts `claim_s`. An item fails when `runner_failures_max` of its
    runners have failed.
    """

    __slots__ = ("claim_s", "claims", "entries", "jobs", "runner_failures_max")

    def __init__(self, claim_s, runner_failures_max):
        self.entries = {}
        self.jobs = {}
        self.claims = {}
        self.claim_s = claim_s
        self.runner_failures_max = runner_failures_max


def save(state):
    """Returns the state in its snapshot form."""
    return Snapshot(
        tuple(
            _entry_snapshot(work, entry)
            for work, entry in state.entries.items()
        ),
        tuple(job.save() for job in state.jobs.values()),
        tuple(
            _claim_snapshot(name, claim)
            for name, claim in state.claims.items()
        ),
    )


def _entry_snapshot(work, entry):
    return EntrySnapshot(
        work,
        entry.caller,
        entry.digest,
        entry.attempt,
        entry.daemon,
        entry.deadline_unix_s,
        entry.status,
        entry.reference,
        entry.closed_attempts,
    )


def _claim_snapshot(name, claim):
    items = tuple(sorted(claim.items))
    return ClaimSnapshot(name, claim.runner, claim.work, items, claim.isolated)


def load(state, snapshot, now):
    """Restores an empty state from a snapshot; renews its claims at `now`."""
    for saved in snapshot.entries:
        entry = RequestEntry(saved.caller, saved.digest)
        entry.attempt = saved.attempt
        entry.daemon = saved.daemon
        entry.deadline_unix_s = saved.deadline_unix_s
        entry.status = saved.status
        entry.reference = saved.reference
        entry.closed_attempts = saved.closed_attempts
        state.entries[saved.work] = entry
    for saved in snapshot.jobs:
        state.jobs[saved.accepted.work] = jobs.load(saved)
    expires_at_s = now.monotonic_s + state.claim_s
    for saved in snapshot.claims:
        state.claims[saved.claim] = Claim(
            saved.runner, saved.work, saved.items, saved.isolated, expires_at_s
        )
