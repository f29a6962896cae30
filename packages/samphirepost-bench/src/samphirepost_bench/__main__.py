"""Runs a stand-in, the demo or an experiment; see --help."""

import dataclasses
import pathlib
import sys
import time
import typing

import cappa

_Port = typing.Annotated[int, cappa.Arg(long=True, help="Port to listen on.")]


@cappa.command(name="platform", help="Runs the platform's stand-in.")
@dataclasses.dataclass
class Platform:
    """The platform's stand-in."""

    port: _Port

    def __call__(self):
        from samphirepost_bench import platform

        platform.run("127.0.0.1", self.port)


@cappa.command(name="engine", help="Runs an engine's stand-in.")
@dataclasses.dataclass
class Engine:
    """An engine's stand-in."""

    port: _Port
    name: typing.Annotated[str, cappa.Arg(long=True, help="Its id.")]
    scale: typing.Annotated[
        float, cappa.Arg(long=True, help="Factor on the step time.")
    ] = 1.0
    checks_orders: typing.Annotated[
        bool, cappa.Arg(long=True, help="Refuse old fencing numbers.")
    ] = False

    def __call__(self):
        from samphirepost_bench import engine

        engine.run(
            self.name, "127.0.0.1", self.port, self.checks_orders, self.scale
        )


@cappa.command(name="service", help="Runs a plain service's stand-in.")
@dataclasses.dataclass
class Service:
    """A plain service's stand-in."""

    port: _Port

    def __call__(self):
        from samphirepost_bench import service

        service.run("127.0.0.1", self.port)


@cappa.command(name="demo", help="Runs the whole system through a failure.")
@dataclasses.dataclass
class Demo:
    """The demo."""

    items: typing.Annotated[
        int, cappa.Arg(long=True, help="Items of the batch.")
    ] = 300

    def __call__(self):
        from samphirepost_bench import demo

        return demo.run(self.items)


@cappa.command(name="mutate", help="Checks that tests catch mutations.")
@dataclasses.dataclass
class Mutate:
    """The mutation check; run from the root of a checkout."""

    only: typing.Annotated[
        str, cappa.Arg(long=True, help="Part of a mutation's name.")
    ] = ""

    def __call__(self):
        from samphirepost_bench import mutate

        return 1 if mutate.run(pathlib.Path.cwd(), self.only) else 0


@cappa.command(name="experiment", help="Compares policies under load.")
@dataclasses.dataclass
class Experiment:
    """Online and batch work on one fleet, by policy."""

    users: typing.Annotated[
        str, cappa.Arg(long=True, help="Whose fleet: nurseries or umoja.")
    ] = "nurseries"
    daemons: typing.Annotated[
        int, cappa.Arg(long=True, help="Daemons to start.")
    ] = 3
    folder: typing.Annotated[
        str, cappa.Arg(long=True, help="Where to write JSON and plots.")
    ] = "docs/runs"
    only: typing.Annotated[
        str, cappa.Arg(long=True, help="Part of a variant's name.")
    ] = ""

    def __call__(self):
        from samphirepost_bench import experiment

        return experiment.run(self.users, self.daemons, self.folder, self.only)


_Folder = typing.Annotated[
    str, cappa.Arg(long=True, help="Where to write JSON and plots.")
]


@cappa.command(name="slopes", help="Measures slopes; writes CAPACITY.md.")
@dataclasses.dataclass
class Slopes:
    """The slopes of every role."""

    folder: _Folder = "docs/runs"
    quick: typing.Annotated[
        bool, cappa.Arg(long=True, help="Keep the last idle daemons' run.")
    ] = False

    def __call__(self):
        from samphirepost_bench import slopes

        return slopes.run(self.folder, self.quick)


@cappa.command(name="relay", help="Measures the relay of tokens.")
@dataclasses.dataclass
class Relay:
    """The relay alone."""

    folder: _Folder = "docs/runs"

    def __call__(self):
        from samphirepost_bench import relay

        return relay.run(self.folder)


@cappa.command(name="dispatch", help="Measures a daemon's own delay.")
@dataclasses.dataclass
class Dispatch:
    """The daemon's share of the time to the first token."""

    folder: _Folder = "docs/runs"

    def __call__(self):
        from samphirepost_bench import relay

        return relay.dispatch(self.folder)


@cappa.command(name="faults", help="Runs a schedule of faults under load.")
@dataclasses.dataclass
class Faults:
    """Faults under load."""

    folder: _Folder = "docs/runs"

    def __call__(self):
        from samphirepost_bench import faults

        return faults.run(self.folder)


@cappa.command(name="soak", help="Plays random faults against daemons.")
@dataclasses.dataclass
class Soak:
    """The fault soak, a run a seed."""

    seed: typing.Annotated[
        int, cappa.Arg(long=True, help="The first seed; 0: a fresh one.")
    ] = 0
    runs: typing.Annotated[
        int, cappa.Arg(long=True, help="Seeds to play, one after another.")
    ] = 1
    seconds: typing.Annotated[
        float, cappa.Arg(long=True, help="How long faults come (s).")
    ] = 15.0

    def __call__(self):
        from samphirepost_bench import soak

        first = self.seed or int(time.time())
        red = soak.run(range(first, first + self.runs), self.seconds)
        return 1 if red else 0


Command = (
    Platform
    | Engine
    | Service
    | Demo
    | Mutate
    | Experiment
    | Slopes
    | Relay
    | Dispatch
    | Faults
    | Soak
)


@cappa.command(
    name="samphirepost_bench",
    help="Stand-ins, load and experiments for samphirepost.",
)
@dataclasses.dataclass
class Bench:
    """The bench's command line."""

    command: cappa.Subcommands[Command]


if __name__ == "__main__":
    parsed = cappa.parse(Bench, completion=False)
    sys.exit(parsed.command() or 0)
