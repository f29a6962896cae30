"""The actor that owns this daemon's partitions and commits in groups."""

import concurrent.futures
import functools
import threading

import eliot
import msgspec
import pykka

from samphirepost import codec
from samphirepost import errors
from samphirepost import lease
from samphirepost import ledger
from samphirepost import messages
from samphirepost import records
from samphirepost_daemon import commits
from samphirepost_daemon import metrics
from samphirepost_daemon import platform
from samphirepost_daemon import results

RETRY_S = 0.1


class Handle(msgspec.Struct, frozen=True):
    """A command for the partition, and the future of its reply."""

    partition: int
    command: messages.OWNED
    future: object


class Acquire(msgspec.Struct, frozen=True):
    """Take the partition if its row is still at the revision."""

    partition: int
    revision: int


class Acquired(msgspec.Struct, frozen=True):
    """The lease was taken; `asked_s` is when it was asked for."""

    partition: int
    row: records.Row
    revision: int
    state: object
    asked_s: float


class Close(msgspec.Struct, frozen=True):
    """Asks for the open segment, to be written now."""

    partition: int


class Closing(msgspec.Struct, frozen=True):
    """What a committer writes: a segment, perhaps a snapshot, the row."""

    segment_name: str
    segment: bytes
    snapshot_name: str
    snapshot: bytes
    row: records.Row
    revision: int


class Committed(msgspec.Struct, frozen=True):
    """The closing is durable."""

    partition: int
    row: records.Row
    revision: int
    asked_s: float


class Unsettled(msgspec.Struct, frozen=True):
    """The closing could not be settled yet."""

    partition: int


class Dropped(msgspec.Struct, frozen=True):
    """The partition is no longer this daemon's."""

    partition: int
    fenced: bool


class Release(msgspec.Struct, frozen=True):
    """Hand the partition back once its records are durable."""

    partition: int


class Assembled(msgspec.Struct, frozen=True):
    """A finished job's results lie in one object; empty if that failed."""

    partition: int
    work: str
    results: str


class Tick(msgspec.Struct, frozen=True):
    """Look after claims and finished jobs."""


class Owned(msgspec.Struct, frozen=True):
    """Asks for the numbers of the partitions owned or being taken."""


class Waiting(msgspec.Struct, frozen=True):
    """Asks for the partitions that have items to hand out."""


class Partition:
    """A partition that this daemon owns."""

    __slots__ = (
        "assembling",
        "committer",
        "hold",
        "inflight",
        "inflight_name",
        "number",
        "open",
        "outage",
        "releasing",
        "replies",
        "revision",
        "row",
        "state",
        "write",
    )

    def __init__(self, acquired, hold, committer):
        self.number = acquired.partition
        self.row = acquired.row
        self.revision = acquired.revision
        self.state = acquired.state
        self.hold = hold
        self.committer = committer
        self.open = []
        self.write = platform.write_id()
        self.inflight = []
        self.inflight_name = ""
        self.replies = []
        self.outage = False
        self.releasing = False
        self.assembling = set()

    @property
    def segment_name(self):
        """The name of the open segment."""
        return commits.segment_name(self.number, self.row.epoch, self.write)

    @property
    def settled(self):
        """Whether every record is durable."""
        return not self.open and not self.inflight


class Committer(threading.Thread):
    """Takes one partition's lease, then commits and renews it."""

    def __init__(self, acquire, actor, services, cfg, clock, owner):
        super().__init__(daemon=True)
        self.wake = threading.Event()
        self._acquire = acquire
        self._partition = acquire.partition
        self._actor = actor
        self._services = services
        self._cfg = cfg
        self._clock = clock
        self._owner = owner

    def run(self):
        try:
            if self._take():
                self._commit_forever()
        except pykka.ActorDeadError:
            return

    def _take(self):
        services = self._services
        number = self._partition
        loaded = commits.load(services, number, self._cfg, self._clock.now())
        asked_s = self._clock.monotonic_s()
        if isinstance(loaded, errors.Failure):
            return self._drop(False)
        if loaded.row.owner and loaded.revision != self._acquire.revision:
            return self._drop(False)
        row = msgspec.structs.replace(
            loaded.row,
            owner=self._owner,
            epoch=loaded.row.epoch + 1,
            write=platform.write_id(),
        )
        written = self._settle(row, loaded.revision)
        if written is None:
            return self._drop(False)
        self._actor.ask(Acquired(number, row, written, loaded.state, asked_s))
        return True

    def _drop(self, fenced):
        self._actor.tell(Dropped(self._partition, fenced))
        return False

    def _settle(self, row, revision):
        """Returns the new revision, or None if another write came first."""
        key = commits.row_key(self._partition)
        while True:
            outcome = commits.write_row(
                self._services.table, self._partition, row, revision
            )
            if isinstance(outcome, platform.Written):
                return outcome.revisions[key]
            if isinstance(outcome, platform.Conflict):
                return None
            self._actor.tell(Unsettled(self._partition))
            self.wake.wait(RETRY_S)

    def _commit_forever(self):
        interval_s = self._cfg.commit_interval_ms / 1000
        renew_s = self._cfg.lease_ms / 1000 / 4
        while True:
            if self.wake.wait(renew_s):
                self.wake.clear()
            closing = self._actor.ask(Close(self._partition))
            if closing is None:
                return
            if not self._write(closing):
                return
            threading.Event().wait(interval_s)

    def _write(self, closing):
        asked_s = self._clock.monotonic_s()
        self._put(closing.segment_name, closing.segment)
        self._put(closing.snapshot_name, closing.snapshot)
        revision = self._settle(closing.row, closing.revision)
        if revision is None:
            return self._drop(True)
        if not closing.row.owner:
            return self._drop(False)
        self._actor.ask(
            Committed(self._partition, closing.row, revision, asked_s)
        )
        return True

    def _put(self, name, data):
        while name:
            failure = self._services.objects.put(name, data)
            if failure is None:
                return
            self._actor.tell(Unsettled(self._partition))
            threading.Event().wait(RETRY_S)


