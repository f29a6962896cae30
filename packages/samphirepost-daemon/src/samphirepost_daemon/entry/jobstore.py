"""Reads and writes the entry daemon's batch jobs in the store.

A job's rows (TABLE/KEY) are in the part of each table that is named after the
job's host:

- `jobs/ID`: its head, written once together with the record;
- `pieces/ID/N`: the record in chunks (a large record is an object instead);
- `open/ID`: its progress, while it is open; each write of results replaces
  this row on condition that its revision is unchanged;
- `partials/ID/INDEX/N`: checkpoints of the output of unfinished items, from
  which a job's next holder resumes;
- `results/ID/POSITION/N`: the results, in chunks.

The row `admissions/ROUTE` is rewritten with each accepted job, so that two
daemons cannot both admit a job into the same free tokens. Each organisation
has a row of its own, `admissions/ROUTE/NAME`, as each has its own limit.
"""

import collections
import hashlib
import secrets
import threading

import msgspec

from samphirepost import batchjob
from samphirepost import codec
from samphirepost import errors
from samphirepost import memorybudget
from samphirepost_daemon.entry import chunks
from samphirepost_daemon.entry import recordcache
from samphirepost_daemon.entry import store

# A transaction holds at most 1 MB and 100 entries; a larger record is
# written as an object.
INLINE_RECORD_BYTES_MAX = 500_000
# Results and their bytes in one commit, within the same limits.
COMMIT_RESULTS_MAX = 20
COMMIT_BYTES_MAX = 400_000
# A response with results has at most 1 MB, and JSON escapes lengthen the text.
RESULTS_TEXT_BYTES_MAX = 700_000
# Heads cached for callers that read jobs.
CACHED_HEADS_MAX = 2000
# Longest wait (s) of a read of a record for another one: a record may be as
# large as all that is kept of them.
RECORD_WAIT_S = 0.5
# Attempts at a commit that conflicts with the commits of other daemons.
COMMIT_ATTEMPTS_MAX = 8


class AcceptedJob(msgspec.Struct, frozen=True):
    """A durable job; `is_new` is true if this call wrote it."""

    is_new: bool
    progress: batchjob.Progress | None = None
    revision: int = 0
    store_ms: int = 0


class QuotaExceeded(msgspec.Struct, frozen=True):
    """The job would exceed its route's limit of queued tokens."""

    queued_tokens: int
    limit_tokens: int


class OpenJob(msgspec.Struct, frozen=True):
    """An open job: its key, and its progress at a revision and store time."""

    host: str
    job_id: str
    revision: int
    progress: batchjob.Progress
    store_ms: int


class ResultsPage(msgspec.Struct, frozen=True):
    """Results from a position on, and the job's number of items."""

    total: int
    results: tuple[batchjob.Result, ...]


class JobNotFound(msgspec.Struct, frozen=True):
    """The job or item does not exist, or this daemon is not its holder."""


class LruCache:
    """A cache of the most recently used values; thread-safe."""

    def __init__(self, size):
        self._size = size
        self._values = collections.OrderedDict()
        self._lock = threading.Lock()

    def get(self, key):
        """Returns the value of a key, or None."""
        with self._lock:
            if key in self._values:
                self._values.move_to_end(key)
            return self._values.get(key)

    def put(self, key, value):
        """Sets a value and evicts the least recently used ones."""
        with self._lock:
            self._values[key] = value
            while len(self._values) > self._size:
                self._values.popitem(last=False)


