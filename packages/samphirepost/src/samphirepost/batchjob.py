"""Batch jobs: the stored values and the decisions of a job's holder.

A job's record never changes. Its progress is one small row; every commit of
results replaces it on condition that its revision is unchanged, so two
holders can never both write. `HeldJob` is the holder's state in memory. All
instants in memory are monotonic seconds.
"""

import enum

import msgspec

from samphirepost import endings
from samphirepost import events

# Longest time between two progress writes of a holder (s), which serve as its
# heartbeat: others take over after about three missed ones (TAKEOVER_S).
HEARTBEAT_S = 1.2
# Pause (s) before an unfinished item is started again; see Setback.
RETRY_DELAY_S = 0.3
# An item is not sent again to an engine whose answer to it was unsound for
# this long (s), while its pool has another one.
AVOID_ENGINE_S = 4.0
# A job whose progress has not changed for this long (s) is taken over: its
# holder is assumed to have failed.
TAKEOVER_S = 4.0

# Rows of results, written checkpoints and deleted ones in one commit: a
# transaction of the store has at most 100 entries and 1 MB, also for the
# progress and for results of more than one row.
COMMIT_ENTRIES_MAX = 80
# Checkpoints in one commit, bytes of output in each and in all: a row in the
# store holds at most 64 KiB of base64.
CHECKPOINTS_MAX = 30
CHECKPOINT_BYTES_MAX = 10_000
CHECKPOINTS_BYTES_MAX = 250_000
# Checkpoints of one item, which are deleted in one commit.
CHECKPOINTS_PER_ITEM_MAX = 40
# Memory of an event's text beside its bytes.
TEXT_OBJECT_BYTES = 64


class FinalStatus(enum.Enum):
    """The final status of an item."""

    DONE = "done"
    GIVEN_UP = "given-up"


class Setback(enum.Enum):
    """Why an item's next run waits; the value is the longest pause (s).

    The pause is doubled with each run in a row that ended so: the item may be
    what harms engines. LOST: the engine was lost before its answer began.
    UNSOUND: its answer had no end, or was none in the protocol.
    """

    LOST = 20.0
    UNSOUND = 4.0


class Item(msgspec.Struct, frozen=True):
    """One item as submitted; `tokens` counts prompt and output together."""

    id: str
    path: str
    headers: dict[str, str]
    body: bytes
    tokens: int


class Record(msgspec.Struct, frozen=True):
    """A job as submitted.

    `host` and `path` determine its route; `route` was its name at submission.
    `organisation` is the name of the one whose job it is; empty if there was
    none, and in records of older builds.
    """

    id: str
    host: str
    route: str
    path: str
    items: tuple[Item, ...]
    organisation: str = ""


class Head(msgspec.Struct, frozen=True):
    """A job's summary, read to answer requests of callers.

    The record is stored in `pieces` rows, or in the object named `object` if
    that is not empty. `submitted_ms` is on the store's clock. See Record for
    `organisation`.
    """

    total: int
    route: str
    pieces: int
    object: str
    submitted_ms: int
    organisation: str = ""


class Progress(msgspec.Struct, frozen=True):
    """The state of an open job.

    An empty `holder` means that any daemon may take the job over. Each write
    increments `beat`. Items completed after `due_ms` are late; items not
    completed by `give_up_ms` are given up (both on the store's clock).
    `listed` has the index of the item at each position of the results;
    `waiting_tokens` counts the tokens of all other items. `error_answers`
    counts the engines' own answers of 500 by item index. `failures` has the
    same for older builds, which do not keep `error_answers` and count answers
    without end there too; it is not read. See Record for `organisation`.
    """

    route: str
    holder: str
    beat: int
    waiting_tokens: int
    due_ms: int
    give_up_ms: int
    listed: tuple[int, ...] = ()
    failures: dict[int, int] = {}
    organisation: str = ""
    error_answers: dict[int, int] = {}


class Result(msgspec.Struct, frozen=True):
    """An item's final status and complete output."""

    id: str
    end: FinalStatus
    text: bytes = b""


class IndexedResult(msgspec.Struct, frozen=True):
    """A result with the index of its item."""

    index: int
    result: Result


