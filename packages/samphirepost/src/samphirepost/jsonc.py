"""Reads JSON with comments into typed values, checked."""

import json5
import msgspec

from samphirepost import errors


def parse(text, kind, source):
    """Returns a value of type `kind`, or a Failure naming file and path.

    Unknown fields, wrong types and bad syntax are all refused.
    """
    try:
        document = json5.loads(text)
    except ValueError as exc:
        return _bad(source, str(exc))
    try:
        return msgspec.convert(document, type=kind)
    except msgspec.ValidationError as exc:
        return _bad(source, str(exc))


def read(path, kind):
    """Returns the typed value that the file at `path` holds, or a Failure."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        return _bad(path, exc.strerror)
    return parse(text, kind, path)


def _bad(source, reason):
    return errors.Failure(errors.Kind.BAD_SETTINGS, f"{source}: {reason}")
