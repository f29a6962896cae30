"""WSGI application of the batch listener: submits and reads batch jobs."""

import uuid

import msgspec

from samphirepost import errors
from samphirepost import hashing
from samphirepost import jobs
from samphirepost import messages
from samphirepost import records
from samphirepost_daemon import online
from samphirepost_daemon import requestserver
from samphirepost_daemon import uploads
from samphirepost_daemon import web

BATCHES_PATH = "/v1/batches"
SUBMIT_TIMEOUT_S = 10.0
STATUS_TIMEOUT_S = 3.0
JSONL = "application/jsonl"


class BatchesApp:
    """Handles submission, status, results and cancellation of batch jobs."""

    def __init__(self, clock, cfg, active_tables, readiness, owners, objects):
        self._clock = clock
        self._limits = cfg.limits
        self._partitions = cfg.ledger.partitions
        self._active_tables = active_tables
        self._readiness = readiness
        self._owners = owners
        self._objects = objects

    def __call__(self, environ, start_response):
        self._readiness.request_started()
        try:
            respond = self._readiness.wrap_start_response(start_response)
            return web.run_handler(self._answer, web.Request(environ), respond)
        finally:
            self._readiness.request_finished()

    def _answer(self, req, start_response):
        failure = self._readiness.rejection_failure()
        if failure is not None:
            return web.fail(start_response, failure)
        caller = web.authenticate(req, self._active_tables)
        if isinstance(caller, errors.Failure):
            return web.fail(start_response, caller)
        parts = req.path.removeprefix(BATCHES_PATH).strip("/").split("/")
        if not req.path.startswith(BATCHES_PATH):
            return web.fail(start_response, web.not_found(req.path))
        if req.method == "POST" and parts == [""]:
            return self._handle_submit(req, caller, start_response)
        if req.method == "GET" and len(parts) == 1 and parts[0]:
            return self._handle_status(parts[0], caller, start_response)
        if req.method == "GET" and parts[1:] == ["results"]:
            return self._handle_results(parts[0], caller, start_response)
        if req.method == "POST" and parts[1:] == ["cancel"]:
            return self._handle_cancel(parts[0], caller, start_response)
        return web.fail(start_response, web.not_found(req.path))

    def _handle_submit(self, req, caller, start_response):
        wait_s = web.timeout_s(req, self._limits.batch_deadline_ms)
        if isinstance(wait_s, errors.Failure):
            return web.fail(start_response, wait_s)
        if req.body_length() > self._limits.upload_bytes_max:
            failure = web.too_large(self._limits.upload_bytes_max)
            return web.fail(start_response, failure)
        reader = uploads.UploadReader(self._objects, self._limits.items_max)
        upload = reader.read(req.body_file())
        if isinstance(upload, errors.Failure):
            return web.fail(start_response, upload)
        row = online.find_route(
            self._active_tables.tables, upload.route, caller
        )
        if isinstance(row, errors.Failure):
            return web.fail(start_response, row)
        key = req.header("Idempotency-Key") or uuid.uuid4().hex
        accepted = self._make_job(caller, key, upload, row, wait_s)
        return self._submit_job(accepted, start_response)

    def _make_job(self, caller, key, upload, row, wait_s):
        now_s = self._clock.unix_s()
        return records.JobAccepted(
            work=hashing.work_id("job", caller, key, self._partitions),
            caller=caller,
            digest=upload.digest,
            route=upload.route,
            idempotent=row.idempotent,
            total=upload.total,
            chunk_items=uploads.CHUNK_ITEMS,
            chunks=upload.chunks,
            deadline_unix_s=now_s + wait_s,
            accepted_unix_s=now_s,
        )

    def _submit_job(self, accepted, start_response):
        command = messages.SubmitJob(accepted)
        reply = self._owners.request_for_work(
            accepted.work, command, SUBMIT_TIMEOUT_S
        )
        if isinstance(reply, errors.Failure):
            return web.fail(start_response, reply, accepted.work)
        status = 202 if reply.created else 200
        location = ("Location", f"{BATCHES_PATH}/{reply.work}")
        body = {"id": reply.work, "created": reply.created}
        return web.reply(start_response, body, status, [location])

    def _request_status(self, work, caller):
        command = messages.GetJobStatus(work, caller)
        reply = self._owners.request_for_work(work, command, STATUS_TIMEOUT_S)
        if isinstance(reply, errors.Failure):
            return requestserver.unknown_unless_not_found(reply)
        return reply

    def _handle_status(self, work, caller, start_response):
        reply = self._request_status(work, caller)
        if isinstance(reply, errors.Failure):
            return web.fail(start_response, reply, work)
        return web.reply(start_response, _status_body(reply))

    def _handle_results(self, work, caller, start_response):
        reply = self._request_status(work, caller)
        if isinstance(reply, errors.Failure):
            return web.fail(start_response, reply, work)
        if reply.phase != jobs.Phase.COMPLETED.value:
            reason = f"the job is {reply.phase}"
            failure = errors.Failure(
                errors.Kind.NOT_FINISHED, reason, errors.Outcome.UNKNOWN
            )
            return web.fail(start_response, failure, work)
        data = self._objects.get(reply.results)
        if isinstance(data, errors.Failure):
            failure = errors.Failure(
                data.kind, data.reason, errors.Outcome.DONE
            )
            return web.fail(start_response, failure, work)
        return web.respond(start_response, 200, data, JSONL)

    def _handle_cancel(self, work, caller, start_response):
        command = messages.CancelJob(work, caller)
        reply = self._owners.request_for_work(work, command, STATUS_TIMEOUT_S)
        if isinstance(reply, errors.Failure):
            failure = requestserver.unknown_unless_not_found(reply)
            return web.fail(start_response, failure, work)
        return web.reply(start_response, _status_body(reply))


def _status_body(status):
    body = msgspec.to_builtins(status)
    body.pop("results")
    body["id"] = body.pop("work")
    body.pop("type", None)
    return body
