"""Runs one request at the engines until there is an answer to pass on."""

import time

import msgspec

from samphirepost import attempts
from samphirepost import events
from samphirepost import routing
from samphirepost_daemon.entry import upstream
from samphirepost_daemon.platform import wire

# How often a waiting request looks whether its caller has left (s); a run
# has to be ended half a second after that.
SLICE_S = 0.1
CONNECT_TIMEOUT_S = 0.3
# An engine that says nothing for this long is left, if the request may run
# again elsewhere (s). Callers give up after 2 s without an event.
SILENCE_S = 1.0


class Gone(Exception):
    """The caller has left."""


class Opened(msgspec.Struct):
    """An answer that began: its head and what came of its body."""

    call: upstream.Call
    engine: str
    head: upstream.Head
    events: list[events.Event]
    parser: events.Parser
    body: bytes = b""
    done: bool = False
    closed: bool = False
    began_s: float = 0.0


class Broken(msgspec.Struct, frozen=True):
    """An attempt without a usable answer."""

    seen: attempts.Seen
    reason: str


class Exchange:
    """One request of a caller, and its attempts."""

    def __init__(self, parts, req, route, pool, deadline_s, gone):
        self._board = parts.board
        self._state = parts.state
        self._metrics = parts.metrics
        self._log = parts.log
        self._req = req
        self._route = route
        self._pool = pool
        self.deadline_s = deadline_s
        self._gone = gone
        self.history = attempts.History(route.repeatable, route.attempts_max)
        self.last = None
        self.tried = []

    def left_s(self):
        """Returns the time to the deadline."""
        return self.deadline_s - time.monotonic()

    def open(self, resume_after):
        """Returns Opened, or a Refusal once no attempt may follow."""
        while True:
            if self.left_s() < attempts.LEFT_MIN_S:
                return self._final()
            engine = self._choose()
            if engine is None:
                return self._final()
            wait_s = self._queue_s()
            if wait_s is not None:
                return self._busy(wait_s)
            found = self._attempt(engine, resume_after)
            if isinstance(found, Opened):
                return found
            self._failed(engine.id, found)
            if self.history.next(self.left_s()) is not attempts.Next.RETRY:
                return self._final()

    def _choose(self):
        engines = self._state.engines(self._pool)
        return self._board.choose(
            engines, self.history.excluded, time.monotonic()
        )

    def _queue_s(self):
        """Returns how long the request would wait, if that is too long."""
        if self.history.sends or self._req.resume_after is not None:
            return None
        engines = self._state.engines(self._pool)
        wait_s = self._board.wait_s(engines, time.monotonic())
        if wait_s <= attempts.queue_max_s(
            self._route, self._req.caller_timeout_s
        ):
            return None
        return wait_s

    def _busy(self, wait_s):
        return attempts.Refusal(
            503,
            f"all engines are busy for {wait_s:.2f} s",
            attempts.retry_after_s(wait_s),
        )

    def resume(self, opened, found, last_id):
        """Leaves an attempt that broke off for one that goes on after it.

        Returns Opened, or a Refusal if none may follow.
        """
        self.close(opened)
        self._failed(opened.engine, self._no_answer(found))
        again = self.history.next(self.left_s()) is attempts.Next.RETRY
        if not again or last_id is None:
            return self._final()
        return self.open(last_id)

    def _failed(self, name, found):
        """Notes an attempt without a usable answer."""
        self.history.note(name, found.seen)
        self.last = found
        self._metrics.attempts.labels(found.seen.value).inc()
        if found.seen is not attempts.Seen.REFUSED:
            self._board.failed(name, time.monotonic())
        self._log.event(
            "attempt.failed",
            request=self._req.id,
            engine=name,
            seen=found.seen.value,
            reason=found.reason,
            left_s=round(self.left_s(), 3),
            **self._state.ages(),
        )

    def _final(self):
        reason = self.last.reason if self.last else "no engine takes work"
        if self.history.runs:
            status = 504 if self.left_s() < attempts.LEFT_MIN_S else 502
            return attempts.Refusal(status, reason)
        return attempts.Refusal(503, reason, attempts.retry_after_s(0.0))

    def _attempt(self, engine, resume_after):
        self.tried.append(engine.id)
        call = upstream.Call()
        self._board.started(engine.id)
        opened = None
        try:
            opened = self._start(call, engine, resume_after)
        finally:
            if not isinstance(opened, Opened):
                call.close()
                self._board.ended(engine.id)
        return opened

    def _start(self, call, engine, resume_after):
        broken = call.open(engine.address, CONNECT_TIMEOUT_S)
        if broken is not None:
            return Broken(attempts.Seen.UNREACHABLE, broken.reason)
        req = self._req
        headers = wire.engine_headers(req, engine, self.left_s(), resume_after)
        broken = call.send(req.method, req.path, headers, req.body)
        if broken is not None:
            seen = attempts.Seen.UNREACHABLE
            if broken.sent:
                seen = attempts.Seen.BROKEN
            return Broken(seen, broken.reason)
        head = self.receive(call)
        if isinstance(head, (upstream.Broken, type(None))):
            return self._no_answer(head)
        return self._judge(call, engine, head)

    def _no_answer(self, found):
        if found is None:
            return Broken(attempts.Seen.SILENT, "the engine is silent")
        if isinstance(found, upstream.Done):
            return Broken(attempts.Seen.BROKEN, "the stream ended early")
        return Broken(attempts.Seen.BROKEN, found.reason)

    def _judge(self, call, engine, head):
        if wire.is_rejected(head):
            return Broken(attempts.Seen.REFUSED, f"status {head.status}")
        if not isinstance(head, upstream.Head) or not wire.is_response_to(
            head, self._req
        ):
            return Broken(attempts.Seen.BROKEN, "another request's answer")
        opened = Opened(call, engine.id, head, [], events.Parser())
        if self._route.kind is routing.Kind.STREAM and head.status == 200:
            return self._first_event(opened)
        return self._whole(opened)

    def _first_event(self, opened):
        while not opened.events and not opened.done:
            found = self.receive(opened.call)
            if isinstance(found, upstream.Data):
                opened.events = opened.parser.feed(found.data)
            elif isinstance(found, upstream.Done):
                opened.done = True
            else:
                return self._no_answer(found)
        if opened.done and opened.parser.rest:
            return self._no_answer(upstream.Done())
        self._board.succeeded(opened.engine)
        opened.began_s = time.monotonic()
        return opened

    def _whole(self, opened):
        parts = []
        while True:
            found = self.receive(opened.call)
            if isinstance(found, upstream.Data):
                parts.append(found.data)
            elif isinstance(found, upstream.Done):
                break
            else:
                return self._no_answer(found)
        opened.body = b"".join(parts)
        opened.done = True
        if opened.head.status < 500:
            self._board.succeeded(opened.engine)
            return opened
        if opened.head.status == 503 or not self.history.last_run:
            reason = f"status {opened.head.status}"
            return Broken(attempts.Seen.FAILED, reason)
        return opened

    def receive(self, call):
        """Returns what an engine sends next; None if it is silent too long.

        Raises Gone when the caller has left.
        """
        quiet_until_s = time.monotonic() + SILENCE_S
        while True:
            if self._gone():
                raise Gone
            left_s = self.left_s()
            if left_s <= 0:
                return None
            if not self.history.last_run and time.monotonic() > quiet_until_s:
                return None
            found = call.read(min(SLICE_S, left_s))
            if found is not None:
                return found

    def close(self, opened):
        """Ends an attempt; ending it again does nothing."""
        if opened.closed:
            return
        opened.closed = True
        if opened.done and opened.began_s:
            self._board.served(time.monotonic() - opened.began_s)
        opened.call.close()
        self._board.ended(opened.engine)
