"""The actor that owns this daemon's partitions and their group commits.

Each partition has a Committer thread, which calls the platform; only the
actor changes the state of the partitions.
"""

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
from samphirepost_daemon import metrics
from samphirepost_daemon import partitionlog
from samphirepost_daemon import platformapi
from samphirepost_daemon import results

RETRY_INTERVAL_S = 0.1


class HandleCommand(msgspec.Struct, frozen=True):
    """Executes a command; `future` gets the reply once it is durable."""

    partition: int
    command: messages.OwnerCommand
    future: object


class AcquirePartition(msgspec.Struct, frozen=True):
    """Acquires the partition if its row is still at the revision."""

    partition: int
    revision: int


class LeaseAcquired(msgspec.Struct, frozen=True):
    """The lease was acquired.

    `requested_s` is the monotonic time just before the write was sent; the
    lease counts from then.
    """

    partition: int
    row: records.PartitionRow
    revision: int
    state: object
    requested_s: float


class SealSegment(msgspec.Struct, frozen=True):
    """Seals the open segment.

    The reply is the group commit to write, or None if the partition is no
    longer owned.
    """

    partition: int


class CommitSucceeded(msgspec.Struct, frozen=True):
    """The group commit is durable."""

    partition: int
    row: records.PartitionRow
    revision: int
    requested_s: float


class WriteNotDurable(msgspec.Struct, frozen=True):
    """A write is not durable yet; the committer retries it."""

    partition: int


class PartitionDropped(msgspec.Struct, frozen=True):
    """This daemon no longer owns the partition.

    `fenced` is true if another daemon took it over, false if the partition
    was released or never acquired. `took_effect` tells whether the last group
    commit is durable; None if that is unknown.
    """

    partition: int
    fenced: bool
    took_effect: bool | None


class ReleasePartition(msgspec.Struct, frozen=True):
    """Releases the partition once its records are durable."""

    partition: int


class ResultsAssembled(msgspec.Struct, frozen=True):
    """A job's results were written to one object.

    `results` is the name of the object, empty if the write failed.
    """

    partition: int
    work: str
    results: str


class Tick(msgspec.Struct, frozen=True):
    """Expires claims; sent at a fixed interval."""


class GetOwnedPartitions(msgspec.Struct, frozen=True):
    """Requests the numbers of the partitions owned or being acquired."""


class GetPendingPartitions(msgspec.Struct, frozen=True):
    """Requests the numbers of the partitions with pending items."""


class Committer(threading.Thread):
    """Acquires one partition's lease, then commits and renews it.

    Set `wake` to commit at once instead of at the next renewal.
    """

    def __init__(self, request, actor, services, cfg, clock, owner):
        super().__init__(daemon=True)
        self.wake = threading.Event()
        self._request = request
        self._partition = request.partition
        self._actor = actor
        self._services = services
        self._cfg = cfg
        self._clock = clock
        self._owner = owner

    def run(self):
        try:
            if self._acquire_lease():
                self._commit_forever()
        except pykka.ActorDeadError:
            return
        except Exception as exc:
            # The partition must be free for another owner.
            eliot.log_message(
                message_type="partition:fault",
                partition=self._partition,
                error=repr(exc),
            )
            self._report_dropped(True, None)

    def _acquire_lease(self):
        number = self._partition
        loaded = self._load()
        requested_s = self._clock.monotonic_s()
        if isinstance(loaded, errors.Failure):
            return self._report_dropped(False)
        if loaded.row.owner and loaded.revision != self._request.revision:
            return self._report_dropped(False)
        row = ownedpartition.acquired_row(
            loaded.row, self._owner, platformapi.new_write_id()
        )
        new_revision = self._write_row(row, loaded.revision)
        if new_revision is None:
            return self._report_dropped(False)
        self._actor.ask(
            LeaseAcquired(number, row, new_revision, loaded.state, requested_s)
        )
        return True

    def _load(self):
        """Returns the partition; a Failure also if it cannot be decoded."""
        now = self._clock.now()
        try:
            return partitionlog.load_partition(
                self._services, self._partition, self._cfg, now
            )
        except msgspec.DecodeError as exc:
            eliot.log_message(
                message_type="partition:unreadable",
                partition=self._partition,
                error=str(exc),
            )
            return errors.Failure(errors.Kind.PLATFORM_OUT, str(exc))

    def _report_dropped(self, fenced, took_effect=True):
        """Reports that the partition is not owned here; returns False."""
        self._actor.tell(
            PartitionDropped(self._partition, fenced, took_effect)
        )
        return False

    def _write_row(self, row, revision):
        """Writes until the outcome is known.

        Returns the new revision, or None if another write came first.
        """
        key = partitionlog.row_key(self._partition)
        while True:
            outcome = partitionlog.write_row(
                self._services.table, self._partition, row, revision
            )
            if isinstance(outcome, platformapi.Written):
                return outcome.revisions[key]
            if isinstance(outcome, platformapi.Conflict):
                return None
            self._actor.tell(WriteNotDurable(self._partition))
            self.wake.wait(RETRY_INTERVAL_S)

    def _commit_forever(self):
        interval_s = self._cfg.commit_interval_ms / 1000
        renew_s = self._cfg.lease_ms / 1000 / 4
        while True:
            if self.wake.wait(renew_s):
                self.wake.clear()
            commit = self._actor.ask(SealSegment(self._partition))
            if commit is None:
                return
            if not self._write_commit(commit):
                return
            threading.Event().wait(interval_s)

    def _write_commit(self, commit):
        requested_s = self._clock.monotonic_s()
        self._put_object(commit.segment_name, commit.segment)
        self._put_object(commit.snapshot_name, commit.snapshot)
        revision = self._write_row(commit.row, commit.revision)
        if revision is None:
            took_effect = partitionlog.has_taken_effect(
                self._services.table, self._partition, commit
            )
            return self._report_dropped(True, took_effect)
        if not commit.row.owner:
            return self._report_dropped(False)
        self._actor.ask(
            CommitSucceeded(self._partition, commit.row, revision, requested_s)
        )
        return True

    def _put_object(self, name, data):
        """Stores an object, with retries until it succeeds.

        An empty name means that there is no object to store.
        """
        while name:
            failure = self._services.objects.put(name, data)
            if failure is None:
                return
            self._actor.tell(WriteNotDurable(self._partition))
            threading.Event().wait(RETRY_INTERVAL_S)


