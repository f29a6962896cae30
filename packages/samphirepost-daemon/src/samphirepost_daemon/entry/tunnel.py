"""The client's side of a request that a peer relays to an engine.

The peer gets a RelayOrder in an HTTP request and connects to the engine. Its
response has status 200 once it is about to send the order's data; the body is
then OPENED, followed by the engine's bytes as they arrive, and ends when the
engine closes the connection. Any other status means that nothing was sent.
"""

import http

import h11
import msgspec

from samphirepost import codec

PATH = "/engine"
CONTENT_TYPE = "application/msgpack"
OPENED = b"+"
# Status of a peer that reaches other engines and not this one; any other
# failure is the peer's own.
ENGINE_UNREACHED = http.HTTPStatus.BAD_GATEWAY


class RelayOrder(msgspec.Struct, frozen=True):
    """Asks a peer to send `data` to an engine and to return what it answers.

    The peer ends the run after `left_s`. `item` tells whether it is that of a
    batch item. An order without data only tests the connection.
    """

    engine: str
    left_s: float
    item: bool = False
    data: bytes = b""


class Refused(msgspec.Struct, frozen=True):
    """The peer sent nothing.

    `is_unreached` if it reaches other engines and not this one.
    """

    reason: str
    is_unreached: bool


class EngineData(msgspec.Struct, frozen=True):
    """Bytes of the engine; none once it has closed the connection."""

    data: bytes


class Broken(msgspec.Struct, frozen=True):
    """The peer ended the response before the engine's had ended."""

    reason: str


class Tunnel:
    """Frames one relayed request; has no connection of its own.

    `is_open` once the peer may have sent the request to the engine.
    """

    __slots__ = ("_conn", "_head", "_host", "is_open")

    def __init__(self, host):
        self._conn = h11.Connection(h11.CLIENT)
        self._host = host
        self._head = None
        self.is_open = False

    def encode(self, order):
        """Returns the bytes that ask the peer for a RelayOrder."""
        body = codec.pack(order)
        headers = [
            ("Host", self._host),
            ("Content-Type", CONTENT_TYPE),
            ("Content-Length", str(len(body))),
            ("Connection", "close"),
        ]
        return (
            self._conn.send(
                h11.Request(method="POST", target=PATH, headers=headers)
            )
            + self._conn.send(h11.Data(data=body))
            + self._conn.send(h11.EndOfMessage())
        )

    def feed(self, data):
        """Returns what the peer's bytes tell, in order; b"" is the end."""
        found = []
        try:
            self._conn.receive_data(data)
            while True:
                event = self._conn.next_event()
                if event is h11.NEED_DATA or event is h11.PAUSED:
                    return found
                if isinstance(event, h11.ConnectionClosed):
                    return found
                found += self._apply(event)
        except h11.RemoteProtocolError as exc:
            return [*found, Broken(f"answer: {exc}")]

    def _apply(self, event):
        if isinstance(event, h11.Response):
            self._head = event
            if event.status_code == http.HTTPStatus.OK:
                return []
            return [
                Refused(
                    f"status {event.status_code}",
                    event.status_code == ENGINE_UNREACHED,
                )
            ]
        if self._head.status_code != http.HTTPStatus.OK:
            return []
        if isinstance(event, h11.Data):
            return self._apply_data(bytes(event.data))
        if isinstance(event, h11.EndOfMessage) and self.is_open:
            return [EngineData(b"")]
        return [Broken("the answer is empty")]

    def _apply_data(self, data):
        if self.is_open:
            return [EngineData(data)]
        self.is_open = True
        rest = data[len(OPENED) :]
        return [EngineData(rest)] if rest else []
