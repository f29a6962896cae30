"""The commands, their arguments and help, declared in one place."""

import dataclasses
import typing

import cappa

_Config = typing.Annotated[
    str,
    cappa.Arg(
        long=True,
        short=True,
        help="Config file; else SAMPHIREPOST_CONFIG names it.",
    ),
]
_Json = typing.Annotated[
    bool, cappa.Arg(long=True, help="Print JSON in place of text.")
]
_Key = typing.Annotated[
    str,
    cappa.Arg(
        long=True, short=True, help="Idempotency key; send it again to retry."
    ),
]
_Work = typing.Annotated[str, cappa.Arg(help="Id of the job or request.")]
_Wait = typing.Annotated[
    float, cappa.Arg(long=True, help="How long to wait (s).")
]
_Timeout = typing.Annotated[
    int,
    cappa.Arg(long=True, help="Deadline in ms from now; 0 takes the default."),
]


@cappa.command(
    name="apply",
    help="Check both tables and put them in force.",
    description="Example: samphirepost apply routes.json pools.json",
)
@dataclasses.dataclass(slots=True)
class Apply:
    """Check both tables and put them in force."""

    routes: typing.Annotated[str, cappa.Arg(help="Routes file.")]
    pools: typing.Annotated[str, cappa.Arg(help="Pools file.")]
    expected: typing.Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Revision the edit was made from; -1 takes the newest.",
        ),
    ] = -1
    note: typing.Annotated[
        str, cappa.Arg(long=True, help="Note for the audit trail.")
    ] = ""
    wait: _Wait = 5.0
    config: _Config = ""


@cappa.command(
    name="check",
    help="Check both tables without a daemon.",
    description="Example: samphirepost check routes.json pools.json",
)
@dataclasses.dataclass(slots=True)
class Check:
    """Check both tables without a daemon."""

    routes: typing.Annotated[str, cappa.Arg(help="Routes file.")]
    pools: typing.Annotated[str, cappa.Arg(help="Pools file.")]


@cappa.command(
    name="diff",
    help="Show what applying both tables would change.",
    description="Example: samphirepost diff routes.json pools.json",
)
@dataclasses.dataclass(slots=True)
class Diff:
    """Show what applying both tables would change."""

    routes: typing.Annotated[str, cappa.Arg(help="Routes file.")]
    pools: typing.Annotated[str, cappa.Arg(help="Pools file.")]
    json: _Json = False
    config: _Config = ""


@cappa.command(
    name="show",
    help="Show the tables in force.",
    description="Example: samphirepost show --json",
)
@dataclasses.dataclass(slots=True)
class Show:
    """Show the tables in force."""

    json: _Json = False
    config: _Config = ""


@cappa.command(
    name="history",
    help="Show who changed the tables, and when.",
    description="Example: samphirepost history",
)
@dataclasses.dataclass(slots=True)
class History:
    """Show who changed the tables, and when."""

    json: _Json = False
    config: _Config = ""


@cappa.command(
    name="members",
    help="Show the live daemons.",
    description="Example: samphirepost members",
)
@dataclasses.dataclass(slots=True)
class Members:
    """Show the live daemons."""

    json: _Json = False
    config: _Config = ""


@cappa.command(
    name="complete",
    help="Ask a route for a completion and stream it.",
    description="Example: samphirepost complete care-note 'Lily depth?'",
)
@dataclasses.dataclass(slots=True)
class Complete:
    """Ask a route for a completion and stream it."""

    route: typing.Annotated[str, cappa.Arg(help="Route.")]
    prompt: typing.Annotated[str, cappa.Arg(help="Prompt.")]
    max_tokens: typing.Annotated[
        int, cappa.Arg(long=True, help="Most tokens to answer with.")
    ] = 64
    key: _Key = ""
    timeout: _Timeout = 0
    json: _Json = False
    config: _Config = ""


@cappa.command(
    name="call",
    help="Call a plain service behind a route with a JSON body.",
    description="Example: samphirepost call bill '{}' --key bill-17",
)
@dataclasses.dataclass(slots=True)
class Call:
    """Call a plain service behind a route with a JSON body."""

    route: typing.Annotated[str, cappa.Arg(help="Route.")]
    body: typing.Annotated[str, cappa.Arg(help="JSON body; - reads it.")]
    key: _Key = ""
    timeout: _Timeout = 0
    config: _Config = ""


@cappa.command(
    name="result",
    help="Read the stored answer of an online request.",
    description="Example: samphirepost result req-003-1f2e",
)
@dataclasses.dataclass(slots=True)
class Result:
    """Read the stored answer of an online request."""

    work: _Work
    config: _Config = ""


@cappa.command(
    name="submit",
    help="Upload a batch job of JSON lines.",
    description="Example: samphirepost submit orders.jsonl --key evening",
)
@dataclasses.dataclass(slots=True)
class Submit:
    """Upload a batch job of JSON lines."""

    file: typing.Annotated[str, cappa.Arg(help="JSONL file; - reads it.")]
    key: _Key = ""
    timeout: _Timeout = 0
    config: _Config = ""


@cappa.command(
    name="status",
    help="Show where a job stands; --wait waits for its end.",
    description="Example: samphirepost status job-003-1f2e --wait 60",
)
@dataclasses.dataclass(slots=True)
class Status:
    """Show where a job stands; --wait waits for its end."""

    work: _Work
    wait: _Wait = 0.0
    json: _Json = False
    config: _Config = ""


@cappa.command(
    name="results",
    help="Print the results of a completed job.",
    description="Example: samphirepost results job-003-1f2e > results.jsonl",
)
@dataclasses.dataclass(slots=True)
class Results:
    """Print the results of a completed job."""

    work: _Work
    config: _Config = ""


@cappa.command(
    name="cancel",
    help="Cancel a job.",
    description="Example: samphirepost cancel job-003-1f2e",
)
@dataclasses.dataclass(slots=True)
class Cancel:
    """Cancel a job."""

    work: _Work
    config: _Config = ""


@cappa.command(
    name="explain",
    help="Tell from log lines what became of a request, job or item.",
    description="Example: cat vm-*.log | samphirepost explain 9c41d07b",
)
@dataclasses.dataclass(slots=True)
class Explain:
    """Tell from log lines what became of a request, job or item."""

    subject: typing.Annotated[
        str, cappa.Arg(help="Id of the request, job or item.")
    ]
    logs: typing.Annotated[
        str, cappa.Arg(help="Log file of any daemons; - reads them.")
    ] = "-"
    json: _Json = False
    config: _Config = ""


Command = (
    Apply
    | Check
    | Diff
    | Show
    | History
    | Members
    | Complete
    | Call
    | Result
    | Submit
    | Status
    | Results
    | Cancel
    | Explain
)


@cappa.command(
    name="samphirepost",
    help="Online and batch inference on one fleet.",
    description=(
        "Callers use complete, call, result, submit, status, results and"
        " cancel. Operators use check, diff, apply, show, history,"
        " members and explain."
    ),
)
@dataclasses.dataclass(slots=True)
class Samphirepost:
    """The command line."""

    command: cappa.Subcommands[Command]
