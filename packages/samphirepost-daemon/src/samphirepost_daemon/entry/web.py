"""WSGI applications of the entry daemon, and helpers for their responses.

No response has a Content-Length, so the listener closes each connection after
one response. This way no request is lost by arriving on an idle connection
that the listener is about to close.
"""

import http
import time

from samphirepost import attempts
from samphirepost import hashing
from samphirepost import refusals
from samphirepost import routing
from samphirepost_daemon.entry import authentication
from samphirepost_daemon.platform import wire

# Longest time of a request that submits, reads or closes a job (s), while the
# store works.
JOB_REQUEST_MAX_S = 3.0
# Size of the pieces in which a body is passed to the listener, which copies
# each of them.
PIECE_BYTES = 65_536


def status_line(status):
    """Returns the WSGI status: code and reason phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} -"


def pieces(data):
    """Yields a complete body in pieces."""
    for start in range(0, max(1, len(data)), PIECE_BYTES):
        yield data[start : start + PIECE_BYTES]


def send_response(
    start_response, status, data, content_type="application/json"
):
    """Starts a response and returns its WSGI body."""
    start_response(status_line(status), [("Content-Type", content_type)])
    return pieces(data)


def send_error_response(start_response, error):
    """Starts the response for an ErrorResponse; returns its WSGI body."""
    headers = [("Content-Type", "text/plain")]
    if error.retry_after_s is not None:
        headers.append(("Retry-After", f"{error.retry_after_s:g}"))
    start_response(status_line(error.status), headers)
    return pieces(error.reason.encode() + b"\n")


def answer_disconnected(start_response):
    """Completes a request whose caller has disconnected."""
    error = attempts.ErrorResponse(504, "the caller has left")
    return send_error_response(start_response, error)


class PathDispatcher:
    """WSGI application that passes requests on by their path.

    `apps` has a WSGI application for each path.
    """

    def __init__(self, apps):
        self._apps = apps

    def __call__(self, environ, start_response):
        """Answers one request; with 404 if no application has its path."""
        app = self._apps.get(environ["PATH_INFO"])
        if app is None:
            return send_response(
                start_response, 404, b"no such path\n", "text/plain"
            )
        return app(environ, start_response)


class CallerApp:
    """Routes the requests of callers to the online or the batch handler."""

    def __init__(self, parts, online, batch):
        self._parts = parts
        self._authenticator = authentication.Authenticator(
            parts.state, parts.metrics, parts.log
        )
        self._online = online
        self._batch = batch

    def __call__(self, environ, start_response):
        """Answers one HTTP request.

        After an unexpected exception the status is 502, as an engine may have
        run the request.
        """
        try:
            return self._answer(environ, start_response)
        except Exception as exc:
            self._parts.log.failure(
                "fault", where=environ["PATH_INFO"], error=repr(exc)
            )
            error = attempts.ErrorResponse(502, "a fault of the daemon")
            return send_error_response(start_response, error)

    def _answer(self, environ, start_response):
        req = wire.parse_request(environ)
        if not isinstance(req, wire.Request):
            error = attempts.ErrorResponse(400, req.reason)
            return send_error_response(start_response, error)
        table = self._parts.state.table
        if table is None:
            return send_error_response(start_response, refusals.no_tables())
        path = environ["PATH_INFO"]
        if self._batch.is_job_request(req, path):
            if not self._is_admitted(JOB_REQUEST_MAX_S):
                return self._refuse_at_exit(start_response, req)
            req = self._authenticator.check_job_request(
                req, table, _host_name(req)
            )
            if isinstance(req, attempts.ErrorResponse):
                return send_error_response(start_response, req)
            return self._batch.read_or_close(
                environ, start_response, req, path
            )
        host = _host_name(req)
        path_only = req.path.partition("?")[0]
        route = table.find_route(host, path_only)
        if route is None:
            self._parts.log.failure(
                "request.no_route",
                request=req.id,
                host=host,
                path=path_only,
                **self._parts.state.age_fields(),
            )
            return send_error_response(start_response, refusals.no_route())
        req = self._authenticator.check_request(req, table, route)
        if isinstance(req, attempts.ErrorResponse):
            return send_error_response(start_response, req)
        is_batch = route.kind is routing.Kind.BATCH
        needed_s = JOB_REQUEST_MAX_S
        if not is_batch:
            needed_s = attempts.time_limit_s(route, req.caller_timeout_s)
        if not self._is_admitted(needed_s):
            return self._refuse_at_exit(start_response, req)
        if is_batch:
            return self._batch.submit(start_response, req, host, route)
        # A stream that is taken up goes to the pool in which it began.
        began_as = req.resumes or req.id
        pool = routing.pick_pool(route, lambda: hashing.fraction(began_as))
        return self._online.answer(environ, start_response, req, route, pool)

    def _is_admitted(self, needed_s):
        return self._parts.state.admits(time.monotonic(), needed_s)

    def _refuse_at_exit(self, start_response, req):
        """Refuses a request that might not be done before the exit."""
        self._parts.log.event("request.at_exit", request=req.id)
        return send_error_response(start_response, refusals.at_exit())


def _host_name(req):
    """Returns the name of a request's host, without its port."""
    return req.host.partition(":")[0].lower()


class ReadinessApp:
    """Answers readiness checks of the load balancer and serves metrics.

    `where` is the WSGI application that tells where requests would go.
    """

    def __init__(self, parts, where):
        self._parts = parts
        self._where = where

    def __call__(self, environ, start_response):
        """Serves /metrics and /where.

        Elsewhere answers 200 if ready and 503 if not.
        """
        if environ["PATH_INFO"] == "/metrics":
            return self._send_metrics(start_response)
        if environ["PATH_INFO"] == "/where":
            return self._where(environ, start_response)
        state = self._parts.state
        status = 200 if state.ready else 503
        text = b"ready\n" if state.ready else b"not ready\n"
        return send_response(start_response, status, text, "text/plain")

    def _send_metrics(self, start_response):
        metrics = self._parts.metrics
        state = self._parts.state
        metrics.revision.set(state.table.revision if state.table else 0)
        metrics.engines.set(len(state.roster))
        age_s = state.age_fields()["engines_age_s"]
        metrics.registry_age.set(-1 if age_s is None else age_s)
        return send_response(
            start_response, 200, metrics.render(), "text/plain"
        )
