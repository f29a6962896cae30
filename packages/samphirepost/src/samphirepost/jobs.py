"""Batch jobs in a partition's ledger: item states, queues and results."""

import array
import collections
import enum

import msgspec

from samphirepost import records


class ItemState(enum.IntEnum):
    """The state of one item."""

    PENDING = 0
    CLAIMED = 1
    STARTED = 2
    DONE = 3
    FAILED = 4
    UNKNOWN = 5


OPEN_STATES = (ItemState.PENDING, ItemState.CLAIMED, ItemState.STARTED)
# An item is run isolated once this many of its runners have failed: it may be
# the cause, and other items must not fail with it again.
RUNNER_FAILURES_TO_ISOLATE = 2
NO_SEGMENT = 0xFFFFFFFF


class Phase(enum.Enum):
    """The phase of a job."""

    RUNNING = "running"
    CANCELLED = "cancelled"
    COMPLETED = "completed"


class JobSnapshot(msgspec.Struct, frozen=True):
    """A job as stored in a snapshot."""

    accepted: records.JobAccepted
    phase: Phase
    states: bytes
    blames: bytes
    segments: bytes
    positions: bytes
    results: str
    names: tuple[str, ...]


class Job:
    """A job and the state of each of its items.

    Per-item data (state, number of failed runners, result reference) is
    stored in byte and integer arrays, since a job can have more than
    100 000 items.
    """

    __slots__ = (
        "accepted",
        "counts",
        "runner_failures",
        "isolated",
        "names",
        "phase",
        "positions",
        "queue",
        "results",
        "segments",
        "states",
    )

    def __init__(self, accepted):
        total = accepted.total
        self.accepted = accepted
        self.phase = Phase.RUNNING
        self.states = bytearray(total)
        self.runner_failures = bytearray(total)
        self.segments = array.array("I", [NO_SEGMENT]) * total
        self.positions = array.array("I", [0]) * total
        self.names = []
        self.results = ""
        self.queue = collections.deque(range(total))
        self.isolated = collections.deque()
        self.counts = [0] * len(ItemState)
        self.counts[ItemState.PENDING] = total

    @property
    def open_items(self):
        """The number of items without a final state."""
        return sum(self.counts[state] for state in OPEN_STATES)

    @property
    def has_queued_items(self):
        """Whether an item is queued and the job runs."""
        running = self.phase is Phase.RUNNING
        return running and bool(self.queue or self.isolated)

    def set_state(self, item, state):
        """Changes the item's state and the counts."""
        self.counts[self.states[item]] -= 1
        self.states[item] = state
        self.counts[state] += 1

    def claim(self, items):
        """Marks the items as claimed and removes them from the queues."""
        removed = set(items)
        for item in items:
            self.set_state(item, ItemState.CLAIMED)
        self.queue = _without(self.queue, removed)
        self.isolated = _without(self.isolated, removed)

    def requeue(self, items, runner_failed):
        """Queues claimed items again.

        `runner_failed`: their runner failed, which is counted for each item.
        """
        for item in items:
            if self.states[item] != ItemState.CLAIMED:
                continue
            if runner_failed:
                self.runner_failures[item] = min(
                    255, self.runner_failures[item] + 1
                )
            self.set_state(item, ItemState.PENDING)
            self._enqueue(item)

    def finish_item(self, item, state, reference):
        """Records the item's final state and where its result is stored."""
        if self.states[item] == ItemState.PENDING:
            self.queue = _without(self.queue, {item})
            self.isolated = _without(self.isolated, {item})
        self.set_state(item, state)
        if not self.names or self.names[-1] != reference.segment:
            self.names.append(reference.segment)
        self.segments[item] = len(self.names) - 1
        self.positions[item] = reference.position

    def reference(self, item):
        """Returns the Reference of the item's result, or None."""
        index = self.segments[item]
        if index == NO_SEGMENT:
            return None
        name = self.names[index]
        return records.Reference(name, self.positions[item])

    def next_items(self, room):
        """Returns the items to grant next, and whether they run isolated.

        These are up to `room` items of the queue. Isolated items are granted
        once the queue is empty, one at a time.
        """
        if self.queue:
            count = min(room, len(self.queue))
            return [self.queue[i] for i in range(count)], False
        return [self.isolated[0]], True

    def drop_references(self):
        """Drops references and failure counts; one object has all results."""
        self.names = []
        self.segments = array.array("I")
        self.positions = array.array("I")
        self.runner_failures = bytearray()

    def save(self):
        """Returns the job in its snapshot form."""
        return JobSnapshot(
            self.accepted,
            self.phase,
            bytes(self.states),
            bytes(self.runner_failures),
            self.segments.tobytes(),
            self.positions.tobytes(),
            self.results,
            tuple(self.names),
        )

    def _enqueue(self, item):
        if self.runner_failures[item] >= RUNNER_FAILURES_TO_ISOLATE:
            self.isolated.append(item)
        else:
            self.queue.append(item)


def load(saved):
    """Returns the Job restored from its snapshot form."""
    job = Job(saved.accepted)
    job.phase = saved.phase
    job.states = bytearray(saved.states)
    job.runner_failures = bytearray(saved.blames)
    job.segments = array.array("I", saved.segments)
    job.positions = array.array("I", saved.positions)
    job.results = saved.results
    job.names = list(saved.names)
    job.counts = [job.states.count(state) for state in ItemState]
    job.queue.clear()
    for item, state in enumerate(job.states):
        if state == ItemState.PENDING:
            job._enqueue(item)
    return job


def _without(queue, removed):
    while queue and queue[0] in removed:
        removed.discard(queue.popleft())
    if not removed.intersection(queue):
        return queue
    return collections.deque(i for i in queue if i not in removed)
