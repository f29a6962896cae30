"""Finds the log entries of one request, job or item in log files."""

import msgspec

from samphirepost import errors

_SUBJECT_FIELDS = ("request", "job", "item")
_COMMON_FIELDS = ("at", "level", "vm", "event", *_SUBJECT_FIELDS)
_line_decoder = msgspec.json.Decoder(dict[str, msgspec.Raw])


class LogEntry(msgspec.Struct, frozen=True):
    """One log entry; `inputs` has its other fields as name=value."""

    at: str
    vm: str
    event: str
    inputs: tuple[str, ...]


def find_entries(lines, subject):
    """Returns the log entries of `subject`, sorted by time, or a Failure.

    `subject` is the id of a request, job or item; without an entry of it the
    result is a Failure. Any text before a line's JSON, such as a log
    collector's prefix, is skipped.
    """
    entries = []
    unreadable = 0
    for line in lines:
        _, brace, text = line.partition("{")
        if not brace or f'"{subject}"' not in text:
            continue
        try:
            fields = _line_decoder.decode(brace + text)
        except msgspec.DecodeError:
            unreadable += 1
            continue
        if _is_about(fields, subject):
            entries.append(_log_entry(fields))
    if not entries:
        reason = (
            f"no log entry for {subject};"
            f" {unreadable} lines could not be decoded"
        )
        return errors.Failure(errors.Kind.NOT_FOUND, reason)
    return sorted(entries, key=lambda entry: entry.at)


def _is_about(fields, subject):
    return any(
        _field_text(fields, name) == subject for name in _SUBJECT_FIELDS
    )


def _field_text(fields, name):
    raw = fields.get(name)
    if raw is None:
        return ""
    value = msgspec.json.decode(raw)
    return value if isinstance(value, str) else str(value)


def _log_entry(fields):
    inputs = tuple(
        f"{name}={bytes(raw).decode()}"
        for name, raw in fields.items()
        if name not in _COMMON_FIELDS and bytes(raw) != b"null"
    )
    return LogEntry(
        _field_text(fields, "at"),
        _field_text(fields, "vm"),
        _field_text(fields, "event"),
        inputs,
    )
