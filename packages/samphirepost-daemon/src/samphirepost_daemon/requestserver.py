"""Runs online requests: records attempts, dispatches and stores results."""

import threading

import msgspec

from samphirepost import errors
from samphirepost import messages
from samphirepost import records
from samphirepost_daemon import metrics
from samphirepost_daemon import partitionlog
from samphirepost_daemon import workitem

# After this time an idempotent request runs without a reply of the ledger.
IDEMPOTENT_BEGIN_TIMEOUT_S = 0.3
BEGIN_TIMEOUT_S = 3.0
POLL_INTERVAL_S = 0.1
FETCH_TIMEOUT_S = 3.0


class Answer(msgspec.Struct, frozen=True):
    """A complete result; `stored` tells whether it is durable."""

    result: records.Result
    stored: bool


class RequestServer:
    """Runs online requests through the ledger and the dispatcher.

    `serve` and `fetch_answer` may be called by any thread.
    """

    def __init__(
        self, name, clock, owners, dispatcher, objects, command_buffer, limits
    ):
        self._name = name
        self._clock = clock
        self._owners = owners
        self._dispatcher = dispatcher
        self._objects = objects
        self._command_buffer = command_buffer
        self._store_timeout_s = limits.store_wait_ms / 1000

    def serve(self, item):
        """Yields chunks of tokens; returns the answer or a Failure.

        Idempotent requests also run while the ledger is unavailable.
        """
        answer = self._begin_attempt(item)
        if answer is not None:
            return answer
        result = yield from self._dispatcher.run(item)
        if isinstance(result, errors.Failure):
            return self._handle_failure(item, result)
        return self._store_result(item, result)

    def _begin_attempt(self, item):
        """Returns None if the request may run, else the answer to give."""
        if item.idempotent and not item.has_key:
            return None
        while True:
            if item.remaining_s(self._clock) <= 0:
                return self._record_not_sent(
                    item, workitem.deadline_failure(False)
                )
            reply = self._request_begin(item)
            if isinstance(reply, errors.Failure):
                return self._handle_begin_failure(item, reply)
            answer = self._handle_status(item, reply)
            if answer is not messages.RequestStatus.RUNNING:
                return answer
            threading.Event().wait(POLL_INTERVAL_S)

    def _request_begin(self, item):
        command = messages.BeginAttempt(
            item.id,
            item.caller,
            item.digest,
            item.attempt_id,
            self._name,
            item.idempotent,
            item.deadline_unix_s,
        )
        wait_s = (
            IDEMPOTENT_BEGIN_TIMEOUT_S if item.idempotent else BEGIN_TIMEOUT_S
        )
        wait_s = min(wait_s, max(0.05, item.remaining_s(self._clock)))
        return self._owners.request_for_work(item.id, command, wait_s)

    def _handle_begin_failure(self, item, failure):
        if failure.kind is errors.Kind.KEY_REUSED:
            return failure
        if item.idempotent:
            return None
        return self._record_not_sent(item, failure)

    def _record_not_sent(self, item, failure):
        """Returns the failure as not run, and records that nothing was sent.

        The ledger may have begun the attempt although no reply was received.
        """
        if not item.idempotent:
            self._command_buffer.add(
                messages.AttemptNotSent(item.id, item.attempt_id)
            )
        return errors.Failure(failure.kind, failure.reason)

    def _handle_status(self, item, reply):
        """Returns the answer to give, or None if the request may run.

        Returns RUNNING if another attempt of the request is in progress.
        """
        if reply.standing is messages.RequestStatus.FINISHED:
            return self.read_answer(reply.reference)
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
            if item.remaining_s(self._clock) <= 0:
                failure = workitem.deadline_failure(False)
                return self._record_not_sent(item, failure)
        return None

    def _handle_failure(self, item, failure):
        if item.idempotent:
            return failure
        if failure.outcome is errors.Outcome.NOT_RUN:
            return self._record_not_sent(item, failure)
        self._command_buffer.add(
            messages.OutcomeUnknown(item.id, item.attempt_id)
        )
        return failure

    def _store_result(self, item, result):
        command = messages.FinishAttempt(
            item.id,
            item.caller,
            item.digest,
            item.attempt_id,
            item.idempotent,
            result,
        )
        reply = self._owners.request_for_work(
            item.id, command, self._store_timeout_s
        )
        if isinstance(reply, messages.FinishReply):
            return self._handle_finish_reply(reply, result)
        self._command_buffer.add(command)
        self._command_buffer.replicate(command)
        return Answer(result, stored=False)

    def _handle_finish_reply(self, reply, result):
        if reply.kept:
            return Answer(result, stored=True)
        metrics.RESULTS_DROPPED.inc()
        first = self.read_answer(reply.reference)
        if isinstance(first, errors.Failure):
            return Answer(result, stored=False)
        return first

    def read_answer(self, reference):
        """Returns the stored answer at a reference, or a Failure.

        Its outcome is DONE: the request ran, also if it can't be read.
        """
        record = partitionlog.read_record(self._objects, reference)
        if isinstance(record, errors.Failure):
            reason = f"it ran; its answer can't be read: {record.reason}"
            return errors.Failure(record.kind, reason, errors.Outcome.DONE)
        return Answer(record.result, stored=True)

    def fetch_answer(self, work, caller):
        """Returns a caller's stored answer by its request id, or a Failure."""
        command = messages.FetchResult(work, caller)
        reply = self._owners.request_for_work(work, command, FETCH_TIMEOUT_S)
        if isinstance(reply, errors.Failure):
            return unknown_unless_not_found(reply)
        if reply.standing is messages.RequestStatus.FINISHED:
            return self.read_answer(reply.reference)
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


def unknown_unless_not_found(failure):
    """Returns the failure of a query about work, with an unknown outcome.

    The work may have run. Only a NOT_FOUND failure is returned unchanged.
    """
    if failure.kind is errors.Kind.NOT_FOUND:
        return failure
    return failure.as_unknown()
