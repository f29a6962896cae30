"""Keeps batch jobs in the store.

A job's part is its host. Rows of one job:

- `jobs/ID`: its head, written once with the record;
- `pieces/ID/N`: the record in pieces (a large one is an object instead);
- `open/ID`: its progress, while it is open; each write of results replaces
  it under a condition on its revision;
- `partials/ID/INDEX/N`: output of unfinished items, for a next holder;
- `results/ID/POSITION/N`: the results, in pieces.

`admissions/ROUTE` changes with each accepted job, so that two daemons can
not both count the same free tokens.
"""

import collections
import hashlib
import threading

import msgspec

from samphirepost import batchjob
from samphirepost import codec
from samphirepost import errors
from samphirepost_daemon.entry import pieces
from samphirepost_daemon.entry import store

# A transaction takes 1 MB and 100 entries; larger records become objects.
RECORD_BYTES_MAX = 500_000
# Results of one write: entries and bytes within the same limits.
COMMIT_RESULTS_MAX = 20
COMMIT_BYTES_MAX = 400_000
# An answer with results has at most 1 MB; text can grow by JSON's escapes.
ANSWER_BYTES_MAX = 700_000
# Heads and records that are kept for readers.
HEADS_MAX = 2000
RECORDS_MAX = 8
# Tries of one admission against other daemons' admissions.
ADMIT_TRIES = 8


class Accepted(msgspec.Struct, frozen=True):
    """A job that is durable; `fresh` if this call made it so."""

    fresh: bool
    progress: batchjob.Progress | None = None
    revision: int = 0
    store_ms: int = 0


class OverQuota(msgspec.Struct, frozen=True):
    """A job that does not fit under its route's limit of waiting tokens."""

    waiting: int
    limit: int


class Open(msgspec.Struct, frozen=True):
    """An open job's key, revision and progress."""

    host: str
    job: str
    revision: int
    progress: batchjob.Progress
    store_ms: int


class Reading(msgspec.Struct, frozen=True):
    """Results from a position on, and how many items the job has."""

    total: int
    results: tuple[batchjob.Result, ...]


class Missing(msgspec.Struct, frozen=True):
    """There is no such job or item."""


class Cache:
    """Keeps the values that were used last."""

    def __init__(self, size):
        self._size = size
        self._values = collections.OrderedDict()
        self._lock = threading.Lock()

    def get(self, key):
        """Returns a value, or None."""
        with self._lock:
            if key in self._values:
                self._values.move_to_end(key)
            return self._values.get(key)

    def put(self, key, value):
        """Keeps a value."""
        with self._lock:
            self._values[key] = value
            while len(self._values) > self._size:
                self._values.popitem(last=False)


