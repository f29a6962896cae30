"""Keeps in the store at which software version streams began.

A row of `versions` names the base version of a pool, a row of `streams` the
version of a stream that began at another one; see samphirepost.streamversions.
"""

import concurrent.futures
import hashlib
import threading
import time

from samphirepost import codec
from samphirepost import errors
from samphirepost import streamversions
from samphirepost_daemon.entry import store

BASES_TABLE = "versions"
STREAMS_TABLE = "streams"
# Store requests about streams at a time.
REQUESTS_MAX = 8
# Longest wait (s) for what is read of a stream that is taken up, and for its
# record; while the store is slow, a request takes up to half a second.
READ_WAIT_S = 0.8
RECORD_WAIT_S = 1.0
# After a failed record, or without news of the registry for so long (s), new
# streams begin where they need no record.
AVOID_RECORDS_S = 2.0
REGISTRY_AGE_MAX_S = 2.5
# Intervals (s) of the hub's work on bases and on old records.
KEEP_INTERVAL_S = 0.5
CLEAN_INTERVAL_S = 60.0
# Rows that one transaction deletes.
REMOVES_MAX = 100


def base_key(pool):
    """Returns the key of a pool's base version."""
    return store.Key(BASES_TABLE, "", pool)


def stream_key(request_id):
    """Returns the key of a stream's record.

    Records are spread over 16 parts, each of which bears its own rate.
    """
    digest = hashlib.blake2b(request_id.encode(), digest_size=12).hexdigest()
    return store.Key(STREAMS_TABLE, digest[0], digest)


class BasesSink:
    """Passes the rows of the base versions to the daemon's Bases.

    A sink of watch.TableWatcher, called from its thread. `revisions` has the
    revisions of the rows by pool.
    """

    def __init__(self, parts, clock):
        self._bases = parts.bases
        self._log = parts.log
        self._clock = clock
        self.revisions = {}

    def replace(self, rows, store_ms):
        """Replaces all bases by those in `rows`."""
        now_s = time.monotonic()
        self._clock.record(store_ms, now_s)
        self.revisions = {row.key.key: row.revision for row in rows}
        found = {row.key.key: self._decode(row) for row in rows}
        self._bases.replace(
            {pool: base for pool, base in found.items() if base is not None},
            now_s,
        )

    def apply_changes(self, rows, store_ms):
        """Applies the changed rows."""
        now_s = time.monotonic()
        self._clock.record(store_ms, now_s)
        changes = {}
        for row in rows:
            pool = row.key.key
            base = None if row.deleted else self._decode(row)
            revision = store.ABSENT if row.deleted else row.revision
            changes[pool], self.revisions[pool] = base, revision
            self._log.event(
                "base.read",
                pool=pool,
                version=getattr(base, "version", None),
                record_all=getattr(base, "record_all", None),
            )
        self._bases.update(changes, now_s)

    def handle_failure(self):
        """Does nothing: the bases last read are still those of the streams."""

    def _decode(self, row):
        found = codec.read(row.value, streamversions.PoolBase)
        if isinstance(found, errors.Failure):
            self._log.failure(
                "base.unusable", key=row.key.key, reason=found.reason
            )
            return None
        return found


