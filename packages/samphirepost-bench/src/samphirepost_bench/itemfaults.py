"""Answers to items in place of their outputs, as plain data drawn by a seed.

They are failures, parts of failures, and bytes without end. Some items are
what engines stumble on: all of them answer the first requests with the same
fault.
"""

import enum
import random

import msgspec

# Shares of the items that engines stumble on, and of all other answers.
STUMBLING_SHARE = 0.25
FAULT_SHARE = 0.06
# Answers of all engines to an item that they stumble on.
STUMBLES = 5
FAILED = 500
UNPROCESSABLE = 422
STATUSES = (200, FAILED, FAILED, UNPROCESSABLE)
# Bytes that are written at a time where there is no end.
PIECE = b"x" * 16_384


class Ending(enum.Enum):
    """Where an answer ends.

    CUT_HEAD: inside a line of the head. SHORT_HEAD: the head lacks lines, and
    ends with an empty one. CUT_BODY: before the length that the head names.
    """

    WHOLE = "whole"
    CUT_HEAD = "cut-head"
    SHORT_HEAD = "short-head"
    CUT_BODY = "cut-body"
    ENDLESS_HEAD = "endless-head"
    ENDLESS_BODY = "endless-body"
    ENDLESS_CHUNKS = "endless-chunks"


ENDLESS = (Ending.ENDLESS_HEAD, Ending.ENDLESS_BODY, Ending.ENDLESS_CHUNKS)


class Fault(msgspec.Struct, frozen=True):
    """How one answer to an item is written."""

    status: int
    ending: Ending

    @property
    def is_verdict(self):
        """Whether it is an engine's own failure, which counts for its item."""
        return self.ending is Ending.WHOLE and self.status in (
            FAILED,
            UNPROCESSABLE,
        )


def draw_stumble(seed, item, count):
    """Returns the Fault of an engine's answer to an item, or None.

    `count` is the number of the answers to it so far, of all engines.
    """
    rng = random.Random(f"{seed} stumbles on {item}")
    if rng.random() >= STUMBLING_SHARE or count >= STUMBLES:
        return None
    return _draw_fault(rng)


def draw_endless_stumble(item, count):
    """Returns the endless Fault of an engine's answer to an item, or None.

    `count` is the number of this engine's answers to it so far: only the first
    one has no end.
    """
    rng = random.Random(f"endless for {item}")
    if rng.random() >= STUMBLING_SHARE or count:
        return None
    return Fault(rng.choice(STATUSES), rng.choice(ENDLESS))


def draw(rng):
    """Returns the Fault of an answer to any item, or None."""
    return _draw_fault(rng) if rng.random() < FAULT_SHARE else None


def _draw_fault(rng):
    status = rng.choice(STATUSES)
    endings = list(Ending)
    if status == 200:
        endings.remove(Ending.WHOLE)
    return Fault(status, rng.choice(endings))


def pieces(fault, request, first_id=1):
    """Yields the bytes of an answer, some of them without end.

    `first_id` is the id of the first event that the request asks for.
    """
    ending = fault.ending
    status_line = f"HTTP/1.1 {fault.status} Faulty\r\n".encode()
    id_line = f"Request-Id: {request}\r\n".encode()
    sealed = status_line + b"Response-Seal: s\r\n" + id_line
    if ending is Ending.WHOLE:
        yield sealed + b"Content-Length: 0\r\n\r\n"
    elif ending is Ending.CUT_HEAD:
        yield sealed[:-3]
    elif ending is Ending.SHORT_HEAD:
        yield status_line + id_line + b"\r\n"
    elif ending is Ending.CUT_BODY:
        yield sealed + b"Content-Length: 20\r\n\r\nbroken"
    elif ending is Ending.ENDLESS_HEAD:
        yield sealed
        while True:
            yield b"Padding: " + PIECE[:100] + b"\r\n"
    elif ending is Ending.ENDLESS_BODY:
        yield sealed + b"\r\nid: %d\ndata: " % first_id
        while True:
            yield PIECE
    else:
        yield sealed + b"Transfer-Encoding: chunked\r\n\r\n"
        while True:
            yield b"%x\r\n%s\r\n" % (len(PIECE), PIECE)


def may_be_given_up(faults, attempts_max):
    """Whether an item may be given up after an engine's Faults for it."""
    statuses = [one.status for one in faults if one.is_verdict]
    return UNPROCESSABLE in statuses or statuses.count(FAILED) >= attempts_max
