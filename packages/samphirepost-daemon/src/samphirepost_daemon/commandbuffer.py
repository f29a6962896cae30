"""Buffers commands that are not durable yet and retries them."""

import collections
import threading

from samphirepost import errors
from samphirepost import messages
from samphirepost import placement
from samphirepost_daemon import metrics

COMMANDS_MAX = 20_000
RETRY_INTERVAL_S = 0.5
OWNER_TIMEOUT_S = 2.0
REPLICATE_TIMEOUT_S = 0.3
REPLICAS = 2


class CommandBuffer(threading.Thread):
    """Submits buffered commands to their owners until they are durable.

    With more than COMMANDS_MAX commands the oldest are dropped.
    """

    def __init__(self, owners, client, directory, zone):
        super().__init__(daemon=True)
        self._owners = owners
        self._client = client
        self._directory = directory
        self._zone = zone
        self._commands = collections.deque(maxlen=COMMANDS_MAX)
        self._stopped = threading.Event()

    def add(self, command):
        """Buffers a command in memory until its owner has stored it."""
        self._commands.append(command)
        metrics.UNSAVED.set(len(self._commands))

    def replicate(self, finish):
        """Replicates a result to peers in other zones; counts the replicas."""
        members = self._directory.view.members
        replicas = placement.result_replicas(
            finish.work, self._zone, members, REPLICAS
        )
        replies = [
            self._client.request(
                m.peer, messages.RetainResult(finish), REPLICATE_TIMEOUT_S
            )
            for m in replicas
        ]
        return sum(isinstance(r, messages.Acknowledgement) for r in replies)

    @property
    def empty(self):
        """Whether no command is buffered."""
        return not self._commands

    def run(self):
        while not self._stopped.wait(RETRY_INTERVAL_S):
            self._submit_all()

    def stop(self):
        """Stops the thread."""
        self._stopped.set()

    def _submit_all(self):
        for _ in range(len(self._commands)):
            command = self._commands[0]
            reply = self._owners.request_for_work(
                command.work, command, OWNER_TIMEOUT_S
            )
            if not _is_outcome_known(reply):
                return
            self._commands.popleft()
            metrics.UNSAVED.set(len(self._commands))


def _is_outcome_known(reply):
    if not isinstance(reply, errors.Failure):
        return True
    return reply.kind in (errors.Kind.CANCELLED, errors.Kind.KEY_REUSED)
