"""An attempt of an online request at one engine, and what came of it."""

import time

import msgspec

from samphirepost import attempts
from samphirepost import events
from samphirepost import memorybudget
from samphirepost import roster
from samphirepost import slotmessages
from samphirepost_daemon.entry import answermemory
from samphirepost_daemon.entry import engineclient

# Events of a stream from which an engine's pace is judged.
PACE_EVENTS_MIN = 6
# Lowest status of a response that tells a failure of the engine.
ENGINE_FAILURE_STATUS_MIN = 500
# Failed attempts that tell nothing about their engine.
NO_ENGINE_FAILURES = (
    attempts.AttemptFailure.REFUSED,
    attempts.AttemptFailure.UNASKED,
    attempts.AttemptFailure.UNRECORDED,
    attempts.AttemptFailure.PEER,
    attempts.AttemptFailure.NO_MEMORY,
)
# Failed attempts after which the engine or the path to it may be at fault.
PATH_FAILURES = (
    attempts.AttemptFailure.UNREACHABLE,
    attempts.AttemptFailure.SILENT,
)

UNSOUND_EVENT = engineclient.CallFailure("bytes that are no event")
NOT_THE_BEGINNING = engineclient.CallFailure("not the stream's beginning")
NOT_THE_REST = engineclient.CallFailure("not the rest of the stream")


class Slot(msgspec.Struct, frozen=True):
    """An engine for one attempt, which runs under `run_id`.

    `granted` unless this daemon chose the engine itself. The request goes
    through the peer at the address `through`, if any.
    """

    engine: roster.Engine
    run_id: int
    granted: bool
    through: str = ""


class OpenResponse(msgspec.Struct):
    """A response whose head has arrived.

    Either `body` is complete, or `events` holds the events of a stream that
    are not yet passed on. `done` is true once the engine has sent the complete
    response; `closed`, once the connection to the engine is closed. `began_s`
    is the monotonic time of a stream's first events, `sent_s` that at which
    the request was sent, `event_count` the number of events so far. `last_id`
    is the id of the event that the next one has to follow; None before the
    first event of a stream that was not resumed. `after_id` is what it was
    before the first event of the present answer. `asking_s` is the time since
    `began_s` that went by with questions about its end. `account` is what its
    body takes of the memory budget.
    """

    call: engineclient.Call
    slot: Slot
    head: engineclient.ResponseHead
    events: list[events.Event]
    parser: events.Parser
    body: bytes = b""
    done: bool = False
    closed: bool = False
    began_s: float = 0.0
    event_count: int = 0
    last_id: int | None = None
    after_id: int | None = None
    asking_s: float = 0.0
    sent_s: float = 0.0
    account: memorybudget.Account | None = None

    @property
    def engine(self):
        """The engine that responds."""
        return self.slot.engine

    def feed(self, data):
        """Parses bytes of a stream into `events`; returns None, or a failure.

        The CallFailure tells that they are not sound.
        """
        found = self.parser.feed(data)
        if self.parser.is_unsound:
            return UNSOUND_EVENT
        memory = self.call.memory
        excess = memory.keep(
            len(self.parser.incomplete)
            + answermemory.EVENT_OBJECT_BYTES * len(found)
        )
        if excess is not None:
            return engineclient.excess_failure(excess)
        self.events = found
        found = [event for event in found if not event.is_remark]
        excess = memory.count_events(len(found))
        if excess is not None:
            return engineclient.excess_failure(excess)
        if found and self.last_id is None and found[0].id is not None:
            if not events.may_be_first(found[0].id):
                return NOT_THE_BEGINNING
            self.last_id = self.after_id = found[0].id - 1
        if found and self.last_id is not None:
            if not events.follow(found, self.last_id):
                return NOT_THE_REST
            self.last_id = found[-1].id
        return None

    @property
    def outcome(self):
        """What the response has shown about its engine so far.

        The failure of a request that may not be repeated is passed on.
        """
        if not self.done:
            return slotmessages.Outcome.UNKNOWN
        if self.head.status >= ENGINE_FAILURE_STATUS_MIN:
            return slotmessages.Outcome.FAILED
        return slotmessages.Outcome.OK

    def go_on(self, answer):
        """Goes on with another answer of the engine, an OpenResponse.

        The answer's events follow the last one.
        """
        self.call.close()
        self.call = answer.call
        self.parser = answer.parser
        self.events = answer.events
        self.last_id = answer.last_id
        self.after_id = answer.after_id

    @property
    def first_s(self):
        """The time from sending to the first events; 0 without any."""
        if not self.began_s or not self.sent_s:
            return 0.0
        return self.began_s - self.sent_s

    @property
    def pace_s(self):
        """The mean time between two events; 0 after too few of them."""
        if self.event_count < PACE_EVENTS_MIN:
            return 0.0
        taken_s = time.monotonic() - self.began_s - self.asking_s
        return taken_s / (self.event_count - 1)


class FailedAttempt(msgspec.Struct, frozen=True):
    """An attempt that gave no usable response after `events` events.

    `lost` if the connection ended, `has_head` if the response's head had
    arrived. `at_peer` if the peer that relayed the request failed.
    """

    seen: attempts.AttemptFailure
    reason: str
    events: int = 0
    lost: bool = False
    has_head: bool = False
    at_peer: bool = False

    @property
    def may_be_path(self):
        """Whether the path to the engine may be at fault."""
        return self.lost or self.seen in PATH_FAILURES

    @property
    def outcome(self):
        """What the attempt showed about its engine when it ended."""
        if self.seen in NO_ENGINE_FAILURES or self.at_peer or self.may_be_path:
            return slotmessages.Outcome.UNKNOWN
        return slotmessages.Outcome.FAILED
