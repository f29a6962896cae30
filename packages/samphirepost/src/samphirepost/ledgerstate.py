"""The state of a partition's ledger in memory and in a snapshot."""

import msgspec

from samphirepost import jobs
from samphirepost import messages
from samphirepost import records


class Entry:
    """The ledger's entry for one request.

    `closed` lists the attempts that ended before anything was sent.
    """

    __slots__ = (
        "attempt",
        "caller",
        "closed",
        "daemon",
        "deadline_unix_s",
        "digest",
        "reference",
        "standing",
    )

    def __init__(self, caller, digest):
        self.caller = caller
        self.digest = digest
        self.attempt = ""
        self.daemon = ""
        self.deadline_unix_s = 0.0
        self.standing = messages.Standing.NEW
        self.reference = None
        self.closed = ()


class Claim:
    """Items of one job that a runner has claimed until `lapses_at`.

    `lapses_at` is in seconds of the monotonic clock.
    """

    __slots__ = ("items", "lapses_at", "runner", "solo", "work")

    def __init__(self, runner, work, items, solo, lapses_at):
        self.runner = runner
        self.work = work
        self.items = set(items)
        self.solo = solo
        self.lapses_at = lapses_at


class SavedEntry(msgspec.Struct, frozen=True, array_like=True):
    """An entry as stored in a snapshot; the order of fields counts."""

    work: str
    caller: str
    digest: str
    attempt: str
    daemon: str
    deadline_unix_s: float
    standing: messages.Standing
    reference: records.Reference | None
    closed: tuple[str, ...]


class SavedClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claim as stored in a snapshot; the order of fields counts.

    Its time starts anew when the snapshot is loaded.
    """

    claim: str
    runner: str
    work: str
    items: tuple[int, ...]
    solo: bool


class Snapshot(msgspec.Struct, frozen=True):
    """A partition's state as stored; results stay in their segments."""

    entries: tuple[SavedEntry, ...]
    jobs: tuple[jobs.JobSnapshot, ...]
    claims: tuple[SavedClaim, ...]


class State:
    """A partition's entries, jobs and claims.

    A claim lasts `claim_s`. An item fails when `blames_max` of its runners
    have failed.
    """

    __slots__ = ("claim_s", "claims", "entries", "jobs", "blames_max")

    def __init__(self, claim_s, blames_max):
        self.entries = {}
        self.jobs = {}
        self.claims = {}
        self.claim_s = claim_s
        self.blames_max = blames_max


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
    return SavedEntry(
        work,
        entry.caller,
        entry.digest,
        entry.attempt,
        entry.daemon,
        entry.deadline_unix_s,
        entry.standing,
        entry.reference,
        entry.closed,
    )


def _claim_snapshot(name, claim):
    items = tuple(sorted(claim.items))
    return SavedClaim(name, claim.runner, claim.work, items, claim.solo)


def load(state, snapshot, now):
    """Restores an empty state from a snapshot; claims start anew at `now`."""
    for saved in snapshot.entries:
        entry = Entry(saved.caller, saved.digest)
        entry.attempt = saved.attempt
        entry.daemon = saved.daemon
        entry.deadline_unix_s = saved.deadline_unix_s
        entry.standing = saved.standing
        entry.reference = saved.reference
        entry.closed = saved.closed
        state.entries[saved.work] = entry
    for saved in snapshot.jobs:
        state.jobs[saved.accepted.work] = jobs.load(saved)
    lapses_at = now.monotonic_s + state.claim_s
    for saved in snapshot.claims:
        state.claims[saved.claim] = Claim(
            saved.runner, saved.work, saved.items, saved.solo, lapses_at
        )