class Checkpoint(msgspec.Struct, frozen=True):
    """A segment of an unfinished item's output, from which to resume it.

    `first_id` is the id of its first event; `number` counts the checkpoints of
    its output, which is `output_id` and was begun at software version
    `version` in `pool`, from 0. Older builds name no pool.
    """

    index: int
    number: int
    first_id: int
    texts: tuple[bytes, ...]
    output_id: str = ""
    version: str | None = None
    pool: str | None = None


class PartialOutput:
    """The output of an unfinished item so far, over all its attempts.

    It goes on at engines of software version `version` in `pool` only, in any
    pool if that is None; an item that starts again has another `output_id`.
    The first `durable_count` events are durable, in `checkpoint_count`
    checkpoints; `row_count` rows may be stored, of former outputs too.
    `ending` is the EndEvidence of answers without a length. The thread that
    runs the item records there and appends events; the holder's thread does
    the rest. This daemon was told `preemptions` times to stop its run.
    `account` is a memorybudget.Account of what is kept, or None if nothing is
    counted.
    """

    __slots__ = (
        "account",
        "checkpoint_count",
        "durable_count",
        "ending",
        "first_id",
        "output_id",
        "pool",
        "preemptions",
        "row_count",
        "texts",
        "version",
    )

    def __init__(self, output_id="", row_count=0, account=None):
        self.preemptions = 0
        self.account = account
        self.output_id = output_id
        self.row_count = row_count
        self.pool = None
        self.version = None
        self.ending = endings.EndEvidence()
        self.first_id = None
        self.texts = []
        self.durable_count = 0
        self.checkpoint_count = 0

    @property
    def last_id(self):
        """The id of the last event, or None."""
        return self.id_of(len(self.texts))

    def id_of(self, number):
        """Returns the id of an event of the output by its number, from 1.

        Returns None for number 0, which stands for the beginning.
        """
        if not number:
            return None
        return self.first_id + number - 1

    def count_kept(self):
        """Takes from the account what is kept; returns whether it was free."""
        if self.account is None:
            return True
        size = sum(len(text) for text in self.texts)
        return self.account.take(size + TEXT_OBJECT_BYTES * len(self.texts))

    def try_keep(self, found):
        """Takes from the account for events; returns whether it was free."""
        if self.account is None:
            return True
        size = sum(len(event.data) for event in found)
        return self.account.take(size + TEXT_OBJECT_BYTES * len(found))

    def close(self):
        """Gives back what the account has."""
        if self.account is not None:
            self.account.close()

    def append_event(self, event_id, data):
        """Appends an event; returns False if it is not the next one."""
        if event_id is None:
            return False
        if self.texts and event_id != self.last_id + 1:
            return False
        if not self.texts:
            if not events.may_be_first(event_id):
                return False
            self.first_id = event_id
        self.texts.append(data)
        return True

    def restore(self, checkpoint):
        """Appends a checkpoint; returns False if it is not the next one."""
        self.row_count = max(self.row_count, checkpoint.number + 1)
        if checkpoint.number != self.checkpoint_count:
            return False
        if not self.texts:
            if not events.may_be_first(checkpoint.first_id):
                return False
            self.first_id = checkpoint.first_id
            self.output_id = checkpoint.output_id
            self.version = checkpoint.version
            self.pool = checkpoint.pool
        elif (
            checkpoint.output_id != self.output_id
            or checkpoint.first_id != self.last_id + 1
        ):
            return False
        self.texts.extend(checkpoint.texts)
        self.durable_count = len(self.texts)
        self.checkpoint_count += 1
        return True

    def next_checkpoint(self, index, bytes_max):
        """Returns a Checkpoint of output that is not yet durable, or None."""
        if self.checkpoint_count >= CHECKPOINTS_PER_ITEM_MAX:
            return None
        texts = []
        size = 0
        for text in self.texts[self.durable_count :]:
            size += len(text)
            if size > bytes_max:
                break
            texts.append(text)
        if not texts:
            return None
        first_id = self.first_id + self.durable_count
        return Checkpoint(
            index,
            self.checkpoint_count,
            first_id,
            tuple(texts),
            self.output_id,
            self.version,
            self.pool,
        )

    def can_go_on(self, version, pool):
        """Whether an engine of a version in a pool can continue the output."""
        if not self.texts:
            return True
        return version == self.version and self.pool in (None, pool)

    @property
    def text(self):
        """The output so far: the data of each event on its own line."""
        return b"\n".join(self.texts)


