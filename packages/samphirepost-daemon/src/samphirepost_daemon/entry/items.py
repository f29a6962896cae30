"""Runs one item of a batch job at an engine."""

import time

import msgspec

from samphirepost import events
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import exchange
from samphirepost_daemon.platform import wire

# An item's run is left at an engine that says nothing for this long (s):
# the longest pause that callers of streams put up with.
SILENCE_S = 2.0
# Longest run of one item (s); the longest outputs take under a fifth of it.
RUN_MAX_S = 30.0


class Whole(msgspec.Struct, frozen=True):
    """The item has its whole output."""


class Failed(msgspec.Struct, frozen=True):
    """The engine ran the item and failed; only these runs count."""

    reason: str


class Impossible(msgspec.Struct, frozen=True):
    """The engine says that the item can never be done."""


class Interrupted(msgspec.Struct, frozen=True):
    """The run ended early; `fault` if that speaks against the engine."""

    reason: str
    fault: bool


def run(record, item, engine, partial, stopped):
    """Runs an item until it ends, or `stopped()` says so."""
    call = engineclient.Call()
    try:
        return _run(call, record, item, engine, partial, stopped)
    finally:
        call.close()


def _run(call, record, item, engine, partial, stopped):
    broken = call.connect(engine.address, exchange.CONNECT_TIMEOUT_S)
    if broken is not None:
        return Interrupted(broken.reason, True)
    req = wire.item_request(record, item)
    headers = wire.engine_headers(req, engine, RUN_MAX_S, partial.last_id)
    broken = call.send(req.method, req.path, headers, req.body)
    if broken is not None:
        return Interrupted(broken.reason, True)
    head = _receive(call, stopped)
    if not isinstance(head, engineclient.ResponseHead):
        return _early(head)
    if wire.refused(head):
        return Interrupted(f"refused with {head.status}", False)
    if not wire.answers(head, req):
        return Interrupted("another request's answer", True)
    if head.status == 422:
        return Impossible()
    if head.status == 500:
        return Failed("the engine failed")
    if head.status != 200:
        return Interrupted(f"status {head.status}", True)
    return _collect(call, partial, stopped)


def _collect(call, partial, stopped):
    parser = events.Parser()
    while True:
        found = _receive(call, stopped)
        if isinstance(found, engineclient.EndOfResponse):
            if parser.rest or not partial.texts:
                return Interrupted("the stream ended early", True)
            return Whole()
        if not isinstance(found, engineclient.BodyData):
            return _early(found)
        for event in parser.feed(found.data):
            if not partial.take(event.id, event.data):
                return Interrupted("an event is out of order", True)


def _early(found):
    if isinstance(found, engineclient.CallFailure):
        return Interrupted(found.reason, True)
    if isinstance(found, Interrupted):
        return found
    return Interrupted("the engine is silent", True)


def _receive(call, stopped):
    until_s = time.monotonic() + SILENCE_S
    while time.monotonic() < until_s:
        if stopped():
            return Interrupted("stopped", False)
        found = call.read(exchange.READ_POLL_S)
        if found is not None:
            return found
    return None
