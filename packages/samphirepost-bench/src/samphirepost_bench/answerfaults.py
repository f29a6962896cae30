"""How a faulty engine writes its answers, as plain data drawn by a seed.

An answer is cut where a reader may misjudge it, not evenly by bytes; each
place is crossed with each framing, with the death of the engine's process and
with what follows late on the same connection.
"""

import enum

import msgspec


class Framing(enum.Enum):
    """What tells where an answer's body ends; NONE: its connection's end."""

    NONE = "none"
    CHUNKS = "chunks"
    LENGTH = "length"


class Place(enum.Enum):
    """Where an answer ends.

    AFTER_HEAD and BEFORE_EVENTS end after the whole head, the second after a
    pause. AFTER_LAST ends before the marker of the end, if there is one.
    """

    BEFORE_HEAD = "before-head"
    IN_HEAD = "in-head"
    AFTER_HEAD = "after-head"
    BEFORE_EVENTS = "before-events"
    IN_EVENT = "in-event"
    BETWEEN_EVENTS = "between-events"
    AFTER_LAST = "after-last"
    WHOLE = "whole"


class Extra(enum.Enum):
    """What follows an answer late, on the same connection."""

    NOTHING = "nothing"
    SECOND = "second"
    SECOND_CUT = "second-cut"
    STATUS = "status"


class Mix(enum.Enum):
    """Which answers have neither a length nor chunks.

    ANY: some. ITEMS: all of items. ALL: all answers.
    """

    ANY = "any"
    ITEMS = "items"
    ALL = "all"


_PLACE_WEIGHTS = {
    Place.BEFORE_HEAD: 5,
    Place.IN_HEAD: 6,
    Place.AFTER_HEAD: 13,
    Place.BEFORE_EVENTS: 4,
    Place.IN_EVENT: 10,
    Place.BETWEEN_EVENTS: 18,
    Place.AFTER_LAST: 6,
    Place.WHOLE: 38,
}
_FRAMING_WEIGHTS = {Framing.NONE: 4, Framing.CHUNKS: 1, Framing.LENGTH: 1}
_BEFORE_BODY = (Place.BEFORE_HEAD, Place.IN_HEAD)
_WITHOUT_EVENTS = (Place.AFTER_HEAD, Place.BEFORE_EVENTS)
# Whole events before a cut, as often as all other numbers together: as many
# as an answer that repeats the last events of a text would bring.
_FEW_EVENTS = (1, 2, 3, 4)
KILL_SHARE = 0.03
EXTRA_SHARE = 0.12
# Readers of items give up after 2 s without an event.
LATE_S = (0.0, 0.05, 0.3, 2.3)
STATUSES = (422, 429, 500, 503)


class Plan(msgspec.Struct, frozen=True):
    """How one answer is written.

    `cut` in [0, 1) selects among the places of a cut in a head or an event.
    `events` is the number of whole events before a cut, if there are more.
    `is_killed`: the process is killed at the answer's end. `late_s` is the
    time before what follows, `status` that of Extra.STATUS. With
    `splits_chunk`, a chunk is cut too.
    """

    framing: Framing
    place: Place
    cut: float = 0.0
    events: int = 1
    is_killed: bool = False
    extra: Extra = Extra.NOTHING
    late_s: float = 0.0
    status: int = 500
    splits_chunk: bool = False


class Script(msgspec.Struct, frozen=True):
    """The bytes of an answer.

    `pieces` are written one after the other, `extra` later. `events` is the
    number of its whole events. `ends_plainly`: a reader can't tell its end
    from that of a whole answer without a length.
    """

    pieces: tuple[bytes, ...]
    extra: bytes
    events: int
    ends_plainly: bool


def draw(rng, mix, is_item, events):
    """Returns the Plan of one answer that has `events` events if whole."""
    unframed = mix is Mix.ALL or (mix is Mix.ITEMS and is_item)
    place = _choose(rng, _PLACE_WEIGHTS)
    is_killed = place is not Place.WHOLE and rng.random() < KILL_SHARE
    has_extra = (
        not is_killed
        and place not in _BEFORE_BODY
        and rng.random() < EXTRA_SHARE
    )
    few = rng.random() < 0.5
    return Plan(
        framing=Framing.NONE if unframed else _choose(rng, _FRAMING_WEIGHTS),
        place=place,
        cut=rng.random(),
        events=rng.choice(_FEW_EVENTS if few else range(1, events + 2)),
        is_killed=is_killed,
        extra=rng.choice(list(Extra)[1:]) if has_extra else Extra.NOTHING,
        late_s=rng.choice(LATE_S),
        status=rng.choice(STATUSES),
        splits_chunk=rng.random() < 0.5,
    )


def _choose(rng, weights):
    return rng.choices(list(weights), weights.values())[0]


