"""Prints values as JSON or as aligned text."""

import msgspec

from samphirepost import errors
from samphirepost_cli import exits

_EXIT_BY_KIND = {
    errors.Kind.NOT_FINISHED: exits.Exit.NOT_FINISHED,
    errors.Kind.PEER_UNREACHABLE: exits.Exit.UNREACHABLE,
    errors.Kind.BAD_SETTINGS: exits.Exit.USAGE,
}


def print_line(env, text):
    """Prints one line."""
    env.stdout.write(text + "\n")


def print_text(env, text):
    """Prints text without a newline and flushes it."""
    env.stdout.write(text)
    env.stdout.flush()


def print_json(env, value):
    """Prints a value as JSON, indented on a terminal."""
    data = msgspec.json.encode(value)
    if env.is_terminal:
        data = msgspec.json.format(data, indent=2)
    print_line(env, data.decode())


def print_rows(env, header, rows):
    """Prints rows in aligned columns; the header only on a terminal."""
    text_rows = [tuple(str(cell) for cell in row) for row in rows]
    if env.is_terminal:
        text_rows.insert(0, header)
    widths = [
        max(len(row[i]) for row in text_rows) for i in range(len(header))
    ]
    for row in text_rows:
        cells = [c.ljust(w) for c, w in zip(row, widths, strict=True)]
        print_line(env, "  ".join(cells).rstrip())


def print_failure(env, found):
    """Prints a Failure as one line on standard error.

    Returns the command's exit status.
    """
    outcome = found.outcome.value.replace("_", " ")
    env.stderr.write(
        f"samphirepost: {found.kind.value}: {found.reason} ({outcome})\n"
    )
    status = _EXIT_BY_KIND.get(found.kind)
    if status is not None:
        return status
    if found.outcome is errors.Outcome.UNKNOWN:
        return exits.Exit.UNKNOWN
    return exits.Exit.REFUSED
