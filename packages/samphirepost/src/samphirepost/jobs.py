"""Batch jobs in a partition's ledger: item states, queues and results."""

import array
import collections
import enum

import msgspec

from samphirepost import records


class Item(enum.IntEnum):
    """The state of one item."""

    PENDING = 0
    CLAIMED = 1
    STARTED = 2
    DONE = 3
    FAILED = 4
    UNKNOWN = 5


OPEN_STATES = (Item.PENDING, Item.CLAIMED, Item.STARTED)
# An item is run isolated once this many of its runners have failed: it may be
# the cause, and other items must not fail with it again.
HOLDER_FAILURES_TO_ISOLATE = 2
NO_SEGMENT = 0xFFFFFFFF


class Phase(enum.Enum):
    """The phase of a job."""

    RUNNING = "running"
    CANCELLED = "cancelled"
    COMPLETED = "completed"


class Saved(msgspec.Struct, frozen=True):
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

    Per-item data lies in byte and integer arrays, since a job can have
    more than 100 000 items: a state, a count of holder failures and a
    result reference.
    """

    __slots__ = (
        "accepted",
        "blames",
        "counts",
        "names",
        "phase",
        "positions",
        "queue",
        "results",
        "segments",
        "solo",
        "states",
    )

    def __init__(self, accepted):
        total = accepted.total
        self.accepted = accepted
        self.phase = Phase.RUNNING
        self.states = bytearray(total)
        self.blames = bytearray(total)
        self.segments = array.array("I", [NO_SEGMENT]) * total
        self.positions = array.array("I", [0]) * total
        self.names = []
        self.results = ""
        self.queue = collections.deque(range(total))
        self.solo = collections.deque()
        self.counts = [0] * len(Item)
        self.counts[Item.PENDING] = total

    @property
    def open_items(self):
        """The number of items without a final state."""
        return sum(self.counts[state] for state in OPEN_STATES)

    @property
    def waiting(self):
        """Whether an item is queued and the job runs."""
        running = self.phase is Phase.RUNNING
        return running and bool(self.queue or self.solo)

    def move(self, item, state):
        """Changes the item's state and the counts."""
        self.counts[self.states[item]] -= 1
        self.states[item] = state
        self.counts[state] += 1

    def claim(self, items):
        """Marks the items as claimed and removes them from the queues."""
        removed = set(items)
        for item in items:
            self.move(item, Item.CLAIMED)
        self.queue = _without(self.queue, removed)
        self.solo = _without(self.solo, removed)

    def put_back(self, items, blamed):
        """Queues claimed items again.

        `blamed`: their holder failed, which is counted for each item.
        """
        for item in items:
            if self.states[item] != Item.CLAIMED:
                continue
            if blamed:
                self.blames[item] = min(255, self.blames[item] + 1)
            self.move(item, Item.PENDING)
            self._enqueue(item)

    def finish(self, item, state, reference):
        """Records the item's final state and where its result is stored."""
        if self.states[item] == Item.PENDING:
            self.queue = _without(self.queue, {item})
            self.solo = _without(self.solo, {item})
        self.move(item, state)
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

        Isolated items come last, one at a time.
        """
        if self.queue:
            count = min(room, len(self.queue))
            return [self.queue[i] for i in range(count)], False
        return [self.solo[0]], True

    def drop_references(self):
        """Drops the per-item references once one object has all results."""
        self.names = []
        self.segments = array.array("I")
        self.positions = array.array("I")
        self.blames = bytearray()

    def save(self):
        """Returns the job in its snapshot form."""
        return Saved(
            self.accepted,
            self.phase,
            bytes(self.states),
            bytes(self.blames),
            self.segments.tobytes(),
            self.positions.tobytes(),
            self.results,
            tuple(self.names),
        )

    def _enqueue(self, item):
        if self.blames[item] >= HOLDER_FAILURES_TO_ISOLATE:
            self.solo.append(item)
        else:
            self.queue.append(item)


def load(saved):
    """Returns the Job restored from its snapshot form."""
    job = Job(saved.accepted)
    job.phase = saved.phase
    job.states = bytearray(saved.states)
    job.blames = bytearray(saved.blames)
    job.segments = array.array("I", saved.segments)
    job.positions = array.array("I", saved.positions)
    job.results = saved.results
    job.names = list(saved.names)
    job.counts = [job.states.count(state) for state in Item]
    job.queue.clear()
    for item, state in enumerate(job.states):
        if state == Item.PENDING:
            job._enqueue(item)
    return job


def _without(queue, removed):
    while queue and queue[0] in removed:
        removed.discard(queue.popleft())
    if not removed.intersection(queue):
        return queue
    return collections.deque(i for i in queue if i not in removed)
