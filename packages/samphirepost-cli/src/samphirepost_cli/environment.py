"""What a command runs in: streams, clock and where the daemons are."""

import os
import sys
import time

import msgspec

from samphirepost import jsonc

CONFIG_VARIABLE = "SAMPHIREPOST_CONFIG"


class Config(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Where a caller or operator reaches a daemon, and the token."""

    online: str = "http://127.0.0.1:7001"
    batch: str = "http://127.0.0.1:7002"
    operator: str = "http://127.0.0.1:7003"
    token: str = ""


class Environment:
    """The streams and the config; a test passes its own."""

    def __init__(self, stdin, stdout, stderr, variables):
        self.stdin = stdin
        self.stdout = stdout
        self.stderr = stderr
        self._variables = variables

    @property
    def on_terminal(self):
        """Whether a person reads the output."""
        return self.stdout.isatty()

    def config(self, path):
        """Returns the Config in a file, or a Failure."""
        path = path or self._variables.get(CONFIG_VARIABLE, "")
        if not path:
            return Config()
        return jsonc.read(path, Config)

    def monotonic_s(self):
        """Returns the monotonic time."""
        return time.monotonic()

    def pause(self, seconds):
        """Waits between two questions to a daemon."""
        time.sleep(seconds)


def standard():
    """Returns the environment of this process."""
    return Environment(sys.stdin, sys.stdout, sys.stderr, os.environ)
