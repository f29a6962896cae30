"""Parses the arguments, reads the configuration and runs the command."""

import cappa

from samphirepost import errors
from samphirepost_cli import commands
from samphirepost_cli import environment
from samphirepost_cli import exits
from samphirepost_cli import output


def run(env, argv=None):
    """Runs the command in `argv`; returns the exit status.

    A reader that closes the output early, as `head` does, is no failure.
    Raises SystemExit for --help and for invalid arguments.
    """
    parsed = cappa.parse(commands.Samphirepost, argv=argv, completion=False)
    command = parsed.command
    cfg = env.read_config(getattr(command, "config", ""))
    if isinstance(cfg, errors.Failure):
        return output.print_failure(env, cfg)
    from samphirepost_cli import actions

    try:
        return actions.run(command, actions.Context(env, cfg))
    except BrokenPipeError:
        return exits.Exit.OK


def run_process(argv=None):
    """Runs the command in this process's environment; returns its status."""
    return run(environment.from_process(), argv)
