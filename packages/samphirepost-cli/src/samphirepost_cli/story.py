"""The log lines that belong to one request, job or item, in order."""

import msgspec

from samphirepost import errors

_SUBJECTS = ("request", "job", "item")
_COMMON = ("at", "level", "vm", "event", *_SUBJECTS)
_line = msgspec.json.Decoder(dict[str, msgspec.Raw])


class Step(msgspec.Struct, frozen=True):
    """One log line; `inputs` has what decided, as name=value."""

    at: str
    vm: str
    event: str
    inputs: tuple[str, ...]


def read(lines, subject):
    """Returns the Steps of `subject`, or a Failure if there are none.

    A line may have anything before its JSON, as log collectors put it.
    """
    steps = []
    unreadable = 0
    for line in lines:
        _, brace, text = line.partition("{")
        if not brace or f'"{subject}"' not in text:
            continue
        try:
            fields = _line.decode(brace + text)
        except msgspec.DecodeError:
            unreadable += 1
            continue
        if _about(fields, subject):
            steps.append(_step(fields))
    if not steps:
        reason = f"no line tells of {subject}; {unreadable} were not readable"
        return errors.Failure(errors.Kind.NOT_FOUND, reason)
    return sorted(steps, key=lambda step: step.at)


def _about(fields, subject):
    return any(_text(fields, name) == subject for name in _SUBJECTS)


def _text(fields, name):
    raw = fields.get(name)
    if raw is None:
        return ""
    value = msgspec.json.decode(raw)
    return value if isinstance(value, str) else str(value)


def _step(fields):
    inputs = tuple(
        f"{name}={bytes(raw).decode()}"
        for name, raw in fields.items()
        if name not in _COMMON and bytes(raw) != b"null"
    )
    return Step(
        _text(fields, "at"),
        _text(fields, "vm"),
        _text(fields, "event"),
        inputs,
    )
