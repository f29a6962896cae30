"""The exit statuses of `samphirepost`."""

import enum


class Exit(enum.IntEnum):
    """The result of a command; scripts may rely on the numbers."""

    OK = 0
    FAILED = 1
    USAGE = 2
    REFUSED = 3
    UNKNOWN = 4
    NOT_FINISHED = 5
    NOT_ACTIVE = 6
    UNREACHABLE = 7
