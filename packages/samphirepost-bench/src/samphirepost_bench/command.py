"""Command line of the current run, recorded with its figures."""

import sys


def line():
    """Returns the command line that repeats this run."""
    return " ".join(["python -m samphirepost_bench", *sys.argv[1:]])
