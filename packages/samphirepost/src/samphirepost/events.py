"""Parses a server-sent event stream into complete events."""

import msgspec

EVENT_END = b"\n\n"
# An event has a few tokens; a longer one is not a sound stream's.
EVENT_BYTES_MAX = 1_048_576
# Ids of the first event of an output: engines count from 1, some from 0.
FIRST_IDS = (0, 1)
# Fields that may come without a colon, for an empty value.
FIELDS = (b"id", b"data", b"event", b"retry")
ID_DIGITS_MAX = 18


class Event(msgspec.Struct, frozen=True):
    """One event: its bytes as received, its id and its data lines.

    The id is None if it has none, or if a line is no field of an event.
    """

    raw: bytes
    id: int | None
    data: bytes


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

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = b""

    @property
    def incomplete(self):
        """The bytes of an event that is not complete yet."""
        return self._buffer

    @property
    def is_overlong(self):
        """Whether the incomplete event exceeds EVENT_BYTES_MAX."""
        return len(self._buffer) > EVENT_BYTES_MAX

    def feed(self, data):
        """Returns the events that these bytes complete."""
        blocks = (self._buffer + data).split(EVENT_END)
        self._buffer = blocks.pop()
        return [_parse_event(block) for block in blocks]


def _parse_event(block):
    event_id = None
    data = []
    for line in block.split(b"\n"):
        field, colon, value = line.partition(b":")
        value = value.removeprefix(b" ")
        if line and not colon and field not in FIELDS:
            # The status line of another answer, for one.
            return Event(block + EVENT_END, None, b"")
        if field == b"id" and _is_number(value):
            event_id = int(value)
        elif field == b"data":
            data.append(value)
    return Event(block + EVENT_END, event_id, b"\n".join(data))


def _is_number(value):
    return value.isdigit() and len(value) <= ID_DIGITS_MAX
