"""Sends commands to the owner of a partition: this daemon or a peer."""

import concurrent.futures
import threading

from samphirepost import errors
from samphirepost import hashing
from samphirepost_daemon import ledgers

RETRY_INTERVAL_S = 0.05


class OwnerClient:
    """Finds a partition's owner and sends it commands, with retries."""

    def __init__(self, name, ledger_ref, client, directory, clock):
        self._name = name
        self._ledger_ref = ledger_ref
        self._client = client
        self._directory = directory
        self._clock = clock

    def request_for_work(self, work, command, wait_s):
        """Sends a command on a work id; returns as `request` does."""
        partition = hashing.partition_of(work)
        if partition is None:
            return errors.Failure(errors.Kind.NOT_FOUND, f"no work {work}")
        return self.request(partition, command, wait_s)

    def request(self, partition, command, wait_s):
        """Returns the owner's reply, or a Failure after `wait_s`.

        Retries if the owner has changed or cannot be reached. That is safe:
        commands carry ids, so a repeated one has no second effect.
        """
        deadline_s = self._clock.monotonic_s() + wait_s
        uncertain = False
        while True:
            remaining_s = deadline_s - self._clock.monotonic_s()
            reply = self._request_once(
                partition, command, max(0.05, remaining_s)
            )
            if not _is_retryable(reply):
                return reply
            uncertain |= reply.outcome is errors.Outcome.UNKNOWN
            if self._clock.monotonic_s() + RETRY_INTERVAL_S >= deadline_s:
                return reply.as_unknown() if uncertain else reply
            threading.Event().wait(RETRY_INTERVAL_S)

    def _request_once(self, partition, command, wait_s):
        owner = self._directory.find_owner(partition)
        if owner is None:
            reason = f"partition {partition} has no owner now"
            return errors.Failure(errors.Kind.NOT_OWNER, reason)
        if owner.name != self._name:
            return self._client.request(owner.peer, command, wait_s)
        future = self.submit_local(partition, command)
        try:
            return future.result(timeout=wait_s)
        except concurrent.futures.TimeoutError:
            return errors.Failure(
                errors.Kind.PLATFORM_UNCERTAIN,
                "the command is not durable yet",
                errors.Outcome.UNKNOWN,
            )

    def submit_local(self, partition, command):
        """Passes the command to this daemon's ledger; returns a future."""
        future = concurrent.futures.Future()
        self._ledger_ref.tell(
            ledgers.HandleCommand(partition, command, future)
        )
        return future


def _is_retryable(reply):
    if not isinstance(reply, errors.Failure):
        return False
    return reply.kind in (
        errors.Kind.NOT_OWNER,
        errors.Kind.PEER_UNREACHABLE,
    )
