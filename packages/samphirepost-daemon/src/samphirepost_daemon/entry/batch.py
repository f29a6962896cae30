"""Handlers of the entry daemon's HTTP requests for batch jobs.

A handler runs on the listener thread of its request.
"""

import threading
import time

from samphirepost import attempts
from samphirepost import batchjob
from samphirepost import errors
from samphirepost import joboutline
from samphirepost import memorybudget
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import web
from samphirepost_daemon.platform import wire

# Interval at which the store is polled while a caller waits for results.
RESULTS_POLL_INTERVAL_S = 0.3
# Longest wait for results in one request; it occupies a listener thread.
READ_WAIT_MAX_S = 1.0
# Retry-After for a job above its route's token limit: about the time in
# which an engine finishes an item, which frees its tokens.
QUOTA_RETRY_AFTER_S = 1.0
# Retry-After for a request that the store certainly did not execute.
STORE_RETRY_AFTER_S = 0.5


class JobHandler:
    """Submits, reads and closes jobs."""

    def __init__(self, parts, job_store, actor):
        self._parts = parts
        self._job_store = job_store
        self._actor = actor

    @staticmethod
    def is_job_request(req, path):
        """Whether a request reads or closes a job."""
        if wire.parse_job_path(path):
            return req.method in ("GET", "DELETE")
        return bool(wire.parse_item_path(path)) and req.method == "GET"

    def read_or_close(self, environ, start_response, req, path):
        """Answers a request for which is_job_request() holds.

        Returns the WSGI body.
        """
        job_id = wire.parse_job_path(path)
        host = req.host.partition(":")[0].lower()
        job_id = job_id or wire.parse_item_path(path)
        unseen = self._check_visible(req, host, job_id)
        if unseen is not None:
            return self._send_read_error(start_response, job_id, unseen)
        if wire.parse_item_path(path):
            item_id = wire.parse_item_id(environ)
            return self._read_item(start_response, host, job_id, item_id)
        if req.method == "GET":
            return self._read_results(environ, start_response, host, job_id)
        return self._close_job(start_response, host, job_id)

    def _check_visible(self, req, host, job_id):
        """Returns None if the caller may see a job, else why it may not.

        To other organisations than its own, a job does not exist. A job
        without one was accepted from a caller without a key, or by an older
        build.
        """
        table = self._parts.state.table
        if table.directory.is_empty:
            return None
        head = self._job_store.read_head(host, job_id)
        if not isinstance(head, batchjob.Head):
            return head
        if head.organisation in ("", req.organisation):
            return None
        return jobstore.JobNotFound()

    def submit(self, start_response, req, host, route):
        """Submits a job; answers 202 once the job is durable.

        Returns the WSGI body.
        """
        if req.method != "POST" or not req.id:
            error = attempts.ErrorResponse(400, "a job is a POST with an id")
            return web.send_error_response(start_response, error)
        record = wire.parse_submission(req, host, route)
        if isinstance(record, errors.Failure):
            error = attempts.ErrorResponse(400, record.reason)
            return web.send_error_response(start_response, error)
        outline = joboutline.outline_of(record)
        key = (record.host, record.id)
        account = self._parts.budget.account(memorybudget.Kind.JOB, key)
        is_held = False
        try:
            found = self._submit_record(record, route, outline, account)
            is_held = isinstance(found, jobstore.AcceptedJob) and found.is_new
        finally:
            if not is_held:
                account.close()
        if not isinstance(found, jobstore.AcceptedJob):
            return self._refuse(start_response, record, route, found)
        self._report_accepted(record, route, found)
        if is_held:
            self._hold(record, found, outline, account)
        return web.send_response(start_response, 202, b"{}")

    def _submit_record(self, record, route, outline, account):
        """Returns what JobStore.submit() does.

        A job for which this daemon has no memory is not written.
        """
        if not account.take(outline.kept_bytes):
            reason = "no memory is free for the job"
            return self._job_store.accepted_or(
                record, errors.Failure(errors.Kind.NO_MEMORY, reason)
            )
        return self._job_store.submit(record, route)

    def _hold(self, record, accepted, outline, account):
        open_job = jobstore.OpenJob(
            record.host,
            record.id,
            accepted.revision,
            accepted.progress,
            accepted.store_ms,
        )
        self._actor.tell(holdermessages.HoldJob(open_job, outline, account))

    def _refuse(self, start_response, record, route, found):
        """Answers a job that was not accepted, `found` tells why."""
        if isinstance(found, jobstore.QuotaExceeded):
            reason = (
                f"{found.queued_tokens} of {found.limit_tokens} tokens wait"
            )
            error = attempts.ErrorResponse(429, reason, QUOTA_RETRY_AFTER_S)
        elif isinstance(found, jobstore.JobNotFound):
            error = attempts.ErrorResponse(409, "the job's id is in use")
        else:
            error = _store_error(found)
        self._report_error(
            "job.refused",
            record.id,
            error,
            organisation=record.organisation,
            route=route.name,
        )
        return web.send_error_response(start_response, error)

    def _report_accepted(self, record, route, found):
        decision = "accepted" if found.is_new else "known"
        self._parts.metrics.jobs.labels(decision).inc()
        self._parts.log.event(
            "job.accepted",
            job=record.id,
            route=route.name,
            items=len(record.items),
            fresh=found.is_new,
            revision=found.revision,
        )

    def _read_results(self, environ, start_response, host, job_id):
        after = wire.parse_result_position(environ)
        wait_s = min(wire.parse_wait_s(environ), READ_WAIT_MAX_S)
        deadline_s = time.monotonic() + wait_s
        while True:
            found = self._job_store.read_results(host, job_id, after)
            if not isinstance(found, jobstore.ResultsPage):
                return self._send_read_error(start_response, job_id, found)
            left_s = deadline_s - time.monotonic()
            if found.results or left_s <= 0 or after >= found.total:
                body = wire.encode_results(found.total, after, found.results)
                return web.send_response(start_response, 200, body)
            threading.Event().wait(min(RESULTS_POLL_INTERVAL_S, left_s))

    def _send_read_error(self, start_response, job_id, found):
        if isinstance(found, jobstore.JobNotFound):
            error = attempts.ErrorResponse(404, "there is no such job or item")
        else:
            error = _store_error(found)
        self._report_error("job.unread", job_id, error)
        return web.send_error_response(start_response, error)

    def _read_item(self, start_response, host, job_id, item_id):
        found = self._job_store.read_record(host, job_id)
        if not isinstance(found, batchjob.Record):
            return self._send_read_error(start_response, job_id, found)
        for item in found.items:
            if item.id == item_id:
                return web.send_response(
                    start_response, 200, item.body, "application/octet-stream"
                )
        return self._send_read_error(
            start_response, job_id, jobstore.JobNotFound()
        )

    def _close_job(self, start_response, host, job_id):
        head = self._job_store.read_head(host, job_id)
        if not isinstance(head, batchjob.Head):
            return self._send_read_error(start_response, job_id, head)
        failure = self._job_store.close_job(host, job_id)
        if failure is not None:
            return self._send_read_error(start_response, job_id, failure)
        self._actor.tell(
            holdermessages.DropJob(host, job_id, "closed by its caller")
        )
        self._parts.log.event("job.ended", job=job_id)
        return web.send_response(start_response, 200, b"{}")

    def _report_error(self, event, job_id, error, **fields):
        self._parts.metrics.jobs.labels(event).inc()
        self._parts.log.failure(
            event,
            job=job_id,
            status=error.status,
            reason=error.reason,
            **fields,
            **self._parts.state.age_fields(),
        )


def _store_error(failure):
    if failure.outcome is errors.Outcome.UNKNOWN:
        return attempts.ErrorResponse(504, failure.reason)
    return attempts.ErrorResponse(503, failure.reason, STORE_RETRY_AFTER_S)
