"""Command line of the emulators, the demo and the experiments."""

import dataclasses
import pathlib
import sys
import time
import typing

import cappa

_Port = typing.Annotated[int, cappa.Arg(long=True, help="Port to listen on.")]
_Seed = typing.Annotated[
    int, cappa.Arg(long=True, help="First seed; 0: from the clock.")
]
_Unframed = typing.Annotated[
    bool,
    cappa.Arg(
        long=True,
        help="Engines have few slots and answer without a length.",
    ),
]
_Runs = typing.Annotated[
    int, cappa.Arg(long=True, help="Number of consecutive seeds to run.")
]
_Build = typing.Annotated[
    str, cappa.Arg(long=True, help="Commit of the daemons' build.")
]


def _program(build):
    """Returns the entry program of a build, or None without one."""
    from samphirepost_bench import upgrade

    return upgrade.extract(build) if build else None


def _new_engine(unframed):
    """Returns what makes the engines of a fleet."""
    from samphirepost_bench import entryfleet
    from samphirepost_bench import streamengine

    return entryfleet.unframed_engine if unframed else streamengine.Engine


def _seeds(first, runs):
    first = first or int(time.time())
    return range(first, first + runs)


@cappa.command(name="platform", help="Runs the platform emulator.")
@dataclasses.dataclass
class Platform:
    """The platform emulator: table service, object store, VM list."""

    port: _Port

    def __call__(self):
        from samphirepost_bench import platform

        platform.run("127.0.0.1", self.port)


@cappa.command(name="engine", help="Runs an engine emulator.")
@dataclasses.dataclass
class Engine:
    """The emulator of one model engine."""

    port: _Port
    name: typing.Annotated[str, cappa.Arg(long=True, help="Id of the engine.")]
    scale: typing.Annotated[
        float, cappa.Arg(long=True, help="Factor on the step duration.")
    ] = 1.0
    checks_orders: typing.Annotated[
        bool,
        cappa.Arg(long=True, help="Refuse orders with an old fencing number."),
    ] = False

    def __call__(self):
        from samphirepost_bench import engine

        engine.run(
            self.name, "127.0.0.1", self.port, self.checks_orders, self.scale
        )


@cappa.command(
    name="stream-engine", help="Runs an engine that answers without a length."
)
@dataclasses.dataclass
class StreamEngine:
    """The emulator of an engine behind the entry daemon."""

    name: typing.Annotated[str, cappa.Arg(long=True, help="Id of the engine.")]
    events: typing.Annotated[
        int, cappa.Arg(long=True, help="Number of events of its answers.")
    ] = 8
    interval: typing.Annotated[
        float, cappa.Arg(long=True, help="Time between two events (s).")
    ] = 0.01
    slots: typing.Annotated[
        int, cappa.Arg(long=True, help="Number of slots that it names.")
    ] = 8

    def __call__(self):
        from samphirepost_bench import entryfleet
        from samphirepost_bench import streamengine

        engine = streamengine.Engine(
            self.name, self.events, self.interval, slots=self.slots
        )
        engine.unframed = True
        streamengine.run(engine, entryfleet.POOL)


@cappa.command(name="service", help="Runs a plain service emulator.")
@dataclasses.dataclass
class Service:
    """The emulator of one plain service."""

    port: _Port

    def __call__(self):
        from samphirepost_bench import service

        service.run("127.0.0.1", self.port)


@cappa.command(name="demo", help="Runs the whole system and kills a daemon.")
@dataclasses.dataclass
class Demo:
    """The demo: online streams and a batch job while a daemon fails."""

    items: typing.Annotated[
        int, cappa.Arg(long=True, help="Number of items in the batch job.")
    ] = 300

    def __call__(self):
        from samphirepost_bench import demo

        return demo.run(self.items)


@cappa.command(name="mutate", help="Checks that tests catch mutations.")
@dataclasses.dataclass
class Mutate:
    """The mutation check; must run from the root of a checkout."""

    only: typing.Annotated[
        str, cappa.Arg(long=True, help="Part of the mutations' names.")
    ] = ""

    def __call__(self):
        from samphirepost_bench import mutate

        return 1 if mutate.run(pathlib.Path.cwd(), self.only) else 0