class Jobs:
    """The jobs in the store; safe for use by many threads."""

    def __init__(self, client, me, row_bytes_max):
        self._store = client
        self._me = me
        self._pieces = pieces.Pieces(row_bytes_max)
        self._heads = Cache(HEADS_MAX)
        self._records = Cache(RECORDS_MAX)

    def submit(self, record, route):
        """Makes a job durable.

        Returns Accepted, OverQuota, or a Failure whose outcome tells whether
        the job may exist all the same.
        """
        data = codec.pack(record)
        name = _object_name(record.host, record.id, data)
        rows = {}
        if len(data) > RECORD_BYTES_MAX:
            failure = self._store.put_object(name, data)
            if failure is not None:
                return failure
        else:
            name = ""
            key = store.Key("pieces", record.host, record.id)
            rows = self._pieces.puts(key, data)
        for _ in range(ADMIT_TRIES):
            found = self._admit(record, route, rows, name)
            if found is not None:
                return found
        reason = "too many jobs are submitted at once"
        return errors.Failure(errors.Kind.OVERLOADED, reason)

    def _admit(self, record, route, rows, name):
        """Tries once; returns None if another admission came between."""
        host = record.host
        gate = store.Key("admissions", host, route.name)
        row = store.read_one(self._store, gate)
        if isinstance(row, errors.Failure):
            return row.as_not_run()
        waiting = self._waiting(host, route)
        if isinstance(waiting, errors.Failure):
            return waiting.as_not_run()
        store_ms, tokens = waiting
        own = sum(item.tokens for item in record.items)
        limit = route.waiting_tokens_max
        if limit and tokens + own > limit:
            return self._known_or(record, OverQuota(tokens, limit))
        head = batchjob.Head(
            len(record.items), route.name, len(rows), name, store_ms
        )
        progress = batchjob.Progress(
            route=route.name,
            holder=self._me,
            beat=0,
            waiting_tokens=own,
            due_ms=store_ms + int(route.completion_s * 1000),
            give_up_ms=store_ms + int(route.retention_s * 1000),
        )
        return self._write(record, gate, row, head, progress, rows)

    def _write(self, record, gate, row, head, progress, rows):
        host = record.host
        job = store.Key("jobs", host, record.id)
        opened = store.Key("open", host, record.id)
        puts = {
            gate: self._me.encode(),
            job: codec.pack(head),
            opened: codec.pack(progress),
            **rows,
        }
        expected = {job: store.ABSENT}
        expected[gate] = store.ABSENT if row is None else row.revision
        found = self._store.commit(store.Transaction(expected, puts))
        if isinstance(found, store.Written):
            self._heads.put((host, record.id), head)
            return Accepted(True, progress, found.revision, head.submitted_ms)
        if isinstance(found, store.Conflict):
            if found.get(job) is not None:
                return Accepted(False)
            return None
        if found.outcome is errors.Outcome.NOT_RUN:
            return found
        known = self._known_or(record, found)
        return known

    def _known_or(self, record, otherwise):
        """Returns Accepted if the job exists, else `otherwise`."""
        head = self.head(record.host, record.id)
        if isinstance(head, batchjob.Head):
            return Accepted(False)
        return otherwise

    def _waiting(self, host, route):
        """Returns the store's time and the tokens that wait on a route."""
        page = store.read_all(self._store, "open", host)
        if isinstance(page, errors.Failure):
            return page
        tokens = 0
        for row in page.rows:
            progress = codec.unpack(row.value, batchjob.Progress)
            if progress.route == route.name:
                tokens += progress.waiting_tokens
        return page.store_ms, tokens

    def head(self, host, job):
        """Returns a job's Head, Missing, or a Failure."""
        known = self._heads.get((host, job))
        if known is not None:
            return known
        row = store.read_one(self._store, store.Key("jobs", host, job))
        if isinstance(row, errors.Failure):
            return row.as_not_run()
        if row is None:
            return Missing()
        head = codec.unpack(row.value, batchjob.Head)
        self._heads.put((host, job), head)
        return head

    def results(self, host, job, after):
        """Returns a Reading, Missing, or a Failure."""
        head = self.head(host, job)
        if not isinstance(head, batchjob.Head):
            return head
        page = self._store.read(
            "results", host, _position(job, after), f"{job}0"
        )
        if isinstance(page, errors.Failure):
            return page.as_not_run()
        found = []
        size = 0
        for data in self._pieces.join(page.rows, page.more):
            result = codec.unpack(data, batchjob.Result)
            size += len(result.text)
            if found and size > ANSWER_BYTES_MAX:
                break
            found.append(result)
        return Reading(head.total, tuple(found))

    def record(self, host, job):
        """Returns a job's Record, Missing, or a Failure."""
        known = self._records.get((host, job))
        if known is not None:
            return known
        head = self.head(host, job)
        if not isinstance(head, batchjob.Head):
            return head
        data = self._record_data(host, job, head)
        if isinstance(data, errors.Failure):
            return data.as_not_run()
        record = codec.unpack(data, batchjob.Record)
        self._records.put((host, job), record)
        return record

    def _record_data(self, host, job, head):
        if head.object:
            return self._store.get_object(head.object)
        page = store.read_all(
            self._store, "pieces", host, f"{job}/", f"{job}0"
        )
        if isinstance(page, errors.Failure):
            return page
        return b"".join(row.value for row in page.rows)

    def partial(self, host, job):
        """Returns the saved output of unfinished items, or a Failure."""
        page = store.read_all(
            self._store, "partials", host, f"{job}/", f"{job}0"
        )
        if isinstance(page, errors.Failure):
            return page
        found = {}
        for row in page.rows:
            one = codec.unpack(row.value, batchjob.Checkpoint)
            partial = found.setdefault(one.index, batchjob.PartialOutput())
            partial.restore(one)
        return found

    def end(self, host, job):
        """Closes a job; returns None once that is durable, else a Failure."""
        key = store.Key("open", host, job)
        failure = errors.Failure(errors.Kind.OVERLOADED, "the job is busy")
        for _ in range(ADMIT_TRIES):
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
            if isinstance(found, store.Written):
                return None
            if isinstance(found, errors.Failure):
                failure = found
        return failure

    def take(self, watched):
        """Makes this daemon an open job's holder.

        Returns the new Open, Missing if another was faster, or a Failure.
        """
        key = store.Key("open", watched.host, watched.job)
        progress = msgspec.structs.replace(
            watched.progress, holder=self._me, beat=watched.progress.beat + 1
        )
        found = self._store.commit(
            store.Transaction(
                {key: watched.revision}, {key: codec.pack(progress)}
            )
        )
        if isinstance(found, store.Written):
            return msgspec.structs.replace(
                watched,
                revision=found.revision,
                progress=progress,
                store_ms=found.store_ms,
            )
        if isinstance(found, store.Conflict):
            row = found.get(key)
            if row is not None and row.value == codec.pack(progress):
                return msgspec.structs.replace(
                    watched,
                    revision=row.revision,
                    progress=progress,
                    store_ms=found.store_ms,
                )
            return Missing()
        return found

    def commit(self, record, commit):
        """Writes results and progress.

        Returns the new revision, Missing if the job is no longer this
        daemon's, or a Failure: then the same commit has to be tried again.
        """
        key = store.Key("open", record.host, record.id)
        complete = len(commit.progress.listed) == len(record.items)
        value = codec.pack(commit.progress)
        puts = {} if complete else {key: value}
        for offset, result in enumerate(commit.results):
            position = commit.first + offset
            name = _position(record.id, position)
            base = store.Key("results", record.host, name)
            puts |= self._pieces.puts(base, codec.pack(result))
        for one in commit.checkpoints:
            name = _checkpoint(record.id, one.index, one.number)
            puts[store.Key("partials", record.host, name)] = codec.pack(one)
        removes = [key] if complete else []
        for index, number in commit.stale:
            name = _checkpoint(record.id, index, number)
            removes.append(store.Key("partials", record.host, name))
        found = self._store.commit(
            store.Transaction({key: commit.revision}, puts, tuple(removes))
        )
        if isinstance(found, store.Written):
            return found.revision
        if isinstance(found, store.Conflict):
            row = found.get(key)
            if row is not None and row.value == value:
                return row.revision
            return Missing()
        return found

    def open_jobs(self):
        """Returns all open jobs and the revision they are as of."""
        parts = self._store.parts("open")
        if isinstance(parts, errors.Failure):
            return parts
        found = []
        revision = None
        for part in parts:
            page = store.read_all(self._store, "open", part)
            if isinstance(page, errors.Failure):
                return page
            if revision is None or page.revision < revision:
                revision = page.revision
            found.extend(_open(row, page.store_ms) for row in page.rows)
        return found, revision

    def changes(self, after):
        """Returns changed open jobs, closed ones' keys and the revision."""
        found = self._store.changes("open", after, 0.0)
        if isinstance(found, (errors.Failure, store.HistoryLost)):
            return found
        opened = [
            _open(row, found.store_ms) for row in found.rows if not row.deleted
        ]
        closed = [
            (row.key.part, row.key.key) for row in found.rows if row.deleted
        ]
        return opened, closed, found.revision


def _open(row, store_ms):
    progress = codec.unpack(row.value, batchjob.Progress)
    return Open(row.key.part, row.key.key, row.revision, progress, store_ms)


def _position(job, position):
    return f"{job}/{position:06d}"


def _checkpoint(job, index, number):
    return f"{job}/{index:04d}/{number:04d}"


def _object_name(host, job, data):
    digest = hashlib.sha256(data).hexdigest()[:16]
    return f"records/{host}/{job}/{digest}"
