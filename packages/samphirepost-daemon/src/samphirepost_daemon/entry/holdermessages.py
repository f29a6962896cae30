"""Messages to the actor that holds the entry daemon's batch jobs."""

import time

import msgspec

from samphirepost import batchjob
from samphirepost_daemon.entry import jobstore


class Hold(msgspec.Struct, frozen=True):
    """Tells the actor to hold a new job that names this daemon as holder."""

    opened: jobstore.Open
    record: batchjob.Record


class Drop(msgspec.Struct, frozen=True):
    """Tells the actor to stop a job that this daemon no longer holds."""

    host: str
    job: str
    reason: str


class Tick(msgspec.Struct, frozen=True):
    """Tells the actor to do what is due."""


class ItemRun:
    """An item's run on an engine; setting `stopped` interrupts it."""

    __slots__ = (
        "began_s",
        "engine",
        "events_before",
        "index",
        "key",
        "late",
        "partial",
        "pool",
        "stopped",
    )

    def __init__(self, key, index, engine, pool, late, partial):
        self.began_s = time.monotonic()
        self.events_before = len(partial.texts)
        self.pool = pool
        self.late = late
        self.key = key
        self.index = index
        self.engine = engine
        self.partial = partial
        self.stopped = False


class ItemEnded(msgspec.Struct, frozen=True):
    """Reports the outcome of an item's run, as `items.run` returns it."""

    run: ItemRun
    outcome: object


class CommitEnded(msgspec.Struct, frozen=True):
    """Reports the outcome of a write, as `Jobs.commit` returns it."""

    key: tuple[str, str]
    commit: batchjob.Commit
    outcome: object


class Seen(msgspec.Struct, frozen=True):
    """Reports a scan of the open jobs.

    If `full`, `opened` lists all open jobs; else it lists the changed ones,
    and `closed` the keys of the closed ones.
    """

    opened: list[jobstore.Open]
    closed: list[tuple[str, str]]
    revision: int | None
    full: bool


class Unseen(msgspec.Struct, frozen=True):
    """Reports that a scan of the open jobs failed.

    `lost` is true if the change history has been compacted, so that the next
    scan must read all open jobs.
    """

    reason: str
    lost: bool = False


class Taken(msgspec.Struct, frozen=True):
    """Reports that this daemon took a job over.

    `partial` has the output of unfinished items by index.
    """

    opened: jobstore.Open
    record: batchjob.Record
    partial: dict[int, batchjob.Partial]


class Stop(msgspec.Struct, frozen=True):
    """Tells the actor to start nothing new and to release the held jobs."""
