"""Result lines of batch items, and the object of a whole job's results."""

import uuid

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import records
from samphirepost_daemon import partitionlog


class Response(msgspec.Struct, frozen=True):
    """An item's answer."""

    status_code: int
    body: msgspec.Raw


class Line(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a job's results: a response or a typed error."""

    custom_id: str = ""
    response: Response | None = None
    error: dict | None = None


class Input(msgspec.Struct):
    """What of an input line names its item."""

    custom_id: str


class Places(msgspec.Struct, frozen=True):
    """Where the results of a job's items lie."""

    accepted: records.JobAccepted
    names: tuple[str, ...]
    segments: tuple[int, ...]
    positions: tuple[int, ...]


_REASONS = {
    errors.Kind.UNKNOWN_RESULT: "the item was sent and its answer was lost",
    errors.Kind.ATTEMPTS_EXHAUSTED: "the item's holders were lost with it",
}


def response_line(result):
    """Returns the result line of an item that was answered."""
    body = msgspec.Raw(result.body)
    if "json" not in result.content_type:
        body = codec.to_json(result.body.decode("utf-8", "replace"))
    answer = Response(result.status, msgspec.Raw(body))
    return codec.to_json(Line(response=answer))


def error_line(failure):
    """Returns the result line of an item that failed."""
    error = {
        "type": failure.kind.value,
        "reason": failure.reason,
        "outcome": failure.outcome.value,
    }
    return codec.to_json(Line(error=error))


def ended_line(accepted, item, kind):
    """Returns the result line of an item whose holder was lost."""
    failure = errors.Failure(kind, _REASONS[kind], errors.Outcome.UNKNOWN)
    return error_line(failure)


def assemble(objects, places):
    """Stores all result lines in the items' order; returns the name."""
    lines = []
    cache = {}
    for item in range(places.accepted.total):
        custom_id = _custom_id(objects, places.accepted, item, cache)
        if isinstance(custom_id, errors.Failure):
            return custom_id
        line = _line(objects, places, item, cache)
        if isinstance(line, errors.Failure):
            return line
        named = msgspec.structs.replace(line, custom_id=custom_id)
        lines.append(codec.to_json(named))
    name = f"results/{places.accepted.work}-{uuid.uuid4().hex}"
    failure = objects.put(name, b"\n".join(lines) + b"\n")
    return name if failure is None else failure


def _custom_id(objects, accepted, item, cache):
    chunk, offset = divmod(item, accepted.chunk_items)
    name = accepted.chunks[chunk]
    if name not in cache:
        data = objects.get(name)
        if isinstance(data, errors.Failure):
            return data
        cache[name] = [
            msgspec.json.decode(line, type=Input).custom_id
            for line in data.splitlines()
        ]
    return cache[name][offset]


def _line(objects, places, item, cache):
    name = places.names[places.segments[item]]
    segment = cache.get(name)
    if segment is None:
        segment = partitionlog.read_segment(objects, name)
        if isinstance(segment, errors.Failure):
            return segment
        cache[name] = segment
    record = segment.records[places.positions[item]]
    return msgspec.json.decode(record.line, type=Line)
