"""HTTP client for one request to one engine.

Each request has a connection of its own, so a response cannot be attributed
to another request.
"""

import http
import select
import socket
import time

import h11
import msgspec

from samphirepost import answerbounds
from samphirepost_daemon.entry import answermemory
from samphirepost_daemon.entry import tunnel

RECEIVE_BYTES_MAX = 16_384
SEND_TIMEOUT_S = 2.0
RESPONSE_BYTES_MAX = answerbounds.ANSWER_BYTES_MAX
# Number of informational responses before a response.
INFORMATIONAL_MAX = 8
# Statuses above it are none of HTTP.
STATUS_MAX = 599
BODILESS_STATUSES = (
    http.HTTPStatus.NO_CONTENT,
    http.HTTPStatus.NOT_MODIFIED,
)
LENGTH_DIGITS_MAX = 18


class ResponseHead(msgspec.Struct, frozen=True):
    """Status and headers of a response; names are in lower case."""

    status: int
    headers: dict[str, tuple[str, ...]]

    def get(self, name):
        """Returns a header's last value, or None."""
        values = self.headers.get(name)
        return values[-1] if values else None

    @property
    def length(self):
        """The body's length that it names, or 0."""
        text = self.get("content-length") or ""
        if not (text.isascii() and text.isdigit()):
            return 0
        return int(text[:LENGTH_DIGITS_MAX])

    @property
    def is_unframed(self):
        """Whether the body has no length and ends with the connection."""
        return not (
            self.get("content-length") or self.get("transfer-encoding")
        )

    def all(self, name):
        """Returns all values of a header."""
        return self.headers.get(name, ())


class BodyData(msgspec.Struct, frozen=True):
    """Bytes of a response's body."""

    data: bytes


class EndOfResponse(msgspec.Struct, frozen=True):
    """The response is complete, as far as its framing tells.

    With `unframed`, it had no length, and ended with the connection: it may
    have been broken off.
    """

    unframed: bool = False


class CallFailure(msgspec.Struct, frozen=True):
    """The request failed: no response, a truncated or an invalid one.

    `sent` is False if the engine cannot have run the request. `lost` if the
    connection ended, as it does when an engine crashes. `unreached` if no
    connection to the engine could be opened. `at_peer` if the peer that was to
    relay the request failed, which tells nothing of the engine. `excess` if
    the answer exceeds its bound, or the memory that is free.
    """

    reason: str
    sent: bool = True
    lost: bool = False
    unreached: bool = False
    at_peer: bool = False
    excess: answermemory.Excess | None = None

    @property
    def is_without_memory(self):
        """Whether this process had no memory free for the answer."""
        return self.excess is answermemory.Excess.MEMORY


TOO_LONG = CallFailure(
    "the answer exceeds its bound", excess=answermemory.Excess.BOUND
)
NO_MEMORY = CallFailure(
    "no memory is free for the answer", excess=answermemory.Excess.MEMORY
)


def excess_failure(excess):
    """Returns the CallFailure of an Excess, or None without one."""
    if excess is None:
        return None
    if excess is answermemory.Excess.BOUND:
        return TOO_LONG
    return NO_MEMORY


ABORTED = CallFailure("aborted", sent=False)


