"""HTTP to a daemon; failures come back as values."""

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors

CONNECT_S = 3.0
READ_S = 600.0


class Problem(msgspec.Struct):
    """What of a problem document the command line shows."""

    type: str = ""
    detail: str = ""
    outcome: str = "unknown"
    id: str = ""


class Client:
    """Sends requests with the caller's token."""

    def __init__(self, token):
        self._pool = urllib3.PoolManager(
            retries=False,
            timeout=urllib3.Timeout(connect=CONNECT_S, read=READ_S),
        )
        self._headers = {}
        if token:
            self._headers["Authorization"] = f"Bearer {token}"

    def send(self, method, url, body=None, headers=None, preload=True):
        """Returns the response, or a Failure with its outcome."""
        sent = {"Content-Type": "application/json", **self._headers}
        sent.update(headers or {})
        try:
            reply = self._pool.request(
                method,
                url,
                body=body,
                headers=sent,
                preload_content=preload,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            reason = f"{url} cannot be reached; is the daemon running?"
            return errors.Failure(errors.Kind.PEER_UNREACHABLE, reason)
        except urllib3.exceptions.HTTPError as exc:
            reason = f"{url}: {type(exc).__name__}; send it again with its key"
            return errors.Failure(
                errors.Kind.PEER_UNREACHABLE, reason, errors.Outcome.UNKNOWN
            )
        return reply if reply.status < 400 else _failure(reply.data)


def _failure(body):
    """Returns the failure that a problem document tells of."""
    found = codec.from_json(body, Problem)
    if isinstance(found, errors.Failure):
        reason = body.decode("utf-8", "replace")[:200]
        return errors.Failure(
            errors.Kind.BAD_REQUEST, reason, errors.Outcome.UNKNOWN
        )
    kind = errors.Kind(found.type.rsplit(":", 1)[-1])
    return errors.Failure(kind, found.detail, errors.Outcome(found.outcome))
