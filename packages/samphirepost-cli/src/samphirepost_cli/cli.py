"""The console entry point of `samphirepost`."""

import sys

from samphirepost_cli import core


def main():
    """Runs the command of this process; exits with its status."""
    sys.exit(core.run_process())
