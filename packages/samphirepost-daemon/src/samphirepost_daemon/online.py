"""WSGI application of the online listener.

Serves completions, calls of plain services and stored results.
"""

import uuid

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import hashing
from samphirepost import stream
from samphirepost import targetchoice
from samphirepost_daemon import metrics
from samphirepost_daemon import requestserver
from samphirepost_daemon import web
from samphirepost_daemon import workitem

COMPLETIONS_PATH = "/v1/completions"
SERVICES_PATH = "/v1/services/"
RESULTS_PATH = "/v1/results/"
EVENT_STREAM = "text/event-stream"
TOKENS_MAX = 32_768


class CompletionBody(msgspec.Struct, frozen=True):
    """The body of a completion request."""

    model: str
    prompt: str
    max_tokens: int = 64
    stream: bool = False


class FinalEvent(msgspec.Struct, frozen=True):
    """The last event of a stream, before [DONE]."""

    id: str
    choices: list[dict]
    usage: dict
    stored: bool


class OnlineApp:
    """Handles online requests of callers."""

    def __init__(self, clock, cfg, active_tables, readiness, server):
        self._clock = clock
        self._limits = cfg.limits
        self._partitions = cfg.ledger.partitions
        self._active_tables = active_tables
        self._readiness = readiness
        self._server = server

    def __call__(self, environ, start_response):
        req = web.Request(environ)
        self._readiness.request_started()
        start = self._readiness.wrap_start_response(start_response)
        body = web.run_handler(self._answer, req, start)
        return ResponseBody(body, self._readiness.request_finished)

    def _answer(self, req, start_response):
        failure = self._readiness.rejection_failure()
        if failure is not None:
            return web.fail(start_response, failure)
        caller = web.authenticate(req, self._active_tables)
        if isinstance(caller, errors.Failure):
            return web.fail(start_response, caller)
        if req.method == "POST" and req.path == COMPLETIONS_PATH:
            return self._handle_completion(req, caller, start_response)
        if req.method == "POST" and req.path.startswith(SERVICES_PATH):
            return self._handle_service_call(req, caller, start_response)
        if req.method == "GET" and req.path.startswith(RESULTS_PATH):
            return self._handle_stored_result(req, caller, start_response)
        return web.fail(start_response, web.not_found(req.path))

    def _handle_stored_result(self, req, caller, start_response):
        answer = self._server.fetch_answer(
            req.path[len(RESULTS_PATH) :], caller
        )
        if isinstance(answer, errors.Failure):
            return web.fail(start_response, answer)
        return _result_response(
            start_response, answer, req.path[len(RESULTS_PATH) :]
        )

    def _handle_completion(self, req, caller, start_response):
        started_s = self._clock.monotonic_s()
        body = req.body(self._limits.body_bytes_max)
        if isinstance(body, errors.Failure):
            return web.fail(start_response, body)
        completion = codec.from_json(body, CompletionBody)
        if isinstance(completion, errors.Failure):
            return web.fail(start_response, completion)
        if not 0 < completion.max_tokens <= TOKENS_MAX:
            reason = f"max_tokens must be from 1 to {TOKENS_MAX}"
            failure = errors.Failure(errors.Kind.BAD_REQUEST, reason)
            return web.fail(start_response, failure)
        payload = workitem.CompletionPayload(
            completion, targetchoice.affinity_key(completion.prompt)
        )
        item = self._make_work_item(
            req, caller, completion.model, payload, body
        )
        if isinstance(item, errors.Failure):
            return web.fail(start_response, item)
        if completion.stream:
            return self._respond_stream(item, started_s, start_response)
        return self._respond(item, start_response)

    def _handle_service_call(self, req, caller, start_response):
        body = req.body(self._limits.body_bytes_max)
        if isinstance(body, errors.Failure):
            return web.fail(start_response, body)
        payload = workitem.ServicePayload(body, req.content_type)
        route = req.path[len(SERVICES_PATH) :]
        item = self._make_work_item(req, caller, route, payload, body)
        if isinstance(item, errors.Failure):
            return web.fail(start_response, item)
        return self._respond(item, start_response)

    def _make_work_item(self, req, caller, route, payload, body):
        row = find_route(self._active_tables.tables, route, caller)
        if isinstance(row, errors.Failure):
            return row
        wait_s = web.timeout_s(req, self._limits.online_deadline_ms)
        if isinstance(wait_s, errors.Failure):
            return wait_s
        key = req.header("Idempotency-Key")
        unique_key = key or uuid.uuid4().hex
        work_id = hashing.work_id("req", caller, unique_key, self._partitions)
        digest = hashing.digest(req.path.encode() + b"\0" + body)
        item = workitem.WorkItem(work_id, caller, route, row, payload, digest)
        item.has_key = bool(key)
        item.attempt_id = uuid.uuid4().hex
        item.deadline_s = self._clock.monotonic_s() + wait_s
        item.deadline_unix_s = self._clock.unix_s() + wait_s
        return item

    def _respond(self, item, start_response):
        answer = discard_chunks(self._server.serve(item))
        _count_outcome(item, answer)
        if isinstance(answer, errors.Failure):
            return web.fail(start_response, answer, item.id)
        return _result_response(start_response, answer, item.id)

    def _respond_stream(self, item, started_s, start_response):
        """Sends the status line only once the first tokens have arrived.

        A failure before them is answered with its own HTTP status.
        """
        chunks = self._server.serve(item)
        first, answer = _next_chunk(chunks)
        if first is None:
            _count_outcome(item, answer)
            if isinstance(answer, errors.Failure):
                return web.fail(start_response, answer, item.id)
            start_response("200 OK", _stream_headers(item))
            return [*_stored_events(item.id, answer)]
        elapsed_s = self._clock.monotonic_s() - started_s
        metrics.FIRST_TOKEN.labels(item.route).observe(elapsed_s)
        metrics.DISPATCH.observe(item.dispatched_s - started_s)
        start_response("200 OK", _stream_headers(item))
        return _relay_events(item, first, chunks)


