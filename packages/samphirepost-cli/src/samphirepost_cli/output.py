"""Prints values: JSON for programs, aligned text for people."""

import msgspec

from samphirepost import errors
from samphirepost_cli import exits

_EXITS = {
    errors.Kind.NOT_FINISHED: exits.Exit.NOT_FINISHED,
    errors.Kind.PEER_UNREACHABLE: exits.Exit.UNREACHABLE,
    errors.Kind.BAD_SETTINGS: exits.Exit.USAGE,
}


def line(env, text):
    """Prints one line."""
    env.stdout.write(text + "\n")


def piece(env, text):
    """Prints a piece of text at once."""
    env.stdout.write(text)
    env.stdout.flush()


def json(env, value):
    """Prints a value as JSON, indented for a person."""
    data = msgspec.json.encode(value)
    if env.on_terminal:
        data = msgspec.json.format(data, indent=2)
    line(env, data.decode())


def rows(env, header, found):
    """Prints rows in columns; the header only for a person."""
    shown = [tuple(str(cell) for cell in row) for row in found]
    if env.on_terminal:
        shown.insert(0, header)
    widths = [max(len(row[i]) for row in shown) for i in range(len(header))]
    for row in shown:
        cells = [c.ljust(w) for c, w in zip(row, widths, strict=True)]
        line(env, "  ".join(cells).rstrip())


def failure(env, found):
    """Prints a failure in one line; returns the exit status."""
    outcome = found.outcome.value.replace("_", " ")
    env.stderr.write(
        f"samphirepost: {found.kind.value}: {found.reason} ({outcome})\n"
    )
    status = _EXITS.get(found.kind)
    if status is not None:
        return status
    if found.outcome is errors.Outcome.UNKNOWN:
        return exits.Exit.UNKNOWN
    return exits.Exit.REFUSED