def compose(plan, head_lines, events):
    """Returns the Script of an answer.

    `head_lines` is the head without its framing, `events` its events.
    """
    head = _head(plan.framing, head_lines, sum(map(len, events)))
    if plan.place is Place.BEFORE_HEAD:
        return Script((), b"", 0, False)
    if plan.place is Place.IN_HEAD:
        return Script((_cut_head(head, plan.cut),), b"", 0, False)
    count, rest = _cut_body(plan, events)
    pieces = [head, *(_frame(plan.framing, one) for one in events[:count])]
    if rest:
        pieces.append(_cut_event(plan, rest))
    if plan.framing is Framing.CHUNKS and plan.place is Place.WHOLE:
        pieces.append(b"0\r\n\r\n")
    ends_plainly = (
        plan.framing is Framing.NONE
        and not rest
        and plan.extra is Extra.NOTHING
        and not plan.is_killed
    )
    extra = _extra(plan, head_lines, events)
    return Script(tuple(pieces), extra, count, ends_plainly)


def _cut_body(plan, events):
    """Returns the number of whole events, and the event that is cut."""
    if plan.place in _WITHOUT_EVENTS:
        return 0, b""
    last = max(0, len(events) - 1)
    if plan.place is Place.BETWEEN_EVENTS:
        return min(plan.events, last), b""
    if plan.place is Place.IN_EVENT and events:
        # Also in the first event.
        count = min(plan.events - 1, last)
        return count, events[count]
    return len(events), b""


def _head(framing, lines, length):
    framed = {
        Framing.NONE: [],
        Framing.CHUNKS: ["Transfer-Encoding: chunked"],
        Framing.LENGTH: [f"Content-Length: {length}"],
    }[framing]
    return "\r\n".join([*lines, *framed, "", ""]).encode()


def _cut_head(head, cut):
    """Returns the beginning of a head, cut after or inside a line."""
    ends = [
        index + 2
        for index in range(len(head) - 2)
        if head[index : index + 2] == b"\r\n"
    ]
    places = [*ends, *(end - 4 for end in ends)]
    return head[: places[int(cut * len(places))]]


def _cut_event(plan, event):
    """Returns the beginning of an event: cut in a number, line or its end."""
    first_line = event.index(b"\n")
    places = (
        first_line - 1,
        first_line,
        first_line + 1,
        len(event) - 4,
        len(event) - 2,
        len(event) - 1,
    )
    part = event[: places[int(plan.cut * len(places))]]
    if plan.framing is Framing.CHUNKS and plan.splits_chunk:
        return b"%x\r\n%s" % (len(event), part)
    return _frame(plan.framing, part)


def _frame(framing, data):
    if framing is Framing.CHUNKS:
        return b"%x\r\n%s\r\n" % (len(data), data)
    return data


def _extra(plan, head_lines, events):
    if plan.extra is Extra.NOTHING:
        return b""
    if plan.extra is Extra.STATUS:
        lines = [f"HTTP/1.1 {plan.status} Late", *head_lines[1:]]
        return _head(Framing.LENGTH, lines, 0)
    place = Place.WHOLE if plan.extra is Extra.SECOND else Place.IN_EVENT
    second = msgspec.structs.replace(
        plan, place=place, extra=Extra.NOTHING, is_killed=False
    )
    return b"".join(compose(second, head_lines, events).pieces)


class Verdict(enum.Enum):
    """What a text is, compared with the whole output of a request.

    PART: its beginning. JOINED: whole, but of several versions. WRONG: none
    of it.
    """

    WHOLE = "whole"
    PART = "part"
    JOINED = "joined"
    WRONG = "wrong"


def event_data(request, number, version):
    """Returns the data of an event; it names the software's version."""
    return f"{request}:{number}@{version}"


def judge_body(body, request, events):
    """Returns the Verdict on a stream; bytes of no event make it WRONG."""
    blocks = body.decode(errors="replace").split("\n\n")
    lines = []
    for number, block in enumerate(blocks[:-1], 1):
        head = f"id: {number}\ndata: "
        if not block.startswith(head):
            return Verdict.WRONG
        lines.append(block.removeprefix(head))
    if blocks[-1]:
        return Verdict.WRONG
    return judge_text("\n".join(lines), request, events)


def judge_text(text, request, events):
    """Returns the Verdict on a text that should have `events` lines."""
    lines = text.split("\n") if text else []
    versions = set()
    for number, line in enumerate(lines, 1):
        data, _, version = line.rpartition("@")
        if data != f"{request}:{number}" or number > events:
            return Verdict.WRONG
        versions.add(version)
    if len(lines) < events:
        return Verdict.PART
    return Verdict.JOINED if len(versions) > 1 else Verdict.WHOLE
