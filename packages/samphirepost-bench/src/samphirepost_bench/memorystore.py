"""In-memory emulator of the platform's store, with injected faults."""

import base64
import collections
import itertools
import threading

from samphirepost import errors
from samphirepost_daemon.entry import store

REJECT = "refuse"
DROP_RESPONSE = "lose"
APPLY_LATE = "late"

# Limits of a transaction, as the platform's store has them.
ENTRIES_MAX = 100
TRANSACTION_BYTES_MAX = 1_000_000


class MemoryStore:
    """Rows and objects with the interface of the entry daemon's store.

    `faults` is a queue of the faults of the next writes. REJECT: the write
    has no effect. DROP_RESPONSE: it takes effect, but no response is
    received. APPLY_LATE: no response is received, and it takes effect when
    `apply_late_writes` is called, if its condition still holds then.

    While `unavailable` is set, all requests are refused; while
    `reads_unanswered` is set, reads of rows receive no response. A page has
    `page_rows_max` rows at most. Several
    threads and daemons may share one store.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.revision = 0
        self.faults = collections.deque()
        self.late_writes = []
        self.unavailable = False
        self.reads_unanswered = False
        self.page_rows_max = 500
        self.history = []
        self.request_count = 0
        self._lock = threading.RLock()

    def read_rows(self, table, part, start="", end=""):
        """Returns a Page with the rows of a range of keys, or a Failure.

        `end` is exclusive; an empty `end` means no upper bound.
        """
        self.request_count += 1
        if self.unavailable:
            return _refused()
        if self.reads_unanswered:
            return _no_response()
        with self._lock:
            found = [
                store.Row(key, value, revision)
                for key, (value, revision) in sorted(
                    self.rows.items(), key=lambda item: item[0].key
                )
                if key.table == table
                and key.part == part
                and key.key >= start
                and (not end or key.key < end)
            ]
            page = tuple(found[: self.page_rows_max])
            has_more = len(found) > len(page)
            return store.Page(page, self.revision, 1000, has_more)

    def list_parts(self, table):
        """Returns the sorted names of a table's parts, or a Failure."""
        if self.unavailable:
            return _refused()
        with self._lock:
            return tuple(
                sorted({key.part for key in self.rows if key.table == table})
            )

    def read_changes(self, table, after, wait_s):
        """Returns the Changes after a revision, or a Failure; never waits."""
        if self.unavailable:
            return _refused()
        with self._lock:
            newer = itertools.takewhile(
                lambda row: row.revision > after, reversed(self.history)
            )
            found = [row for row in newer if row.key.table == table]
            return store.Changes(tuple(reversed(found)), self.revision, 1000)

    def commit(self, transaction):
        """Applies a transaction, subject to the next fault of the queue.

        Returns CommitReceipt, Conflict or a Failure.
        """
        self.request_count += 1
        if self.unavailable or _is_too_large(transaction):
            return _refused()
        fault = self.faults.popleft() if self.faults else None
        if fault == REJECT:
            return _refused()
        if fault == APPLY_LATE:
            self.late_writes.append(transaction)
            return _no_response()
        found = self._apply(transaction)
        return _no_response() if fault == DROP_RESPONSE else found

    def apply_late_writes(self):
        """Applies the APPLY_LATE writes whose condition still holds."""
        late_writes, self.late_writes = self.late_writes, []
        for transaction in late_writes:
            self._apply(transaction)

    def _apply(self, transaction):
        with self._lock:
            for key, revision in transaction.expected.items():
                if self.rows.get(key, (b"", 0))[1] != revision:
                    return self._conflict(transaction)
            self.revision += 1
            for key, value in transaction.puts.items():
                self.rows[key] = (value, self.revision)
                self.history.append(store.Row(key, value, self.revision))
            for key in transaction.removes:
                self.rows.pop(key, None)
                self.history.append(
                    store.Row(key, b"", self.revision, deleted=True)
                )
            return store.CommitReceipt(self.revision, 1000)

    def _conflict(self, transaction):
        rows = [
            store.Row(key, *self.rows[key])
            for key in transaction.expected
            if key in self.rows
        ]
        return store.Conflict(tuple(rows), 1000)

    def put_object(self, name, data):
        """Writes an object unless it exists; returns None or a Failure."""
        if self.unavailable:
            return _refused()
        self.objects.setdefault(name, data)
        return None

    def get_object(self, name):
        """Returns an object's data, or a Failure.

        Raises KeyError if there is no such object.
        """
        if self.unavailable:
            return _refused()
        return self.objects[name]


def _is_too_large(transaction):
    entries = [*transaction.expected, *transaction.puts, *transaction.removes]
    size = sum(len(base64.b64encode(v)) for v in transaction.puts.values())
    return len(entries) > ENTRIES_MAX or size > TRANSACTION_BYTES_MAX


def _refused():
    return errors.Failure(errors.Kind.PLATFORM_OUT, "refused")


def _no_response():
    return errors.Failure(
        errors.Kind.PLATFORM_UNCERTAIN, "lost", errors.Outcome.UNKNOWN
    )
