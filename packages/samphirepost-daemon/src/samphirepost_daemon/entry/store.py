"""The store as the daemon sees it: rows under conditions, and objects.

Revisions come from one counter of the whole store; a revision of ABSENT
stands for a row that must not exist. Store time is a steady clock (ms).
"""

import typing

import msgspec

from samphirepost import errors

ABSENT = 0


class Key(msgspec.Struct, frozen=True):
    """Names one row; rows of one part can change together."""

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
    """Rows in order of key, as of one moment."""

    rows: tuple[Row, ...]
    revision: int
    store_ms: int
    more: bool = False


class Changes(msgspec.Struct, frozen=True, tag="changes"):
    """What changed in a table since a revision, in order."""

    rows: tuple[Row, ...]
    revision: int
    store_ms: int


class HistoryLost(msgspec.Struct, frozen=True, tag="history-lost"):
    """The changes since a revision are no longer known."""


class Transaction(msgspec.Struct, frozen=True):
    """Writes that happen together, or not at all.

    `expected` has the revision that each named row must have.
    """

    expected: dict[Key, int]
    puts: dict[Key, bytes]
    removes: tuple[Key, ...] = ()


class Written(msgspec.Struct, frozen=True, tag="written"):
    """The transaction is durable."""

    revision: int
    store_ms: int


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """A condition did not hold; `rows` are the expected rows as they are."""

    rows: tuple[Row, ...]
    store_ms: int

    def get(self, key):
        """Returns the row with this key, or None."""
        for row in self.rows:
            if row.key == key and not row.deleted:
                return row
        return None


class Store(typing.Protocol):
    """What the daemon needs of the store.

    Every call may return a Failure. Its outcome says whether a write may
    still take effect: NOT_RUN or UNKNOWN.
    """

    def read(self, table, part, start="", end="") -> Page | errors.Failure:
        """Reads a range of keys; `end` is not part of it."""

    def parts(self, table) -> tuple[str, ...] | errors.Failure:
        """Lists the parts of a table."""

    def changes(self, table, after, wait_s):
        """Reads the changes after a revision; waits for the first one."""

    def commit(self, transaction) -> Written | Conflict | errors.Failure:
        """Writes a transaction."""

    def put_object(self, name, data) -> errors.Failure | None:
        """Writes an object; one that exists already is left as it is."""

    def get_object(self, name) -> bytes | errors.Failure:
        """Reads an object."""


def read_all(store, table, part, start="", end=""):
    """Returns a Page with the whole range, or a Failure."""
    rows = []
    while True:
        page = store.read(table, part, start, end)
        if isinstance(page, errors.Failure):
            return page
        rows.extend(page.rows)
        if not page.more or not page.rows:
            return Page(tuple(rows), page.revision, page.store_ms)
        start = page.rows[-1].key.key + "\0"


def read_one(store, key):
    """Returns the row, None if there is none, or a Failure."""
    page = store.read(key.table, key.part, key.key, key.key + "\0")
    if isinstance(page, errors.Failure):
        return page
    return page.rows[0] if page.rows else None