@cappa.command(
    name="reserve-model", help="Compares rules for the reserve of slots."
)
@dataclasses.dataclass
class ReserveModel:
    """The rules for the slots that items leave free, in a model."""

    seed: typing.Annotated[
        int, cappa.Arg(long=True, help="Seed of the model.")
    ] = 1
    online: typing.Annotated[
        float,
        cappa.Arg(long=True, help="Time an online request has a slot (s)."),
    ] = 0.7

    def __call__(self):
        from samphirepost_bench import reservemodel

        reservemodel.print_table(self.seed, self.online)


@cappa.command(name="experiment", help="Compares policies under load.")
@dataclasses.dataclass
class Experiment:
    """Online and batch work on one fleet, compared by policy."""

    users: typing.Annotated[
        str, cappa.Arg(long=True, help="Fleet to emulate: nurseries or umoja.")
    ] = "nurseries"
    daemons: typing.Annotated[
        int, cappa.Arg(long=True, help="Number of daemons to start.")
    ] = 3
    folder: typing.Annotated[
        str, cappa.Arg(long=True, help="Where to write JSON and plots.")
    ] = "docs/runs"
    only: typing.Annotated[
        str, cappa.Arg(long=True, help="Part of the variants' names.")
    ] = ""

    def __call__(self):
        from samphirepost_bench import experiment

        return experiment.run(self.users, self.daemons, self.folder, self.only)


_Folder = typing.Annotated[
    str, cappa.Arg(long=True, help="Where to write JSON and plots.")
]


@cappa.command(
    name="slopes", help="Measures cost by size; writes docs/SLOPES.md."
)
@dataclasses.dataclass
class Slopes:
    """How the cost of each role grows with its size."""

    folder: _Folder = "docs/runs"
    quick: typing.Annotated[
        bool,
        cappa.Arg(long=True, help="Reuse the last idle-daemon figures."),
    ] = False

    def __call__(self):
        from samphirepost_bench import slopes

        return slopes.run(self.folder, self.quick)


@cappa.command(name="relay", help="Measures the cost of relaying tokens.")
@dataclasses.dataclass
class Relay:
    """Processor time of one daemon that relays streams."""

    folder: _Folder = "docs/runs"

    def __call__(self):
        from samphirepost_bench import relay

        return relay.run(self.folder)


@cappa.command(name="dispatch", help="Measures the delay that a daemon adds.")
@dataclasses.dataclass
class Dispatch:
    """The daemon's share of the time to first token."""

    folder: _Folder = "docs/runs"

    def __call__(self):
        from samphirepost_bench import relay

        return relay.run_dispatch(self.folder)


@cappa.command(name="faults", help="Runs a schedule of faults under load.")
@dataclasses.dataclass
class Faults:
    """A fixed schedule of faults under online and batch load."""

    folder: _Folder = "docs/runs"

    def __call__(self):
        from samphirepost_bench import faults

        return faults.run(self.folder)


@cappa.command(name="soak", help="Injects random faults into running daemons.")
@dataclasses.dataclass
class Soak:
    """The fault soak: one run for each seed."""

    seed: _Seed = 0
    runs: _Runs = 1
    seconds: typing.Annotated[
        float, cappa.Arg(long=True, help="How long faults are injected (s).")
    ] = 15.0
    unframed: _Unframed = False
    organisations: typing.Annotated[
        bool, cappa.Arg(long=True, help="Callers have keys and quotas.")
    ] = False
    endless: typing.Annotated[
        bool, cappa.Arg(long=True, help="Answers to some items have no end.")
    ] = False
    bodies: typing.Annotated[
        bool, cappa.Arg(long=True, help="Items have large bodies.")
    ] = False

    def __call__(self):
        from samphirepost_bench import entryfleet
        from samphirepost_bench import soak

        failed = soak.run(
            _seeds(self.seed, self.runs),
            self.seconds,
            new_engine=entryfleet.endless_engine
            if self.endless
            else _new_engine(self.unframed),
            has_organisations=self.organisations,
            has_large_bodies=self.bodies,
        )
        return 1 if failed else 0


@cappa.command(name="drains", help="Measures requests to engines that leave.")
@dataclasses.dataclass
class Drains:
    """Engines leave real daemons one after the other, beside faults."""

    seed: _Seed = 0
    runs: _Runs = 1
    leaves: typing.Annotated[
        int, cappa.Arg(long=True, help="Engines that leave in each run.")
    ] = 12

    def __call__(self):
        from samphirepost_bench import drains

        late = drains.run(_seeds(self.seed, self.runs), self.leaves)
        return 1 if late else 0


