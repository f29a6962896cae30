"""Messages to the actor that holds the entry daemon's batch jobs."""

import time

import msgspec

from samphirepost import batchjob
from samphirepost import joboutline
from samphirepost import memorybudget
from samphirepost_daemon.entry import engineattempt
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import jobstore


class HoldJob(msgspec.Struct, frozen=True):
    """Tells the actor to hold a submitted job, whose holder is this daemon.

    `account` has the bytes of the outline.
    """

    open_job: jobstore.OpenJob
    outline: joboutline.JobOutline
    account: memorybudget.Account


class DropJob(msgspec.Struct, frozen=True):
    """Tells the actor to drop a job that is closed or held elsewhere."""

    host: str
    job_id: str
    reason: str


class Tick(msgspec.Struct, frozen=True):
    """Tells the actor to start what is due: scans, items and commits."""


class SlotGranted(msgspec.Struct, frozen=True):
    """Tells the actor that the hub granted a slot for a wanted item.

    `through` is the address of a peer that relays, see slotmessages.Grant.
    """

    run_id: int
    engine_id: str
    through: str = ""


class RunsPreempted(msgspec.Struct, frozen=True):
    """Tells the actor that online requests got the slots of these runs."""

    run_ids: tuple[int, ...]


class ItemRun:
    """One run of an item on an engine; stop() interrupts it.

    `call` is its connection to the engine, through a peer at the address
    `through` unless empty. The run occupies a slot under `id`. `last_event_s`
    is when the output's last event came. `new_call()` returns a Call for one
    more request.
    """

    __slots__ = (
        "_call",
        "began_s",
        "engine",
        "events_before",
        "first_event_s",
        "id",
        "index",
        "key",
        "last_event_s",
        "new_call",
        "partial",
        "pool",
        "stop_requested",
        "through",
        "version",
    )

    def __init__(
        self,
        run_id,
        key,
        index,
        engine,
        partial,
        through="",
        new_call=engineclient.Call,
    ):
        self.id = run_id
        self.began_s = time.monotonic()
        self.first_event_s = None
        self.last_event_s = self.began_s
        self.events_before = len(partial.texts)
        self.key = key
        self.index = index
        self.engine = engine.id
        self.pool = engine.pool
        self.version = engine.version
        self.partial = partial
        self.through = through
        self.stop_requested = False
        self.new_call = new_call
        self._call = new_call()

    @property
    def call(self):
        """The connection of its present request."""
        return self._call

    @call.setter
    def call(self, call):
        self._call = call
        if self.stop_requested:
            # stop() may have ended the call before.
            call.abort()

    def stop(self):
        """Interrupts the run; the engine drops it at once."""
        self.stop_requested = True
        self._call.abort()

    def record_event(self):
        """Records that the engine has put out an event."""
        self.last_event_s = time.monotonic()
        if self.first_event_s is None:
            self.first_event_s = self.last_event_s

    @property
    def first_s(self):
        """The time from the start to the first event; 0 without any."""
        if self.first_event_s is None:
            return 0.0
        return self.first_event_s - self.began_s

    @property
    def pace_s(self):
        """The mean time between two events; 0 after too few of them."""
        count = len(self.partial.texts) - self.events_before
        if self.first_event_s is None or (
            count < engineattempt.PACE_EVENTS_MIN
        ):
            return 0.0
        return (self.last_event_s - self.first_event_s) / (count - 1)


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

    `account` has the bytes of the outline, `partial_outputs` the output of
    unfinished items by index.
    """

    open_job: jobstore.OpenJob
    outline: joboutline.JobOutline
    account: memorybudget.Account
    partial_outputs: dict[int, batchjob.PartialOutput]


class TakeoverFailed(msgspec.Struct, frozen=True):
    """Reports that an attempt to take a job over has failed."""

    host: str
    job_id: str


class Stop(msgspec.Struct, frozen=True):
    """Tells the actor to start nothing new and to release the held jobs."""
