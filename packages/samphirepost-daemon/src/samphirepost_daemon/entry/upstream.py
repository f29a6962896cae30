"""One request to one engine, over a connection of its own.

No connection is used twice, so no answer can be taken for another's.
"""

import select
import socket
import time

import h11
import msgspec

RECEIVE_BYTES = 65536
SEND_TIMEOUT_S = 2.0


class Head(msgspec.Struct, frozen=True):
    """Status and headers of an answer; names are in lower case."""

    status: int
    headers: dict[str, tuple[str, ...]]

    def get(self, name):
        """Returns a header's last value, or None."""
        values = self.headers.get(name)
        return values[-1] if values else None

    def all(self, name):
        """Returns all values of a header."""
        return self.headers.get(name, ())


class Data(msgspec.Struct, frozen=True):
    """Bytes of an answer's body."""

    data: bytes


class Done(msgspec.Struct, frozen=True):
    """The answer is whole."""


class Broken(msgspec.Struct, frozen=True):
    """The answer ended early or is no answer; `sent` if it may have run."""

    reason: str
    sent: bool = True


class Call:
    """A request under way."""

    __slots__ = ("_conn", "_sock", "_waiting")

    def __init__(self):
        self._sock = None
        self._conn = h11.Connection(h11.CLIENT)
        self._waiting = []

    def open(self, address, timeout_s):
        """Connects; returns None, or Broken for a request that never left."""
        host, _, port = address.rpartition(":")
        try:
            self._sock = socket.create_connection(
                (host, int(port)), timeout=timeout_s
            )
            self._sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        except OSError as exc:
            return Broken(f"connect: {exc}", sent=False)
        return None

    def send(self, method, path, headers, body):
        """Sends the request; returns None, or Broken."""
        try:
            data = self._conn.send(
                h11.Request(method=method, target=path, headers=headers)
            )
            if body:
                data += self._conn.send(h11.Data(data=body))
            data += self._conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            return Broken(f"request: {exc}", sent=False)
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            self._sock.sendall(data)
            self._sock.setblocking(False)
        except OSError as exc:
            return Broken(f"send: {exc}")
        return None

    def read(self, wait_s):
        """Returns a Head, Data, Done or Broken; None if nothing came."""
        until_s = time.monotonic() + wait_s
        while True:
            found = self._next()
            if found is not None:
                return found
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                return None
            if not self._receive(left_s):
                return None
            if self._waiting:
                return self._waiting.pop()

    def _next(self):
        try:
            event = self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            return Broken(f"answer: {exc}")
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        if isinstance(event, h11.InformationalResponse):
            return self._next()
        if isinstance(event, h11.Response):
            return _head(event)
        if isinstance(event, h11.Data):
            return Data(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            return Done()
        return Broken("the engine closed the connection")

    def _receive(self, left_s):
        poll = select.poll()
        poll.register(self._sock, select.POLLIN)
        if not poll.poll(max(1, int(left_s * 1000))):
            return False
        try:
            data = self._sock.recv(RECEIVE_BYTES)
        except BlockingIOError:
            return True
        except OSError as exc:
            self._waiting.append(Broken(f"receive: {exc}"))
            return True
        try:
            self._conn.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._waiting.append(Broken(f"answer: {exc}"))
        return True

    def close(self):
        """Ends the connection; an engine drops what still runs on it."""
        if self._sock is not None:
            self._sock.close()


def _head(event):
    headers = {}
    for name, value in event.headers:
        text = name.decode("latin-1").lower()
        headers[text] = (*headers.get(text, ()), value.decode("latin-1"))
    return Head(event.status_code, headers)