class ResponseBody:
    """A response body that calls `on_close` when the server closes it."""

    def __init__(self, body, on_close):
        self._body = body
        self._chunks = iter(body)
        self._on_close = on_close

    def __iter__(self):
        return self._chunks

    def close(self):
        """Closes the body, then calls `on_close`, also if closing fails."""
        try:
            close = getattr(self._body, "close", None)
            if close is not None:
                close()
        finally:
            self._on_close()


def find_route(tables, route, caller):
    """Returns the route's row if the caller may use it, or a Failure."""
    row = tables.routes.get(route)
    if row is None or caller not in row.callers:
        reason = f"no route {route!r} for this caller"
        return errors.Failure(errors.Kind.ROUTE_MISSING, reason)
    return row


def _next_chunk(chunks):
    """Returns the next chunk and None, or None and the generator's result."""
    try:
        return next(chunks), None
    except StopIteration as stop:
        return None, stop.value


def discard_chunks(chunks):
    """Discards all chunks of a generator; returns the generator's result."""
    while True:
        chunk, answer = _next_chunk(chunks)
        if chunk is None:
            return answer


def _stream_headers(item):
    return [
        ("Content-Type", EVENT_STREAM),
        ("Cache-Control", "no-store"),
        ("Request-Id", item.id),
    ]


def _relay_events(item, chunk, chunks):
    """Yields the events of all chunks, then the final or an error event."""
    answer = None
    metrics.STREAMS_OPEN.labels("online").inc()
    tokens = metrics.TOKENS.labels("online")
    try:
        while chunk is not None:
            tokens.inc(chunk.count)
            yield chunk.data
            chunk, answer = _next_chunk(chunks)
        _count_outcome(item, answer)
        if isinstance(answer, errors.Failure):
            body = codec.to_json(web.problem(answer, item.id))
            yield b"event: error\ndata: " + body + b"\n\n"
        else:
            yield from _final_events(item, answer)
    finally:
        chunks.close()
        metrics.STREAMS_OPEN.labels("online").dec()


def _final_events(item, answer):
    usage = {"completion_tokens": item.checker.emitted}
    choice = {
        "index": 0,
        "text": "",
        "finish_reason": item.checker.finish_reason,
    }
    final_event = FinalEvent(item.id, [choice], usage, answer.stored)
    yield stream.DATA_PREFIX + codec.to_json(final_event) + b"\n\n"
    yield stream.DATA_PREFIX + stream.DONE_DATA + b"\n\n"


def _stored_events(work_id, answer):
    """Yields a stored answer as a stream of one event and [DONE]."""
    body = msgspec.json.decode(answer.result.body)
    final_event = FinalEvent(
        work_id, body["choices"], body.get("usage", {}), answer.stored
    )
    yield stream.DATA_PREFIX + codec.to_json(final_event) + b"\n\n"
    yield stream.DATA_PREFIX + stream.DONE_DATA + b"\n\n"


def _result_response(start_response, answer, work_id):
    headers = [
        ("Request-Id", work_id),
        ("Stored", "true" if answer.stored else "false"),
    ]
    result = answer.result
    return web.respond(
        start_response,
        result.status,
        result.body,
        result.content_type,
        headers,
    )


def _count_outcome(item, answer):
    outcome = "done"
    if isinstance(answer, errors.Failure):
        outcome = answer.kind.value
    elif isinstance(answer, requestserver.Answer) and not answer.stored:
        outcome = "not-stored"
    metrics.REQUESTS.labels(item.route, outcome).inc()
