"""Sends requests to targets: chooses the target, retries and resumes.

An interrupted completion stream resumes on another target after the tokens
that have been received.
"""

import functools
import threading

from samphirepost import codec
from samphirepost import errors
from samphirepost import records
from samphirepost import retries
from samphirepost import stream
from samphirepost import targetmessages
from samphirepost_daemon import metrics
from samphirepost_daemon import targetclient
from samphirepost_daemon import workitem

ATTEMPTS_MAX = 4
NO_TARGET_RETRY_AFTER_S = 1.0
LENGTH_REACHED = "length"
# Failures that are not retried on another target.
_FINAL_KINDS = (errors.Kind.REFUSED_BY_TARGET, errors.Kind.CANCELLED)


class TokenChunk:
    """Encoded events of a stream, and the number of tokens in them."""

    __slots__ = ("count", "data")

    def __init__(self, data, count):
        self.data = data
        self.count = count


class Dispatcher:
    """Runs work items on the targets of their pool.

    Online requests and batch items have a dispatcher each. `run` may be
    called by any thread.
    """

    def __init__(self, clock, load_tracker, client, active_tables):
        self._clock = clock
        self._load_tracker = load_tracker
        self._client = client
        self._active_tables = active_tables
        self._budgets = {}
        self._lock = threading.Lock()

    def run(self, item):
        """Yields chunks of tokens; returns the Result or a Failure.

        A failed attempt is retried on another target, up to ATTEMPTS_MAX
        attempts in all and within the route's retry budget. Work that is not
        idempotent is not sent again once it may have run.
        """
        excluded = set()
        self._retry_budget(item.route).earn(self._clock.monotonic_s())
        while True:
            failure = self._failure_before_attempt(item)
            if failure is not None:
                return failure
            name = self._choose_target(item, excluded)
            if name is None:
                return _no_target_failure(item)
            outcome = yield from self._attempt(item, name)
            if not isinstance(outcome, errors.Failure):
                return outcome
            failure = self._final_failure(item, outcome)
            if failure is not None:
                return failure
            excluded = {name}

    def _failure_before_attempt(self, item):
        if item.interrupt.failure is not None:
            return item.interrupt.failure
        if item.remaining_s(self._clock) <= 0:
            return workitem.deadline_failure(item.sent)
        return None

    def _choose_target(self, item, excluded):
        if item.preferred_target and item.preferred_target not in excluded:
            if self._load_tracker.try_start_request(
                item.preferred_target, item.online
            ):
                return item.preferred_target
        names = [t.id for t in self._targets(item)]
        return self._load_tracker.choose_target(
            names, item.payload.key, excluded, item.online
        )

    def _targets(self, item):
        pool = self._active_tables.tables.pools.get(item.pool)
        return () if pool is None else pool.targets

    def _retry_budget(self, route):
        with self._lock:
            budget = self._budgets.get(route)
            if budget is None:
                row = self._active_tables.tables.routes.get(route)
                share = row.retry_budget if row is not None else 0.0
                now_s = self._clock.monotonic_s()
                budget = retries.RetryBudget(share, now_s)
                self._budgets[route] = budget
            return budget

    def _attempt(self, item, name):
        destination = self._destination(item, name)
        if destination is None:
            self._load_tracker.finish_request(name, item.online)
            return _no_target_failure(item)
        kind = "online" if item.online else "batch"
        metrics.DISPATCHES.labels(name, kind).inc()
        item.attempts += 1
        if not item.dispatched_s:
            item.dispatched_s = self._clock.monotonic_s()
        try:
            outcome = yield from _run_payload(
                item.payload, self, item, destination
            )
        finally:
            self._load_tracker.finish_request(name, item.online)
        self._record_outcome(item, name, outcome)
        return outcome

    def _destination(self, item, name):
        for destination in self._targets(item):
            if destination.id == name:
                return destination
        return None

    def _record_outcome(self, item, name, outcome):
        if not isinstance(outcome, errors.Failure):
            self._load_tracker.record_success(name)
            return
        if item.interrupt.failure is not None or outcome.kind in _FINAL_KINDS:
            self._load_tracker.record_abandoned(name)
            return
        if outcome.outcome is not errors.Outcome.NOT_RUN:
            item.sent = True
        metrics.TARGET_FAILURES.labels(name, outcome.kind.value).inc()
        self._load_tracker.record_failure(name, item.id)

    def _final_failure(self, item, failure):
        """Returns the failure to report, or None to retry.

        Its outcome is unknown if an attempt may have run.
        """
        if item.interrupt.failure is not None:
            return item.interrupt.failure
        if failure.kind in _FINAL_KINDS:
            return failure.as_unknown() if item.sent else failure
        if item.sent and not item.idempotent:
            return failure.as_unknown()
        if item.attempts >= ATTEMPTS_MAX:
            return failure.as_unknown() if item.sent else failure
        now_s = self._clock.monotonic_s()
        if not self._retry_budget(item.route).spend(now_s):
            metrics.RETRIES_DENIED.labels(item.route).inc()
            return failure.as_unknown() if item.sent else failure
        metrics.RETRIES.labels(item.route).inc()
        return None

    def run_completion(self, item, destination):
        """Runs one attempt of a completion; resumes after received tokens.

        Yields chunks of tokens; returns the Result or a Failure.
        """
        completion = _resuming_request(item)
        if completion.emitted >= completion.max_tokens:
            item.checker.finish_reason = LENGTH_REACHED
            return _completion_result(item)
        wait_s = max(0.001, item.remaining_s(self._clock))
        target_stream = self._client.open_stream(
            destination, item.path, completion, wait_s
        )
        if isinstance(target_stream, errors.Failure):
            return target_stream
        item.interrupt.set_abort(target_stream.abort)
        is_complete = False
        try:
            failure = yield from self._read_events(item, target_stream)
            is_complete = failure is None
        finally:
            item.interrupt.set_abort(None)
            target_stream.close(is_complete)
        if failure is not None:
            return failure
        return _completion_result(item)

    def _read_events(self, item, target_stream):
        checker = item.checker
        for events in target_stream.events():
            if item.interrupt.failure is not None:
                return item.interrupt.failure
            if isinstance(events, errors.Failure):
                return events
            emitted_before = checker.emitted
            accepted, failure = _accept_events(checker, events)
            if accepted:
                yield TokenChunk(accepted, checker.emitted - emitted_before)
            if failure is not None:
                return failure
            if checker.finished:
                return None
            if item.remaining_s(self._clock) <= 0:
                return workitem.deadline_failure(True)
        return errors.Failure(
            errors.Kind.STREAM_BROKEN,
            "the stream was cut off",
            errors.Outcome.UNKNOWN,
        )

    def call_service(self, item, destination):
        """Calls a plain service once; returns the Result or a Failure."""
        headers = {
            "Content-Type": item.payload.content_type,
            "Idempotency-Key": item.id,
        }
        wait_s = max(0.001, item.remaining_s(self._clock))
        response = self._client.call_service(
            destination, item.path, item.payload.body, headers, wait_s
        )
        if isinstance(response, targetclient.ServiceResponse):
            return records.Result(
                response.status, response.content_type, response.body
            )
        return response