class LedgerActor(pykka.ThreadingActor):
    """Owns partitions; executes commands and replies once durable."""

    def __init__(self, name, cfg, services, clock, is_live):
        super().__init__()
        self._name = name
        self._cfg = cfg
        self._services = services
        self._clock = clock
        self._is_live = is_live
        self._owned = {}
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
    def _(self, message: HandleCommand):
        owned = self._owned.get(message.partition)
        if owned is None:
            message.future.set_result(
                ownedpartition.not_owner_failure(message.partition)
            )
            return
        ready_reply = owned.handle(
            message.command, message.future, self._clock.now(), self._is_live
        )
        if ready_reply is not None:
            ready_reply.ticket.set_result(ready_reply.reply)
        self._wake(owned)

    def _wake(self, owned):
        if owned.has_open_records:
            self._committers[owned.number].wake.set()

    @_receive.register
    def _(self, message: AcquirePartition):
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
    def _(self, message: LeaseAcquired):
        self._owned[message.partition] = ownedpartition.OwnedPartition(
            message.partition,
            message.row,
            message.revision,
            message.state,
            ownedpartition.new_lease(self._cfg, message.requested_s),
            ownedpartition.Limits(
                self._cfg.unsaved_records_max, self._cfg.snapshot_segments
            ),
            platformapi.new_write_id,
        )
        metrics.PARTITIONS.set(len(self._owned))
        eliot.log_message(
            message_type="partition:acquired",
            partition=message.partition,
            epoch=message.row.epoch,
        )

    @_receive.register
    def _(self, message: SealSegment):
        owned = self._owned.get(message.partition)
        return None if owned is None else owned.seal()

    @_receive.register
    def _(self, message: CommitSucceeded):
        owned = self._owned[message.partition]
        metrics.RECORDS.inc(owned.inflight_count)
        replies = owned.record_commit(
            message.row,
            message.revision,
            message.requested_s,
            self._clock.now(),
        )
        _send_replies(replies)
        self._assemble(owned)
        self._wake(owned)

    @_receive.register
    def _(self, message: WriteNotDurable):
        owned = self._owned.get(message.partition)
        if owned is None or owned.outage:
            return
        owned.outage = True
        eliot.log_message(
            message_type="partition:unsaved", partition=message.partition
        )

    @_receive.register
    def _(self, message: PartitionDropped):
        self._committers.pop(message.partition, None)
        owned = self._owned.pop(message.partition, None)
        metrics.PARTITIONS.set(len(self._owned))
        if owned is None:
            return
        if message.fenced:
            metrics.FENCED.inc()
        _send_replies(owned.final_replies(message.took_effect))
        eliot.log_message(
            message_type="partition:dropped",
            partition=message.partition,
            fenced=message.fenced,
        )

    @_receive.register
    def _(self, message: ReleasePartition):
        owned = self._owned.get(message.partition)
        if owned is not None:
            owned.releasing = True
            self._committers[message.partition].wake.set()

    @_receive.register
    def _(self, message: Tick):
        now = self._clock.now()
        for owned in self._owned.values():
            owned.expire_claims(now, results.failed_runner_line)
            self._wake(owned)

    def _assemble(self, owned):
        for job in ledger.completed_jobs(owned.state):
            work = job.accepted.work
            if work in self._assembling:
                continue
            self._assembling.add(work)
            locations = results.ResultLocations(
                job.accepted,
                tuple(job.names),
                tuple(job.segments),
                tuple(job.positions),
            )
            self._pool.submit(self._write_results, owned.number, locations)

    def _write_results(self, number, locations):
        name = results.store_job_results(self._services.objects, locations)
        if isinstance(name, errors.Failure):
            name = ""
        self.actor_ref.tell(
            ResultsAssembled(number, locations.accepted.work, name)
        )

    @_receive.register
    def _(self, message: ResultsAssembled):
        self._assembling.discard(message.work)
        owned = self._owned.get(message.partition)
        if owned is None or not message.results:
            return
        record = records.JobCompleted(message.work, message.results)
        owned.append((record,), self._clock.now())
        self._wake(owned)
        eliot.log_message(message_type="job:completed", job=message.work)

    @_receive.register
    def _(self, message: GetOwnedPartitions):
        return frozenset(self._committers)

    @_receive.register
    def _(self, message: GetPendingPartitions):
        return tuple(
            sorted(
                number
                for number, owned in self._owned.items()
                if any(
                    job.has_queued_items for job in owned.state.jobs.values()
                )
            )
        )


def _send_replies(replies):
    for ready_reply in replies:
        ready_reply.ticket.set_result(ready_reply.reply)
