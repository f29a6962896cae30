"""Sends the results of batch items to the owners of their partitions.

A result is sent repeatedly until it is durable.
"""

import threading

import msgspec

from samphirepost import errors
from samphirepost import messages
from samphirepost_daemon import metrics

FLUSH_DELAY_S = 0.05
OWNER_TIMEOUT_S = 3.0
RESULTS_PER_COMMAND_MAX = 500


class FinishedItem(msgspec.Struct, frozen=True):
    """The result of an item and the claim under which it ran."""

    work: str
    claim: str
    result: messages.ItemResult


class UnfinishedItem(msgspec.Struct, frozen=True):
    """An item to release without a result, and its claim."""

    work: str
    claim: str
    item: int


class Outbox(threading.Thread):
    """Buffers results in memory until their owner has made them durable.

    Methods may be called by any thread. `len` is the number of results and
    items in the buffer.
    """

    def __init__(self, owners):
        super().__init__(daemon=True)
        self._owners = owners
        self._lock = threading.Lock()
        self._results = {}
        self._unfinished = {}
        self._wake = threading.Event()
        self._stopped = threading.Event()

    def add_finished(self, finished_item):
        """Queues a result for its owner."""
        with self._lock:
            key = (finished_item.work, finished_item.claim)
            self._results.setdefault(key, []).append(finished_item.result)
        self._wake.set()

    def add_unfinished(self, unfinished_item):
        """Queues an item to be released."""
        with self._lock:
            key = (unfinished_item.work, unfinished_item.claim)
            self._unfinished.setdefault(key, []).append(unfinished_item.item)
        self._wake.set()

    def __len__(self):
        with self._lock:
            return sum(len(r) for r in self._results.values()) + sum(
                len(items) for items in self._unfinished.values()
            )

    def run(self):
        while not self._stopped.is_set():
            self._wake.wait(1.0)
            self._wake.clear()
            self._stopped.wait(FLUSH_DELAY_S)
            self.flush()

    def stop(self):
        """Stops the thread."""
        self._stopped.set()
        self._wake.set()

    def flush(self):
        """Sends all commands once; retains those of unknown outcome."""
        for command in self._commands():
            reply = self._owners.request_for_work(
                command.work, command, OWNER_TIMEOUT_S
            )
            if _is_outcome_known(reply):
                self._remove(command)
            else:
                self._wake.set()

    def _commands(self):
        with self._lock:
            finishes = [
                messages.FinishItems(
                    work, claim, tuple(pending[:RESULTS_PER_COMMAND_MAX])
                )
                for (work, claim), pending in self._results.items()
            ]
            releases = [
                messages.ReleaseItems(work, claim, tuple(items))
                for (work, claim), items in self._unfinished.items()
            ]
        return finishes + releases

    def _remove(self, command):
        key = (command.work, command.claim)
        with self._lock:
            if isinstance(command, messages.FinishItems):
                remaining = self._results[key][len(command.results) :]
                _set_or_delete(self._results, key, remaining)
                metrics.ITEMS.labels("stored").inc(len(command.results))
            else:
                remaining = self._unfinished[key][len(command.items) :]
                _set_or_delete(self._unfinished, key, remaining)


def _set_or_delete(queue, key, remaining):
    if remaining:
        queue[key] = remaining
    else:
        del queue[key]


def _is_outcome_known(reply):
    if not isinstance(reply, errors.Failure):
        return True
    return reply.kind in (errors.Kind.CANCELLED, errors.Kind.NOT_FOUND)
