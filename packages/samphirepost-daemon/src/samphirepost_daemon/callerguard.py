"""What a listener allows its callers, and how it refuses them."""

import enum

import msgspec

# Retry-After of a caller that found the memory budget empty (s).
MEMORY_RETRY_AFTER_S = 1
# Key in the WSGI environment of a callable that tells whether the answer was
# cut as the budget had no room for it.
ANSWER_CUT = "samphirepost.answer_cut"


class Limits(msgspec.Struct, frozen=True):
    """Limits of one listener; no legal client reaches them.

    `head_bytes` bounds the head of a request and `empty_line_bytes` the empty
    lines before it. A head has to arrive within `head_s` of its first byte,
    and some bytes of a body in each `body_silence_s`. `body_copies` tells how
    often a body is kept while its request is in progress.
    """

    head_bytes: int = 32_768
    head_s: float = 10.0
    body_silence_s: float = 15.0
    empty_line_bytes: int = 1_024
    body_copies: int = 2


class Refusal(enum.Enum):
    """Why a caller was refused or its connection closed.

    MEMORY: the budget has no bytes for it. EVICTED: its request was not
    complete when another one needed the memory. OUTPUT: the budget has no
    bytes for the rest of its answer. CONNECTIONS: it had sent no complete
    request when the listener had too many connections.
    """

    MEMORY = "memory"
    EVICTED = "evicted"
    OUTPUT = "output"
    CONNECTIONS = "connections"
    HEAD_SIZE = "head-size"
    BODY_SIZE = "body-size"
    EMPTY_LINES = "empty-lines"
    HEAD_TIME = "head-time"
    BODY_SILENCE = "body-silence"
    MALFORMED = "malformed"


# Status lines and texts of refusals that are not found by waitress' parser.
STATUS_LINES = {
    Refusal.MEMORY: ("503 Service Unavailable", "the memory is in use"),
    Refusal.EVICTED: ("503 Service Unavailable", "the memory is in use"),
    Refusal.BODY_SIZE: (
        "413 Request Entity Too Large",
        "the body is too long",
    ),
    Refusal.EMPTY_LINES: ("400 Bad Request", "too many empty lines"),
    Refusal.HEAD_TIME: ("408 Request Timeout", "the head is not complete"),
    Refusal.BODY_SILENCE: ("408 Request Timeout", "the body is not complete"),
}
_KIND_BY_STATUS = {413: Refusal.BODY_SIZE, 431: Refusal.HEAD_SIZE}


class Guard:
    """Limits and memory of the connections of one listener.

    `kind` is the part of the memorybudget.Budget that they use.
    `report(refusal, address)` is called for each Refusal, from any thread.
    """

    __slots__ = ("_budget", "_kind", "limits", "report")

    def __init__(self, budget, kind, limits, report):
        self._budget = budget
        self._kind = kind
        self.limits = limits
        self.report = report

    def account(self, holder):
        """Returns a new account of a connection."""
        return self._budget.account(self._kind, holder)

    def may_hold(self, holder, count):
        """Whether a connection could get more bytes if there was no other."""
        held = self._budget.held_by(self._kind, holder)
        return held + count <= self._budget.largest(self._kind)


def refusal_of_error(error):
    """Returns the Refusal for an error that waitress' parser found."""
    return _KIND_BY_STATUS.get(error.code, Refusal.MALFORMED)


def encode_refusal(refusal):
    """Returns the bytes of the response to a refused request."""
    status, text = STATUS_LINES[refusal]
    headers = []
    if status.startswith("503"):
        headers.append(("Retry-After", str(MEMORY_RETRY_AFTER_S)))
    return _encode(status, headers, text.encode() + b"\n")


def encode_error(error):
    """Returns the bytes of the response to an error of waitress' parser."""
    status, _, body = error.to_response()
    return _encode(status, [], body)


def _encode(status, headers, body):
    headers = [
        *headers,
        ("Connection", "close"),
        ("Content-Type", "text/plain"),
        ("Content-Length", str(len(body))),
    ]
    lines = [f"HTTP/1.1 {status}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body
