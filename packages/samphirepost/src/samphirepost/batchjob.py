"""A batch job: what is kept of it, and the decisions of its holder.

The job's record never changes. Its progress is one small value that every
write of results replaces under a condition on its revision, so two holders
can never both write. `Work` is the holder's state in memory.
"""

import enum

import msgspec

from samphirepost import hashing

# A holder's progress is written at least this often (s), so that others can
# tell that it lives; four in a row may be late before a takeover.
BEAT_S = 1.2
# A job whose progress did not change for this long (s) has lost its holder.
TAKEOVER_S = 4.0

# Unfinished items whose output one write saves, and bytes of each: a store
# row takes 64 KiB of base64, and a transaction 100 entries.
CHECKPOINTS_MAX = 30
CHECKPOINT_BYTES_MAX = 10_000
# Weight of a new run in what is learned of the items' pace.
PACE_GAIN = 0.2

# A job whose holder is no member is taken over after this (s): a daemon
# writes its row when it starts, and may hold its first job before.
ORPHAN_S = 1.0


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


class Checkpoint(msgspec.Struct, frozen=True):
    """A stretch of an unfinished item's output, so that a run can go on.

    `first_id` is the id of its first event; `number` counts the stretches of
    the item.
    """

    index: int
    number: int
    first_id: int
    texts: tuple[bytes, ...]


class Partial:
    """What an item's runs have put out so far."""

    __slots__ = ("checkpoints", "first_id", "saved", "texts")

    def __init__(self):
        self.first_id = None
        self.texts = []
        self.saved = 0
        self.checkpoints = 0

    @property
    def last_id(self):
        """The id of the last event, or None."""
        if not self.texts:
            return None
        return self.first_id + len(self.texts) - 1

    def take(self, event_id, data):
        """Adds an event; returns whether it is the next one."""
        if event_id is None:
            return False
        if self.texts and event_id != self.last_id + 1:
            return False
        if not self.texts:
            self.first_id = event_id
        self.texts.append(data)
        return True

    def restore(self, checkpoint):
        """Adds a saved stretch; returns whether it is the next one."""
        if checkpoint.number != self.checkpoints:
            return False
        if self.texts and checkpoint.first_id != self.last_id + 1:
            return False
        if not self.texts:
            self.first_id = checkpoint.first_id
        self.texts.extend(checkpoint.texts)
        self.saved = len(self.texts)
        self.checkpoints += 1
        return True

    def unsaved(self, index, bytes_max):
        """Returns a Checkpoint of what is not saved, or None."""
        texts = []
        size = 0
        for text in self.texts[self.saved :]:
            size += len(text)
            if size > bytes_max:
                break
            texts.append(text)
        if not texts:
            return None
        first_id = self.first_id + self.saved
        return Checkpoint(index, self.checkpoints, first_id, tuple(texts))

    @property
    def text(self):
        """The output so far: the events' data, a line each."""
        return b"\n".join(self.texts)


class Commit(msgspec.Struct, frozen=True):
    """One write: results from position `first`, and the progress after it.

    `stale` names the saved stretches, by index and number, that results
    make needless.
    """

    revision: int
    first: int
    results: tuple[Result, ...]
    progress: Progress
    checkpoints: tuple[Checkpoint, ...] = ()
    stale: tuple[tuple[int, int], ...] = ()


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
        "stale",
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
        self.stale = {}
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
        partial = self.partial.pop(index, None)
        if partial is not None and partial.checkpoints:
            self.stale[index] = partial.checkpoints
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
        return self._begin(chosen, self._progress(listed), now_s)

    def _begin(self, chosen, progress, now_s):
        stale = tuple(
            (one.index, number)
            for one in chosen
            for number in range(self.stale.get(one.index, 0))
        )
        self.commit_began_s = now_s
        self.beat_due_s = now_s + BEAT_S
        self.committing = Commit(
            self.revision,
            len(self.progress.listed),
            tuple(one.result for one in chosen),
            progress,
            self._checkpoints(),
            stale,
        )
        return self.committing

    def _checkpoints(self):
        found = []
        for index, partial in self.partial.items():
            if len(found) >= CHECKPOINTS_MAX:
                break
            one = partial.unsaved(index, CHECKPOINT_BYTES_MAX)
            if one is not None:
                found.append(one)
        return tuple(found)

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
            self.stale.pop(index, None)
        for one in commit.checkpoints:
            self._saved(one)
        for index, count in commit.progress.failures.items():
            if self.unsaved_failures.get(index) == count:
                del self.unsaved_failures[index]
        self.progress = commit.progress
        self.revision = revision

    def _saved(self, checkpoint):
        partial = self.partial.get(checkpoint.index)
        if partial is None:
            count = checkpoint.number + 1
            if checkpoint.index in self.ended:
                self.stale[checkpoint.index] = count
            return
        partial.saved += len(checkpoint.texts)
        partial.checkpoints += 1

    def offer(self, now_s):
        """Returns the write that offers the job to other daemons, if any."""
        if self.committing is not None:
            return None
        progress = msgspec.structs.replace(
            self._progress(self.progress.listed), holder=""
        )
        return self._begin([], progress, now_s)

    @property
    def complete(self):
        """Whether every item is listed."""
        return len(self.progress.listed) == len(self.record.items)


class Pace:
    """How long items take, learned from those that ended."""

    __slots__ = ("_events_per_token", "_seconds_per_event")

    def __init__(self):
        self._events_per_token = None
        self._seconds_per_event = None

    def learn(self, tokens, events, took_s):
        """Notes a whole run."""
        if not tokens or not events:
            return
        self._events_per_token = _mix(self._events_per_token, events / tokens)
        self._seconds_per_event = _mix(
            self._seconds_per_event, took_s / events
        )

    def left_s(self, tokens, events):
        """Returns the time to the end of an item with `events` put out."""
        if self._seconds_per_event is None:
            return 0.0
        left = max(0.0, tokens * self._events_per_token - events)
        return left * self._seconds_per_event


def _mix(old, new):
    return new if old is None else old + PACE_GAIN * (new - old)


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

    def abandoned(self, now_s, held, alive, me):
        """Returns jobs whose holder is gone, in this daemon's own order.

        `alive` has the daemons that are members, or is None if that is not
        known. A holder that is no member has stopped or started anew.
        """
        found = [
            key
            for key, job in self._jobs.items()
            if key not in held and _is_abandoned(job, now_s, alive)
        ]
        return hashing.ranked(me, found)

    def get(self, key):
        """Returns what was last seen of an open job, or None."""
        return self._jobs.get(key)


def _is_abandoned(job, now_s, alive):
    holder = job.progress.holder
    waited_s = now_s - job.changed_s
    if not holder or waited_s >= TAKEOVER_S:
        return True
    return alive is not None and holder not in alive and waited_s >= ORPHAN_S
