"""Runs one item of a batch job on an engine."""

import time

import msgspec

from samphirepost import events
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import exchange
from samphirepost_daemon.platform import wire

# A run is interrupted if the engine sends nothing for this long; callers of
# online streams abandon a request after the same time.
READ_TIMEOUT_S = 2.0
# Deadline sent to the engine with a run; the longest outputs take less than
# a fifth of it.
RUN_TIMEOUT_S = 30.0


class CompletedRun(msgspec.Struct, frozen=True):
    """The run completed the item's output."""

    label = "whole"


class FailedRun(msgspec.Struct, frozen=True):
    """The engine ran the item and failed.

    Only these runs count towards the limit on the item's attempts.
    """

    label = "failed"
    reason: str


class UnprocessableItem(msgspec.Struct, frozen=True):
    """The engine reported that no attempt can complete the item."""

    label = "impossible"


class InterruptedRun(msgspec.Struct, frozen=True):
    """The run stopped early and does not count as an attempt.

    `is_engine_failure` is true if it is attributed to the engine.
    """

    label = "interrupted"
    reason: str
    is_engine_failure: bool


def run_item(record, item, engine, partial, should_stop):
    """Runs an item on an engine and appends its events to `partial`.

    Blocks until the run is over. `should_stop()` is polled every
    `exchange.READ_POLL_S` seconds; once it is true, the run is interrupted.

    Returns a CompletedRun, FailedRun, UnprocessableItem or InterruptedRun,
    whose `label` is the outcome in logs and metrics.
    """
    call = engineclient.Call()
    try:
        return _send_and_collect(
            call, record, item, engine, partial, should_stop
        )
    finally:
        call.close()


def _send_and_collect(call, record, item, engine, partial, should_stop):
    failure = call.connect(engine.address, exchange.CONNECT_TIMEOUT_S)
    if failure is not None:
        return InterruptedRun(failure.reason, True)
    req = wire.item_request(record, item)
    headers = wire.engine_headers(req, engine, RUN_TIMEOUT_S, partial.last_id)
    failure = call.send(req.method, req.path, headers, req.body)
    if failure is not None:
        return InterruptedRun(failure.reason, True)
    head = _read_next(call, should_stop)
    if not isinstance(head, engineclient.ResponseHead):
        return _interruption(head)
    if wire.is_rejected(head):
        return InterruptedRun(f"refused with {head.status}", False)
    if not wire.is_response_to(head, req):
        return InterruptedRun("another request's answer", True)
    if head.status == 422:
        return UnprocessableItem()
    if head.status == 500:
        return FailedRun("the engine failed")
    if head.status != 200:
        return InterruptedRun(f"status {head.status}", True)
    return _collect_events(call, partial, should_stop)


def _collect_events(call, partial, should_stop):
    parser = events.Parser()
    while True:
        part = _read_next(call, should_stop)
        if isinstance(part, engineclient.EndOfResponse):
            if parser.incomplete or not partial.texts:
                return InterruptedRun("the stream ended early", True)
            return CompletedRun()
        if not isinstance(part, engineclient.BodyData):
            return _interruption(part)
        for event in parser.feed(part.data):
            if not partial.append_event(event.id, event.data):
                return InterruptedRun("an event is out of order", True)


def _interruption(part):
    if isinstance(part, engineclient.CallFailure):
        return InterruptedRun(part.reason, True)
    if isinstance(part, InterruptedRun):
        return part
    return InterruptedRun("the engine is silent", True)


def _read_next(call, should_stop):
    deadline_s = time.monotonic() + READ_TIMEOUT_S
    while time.monotonic() < deadline_s:
        if should_stop():
            return InterruptedRun("stopped", False)
        part = call.read(exchange.READ_POLL_S)
        if part is not None:
            return part
    return None
