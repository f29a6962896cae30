"""Sends one online request to engines until a response can be passed on."""

import time

import msgspec

from samphirepost import attempts
from samphirepost import events
from samphirepost import routing
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.platform import wire

# Interval at which a request in progress checks whether its caller has
# disconnected (s); the engine must be released within 0.5 s after that.
READ_POLL_S = 0.1
CONNECT_TIMEOUT_S = 0.3
# An attempt is abandoned if its engine sends nothing for this long and the
# request may be attempted again. Callers abandon a stream after 2 s without
# an event.
STALL_TIMEOUT_S = 1.0


class CallerDisconnected(Exception):
    """The caller has disconnected."""


class OpenResponse(msgspec.Struct):
    """A response whose head has arrived.

    Either `body` is complete, or `events` holds the events of a stream that
    are not yet passed on. `done` is true once the engine has sent the complete
    response; `closed`, once the connection to the engine is closed. `began_s`
    is the monotonic time of a stream's first events.
    """

    call: engineclient.Call
    engine: str
    head: engineclient.ResponseHead
    events: list[events.Event]
    parser: events.Parser
    body: bytes = b""
    done: bool = False
    closed: bool = False
    began_s: float = 0.0


class FailedAttempt(msgspec.Struct, frozen=True):
    """An attempt that gave no usable response."""

    seen: attempts.AttemptFailure
    reason: str


