"""HTTP client for targets: engines and plain services.

The outcome of a failure tells whether the request may have run: NOT_RUN if no
connection was established or the target answered that it did not run the
request, UNKNOWN otherwise. A connection that timed out is closed and not used
again.
"""

import http.client

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors
from samphirepost import stream
from samphirepost import targetmessages

CONNECT_TIMEOUT_S = 0.5
REPORT_TIMEOUT_S = 0.4
ORDER_TIMEOUT_S = 30.0
CONNECTIONS_PER_TARGET = 600
POOLS_MAX = 64
NOT_RUN_HEADER = "Not-Run"


class ServiceResponse(msgspec.Struct, frozen=True):
    """A plain service's complete answer."""

    status: int
    content_type: str
    body: bytes


class CompletionStream:
    """One open completion stream.

    `abort` may be called by any thread, the rest only by the reader's.
    """

    __slots__ = ("_body_chunks", "_buffer", "_reply")

    def __init__(self, reply):
        self._reply = reply
        self._body_chunks = _body_chunks(reply)
        self._buffer = b""

    def events(self):
        """Yields lists of events' data as they arrive.

        A Failure, if any, is the last value.
        """
        while True:
            try:
                data = next(self._body_chunks, b"")
            except urllib3.exceptions.ReadTimeoutError:
                yield _unknown_failure(
                    errors.Kind.STREAM_SILENT, "it went silent"
                )
                return
            except (
                urllib3.exceptions.HTTPError,
                http.client.HTTPException,
                OSError,
                ValueError,
                AttributeError,
            ) as exc:
                yield _broken_connection(exc)
                return
            if not data:
                return
            events, self._buffer = stream.split_events(self._buffer + data)
            if events:
                yield events

    def abort(self):
        """Shuts down the connection, which cancels the completion."""
        try:
            self._reply.shutdown()
        except (ValueError, RuntimeError, OSError):
            return

    def close(self, is_complete):
        """Returns the connection to the pool if the body was read to its end.

        Otherwise closes it.
        """
        if not is_complete or not self._read_to_end():
            self._reply.close()

    def _read_to_end(self):
        """Reads the end of the body, so that the connection can be reused."""
        try:
            return next(self._body_chunks, None) is None
        except (urllib3.exceptions.HTTPError, OSError):
            return False


def _body_chunks(reply):
    """Returns an iterator over the chunks of the body as they arrive."""
    if reply.chunked:
        return reply.read_chunked(decode_content=False)
    return iter(reply.read1, b"")


class Client:
    """Sends requests to targets over connections of its own.

    `read_timeout_ms` bounds the wait for the next bytes of a stream.
    """

    def __init__(self, read_timeout_ms):
        self._read_timeout_s = read_timeout_ms / 1000
        self._pool = urllib3.PoolManager(
            num_pools=POOLS_MAX, maxsize=CONNECTIONS_PER_TARGET, retries=False
        )

    def open_stream(self, destination, path, completion, wait_s):
        """Starts a completion; returns its open stream, or a Failure.

        The wait for the first byte and for each next one is bounded by
        `wait_s` and by the client's read timeout, whichever is shorter.
        """
        reply = self._send(
            "POST",
            destination.url + path,
            codec.to_json(completion),
            {"Content-Type": "application/json"},
            min(wait_s, self._read_timeout_s),
            preload=False,
        )
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status != 200:
            return _error_failure(reply)
        return CompletionStream(reply)

    def call_service(self, destination, path, body, headers, wait_s):
        """Calls a plain service; returns its complete answer, or a Failure."""
        reply = self._send(
            "POST", destination.url + path, body, headers, wait_s
        )
        if isinstance(reply, errors.Failure):
            return reply
        if reply.headers.get(NOT_RUN_HEADER):
            return _error_failure(reply)
        if reply.status >= 500:
            return _unknown_failure(
                errors.Kind.TARGET_FAILED, f"it answered {reply.status}"
            )
        content_type = reply.headers.get(
            "Content-Type", "application/octet-stream"
        )
        return ServiceResponse(reply.status, content_type, reply.data)

    def request_load_report(self, destination):
        """Requests an engine's load report; returns it, or a Failure."""
        reply = self._send(
            "GET", destination.url + "/load", None, {}, REPORT_TIMEOUT_S
        )
        if isinstance(reply, errors.Failure):
            return reply
        return codec.from_json(reply.data, targetmessages.LoadReport)

    def send_order(self, destination, order):
        """Orders an engine to load a model; returns None or a Failure."""
        reply = self._send(
            "POST",
            destination.url + "/orders",
            codec.to_json(order),
            {"Content-Type": "application/json"},
            ORDER_TIMEOUT_S,
        )
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status == 409:
            return errors.Failure(
                errors.Kind.STALE_EPOCH, "the engine has a newer order"
            )
        return None

    def _send(self, method, url, body, headers, wait_s, preload=True):
        timeout = urllib3.Timeout(
            connect=min(CONNECT_TIMEOUT_S, wait_s), read=max(0.001, wait_s)
        )
        try:
            return self._pool.request(
                method,
                url,
                body=body,
                headers=headers,
                timeout=timeout,
                preload_content=preload,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ):
            return errors.Failure(
                errors.Kind.TARGET_UNREACHABLE, "it cannot be reached"
            )
        except urllib3.exceptions.ReadTimeoutError:
            return _unknown_failure(
                errors.Kind.STREAM_SILENT, "it does not answer"
            )
        except urllib3.exceptions.HTTPError as exc:
            return _broken_connection(exc)


def _error_failure(reply):
    """Returns the Failure for a reply with an error status."""
    body = reply.data if reply.data else b""
    reason = body.decode("utf-8", "replace")[:200]
    if reply.status in (400, 413, 422):
        return errors.Failure(errors.Kind.REFUSED_BY_TARGET, reason)
    if reply.headers.get(NOT_RUN_HEADER):
        return errors.Failure(errors.Kind.LEAVING, "it takes no new work")
    return _unknown_failure(
        errors.Kind.TARGET_FAILED, f"it answered {reply.status}"
    )


def _unknown_failure(kind, reason):
    return errors.Failure(kind, reason, errors.Outcome.UNKNOWN)


def _broken_connection(exc):
    reason = f"the connection broke: {type(exc).__name__}"
    return _unknown_failure(errors.Kind.STREAM_BROKEN, reason)
