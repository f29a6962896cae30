"""Batch items on a runner, and the engines that it admits them to."""

import collections
import functools

import msgspec

from samphirepost import admission
from samphirepost import errors
from samphirepost import hashing
from samphirepost import tables
from samphirepost import targetchoice
from samphirepost_daemon import work

HINT_S = 3.0


class Held:
    """The items of a claim that have not ended here."""

    __slots__ = ("items", "partition")

    def __init__(self, grant):
        self.items = set(grant.items)
        self.partition = hashing.partition_of(grant.accepted.work)


class Run:
    """One item that this daemon runs or will run."""

    __slots__ = (
        "accepted",
        "claim",
        "failures",
        "interrupt",
        "item",
        "preempted",
        "queued_s",
        "solo",
        "started",
        "target",
        "work",
    )

    def __init__(self, grant, item):
        self.accepted = grant.accepted
        self.claim = grant.claim
        self.solo = grant.solo
        self.item = item
        self.target = ""
        self.work = None
        self.interrupt = work.Interrupt()
        self.started = False
        self.failures = 0
        self.preempted = False
        self.queued_s = 0.0


class Engine:
    """The batch work of one target that this daemon admits."""

    __slots__ = (
        "gaps",
        "hints",
        "limit",
        "paused_until_s",
        "pools",
        "pulling",
        "ready",
        "running",
    )

    def __init__(self):
        self.pools = frozenset()
        self.limit = admission.BatchLimit(1.0, admission.INITIAL_LIMIT)
        self.gaps = collections.deque(maxlen=admission.SAMPLES_MAX)
        self.hints = {}
        self.ready = collections.deque()
        self.running = []
        self.pulling = False
        self.paused_until_s = 0.0

    def online(self, now_s):
        """Returns the online requests that all daemons have there."""
        fresh = [n for n, at_s in self.hints.values() if now_s - at_s < HINT_S]
        return sum(fresh)


class Inputs:
    """Reads items' input lines; keeps the last few chunks."""

    def __init__(self, objects):
        self._objects = objects
        self._chunk = functools.lru_cache(maxsize=16)(self._read)

    def _read(self, name):
        data = self._objects.get(name)
        if isinstance(data, errors.Failure):
            raise errors.FailureError(data)
        return data.splitlines()

    def line(self, accepted, item):
        """Returns an item's input line, or a Failure."""
        chunk, offset = divmod(item, accepted.chunk_items)
        try:
            return self._chunk(accepted.chunks[chunk])[offset]
        except errors.FailureError as exc:
            return exc.failure


def pools_by_target(found):
    """Returns the pools by name that each target stands in."""
    pools = {}
    for name, row in found.pools.items():
        for destination in row.targets:
            pools.setdefault(destination.id, {})[name] = row
    return pools


def payload(kind, asked):
    """Returns what is sent to a target of this kind for an item."""
    if kind is tables.TargetKind.SERVICE:
        body = msgspec.json.encode(asked)
        return work.Service(body, "application/json")
    return work.Generation(asked, targetchoice.affinity_key(asked.prompt))
