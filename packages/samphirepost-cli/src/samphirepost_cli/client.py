"""The HTTP client for daemons; failures are returned, not raised."""

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors

CONNECT_TIMEOUT_S = 3.0
READ_TIMEOUT_S = 600.0


class Problem(msgspec.Struct):
    """The fields of a problem document (RFC 9457) that are shown."""

    type: str = ""
    detail: str = ""
    outcome: str = "unknown"
    id: str = ""


class Client:
    """Sends requests with the caller's token; does not retry."""

    def __init__(self, token, read_timeout_s=READ_TIMEOUT_S):
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(
                connect=CONNECT_TIMEOUT_S, read=read_timeout_s
            ),
        )
        self._headers = {}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"

    def send(self, method, url, body=None, headers=None, preload=True):
        """Returns the response, or a Failure if the status is 400 or above.

        The outcome of a Failure is the one that the response states. Without
        a response it is NOT_RUN if no connection could be made, UNKNOWN if
        the connection broke or timed out. Without `preload` the body is
        not read; the caller reads it as a stream.
        """
        merged_headers = {"Content-Type": "application/json", **self._headers}
        merged_headers.update(headers or {})
        try:
            reply = self._pool.request(
                method,
                url,
                body=body,
                headers=merged_headers,
                preload_content=preload,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            reason = f"{url} cannot be reached; is the daemon running?"
            return errors.Failure(errors.Kind.PEER_UNREACHABLE, reason)
        except urllib3.exceptions.HTTPError as exc:
            reason = (
                f"{url}: {type(exc).__name__}; repeat the request with its key"
            )
            return errors.Failure(
                errors.Kind.PEER_UNREACHABLE, reason, errors.Outcome.UNKNOWN
            )
        return reply if reply.status < 400 else _failure_of(reply.data)


def _failure_of(body):
    """Returns the Failure that a problem document describes.

    If the body is not a problem document, its first 200 characters are the
    reason and the outcome is UNKNOWN.
    """
    found = codec.from_json(body, Problem)
    if isinstance(found, errors.Failure):
        reason = body.decode("utf-8", "replace")[:200].strip()
        return errors.Failure(
            errors.Kind.BAD_REQUEST, reason, errors.Outcome.UNKNOWN
        )
    kind = errors.Kind(found.type.rsplit(":", 1)[-1])
    return errors.Failure(kind, found.detail, errors.Outcome(found.outcome))
