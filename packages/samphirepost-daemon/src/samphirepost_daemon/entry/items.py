"""Runs one item of a batch job on an engine."""

import time

import msgspec

from samphirepost import events
from samphirepost import slotmessages
from samphirepost_daemon.entry import answermemory
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import exchange
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.platform import wire

# A run is interrupted if it has no event for this long; callers of online
# streams abandon a request after the same time.
READ_TIMEOUT_S = 2.0
# Deadline sent to the engine with a run; the longest outputs take less than
# a fifth of it.
RUN_TIMEOUT_S = 30.0
# Answers without a length in one run; the item goes on in another run then.
ANSWERS_PER_RUN_MAX = 6


class CompletedRun(msgspec.Struct, frozen=True):
    """The run completed the item's output.

    `framed` if the engine ended an answer that has a length or chunks; else
    the end was inferred from answers that ended with their connections.
    """

    label = "whole"
    framed: bool


class FailedRun(msgspec.Struct, frozen=True):
    """The engine ran the item and failed.

    Only these runs count towards the limit on the item's attempts.
    """

    label = "failed"
    reason: str


class EndlessRun(msgspec.Struct, frozen=True):
    """The engine's answer exceeded its bound; its output is not sound.

    It is no answer of the engine, so it does not count as an attempt.
    """

    label = "endless"
    reason: str


class UnprocessableItem(msgspec.Struct, frozen=True):
    """The engine reported that no attempt can complete the item."""

    label = "impossible"


class InterruptedRun(msgspec.Struct, frozen=True):
    """The run stopped early and does not count as an attempt.

    `is_engine_failure` is true if it is attributed to the engine, unless
    `may_be_path`: the path to it may be at fault. `unreached` if no connection
    could be opened, `lost` if it ended, and `has_head` if the response's head
    had arrived. `is_without_memory` if none was free for the output.
    """

    label = "interrupted"
    reason: str
    is_engine_failure: bool
    lost: bool = False
    has_head: bool = False
    unreached: bool = False
    silent: bool = False
    is_without_memory: bool = False

    @property
    def may_be_path(self):
        """Whether the path to the engine may be at fault."""
        return self.lost or self.unreached or self.silent


NO_MEMORY = InterruptedRun(
    "no memory is free for the output", False, is_without_memory=True
)

CUT_HEAD = InterruptedRun("the head has no seal", True, True, True)
CUT_VERDICT = InterruptedRun(
    "the engine ended with its answer", True, True, True
)
# What the whole answers of an engine with these statuses show of an item.
_VERDICTS = {
    500: FailedRun("the engine failed"),
    422: UnprocessableItem(),
}


class UnframedEnd(msgspec.Struct, frozen=True):
    """The answer ended with its connection, and had whole events until then.

    An answer that its engine breaks off ends in the same way. `end` is the
    number of its last event, counted from the first one of the output.
    """

    end: int


class RepeatContinues(msgspec.Struct, frozen=True):
    """An answer that repeats events goes on after the output's last one."""


def engine_outcome(outcome):
    """Returns what the outcome of a run shows about its engine.

    A failure shows nothing until the item is complete: the item itself may be
    what fails.
    """
    if isinstance(outcome, (CompletedRun, UnprocessableItem)):
        return slotmessages.Outcome.OK
    return slotmessages.Outcome.UNKNOWN


def is_unsound(outcome):
    """Whether a run ended with an answer that is none in the protocol."""
    if isinstance(outcome, InterruptedRun):
        return outcome.is_engine_failure and not outcome.may_be_path
    return isinstance(outcome, EndlessRun)


def drops_output(outcome):
    """Whether an item that is not complete begins again without its output.

    That of an endless answer is not sound; one for which no memory was free
    would keep others from their ends.
    """
    if isinstance(outcome, InterruptedRun):
        return outcome.is_without_memory
    return isinstance(outcome, EndlessRun)


class RunObserver:
    """Told what the run of an item shows; all its methods do nothing."""

    __slots__ = ()

    def head_received(self, head):
        """Called with each ResponseHead of the engine."""

    def stale_target(self):
        """Called when another engine answered at the engine's address."""

    def begun(self):
        """Called once the engine has begun to answer; maybe repeatedly."""

    def is_engine_running(self, _through):
        """Whether the engine that answered still runs.

        It was called through the peer at an address, unless that is empty.
        """
        return True

    def unframed_end(self, resume_after, end):
        """Called when an answer has ended with its connection.

        It was asked for after the event `resume_after`, and ended with event
        number `end` of the output.
        """

    def may_ask_again(self):
        """Whether the engine may get the item once more in the same run."""
        return True


