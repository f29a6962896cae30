"""The entry daemon's interface to the store: rows, transactions, objects.

Revisions come from one counter for the whole store. A transaction that
expects the revision ABSENT requires that the row does not exist. Store time
is a monotonic clock (ms).
"""

import typing

import msgspec

from samphirepost import errors

ABSENT = 0


class Key(msgspec.Struct, frozen=True):
    """The key of one row; a transaction can span the rows of one part."""

    table: str
    part: str
    key: str


class Row(msgspec.Struct, frozen=True):
    """One row; `deleted` marks a removal in a list of changes."""

    key: Key
    value: bytes
    revision: int
    deleted: bool = False


class Page(msgspec.Struct, frozen=True, tag="page"):
    """Rows in key order, read as of `revision`; `more` if rows follow."""

    rows: tuple[Row, ...]
    revision: int
    store_ms: int
    more: bool = False


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """The rows of a table that changed since a revision, in order."""

    rows: tuple[Row, ...]
    revision: int
    store_ms: int


class HistoryCompacted(msgspec.Struct, frozen=True, tag="history-lost"):
    """The changes since the requested revision have been compacted."""


class Transaction(msgspec.Struct, frozen=True):
    """Writes that take effect together or not at all.

    `expected` maps keys to the revision that the row must have.
    """

    expected: dict[Key, int]
    puts: dict[Key, bytes]
    removes: tuple[Key, ...] = ()


class CommitReceipt(msgspec.Struct, frozen=True, tag="written"):
    """The transaction is durable; its rows have the new `revision`."""

    revision: int
    store_ms: int


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """An expected revision did not match; nothing was written.

    `rows` has the current state of the rows in `expected`.
    """

    rows: tuple[Row, ...]
    store_ms: int

    def get(self, key):
        """Returns the row with this key, or None."""
        for row in self.rows:
            if row.key == key and not row.deleted:
                return row
        return None


class Store(typing.Protocol):
    """The store requests of the entry daemon; thread-safe.

    Every request may return a Failure. After a write, its outcome is NOT_RUN,
    or UNKNOWN if the write may still take effect.
    """

    def read_rows(
        self, table, part, start="", end=""
    ) -> Page | errors.Failure:
        """Returns a Page of the rows with `start` <= key < `end`.

        An empty `end` sets no limit.
        """

    def list_parts(self, table) -> tuple[str, ...] | errors.Failure:
        """Lists the parts of a table."""

    def read_changes(self, table, after, wait_s):
        """Returns Changes after a revision, HistoryCompacted or a Failure.

        Waits up to `wait_s` seconds for the first change.
        """

    def commit(self, transaction) -> CommitReceipt | Conflict | errors.Failure:
        """Applies a transaction if all expected revisions match."""

    def put_object(self, name, data) -> errors.Failure | None:
        """Writes an object; an object that exists is left unchanged."""

    def get_object(self, name) -> bytes | errors.Failure:
        """Returns the bytes of an object."""


def read_all(store, table, part, start="", end=""):
    """Returns a Page with all rows of the range, or a Failure.

    The page has the revision of the first request, so that the changes after
    it include those between the requests, and the time of the last one.
    """
    rows = []
    revision = None
    while True:
        page = store.read_rows(table, part, start, end)
        if isinstance(page, errors.Failure):
            return page
        if revision is None:
            revision = page.revision
        rows.extend(page.rows)
        if not page.more or not page.rows:
            return Page(tuple(rows), revision, page.store_ms)
        start = page.rows[-1].key.key + "\0"


def read_one(store, key):
    """Returns the row, None if there is none, or a Failure."""
    page = store.read_rows(key.table, key.part, key.key, key.key + "\0")
    if isinstance(page, errors.Failure):
        return page
    return page.rows[0] if page.rows else None
