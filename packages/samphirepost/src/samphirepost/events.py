"""Parses a server-sent event stream into complete events."""

import re

import msgspec

EVENT_END = b"\n\n"
# An event has a few tokens; a longer one is not a sound stream's.
EVENT_BYTES_MAX = 1_048_576
# Ids of the first event of an output: engines count from 1, some from 0.
FIRST_IDS = (0, 1)
ID_DIGITS_MAX = 18
# A field's name, empty for a comment. The lines of a head have none of them.
_FIELD_NAME = re.compile(rb"(?:[a-z][a-z0-9-]*)?")
# Fields that may stand without a colon.
_BARE_FIELDS = (b"", b"id", b"data", b"event", b"retry")


class Event(msgspec.Struct, frozen=True):
    """One event: its bytes as received, its id and its data lines."""

    raw: bytes
    id: int | None
    data: bytes

    @property
    def is_remark(self):
        """Whether it is none of the output, as a comment between events."""
        return self.id is None and not self.data


def may_be_first(event_id):
    """Whether an output may begin with the event of this id."""
    return event_id in FIRST_IDS


def follow(found, last_id):
    """Whether events follow the one with `last_id`, without a gap."""
    return all(
        event.id == event_id
        for event_id, event in enumerate(found, start=last_id + 1)
    )


class Parser:
    """Returns complete events from a stream read in arbitrary chunks."""

    __slots__ = ("_buffer", "is_malformed")

    def __init__(self):
        self._buffer = bytearray()
        self.is_malformed = False

    @property
    def incomplete(self):
        """The bytes of an event that is not complete yet."""
        return self._buffer

    @property
    def is_at_next_head(self):
        """Whether another answer's head begins after the last event."""
        return self._buffer.startswith(b"HTTP/1.")

    @property
    def is_unsound(self):
        """Whether bytes were no event, or one exceeds EVENT_BYTES_MAX."""
        return self.is_malformed or len(self._buffer) > EVENT_BYTES_MAX

    def feed(self, data):
        """Returns the events that these bytes complete.

        Sets `is_malformed` at the first block that is no event, such as one
        that was broken off before another answer; none follows it.
        """
        if self.is_malformed:
            return []
        # The first byte of an event's end may have come before.
        start = max(0, len(self._buffer) - 1)
        self._buffer += data
        if self._buffer.find(EVENT_END, start) < 0:
            return []
        *blocks, self._buffer = self._buffer.split(EVENT_END)
        found = []
        for block in blocks:
            event = _parse_event(bytes(block))
            if event is None:
                self.is_malformed = True
                self._buffer = block
                break
            found.append(event)
        return found


def _parse_event(block):
    """Returns the Event, or None if a line is none of an event's."""
    ids = []
    data = []
    for line in block.split(b"\n"):
        field, colon, value = line.partition(b":")
        if b"\r" in line or not _FIELD_NAME.fullmatch(field):
            return None
        if not colon and field not in _BARE_FIELDS:
            return None
        value = value.removeprefix(b" ")
        if field == b"id":
            ids.append(int(value) if _is_number(value) else None)
        elif field == b"data":
            data.append(value)
    if len(ids) > 1:
        return None
    event_id = ids[0] if ids else None
    return Event(block + EVENT_END, event_id, b"\n".join(data))


def _is_number(value):
    return value.isdigit() and len(value) <= ID_DIGITS_MAX