def dial(address, timeout_s):
    """Returns a socket connected to `address` (IP:PORT); raises OSError."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout=timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


class Call:
    """One request, sent to an engine or through a peer that relays it.

    connect() and send(), or connect_peer() and send_relayed(), then read()
    until the response ends. `memory` is the AnswerMemory of the response.
    Used by one thread, except that any thread may call abort().
    """

    __slots__ = (
        "_conn",
        "_failures",
        "_informational",
        "_is_aborted",
        "_is_ended",
        "_is_unframed",
        "_method",
        "_sock",
        "_tunnel",
        "memory",
    )

    def __init__(self, memory=None):
        self.memory = memory or answermemory.AnswerMemory()
        self._informational = 0
        self._is_aborted = False
        self._is_ended = False
        self._is_unframed = False
        self._method = ""
        self._sock = None
        self._tunnel = None
        self._conn = h11.Connection(h11.CLIENT)
        self._failures = []

    @property
    def is_relayed(self):
        """Whether the request goes through a peer."""
        return self._tunnel is not None

    def connect(self, dialer, engine):
        """Connects to an engine; returns None, or CallFailure.

        `dialer(engine)` returns a connected socket or raises OSError.
        """
        if self._is_aborted:
            return ABORTED
        try:
            self._sock = dialer(engine)
        except OSError as exc:
            return CallFailure(f"connect: {exc}", sent=False, unreached=True)
        return None

    def connect_peer(self, address, timeout_s):
        """Connects to the peer that is to relay the request.

        Returns None, or CallFailure.
        """
        self._tunnel = tunnel.Tunnel(address)
        if self._is_aborted:
            return ABORTED
        try:
            self._sock = dial(address, timeout_s)
        except OSError as exc:
            return CallFailure(f"peer: {exc}", sent=False, at_peer=True)
        return None

    def send(self, method, path, headers, body):
        """Sends the whole request; returns None, or CallFailure."""
        data = self._encode(method, path, headers, body)
        if isinstance(data, CallFailure):
            return data
        return self._send_bytes(data)

    def send_relayed(self, order, timeout_s, request=None):
        """Has the peer send the request of an order to the order's engine.

        `request` is the method, path, headers and body; without it, the order
        only tests the peer's path. Returns None once the peer has sent it,
        or CallFailure.
        """
        if request is not None:
            data = self._encode(*request)
            if isinstance(data, CallFailure):
                return data
            order = msgspec.structs.replace(order, data=data)
        failure = self._send_bytes(self._tunnel.encode(order))
        deadline_s = time.monotonic() + timeout_s
        while failure is None and not self._tunnel.is_open:
            left_s = deadline_s - time.monotonic()
            if left_s <= 0 or not self._receive(left_s):
                failure = CallFailure("the peer is silent", at_peer=True)
            elif self._failures:
                failure = self._failures.pop()
        if failure is not None:
            # Nothing of the engine was heard so far.
            return msgspec.structs.replace(
                failure, lost=False, at_peer=not failure.unreached
            )
        return None

    def _encode(self, method, path, headers, body):
        """Returns the request's bytes, or CallFailure."""
        self._method = method
        try:
            data = self._conn.send(
                h11.Request(method=method, target=path, headers=headers)
            )
            if body:
                data += self._conn.send(h11.Data(data=body))
            data += self._conn.send(h11.EndOfMessage())
        except h11.LocalProtocolError as exc:
            return CallFailure(f"request: {exc}", sent=False)
        return data

    def _send_bytes(self, data):
        if self._is_aborted:
            return ABORTED
        try:
            self._sock.settimeout(SEND_TIMEOUT_S)
            self._sock.sendall(data)
            self._sock.setblocking(False)
        except OSError as exc:
            return CallFailure(f"send: {exc}", lost=True)
        return None

    def read(self, wait_s):
        """Returns the next part of the response, or None after `wait_s`.

        The parts are ResponseHead, BodyData, EndOfResponse; CallFailure ends
        a response that is not complete.
        """
        deadline_s = time.monotonic() + wait_s
        while True:
            part = self._next_event()
            if part is not None:
                return part
            left_s = deadline_s - time.monotonic()
            if left_s <= 0:
                return None
            if not self._receive(left_s):
                return None
            if self._failures:
                return self._failures.pop()

    def _next_event(self):
        try:
            event = self._conn.next_event()
        except h11.RemoteProtocolError as exc:
            return CallFailure(f"answer: {exc}", lost=self._is_ended)
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return None
        if isinstance(event, h11.InformationalResponse):
            self._informational += 1
            if self._informational > INFORMATIONAL_MAX:
                return CallFailure("too many informational responses")
            return self._next_event()
        if isinstance(event, h11.Response):
            if event.status_code > STATUS_MAX:
                return CallFailure(f"status {event.status_code}")
            head = _response_head(event)
            self._is_unframed = head.is_unframed and self._has_body(head)
            return self._check_length(head) or head
        if isinstance(event, h11.Data):
            return BodyData(bytes(event.data))
        if isinstance(event, h11.EndOfMessage):
            return EndOfResponse(self._is_unframed)
        return CallFailure("the engine closed the connection", lost=True)

    def _has_body(self, head):
        """Whether a body follows a head, which may name a length anyway."""
        return self._method != "HEAD" and head.status not in BODILESS_STATUSES

    def _check_length(self, head):
        """Returns the CallFailure of a body that is too long, or None."""
        if not self._has_body(head):
            return None
        return excess_failure(self.memory.announce(head.length))

    def _receive(self, left_s):
        """Feeds received bytes to the parser; returns False on timeout."""
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        if not poller.poll(max(1, int(left_s * 1000))):
            return False
        try:
            data = self._sock.recv(RECEIVE_BYTES_MAX)
        except BlockingIOError:
            return True
        except OSError as exc:
            self._failures.append(
                CallFailure(
                    f"receive: {exc}",
                    lost=not self.is_relayed,
                    at_peer=self.is_relayed,
                )
            )
            return True
        if not data and self._is_aborted:
            # This side ended the connection, not the engine.
            self._failures.append(CallFailure("aborted"))
            return True
        failure = excess_failure(self.memory.receive(len(data)))
        if failure is not None:
            self._failures.append(failure)
        elif self._tunnel is None:
            self._feed(data)
        else:
            self._feed_relayed(data)
        return True

    def _feed(self, data):
        """Feeds bytes of the engine; none once it closed the connection."""
        self._is_ended = not data
        try:
            self._conn.receive_data(data)
        except h11.RemoteProtocolError as exc:
            self._failures.append(
                CallFailure(f"answer: {exc}", lost=self._is_ended)
            )

    def _feed_relayed(self, data):
        for part in self._tunnel.feed(data):
            if isinstance(part, tunnel.EngineData):
                self._feed(part.data)
            elif isinstance(part, tunnel.Refused):
                self._failures.append(
                    CallFailure(
                        f"peer: {part.reason}",
                        sent=False,
                        unreached=part.is_unreached,
                        at_peer=not part.is_unreached,
                    )
                )
            elif isinstance(part, tunnel.Broken):
                reason = f"peer: {part.reason}"
                self._failures.append(CallFailure(reason, at_peer=True))

    def abort(self):
        """Ends the connection, upon which the engine drops the request.

        A thread that waits in read() then gets a CallFailure, also for a
        response without a length, which the end of the connection completes.
        """
        self._is_aborted = True
        sock = self._sock
        if sock is None:
            return
        try:
            sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            # The connection has ended by itself.
            return

    def close(self):
        """Closes the connection, upon which the engine drops the request.

        What the response keeps is given back, unless it was handed over.
        """
        self.memory.close()
        if self._sock is not None:
            self._sock.close()


def _response_head(event):
    headers = {}
    for name, value in event.headers:
        key = name.decode("latin-1").lower()
        headers[key] = (*headers.get(key, ()), value.decode("latin-1"))
    return ResponseHead(event.status_code, headers)
