"""Serves callers' online requests and relays streams of events."""

import time

from samphirepost import attempts
from samphirepost_daemon import callerguard
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import exchange
from samphirepost_daemon.entry import streamend
from samphirepost_daemon.entry import web
from samphirepost_daemon.platform import wire


class StreamCut(Exception):
    """The rest of a stream cannot be sent.

    Raised into the listener, which closes the caller's connection without
    the end of the body, so that a truncated body does not look complete.
    """


class OnlineHandler:
    """Serves the requests of all routes except those of kind BATCH."""

    def __init__(self, parts):
        self._parts = parts

    def answer(self, environ, start_response, req, route, pool):
        """Returns the WSGI body of the response to one request."""
        request = OnlineRequest(self._parts, environ, req, route, pool)
        return request.answer(start_response)


class OnlineRequest:
    """One online request, from its arrival until it is logged.

    Called by the listener's thread for the request.
    """

    def __init__(self, parts, environ, req, route, pool):
        self._parts = parts
        self._req = req
        self._route = route
        self._began_s = time.monotonic()
        limit_s = attempts.time_limit_s(route, req.caller_timeout_s)
        is_disconnected = environ.get(
            "waitress.client_disconnected", lambda: False
        )
        self._exchange = exchange.Exchange(
            parts, req, route, pool, self._began_s + limit_s, is_disconnected
        )
        self._is_answer_cut = environ.get(
            callerguard.ANSWER_CUT, lambda: False
        )
        self._last_id = req.resume_after
        self._first_response_s = None
        self._resume_count = 0
        parts.metrics.running.inc()

    def answer(self, start_response):
        """Returns the WSGI body; a stream's body raises StreamCut."""
        try:
            result = self._exchange.open_response(self._last_id)
        except exchange.CallerDisconnected:
            self._finish("caller-gone")
            return web.answer_disconnected(start_response)
        except Exception:
            self._finish("error")
            raise
        if isinstance(result, attempts.ErrorResponse):
            self._finish("refused", result)
            return web.send_error_response(start_response, result)
        self._first_response_s = time.monotonic() - self._began_s
        self._parts.metrics.first_event.observe(self._first_response_s)
        start_response(
            web.status_line(result.head.status),
            wire.response_headers(result.head),
        )
        if result.done and not result.events:
            return self._send_body(result)
        return self._relay_stream(result)

    def _send_body(self, response):
        self._exchange.close(response)
        self._finish("answered")
        try:
            yield from web.pieces(response.body)
        finally:
            if response.account is not None:
                response.account.close()

    def _relay_stream(self, response):
        outcome, reason = "cut", None
        try:
            while True:
                self._exchange.record_events(response, len(response.events))
                for event in response.events:
                    if event.id is not None:
                        self._last_id = event.id
                    yield event.raw
                if response.done:
                    break
                response = self._read_events(response)
            outcome = "answered"
        except StreamCut as exc:
            reason = str(exc)
            raise
        except GeneratorExit:
            outcome = "caller-gone"
            if self._is_answer_cut():
                outcome, reason = "cut", "no memory for an unread answer"
            raise
        except exchange.CallerDisconnected:
            outcome = "caller-gone"
            raise StreamCut("the caller disconnected") from None
        except Exception as exc:
            outcome, reason = "error", repr(exc)
            raise
        finally:
            self._exchange.close(response)
            self._finish(outcome, reason=reason)

    def _read_events(self, response):
        """Reads the next events of a stream.

        Returns the attempt that now carries the stream: another one if the
        stream was interrupted and resumed. Raises StreamCut if it cannot be
        resumed, and CallerDisconnected.
        """
        part = self._exchange.receive(response.call)
        if isinstance(part, engineclient.BodyData):
            failure = response.feed(part.data)
            if failure is not None:
                return self._resume(response, failure)
            if response.events:
                self._exchange.record_progress()
            return response
        if (
            isinstance(part, engineclient.EndOfResponse)
            and not response.parser.incomplete
        ):
            return self._end_or_go_on(response, part)
        return self._resume(response, part)

    def _end_or_go_on(self, response, part):
        response.events = []
        end = self._exchange.ends.find(response, part)
        if end is streamend.End.WENT_ON:
            return response
        if end.is_whole:
            response.done = True
            return response
        is_unasked = end is streamend.End.UNASKED
        return self._resume(response, end if is_unasked else part)

    def _resume(self, response, part):
        resumed = self._exchange.resume(response, part, self._last_id)
        if isinstance(resumed, attempts.ErrorResponse):
            raise StreamCut(resumed.reason)
        self._resume_count += 1
        if resumed.head.status != 200:
            self._exchange.close(resumed)
            if resumed.account is not None:
                # Its body is not passed on.
                resumed.account.close()
            raise StreamCut(f"status {resumed.head.status}")
        return resumed

    def _finish(self, outcome, error=None, reason=None):
        """Counts and logs the completed request."""
        parts = self._parts
        self._exchange.settle_charge()
        parts.metrics.running.dec()
        parts.metrics.requests.labels(self._route.name, outcome).inc()
        if self._req.organisation:
            parts.metrics.count_organisation(self._req.organisation, outcome)
        log_line = parts.log.event
        fields = {"reason": reason} if reason else {}
        if self._req.resume_after is not None:
            fields["resumes"] = self._req.resumes
            fields["resume_after"] = self._req.resume_after
            fields["version_source"] = self._exchange.stream_version.source
        if outcome in ("refused", "cut", "error"):
            log_line = parts.log.failure
            fields |= parts.state.age_fields()
        if error is not None:
            fields["status"] = error.status
            fields["reason"] = error.reason
            fields["retry_after_s"] = error.retry_after_s
        if self._req.organisation:
            fields["organisation"] = self._req.organisation
        first_ms = None
        if self._first_response_s is not None:
            first_ms = round(self._first_response_s * 1000)
        log_line(
            "request.ended",
            request=self._req.id,
            digest=self._req.digest,
            route=self._route.name,
            outcome=outcome,
            engines=self._exchange.engines_tried,
            versions=self._exchange.versions_tried,
            through=self._exchange.peers_used,
            runs=self._exchange.run_count,
            resumed=self._resume_count,
            slot_ms=round(self._exchange.slot_wait_s * 1000),
            first_ms=first_ms,
            total_ms=round((time.monotonic() - self._began_s) * 1000),
            **fields,
        )
