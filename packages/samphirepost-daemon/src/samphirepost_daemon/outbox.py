"""Sends items' results to their jobs' owners until they are durable."""

import threading

import msgspec

from samphirepost import errors
from samphirepost import messages
from samphirepost_daemon import metrics

FLUSH_S = 0.05
WAIT_S = 3.0
RESULTS_MAX = 500


class Ended(msgspec.Struct, frozen=True):
    """An item's result under the claim that it was run with."""

    work: str
    claim: str
    result: messages.ItemResult


class Back(msgspec.Struct, frozen=True):
    """An item to hand back unfinished."""

    work: str
    claim: str
    item: int


class Outbox(threading.Thread):
    """Keeps results in memory until their owner has them durable."""

    def __init__(self, owners):
        super().__init__(daemon=True)
        self._owners = owners
        self._lock = threading.Lock()
        self._results = {}
        self._back = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()

    def put(self, ended):
        """Queues a result."""
        with self._lock:
            key = (ended.work, ended.claim)
            self._results.setdefault(key, []).append(ended.result)
        self._wake.set()

    def put_back(self, back):
        """Queues an item to hand back."""
        with self._lock:
            key = (back.work, back.claim)
            self._back.setdefault(key, []).append(back.item)
        self._wake.set()

    def __len__(self):
        with self._lock:
            return sum(len(r) for r in self._results.values()) + sum(
                len(b) for b in self._back.values()
            )

    def run(self):
        while not self._stopped.is_set():
            self._wake.wait(1.0)
            self._wake.clear()
            self._stopped.wait(FLUSH_S)
            self.flush()

    def stop(self):
        """Ends the thread."""
        self._stopped.set()
        self._wake.set()

    def flush(self):
        """Offers everything once; keeps what is not settled."""
        for command in self._commands():
            reply = self._owners.request_work(command.work, command, WAIT_S)
            if _is_settled(reply):
                self._remove(command)
            else:
                self._wake.set()

    def _commands(self):
        with self._lock:
            finishes = [
                messages.FinishItems(work, claim, tuple(found[:RESULTS_MAX]))
                for (work, claim), found in self._results.items()
            ]
            releases = [
                messages.ReleaseItems(work, claim, tuple(items))
                for (work, claim), items in self._back.items()
            ]
        return finishes + releases

    def _remove(self, command):
        key = (command.work, command.claim)
        with self._lock:
            if isinstance(command, messages.FinishItems):
                left = self._results[key][len(command.results) :]
                _put_or_drop(self._results, key, left)
                metrics.ITEMS.labels("stored").inc(len(command.results))
            else:
                left = self._back[key][len(command.items) :]
                _put_or_drop(self._back, key, left)


def _put_or_drop(queue, key, left):
    if left:
        queue[key] = left
    else:
        del queue[key]


def _is_settled(reply):
    if not isinstance(reply, errors.Failure):
        return True
    return reply.kind in (errors.Kind.CANCELLED, errors.Kind.NOT_FOUND)
