"""The command line of samphirepostd."""

import enum
import os
import sys
import typing

import cappa

from samphirepost import errors
from samphirepost import settings


class Exit(enum.IntEnum):
    """Exit statuses."""

    OK = 0
    BAD_SETTINGS = 2


@cappa.command(
    name="samphirepostd",
    help="Runs one samphirepost daemon on an entry VM.",
    description=(
        "Example: samphirepostd --settings vm-1.json\n\n"
        "SIGTERM drains: the daemon reports not ready, finishes the requests"
        " in progress, releases its partitions and exits with 0."
    ),
)
class Samphirepostd:
    """The command line arguments."""

    settings: typing.Annotated[
        str,
        cappa.Arg(
            long=True, short=True, help="Settings file: JSON with comments."
        ),
    ]
    check: typing.Annotated[
        bool, cappa.Arg(long=True, help="Check the settings and exit.")
    ] = False

    def __init__(self, settings, check=False):
        self.settings = settings
        self.check = check


def main():
    """Reads the settings and runs the daemon."""
    args = cappa.parse(Samphirepostd, completion=False)
    cfg = settings.read(args.settings)
    if isinstance(cfg, errors.Failure):
        print(f"samphirepostd: {cfg.reason}", file=sys.stderr)
        sys.exit(Exit.BAD_SETTINGS)
    if args.check:
        print(f"{args.settings}: good")
        return
    from samphirepost_daemon import lifecycle

    lifecycle.run(cfg)
    sys.stderr.flush()
    os._exit(Exit.OK)