class LedgerActor(pykka.ThreadingActor):
    """Owns partitions, decides on commands and replies when durable."""

    def __init__(self, name, cfg, services, clock, live):
        super().__init__()
        self._name = name
        self._cfg = cfg
        self._services = services
        self._clock = clock
        self._live = live
        self._partitions = {}
        self._taking = {}
        self._pool = concurrent.futures.ThreadPoolExecutor(4)

    def on_receive(self, message):
        return self._receive(message)

    def on_stop(self):
        self._pool.shutdown(wait=False)

    @functools.singledispatchmethod
    def _receive(self, message):
        raise TypeError(type(message))

    @_receive.register
    def _(self, message: Handle):
        partition = self._partitions.get(message.partition)
        if partition is None or partition.releasing:
            message.future.set_result(_not_owner(message.partition))
            return
        if self._unsaved(partition) >= self._cfg.unsaved_records_max:
            reason = "too many records wait to be stored"
            message.future.set_result(
                errors.Failure(errors.Kind.PLATFORM_OUT, reason)
            )
            return
        now = self._clock.now()
        decision = ledger.decide(
            message.command, partition.state, now, self._live
        )
        self._append(partition, decision.appended, now)
        self._reply_later(partition, message, decision, now)

    def _unsaved(self, partition):
        return len(partition.open) + len(partition.inflight)

    def _append(self, partition, found, now):
        for record in found:
            reference = records.Reference(
                partition.segment_name, len(partition.open)
            )
            ledger.apply(record, partition.state, reference, now)
            partition.open.append(record)
        if found:
            partition.committer.wake.set()

    def _reply_later(self, partition, message, decision, now):
        if _needs_no_wait(decision, partition):
            message.future.set_result(decision.reply)
            return
        if partition.settled:
            valid = partition.hold.valid(now.monotonic_s)
            reply = decision.reply if valid else _not_owner(partition.number)
            message.future.set_result(reply)
            return
        partition.replies.append((message.future, decision.reply))

    @_receive.register
    def _(self, message: Acquire):
        number = message.partition
        if number in self._partitions or number in self._taking:
            return
        committer = Committer(
            message,
            self.actor_ref,
            self._services,
            self._cfg,
            self._clock,
            self._name,
        )
        self._taking[number] = committer
        committer.start()

    @_receive.register
    def _(self, message: Acquired):
        hold = lease.Hold(self._cfg.lease_ms / 1000, message.asked_s)
        committer = self._taking.pop(message.partition)
        partition = Partition(message, hold, committer)
        self._partitions[message.partition] = partition
        metrics.PARTITIONS.set(len(self._partitions))
        eliot.log_message(
            message_type="partition:acquired",
            partition=message.partition,
            epoch=message.row.epoch,
        )

    @_receive.register
    def _(self, message: Close):
        partition = self._partitions.get(message.partition)
        if partition is None:
            return None
        return self._close(partition)

    def _close(self, partition):
        row = partition.row
        name = ""
        data = b""
        if partition.open:
            name = partition.segment_name
            segment = records.Segment(
                partition.number, row.epoch, partition.open
            )
            data = codec.pack(segment)
        segments = row.segments + ((name,) if name else ())
        snapshot_name = ""
        snapshot = b""
        if len(segments) >= self._cfg.snapshot_segments:
            snapshot_name = f"snapshots/{partition.write}"
            snapshot = codec.pack(ledger.save(partition.state))
            segments = ()
        closing = msgspec.structs.replace(
            row,
            owner="" if partition.releasing else row.owner,
            sequence=row.sequence + 1,
            write=partition.write,
            snapshot=snapshot_name or row.snapshot,
            segments=segments,
        )
        partition.inflight = partition.open
        partition.inflight_name = name
        partition.open = []
        partition.replies.append(None)
        partition.write = platform.write_id()
        return Closing(
            name, data, snapshot_name, snapshot, closing, partition.revision
        )

    @_receive.register
    def _(self, message: Committed):
        partition = self._partitions[message.partition]
        metrics.RECORDS.inc(len(partition.inflight))
        if not partition.hold.valid(self._clock.monotonic_s()):
            self._extend_claims(partition)
        partition.hold.renewed(message.asked_s)
        partition.row = message.row
        partition.revision = message.revision
        partition.inflight = []
        partition.inflight_name = ""
        partition.outage = False
        self._send_replies(partition)
        self._assemble(partition)
        if partition.open:
            partition.committer.wake.set()

    def _extend_claims(self, partition):
        """Gives every claim its full time: no runner could renew it."""
        lapses_at = self._clock.monotonic_s() + self._cfg.claim_ms / 1000
        for claim in partition.state.claims.values():
            claim.lapses_at = lapses_at

    def _send_replies(self, partition):
        while partition.replies:
            waiting = partition.replies.pop(0)
            if waiting is None and partition.open:
                return
            if waiting is None:
                continue
            future, reply = waiting
            future.set_result(reply)

    @_receive.register
    def _(self, message: Unsettled):
        partition = self._partitions.get(message.partition)
        if partition is None or partition.outage:
            return
        partition.outage = True
        eliot.log_message(
            message_type="partition:unsaved", partition=message.partition
        )

    @_receive.register
    def _(self, message: Dropped):
        self._taking.pop(message.partition, None)
        partition = self._partitions.pop(message.partition, None)
        metrics.PARTITIONS.set(len(self._partitions))
        if partition is None:
            return
        if message.fenced:
            metrics.FENCED.inc()
        self._end_replies(partition, message.fenced)
        eliot.log_message(
            message_type="partition:dropped",
            partition=message.partition,
            fenced=message.fenced,
        )

    def _end_replies(self, partition, fenced):
        durable = not fenced
        for waiting in partition.replies:
            if waiting is None:
                durable = False
                continue
            future, reply = waiting
            future.set_result(
                reply if durable else _not_owner(partition.number)
            )

    @_receive.register
    def _(self, message: Release):
        partition = self._partitions.get(message.partition)
        if partition is not None:
            partition.releasing = True
            partition.committer.wake.set()

    @_receive.register
    def _(self, message: Tick):
        now = self._clock.now()
        for partition in self._partitions.values():
            if partition.hold.valid(now.monotonic_s):
                found = ledger.lapse(partition.state, now, results.ended_line)
                self._append(partition, found, now)

    def _assemble(self, partition):
        for job in ledger.completed(partition.state):
            work = job.accepted.work
            if work in partition.assembling:
                continue
            partition.assembling.add(work)
            places = results.Places(
                job.accepted,
                tuple(job.names),
                tuple(job.segments),
                tuple(job.positions),
            )
            self._pool.submit(self._write_results, partition.number, places)

    def _write_results(self, number, places):
        found = results.assemble(self._services.objects, places)
        if isinstance(found, errors.Failure):
            found = ""
        self.actor_ref.tell(Assembled(number, places.accepted.work, found))

    @_receive.register
    def _(self, message: Assembled):
        partition = self._partitions.get(message.partition)
        if partition is None:
            return
        partition.assembling.discard(message.work)
        if not message.results:
            return
        record = records.JobCompleted(message.work, message.results)
        self._append(partition, (record,), self._clock.now())
        eliot.log_message(message_type="job:completed", job=message.work)

    @_receive.register
    def _(self, message: Owned):
        return frozenset(self._partitions) | frozenset(self._taking)

    @_receive.register
    def _(self, message: Waiting):
        return tuple(
            sorted(
                number
                for number, partition in self._partitions.items()
                if any(j.waiting for j in partition.state.jobs.values())
            )
        )


def _needs_no_wait(decision, partition):
    """Whether the reply promises nothing that must be durable first."""
    reply = decision.reply
    if decision.appended:
        return partition.outage and _grants_idempotent(reply)
    if isinstance(reply, messages.RenewReply):
        return True
    if isinstance(reply, messages.BeginReply):
        return _is_lasting(reply, partition)
    return False


def _is_lasting(reply, partition):
    """Whether the standing holds whoever owns the partition now."""
    if reply.standing is messages.Standing.NEW:
        return True
    if reply.standing is not messages.Standing.FINISHED:
        return False
    unsaved = (partition.segment_name, partition.inflight_name)
    return reply.reference.segment not in unsaved


def _grants_idempotent(reply):
    """Whether these are grants of items that may safely run twice."""
    if not isinstance(reply, messages.PullReply):
        return False
    return all(grant.accepted.idempotent for grant in reply.grants)


def _not_owner(partition):
    reason = f"this daemon does not own partition {partition}"
    return errors.Failure(errors.Kind.NOT_OWNER, reason)
