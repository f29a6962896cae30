"""HTTP requests whose response is bounded in time and bytes.

A server in trouble may send bytes without end, in the head or the body of a
response; a timeout of the socket ends only a connection that is idle.
"""

import contextlib
import http.client
import itertools
import socket
import struct
import time

import urllib3

# Largest body of a response; a page of the store has at most 1 MB, an object
# 8 MB.
BODY_BYTES_MAX = 16_777_216
READ_BYTES = 65_536
# Longest transfer of a response after its first byte is due (s).
TRANSFER_MAX_S = 3.0
RESET_ON_CLOSE = struct.pack("ii", 1, 0)
FAILURES = (
    OSError,
    ValueError,
    http.client.HTTPException,
    urllib3.exceptions.HTTPError,
)


class BodyTooLongError(ValueError):
    """The body of a response exceeds BODY_BYTES_MAX."""


class NoMemoryError(ValueError):
    """No memory is free for the body of a response."""


class Watchdog:
    """Ends connections whose response has not arrived by its deadline."""

    def __init__(self, log):
        self._log = log
        self._ids = itertools.count()
        self._guarded = {}

    @contextlib.contextmanager
    def guard(self, sock, deadline_s):
        """Guards a socket while a response is read from it.

        Raises TimeoutError at the end if the connection was ended meanwhile:
        a response without a length would seem complete.
        """
        key = next(self._ids)
        self._guarded[key] = (sock, deadline_s)
        try:
            yield
        finally:
            is_open = self._guarded.pop(key, None) is not None
        if not is_open:
            raise TimeoutError("the response took too long")

    def check(self, now_s):
        """Ends the overdue connections; called at regular intervals."""
        for key, (sock, deadline_s) in list(self._guarded.items()):
            if now_s < deadline_s or self._guarded.pop(key, None) is None:
                continue
            self._log.failure("connection.overdue", where=_peer_name(sock))
            # The thread that reads from it gets an error and closes it, upon
            # which the server gets a reset: it may wait to send more.
            with contextlib.suppress(OSError):
                sock.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE
                )
                sock.shutdown(socket.SHUT_RDWR)


def request(conn, watchdog, method, path, body, headers, account=None):
    """Sends a request on a connected urllib3 HTTPConnection.

    Returns the status and the body. Raises one of FAILURES. `account` is a
    memorybudget.Account, from which the body's bytes are taken unless it is
    None; the caller closes it.
    """
    deadline_s = time.monotonic() + conn.timeout + TRANSFER_MAX_S
    with watchdog.guard(conn.sock, deadline_s):
        conn.request(
            method, path, body=body, headers=headers, preload_content=False
        )
        resp = conn.getresponse()
        return resp.status, _read_body(resp, account)


def _read_body(resp, account):
    chunks = []
    size = 0
    while True:
        chunk = resp.read(READ_BYTES)
        if not chunk:
            return b"".join(chunks)
        size += len(chunk)
        if size > BODY_BYTES_MAX:
            raise BodyTooLongError(f"a body of over {BODY_BYTES_MAX} bytes")
        if account is not None and not account.take(len(chunk)):
            raise NoMemoryError(f"no memory is free after {size} bytes")
        chunks.append(chunk)


def _peer_name(sock):
    try:
        return "{}:{}".format(*sock.getpeername())
    except OSError:
        return "closed"