def run_item(paths, record, item, engine, run, should_stop, observer):
    """Runs an item on an engine and appends its events to `run.partial`.

    `paths` is the PathMonitor, which opens the connection to the engine.
    Blocks until the run is over. `should_stop()` is polled every
    `exchange.READ_POLL_S` seconds; once it is true, the run is interrupted.
    `observer` is a RunObserver.

    Returns a CompletedRun, FailedRun, EndlessRun, UnprocessableItem or
    InterruptedRun, whose `label` is the outcome in logs and metrics.
    """
    outcome = _run_until_certain(
        paths, run, record, item, engine, should_stop, observer
    )
    if isinstance(outcome, InterruptedRun) and should_stop():
        # The connection was ended by this daemon.
        return InterruptedRun("stopped", False)
    return outcome


def _run_until_certain(
    paths, run, record, item, engine, should_stop, observer
):
    """Runs an item; asks again after ends that prove nothing.

    The engine is asked for what follows the last event, then for the last
    events again: an answer that has none of them shows nothing.
    """
    partial, ending = run.partial, run.partial.ending
    has_ended = False
    for _ in range(ANSWERS_PER_RUN_MAX):
        answer = _Answer(run, ending.next_start(engine.id, len(partial.texts)))
        try:
            outcome = _send_and_collect(
                paths, run, record, item, engine, answer, should_stop, observer
            )
        finally:
            run.call.close()
        if isinstance(outcome, UnframedEnd):
            has_ended = True
            ending.record_end(engine.id, answer.start, outcome.end)
            observer.unframed_end(answer.resume_after, outcome.end)
            if ending.is_certain:
                observer.begun()
                return CompletedRun(framed=False)
        elif isinstance(outcome, RepeatContinues):
            ending.refute()
        elif has_ended and _is_unreached(outcome):
            # The engine ended with its answer before.
            return msgspec.structs.replace(
                outcome, lost=True, has_head=True, unreached=False
            )
        else:
            return outcome
        if should_stop() or not observer.may_ask_again():
            break
        run.call = run.new_call()
    return InterruptedRun("the end is not certain", False)


def _is_unreached(outcome):
    return isinstance(outcome, InterruptedRun) and outcome.unreached


class _Answer:
    """The events of one answer to an item.

    It was asked for after `start` events of the output; `end` is the number of
    its last event. Events that the output has are only compared by their ids:
    what two runs put out need not be equal.
    """

    __slots__ = (
        "_is_repeat",
        "_partial",
        "_run",
        "end",
        "resume_after",
        "start",
    )

    def __init__(self, run, start):
        self._run = run
        self._partial = run.partial
        self._is_repeat = start < len(run.partial.texts)
        self.start = start
        self.end = start
        self.resume_after = run.partial.id_of(start)

    @property
    def event_count(self):
        """The number of its events so far."""
        return self.end - self.start

    @property
    def is_short(self):
        """Whether the output has events after its last one."""
        return self.end < len(self._partial.texts)

    def try_keep(self, found):
        """Takes memory for events; returns whether it was free."""
        return self._is_repeat or self._partial.try_keep(found)

    def add(self, event):
        """Adds the next event.

        Returns None, or an InterruptedRun or RepeatContinues, which ends the
        answer.
        """
        if event.is_remark:
            return None
        if not self._is_repeat:
            is_next = self._partial.append_event(event.id, event.data)
            self._run.record_event()
        elif self.is_short:
            is_next = event.id == self._partial.id_of(self.end + 1)
        else:
            return RepeatContinues()
        if not is_next:
            return InterruptedRun("an event is out of order", True)
        self.end += 1
        return None