@cappa.command(
    name="upgrade", help="Replaces an older build under traffic, and back."
)
@dataclasses.dataclass
class Upgrade:
    """Daemons of two builds side by side."""

    old: typing.Annotated[
        str, cappa.Arg(long=True, help="Commit of the older build.")
    ]
    seed: _Seed = 0
    runs: _Runs = 1
    unframed: _Unframed = False

    def __call__(self):
        from samphirepost_bench import upgrade

        failed = upgrade.run(
            _seeds(self.seed, self.runs),
            self.old,
            new_engine=_new_engine(self.unframed),
        )
        return 1 if failed else 0


@cappa.command(
    name="kills", help="Kills engines that answer without a length."
)
@dataclasses.dataclass
class Kills:
    """Engines are killed in the middle of their answers."""

    seed: _Seed = 0
    runs: _Runs = 1
    kills: typing.Annotated[
        int, cappa.Arg(long=True, help="Engines that are killed in each run.")
    ] = 15
    build: _Build = ""

    def __call__(self):
        from samphirepost_bench import kills

        program = _program(self.build)
        failed = kills.run(_seeds(self.seed, self.runs), self.kills, program)
        return 1 if failed else 0


@cappa.command(
    name="stuckpools",
    help="Services that cannot run their items, beside sound ones.",
)
@dataclasses.dataclass
class StuckPools:
    """Jobs of sound services beside those of lost, slow and busy ones."""

    seed: _Seed = 0
    runs: _Runs = 1
    build: _Build = ""

    def __call__(self):
        from samphirepost_bench import stuckpools

        failed = stuckpools.run(
            _seeds(self.seed, self.runs), _program(self.build)
        )
        return 1 if failed else 0


@cappa.command(
    name="resets", help="Connections to sound engines end at one moment."
)
@dataclasses.dataclass
class Resets:
    """Requests and items whose connections end; no engine crashes."""

    seed: _Seed = 0
    runs: _Runs = 1
    build: _Build = ""

    def __call__(self):
        from samphirepost_bench import resets

        failed = resets.run(_seeds(self.seed, self.runs), _program(self.build))
        return 1 if failed else 0


@cappa.command(
    name="brokenanswers",
    help="Engines break answers off, answer twice and die.",
)
@dataclasses.dataclass
class BrokenAnswers:
    """Engines end their answers where that may pass for their end."""

    seed: _Seed = 0
    runs: _Runs = 1
    kills: typing.Annotated[
        int, cappa.Arg(long=True, help="Processes that are killed in a run.")
    ] = 15
    build: _Build = ""
    beside: typing.Annotated[
        str, cappa.Arg(long=True, help="Commit of one daemon's build.")
    ] = ""
    swift: typing.Annotated[
        bool,
        cappa.Arg(
            long=True,
            help="Engines start again with other software at once.",
        ),
    ] = False

    def __call__(self):
        from samphirepost_bench import brokenanswers
        from samphirepost_bench import entryfleet
        from samphirepost_bench import upgrade

        program = entryfleet.ENTRY_PROGRAM
        if self.build:
            program = upgrade.extract(self.build)
        programs = [program] * 3
        if self.beside:
            programs[0] = upgrade.extract(self.beside)
        found = brokenanswers.run(
            _seeds(self.seed, self.runs),
            self.kills,
            programs,
            is_swift=self.swift,
        )
        return 1 if any(one.violations for one in found) else 0


@cappa.command(
    name="answerload",
    help="Answers without end beside ordinary callers; checks memory.",
)
@dataclasses.dataclass
class AnswerLoad:
    """Engines, items and relays that put out without end, by seed."""

    seed: _Seed = 0
    runs: _Runs = 1

    def __call__(self):
        from samphirepost_bench import answerload

        found = answerload.run(_seeds(self.seed, self.runs))
        return 1 if any(one.violations for one in found) else 0


Command = (
    Platform
    | Engine
    | StreamEngine
    | Service
    | Demo
    | Mutate
    | ReserveModel
    | Experiment
    | Slopes
    | Relay
    | Dispatch
    | Faults
    | Soak
    | Drains
    | Upgrade
    | Kills
    | StuckPools
    | Resets
    | BrokenAnswers
    | AnswerLoad
)


@cappa.command(
    name="samphirepost_bench",
    help="Emulators, load generation and experiments for samphirepost.",
)
@dataclasses.dataclass
class Bench:
    """The command line with all its subcommands."""

    command: cappa.Subcommands[Command]


if __name__ == "__main__":
    parsed = cappa.parse(Bench, completion=False)
    sys.exit(parsed.command() or 0)
