"""A batch job: what is kept of it, and the decisions of its holder.

The job's record never changes. Its progress is one small value that every
write of results replaces under a condition on its revision, so two holders
can never both write. `Work` is the holder's state in memory.
"""

import enum

import msgspec

# A holder's progress is written at least this often (s), so that others can
# tell that it lives; four in a row may be late before a takeover.
BEAT_S = 1.2
# A job whose progress did not change for this long (s) has lost its holder.
TAKEOVER_S = 4.0


class End(enum.Enum):
    """How an item ended."""

    DONE = "done"
    GIVEN_UP = "given-up"


class Item(msgspec.Struct, frozen=True):
    """One item as submitted; `tokens` is prompt and output together."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int


class Record(msgspec.Struct, frozen=True):
    """A whole job as submitted; `host` and `route` tell where it runs."""

    id: str
    host: str
    route: str
    path: str
    items: tuple[Item, ...]


class Head(msgspec.Struct, frozen=True):
    """What is read of a job to answer its callers.

    The record lies in `pieces` rows, or in the object `object` if that is
    not empty. `submitted_ms` is on the store's clock.
    """

    total: int
    route: str
    pieces: int
    object: str
    submitted_ms: int


class Progress(msgspec.Struct, frozen=True):
    """The state of an open job.

    An empty `holder` offers the job to any daemon. Items that are done after
    `due_ms` are late, and after `give_up_ms` they are given up (both on the
    store's clock). `listed` holds the items' indexes by the position of
    their results. `failures` counts failed runs by index.
    """

    route: str
    holder: str
    beat: int
    waiting_tokens: int
    due_ms: int
    give_up_ms: int
    listed: tuple[int, ...] = ()
    failures: dict[int, int] = {}


class Result(msgspec.Struct, frozen=True):
    """An item's end and its whole output."""

    id: str
    end: End
    text: bytes = b""


class Ended(msgspec.Struct, frozen=True):
    """An item that ended and is not listed yet."""

    index: int
    result: Result


class Commit(msgspec.Struct, frozen=True):
    """One write: results from position `first`, and the progress after it.

    The progress is None when the job is complete.
    """

    revision: int
    first: int
    results: tuple[Result, ...]
    progress: Progress


class Work:
    """A held job: what is durable, what runs and what has to be written."""

    __slots__ = (
        "beat_due_s",
        "commit_began_s",
        "committing",
        "due_s",
        "ended",
        "give_up_s",
        "partial",
        "progress",
        "record",
        "revision",
        "retry_at_s",
        "running",
        "unsaved_failures",
    )

    def __init__(self, record, progress, revision, store_ms, now_s):
        self.due_s = now_s + (progress.due_ms - store_ms) / 1000
        self.give_up_s = now_s + (progress.give_up_ms - store_ms) / 1000
        self.commit_began_s = now_s
        self.record = record
        self.progress = progress
        self.revision = revision
        self.running = set()
        self.ended = {}
        self.partial = {}
        self.retry_at_s = {}
        self.unsaved_failures = {}
        self.committing = None
        self.beat_due_s = now_s + BEAT_S

    def lapsed(self, now_s):
        """Whether others may take this job for abandoned.

        Its writes have not been settled for nearly as long as others wait.
        """
        return (
            self.committing is not None
            and now_s - self.commit_began_s > TAKEOVER_S - BEAT_S
        )

    def unfinished(self):
        """Returns the indexes that neither run nor have ended."""
        listed = set(self.progress.listed)
        return [
            index
            for index in range(len(self.record.items))
            if index not in listed
            and index not in self.running
            and index not in self.ended
        ]

    def runnable(self, now_s):
        """Returns the indexes that may be started, those begun first."""
        if self.lapsed(now_s):
            return []
        found = [
            index
            for index in self.unfinished()
            if self.retry_at_s.get(index, 0.0) <= now_s
        ]
        return sorted(found, key=lambda index: index not in self.partial)

    def failures(self, index):
        """Returns how often the item's runs failed."""
        saved = self.progress.failures.get(index, 0)
        return self.unsaved_failures.get(index, saved)

    def finish(self, index, result):
        """Notes the end of an item."""
        self.running.discard(index)
        self.partial.pop(index, None)
        if index not in self.progress.listed:
            self.ended.setdefault(index, result)

    def fail(self, index, attempts_max):
        """Counts a failed run; gives the item up after `attempts_max`."""
        self.running.discard(index)
        count = self.failures(index) + 1
        self.unsaved_failures[index] = count
        if count >= attempts_max:
            self.give_up(index)

    def give_up(self, index):
        """Ends an item without output."""
        item = self.record.items[index]
        self.finish(index, Result(item.id, End.GIVEN_UP))

    def due(self, now_s):
        """Whether a write is due and none is under way."""
        if self.committing is not None:
            return False
        if self.ended or self.unsaved_failures:
            return True
        return now_s >= self.beat_due_s

    def next_commit(self, results_max, bytes_max, now_s):
        """Returns the next write; it stays the same until it is settled."""
        chosen = []
        size = 0
        for index, result in self.ended.items():
            if len(chosen) >= results_max:
                break
            if chosen and size + len(result.text) > bytes_max:
                break
            chosen.append(Ended(index, result))
            size += len(result.text)
        listed = (*self.progress.listed, *(one.index for one in chosen))
        self.commit_began_s = now_s
        self.committing = Commit(
            self.revision,
            len(self.progress.listed),
            tuple(one.result for one in chosen),
            self._progress(listed),
        )
        self.beat_due_s = now_s + BEAT_S
        return self.committing

    def _progress(self, listed):
        old = self.progress
        known = set(listed)
        waiting = sum(
            item.tokens
            for index, item in enumerate(self.record.items)
            if index not in known
        )
        return msgspec.structs.replace(
            old,
            beat=old.beat + 1,
            listed=listed,
            waiting_tokens=waiting,
            failures={**old.failures, **self.unsaved_failures},
        )

    def committed(self, revision):
        """Takes the write under way as durable."""
        commit = self.committing
        self.committing = None
        for index in commit.progress.listed[commit.first :]:
            self.ended.pop(index, None)
        for index, count in commit.progress.failures.items():
            if self.unsaved_failures.get(index) == count:
                del self.unsaved_failures[index]
        self.progress = commit.progress
        self.revision = revision

    def offer(self):
        """Returns the write that offers the job to other daemons, if any."""
        if self.committing is not None:
            return None
        progress = msgspec.structs.replace(
            self._progress(self.progress.listed), holder=""
        )
        self.committing = Commit(
            self.revision, len(self.progress.listed), (), progress
        )
        return self.committing

    @property
    def complete(self):
        """Whether every item is listed."""
        return len(self.progress.listed) == len(self.record.items)


class Watched(msgspec.Struct):
    """An open job as a daemon that does not hold it last saw it."""

    revision: int
    progress: Progress
    changed_s: float


class Watch:
    """Follows the open jobs, to find those that have lost their holder."""

    __slots__ = ("_jobs",)

    def __init__(self):
        self._jobs = {}

    def see(self, key, revision, progress, now_s):
        """Notes an open job's newest progress."""
        known = self._jobs.get(key)
        if known is None or known.revision != revision:
            self._jobs[key] = Watched(revision, progress, now_s)

    def gone(self, key):
        """Notes that a job is no longer open."""
        self._jobs.pop(key, None)

    def blind(self, now_s):
        """Starts all waits again, for the changes could not be seen."""
        for job in self._jobs.values():
            job.changed_s = now_s

    def keys(self):
        """Returns the keys of the open jobs."""
        return list(self._jobs)

    def abandoned(self, now_s, held):
        """Returns jobs whose holder is gone, those longest first."""
        found = [
            (job.changed_s, key)
            for key, job in self._jobs.items()
            if key not in held
            and (
                not job.progress.holder or now_s - job.changed_s >= TAKEOVER_S
            )
        ]
        return [key for _, key in sorted(found)]

    def get(self, key):
        """Returns what was last seen of an open job, or None."""
        return self._jobs.get(key)
