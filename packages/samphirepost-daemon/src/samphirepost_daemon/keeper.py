"""Keeps commands that are not durable yet, and offers them again."""

import collections
import threading

from samphirepost import errors
from samphirepost import messages
from samphirepost import placement
from samphirepost_daemon import metrics

KEPT_MAX = 20_000
RETRY_S = 0.5
WAIT_S = 2.0
SPREAD_S = 0.3
COPIES = 2


class Keeper(threading.Thread):
    """Offers kept commands to their owners until they are durable."""

    def __init__(self, owners, client, directory, zone):
        super().__init__(daemon=True)
        self._owners = owners
        self._client = client
        self._directory = directory
        self._zone = zone
        self._kept = collections.deque(maxlen=KEPT_MAX)
        self._stopped = threading.Event()

    def keep(self, command):
        """Keeps a command in memory until its owner has it."""
        self._kept.append(command)
        metrics.UNSAVED.set(len(self._kept))

    def spread(self, finish):
        """Has a result kept in other zones too; returns in how many."""
        members = self._directory.view.members
        chosen = placement.result_replicas(
            finish.work, self._zone, members, COPIES
        )
        replies = [
            self._client.ask(m.peer, messages.RetainResult(finish), SPREAD_S)
            for m in chosen
        ]
        return sum(isinstance(r, messages.Acknowledgement) for r in replies)

    @property
    def empty(self):
        """Whether everything is durable."""
        return not self._kept

    def run(self):
        while not self._stopped.wait(RETRY_S):
            self._offer_all()

    def stop(self):
        """Ends the thread."""
        self._stopped.set()

    def _offer_all(self):
        for _ in range(len(self._kept)):
            command = self._kept[0]
            reply = self._owners.ask_work(command.work, command, WAIT_S)
            if not _is_settled(reply):
                return
            self._kept.popleft()
            metrics.UNSAVED.set(len(self._kept))


def _is_settled(reply):
    if not isinstance(reply, errors.Failure):
        return True
    return reply.kind in (errors.Kind.CANCELLED, errors.Kind.KEY_REUSED)
