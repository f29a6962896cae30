"""What the holder of batch jobs is told."""

import time

import msgspec

from samphirepost import batchjob
from samphirepost_daemon.entry import jobs


class Hold(msgspec.Struct, frozen=True):
    """Hold a job whose progress names this daemon."""

    opened: jobs.Open
    record: batchjob.Record


class Drop(msgspec.Struct, frozen=True):
    """Stop a job that is not this daemon's any more."""

    host: str
    job: str
    reason: str


class Tick(msgspec.Struct, frozen=True):
    """Do what is due."""


class ItemRun:
    """An item's run at an engine; setting `stopped` ends it."""

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
    """A run of an item ended."""

    run: ItemRun
    outcome: object


class CommitEnded(msgspec.Struct, frozen=True):
    """A write ended."""

    key: tuple[str, str]
    commit: batchjob.Commit
    outcome: object


class Seen(msgspec.Struct, frozen=True):
    """What a look at the open jobs found; all of them if `full`."""

    opened: list[jobs.Open]
    closed: list[tuple[str, str]]
    revision: int | None
    full: bool


class Unseen(msgspec.Struct, frozen=True):
    """A look at the open jobs failed; `lost` if history is gone."""

    reason: str
    lost: bool = False


class Taken(msgspec.Struct, frozen=True):
    """This daemon became a job's holder; `partial` by item's index."""

    opened: jobs.Open
    record: batchjob.Record
    partial: dict[int, batchjob.PartialOutput]


class Stop(msgspec.Struct, frozen=True):
    """Start nothing new; what runs is left for another daemon."""
