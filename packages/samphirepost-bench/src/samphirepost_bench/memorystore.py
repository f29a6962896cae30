"""A store in memory that fails on demand, and many daemons can share."""

import collections
import threading

from samphirepost import errors
from samphirepost_daemon.entry import store

REFUSE = "refuse"
LOSE = "lose"
LATE = "late"


class MemoryStore:
    """Rows and objects; `faults` holds what happens to the next writes.

    A refused write does nothing. A lost one takes effect and is not
    answered. A late one is not answered and takes effect when `settle` is
    called, if its condition still holds then.
    """

    def __init__(self):
        self.rows = {}
        self.objects = {}
        self.revision = 0
        self.faults = collections.deque()
        self.late = []
        self.down = False
        self.silent = False
        self.history = []
        self.calls = 0
        self._lock = threading.RLock()

    def read_rows(self, table, part, start="", end=""):
        """Reads a range of keys."""
        self.calls += 1
        if self.down:
            return _refused()
        if self.silent:
            return _lost()
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
            return store.Page(tuple(found), self.revision, 1000)

    def list_parts(self, table):
        """Lists the parts of a table."""
        if self.down:
            return _refused()
        with self._lock:
            return tuple(
                sorted({key.part for key in self.rows if key.table == table})
            )

    def read_changes(self, table, after, wait_s):
        """Reads the changes after a revision."""
        if self.down:
            return _refused()
        with self._lock:
            found = [
                row
                for row in self.history
                if row.key.table == table and row.revision > after
            ]
            return store.Changes(tuple(found), self.revision, 1000)

    def commit(self, transaction):
        """Writes a transaction."""
        self.calls += 1
        if self.down:
            return _refused()
        fault = self.faults.popleft() if self.faults else None
        if fault == REFUSE:
            return _refused()
        if fault == LATE:
            self.late.append(transaction)
            return _lost()
        found = self._apply(transaction)
        return _lost() if fault == LOSE else found

    def settle(self):
        """Lets the late writes take effect."""
        late, self.late = self.late, []
        for transaction in late:
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
        """Writes an object unless it exists."""
        if self.down:
            return _refused()
        self.objects.setdefault(name, data)
        return None

    def get_object(self, name):
        """Reads an object."""
        if self.down:
            return _refused()
        return self.objects[name]


def _refused():
    return errors.Failure(errors.Kind.PLATFORM_OUT, "refused")


def _lost():
    return errors.Failure(
        errors.Kind.PLATFORM_UNCERTAIN, "lost", errors.Outcome.UNKNOWN
    )
