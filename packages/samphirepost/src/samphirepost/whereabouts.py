"""Where a request or a job would go now, and why, without sending it.

The answers of samphirepost where; waits are in seconds from now.
"""

import enum

import msgspec

from samphirepost import attempts
from samphirepost import slotmessages


class Decision(enum.Enum):
    """What would be decided on a slot.

    ENGINE: a free slot of an engine. STOPS_ITEM: the slot of a batch item.
    WAITS: a place in the queue. REFUSED: an error response. UNDECIDED: there
    is no hub, or it knows too little; the daemon decides by itself.
    """

    ENGINE = "engine"
    STOPS_ITEM = "stops-item"
    WAITS = "waits"
    REFUSED = "refused"
    UNDECIDED = "undecided"


class EngineState(msgspec.Struct, frozen=True):
    """An engine and what runs there, as known to the daemon that decides.

    `marks` tells what speaks against it: suspect, avoided, slow, at-limit,
    unreached.
    """

    id: str
    zone: str
    slots: int
    online: int
    items: int
    marks: tuple[str, ...] = ()


class SlotOutlook(msgspec.Struct, frozen=True):
    """The decision on a slot of one pool.

    `wait_s` is the expected wait, None if there is none or it is not known.
    `waiting` requests wait for the pool's `free` slots, of which items leave
    `reserved` to online arrivals; None if that is not known.
    """

    decision: Decision
    why: str = ""
    engine: EngineState | None = None
    wait_s: float | None = None
    over_quota: bool = False
    waiting: int | None = None
    free: int | None = None
    reserved: int | None = None


UNDECIDED = SlotOutlook(Decision.UNDECIDED)


class PoolOutlook(msgspec.Struct, frozen=True):
    """What happens if the route's draw falls on this pool.

    It does with the probability `share`. Unless `by_hub`, the hub may decide
    otherwise: the picture is that of the daemon that answers.
    """

    pool: str
    share: float
    by_hub: bool
    slot: SlotOutlook
    refusal: attempts.ErrorResponse | None = None


class OrganisationState(msgspec.Struct, frozen=True):
    """An organisation by the tables, and its quota.

    `is_constrained` if the hub told that its quota is nearly used up;
    `quota_wait_s` is the time to the next token of the daemon's own bucket,
    from which it charges while no hub answers; None if the daemon is the hub.
    """

    name: str
    is_known: bool
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0
    is_constrained: bool = False
    quota_wait_s: float | None = None


class HubState(msgspec.Struct, frozen=True):
    """The hub as one daemon knows it; `vm` is None if there is none."""

    vm: str | None
    is_me: bool
    answers: bool


class Question(msgspec.Struct, frozen=True):
    """A request or job that is not sent.

    `prompt` has the parts of its prompt as ID:TOKENS entries, as callers send
    them.
    """

    host: str
    path: str
    organisation: str = ""
    prompt: str = ""


class Outlook(msgspec.Struct, frozen=True):
    """The answer of the daemon `vm` to a Question.

    `refusal` is what the caller gets, if that does not depend on the pool.
    The tables of `revision` were read `tables_age_s` ago.
    """

    vm: str
    hub: HubState
    revision: int | None
    tables_age_s: float | None
    route: str = ""
    kind: str = ""
    priority: int | None = None
    organisation: OrganisationState | None = None
    pools: tuple[PoolOutlook, ...] = ()
    refusal: attempts.ErrorResponse | None = None


def outlook_of(replies, engine_state):
    """Returns the SlotOutlook of the messages that answer a SlotRequest.

    `engine_state(engine_id)` returns an EngineState.
    """
    stops_item = False
    for reply in replies:
        if isinstance(reply, slotmessages.Preemption):
            stops_item = True
        elif isinstance(reply, slotmessages.Grant):
            engine = engine_state(reply.engine)
            if stops_item:
                why = "no slot is free; an item gives way"
                return SlotOutlook(Decision.STOPS_ITEM, why, engine)
            return SlotOutlook(Decision.ENGINE, "a slot is free", engine)
        elif isinstance(reply, slotmessages.Queued):
            return SlotOutlook(Decision.WAITS, "no slot is free")
        elif isinstance(reply, slotmessages.Denial):
            return _outlook_of_denial(reply)
    return UNDECIDED


def _outlook_of_denial(denial):
    if denial.wait_s is None:
        return SlotOutlook(
            Decision.UNDECIDED, "the hub knows no engine for the request"
        )
    why = "the wait for a slot is too long"
    if denial.over_quota:
        why = "the quota is used up"
    return SlotOutlook(
        Decision.REFUSED,
        why,
        wait_s=denial.wait_s,
        over_quota=denial.over_quota,
    )
