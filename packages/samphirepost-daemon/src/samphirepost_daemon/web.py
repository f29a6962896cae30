"""Requests and responses of the daemon's WSGI applications."""

import http

import eliot
import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import hashing

BEARER = "Bearer "
JSON = "application/json"
PROBLEM = "application/problem+json"
_FAILURE_TYPE = "urn:samphirepost:"


class Problem(msgspec.Struct, frozen=True):
    """An RFC 9457 problem document with what became of the work."""

    type: str
    title: str
    status: int
    detail: str
    outcome: str
    id: str = ""


class Request:
    """One HTTP request."""

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
        return self._environ.get("CONTENT_TYPE") or JSON

    @property
    def query(self):
        """The raw query string."""
        return self._environ.get("QUERY_STRING", "")

    def lines(self):
        """Returns the body as a file."""
        return self._environ["wsgi.input"]

    def length(self):
        """Returns the body's length in bytes."""
        return int(self._environ.get("CONTENT_LENGTH") or 0)

    def body(self, bytes_max):
        """Returns the whole body, or a Failure if it is too large."""
        if self.length() > bytes_max:
            return too_large(bytes_max)
        return self._environ["wsgi.input"].read()

    def token_sha256(self):
        """Returns the digest of the bearer token, or None."""
        value = self.header("Authorization")
        if not value.startswith(BEARER):
            return None
        return hashing.digest(value[len(BEARER) :].encode())


def too_large(bytes_max):
    """Returns the failure of a body over the limit."""
    reason = f"the body is larger than {bytes_max} bytes"
    return errors.Failure(errors.Kind.BODY_TOO_LARGE, reason)


def authenticate(req, active_tables):
    """Returns the caller's name, or a Failure."""
    token = req.token_sha256()
    if token is None:
        reason = "send 'Authorization: Bearer TOKEN'"
        return errors.Failure(errors.Kind.CALLER_MISSING, reason)
    caller = active_tables.callers.get(token)
    if caller is None:
        reason = "the token belongs to no caller of the routes table"
        return errors.Failure(errors.Kind.CALLER_UNKNOWN, reason)
    return caller


def respond(start_response, status, body, content_type=JSON, headers=()):
    """Sends a whole response."""
    phrase = http.HTTPStatus(status).phrase
    start_response(
        f"{status} {phrase}",
        [
            ("Content-Type", content_type),
            ("Content-Length", str(len(body))),
            *headers,
        ],
    )
    return [body]


def reply(start_response, value, status=200, headers=()):
    """Sends a typed value as JSON."""
    return respond(start_response, status, codec.to_json(value), JSON, headers)


def fail(start_response, failure, work=""):
    """Sends a failure as a problem document."""
    status = errors.http_status(failure.kind)
    headers = []
    if failure.retry_after_s > 0:
        headers.append(("Retry-After", str(int(failure.retry_after_s) or 1)))
    body = codec.to_json(problem(failure, work))
    return respond(start_response, status, body, PROBLEM, headers)


def problem(failure, work=""):
    """Returns the problem document of a failure."""
    return Problem(
        _FAILURE_TYPE + failure.kind.value,
        failure.kind.value.replace("-", " "),
        errors.http_status(failure.kind),
        failure.reason,
        failure.outcome.value,
        work,
    )


def timeout_s(req, default_ms):
    """Returns how long the caller waits, or a Failure."""
    value = req.header("Timeout-Ms")
    if not value:
        return default_ms / 1000
    if not value.isdigit() or int(value) == 0:
        reason = "Timeout-Ms must be a whole number of milliseconds"
        return errors.Failure(errors.Kind.BAD_REQUEST, reason)
    return int(value) / 1000


def guard(answer, req, start_response):
    """Answers a request; a fault of the program is a typed problem too."""
    try:
        return answer(req, start_response)
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
    """Returns the failure of a path that leads nowhere."""
    return errors.Failure(errors.Kind.NOT_FOUND, f"there is no {path}")
