"""Serves one online request: begin, run, store."""

import threading

import msgspec

from samphirepost import errors
from samphirepost import messages
from samphirepost import records
from samphirepost_daemon import metrics
from samphirepost_daemon import partitionlog
from samphirepost_daemon import work as work_module

LOOK_UP_S = 0.3
START_S = 3.0
POLL_S = 0.1
FETCH_S = 3.0


class Answered(msgspec.Struct, frozen=True):
    """A whole result; `stored` tells that it is durable."""

    result: records.Result
    stored: bool


class Server:
    """Runs online requests through the ledger and the dispatcher."""

    def __init__(
        self, name, clock, owners, dispatcher, objects, command_buffer, cfg
    ):
        self._name = name
        self._clock = clock
        self._owners = owners
        self._dispatcher = dispatcher
        self._objects = objects
        self._command_buffer = command_buffer
        self._store_s = cfg.store_wait_ms / 1000

    def serve(self, item):
        """Yields Tokens; returns Answered or a Failure."""
        found = self._begin(item)
        if found is not None:
            return found
        result = yield from self._dispatcher.run(item)
        if isinstance(result, errors.Failure):
            return self._ended(item, result)
        return self._store(item, result)

    def _begin(self, item):
        """Returns None if the work may run, else what to answer."""
        if item.idempotent and not item.keyed:
            return None
        while True:
            if item.left_s(self._clock) <= 0:
                return self._not_started(item, work_module.overdue(False))
            reply = self._ask_begin(item)
            if isinstance(reply, errors.Failure):
                return self._begin_failed(item, reply)
            found = self._standing(item, reply)
            if found is not messages.RequestStatus.RUNNING:
                return found
            threading.Event().wait(POLL_S)

    def _ask_begin(self, item):
        command = messages.BeginAttempt(
            item.id,
            item.caller,
            item.digest,
            item.attempt,
            self._name,
            item.idempotent,
            item.deadline_unix_s,
        )
        wait_s = LOOK_UP_S if item.idempotent else START_S
        wait_s = min(wait_s, max(0.05, item.left_s(self._clock)))
        return self._owners.request_work(item.id, command, wait_s)

    def _begin_failed(self, item, failure):
        if failure.kind is errors.Kind.KEY_REUSED:
            return failure
        if item.idempotent:
            return None
        return self._not_started(item, failure)

    def _not_started(self, item, failure):
        """Nothing was sent, whatever the ledger says of this attempt."""
        if not item.idempotent:
            self._command_buffer.add(
                messages.AttemptNotSent(item.id, item.attempt)
            )
        return errors.Failure(failure.kind, failure.reason)

    def _standing(self, item, reply):
        if reply.standing is messages.RequestStatus.FINISHED:
            return self.read(reply.reference)
        if reply.standing is messages.RequestStatus.UNKNOWN:
            return errors.Failure(
                errors.Kind.UNKNOWN_RESULT,
                "it was sent once and its answer was lost; it is not sent"
                " again",
                errors.Outcome.UNKNOWN,
            )
        if reply.standing is messages.RequestStatus.RUNNING:
            return messages.RequestStatus.RUNNING
        if reply.standing is messages.RequestStatus.GO:
            if item.left_s(self._clock) <= 0:
                overdue = work_module.overdue(False)
                return self._not_started(item, overdue)
        return None

    def _ended(self, item, failure):
        if item.idempotent:
            return failure
        if failure.outcome is errors.Outcome.NOT_RUN:
            return self._not_started(item, failure)
        self._command_buffer.add(
            messages.OutcomeUnknown(item.id, item.attempt)
        )
        return failure

    def _store(self, item, result):
        command = messages.FinishAttempt(
            item.id,
            item.caller,
            item.digest,
            item.attempt,
            item.idempotent,
            result,
        )
        reply = self._owners.request_work(item.id, command, self._store_s)
        if isinstance(reply, messages.FinishReply):
            return self._stored(reply, result)
        self._command_buffer.add(command)
        self._command_buffer.replicate(command)
        return Answered(result, stored=False)

    def _stored(self, reply, result):
        if reply.kept:
            return Answered(result, stored=True)
        metrics.RESULTS_DROPPED.inc()
        first = self.read(reply.reference)
        if isinstance(first, errors.Failure):
            return Answered(result, stored=False)
        return first

    def read(self, reference):
        """Returns the stored answer at a reference, or a Failure."""
        found = partitionlog.read_record(self._objects, reference)
        if isinstance(found, errors.Failure):
            reason = f"it ran; its answer can't be read: {found.reason}"
            return errors.Failure(found.kind, reason, errors.Outcome.DONE)
        return Answered(found.result, stored=True)

    def fetch(self, work, caller):
        """Returns a caller's stored answer by its id, or a Failure."""
        command = messages.FetchResult(work, caller)
        reply = self._owners.request_work(work, command, FETCH_S)
        if isinstance(reply, errors.Failure):
            return of_known_work(reply)
        if reply.standing is messages.RequestStatus.FINISHED:
            return self.read(reply.reference)
        if reply.standing is messages.RequestStatus.UNKNOWN:
            return errors.Failure(
                errors.Kind.UNKNOWN_RESULT,
                "its answer was lost",
                errors.Outcome.UNKNOWN,
            )
        return errors.Failure(
            errors.Kind.NOT_FINISHED,
            "it is still running",
            errors.Outcome.UNKNOWN,
        )


def of_known_work(failure):
    """Returns the failure to read work that may well have run."""
    if failure.kind is errors.Kind.NOT_FOUND:
        return failure
    return failure.as_unknown()
