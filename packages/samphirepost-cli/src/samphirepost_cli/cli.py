"""The entry point of samphirepost."""

import sys

from samphirepost_cli import core


def main():
    """Runs the command line and exits with its status."""
    sys.exit(core.standard())