class Commit(msgspec.Struct, frozen=True):
    """One write: results from position `first`, and the progress after it.

    `stale` lists the checkpoints to delete, by item index and number, since
    the items' results are now stored.
    """

    revision: int
    first: int
    results: tuple[Result, ...]
    progress: Progress
    checkpoints: tuple[Checkpoint, ...] = ()
    stale: tuple[tuple[int, int], ...] = ()


class HeldJob:
    """The holder's state of a job, changed by the holder's thread only.

    `outline` is its JobOutline, whose bytes `account` has. `progress` and
    `revision` are the last durable ones; it is held since `held_s`. By item
    index: `running` are the running items, `unlisted_results` the results that
    are not listed yet, `partial_outputs` the outputs of unfinished items,
    `stale_checkpoints` how many checkpoints are to be deleted,
    `pending_failures` the failure counts that are not yet durable, and
    `retry_at_s` the instants before which items are not started again, and
    `setback_counts` the runs in a row that ended with a Setback. `failed_at`
    has the incarnations of the engines at which runs of an item failed, by
    index, and `avoided_until_s` the instants until which an item avoids an
    engine, by the engine's id. `new_account()` returns a memorybudget.Account
    of the outputs. `pending_commit` is the commit whose outcome is unknown, or
    None.
    """

    __slots__ = (
        "_account",
        "_accounts",
        "_new_account",
        "avoided_until_s",
        "commit_started_s",
        "deadline_s",
        "failed_at",
        "give_up_s",
        "held_s",
        "next_heartbeat_s",
        "outline",
        "partial_outputs",
        "pending_commit",
        "pending_failures",
        "progress",
        "retry_at_s",
        "revision",
        "running",
        "setback_counts",
        "stale_checkpoints",
        "unlisted_results",
    )

    def __init__(
        self,
        outline,
        progress,
        revision,
        store_ms,
        now_s,
        new_account=None,
        account=None,
    ):
        self._account = account
        self._new_account = new_account or (lambda: None)
        self._accounts = {}
        self.deadline_s = now_s + (progress.due_ms - store_ms) / 1000
        self.give_up_s = now_s + (progress.give_up_ms - store_ms) / 1000
        self.commit_started_s = now_s
        self.held_s = now_s
        self.outline = outline
        self.progress = progress
        self.revision = revision
        self.running = set()
        self.unlisted_results = {}
        self.partial_outputs = {}
        self.avoided_until_s = {}
        self.stale_checkpoints = {}
        self.retry_at_s = {}
        self.setback_counts = {}
        self.pending_failures = {}
        self.failed_at = {}
        self.pending_commit = None
        self.next_heartbeat_s = now_s + HEARTBEAT_S

    def is_expired(self, now_s):
        """Whether other daemons may soon take this job over.

        That is so when the outcome of a commit has been unknown for nearly
        as long as they wait before a takeover.
        """
        return (
            self.pending_commit is not None
            and now_s - self.commit_started_s > TAKEOVER_S - HEARTBEAT_S
        )

    def queued_indexes(self):
        """Returns the indexes of items neither running nor completed."""
        listed = set(self.progress.listed)
        return [
            index
            for index in range(len(self.outline.items))
            if index not in listed
            and index not in self.running
            and index not in self.unlisted_results
        ]

    def runnable_indexes(self, now_s):
        """Returns the indexes of items to start, those with output first."""
        if self.is_expired(now_s):
            return []
        found = [
            index
            for index in self.queued_indexes()
            if self.retry_at_s.get(index, 0.0) <= now_s
        ]
        return sorted(
            found, key=lambda index: index not in self.partial_outputs
        )

    def postpone_item(self, index, setback, now_s):
        """Sets when an unfinished item may be started again.

        `setback` is the Setback with which its run ended, or None.
        """
        count = self.setback_counts.get(index, 0) + 1 if setback else 0
        self.setback_counts[index] = count
        doublings = min(max(0, count - 1), 16)
        longest_s = setback.value if setback else RETRY_DELAY_S
        delay_s = min(RETRY_DELAY_S * 2**doublings, longest_s)
        self.retry_at_s[index] = now_s + delay_s

    def delay_item(self, index, now_s):
        """Has an item that could not be started wait for a pause."""
        self.retry_at_s[index] = now_s + RETRY_DELAY_S

    def avoid_engine(self, index, engine_id, now_s):
        """Has an item avoid an engine whose answer to it was unsound."""
        avoided = self.avoided_until_s.setdefault(index, {})
        avoided[engine_id] = now_s + AVOID_ENGINE_S

    def avoids_engine(self, index, engine_id, now_s):
        """Whether an item is to run at another engine, if there is one."""
        avoided = self.avoided_until_s.get(index, {})
        return now_s < avoided.get(engine_id, 0.0)

    def avoided_engines(self, index, now_s):
        """Returns the ids of the engines that an item avoids."""
        avoided = self.avoided_until_s.get(index, {})
        return {one for one, until_s in avoided.items() if now_s < until_s}

    def restart_items(self, versions, new_id):
        """Starts items again whose output no engine can continue.

        `versions` has the software version and the pool of each engine,
        `new_id()` returns the id of a new output. Returns the indexes.
        """
        found = [
            index
            for index in self.queued_indexes()
            if index in self.partial_outputs
            and not any(
                self.partial_outputs[index].can_go_on(version, pool)
                for version, pool in versions
            )
        ]
        for index in found:
            self.restart_item(index, new_id())
        return found

    def begin_output(self, index, output_id):
        """Returns an item's PartialOutput, a new one if it has none."""
        partial = self.partial_outputs.get(index)
        if partial is None:
            partial = PartialOutput(output_id, account=self._new_account())
            self.partial_outputs[index] = partial
        return partial

    def restart_item(self, index, output_id):
        """Drops the output of an item, which begins again."""
        old = self.partial_outputs[index]
        old.close()
        self.partial_outputs[index] = PartialOutput(
            output_id, old.row_count, self._new_account()
        )

    def take_over_outputs(self, partial_outputs, new_id):
        """Goes on with stored outputs, as far as memory is free for them."""
        for index, partial in partial_outputs.items():
            partial.account = self._new_account()
            self.partial_outputs[index] = partial
            if not partial.count_kept():
                self.restart_item(index, new_id())

    def close(self):
        """Gives back its memory, but for the outputs of running items."""
        for index, partial in self.partial_outputs.items():
            if index not in self.running:
                partial.close()
        for account in self._accounts.values():
            account.close()
        self._accounts.clear()
        if self._account is not None:
            self._account.close()

    def failure_count(self, index):
        """Returns the number of failed attempts of an item."""
        durable = self.progress.error_answers.get(index, 0)
        return self.pending_failures.get(index, durable)

    def finish_item(self, index, result):
        """Records the result of an item; a second result is ignored."""
        is_running = index in self.running
        self.running.discard(index)
        partial = self.partial_outputs.pop(index, None)
        if partial is not None and partial.row_count:
            self.stale_checkpoints[index] = partial.row_count
        if partial is not None and partial.account is not None:
            self._settle_account(index, partial, result, is_running)
        if index not in self.progress.listed:
            self.unlisted_results.setdefault(index, result)

    def _settle_account(self, index, partial, result, is_running):
        """Gives back what the result of an item does not keep."""
        if result.text:
            spare = partial.account.held - len(result.text)
            partial.account.give_back(max(0, spare))
            self._accounts[index] = partial.account
        elif not is_running:
            partial.close()

    def end_run(self, index, partial):
        """Gives back the output of a run that has ended, unless it is kept.

        Until then the thread of the run may add to an item that was given up.
        """
        is_result = self._accounts.get(index) is partial.account
        if self.partial_outputs.get(index) is not partial and not is_result:
            partial.close()

    def fail_item(self, index, attempts_max):
        """Counts a failed attempt; gives the item up at `attempts_max`."""
        self.running.discard(index)
        count = self.failure_count(index) + 1
        self.pending_failures[index] = count
        if count >= attempts_max:
            self.give_up_item(index)

    def give_up_item(self, index):
        """Records an item as given up, without output."""
        item = self.outline.items[index]
        self.finish_item(index, Result(item.id, FinalStatus.GIVEN_UP))

    def is_commit_due(self, now_s):
        """Whether a commit is due and none is pending."""
        if self.pending_commit is not None:
            return False
        if self.unlisted_results or self.pending_failures:
            return True
        return now_s >= self.next_heartbeat_s

    def next_commit(self, results_max, bytes_max, now_s):
        """Returns the next Commit and makes it the pending one.

        A failed write must be repeated with the same Commit, until its
        outcome is known.
        """
        chosen = []
        size = 0
        entries = 0
        for index, result in self.unlisted_results.items():
            if len(chosen) >= results_max:
                break
            if chosen and size + len(result.text) > bytes_max:
                break
            needed = 1 + self.stale_checkpoints.get(index, 0)
            if chosen and entries + needed > COMMIT_ENTRIES_MAX:
                break
            chosen.append(IndexedResult(index, result))
            size += len(result.text)
            entries += needed
        listed = (
            *self.progress.listed,
            *(indexed.index for indexed in chosen),
        )
        return self._start_commit(chosen, self._next_progress(listed), now_s)

    def _start_commit(self, chosen, progress, now_s):
        stale = tuple(
            (indexed.index, number)
            for indexed in chosen
            for number in range(self.stale_checkpoints.get(indexed.index, 0))
        )
        self.commit_started_s = now_s
        self.next_heartbeat_s = now_s + HEARTBEAT_S
        self.pending_commit = Commit(
            self.revision,
            len(self.progress.listed),
            tuple(indexed.result for indexed in chosen),
            progress,
            self._new_checkpoints(
                COMMIT_ENTRIES_MAX - len(chosen) - len(stale)
            ),
            stale,
        )
        return self.pending_commit

    def _new_checkpoints(self, room):
        """Returns `room` checkpoints at most."""
        checkpoints = []
        size = 0
        for index, partial in self.partial_outputs.items():
            if len(checkpoints) >= min(CHECKPOINTS_MAX, room):
                break
            if size + CHECKPOINT_BYTES_MAX > CHECKPOINTS_BYTES_MAX:
                break
            checkpoint = partial.next_checkpoint(index, CHECKPOINT_BYTES_MAX)
            if checkpoint is not None:
                checkpoints.append(checkpoint)
                size += sum(len(text) for text in checkpoint.texts)
        return tuple(checkpoints)

    def _next_progress(self, listed):
        old = self.progress
        listed_set = set(listed)
        error_answers = {**old.error_answers, **self.pending_failures}
        unlisted_tokens = sum(
            item.tokens
            for index, item in enumerate(self.outline.items)
            if index not in listed_set
        )
        return msgspec.structs.replace(
            old,
            beat=old.beat + 1,
            listed=listed,
            waiting_tokens=unlisted_tokens,
            failures=error_answers,
            error_answers=error_answers,
        )

    def apply_commit(self, revision):
        """Applies the pending Commit, durable as `revision`."""
        commit = self.pending_commit
        self.pending_commit = None
        for index in commit.progress.listed[commit.first :]:
            self.unlisted_results.pop(index, None)
            account = self._accounts.pop(index, None)
            if account is not None:
                account.close()
            self.stale_checkpoints.pop(index, None)
        for checkpoint in commit.checkpoints:
            self._apply_checkpoint(checkpoint)
        for index, count in commit.progress.error_answers.items():
            if self.pending_failures.get(index) == count:
                del self.pending_failures[index]
        self.progress = commit.progress
        self.revision = revision

    def _apply_checkpoint(self, checkpoint):
        """Records that a checkpoint is durable.

        If its item has finished meanwhile, the checkpoint is to be deleted.
        """
        partial = self.partial_outputs.get(checkpoint.index)
        count = checkpoint.number + 1
        if partial is not None:
            partial.row_count = max(partial.row_count, count)
            if partial.output_id != checkpoint.output_id:
                return
        if partial is None:
            if checkpoint.index in self.unlisted_results:
                known = self.stale_checkpoints.get(checkpoint.index, 0)
                self.stale_checkpoints[checkpoint.index] = max(known, count)
            return
        partial.durable_count += len(checkpoint.texts)
        partial.checkpoint_count += 1

    def release_commit(self, now_s):
        """Returns the Commit that releases the job for takeover.

        Returns None while another commit is pending.
        """
        if self.pending_commit is not None:
            return None
        progress = msgspec.structs.replace(
            self._next_progress(self.progress.listed), holder=""
        )
        return self._start_commit([], progress, now_s)

    @property
    def is_complete(self):
        """Whether every item is listed."""
        return len(self.progress.listed) == len(self.outline.items)