class JobStore:
    """Access to the jobs in the store; thread-safe.

    Rows that cannot be read are skipped and logged, if there is a `log`.
    `budget` is the memorybudget.Budget of the records that are kept; by
    default, that of a VM of unknown size.
    """

    def __init__(
        self, client, daemon_id, row_bytes_max, log=None, budget=None
    ):
        self._store = client
        self._log = log
        self._daemon_id = daemon_id
        self._chunker = chunks.Chunker(row_bytes_max)
        self._head_cache = LruCache(CACHED_HEADS_MAX)
        self._records = recordcache.RecordCache(
            budget or memorybudget.Budget(memorybudget.budget_bytes(0))
        )
        self._record_lock = threading.Lock()

    def submit(self, record, route):
        """Writes a new job if its route's token limit admits it.

        Returns AcceptedJob, QuotaExceeded or a Failure; the job may exist if
        the failure's outcome is UNKNOWN. Returns JobNotFound if another
        organisation's job has its id.
        """
        data = codec.pack(record)
        name = _object_name(record.host, record.id, data)
        rows = {}
        if len(data) > INLINE_RECORD_BYTES_MAX:
            failure = self._store.put_object(name, data)
            if failure is not None:
                return failure
        else:
            name = ""
            key = store.Key("pieces", record.host, record.id)
            rows = self._chunker.split_to_rows(key, data)
        for _ in range(COMMIT_ATTEMPTS_MAX):
            found = self._try_admission(record, route, rows, name)
            if found is None:
                continue
            if isinstance(found, AcceptedJob) and found.is_new:
                self._records.put((record.host, record.id), record)
            return found
        reason = "too many jobs are submitted at once"
        return errors.Failure(errors.Kind.OVERLOADED, reason)

    def _try_admission(self, record, route, rows, name):
        """Makes one attempt at submit(); returns None after a conflict."""
        host = record.host
        admission_key = store.Key(
            "admissions", host, _admission_name(route, record.organisation)
        )
        row = store.read_one(self._store, admission_key)
        if isinstance(row, errors.Failure):
            return row.as_not_run()
        queued = self._queued_tokens(host, route, record.organisation)
        if isinstance(queued, errors.Failure):
            return queued.as_not_run()
        store_ms, queued_tokens = queued
        job_tokens = sum(item.tokens for item in record.items)
        limit = route.waiting_tokens_max
        if limit and queued_tokens + job_tokens > limit:
            return self.accepted_or(
                record, QuotaExceeded(queued_tokens, limit)
            )
        head = batchjob.Head(
            len(record.items),
            route.name,
            len(rows),
            name,
            store_ms,
            record.organisation,
        )
        progress = batchjob.Progress(
            route=route.name,
            holder=self._daemon_id,
            beat=0,
            waiting_tokens=job_tokens,
            due_ms=store_ms + int(route.completion_s * 1000),
            give_up_ms=store_ms + int(route.retention_s * 1000),
            organisation=record.organisation,
        )
        return self._commit_admission(
            record, admission_key, row, head, progress, rows
        )

    def _commit_admission(
        self, record, admission_key, row, head, progress, rows
    ):
        host = record.host
        job_key = store.Key("jobs", host, record.id)
        open_key = store.Key("open", host, record.id)
        puts = {
            admission_key: self._daemon_id.encode(),
            job_key: codec.pack(head),
            open_key: codec.pack(progress),
            **rows,
        }
        expected = {job_key: store.ABSENT}
        expected[admission_key] = store.ABSENT if row is None else row.revision
        found = self._store.commit(store.Transaction(expected, puts))
        if isinstance(found, store.CommitReceipt):
            self._head_cache.put((host, record.id), head)
            return AcceptedJob(
                True, progress, found.revision, head.submitted_ms
            )
        if isinstance(found, store.Conflict):
            if found.get(job_key) is not None:
                return self.accepted_or(record, None)
            return None
        if found.outcome is errors.Outcome.NOT_RUN:
            return found
        outcome = self.accepted_or(record, found)
        return outcome

    def accepted_or(self, record, otherwise):
        """Returns AcceptedJob if the job exists, else `otherwise`.

        Returns JobNotFound if it is another organisation's.
        """
        head = self.read_head(record.host, record.id)
        if not isinstance(head, batchjob.Head):
            return otherwise
        if head.organisation != record.organisation:
            return JobNotFound()
        return AcceptedJob(False)

    def _queued_tokens(self, host, route, organisation):
        """Returns the store's time (ms) and the queued tokens of a route.

        Those of one organisation are counted. Returns a Failure if they
        cannot be read.
        """
        page = store.read_all(self._store, "open", host)
        if isinstance(page, errors.Failure):
            return page
        tokens = 0
        for row in page.rows:
            progress = self._read_row(row, batchjob.Progress)
            if (
                progress is not None
                and progress.route == route.name
                and progress.organisation == organisation
            ):
                tokens += progress.waiting_tokens
        return page.store_ms, tokens

    def read_head(self, host, job_id):
        """Returns a job's Head, JobNotFound, or a Failure."""
        cached = self._head_cache.get((host, job_id))
        if cached is not None:
            return cached
        row = store.read_one(self._store, store.Key("jobs", host, job_id))
        if isinstance(row, errors.Failure):
            return row.as_not_run()
        if row is None:
            return JobNotFound()
        head = codec.read(row.value, batchjob.Head)
        if isinstance(head, errors.Failure):
            return head
        self._head_cache.put((host, job_id), head)
        return head

    def read_results(self, host, job_id, after):
        """Returns a ResultsPage with the results from position `after` on.

        Returns JobNotFound or a Failure if they cannot be read.
        """
        head = self.read_head(host, job_id)
        if not isinstance(head, batchjob.Head):
            return head
        page = self._store.read_rows(
            "results", host, _result_key(job_id, after), f"{job_id}0"
        )
        if isinstance(page, errors.Failure):
            return page.as_not_run()
        results = []
        size = 0
        for data in self._chunker.join(page.rows, page.more):
            result = codec.read(data, batchjob.Result)
            if isinstance(result, errors.Failure):
                return result
            size += len(result.text)
            if results and size > RESULTS_TEXT_BYTES_MAX:
                break
            results.append(result)
        return ResultsPage(head.total, tuple(results))

    def read_record(self, host, job_id):
        """Returns a job's Record, JobNotFound, or a Failure.

        One thread reads at a time: a record takes twice its bytes until it is
        decoded.
        """
        cached = self._records.get((host, job_id))
        if cached is not None:
            return cached
        if not self._record_lock.acquire(timeout=RECORD_WAIT_S):
            reason = "another record is being read"
            return errors.Failure(errors.Kind.OVERLOADED, reason)
        try:
            return self._load_record(host, job_id)
        finally:
            self._record_lock.release()

    def _load_record(self, host, job_id):
        cached = self._records.get((host, job_id))
        if cached is not None:
            return cached
        head = self.read_head(host, job_id)
        if not isinstance(head, batchjob.Head):
            return head
        data = self._read_record_bytes(host, job_id, head)
        if isinstance(data, errors.Failure):
            return data.as_not_run()
        record = codec.read(data, batchjob.Record)
        if isinstance(record, errors.Failure):
            return record
        self._records.put((host, job_id), record)
        return record

    def read_item(self, host, job_id, index, account):
        """Returns an item, whose body it takes from a BODY account.

        Returns JobNotFound or a Failure if it cannot be read or kept. Records
        that are kept give way to it.
        """
        record = self.read_record(host, job_id)
        if not isinstance(record, batchjob.Record):
            return record
        item = record.items[index]
        while not account.take(len(item.body)):
            if not self._records.remove_oldest():
                reason = "no memory is free for the item"
                return errors.Failure(errors.Kind.NO_MEMORY, reason)
        return item

    def keeps_record(self, host, job_id):
        """Whether a job's record is in memory."""
        return (host, job_id) in self._records

    def forget_record(self, host, job_id):
        """Drops a job's record from memory."""
        self._records.remove((host, job_id))

    def _read_record_bytes(self, host, job_id, head):
        if head.object:
            return self._store.get_object(head.object)
        page = store.read_all(
            self._store, "pieces", host, f"{job_id}/", f"{job_id}0"
        )
        if isinstance(page, errors.Failure):
            return page
        return b"".join(row.value for row in page.rows)

    def read_partial_outputs(self, host, job_id):
        """Returns the checkpointed output of unfinished items by index.

        Returns a Failure if it cannot be read.
        """
        page = store.read_all(
            self._store, "partials", host, f"{job_id}/", f"{job_id}0"
        )
        if isinstance(page, errors.Failure):
            return page
        partials = {}
        for row in page.rows:
            checkpoint = self._read_row(row, batchjob.Checkpoint)
            if checkpoint is None:
                # Those that follow it are not restored either.
                continue
            partial = partials.get(checkpoint.index)
            if partial is None:
                # If none is restored, a new output begins under this id.
                partial = batchjob.PartialOutput(new_output_id())
                partials[checkpoint.index] = partial
            partial.restore(checkpoint)
        return partials

    def close_job(self, host, job_id):
        """Removes the open row of a job, upon which its holder drops it.

        Returns None once that is durable or if the job is not open, else a
        Failure.
        """
        key = store.Key("open", host, job_id)
        failure = errors.Failure(errors.Kind.OVERLOADED, "the job is busy")
        for _ in range(COMMIT_ATTEMPTS_MAX):
            row = store.read_one(self._store, key)
            if isinstance(row, errors.Failure):
                return (
                    row.as_not_run()
                    if failure.is_not_run
                    else row.as_unknown()
                )
            if row is None:
                return None
            found = self._store.commit(
                store.Transaction({key: row.revision}, {}, (key,))
            )
            if isinstance(found, store.CommitReceipt):
                return None
            if isinstance(found, errors.Failure):
                # An earlier try without an answer may still take effect.
                failure = found if failure.is_not_run else found.as_unknown()
        return failure

    def take_over(self, open_job):
        """Makes this daemon the holder of an open job.

        Returns the new OpenJob, JobNotFound if the job's row has changed since
        `open_job` was read, or a Failure.
        """
        key = store.Key("open", open_job.host, open_job.job_id)
        progress = msgspec.structs.replace(
            open_job.progress,
            holder=self._daemon_id,
            beat=open_job.progress.beat + 1,
        )
        found = self._store.commit(
            store.Transaction(
                {key: open_job.revision}, {key: codec.pack(progress)}
            )
        )
        if isinstance(found, store.CommitReceipt):
            return msgspec.structs.replace(
                open_job,
                revision=found.revision,
                progress=progress,
                store_ms=found.store_ms,
            )
        if isinstance(found, store.Conflict):
            row = found.get(key)
            # An earlier attempt took effect; its response was not received.
            if row is not None and row.value == codec.pack(progress):
                return msgspec.structs.replace(
                    open_job,
                    revision=row.revision,
                    progress=progress,
                    store_ms=found.store_ms,
                )
            return JobNotFound()
        return found

    def commit(self, outline, commit):
        """Writes results, checkpoints and progress of a held job.

        Returns the new revision, JobNotFound if the job is closed or has
        another holder, or a Failure, after which the same commit must be
        retried.
        """
        key = store.Key("open", outline.host, outline.id)
        is_complete = len(commit.progress.listed) == len(outline.items)
        value = codec.pack(commit.progress)
        puts = {} if is_complete else {key: value}
        for offset, result in enumerate(commit.results):
            position = commit.first + offset
            name = _result_key(outline.id, position)
            base = store.Key("results", outline.host, name)
            puts |= self._chunker.split_to_rows(base, codec.pack(result))
        for checkpoint in commit.checkpoints:
            name = _checkpoint_key(
                outline.id, checkpoint.index, checkpoint.number
            )
            puts[store.Key("partials", outline.host, name)] = codec.pack(
                checkpoint
            )
        removes = [key] if is_complete else []
        for index, number in commit.stale:
            name = _checkpoint_key(outline.id, index, number)
            removes.append(store.Key("partials", outline.host, name))
        found = self._store.commit(
            store.Transaction({key: commit.revision}, puts, tuple(removes))
        )
        if isinstance(found, store.CommitReceipt):
            return found.revision
        if isinstance(found, store.Conflict):
            row = found.get(key)
            # An earlier attempt took effect; its response was not received.
            if row is not None and row.value == value:
                return row.revision
            return JobNotFound()
        return found

    def list_open_jobs(self):
        """Returns all open jobs and the revision to read changes after.

        The revision is the lowest of those at which the parts were read, so
        that no change is missed. Returns a Failure if a part cannot be read.
        """
        parts = self._store.list_parts("open")
        if isinstance(parts, errors.Failure):
            return parts
        open_jobs = []
        revision = None
        for part in parts:
            page = store.read_all(self._store, "open", part)
            if isinstance(page, errors.Failure):
                return page
            if revision is None or page.revision < revision:
                revision = page.revision
            open_jobs.extend(self._decode_open_jobs(page.rows, page.store_ms))
        return open_jobs, revision

    def read_changes(self, after):
        """Reads the changes to open jobs after a revision.

        Returns the changed jobs, the keys of closed ones and the new
        revision; or HistoryCompacted or a Failure.
        """
        found = self._store.read_changes("open", after, 0.0)
        if isinstance(found, (errors.Failure, store.HistoryCompacted)):
            return found
        changed = self._decode_open_jobs(
            [row for row in found.rows if not row.deleted], found.store_ms
        )
        closed = [
            (row.key.part, row.key.key) for row in found.rows if row.deleted
        ]
        return changed, closed, found.revision

    def _decode_open_jobs(self, rows, store_ms):
        open_jobs = []
        for row in rows:
            progress = self._read_row(row, batchjob.Progress)
            if progress is not None:
                key = row.key
                open_jobs.append(
                    OpenJob(
                        key.part, key.key, row.revision, progress, store_ms
                    )
                )
        return open_jobs

    def _read_row(self, row, kind):
        """Returns the value in a row, or None if it cannot be read."""
        value = codec.read(row.value, kind)
        if not isinstance(value, errors.Failure):
            return value
        if self._log is not None:
            self._log.failure(
                "job.unusable",
                table=row.key.table,
                key=row.key.key,
                reason=value.reason,
            )
        return None


def new_output_id():
    """Returns an id that tells the outputs of an item apart."""
    return secrets.token_hex(4)


def _admission_name(route, organisation):
    return f"{route.name}/{organisation}" if organisation else route.name


def _result_key(job_id, position):
    return f"{job_id}/{position:06d}"


def _checkpoint_key(job_id, index, number):
    return f"{job_id}/{index:04d}/{number:04d}"


def _object_name(host, job_id, data):
    digest = hashlib.sha256(data).hexdigest()[:16]
    return f"records/{host}/{job_id}/{digest}"
