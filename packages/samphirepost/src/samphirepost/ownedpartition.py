"""A partition's state at its owner: records, group commits, queued replies.

Performs no I/O: the owner's actor writes the objects and the row and passes
the clock readings. A reply is queued until the records that it depends on are
durable.
"""

import collections

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import lease
from samphirepost import ledger
from samphirepost import ledgerstate
from samphirepost import messages
from samphirepost import records


class Limits(msgspec.Struct, frozen=True):
    """The maximum of records not yet durable, and segments per snapshot."""

    unsaved_records_max: int
    snapshot_segments: int


class GroupCommit(msgspec.Struct, frozen=True):
    """A group commit: the row, and optionally a segment and a snapshot.

    An empty name means that there is no such object. The objects are written
    first, then the row on condition that it is still at `revision`.
    """

    segment_name: str
    segment: bytes
    snapshot_name: str
    snapshot: bytes
    row: records.PartitionRow
    revision: int


class DueReply(msgspec.Struct, frozen=True):
    """A reply that may be sent to the requester known by `ticket`."""

    ticket: object
    reply: messages.Reply


class _QueuedReply(msgspec.Struct, frozen=True):
    """A reply queued until the group commit of this number is durable."""

    due: DueReply
    commit: int


class OwnedPartition:
    """One partition's state, its lease and its queued replies.

    `outage`: the last write of a group commit failed. `releasing`: the owner
    rejects commands, and its next group commit releases the lease.
    """

    def __init__(
        self, number, row, revision, state, held_lease, limits, new_write_id
    ):
        self.number = number
        self.row = row
        self.revision = revision
        self.state = state
        self.held_lease = held_lease
        self.outage = False
        self.releasing = False
        self._limits = limits
        self._new_write_id = new_write_id
        self._write_id = new_write_id()
        self._open_records = []
        self._inflight_records = []
        self._inflight_segment = ""
        self._commit_count = 0
        self._replies = collections.deque()

    @property
    def all_durable(self):
        """Whether every record is durable."""
        return not self._open_records and not self._inflight_records

    @property
    def has_open_records(self):
        """Whether records are pending for the next group commit."""
        return bool(self._open_records)

    @property
    def inflight_count(self):
        """The number of records that are being written."""
        return len(self._inflight_records)

    @property
    def _segment(self):
        return segment_name(self.number, self.row.epoch, self._write_id)

    def handle(self, command, ticket, now, live):
        """Decides a command; returns a DueReply if its reply may be sent now.

        Otherwise queues the reply and returns None. `live(name)` returns
        whether the daemon of that name is a live member.
        """
        if self.releasing:
            return DueReply(ticket, not_owner_failure(self.number))
        if self._is_full():
            reason = "too many records wait to be stored"
            failure = errors.Failure(errors.Kind.PLATFORM_OUT, reason)
            return DueReply(ticket, failure)
        decision = ledger.decide(command, self.state, now, live)
        if self.outage and _begins_work(command, decision):
            reason = "nothing can be stored now"
            failure = errors.Failure(errors.Kind.PLATFORM_OUT, reason)
            return DueReply(ticket, failure)
        self.append(decision.appended, now)
        due = DueReply(ticket, decision.reply)
        if self._may_reply_at_once(decision):
            return due
        if self.all_durable:
            valid = self.held_lease.is_valid(now.monotonic_s)
            return (
                due
                if valid
                else DueReply(ticket, not_owner_failure(self.number))
            )
        commit = self._commit_count + (1 if self._open_records else 0)
        self._replies.append(_QueuedReply(due, commit))
        return None

    def _is_full(self):
        pending = len(self._open_records) + len(self._inflight_records)
        return pending >= self._limits.unsaved_records_max

    def append(self, appended, now):
        """Adds records to the open segment and applies them to the state."""
        for record in appended:
            reference = records.Reference(
                self._segment, len(self._open_records)
            )
            ledger.apply(record, self.state, reference, now)
            self._open_records.append(record)

    def expire_claims(self, now, make_line):
        """Expires the claims of failed runners, while the lease is valid.

        `make_line` is as for `ledger.expire_claims`.
        """
        if self.held_lease.is_valid(now.monotonic_s):
            self.append(ledger.expire_claims(self.state, now, make_line), now)

    def seal(self):
        """Seals the open segment; returns the group commit to write.

        It includes a snapshot once the row lists `snapshot_segments`
        segments.
        """
        name, data = "", b""
        if self._open_records:
            name = self._segment
            segment = records.Segment(
                self.number, self.row.epoch, self._open_records
            )
            data = codec.pack(segment)
        segments = self.row.segments + ((name,) if name else ())
        snapshot_name, snapshot = "", b""
        if len(segments) >= self._limits.snapshot_segments:
            snapshot_name = f"snapshots/{self.number:03x}/{self._write_id}"
            snapshot = codec.pack(ledgerstate.save(self.state))
            segments = ()
        row = records.PartitionRow(
            owner="" if self.releasing else self.row.owner,
            epoch=self.row.epoch,
            sequence=self.row.sequence + 1,
            write=self._write_id,
            snapshot=snapshot_name or self.row.snapshot,
            segments=segments,
        )
        self._inflight_records, self._open_records = self._open_records, []
        self._inflight_segment = name
        self._commit_count += 1
        self._write_id = self._new_write_id()
        return GroupCommit(
            name, data, snapshot_name, snapshot, row, self.revision
        )

    def record_commit(self, row, revision, sent_s, now):
        """Records that the group commit is durable; returns its replies.

        `sent_s` is when the write of the row was sent.
        """
        if not self.held_lease.is_valid(now.monotonic_s):
            self._restart_claims(now)
        self.held_lease.record_renewal(sent_s)
        self.row = row
        self.revision = revision
        self.outage = False
        self._inflight_records = []
        self._inflight_segment = ""
        return self._pop_replies(self._commit_count)

    def final_replies(self, took_effect):
        """Returns the replies to all queued commands after losing the lease.

        `took_effect` tells whether the last group commit is durable; None if
        that is unknown. Commands whose records never became durable fail as
        not run.
        """
        replies = []
        if took_effect:
            replies = self._pop_replies(self._commit_count)
        elif took_effect is None:
            failure = not_owner_failure(self.number).as_unknown()
            replies = [
                DueReply(due.ticket, failure)
                for due in self._pop_replies(self._commit_count)
            ]
        failure = not_owner_failure(self.number)
        while self._replies:
            queued = self._replies.popleft()
            replies.append(DueReply(queued.due.ticket, failure))
        return replies

    def _pop_replies(self, commit):
        replies = []
        while self._replies and self._replies[0].commit <= commit:
            replies.append(self._replies.popleft().due)
        return replies

    def _restart_claims(self, now):
        """Restarts the time of every claim: no runner could renew it."""
        expires_at_s = now.monotonic_s + self.state.claim_s
        for claim in self.state.claims.values():
            claim.expires_at_s = expires_at_s

    def _may_reply_at_once(self, decision):
        """Returns whether the reply needs no durable record or lease."""
        reply = decision.reply
        if decision.appended:
            return self.outage and _grants_idempotent(reply)
        if isinstance(reply, messages.RenewReply):
            return True
        if isinstance(reply, messages.BeginReply):
            return self._is_independent_of_owner(reply)
        return False

    def _is_independent_of_owner(self, reply):
        """Returns whether the status is right even if the lease is lost."""
        if reply.standing is messages.RequestStatus.NEW:
            return True
        if reply.standing is not messages.RequestStatus.FINISHED:
            return False
        pending = (self._segment, self._inflight_segment)
        return reply.reference.segment not in pending


def _begins_work(command, decision):
    """Returns whether the command adds a request or job to be stored."""
    begins = isinstance(command, messages.BeginAttempt | messages.SubmitJob)
    return begins and bool(decision.appended)


def _grants_idempotent(reply):
    """Returns whether the reply grants only items that may run twice."""
    if not isinstance(reply, messages.PullReply):
        return False
    return all(grant.accepted.idempotent for grant in reply.grants)


def not_owner_failure(partition):
    """Returns the Failure for a partition that this daemon does not own."""
    reason = f"this daemon does not own partition {partition}"
    return errors.Failure(errors.Kind.NOT_OWNER, reason)


def segment_name(partition, epoch, write):
    """Returns the object name of a segment."""
    return f"segments/{partition:03x}/{epoch:08x}-{write}"


def acquired_row(row, owner, write):
    """Returns the row that a new owner writes to acquire the lease."""
    return msgspec.structs.replace(
        row, owner=owner, epoch=row.epoch + 1, write=write
    )


def new_lease(cfg, sent_s):
    """Returns the lease; the write of its row was sent at `sent_s`."""
    return lease.HeldLease(cfg.lease_ms / 1000, sent_s)
