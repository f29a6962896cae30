"""The command line's story: parse, read the config, act, exit."""

import cappa

from samphirepost import errors
from samphirepost_cli import commands
from samphirepost_cli import environment
from samphirepost_cli import exits
from samphirepost_cli import output


def run(env, argv=None):
    """Runs the command in `argv`; returns the exit status."""
    parsed = cappa.parse(commands.Samphirepost, argv=argv, completion=False)
    command = parsed.command
    cfg = env.config(getattr(command, "config", ""))
    if isinstance(cfg, errors.Failure):
        return output.failure(env, cfg)
    from samphirepost_cli import actions

    try:
        return actions.run(command, actions.Context(env, cfg))
    except BrokenPipeError:
        return exits.Exit.OK


def standard(argv=None):
    """Runs the command of this process."""
    return run(environment.standard(), argv)
