"""Reads JSON with comments into validated, typed values."""

import json5
import msgspec

from samphirepost import errors


def parse(text, kind, source):
    """Returns a value of type `kind`, or a Failure that names the source.

    Invalid syntax, wrong types and, where `kind` forbids them, unknown
    fields are rejected.
    """
    try:
        document = json5.loads(text)
    except ValueError as exc:
        return _failure(source, str(exc))
    try:
        return msgspec.convert(document, type=kind)
    except msgspec.ValidationError as exc:
        return _failure(source, str(exc))


def read(path, kind):
    """Returns the value of type `kind` in the file at `path`, or a Failure."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except OSError as exc:
        return _failure(path, exc.strerror)
    return parse(text, kind, path)


def _failure(source, reason):
    return errors.Failure(errors.Kind.BAD_SETTINGS, f"{source}: {reason}")