def _send_and_collect(
    paths, run, record, item, engine, answer, should_stop, observer
):
    call = run.call
    req = wire.item_request(record, item)
    headers = wire.engine_headers(
        req, engine, RUN_TIMEOUT_S, answer.resume_after
    )
    order = tunnel.RelayOrder(engine.id, RUN_TIMEOUT_S, item=True)
    request = (req.method, req.path, headers, req.body)
    failure = paths.open(call, engine, run.through, order, request)
    if failure is not None:
        return _interruption(failure, has_head=False)
    deadline_s = time.monotonic() + READ_TIMEOUT_S
    head = _read_next(call, should_stop, deadline_s)
    if not isinstance(head, engineclient.ResponseHead):
        return _interruption(head, has_head=False)
    observer.head_received(head)
    if not wire.is_response_to(head, req):
        return InterruptedRun("another request's answer", True)
    if wire.is_stale_target(head, req):
        observer.stale_target()
    if wire.is_rejected(head):
        return InterruptedRun(f"refused with {head.status}", False)
    if head.status in _VERDICTS:
        return _read_verdict(run, head, should_stop, observer)
    if head.status != 200:
        return InterruptedRun(f"status {head.status}", True)
    if not wire.is_complete_head(head):
        return CUT_HEAD
    if answer.resume_after is not None and wire.is_other_content(head):
        return InterruptedRun("not the rest of the output", True)
    # The bound holds for the whole output, over all its answers.
    call.memory.count_events(answer.start)
    return _collect_events(call, head, answer, should_stop, observer)


def _read_verdict(run, head, should_stop, observer):
    """Returns what an answer of 500 or 422 shows, once it is whole.

    One that is broken off, or that has no end, is no answer of the engine.
    Without a length it ends as one does whose engine is killed.
    """
    call = run.call
    if head.is_unframed and not wire.is_sealed(head):
        # A head that was cut off may end in an empty line all the same.
        return CUT_HEAD
    deadline_s = time.monotonic() + READ_TIMEOUT_S
    part = _read_next(call, should_stop, deadline_s)
    while isinstance(part, engineclient.BodyData):
        part = _read_next(call, should_stop, deadline_s)
    if not isinstance(part, engineclient.EndOfResponse):
        return _interruption(part)
    if part.unframed and not observer.is_engine_running(run.through):
        return CUT_VERDICT
    return _VERDICTS[head.status]


def _collect_events(call, head, answer, should_stop, observer):
    has_begun = False
    parser = events.Parser()
    deadline_s = time.monotonic() + READ_TIMEOUT_S
    while True:
        part = _read_next(call, should_stop, deadline_s)
        if isinstance(part, engineclient.EndOfResponse):
            return _end_of_answer(part, answer, parser, observer)
        if not isinstance(part, engineclient.BodyData):
            return _interruption(part)
        found = parser.feed(part.data)
        refused = _refuse_events(call, parser, found, answer)
        if refused is not None:
            return refused
        for event in found:
            ended = answer.add(event)
            if ended is not None:
                return ended
        if head.is_unframed and parser.is_at_next_head and answer.end:
            # The engine answers twice; the first answer ends here.
            return UnframedEnd(answer.end)
        if parser.is_unsound:
            return InterruptedRun("bytes that are no event", True)
        if found:
            deadline_s = time.monotonic() + READ_TIMEOUT_S
        if answer.event_count >= exchange.BEGUN_EVENTS and not has_begun:
            has_begun = True
            observer.begun()


def _refuse_events(call, parser, found, answer):
    """Returns what ends a run that may keep no more, or None."""
    count = sum(not event.is_remark for event in found)
    excess = call.memory.count_events(count) or call.memory.keep(
        len(parser.incomplete) + answermemory.EVENT_OBJECT_BYTES * len(found)
    )
    if excess is not None:
        return _interruption(engineclient.excess_failure(excess))
    if found and not answer.try_keep(found):
        return NO_MEMORY
    return None


def _end_of_answer(part, answer, parser, observer):
    if parser.incomplete or not answer.end:
        return InterruptedRun("the stream ended early", True, True, True)
    if part.unframed:
        return UnframedEnd(answer.end)
    if answer.is_short:
        return InterruptedRun("the answer lacks events", True)
    observer.begun()
    return CompletedRun(framed=True)


def _interruption(part, has_head=True):
    if isinstance(part, engineclient.CallFailure):
        if part.is_without_memory:
            return NO_MEMORY
        if part.excess is not None:
            return EndlessRun(part.reason)
        return InterruptedRun(
            part.reason,
            not part.at_peer,
            part.lost,
            has_head,
            part.unreached,
        )
    if isinstance(part, InterruptedRun):
        return part
    return InterruptedRun("the engine is silent", True, silent=True)


def _read_next(call, should_stop, deadline_s):
    """Returns the next part, or None at `deadline_s`.

    Bytes that complete no event do not extend the deadline.
    """
    while time.monotonic() < deadline_s:
        if should_stop():
            return InterruptedRun("stopped", False)
        part = call.read(exchange.READ_POLL_S)
        if part is not None:
            return part
    return None
