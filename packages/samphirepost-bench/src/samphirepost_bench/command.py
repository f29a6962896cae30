"""The command line of a run, as it is written beside its figures."""

import sys


def line():
    """Returns the command that repeats this run."""
    return " ".join(["python -m samphirepost_bench", *sys.argv[1:]])
