"""Answers of the daemon's own, and the way of a request to its handler.

No answer names its length, so the listener ends each connection after one
answer: no request can cross the closing of an idle connection.
"""

import http

from samphirepost import attempts
from samphirepost import routing
from samphirepost_daemon.platform import wire


def status_line(status):
    """Returns a status with its phrase."""
    try:
        return f"{status} {http.HTTPStatus(status).phrase}"
    except ValueError:
        return f"{status} -"


def _body(data):
    yield data


def reply(start_response, status, data, content_type="application/json"):
    """Sends a whole answer."""
    start_response(status_line(status), [("Content-Type", content_type)])
    return _body(data)


def refuse(start_response, refusal):
    """Sends a refusal, with the time to come back if it has one."""
    headers = [("Content-Type", "text/plain")]
    if refusal.retry_after_s is not None:
        headers.append(("Retry-After", f"{refusal.retry_after_s:g}"))
    start_response(status_line(refusal.status), headers)
    return _body(refusal.reason.encode() + b"\n")


def nothing(start_response):
    """Answers a caller who has left."""
    refusal = attempts.Refusal(504, "the caller has left")
    return refuse(start_response, refusal)


class App:
    """Finds the route of each request and the handler for its kind."""

    def __init__(self, parts, online, batch):
        self._parts = parts
        self._online = online
        self._batch = batch

    def __call__(self, environ, start_response):
        """Answers one HTTP request; a fault of the daemon promises nothing."""
        try:
            return self._answer(environ, start_response)
        except Exception as exc:
            self._parts.log.failure(
                "fault", where=environ["PATH_INFO"], error=repr(exc)
            )
            refusal = attempts.Refusal(502, "a fault of the daemon")
            return refuse(start_response, refusal)

    def _answer(self, environ, start_response):
        req = wire.parse_request(environ)
        if not isinstance(req, wire.Request):
            refusal = attempts.Refusal(400, req.reason)
            return refuse(start_response, refusal)
        table = self._parts.state.table
        if table is None:
            refusal = attempts.Refusal(503, "no tables are known yet", 0.5)
            return refuse(start_response, refusal)
        path = environ["PATH_INFO"]
        handled = self._batch.read_or_close(environ, start_response, req, path)
        if handled is not None:
            return handled
        host = req.host.partition(":")[0].lower()
        bare = req.path.partition("?")[0]
        route = table.find(host, bare)
        if route is None:
            self._parts.log.failure(
                "request.no_route",
                request=req.id,
                host=host,
                path=bare,
                **self._parts.state.ages(),
            )
            refusal = attempts.Refusal(404, "no route has this host and path")
            return refuse(start_response, refusal)
        if route.kind is routing.Kind.BATCH:
            return self._batch.submit(start_response, req, host, route)
        pool = routing.pick_pool(route)
        return self._online.answer(environ, start_response, req, route, pool)


class Readiness:
    """Answers the balancer and serves metrics."""

    def __init__(self, parts):
        self._parts = parts

    def __call__(self, environ, start_response):
        """Answers 200 while callers may be sent here."""
        if environ["PATH_INFO"] == "/metrics":
            return self._metrics(start_response)
        state = self._parts.state
        status = 200 if state.ready else 503
        text = b"ready\n" if state.ready else b"not ready\n"
        return reply(start_response, status, text, "text/plain")

    def _metrics(self, start_response):
        metrics = self._parts.metrics
        state = self._parts.state
        metrics.revision.set(state.table.revision if state.table else 0)
        metrics.engines.set(len(state.roster))
        age_s = state.ages()["engines_age_s"]
        metrics.registry_age.set(-1 if age_s is None else age_s)
        return reply(start_response, 200, metrics.text(), "text/plain")
