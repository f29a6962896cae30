"""Answers online requests: streams are relayed as they come."""

import time

from samphirepost import attempts
from samphirepost_daemon.entry import exchange
from samphirepost_daemon.entry import upstream
from samphirepost_daemon.entry import web
from samphirepost_daemon.platform import wire


class StreamCut(Exception):
    """Ends a caller's connection, so that a part is not taken as whole."""


class Online:
    """Serves requests of all routes but batch jobs."""

    def __init__(self, parts):
        self._parts = parts

    def answer(self, environ, start_response, req, route, pool):
        """Answers one request."""
        run = Run(self._parts, environ, req, route, pool)
        return run.answer(start_response)


class Run:
    """One request from its arrival to its end."""

    def __init__(self, parts, environ, req, route, pool):
        self._parts = parts
        self._req = req
        self._route = route
        self._began_s = time.monotonic()
        limit_s = route.timeout_s
        if req.caller_timeout_s is not None:
            limit_s = min(limit_s, req.caller_timeout_s)
        gone = environ.get("waitress.client_disconnected", lambda: False)
        self._exchange = exchange.Exchange(
            parts, req, route, pool, self._began_s + limit_s, gone
        )
        self._last_id = req.resume_after
        self._first_s = None
        self._resumed = 0
        parts.metrics.running.inc()

    def answer(self, start_response):
        """Returns the WSGI body."""
        try:
            found = self._exchange.open(self._last_id)
        except exchange.Gone:
            self._end("caller-gone")
            return web.nothing(start_response)
        except Exception:
            self._end("error")
            raise
        if isinstance(found, attempts.Refusal):
            self._end("refused", found)
            return web.refuse(start_response, found)
        self._first_s = time.monotonic() - self._began_s
        self._parts.metrics.first_event.observe(self._first_s)
        start_response(
            web.status_line(found.head.status),
            wire.response_headers(found.head),
        )
        if found.done and not found.events:
            return self._whole(found)
        return self._relay(found)

    def _whole(self, opened):
        self._exchange.close(opened)
        self._end("answered")
        yield opened.body

    def _relay(self, opened):
        outcome, reason = "cut", None
        try:
            while True:
                for event in opened.events:
                    if event.id is not None:
                        self._last_id = event.id
                    yield event.raw
                if opened.done:
                    break
                opened = self._more(opened)
            outcome = "answered"
        except StreamCut as exc:
            reason = str(exc)
            raise
        except GeneratorExit:
            outcome = "caller-gone"
            raise
        except exchange.Gone:
            outcome = "caller-gone"
            raise StreamCut("the caller has left") from None
        except Exception as exc:
            outcome, reason = "error", repr(exc)
            raise
        finally:
            self._exchange.close(opened)
            self._end(outcome, reason=reason)

    def _more(self, opened):
        """Returns the attempt that the stream goes on with, and its events."""
        found = self._exchange.receive(opened.call)
        if isinstance(found, upstream.Data):
            opened.events = opened.parser.feed(found.data)
            return opened
        if isinstance(found, upstream.Done) and not opened.parser.rest:
            opened.events = []
            opened.done = True
            return opened
        return self._resume(opened, found)

    def _resume(self, opened, found):
        resumed = self._exchange.resume(opened, found, self._last_id)
        if isinstance(resumed, attempts.Refusal):
            raise StreamCut(resumed.reason)
        self._resumed += 1
        if resumed.head.status != 200:
            self._exchange.close(resumed)
            raise StreamCut(f"status {resumed.head.status}")
        return resumed

    def _end(self, outcome, refusal=None, reason=None):
        parts = self._parts
        parts.metrics.running.dec()
        parts.metrics.requests.labels(self._route.name, outcome).inc()
        write = parts.log.event
        fields = {"reason": reason} if reason else {}
        if outcome in ("refused", "cut", "error"):
            write = parts.log.failure
            fields |= parts.state.ages()
        if refusal is not None:
            fields["status"] = refusal.status
            fields["reason"] = refusal.reason
            fields["retry_after_s"] = refusal.retry_after_s
        first_ms = None
        if self._first_s is not None:
            first_ms = round(self._first_s * 1000)
        write(
            "request.ended",
            request=self._req.id,
            route=self._route.name,
            outcome=outcome,
            engines=self._exchange.tried,
            runs=self._exchange.history.runs,
            resumed=self._resumed,
            first_ms=first_ms,
            total_ms=round((time.monotonic() - self._began_s) * 1000),
            **fields,
        )
