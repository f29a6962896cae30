"""Messages to the actor that holds the entry daemon's batch jobs."""

import time

import msgspec

from samphirepost import batchjob
from samphirepost_daemon.entry import jobstore


class HoldJob(msgspec.Struct, frozen=True):
    """Tells the actor to hold a submitted job, whose holder is this daemon."""

    open_job: jobstore.OpenJob
    record: batchjob.Record


class DropJob(msgspec.Struct, frozen=True):
    """Tells the actor to drop a job that is closed or held elsewhere."""

    host: str
    job_id: str
    reason: str


class Tick(msgspec.Struct, frozen=True):
    """Tells the actor to start what is due: scans, items and commits."""


class ItemRun:
    """One run of an item on an engine; `stop_requested` interrupts it."""

    __slots__ = (
        "began_s",
        "engine",
        "events_before",
        "index",
        "key",
        "is_late",
        "partial",
        "pool",
        "stop_requested",
    )

    def __init__(self, key, index, engine, pool, is_late, partial):
        self.began_s = time.monotonic()
        self.events_before = len(partial.texts)
        self.pool = pool
        self.is_late = is_late
        self.key = key
        self.index = index
        self.engine = engine
        self.partial = partial
        self.stop_requested = False


class ItemRunFinished(msgspec.Struct, frozen=True):
    """Reports the outcome of an item's run, as `items.run_item` returns it."""

    run: ItemRun
    outcome: object


class CommitFinished(msgspec.Struct, frozen=True):
    """Reports the outcome of a commit, as `JobStore.commit` returns it."""

    key: tuple[str, str]
    commit: batchjob.Commit
    outcome: object


class OpenJobsScan(msgspec.Struct, frozen=True):
    """Reports the result of a scan of the open jobs.

    If `is_full`, `open_jobs` lists all open jobs; else it lists the changed
    ones, and `closed_keys` the keys of those that were closed.
    """

    open_jobs: list[jobstore.OpenJob]
    closed_keys: list[tuple[str, str]]
    revision: int | None
    is_full: bool


class ScanFailure(msgspec.Struct, frozen=True):
    """Reports that a scan of the open jobs failed.

    If `history_compacted`, the changes since the last scan can no longer be
    read, and the next scan must read all open jobs.
    """

    reason: str
    history_compacted: bool = False


class JobTakeover(msgspec.Struct, frozen=True):
    """Reports that this daemon took a job over.

    `partial_outputs` has the output of unfinished items by index.
    """

    open_job: jobstore.OpenJob
    record: batchjob.Record
    partial_outputs: dict[int, batchjob.PartialOutput]


class Stop(msgspec.Struct, frozen=True):
    """Tells the actor to start nothing new and to release the held jobs."""
