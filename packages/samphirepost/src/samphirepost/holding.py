"""A partition as its owner holds it: what is open, in flight and durable.

Pure: the owner's actor does the input and output and gives the clocks.
Replies wait here until the records they rest on are durable.
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
    """How much may wait to be stored, and when a snapshot is taken."""

    unsaved_records_max: int
    snapshot_segments: int


class Closing(msgspec.Struct, frozen=True):
    """What is to be written now: a segment, perhaps a snapshot, the row.

    The objects go first; then the row, if it is still at `revision`.
    """

    segment_name: str
    segment: bytes
    snapshot_name: str
    snapshot: bytes
    row: records.Row
    revision: int


class Due(msgspec.Struct, frozen=True):
    """A reply that may go out to whoever waits under `ticket`."""

    ticket: object
    reply: messages.Reply


class _Waiting(msgspec.Struct, frozen=True):
    """A reply that waits until so many closings are durable."""

    due: Due
    closing: int


class Holding:
    """One partition's state, its lease and the replies that wait."""

    def __init__(self, number, row, revision, state, hold, limits, new_write):
        self.number = number
        self.row = row
        self.revision = revision
        self.state = state
        self.hold = hold
        self.outage = False
        self.releasing = False
        self._limits = limits
        self._new_write = new_write
        self._write = new_write()
        self._open = []
        self._inflight = []
        self._inflight_segment = ""
        self._closings = 0
        self._replies = collections.deque()

    @property
    def settled(self):
        """Whether every record is durable."""
        return not self._open and not self._inflight

    @property
    def has_open(self):
        """Whether records wait for the next closing."""
        return bool(self._open)

    @property
    def inflight_records(self):
        """The number of records that are being written."""
        return len(self._inflight)

    @property
    def _segment(self):
        return segment_name(self.number, self.row.epoch, self._write)

    def handle(self, command, ticket, now, live):
        """Decides on a command; returns a Due if its reply may go now."""
        if self.releasing:
            return Due(ticket, not_owner(self.number))
        if self._is_full():
            reason = "too many records wait to be stored"
            full = errors.Failure(errors.Kind.PLATFORM_OUT, reason)
            return Due(ticket, full)
        decision = ledger.decide(command, self.state, now, live)
        if self.outage and _begins_work(command, decision):
            reason = "nothing can be stored now"
            out = errors.Failure(errors.Kind.PLATFORM_OUT, reason)
            return Due(ticket, out)
        self.append(decision.appended, now)
        due = Due(ticket, decision.reply)
        if self._promises_nothing(decision):
            return due
        if self.settled:
            valid = self.hold.valid(now.monotonic_s)
            return due if valid else Due(ticket, not_owner(self.number))
        closing = self._closings + (1 if self._open else 0)
        self._replies.append(_Waiting(due, closing))
        return None

    def _is_full(self):
        unsaved = len(self._open) + len(self._inflight)
        return unsaved >= self._limits.unsaved_records_max

    def append(self, appended, now):
        """Adds records to the open segment and applies them."""
        for record in appended:
            reference = records.Reference(self._segment, len(self._open))
            ledger.apply(record, self.state, reference, now)
            self._open.append(record)

    def lapse(self, now, line):
        """Takes back what lost holders had, while the lease is valid."""
        if self.hold.valid(now.monotonic_s):
            self.append(ledger.lapse(self.state, now, line), now)

    def close(self):
        """Closes the open segment; returns what to write."""
        name, data = "", b""
        if self._open:
            name = self._segment
            segment = records.Segment(self.number, self.row.epoch, self._open)
            data = codec.pack(segment)
        segments = self.row.segments + ((name,) if name else ())
        snapshot_name, snapshot = "", b""
        if len(segments) >= self._limits.snapshot_segments:
            snapshot_name = f"snapshots/{self.number:03x}/{self._write}"
            snapshot = codec.pack(ledgerstate.save(self.state))
            segments = ()
        row = records.Row(
            owner="" if self.releasing else self.row.owner,
            epoch=self.row.epoch,
            sequence=self.row.sequence + 1,
            write=self._write,
            snapshot=snapshot_name or self.row.snapshot,
            segments=segments,
        )
        self._inflight, self._open = self._open, []
        self._inflight_segment = name
        self._closings += 1
        self._write = self._new_write()
        return Closing(name, data, snapshot_name, snapshot, row, self.revision)

    def committed(self, row, revision, asked_s, now):
        """The closing is durable; returns the replies that are due."""
        if not self.hold.valid(now.monotonic_s):
            self._extend_claims(now)
        self.hold.renewed(asked_s)
        self.row = row
        self.revision = revision
        self.outage = False
        self._inflight = []
        self._inflight_segment = ""
        return self._due(self._closings)

    def dropped(self, fenced):
        """The partition is another's; returns the replies that are due.

        A released partition's last closing is durable. A fenced one's never
        took effect, so what it would have said was not done.
        """
        found = [] if fenced else self._due(self._closings)
        lost = not_owner(self.number)
        while self._replies:
            waiting = self._replies.popleft()
            found.append(Due(waiting.due.ticket, lost))
        return found

    def _due(self, closing):
        found = []
        while self._replies and self._replies[0].closing <= closing:
            found.append(self._replies.popleft().due)
        return found

    def _extend_claims(self, now):
        """Gives every claim its full time: no runner could renew it."""
        lapses_at = now.monotonic_s + self.state.claim_s
        for claim in self.state.claims.values():
            claim.lapses_at = lapses_at

    def _promises_nothing(self, decision):
        """Whether the reply may go out before anything is durable."""
        reply = decision.reply
        if decision.appended:
            return self.outage and _grants_idempotent(reply)
        if isinstance(reply, messages.RenewReply):
            return True
        if isinstance(reply, messages.BeginReply):
            return self._is_lasting(reply)
        return False

    def _is_lasting(self, reply):
        """Whether the standing holds whoever owns the partition now."""
        if reply.standing is messages.Standing.NEW:
            return True
        if reply.standing is not messages.Standing.FINISHED:
            return False
        unsaved = (self._segment, self._inflight_segment)
        return reply.reference.segment not in unsaved


def _begins_work(command, decision):
    """Whether something new would be accepted that must be durable."""
    begins = isinstance(command, messages.Begin | messages.Submit)
    return begins and bool(decision.appended)


def _grants_idempotent(reply):
    """Whether these are grants of items that may safely run twice."""
    if not isinstance(reply, messages.PullReply):
        return False
    return all(grant.accepted.idempotent for grant in reply.grants)


def not_owner(partition):
    """Returns the failure of a command for a partition held elsewhere."""
    reason = f"this daemon does not own partition {partition}"
    return errors.Failure(errors.Kind.NOT_OWNER, reason)


def segment_name(partition, epoch, write):
    """Returns the name of the object that holds a segment."""
    return f"segments/{partition:03x}/{epoch:08x}-{write}"


def taken(row, owner, write):
    """Returns the row by which an owner takes the lease."""
    return msgspec.structs.replace(
        row, owner=owner, epoch=row.epoch + 1, write=write
    )


def hold(cfg, asked_s):
    """Returns the lease of an owner that asked for it at `asked_s`."""
    return lease.Hold(cfg.lease_ms / 1000, asked_s)
