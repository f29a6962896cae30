"""Checks the keys of callers against the organisations of the tables.

A daemon whose tables may be older than others' answers 503 where a newer
version could decide otherwise.
"""

from samphirepost import attempts
from samphirepost import organisations
from samphirepost import routing
from samphirepost_daemon.platform import wire

# Retry-After of a request whose key a newer version of the tables may have,
# or may have withdrawn (s): about the time in which they are read again.
RETRY_AFTER_S = 0.5


class Authenticator:
    """Finds the organisation of each request."""

    __slots__ = ("_log", "_metrics", "_state")

    def __init__(self, state, metrics, log):
        self._state = state
        self._metrics = metrics
        self._log = log

    def check_request(self, req, table, route):
        """Returns the request with its organisation, or an ErrorResponse."""
        if table.directory.is_empty:
            return req
        return self._check(req, table, route.anonymous)

    def check_job_request(self, req, table, host):
        """Returns a request that reads or closes a job; see check_request().

        Its path names no route.
        """
        if table.directory.is_empty:
            return req
        is_anonymous = all(
            route.anonymous
            for route in table.routes
            if route.host == host and route.kind is routing.Kind.BATCH
        )
        return self._check(req, table, is_anonymous)

    def _check(self, req, table, is_anonymous):
        found = table.directory.find(req.key_digest)
        if is_anonymous:
            return wire.with_organisation(req, found.name if found else "")
        refusal = key_refusal(self._state, found)
        if refusal is None:
            return wire.with_organisation(req, found.name, found.priority)
        self._report(req, refusal.status)
        return refusal

    def _report(self, req, status):
        self._metrics.key_refusals.labels(str(status)).inc()
        self._log.failure(
            "key.unknown" if status == 401 else "key.unconfirmed",
            request=req.id,
            key=organisations.logged_digest(req.key_digest),
            status=status,
            newest_revision=self._state.newest_revision,
            **self._state.age_fields(),
        )


def key_refusal(state, found):
    """Returns the ErrorResponse to a key, or None if it is accepted.

    `found` is the Organisation that has the key, or None.
    """
    if found is None and not state.may_be_outdated():
        return attempts.ErrorResponse(401, "the key is not known")
    if found is None or state.may_have_lost_keys():
        return attempts.ErrorResponse(
            503, "the newest keys are not known", RETRY_AFTER_S
        )
    return None
