"""The surroundings of a command: streams, clock and configuration."""

import os
import sys
import time

import msgspec

from samphirepost import jsonc

CONFIG_VARIABLE = "SAMPHIREPOST_CONFIG"


class Config(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The URLs of a daemon's listeners, and the caller's token.

    `readiness` is the readiness address of an entry daemon.
    """

    online: str = "http://127.0.0.1:7001"
    batch: str = "http://127.0.0.1:7002"
    operator: str = "http://127.0.0.1:7003"
    token: str = ""
    readiness: str = "http://127.0.0.1:7004"


class Environment:
    """The standard streams and environment variables; tests pass others."""

    def __init__(self, stdin, stdout, stderr, variables):
        self.stdin = stdin
        self.stdout = stdout
        self.stderr = stderr
        self._variables = variables

    @property
    def is_terminal(self):
        """Whether the output goes to a terminal."""
        return self.stdout.isatty()

    def read_config(self, path):
        """Returns the Config in a file, or a Failure.

        Without a path, SAMPHIREPOST_CONFIG names the file; if that is not
        set either, the defaults are returned.
        """
        path = path or self._variables.get(CONFIG_VARIABLE, "")
        if not path:
            return Config()
        return jsonc.read(path, Config)

    def monotonic_s(self):
        """Returns the monotonic time (s)."""
        return time.monotonic()

    def sleep(self, seconds):
        """Sleeps between two polls of a daemon."""
        time.sleep(seconds)


def from_process():
    """Returns the environment of this process."""
    return Environment(sys.stdin, sys.stdout, sys.stderr, os.environ)
