"""How much one answer of an engine may have, by the tokens it was asked for.

An event of a stream carries one token or more, and some hundreds of bytes for
each. An answer over its bound is that of an engine that does not stop.
"""

import msgspec

# Largest answer to a request that does not name its tokens (bytes).
ANSWER_BYTES_MAX = 16_777_216
BYTES_PER_TOKEN = 2048
EVENTS_PER_TOKEN = 4
# Every answer may have this much: errors, comments and short outputs.
BYTES_FLOOR = 262_144
EVENTS_FLOOR = 256


class Bound(msgspec.Struct, frozen=True):
    """The most bytes and events of one answer."""

    bytes: int
    events: int


# The shortest event has more than one byte.
UNKNOWN = Bound(ANSWER_BYTES_MAX, ANSWER_BYTES_MAX)


def bound_of(output_tokens):
    """Returns the Bound of an answer of some tokens; 0 if unknown."""
    if not output_tokens:
        return UNKNOWN
    return Bound(
        min(ANSWER_BYTES_MAX, BYTES_FLOOR + BYTES_PER_TOKEN * output_tokens),
        min(ANSWER_BYTES_MAX, EVENTS_FLOOR + EVENTS_PER_TOKEN * output_tokens),
    )
