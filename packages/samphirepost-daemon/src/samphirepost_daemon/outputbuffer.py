"""Bytes that wait until a caller reads them."""

import collections

# Small pieces are joined up to this size, so that each piece's own overhead
# stays small against its bytes.
PIECE_BYTES = 8_192


class OutputBuffer:
    """A queue of bytes with the interface of waitress' buffers.

    Unlike those, it frees what was sent: they keep it until all was sent.
    """

    __slots__ = ("_offset", "_pieces", "_size")

    def __init__(self):
        self._pieces = collections.deque()
        self._offset = 0
        self._size = 0

    def __len__(self):
        return self._size

    def append(self, data):
        """Adds bytes at the end."""
        pieces = self._pieces
        if pieces and len(pieces[-1]) + len(data) <= PIECE_BYTES:
            pieces[-1] += data
        else:
            pieces.append(data)
        self._size += len(data)

    def get(self, count):
        """Returns up to `count` bytes of the beginning, which stay."""
        if not self._pieces:
            return b""
        return self._pieces[0][self._offset : self._offset + count]

    def skip(self, count, _allow_prune=False):
        """Removes bytes that get() returned."""
        self._size -= count
        self._offset += count
        if self._offset == len(self._pieces[0]):
            self._pieces.popleft()
            self._offset = 0

    def close(self):
        """Drops all bytes."""
        self._pieces.clear()
        self._offset = 0
        self._size = 0
