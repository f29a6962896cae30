"""Finds out whether an answer without a length is whole at its end.

Such an answer ends with its connection, as one does that its engine breaks
off. Of most answers only the engine's report tells more: a killed engine gives
none. For a stream that may be resumed, the engine is also asked for what
follows the last event, as an engine that lives on may break off as well.
"""

import enum
import http
import time

import msgspec

from samphirepost import attempts
from samphirepost import events
from samphirepost import routing
from samphirepost import streamends
from samphirepost_daemon.entry import engineattempt
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import enginestatus
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.platform import wire

# A question fails without an answer or an event for this long (s): a sound
# engine may be silent for a second, callers leave after two.
SILENCE_MAX_S = 1.5


class End(enum.Enum):
    """What an answer is at its end.

    FRAMED: it had a length or chunks. RUNNING: the engine still gives its
    report, and nothing more can be known, as the request may not be repeated.
    GONE: it gives none. STATED: an answer to a question had a length or chunks
    and added nothing. AGREED: answers without a length agree. WENT_ON: events
    followed. UNASKED: this engine may not be asked, and another one may.
    UNCERTAIN: a question failed, or too many were asked.
    """

    FRAMED = "framed"
    RUNNING = "running"
    GONE = "gone"
    STATED = "stated"
    AGREED = "agreed"
    WENT_ON = "went-on"
    UNASKED = "unasked"
    UNCERTAIN = "uncertain"

    @property
    def is_whole(self):
        """Whether the answer may be passed on as whole."""
        return self in _WHOLE


_WHOLE = (End.FRAMED, End.RUNNING, End.STATED, End.AGREED)


class _Stated(msgspec.Struct, frozen=True):
    """An answer with a length or chunks added nothing."""


class _Ended(msgspec.Struct, frozen=True):
    """An answer without a length ended after the event `last_id`."""

    last_id: int


class _Next(msgspec.Struct, frozen=True):
    """An answer goes on with the events that follow the last one."""

    answer: engineattempt.OpenResponse


class _RepeatContinues(msgspec.Struct, frozen=True):
    """An answer that repeats events goes on after the last one."""


class _Failed(msgspec.Struct, frozen=True):
    """A question was refused or has no sound answer."""

    reason: str


