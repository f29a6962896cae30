"""Helpers for requests and responses of the daemon's WSGI applications."""

import http

import eliot
import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import hashing

BEARER_PREFIX = "Bearer "
JSON_TYPE = "application/json"
PROBLEM_TYPE = "application/problem+json"
_TYPE_PREFIX = "urn:samphirepost:"


class Problem(msgspec.Struct, frozen=True):
    """An RFC 9457 problem document with the outcome of the work.

    `id` is the request or job id, or empty.
    """

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    id: str = ""


class Request:
    """One HTTP request, read from its WSGI environment."""

    __slots__ = ("_environ", "method", "path")

    def __init__(self, environ):
        self._environ = environ
        self.method = environ["REQUEST_METHOD"]
        self.path = environ["PATH_INFO"]

    def header(self, name):
        """Returns a header's value, or an empty string."""
        key = "HTTP_" + name.upper().replace("-", "_")
        return self._environ.get(key, "")

    @property
    def content_type(self):
        """The body's content type."""
        return self._environ.get("CONTENT_TYPE") or JSON_TYPE

    @property
    def query(self):
        """The raw query string."""
        return self._environ.get("QUERY_STRING", "")

    def body_file(self):
        """Returns the body as a binary file."""
        return self._environ["wsgi.input"]

    def body_length(self):
        """Returns the body's length in bytes."""
        return int(self._environ.get("CONTENT_LENGTH") or 0)

    def body(self, bytes_max):
        """Returns the body, or a Failure if it is too large."""
        if self.body_length() > bytes_max:
            return too_large(bytes_max)
        return self._environ["wsgi.input"].read()

    def token_sha256(self):
        """Returns the digest of the bearer token, or None without one."""
        value = self.header("Authorization")
        if not value.startswith(BEARER_PREFIX):
            return None
        return hashing.digest(value[len(BEARER_PREFIX) :].encode())


def too_large(bytes_max):
    """Returns the failure of a body larger than `bytes_max`."""
    reason = f"the body is larger than {bytes_max} bytes"
    return errors.Failure(errors.Kind.BODY_TOO_LARGE, reason)


def authenticate(req, active_tables):
    """Returns the name of the caller that the bearer token belongs to.

    Returns a Failure if there is no token or no caller has it.
    """
    token_sha256 = req.token_sha256()
    if token_sha256 is None:
        reason = "send 'Authorization: Bearer TOKEN'"
        return errors.Failure(errors.Kind.CALLER_MISSING, reason)
    caller = active_tables.callers.get(token_sha256)
    if caller is None:
        reason = "the token belongs to no caller of the routes table"
        return errors.Failure(errors.Kind.CALLER_UNKNOWN, reason)
    return caller


def respond(start_response, status, body, content_type=JSON_TYPE, headers=()):
    """Starts a complete response; returns its body for WSGI."""
    reason_phrase = http.HTTPStatus(status).phrase
    start_response(
        f"{status} {reason_phrase}",
        [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def reply(start_response, value, status=200, headers=()):
    """Sends a value as JSON; returns the body for WSGI."""
    return respond(
        start_response, status, codec.to_json(value), JSON_TYPE, headers
    )


def fail(start_response, failure, work=""):
    """Sends a failure as a problem document; returns the body for WSGI."""
    status = errors.http_status(failure.kind)
    headers = []
    if failure.retry_after_s > 0:
        headers.append(("Retry-After", str(int(failure.retry_after_s) or 1)))
    body = codec.to_json(problem(failure, work))
    return respond(start_response, status, body, PROBLEM_TYPE, headers)


def problem(failure, work=""):
    """Returns the problem document of a failure."""
    return Problem(
        _TYPE_PREFIX + failure.kind.value,
        failure.kind.value.replace("-", " "),
        errors.http_status(failure.kind),
        failure.reason,
        failure.outcome.value,
        work,
    )


def timeout_s(req, default_ms):
    """Returns the timeout of the request (s), or a Failure.

    It is the value of the Timeout-Ms header, or else `default_ms`.
    """
    value = req.header("Timeout-Ms")
    if not value:
        return default_ms / 1000
    if not value.isdigit() or int(value) == 0:
        reason = "Timeout-Ms must be a whole number of milliseconds"
        return errors.Failure(errors.Kind.BAD_REQUEST, reason)
    return int(value) / 1000


def run_handler(handler, req, start_response):
    """Answers a request; turns an uncaught exception into a problem.

    The exception is logged and not shown to the caller.
    """
    try:
        return handler(req, start_response)
    except Exception as exc:
        eliot.log_message(
            message_type="request:error", path=req.path, error=repr(exc)
        )
        failure = errors.Failure(
            errors.Kind.INTERNAL,
            "the daemon failed; report it with its log",
            errors.Outcome.UNKNOWN,
        )
        return fail(start_response, failure)


def not_found(path):
    """Returns the failure of a request for an unknown path."""
    return errors.Failure(errors.Kind.NOT_FOUND, f"there is no {path}")
