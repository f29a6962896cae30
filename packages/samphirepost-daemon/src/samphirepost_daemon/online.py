"""The online listener: completions, plain services and stored results."""

import uuid

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import hashing
from samphirepost import stream
from samphirepost import targetchoice
from samphirepost_daemon import metrics
from samphirepost_daemon import serve
from samphirepost_daemon import web
from samphirepost_daemon import work

COMPLETIONS = "/v1/completions"
SERVICES = "/v1/services/"
RESULTS = "/v1/results/"
EVENT_STREAM = "text/event-stream"
TOKENS_MAX = 32_768


class Asked(msgspec.Struct, frozen=True):
    """The body of a completion request."""

    model: str
    prompt: str
    max_tokens: int = 64
    stream: bool = False


class Ending(msgspec.Struct, frozen=True):
    """The last event of a stream, before [DONE]."""

    id: str
    choices: list[dict]
    usage: dict
    stored: bool


class Online:
    """The WSGI application for online callers."""

    def __init__(self, clock, cfg, current, readiness, server):
        self._clock = clock
        self._limits = cfg.limits
        self._partitions = cfg.ledger.partitions
        self._current = current
        self._readiness = readiness
        self._server = server

    def __call__(self, environ, start_response):
        req = web.Request(environ)
        self._readiness.request_started()
        start = self._readiness.wrap_start_response(start_response)
        body = web.guard(self._answer, req, start)
        return Leaving(body, self._readiness.request_finished)

    def _answer(self, req, start_response):
        refusal = self._readiness.refusal()
        if refusal is not None:
            return web.fail(start_response, refusal)
        caller = web.authenticate(req, self._current)
        if isinstance(caller, errors.Failure):
            return web.fail(start_response, caller)
        if req.method == "POST" and req.path == COMPLETIONS:
            return self._complete(req, caller, start_response)
        if req.method == "POST" and req.path.startswith(SERVICES):
            return self._call(req, caller, start_response)
        if req.method == "GET" and req.path.startswith(RESULTS):
            return self._result(req, caller, start_response)
        return web.fail(start_response, web.not_found(req.path))

    def _result(self, req, caller, start_response):
        found = self._server.fetch(req.path[len(RESULTS) :], caller)
        if isinstance(found, errors.Failure):
            return web.fail(start_response, found)
        return _whole(start_response, found, req.path[len(RESULTS) :])

    def _complete(self, req, caller, start_response):
        started_s = self._clock.monotonic_s()
        body = req.body(self._limits.body_bytes_max)
        if isinstance(body, errors.Failure):
            return web.fail(start_response, body)
        asked = codec.from_json(body, Asked)
        if isinstance(asked, errors.Failure):
            return web.fail(start_response, asked)
        if not 0 < asked.max_tokens <= TOKENS_MAX:
            reason = f"max_tokens must be from 1 to {TOKENS_MAX}"
            failure = errors.Failure(errors.Kind.BAD_REQUEST, reason)
            return web.fail(start_response, failure)
        payload = work.Generation(
            asked, targetchoice.affinity_key(asked.prompt)
        )
        item = self._work(req, caller, asked.model, payload, body)
        if isinstance(item, errors.Failure):
            return web.fail(start_response, item)
        if asked.stream:
            return self._stream(item, started_s, start_response)
        return self._plain(item, start_response)

    def _call(self, req, caller, start_response):
        body = req.body(self._limits.body_bytes_max)
        if isinstance(body, errors.Failure):
            return web.fail(start_response, body)
        payload = work.Service(body, req.content_type)
        route = req.path[len(SERVICES) :]
        item = self._work(req, caller, route, payload, body)
        if isinstance(item, errors.Failure):
            return web.fail(start_response, item)
        return self._plain(item, start_response)

    def _work(self, req, caller, route, payload, body):
        row = find_route(self._current.tables, route, caller)
        if isinstance(row, errors.Failure):
            return row
        wait_s = web.timeout_s(req, self._limits.online_deadline_ms)
        if isinstance(wait_s, errors.Failure):
            return wait_s
        key = req.header("Idempotency-Key")
        name = key or uuid.uuid4().hex
        work_id = hashing.work_id("req", caller, name, self._partitions)
        digest = hashing.digest(req.path.encode() + b"\0" + body)
        item = work.Work(work_id, caller, route, row, payload, digest)
        item.keyed = bool(key)
        item.attempt = uuid.uuid4().hex
        item.deadline_s = self._clock.monotonic_s() + wait_s
        item.deadline_unix_s = self._clock.unix_s() + wait_s
        return item

    def _plain(self, item, start_response):
        found = last(self._server.serve(item))
        _count(item, found)
        if isinstance(found, errors.Failure):
            return web.fail(start_response, found, item.id)
        return _whole(start_response, found, item.id)

    def _stream(self, item, started_s, start_response):
        """Sends the status only when the first tokens are there."""
        steps = self._server.serve(item)
        first, found = _step(steps)
        if first is None:
            _count(item, found)
            if isinstance(found, errors.Failure):
                return web.fail(start_response, found, item.id)
            start_response("200 OK", _stream_headers(item))
            return [*_replay(item.id, found)]
        took_s = self._clock.monotonic_s() - started_s
        metrics.FIRST_TOKEN.labels(item.route).observe(took_s)
        metrics.DISPATCH.observe(item.dispatched_s - started_s)
        start_response("200 OK", _stream_headers(item))
        return _relay(item, first, steps)


