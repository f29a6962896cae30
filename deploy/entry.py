"""Runs the entry daemon from a checkout: entry.py SETTINGS."""

import pathlib
import signal
import sys

# Until core handles SIGHUP, it would end the process without a log line. The
# settings are read after the imports anyway.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

_PACKAGES = pathlib.Path(__file__).resolve().parent.parent / "packages"
for _name in ("samphirepost", "samphirepost-daemon"):
    sys.path.insert(0, str(_PACKAGES / _name / "src"))

from samphirepost_daemon.entry import core  # noqa: E402

if __name__ == "__main__":
    core.main(sys.argv[1])
