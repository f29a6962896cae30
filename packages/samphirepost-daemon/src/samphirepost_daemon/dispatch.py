"""Runs work on targets: choice, retries, resume and whole answers."""

import functools
import threading

from samphirepost import codec
from samphirepost import errors
from samphirepost import records
from samphirepost import retries
from samphirepost import stream
from samphirepost import targetmessages
from samphirepost_daemon import metrics
from samphirepost_daemon import targets
from samphirepost_daemon import work

ATTEMPTS_MAX = 4
RETRY_AFTER_S = 1.0
LENGTH = "length"
_FINAL = (errors.Kind.REFUSED_BY_TARGET, errors.Kind.CANCELLED)


class Token:
    """Events of a stream, ready to be passed on, and how many there are."""

    __slots__ = ("count", "data")

    def __init__(self, data, count):
        self.data = data
        self.count = count


class Dispatcher:
    """Runs work on the targets of its pool, for one kind of work."""

    def __init__(self, clock, board, client, current):
        self._clock = clock
        self._board = board
        self._client = client
        self._current = current
        self._budgets = {}
        self._lock = threading.Lock()

    def run(self, item):
        """Yields Tokens; returns the Result or a Failure.

        Work that is not idempotent is sent once at most.
        """
        excluded = set()
        self._budget(item.route).earn(self._clock.monotonic_s())
        while True:
            failure = self._unfit(item)
            if failure is not None:
                return failure
            name = self._pick(item, excluded)
            if name is None:
                return _no_target(item)
            outcome = yield from self._attempt(item, name)
            if not isinstance(outcome, errors.Failure):
                return outcome
            failure = self._final(item, outcome)
            if failure is not None:
                return failure
            excluded = {name}

    def _unfit(self, item):
        if item.interrupt.failure is not None:
            return item.interrupt.failure
        if item.left_s(self._clock) <= 0:
            return work.overdue(item.sent)
        return None

    def _pick(self, item, excluded):
        if item.pinned and item.pinned not in excluded:
            if self._board.enter(item.pinned, item.online):
                return item.pinned
        names = [t.id for t in self._targets(item)]
        return self._board.pick(names, item.payload.key, excluded, item.online)

    def _targets(self, item):
        pool = self._current.tables.pools.get(item.pool)
        return () if pool is None else pool.targets

    def _budget(self, route):
        with self._lock:
            budget = self._budgets.get(route)
            if budget is None:
                row = self._current.tables.routes.get(route)
                share = row.retry_budget if row is not None else 0.0
                now_s = self._clock.monotonic_s()
                budget = retries.RetryBudget(share, now_s)
                self._budgets[route] = budget
            return budget

    def _attempt(self, item, name):
        destination = self._destination(item, name)
        if destination is None:
            self._board.leave(name, item.online)
            return _no_target(item)
        kind = "online" if item.online else "batch"
        metrics.DISPATCHES.labels(name, kind).inc()
        item.tries += 1
        if not item.dispatched_s:
            item.dispatched_s = self._clock.monotonic_s()
        try:
            outcome = yield from _run(item.payload, self, item, destination)
        finally:
            self._board.leave(name, item.online)
        self._note(item, name, outcome)
        return outcome

    def _destination(self, item, name):
        for destination in self._targets(item):
            if destination.id == name:
                return destination
        return None

    def _note(self, item, name, outcome):
        if not isinstance(outcome, errors.Failure):
            self._board.succeeded(name)
            return
        if item.interrupt.failure is not None or outcome.kind in _FINAL:
            self._board.abandoned(name)
            return
        if outcome.outcome is not errors.Outcome.NOT_RUN:
            item.sent = True
        metrics.TARGET_FAILURES.labels(name, outcome.kind.value).inc()
        self._board.failed(name, item.id)

    def _final(self, item, failure):
        """Returns the failure if it ends the work, None to try again."""
        if item.interrupt.failure is not None:
            return item.interrupt.failure
        if failure.kind in _FINAL:
            return failure.as_unknown() if item.sent else failure
        if item.sent and not item.idempotent:
            return failure.as_unknown()
        if item.tries >= ATTEMPTS_MAX:
            return failure.as_unknown() if item.sent else failure
        now_s = self._clock.monotonic_s()
        if not self._budget(item.route).spend(now_s):
            metrics.RETRIES_DENIED.labels(item.route).inc()
            return failure.as_unknown() if item.sent else failure
        metrics.RETRIES.labels(item.route).inc()
        return None

    def generate(self, item, destination):
        """Yields Tokens of one attempt; returns the Result or a Failure."""
        completion = _resumed(item)
        if completion.emitted >= completion.max_tokens:
            item.check.finish_reason = LENGTH
            return _completed(item)
        wait_s = max(0.001, item.left_s(self._clock))
        opened = self._client.open(destination, item.path, completion, wait_s)
        if isinstance(opened, errors.Failure):
            return opened
        item.interrupt.watch(opened.abort)
        whole = False
        try:
            failure = yield from self._follow(item, opened)
            whole = failure is None
        finally:
            item.interrupt.watch(None)
            opened.close(whole)
        if failure is not None:
            return failure
        return _completed(item)

    def _follow(self, item, opened):
        check = item.check
        for events in opened.events():
            if item.interrupt.failure is not None:
                return item.interrupt.failure
            if isinstance(events, errors.Failure):
                return events
            before = check.emitted
            kept, failure = _accept(check, events)
            if kept:
                yield Token(kept, check.emitted - before)
            if failure is not None:
                return failure
            if check.finished:
                return None
            if item.left_s(self._clock) <= 0:
                return work.overdue(True)
        return errors.Failure(
            errors.Kind.STREAM_BROKEN,
            "the stream was cut off",
            errors.Outcome.UNKNOWN,
        )

    def call(self, item, destination):
        """Returns the Result of one call to a plain service."""
        headers = {
            "Content-Type": item.payload.content_type,
            "Idempotency-Key": item.id,
        }
        wait_s = max(0.001, item.left_s(self._clock))
        answer = self._client.call(
            destination, item.path, item.payload.body, headers, wait_s
        )
        if isinstance(answer, targets.Answer):
            return records.Result(
                answer.status, answer.content_type, answer.body
            )
        return answer


