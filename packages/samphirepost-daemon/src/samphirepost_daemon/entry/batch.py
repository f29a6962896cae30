"""Answers the calls about batch jobs."""

import threading
import time

from samphirepost import attempts
from samphirepost import batchjob
from samphirepost import errors
from samphirepost_daemon.entry import jobs
from samphirepost_daemon.entry import messages
from samphirepost_daemon.entry import web
from samphirepost_daemon.platform import wire

# How often results are looked for while a reader waits (s).
LOOK_S = 0.3
WAIT_MAX_S = 1.0
# When a caller whose job does not fit does best to come back (s): about
# the time in which an engine finishes an item.
QUOTA_RETRY_S = 1.0
STORE_RETRY_S = 0.5


class Batch:
    """Submits, reads and ends jobs."""

    def __init__(self, parts, kept, actor):
        self._parts = parts
        self._jobs = kept
        self._actor = actor

    def call(self, environ, start_response, req, path):
        """Answers a read or an end of a job; None for other requests."""
        job = wire.job_call(path)
        host = req.host.partition(":")[0].lower()
        if job and req.method == "GET":
            return self._read(environ, start_response, host, job)
        if job and req.method == "DELETE":
            return self._finish(start_response, host, job)
        job = wire.item_call(path)
        if job and req.method == "GET":
            item = wire.item_id(environ)
            return self._item(start_response, host, job, item)
        return None

    def submit(self, start_response, req, host, route):
        """Answers 202 once a job is durable."""
        if req.method != "POST" or not req.id:
            refusal = attempts.Refusal(400, "a job is a POST with an id")
            return web.send_refusal(start_response, refusal)
        record = wire.submission(req, host, route)
        if isinstance(record, errors.Failure):
            refusal = attempts.Refusal(400, record.reason)
            return web.send_refusal(start_response, refusal)
        found = self._jobs.submit(record, route)
        if isinstance(found, jobs.Accepted):
            self._accepted(record, route, found)
            return web.send_response(start_response, 202, b"{}")
        if isinstance(found, jobs.OverQuota):
            reason = f"{found.waiting} of {found.limit} tokens wait"
            refusal = attempts.Refusal(429, reason, QUOTA_RETRY_S)
        else:
            refusal = _unavailable(found)
        self._refused("job.refused", record.id, refusal)
        return web.send_refusal(start_response, refusal)

    def _accepted(self, record, route, found):
        decision = "accepted" if found.fresh else "known"
        self._parts.metrics.jobs.labels(decision).inc()
        self._parts.log.event(
            "job.accepted",
            job=record.id,
            route=route.name,
            items=len(record.items),
            fresh=found.fresh,
            revision=found.revision,
        )
        if found.fresh:
            opened = jobs.Open(
                record.host,
                record.id,
                found.revision,
                found.progress,
                found.store_ms,
            )
            self._actor.tell(messages.Hold(opened, record))

    def _read(self, environ, start_response, host, job):
        after = wire.after(environ)
        wait_s = min(wire.wait_s(environ), WAIT_MAX_S)
        until_s = time.monotonic() + wait_s
        while True:
            found = self._jobs.results(host, job, after)
            if not isinstance(found, jobs.Reading):
                return self._unread(start_response, job, found)
            left_s = until_s - time.monotonic()
            if found.results or left_s <= 0 or after >= found.total:
                body = wire.results(found.total, after, found.results)
                return web.send_response(start_response, 200, body)
            threading.Event().wait(min(LOOK_S, left_s))

    def _unread(self, start_response, job, found):
        if isinstance(found, jobs.Missing):
            refusal = attempts.Refusal(404, "there is no such job or item")
        else:
            refusal = _unavailable(found)
        self._refused("job.unread", job, refusal)
        return web.send_refusal(start_response, refusal)

    def _item(self, start_response, host, job, item):
        found = self._jobs.record(host, job)
        if not isinstance(found, batchjob.Record):
            return self._unread(start_response, job, found)
        for one in found.items:
            if one.id == item:
                return web.send_response(
                    start_response, 200, one.body, "application/octet-stream"
                )
        return self._unread(start_response, job, jobs.Missing())

    def _finish(self, start_response, host, job):
        head = self._jobs.head(host, job)
        if not isinstance(head, batchjob.Head):
            return self._unread(start_response, job, head)
        failure = self._jobs.end(host, job)
        if failure is not None:
            return self._unread(start_response, job, failure)
        self._actor.tell(messages.Drop(host, job, "ended by its caller"))
        self._parts.log.event("job.ended", job=job)
        return web.send_response(start_response, 200, b"{}")

    def _refused(self, event, job, refusal):
        self._parts.metrics.jobs.labels(event).inc()
        self._parts.log.failure(
            event,
            job=job,
            status=refusal.status,
            reason=refusal.reason,
            **self._parts.state.age_fields(),
        )


def _unavailable(failure):
    if failure.outcome is errors.Outcome.UNKNOWN:
        return attempts.Refusal(504, failure.reason)
    return attempts.Refusal(503, failure.reason, STORE_RETRY_S)