class Leaving:
    """An iterable body that tells when the response is over."""

    def __init__(self, body, leave):
        self._body = body
        self._steps = iter(body)
        self._leave = leave

    def __iter__(self):
        return self._steps

    def close(self):
        """Ends the response and what it still waits for."""
        try:
            close = getattr(self._body, "close", None)
            if close is not None:
                close()
        finally:
            self._leave()


def find_route(tables, route, caller):
    """Returns the route's row if the caller may use it, or a Failure."""
    row = tables.routes.get(route)
    if row is None or caller not in row.callers:
        reason = f"no route {route!r} for this caller"
        return errors.Failure(errors.Kind.ROUTE_MISSING, reason)
    return row


def _step(steps):
    """Returns the next Token, or None and what the steps returned."""
    try:
        return next(steps), None
    except StopIteration as stop:
        return None, stop.value


def last(steps):
    """Takes all steps; returns what they return."""
    while True:
        token, found = _step(steps)
        if token is None:
            return found


def _stream_headers(item):
    return [
        ("Content-Type", EVENT_STREAM),
        ("Cache-Control", "no-store"),
        ("Request-Id", item.id),
    ]


def _relay(item, token, steps):
    """Yields the tokens' events, then the ending or the problem."""
    found = None
    metrics.STREAMS_OPEN.labels("online").inc()
    tokens = metrics.TOKENS.labels("online")
    try:
        while token is not None:
            tokens.inc(token.count)
            yield token.data
            token, found = _step(steps)
        _count(item, found)
        if isinstance(found, errors.Failure):
            body = codec.to_json(web.problem(found, item.id))
            yield b"event: error\ndata: " + body + b"\n\n"
        else:
            yield from _ending(item, found)
    finally:
        steps.close()
        metrics.STREAMS_OPEN.labels("online").dec()


def _ending(item, found):
    usage = {"completion_tokens": item.check.emitted}
    choice_ = {
        "index": 0,
        "text": "",
        "finish_reason": item.check.finish_reason,
    }
    ending = Ending(item.id, [choice_], usage, found.stored)
    yield stream.DATA_PREFIX + codec.to_json(ending) + b"\n\n"
    yield stream.DATA_PREFIX + stream.DONE_DATA + b"\n\n"


def _replay(work_id, found):
    """Yields a stored answer as a stream of one piece."""
    body = msgspec.json.decode(found.result.body)
    ending = Ending(
        work_id, body["choices"], body.get("usage", {}), found.stored
    )
    yield stream.DATA_PREFIX + codec.to_json(ending) + b"\n\n"
    yield stream.DATA_PREFIX + stream.DONE_DATA + b"\n\n"


def _whole(start_response, found, work_id):
    headers = [
        ("Request-Id", work_id),
        ("Stored", "true" if found.stored else "false"),
    ]
    result = found.result
    return web.respond(
        start_response,
        result.status,
        result.body,
        result.content_type,
        headers,
    )


def _count(item, found):
    outcome = "done"
    if isinstance(found, errors.Failure):
        outcome = found.kind.value
    elif isinstance(found, serve.Answered) and not found.stored:
        outcome = "not-stored"
    metrics.REQUESTS.labels(item.route, outcome).inc()