class EndFinder:
    """Looks into the ends of the answers to one online request.

    `calls` is its Exchange, whose time limits hold. Used by one thread.
    """

    def __init__(self, parts, req, route, calls):
        self._parts = parts
        self._req = req
        self._calls = calls
        self._is_resumable = (
            route.kind is routing.Kind.STREAM and route.repeatable
        )
        self._end = streamends.StreamEnd()

    def begin(self, response):
        """Records where a stream begins that was not asked for after an id."""
        self._end.begin(response.after_id)

    def find(self, response, part, is_empty=False):
        """Returns the End of a response at `part`, an EndOfResponse.

        Its events are complete; it has none yet if `is_empty`, and then the
        engine's report alone shows nothing. If it went on, it has the events
        that follow. Raises CallerDisconnected.
        """
        if not part.unframed:
            return End.FRAMED
        if is_empty and not self._may_ask(response):
            return self._unasked_end(response)
        through = self._find_way(response)
        if through is None:
            end = End.GONE
        elif self._may_ask(response):
            end = self._ask(response, through)
        elif is_empty or self._has_questions(response):
            end = self._unasked_end(response)
        else:
            end = End.RUNNING
        self._parts.metrics.unframed.labels(end.value).inc()
        return end

    def find_failure(self, response, part):
        """Returns the End of a response whose status tells a failure.

        See find(); only the engine's report is asked for.
        """
        if not part.unframed:
            return End.FRAMED
        end = End.RUNNING
        if self._find_way(response) is None:
            end = End.GONE
        self._parts.metrics.unframed.labels(end.value).inc()
        return end

    def _find_way(self, response):
        return enginestatus.find_way(
            self._parts,
            response.engine,
            response.slot.through,
            self._calls.left_s(),
        )

    def _may_ask(self, response):
        """Whether the engine may be asked for the stream once more.

        A request to an engine that names a limit would not be counted towards
        it, and one that leaves gets none.
        """
        engine = response.engine
        return (
            self._has_questions(response)
            and self._parts.state.is_usable(engine)
            and not self._parts.limits.is_limited(engine)
        )

    def _unasked_end(self, response):
        """Returns the End of an answer whose engine may not be asked."""
        return End.UNASKED if self._has_questions(response) else End.UNCERTAIN

    def _has_questions(self, response):
        """Whether some engine may be asked for the stream's rest."""
        return self._is_resumable and response.after_id is not None

    def _ask(self, response, through):
        """Asks questions until one of them tells the End."""
        began_s = time.monotonic()
        engine_id, last_id = response.engine.id, response.last_id
        self._end.record_end(engine_id, response.after_id, last_id)
        end, reason, count = None, "", 0
        while end is None:
            question = self._next_question(response)
            if question is None:
                found = _Failed("no further question")
            else:
                found = self._send(response, question, through)
                count += 1
            if isinstance(found, _Failed):
                reason = found.reason
            end = self._apply(response, question, found)
        response.asking_s += time.monotonic() - began_s
        self._parts.log.event(
            "stream.unframed",
            request=self._req.id,
            engine=engine_id,
            through=through,
            last_id=last_id,
            end=end.value,
            questions=count,
            reason=reason,
        )
        return end

    def _next_question(self, response):
        """Returns the next Question, or None if there is to be none."""
        if self._calls.left_s() < attempts.REMAINING_MIN_S:
            return None
        if not self._may_ask(response):
            return None
        return self._end.next_question(response.engine.id, response.last_id)

    def _apply(self, response, question, found):
        """Records what a question showed; returns the End if it is known."""
        if isinstance(found, _Stated):
            return End.STATED
        if isinstance(found, _Next):
            response.go_on(found.answer)
            return End.WENT_ON
        if isinstance(found, _Failed):
            return End.UNCERTAIN
        if isinstance(found, _RepeatContinues):
            self._end.refute()
        else:
            self._end.record_end(
                response.engine.id, question.after_id, found.last_id
            )
        return End.AGREED if self._end.is_certain else None

    def _send(self, response, question, through):
        """Sends a Question; returns what its answer shows."""
        self._calls.check_caller()
        self._calls.record_progress()
        call = self._calls.new_call(response.engine)
        found = None
        try:
            found = self._send_call(call, response, question, through)
        finally:
            if not isinstance(found, _Next):
                call.close()
        return found

    def _send_call(self, call, response, question, through):
        engine, req = response.engine, self._req
        left_s = self._calls.left_s()
        headers = wire.engine_headers(
            req, engine, left_s, question.resume_after
        )
        order = tunnel.RelayOrder(engine.id, left_s)
        request = (req.method, req.path, headers, req.body)
        failure = self._parts.paths.open(call, engine, through, order, request)
        if failure is not None:
            return _Failed(failure.reason)
        head = self._receive(call)
        if not isinstance(head, engineclient.ResponseHead):
            return _failure(head)
        self._parts.slots.record_head(engine, head)
        if not wire.is_response_to(head, req):
            return _Failed("another request's answer")
        if head.status != http.HTTPStatus.OK:
            return _Failed(f"status {head.status}")
        if not (wire.is_complete_head(head) and wire.is_event_stream(head)):
            return _Failed("not a stream's head")
        answer = engineattempt.OpenResponse(
            call,
            response.slot,
            head,
            [],
            events.Parser(),
            last_id=question.after_id,
            after_id=question.after_id,
        )
        return self._read(answer, question, response.last_id)

    def _read(self, answer, question, last_id):
        """Reads an answer until it shows something.

        `last_id` is the last event that the caller has.
        """
        while True:
            part = self._receive(answer.call)
            if isinstance(part, engineclient.EndOfResponse):
                return _end_of_answer(answer, part, last_id)
            if not isinstance(part, engineclient.BodyData):
                return _failure(part)
            failure = answer.feed(part.data)
            if failure is not None:
                return _failure(failure)
            if not answer.events:
                continue
            self._calls.record_progress()
            if not question.repeats:
                return _Next(answer)
            if answer.last_id > last_id:
                return _RepeatContinues()

    def _receive(self, call):
        return self._calls.receive(call, SILENCE_MAX_S)


def _end_of_answer(answer, part, last_id):
    if answer.parser.incomplete:
        return _Failed("the answer ended inside an event")
    if part.unframed:
        return _Ended(answer.last_id)
    if answer.last_id < last_id:
        return _Failed("the answer lacks events")
    return _Stated()


def _failure(part):
    """Returns the _Failed of a part that is none of an answer; may be None."""
    return _Failed("the engine is silent" if part is None else part.reason)