@functools.singledispatch
def _run(payload, dispatcher, item, destination):
    raise TypeError(type(payload))


@_run.register
def _(payload: work.Generation, dispatcher, item, destination):
    return (yield from dispatcher.generate(item, destination))


@_run.register
def _(payload: work.Service, dispatcher, item, destination):
    yield from ()
    return dispatcher.call(item, destination)


def _accept(check, events):
    """Returns the bytes of new tokens, and the Failure that ends them."""
    kept = []
    for data in events:
        text = check.accept(data)
        if isinstance(text, errors.Failure):
            return b"".join(kept), text
        if text:
            kept.append(stream.DATA_PREFIX + data + b"\n\n")
    return b"".join(kept), None


def _resumed(item):
    """Returns the completion to ask for, after what was emitted so far."""
    if item.check is None:
        item.check = stream.StreamChecker(item.id)
    asked = item.payload.completion
    return targetmessages.CompletionRequest(
        model=asked.model,
        prompt=asked.prompt,
        max_tokens=asked.max_tokens,
        stream=True,
        request_id=item.id,
        emitted=item.check.emitted,
    )


def _completed(item):
    check = item.check
    body = {
        "id": item.id,
        "object": "text_completion",
        "model": item.route,
        "choices": [
            {
                "index": 0,
                "text": check.text,
                "finish_reason": check.finish_reason,
            }
        ],
        "usage": {"completion_tokens": check.emitted},
    }
    return records.Result(200, "application/json", codec.to_json(body))


def _no_target(item):
    reason = f"no target of pool {item.pool} can take it now"
    outcome = errors.Outcome.UNKNOWN if item.sent else errors.Outcome.NOT_RUN
    return errors.Failure(
        errors.Kind.OVERLOADED, reason, outcome, RETRY_AFTER_S
    )