class StreamTable:
    """Records and finds the versions of streams; thread-safe."""

    def __init__(self, client, parts, clock):
        self._store = client
        self._state = parts.state
        self._slots = parts.slots
        self._bases = parts.bases
        self._log = parts.log
        self._clock = clock
        self._failed_s = -AVOID_RECORDS_S
        self._executor = concurrent.futures.ThreadPoolExecutor(
            REQUESTS_MAX, thread_name_prefix="streams"
        )

    def is_available(self, now_s):
        """Whether a record can be expected to be written in time."""
        registry_age_s = self._state.registry_age_s(now_s)
        return (
            self._clock.is_known
            and now_s - self._failed_s >= AVOID_RECORDS_S
            and registry_age_s is not None
            and registry_age_s <= REGISTRY_AGE_MAX_S
        )

    def record(self, request_id, engine):
        """Records that a stream begins at an engine's version.

        Returns a Future, true once the record is durable.
        """
        return self._executor.submit(self._write, request_id, engine)

    def _write(self, request_id, engine):
        began_s = time.monotonic()
        if not self._clock.is_known:
            return False
        until_s = began_s + streamversions.RECORD_KEPT_S
        record = streamversions.StreamRecord(
            engine.pool, engine.version, self._clock.store_ms(until_s)
        )
        key = stream_key(request_id)
        result = self._store.commit(
            store.Transaction({}, {key: codec.pack(record)})
        )
        is_written = isinstance(result, store.CommitReceipt)
        if not is_written:
            self._failed_s = time.monotonic()
            self._log.failure(
                "stream.unrecorded",
                request=request_id,
                version=engine.version,
                reason=getattr(result, "reason", "conflict"),
            )
        return is_written

    def find(self, pool, request_id):
        """Returns Known or Unknown for the stream that a request began."""
        found = errors.Failure(errors.Kind.PLATFORM_OUT, "the store is slow")
        if request_id:
            future = self._executor.submit(self._read, pool, request_id)
            try:
                found = future.result(READ_WAIT_S)
            except concurrent.futures.TimeoutError:
                future.cancel()
        if not isinstance(found, errors.Failure):
            return found
        now_s = time.monotonic()
        return streamversions.version_without_store(
            self._bases.get(pool),
            self._state.roster.recent_versions(pool, now_s),
            self._state.registry_age_s(now_s),
            self._slots.has_one_version(pool),
        )

    def _read(self, pool, request_id):
        """Reads the record first: the base may change after the stream."""
        record = store.read_one(self._store, stream_key(request_id))
        if isinstance(record, errors.Failure):
            return record
        base = store.read_one(self._store, base_key(pool))
        if isinstance(base, errors.Failure):
            return base
        found = _read_row(record, streamversions.StreamRecord)
        found_base = _read_row(base, streamversions.PoolBase)
        for one in (found, found_base):
            if isinstance(one, errors.Failure):
                reason = f"a row cannot be read: {one.reason}"
                return streamversions.Unknown(reason)
        return streamversions.stream_version(pool, found, found_base)


class BaseKeeper(threading.Thread):
    """Writes the base versions and deletes old records, at the hub only.

    Rows are written under their revisions, so that two daemons that believe
    to be the hub agree.
    """

    def __init__(self, client, parts, sink, clock):
        super().__init__(daemon=True, name="bases")
        self._store = client
        self._state = parts.state
        self._slots = parts.slots
        self._bases = parts.bases
        self._log = parts.log
        self._sink = sink
        self._clock = clock
        self._mover = streamversions.BaseMover()
        self._next_clean_s = time.monotonic() + CLEAN_INTERVAL_S

    def run(self):
        """Works at intervals until the process exits."""
        while True:
            threading.Event().wait(KEEP_INTERVAL_S)
            if not self._slots.is_hub or not self._clock.is_known:
                continue
            try:
                self.keep(time.monotonic())
            except Exception as exc:
                self._log.failure("fault", where="bases", error=repr(exc))

    def keep(self, now_s):
        """Moves the bases that are due, and deletes old records."""
        registry_age_s = self._state.registry_age_s(now_s)
        if registry_age_s is None or registry_age_s > REGISTRY_AGE_MAX_S:
            return
        for pool in self._state.pools():
            base = self._mover.next_base(
                pool,
                self._bases.get(pool),
                self._state.roster.listed_engines(pool),
                self._clock.store_ms(now_s),
                now_s,
            )
            if base is not None:
                self._write(pool, base)
        if now_s >= self._next_clean_s:
            self._next_clean_s = now_s + CLEAN_INTERVAL_S
            self._delete_old_records()

    def _write(self, pool, base):
        key = base_key(pool)
        revision = self._sink.revisions.get(pool, store.ABSENT)
        result = self._store.commit(
            store.Transaction({key: revision}, {key: codec.pack(base)})
        )
        is_written = isinstance(result, store.CommitReceipt)
        self._log.event(
            "base.moved" if is_written else "base.not_moved",
            pool=pool,
            version=base.version,
            record_all=base.record_all,
            before=getattr(self._bases.get(pool), "version", None),
        )

    def _delete_old_records(self):
        parts = self._store.list_parts(STREAMS_TABLE)
        if isinstance(parts, errors.Failure):
            return
        for part in parts:
            page = store.read_all(self._store, STREAMS_TABLE, part)
            if isinstance(page, errors.Failure):
                return
            old = [row.key for row in page.rows if _is_old(row, page.store_ms)]
            for first in range(0, len(old), REMOVES_MAX):
                removes = tuple(old[first : first + REMOVES_MAX])
                self._store.commit(store.Transaction({}, {}, removes))


def _is_old(row, store_ms):
    """Whether a record is no longer needed, or cannot be read."""
    record = codec.read(row.value, streamversions.StreamRecord)
    return isinstance(record, errors.Failure) or record.until_ms < store_ms


def _read_row(row, kind):
    """Returns the value in a row, None without a row, or a Failure."""
    return None if row is None else codec.read(row.value, kind)