@functools.singledispatch
def _run_payload(payload, dispatcher, item, destination):
    raise TypeError(type(payload))


@_run_payload.register
def _(payload: workitem.CompletionPayload, dispatcher, item, destination):
    return (yield from dispatcher.run_completion(item, destination))


@_run_payload.register
def _(payload: workitem.ServicePayload, dispatcher, item, destination):
    yield from ()
    return dispatcher.call_service(item, destination)


def _accept_events(checker, events):
    """Checks events against the stream's position and request id.

    Returns the encoded events with new tokens, and the Failure at the first
    invalid event or None.
    """
    accepted = []
    for data in events:
        text = checker.accept(data)
        if isinstance(text, errors.Failure):
            return b"".join(accepted), text
        if text:
            accepted.append(stream.DATA_PREFIX + data + b"\n\n")
    return b"".join(accepted), None


def _resuming_request(item):
    """Returns the request for the tokens after those emitted so far."""
    if item.checker is None:
        item.checker = stream.StreamChecker(item.id)
    original = item.payload.completion
    return targetmessages.CompletionRequest(
        model=original.model,
        prompt=original.prompt,
        max_tokens=original.max_tokens,
        stream=True,
        request_id=item.id,
        emitted=item.checker.emitted,
    )


def _completion_result(item):
    checker = item.checker
    body = {
        "id": item.id,
        "object": "text_completion",
        "model": item.route,
        "choices": [
            {
                "index": 0,
                "text": checker.text,
                "finish_reason": checker.finish_reason,
            }
        ],
        "usage": {"completion_tokens": checker.emitted},
    }
    return records.Result(200, "application/json", codec.to_json(body))


def _no_target_failure(item):
    reason = f"no target of pool {item.pool} can take it now"
    outcome = errors.Outcome.UNKNOWN if item.sent else errors.Outcome.NOT_RUN
    return errors.Failure(
        errors.Kind.OVERLOADED, reason, outcome, NO_TARGET_RETRY_AFTER_S
    )
