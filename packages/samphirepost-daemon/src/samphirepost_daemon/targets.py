"""HTTP towards engines and plain services.

Whether anything can have run is kept apart: a refused connection is NOT_RUN,
everything after the request left is UNKNOWN. A connection that timed out is
closed and never used again.
"""

import http.client

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors
from samphirepost import stream
from samphirepost import targetmessages

CONNECT_S = 0.5
REPORT_S = 0.4
ORDER_S = 30.0
CONNECTIONS_PER_TARGET = 600
POOLS = 64
NOT_RUN_HEADER = "Not-Run"


class Answer(msgspec.Struct, frozen=True):
    """A target's whole answer."""

    status: int
    content_type: str
    body: bytes


class Stream:
    """One open completion stream; `abort` may be called by any thread."""

    __slots__ = ("_buffer", "_chunks", "_reply")

    def __init__(self, reply):
        self._reply = reply
        self._chunks = _chunks(reply)
        self._buffer = b""

    def events(self):
        """Yields lists of events' data as they arrive, or one Failure."""
        while True:
            try:
                data = next(self._chunks, b"")
            except urllib3.exceptions.ReadTimeoutError:
                yield _failure(errors.Kind.STREAM_SILENT, "it went silent")
                return
            except (
                urllib3.exceptions.HTTPError,
                http.client.HTTPException,
                OSError,
                ValueError,
                AttributeError,
            ) as exc:
                yield _broken(exc)
                return
            if not data:
                return
            found, self._buffer = stream.split_events(self._buffer + data)
            if found:
                yield found

    def abort(self):
        """Ends the stream from another thread; the engine drops it."""
        try:
            self._reply.shutdown()
        except (ValueError, RuntimeError, OSError):
            return

    def close(self, whole):
        """Gives the connection back if the stream was read to its end."""
        if not whole or not self._is_read_out():
            self._reply.close()

    def _is_read_out(self):
        """Reads the end of the body, so that the connection is free."""
        try:
            return next(self._chunks, None) is None
        except (urllib3.exceptions.HTTPError, OSError):
            return False


def _chunks(reply):
    """Returns an iterator over the body's parts as they arrive."""
    if reply.chunked:
        return reply.read_chunked(decode_content=False)
    return iter(reply.read1, b"")


class Client:
    """Sends requests to targets; one for each kind of work."""

    def __init__(self, silence_ms):
        self._silence_s = silence_ms / 1000
        self._pool = urllib3.PoolManager(
            num_pools=POOLS, maxsize=CONNECTIONS_PER_TARGET, retries=False
        )

    def open(self, destination, path, completion, wait_s):
        """Returns an open Stream, or a Failure.

        `wait_s` bounds the wait for the first byte and for each next one.
        """
        reply = self._send(
            "POST",
            destination.url + path,
            codec.to_json(completion),
            {"Content-Type": "application/json"},
            min(wait_s, self._silence_s),
            preload=False,
        )
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status != 200:
            return _refused(reply)
        return Stream(reply)

    def call(self, destination, path, body, headers, wait_s):
        """Returns a plain service's whole Answer, or a Failure."""
        reply = self._send(
            "POST", destination.url + path, body, headers, wait_s
        )
        if isinstance(reply, errors.Failure):
            return reply
        if reply.headers.get(NOT_RUN_HEADER):
            return _refused(reply)
        if reply.status >= 500:
            return _failure(
                errors.Kind.TARGET_FAILED, f"it answered {reply.status}"
            )
        kind = reply.headers.get("Content-Type", "application/octet-stream")
        return Answer(reply.status, kind, reply.data)

    def report(self, destination):
        """Returns the engine's load report, or a Failure."""
        reply = self._send(
            "GET", destination.url + "/load", None, {}, REPORT_S
        )
        if isinstance(reply, errors.Failure):
            return reply
        return codec.from_json(reply.data, targetmessages.LoadReport)

    def order(self, destination, order):
        """Sends an engine an order; returns None or a Failure."""
        reply = self._send(
            "POST",
            destination.url + "/orders",
            codec.to_json(order),
            {"Content-Type": "application/json"},
            ORDER_S,
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
            connect=min(CONNECT_S, wait_s), read=max(0.001, wait_s)
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
            return _failure(errors.Kind.STREAM_SILENT, "it does not answer")
        except urllib3.exceptions.HTTPError as exc:
            return _broken(exc)


def _refused(reply):
    """Returns the failure that an error status stands for."""
    body = reply.data if reply.data else b""
    reason = body.decode("utf-8", "replace")[:200]
    if reply.status in (400, 413, 422):
        return errors.Failure(errors.Kind.REFUSED_BY_TARGET, reason)
    if reply.headers.get(NOT_RUN_HEADER):
        return errors.Failure(errors.Kind.LEAVING, "it takes no new work")
    return _failure(errors.Kind.TARGET_FAILED, f"it answered {reply.status}")


def _failure(kind, reason):
    return errors.Failure(kind, reason, errors.Outcome.UNKNOWN)


def _broken(exc):
    reason = f"the connection broke: {type(exc).__name__}"
    return _failure(errors.Kind.STREAM_BROKEN, reason)
