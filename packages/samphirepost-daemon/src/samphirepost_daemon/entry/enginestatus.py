"""Finds out whether the engine that answered a request still runs.

An answer without a length ends with its connection, as it does when its
engine is killed. Only an engine that runs afterwards has ended it itself.
"""

import enum
import threading
import time

import msgspec

from samphirepost import answerbounds
from samphirepost import enginepaths
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.platform import wire

# Time for an engine's report (s). A sound engine may be silent for a second.
REPORT_TIMEOUT_S = 1.5
# Peers that are asked if this daemon does not reach the engine.
PEERS_ASKED_MAX = 2
# Pause before an engine that broke its answer off is asked again (s), and
# such answers in a row of an engine that counts as ended.
ASK_AGAIN_DELAY_S = 0.05
BROKEN_ANSWERS_MAX = 3
REPORT_BYTES_MAX = 1_048_576
REPORT_BOUND = answerbounds.Bound(REPORT_BYTES_MAX, REPORT_BYTES_MAX)


class Life(enum.Enum):
    """What is known of an incarnation of an engine.

    UNREACHED if no connection to its address can be opened.
    """

    RUNNING = "running"
    ENDED = "ended"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


def find_life(parts, engine):
    """Returns the Life of an incarnation of an engine; waits for its report.

    Waits for REPORT_TIMEOUT_S at most. An answer that is broken off may be the
    fault of the path, so it is asked for again.
    """
    deadline_s = time.monotonic() + REPORT_TIMEOUT_S
    pause = threading.Event()
    for _ in range(BROKEN_ANSWERS_MAX):
        call = engineclient.Call(parts.answers.of(engine.id, REPORT_BOUND))
        try:
            found = _call_for_report(parts, call, engine, deadline_s)
        finally:
            call.close()
        if isinstance(found, Report):
            return _life_in(found, engine)
        if found is None:
            return Life.UNKNOWN
        if found.unreached:
            return Life.UNREACHED
        pause.wait(ASK_AGAIN_DELAY_S)
    return Life.ENDED


def _call_for_report(parts, call, engine, deadline_s):
    """Returns the Report, a CallFailure, or None at `deadline_s`."""
    failure = call.connect(parts.paths.dial, engine) or call.send(
        *wire.report_request(engine)
    )
    return failure or _receive_report(call, deadline_s)


def _life_in(report, engine):
    """Returns the Life of an engine's incarnation that a Report shows."""
    started_ms = wire.reported_start(report.head, report.body)
    if not (started_ms and engine.started_ms):
        return Life.UNKNOWN
    if started_ms == engine.started_ms:
        return Life.RUNNING
    return Life.ENDED


class Report(msgspec.Struct, frozen=True):
    """The complete answer of an engine that was asked for its report."""

    head: engineclient.ResponseHead
    body: bytes


def find_way(parts, engine, through, timeout_s):
    """Returns the way on which an incarnation of an engine gave its report.

    That is the address of a peer, or "" without one; None if the incarnation
    does not run, as far as can be seen. Peers are asked if this daemon does
    not reach the engine, at first the one at the address `through` unless
    empty. Waits for a report for `timeout_s` and for REPORT_TIMEOUT_S at most.
    """
    deadline_s = time.monotonic() + min(timeout_s, REPORT_TIMEOUT_S)
    asked = {through}
    sight = _ask(parts, engine, through, deadline_s)
    while (
        sight is enginepaths.Sight.UNKNOWN
        and len(asked) <= PEERS_ASKED_MAX
        and time.monotonic() < deadline_s
    ):
        address = parts.paths.choose_peer(asked)
        if not address:
            break
        asked.add(address)
        through = address
        sight = _ask(parts, engine, through, deadline_s)
    return through if sight is enginepaths.Sight.REACHED else None


def _ask(parts, engine, through, deadline_s):
    """Returns the Sight that an engine's report gives on one way to it."""
    call = engineclient.Call(parts.answers.of(engine.id, REPORT_BOUND))
    order = tunnel.RelayOrder(engine.id, REPORT_TIMEOUT_S)
    request = wire.report_request(engine)
    try:
        failure = parts.paths.open(call, engine, through, order, request)
        if failure is None:
            return _read_report(parts, call, engine, deadline_s)
    finally:
        call.close()
    if failure.unreached and through:
        # The peer reaches other engines.
        return enginepaths.Sight.UNREACHED
    if failure.unreached or failure.at_peer:
        return enginepaths.Sight.UNKNOWN
    return enginepaths.Sight.UNREACHED


def _read_report(parts, call, engine, deadline_s):
    found = _receive_report(call, deadline_s)
    if isinstance(found, Report):
        if wire.is_report_of(found.head, found.body, engine):
            return enginepaths.Sight.REACHED
        return enginepaths.Sight.UNREACHED
    if found is None or found.at_peer or found.is_without_memory:
        return enginepaths.Sight.UNKNOWN
    if found.excess is not None:
        parts.load_tracker.record_failure(engine.id, time.monotonic())
        parts.slots.record_engine_failure(engine.id)
    return enginepaths.Sight.UNREACHED


def _receive_report(call, deadline_s):
    """Returns the Report, a CallFailure, or None at `deadline_s`."""
    head, body = None, b""
    while True:
        part = call.read(max(0.0, deadline_s - time.monotonic()))
        if isinstance(part, engineclient.ResponseHead):
            head = part
        elif isinstance(part, engineclient.BodyData):
            body += part.data
            excess = engineclient.excess_failure(call.memory.keep(len(body)))
            if excess is not None:
                return excess
        elif isinstance(part, engineclient.EndOfResponse):
            return Report(head, body)
        else:
            return part
