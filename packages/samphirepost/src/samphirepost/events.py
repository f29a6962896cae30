"""Splits a server-sent event stream into whole events."""

import msgspec

END = b"\n\n"


class Event(msgspec.Struct, frozen=True):
    """One event: its bytes as received, its id and its data."""

    raw: bytes
    id: int | None
    data: bytes


class Parser:
    """Takes bytes as they come and gives whole events only."""

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    @property
    def rest(self):
        """The bytes of an event that has not ended."""
        return self._buffer

    def feed(self, data):
        """Returns the events that these bytes complete."""
        parts = (self._buffer + data).split(END)
        self._buffer = parts.pop()
        return [_event(part) for part in parts]


def _event(part):
    name = None
    data = []
    for line in part.split(b"\n"):
        field, _, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if field == b"id" and value.isdigit():
            name = int(value)
        elif field == b"data":
            data.append(value)
    return Event(part + END, name, b"\n".join(data))
