"""The actor that owns this daemon's partitions and commits in groups."""

import concurrent.futures
import functools
import threading

import eliot
import msgspec
import pykka

from samphirepost import errors
from samphirepost import ledger
from samphirepost import messages
from samphirepost import ownedpartition
from samphirepost import records
from samphirepost_daemon import backing
from samphirepost_daemon import commits
from samphirepost_daemon import metrics
from samphirepost_daemon import results

RETRY_S = 0.1


class Handle(msgspec.Struct, frozen=True):
    """A command for the partition, and the future of its reply."""

    partition: int
    command: messages.OwnerCommand
    future: object


class Acquire(msgspec.Struct, frozen=True):
    """Take the partition if its row is still at the revision."""

    partition: int
    revision: int


class Acquired(msgspec.Struct, frozen=True):
    """The lease was taken; `asked_s` is when it was asked for."""

    partition: int
    row: records.PartitionRow
    revision: int
    state: object
    asked_s: float


class Close(msgspec.Struct, frozen=True):
    """Asks for the open segment, to be written now."""

    partition: int


class Committed(msgspec.Struct, frozen=True):
    """The closing is durable."""

    partition: int
    row: records.PartitionRow
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
        number = self._partition
        loaded = self._load()
        asked_s = self._clock.monotonic_s()
        if isinstance(loaded, errors.Failure):
            return self._drop(False)
        if loaded.row.owner and loaded.revision != self._acquire.revision:
            return self._drop(False)
        row = ownedpartition.acquired_row(
            loaded.row, self._owner, backing.write_id()
        )
        written = self._settle(row, loaded.revision)
        if written is None:
            return self._drop(False)
        self._actor.ask(Acquired(number, row, written, loaded.state, asked_s))
        return True

    def _load(self):
        """Returns the partition; what cannot be read counts as a Failure."""
        now = self._clock.now()
        try:
            return commits.load(
                self._services, self._partition, self._cfg, now
            )
        except msgspec.DecodeError as exc:
            eliot.log_message(
                message_type="partition:unreadable",
                partition=self._partition,
                error=str(exc),
            )
            return errors.Failure(errors.Kind.PLATFORM_OUT, str(exc))

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
            if isinstance(outcome, backing.Written):
                return outcome.revisions[key]
            if isinstance(outcome, backing.Conflict):
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
        self._held = {}
        self._committers = {}
        self._assembling = set()
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
        held = self._held.get(message.partition)
        if held is None:
            message.future.set_result(
                ownedpartition.not_owner_failure(message.partition)
            )
            return
        due = held.handle(
            message.command, message.future, self._clock.now(), self._live
        )
        if due is not None:
            due.ticket.set_result(due.reply)
        self._wake(held)

    def _wake(self, held):
        if held.has_open_records:
            self._committers[held.number].wake.set()

    @_receive.register
    def _(self, message: Acquire):
        number = message.partition
        if number in self._committers:
            return
        committer = Committer(
            message,
            self.actor_ref,
            self._services,
            self._cfg,
            self._clock,
            self._name,
        )
        self._committers[number] = committer
        committer.start()

    @_receive.register
    def _(self, message: Acquired):
        self._held[message.partition] = ownedpartition.OwnedPartition(
            message.partition,
            message.row,
            message.revision,
            message.state,
            ownedpartition.new_lease(self._cfg, message.asked_s),
            ownedpartition.Limits(
                self._cfg.unsaved_records_max, self._cfg.snapshot_segments
            ),
            backing.write_id,
        )
        metrics.PARTITIONS.set(len(self._held))
        eliot.log_message(
            message_type="partition:acquired",
            partition=message.partition,
            epoch=message.row.epoch,
        )

    @_receive.register
    def _(self, message: Close):
        held = self._held.get(message.partition)
        return None if held is None else held.seal()

    @_receive.register
    def _(self, message: Committed):
        held = self._held[message.partition]
        metrics.RECORDS.inc(held.inflight_count)
        found = held.record_commit(
            message.row, message.revision, message.asked_s, self._clock.now()
        )
        _send(found)
        self._assemble(held)
        self._wake(held)

    @_receive.register
    def _(self, message: Unsettled):
        held = self._held.get(message.partition)
        if held is None or held.outage:
            return
        held.outage = True
        eliot.log_message(
            message_type="partition:unsaved", partition=message.partition
        )

    @_receive.register
    def _(self, message: Dropped):
        self._committers.pop(message.partition, None)
        held = self._held.pop(message.partition, None)
        metrics.PARTITIONS.set(len(self._held))
        if held is None:
            return
        if message.fenced:
            metrics.FENCED.inc()
        _send(held.final_replies(message.fenced))
        eliot.log_message(
            message_type="partition:dropped",
            partition=message.partition,
            fenced=message.fenced,
        )

    @_receive.register
    def _(self, message: Release):
        held = self._held.get(message.partition)
        if held is not None:
            held.releasing = True
            self._committers[message.partition].wake.set()

    @_receive.register
    def _(self, message: Tick):
        now = self._clock.now()
        for held in self._held.values():
            held.expire_claims(now, results.ended_line)
            self._wake(held)

    def _assemble(self, held):
        for job in ledger.completed_jobs(held.state):
            work = job.accepted.work
            if work in self._assembling:
                continue
            self._assembling.add(work)
            places = results.Places(
                job.accepted,
                tuple(job.names),
                tuple(job.segments),
                tuple(job.positions),
            )
            self._pool.submit(self._write_results, held.number, places)

    def _write_results(self, number, places):
        found = results.assemble(self._services.objects, places)
        if isinstance(found, errors.Failure):
            found = ""
        self.actor_ref.tell(Assembled(number, places.accepted.work, found))

    @_receive.register
    def _(self, message: Assembled):
        self._assembling.discard(message.work)
        held = self._held.get(message.partition)
        if held is None or not message.results:
            return
        record = records.JobCompleted(message.work, message.results)
        held.append((record,), self._clock.now())
        self._wake(held)
        eliot.log_message(message_type="job:completed", job=message.work)

    @_receive.register
    def _(self, message: Owned):
        return frozenset(self._committers)

    @_receive.register
    def _(self, message: Waiting):
        return tuple(
            sorted(
                number
                for number, held in self._held.items()
                if any(
                    job.has_queued_items for job in held.state.jobs.values()
                )
            )
        )


def _send(found):
    for due in found:
        due.ticket.set_result(due.reply)
