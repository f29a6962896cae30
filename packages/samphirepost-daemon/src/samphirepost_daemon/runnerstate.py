"""State of a runner: its batch items and the targets they run on."""

import collections
import functools

import msgspec

from samphirepost import admission
from samphirepost import errors
from samphirepost import hashing
from samphirepost import tables
from samphirepost import targetchoice
from samphirepost_daemon import workitem

HINT_AGE_MAX_S = 3.0


class HeldClaim:
    """The partition of a claim, and its items that this daemon still has."""

    __slots__ = ("items", "partition")

    def __init__(self, grant):
        self.items = set(grant.items)
        self.partition = hashing.partition_of(grant.accepted.work)


class ItemExecution:
    """One item that this daemon runs or has queued.

    `started` is set once the owner has recorded the start, which only items
    that are not idempotent need. `failures` counts failed executions here.
    An `isolated` item runs only while no other item does.
    """

    __slots__ = (
        "accepted",
        "claim",
        "failures",
        "interrupt",
        "isolated",
        "item",
        "preempted",
        "queued_s",
        "started",
        "target",
        "work",
    )

    def __init__(self, grant, item):
        self.accepted = grant.accepted
        self.claim = grant.claim
        self.isolated = grant.solo
        self.item = item
        self.target = ""
        self.work = None
        self.interrupt = workitem.Interrupt()
        self.started = False
        self.failures = 0
        self.preempted = False
        self.queued_s = 0.0


class TargetBatchState:
    """The batch work of one target, admitted by this daemon.

    Plain services have a state as well as engines.

    `token_intervals_ms` is appended to by the threads that run items.
    `hints` maps each daemon to its count of online requests and the time it
    was received.
    """

    __slots__ = (
        "hints",
        "is_pulling",
        "limit",
        "paused_until_s",
        "pools",
        "queue",
        "running",
        "token_intervals_ms",
    )

    def __init__(self):
        self.pools = frozenset()
        self.limit = admission.BatchLimit(1.0, admission.INITIAL_LIMIT)
        self.token_intervals_ms = collections.deque(
            maxlen=admission.SAMPLES_MAX
        )
        self.hints = {}
        self.queue = collections.deque()
        self.running = []
        self.is_pulling = False
        self.paused_until_s = 0.0

    def count_online(self, now_s):
        """Returns the sum of the daemons' online requests on the target.

        Counts older than HINT_AGE_MAX_S are ignored.
        """
        fresh_counts = [
            n
            for n, at_s in self.hints.values()
            if now_s - at_s < HINT_AGE_MAX_S
        ]
        return sum(fresh_counts)


class InputReader:
    """Reads the input lines of items; caches the chunks read last."""

    def __init__(self, objects):
        self._objects = objects
        self._read_chunk = functools.lru_cache(maxsize=16)(self._fetch_chunk)

    def _fetch_chunk(self, name):
        data = self._objects.get(name)
        if isinstance(data, errors.Failure):
            raise errors.FailureError(data)
        return data.splitlines()

    def read_line(self, accepted, item):
        """Returns an item's input line, or a Failure."""
        chunk, offset = divmod(item, accepted.chunk_items)
        try:
            return self._read_chunk(accepted.chunks[chunk])[offset]
        except errors.FailureError as exc:
            return exc.failure


def pools_by_target(active_tables):
    """Returns the pools of each target: target id -> name -> pool."""
    pools = {}
    for name, row in active_tables.pools.items():
        for destination in row.targets:
            pools.setdefault(destination.id, {})[name] = row
    return pools


def make_payload(kind, item_body):
    """Returns the payload of an item for a target of this kind."""
    if kind is tables.TargetKind.SERVICE:
        body = msgspec.json.encode(item_body)
        return workitem.ServicePayload(body, "application/json")
    return workitem.CompletionPayload(
        item_body, targetchoice.affinity_key(item_body.prompt)
    )
