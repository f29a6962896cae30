"""Parser of one request that takes memory before it keeps bytes."""

from waitress import parser
from waitress import utilities

# Copies of a head while its request is in progress: received, decoded, in the
# WSGI environment and in the request to the engine.
HEAD_COPIES = 4
# Size of the objects for one header field in all these copies.
FIELD_BYTES = 800
# A line that tells the size of a chunk, and the fields after the last chunk.
CHUNK_LINE_BYTES_MAX = 1_024
TRAILER_BYTES_MAX = 16_384


class BoundedParser(parser.HTTPRequestParser):
    """Parses one request; `refusal` is set if there is no memory for it.

    `take(account, count)` takes bytes for an account; it returns None, or the
    callerguard.Refusal if it cannot.
    """

    refusal = None

    def __init__(self, adj, guard, account, take):
        super().__init__(adj)
        self._guard = guard
        self._account = account
        self._take_bytes = take
        self._body_held = 0

    @property
    def held_bytes(self):
        """The bytes that the request keeps."""
        return self._account.held

    def received(self, data):
        """Parses bytes; returns how many of them belong to the request."""
        if self.body_rcv is None:
            return self._receive_head(data)
        consumed = super().received(data)
        if self.chunked and self.error is None:
            self._count_chunks()
        return consumed

    def _receive_head(self, data):
        if not self._take(len(data)):
            return len(data)
        consumed = super().received(data)
        if self.headers_finished and self.error is None and not self.empty:
            self.header_plus = b""
            self._count_request()
        return consumed

    def _count_request(self):
        """Takes the bytes of the whole request, except those of chunks."""
        head_bytes = (
            HEAD_COPIES * self.header_bytes_received
            + FIELD_BYTES * len(self.headers)
        )
        body_bytes = self._guard.limits.body_copies * self.content_length
        self._take(head_bytes + body_bytes)

    def _count_chunks(self):
        receiver = self.body_rcv
        held = (
            self._guard.limits.body_copies * len(receiver)
            + len(receiver.control_line)
            + len(receiver.trailer)
        )
        if held < self._body_held:
            self._account.give_back(self._body_held - held)
        else:
            self._take(held - self._body_held)
        self._body_held = held
        if len(receiver.control_line) > CHUNK_LINE_BYTES_MAX:
            self._fail("the line of a chunk's size is too long")
        elif len(receiver.trailer) > TRAILER_BYTES_MAX:
            self._fail("the fields after the last chunk are too long")

    def _fail(self, reason):
        self.error = utilities.BadRequest(reason)
        self.completed = True

    def _take(self, count):
        """Takes bytes; otherwise sets `refusal` and returns False."""
        self.refusal = self._take_bytes(self._account, count)
        self.completed = self.completed or self.refusal is not None
        return self.refusal is None

    def get_body_stream(self):
        """Returns the body as a file whose read() makes no copy.

        BytesIO.read() shares its buffer only if that has no spare bytes, as
        after getvalue().
        """
        stream = super().get_body_stream()
        if hasattr(stream, "getvalue"):
            stream.getvalue()
        return stream

    def close(self):
        """Drops the body and gives the bytes back."""
        super().close()
        self._account.close()