class Exchange:
    """One online request and its attempts; used by one thread."""

    def __init__(self, parts, req, route, pool, deadline_s, is_disconnected):
        self._load_tracker = parts.load_tracker
        self._state = parts.state
        self._metrics = parts.metrics
        self._log = parts.log
        self._req = req
        self._route = route
        self._pool = pool
        self.deadline_s = deadline_s
        self._is_disconnected = is_disconnected
        self.history = attempts.History(route.repeatable, route.attempts_max)
        self.last_failure = None
        self.engines_tried = []

    def left_s(self):
        """Returns the time left until the deadline (s)."""
        return self.deadline_s - time.monotonic()

    def open_response(self, resume_after):
        """Attempts the request until an engine responds.

        Returns OpenResponse, or an ErrorResponse when no further attempt is
        allowed. Raises CallerDisconnected.
        """
        while True:
            if self.left_s() < attempts.REMAINING_MIN_S:
                return self._final_error()
            engine = self._choose_engine()
            if engine is None:
                return self._final_error()
            wait_s = self._excessive_wait_s()
            if wait_s is not None:
                return self._busy_error(wait_s)
            result = self._attempt(engine, resume_after)
            if isinstance(result, OpenResponse):
                return result
            self._record_failure(engine.id, result)
            if (
                self.history.next_action(self.left_s())
                is not attempts.NextAction.RETRY
            ):
                return self._final_error()

    def _choose_engine(self):
        engines = self._state.engines(self._pool)
        return self._load_tracker.choose_engine(
            engines, self.history.excluded, time.monotonic()
        )

    def _excessive_wait_s(self):
        """Returns the expected wait for a slot if it is too long, else None.

        A request that was attempted before, or that resumes a stream, is not
        rejected because of a long wait.
        """
        if self.history.attempts or self._req.resume_after is not None:
            return None
        engines = self._state.engines(self._pool)
        wait_s = self._load_tracker.queue_wait_s(engines, time.monotonic())
        if wait_s <= attempts.queue_wait_max_s(
            self._route, self._req.caller_timeout_s
        ):
            return None
        return wait_s

    def _busy_error(self, wait_s):
        return attempts.ErrorResponse(
            503,
            f"all engines are busy for {wait_s:.2f} s",
            attempts.retry_after_s(wait_s),
        )

    def resume(self, response, part, last_id):
        """Resumes an interrupted stream at another engine.

        `part` is what receive() returned when it was interrupted. `last_id` is
        the id of the last event sent to the caller. Returns OpenResponse,
        or an ErrorResponse when no further attempt is allowed. Raises
        CallerDisconnected.
        """
        self.close(response)
        self._record_failure(response.engine, self._failed_attempt(part))
        may_retry = (
            self.history.next_action(self.left_s())
            is attempts.NextAction.RETRY
        )
        if not may_retry or last_id is None:
            return self._final_error()
        return self.open_response(last_id)

    def _record_failure(self, engine_id, failure):
        self.history.record_failure(engine_id, failure.seen)
        self.last_failure = failure
        self._metrics.attempts.labels(failure.seen.value).inc()
        if failure.seen is not attempts.AttemptFailure.REFUSED:
            self._load_tracker.record_failure(engine_id, time.monotonic())
        self._log.event(
            "attempt.failed",
            request=self._req.id,
            engine=engine_id,
            seen=failure.seen.value,
            reason=failure.reason,
            left_s=round(self.left_s(), 3),
            **self._state.age_fields(),
        )

    def _final_error(self):
        reason = (
            self.last_failure.reason
            if self.last_failure
            else "no engine takes work"
        )
        if self.history.executions:
            status = 504 if self.left_s() < attempts.REMAINING_MIN_S else 502
            return attempts.ErrorResponse(status, reason)
        return attempts.ErrorResponse(503, reason, attempts.retry_after_s(0.0))

    def _attempt(self, engine, resume_after):
        self.engines_tried.append(engine.id)
        call = engineclient.Call()
        self._load_tracker.record_start(engine.id)
        result = None
        try:
            result = self._send(call, engine, resume_after)
        finally:
            if not isinstance(result, OpenResponse):
                call.close()
                self._load_tracker.record_end(engine.id)
        return result

    def _send(self, call, engine, resume_after):
        failure = call.connect(engine.address, CONNECT_TIMEOUT_S)
        if failure is not None:
            return FailedAttempt(
                attempts.AttemptFailure.UNREACHABLE, failure.reason
            )
        req = self._req
        headers = wire.engine_headers(req, engine, self.left_s(), resume_after)
        failure = call.send(req.method, req.path, headers, req.body)
        if failure is not None:
            seen = attempts.AttemptFailure.UNREACHABLE
            if failure.sent:
                seen = attempts.AttemptFailure.BROKEN
            return FailedAttempt(seen, failure.reason)
        head = self.receive(call)
        if isinstance(head, (engineclient.CallFailure, type(None))):
            return self._failed_attempt(head)
        return self._read_response(call, engine, head)

    def _failed_attempt(self, part):
        """Returns the failure shown by `part`, a result of receive()."""
        if part is None:
            return FailedAttempt(
                attempts.AttemptFailure.SILENT, "the engine is silent"
            )
        if isinstance(part, engineclient.EndOfResponse):
            return FailedAttempt(
                attempts.AttemptFailure.BROKEN, "the stream ended early"
            )
        return FailedAttempt(attempts.AttemptFailure.BROKEN, part.reason)

    def _read_response(self, call, engine, head):
        if wire.is_rejected(head):
            return FailedAttempt(
                attempts.AttemptFailure.REFUSED, f"status {head.status}"
            )
        if not isinstance(
            head, engineclient.ResponseHead
        ) or not wire.is_response_to(head, self._req):
            return FailedAttempt(
                attempts.AttemptFailure.BROKEN, "another request's answer"
            )
        response = OpenResponse(call, engine.id, head, [], events.Parser())
        if self._route.kind is routing.Kind.STREAM and head.status == 200:
            return self._read_first_events(response)
        return self._read_body(response)

    def _read_first_events(self, response):
        while not response.events and not response.done:
            part = self.receive(response.call)
            if isinstance(part, engineclient.BodyData):
                response.events = response.parser.feed(part.data)
            elif isinstance(part, engineclient.EndOfResponse):
                response.done = True
            else:
                return self._failed_attempt(part)
        if response.done and response.parser.incomplete:
            return self._failed_attempt(engineclient.EndOfResponse())
        self._load_tracker.record_success(response.engine)
        response.began_s = time.monotonic()
        return response

    def _read_body(self, response):
        chunks = []
        while True:
            part = self.receive(response.call)
            if isinstance(part, engineclient.BodyData):
                chunks.append(part.data)
            elif isinstance(part, engineclient.EndOfResponse):
                break
            else:
                return self._failed_attempt(part)
        response.body = b"".join(chunks)
        response.done = True
        if response.head.status < 500:
            self._load_tracker.record_success(response.engine)
            return response
        if response.head.status == 503 or not self.history.is_last_execution:
            reason = f"status {response.head.status}"
            return FailedAttempt(attempts.AttemptFailure.FAILED, reason)
        return response

    def receive(self, call):
        """Returns the next part of an engine's response.

        Returns None at the request's deadline, or after STALL_TIMEOUT_S
        without data unless this is the last attempt allowed. Raises
        CallerDisconnected.
        """
        stalled_at_s = time.monotonic() + STALL_TIMEOUT_S
        while True:
            if self._is_disconnected():
                raise CallerDisconnected
            left_s = self.left_s()
            if left_s <= 0:
                return None
            if (
                not self.history.is_last_execution
                and time.monotonic() > stalled_at_s
            ):
                return None
            part = call.read(min(READ_POLL_S, left_s))
            if part is not None:
                return part

    def close(self, response):
        """Closes the connection of an attempt; may be called repeatedly."""
        if response.closed:
            return
        response.closed = True
        if response.done and response.began_s:
            self._load_tracker.record_service_time(
                time.monotonic() - response.began_s
            )
        response.call.close()
        self._load_tracker.record_end(response.engine)
