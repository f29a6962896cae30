"""Finds out whether the engine that answered a request still runs.

An answer without a length ends with its connection, as it does when its
engine is killed. Only an engine that runs afterwards has ended it itself.
"""

import time

from samphirepost import answerbounds
from samphirepost import enginepaths
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.platform import wire

# Time for an engine's report (s). A sound engine may be silent for a second.
REPORT_TIMEOUT_S = 1.5
# Peers that are asked if this daemon does not reach the engine.
PEERS_ASKED_MAX = 2
REPORT_BYTES_MAX = 1_048_576
REPORT_BOUND = answerbounds.Bound(REPORT_BYTES_MAX, REPORT_BYTES_MAX)


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
    head, body = None, b""
    while True:
        part = call.read(max(0.0, deadline_s - time.monotonic()))
        if isinstance(part, engineclient.ResponseHead):
            head = part
        elif isinstance(part, engineclient.BodyData):
            body += part.data
            if call.memory.keep(len(body)) is not None:
                return enginepaths.Sight.UNKNOWN
        elif isinstance(part, engineclient.EndOfResponse):
            if wire.is_report_of(head, body, engine):
                return enginepaths.Sight.REACHED
            return enginepaths.Sight.UNREACHED
        elif part is None or part.at_peer or part.is_without_memory:
            return enginepaths.Sight.UNKNOWN
        else:
            if part.excess is not None:
                parts.load_tracker.record_failure(engine.id, time.monotonic())
                parts.slots.record_engine_failure(engine.id)
            return enginepaths.Sight.UNREACHED
