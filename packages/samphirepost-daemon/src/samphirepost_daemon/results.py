"""Result lines of batch items, and the results object of a job."""

import uuid

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import records
from samphirepost_daemon import partitionlog


class ItemResponse(msgspec.Struct, frozen=True):
    """The target's answer to an item."""

    status_code: int
    body: msgspec.Raw


class ResultLine(msgspec.Struct, frozen=True, omit_defaults=True):
    """One line of a job's results: a response or a typed error."""

    custom_id: str = ""
    response: ItemResponse | None = None
    error: dict | None = None


class InputId(msgspec.Struct):
    """The part of an input line that identifies its item."""

    custom_id: str


class ResultLocations(msgspec.Struct, frozen=True):
    """Where the result records of a job's items are stored.

    Item i is record `positions[i]` of the segment `names[segments[i]]`.
    """

    accepted: records.JobAccepted
    names: tuple[str, ...]
    segments: tuple[int, ...]
    positions: tuple[int, ...]


_REASONS = {
    errors.Kind.UNKNOWN_RESULT: "the item was sent and its answer was lost",
    errors.Kind.ATTEMPTS_EXHAUSTED: "the item's holders were lost with it",
}


def response_line(result):
    """Returns the result line of an answered item, without its custom id."""
    body = msgspec.Raw(result.body)
    if "json" not in result.content_type:
        body = codec.to_json(result.body.decode("utf-8", "replace"))
    response = ItemResponse(result.status, msgspec.Raw(body))
    return codec.to_json(ResultLine(response=response))


def error_line(failure):
    """Returns the result line of a failed item, without its custom id."""
    error = {
        "type": failure.kind.value,
        "reason": failure.reason,
        "outcome": failure.outcome.value,
    }
    return codec.to_json(ResultLine(error=error))


def failed_runner_line(accepted, item, kind):
    """Returns the result line of an item whose runner failed.

    The ledger calls it; the line doesn't depend on `accepted` and `item`.
    """
    failure = errors.Failure(kind, _REASONS[kind], errors.Outcome.UNKNOWN)
    return error_line(failure)


def store_job_results(objects, locations):
    """Stores all result lines of a job in the order of its items.

    Returns the name of the results object, or a Failure.
    """
    lines = []
    cache = {}
    for item in range(locations.accepted.total):
        custom_id = _read_custom_id(objects, locations.accepted, item, cache)
        if isinstance(custom_id, errors.Failure):
            return custom_id
        line = _read_line(objects, locations, item, cache)
        if isinstance(line, errors.Failure):
            return line
        named_line = msgspec.structs.replace(line, custom_id=custom_id)
        lines.append(codec.to_json(named_line))
    name = f"results/{locations.accepted.work}-{uuid.uuid4().hex}"
    failure = objects.put(name, b"\n".join(lines) + b"\n")
    return name if failure is None else failure


def _read_custom_id(objects, accepted, item, cache):
    chunk, offset = divmod(item, accepted.chunk_items)
    name = accepted.chunks[chunk]
    if name not in cache:
        data = objects.get(name)
        if isinstance(data, errors.Failure):
            return data
        cache[name] = [
            msgspec.json.decode(line, type=InputId).custom_id
            for line in data.splitlines()
        ]
    return cache[name][offset]


def _read_line(objects, locations, item, cache):
    name = locations.names[locations.segments[item]]
    segment = cache.get(name)
    if segment is None:
        segment = partitionlog.read_segment(objects, name)
        if isinstance(segment, errors.Failure):
            return segment
        cache[name] = segment
    record = segment.records[locations.positions[item]]
    return msgspec.json.decode(record.line, type=ResultLine)
