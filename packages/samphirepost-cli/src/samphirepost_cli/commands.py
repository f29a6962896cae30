"""Declares the commands with their arguments and help texts."""

import dataclasses
import typing

import cappa

_Config = typing.Annotated[
    str,
    cappa.Arg(
        long=True,
        short=True,
        help="Config file; default: the one that SAMPHIREPOST_CONFIG names.",
    ),
]
_Json = typing.Annotated[
    bool, cappa.Arg(long=True, help="Print JSON instead of text.")
]
_Key = typing.Annotated[
    str,
    cappa.Arg(
        long=True, short=True, help="Idempotency key; reuse it to retry."
    ),
]
_WorkId = typing.Annotated[str, cappa.Arg(help="Id of the job or request.")]
_Wait = typing.Annotated[
    float, cappa.Arg(long=True, help="How long to wait (s).")
]
_Timeout = typing.Annotated[
    int,
    cappa.Arg(long=True, help="Deadline in ms from now; 0: the default."),
]


@cappa.command(
    name="apply",
    help="Check both tables and apply them.",
    description="Example: samphirepost apply routes.json pools.json",
)
@dataclasses.dataclass(slots=True)
class Apply:
    """Check both tables and apply them."""

    routes: typing.Annotated[str, cappa.Arg(help="Routes file.")]
    pools: typing.Annotated[str, cappa.Arg(help="Pools file.")]
    expected: typing.Annotated[
        int,
        cappa.Arg(
            long=True,
            help="Revision the edit was made from; -1: the newest.",
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
    help="Show the active tables.",
    description="Example: samphirepost show --json",
)
@dataclasses.dataclass(slots=True)
class Show:
    """Show the active tables."""

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
    help="Request a completion from a route and stream it.",
    description="Example: samphirepost complete care-note 'Lily depth?'",
)
@dataclasses.dataclass(slots=True)
class Complete:
    """Request a completion from a route and stream it."""

    route: typing.Annotated[str, cappa.Arg(help="Route.")]
    prompt: typing.Annotated[str, cappa.Arg(help="Prompt.")]
    max_tokens: typing.Annotated[
        int, cappa.Arg(long=True, help="Maximum number of output tokens.")
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
    body: typing.Annotated[
        str, cappa.Arg(help="JSON body; -: read standard input.")
    ]
    key: _Key = ""
    timeout: _Timeout = 0
    config: _Config = ""


@cappa.command(
    name="result",
    help="Print the stored response to an online request.",
    description="Example: samphirepost result req-003-1f2e",
)
@dataclasses.dataclass(slots=True)
class Result:
    """Print the stored response to an online request."""

    work: _WorkId
    config: _Config = ""


@cappa.command(
    name="submit",
    help="Submit a batch job of JSON lines.",
    description="Example: samphirepost submit orders.jsonl --key evening",
)
@dataclasses.dataclass(slots=True)
class Submit:
    """Submit a batch job of JSON lines."""

    file: typing.Annotated[
        str, cappa.Arg(help="JSONL file; -: read standard input.")
    ]
    key: _Key = ""
    timeout: _Timeout = 0
    config: _Config = ""


@cappa.command(
    name="status",
    help="Show the status of a job; --wait waits until it is finished.",
    description="Example: samphirepost status job-003-1f2e --wait 60",
)
@dataclasses.dataclass(slots=True)
class Status:
    """Show the status of a job; --wait waits until it is finished."""

    work: _WorkId
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

    work: _WorkId
    config: _Config = ""


@cappa.command(
    name="cancel",
    help="Cancel a job.",
    description="Example: samphirepost cancel job-003-1f2e",
)
@dataclasses.dataclass(slots=True)
class Cancel:
    """Cancel a job."""

    work: _WorkId
    config: _Config = ""


@cappa.command(
    name="explain",
    help="Show the logged events of a request, job or item, in order.",
    description="Example: cat vm-*.log | samphirepost explain 9c41d07b",
)
@dataclasses.dataclass(slots=True)
class Explain:
    """Show the logged events of a request, job or item, in order."""

    subject: typing.Annotated[
        str, cappa.Arg(help="Id of the request, job or item.")
    ]
    logs: typing.Annotated[
        str,
        cappa.Arg(help="Log of one or more daemons; -: read standard input."),
    ] = "-"
    json: _Json = False
    config: _Config = ""


@cappa.command(
    name="where",
    help="Tell where a request or job would go now, without sending it.",
    description="Example: samphirepost where shop.example /notes/1",
)
@dataclasses.dataclass(slots=True)
class Where:
    """Tell where a request or job would go now, without sending it."""

    host: typing.Annotated[str, cappa.Arg(help="Host of the request.")]
    path: typing.Annotated[str, cappa.Arg(help="Path of the request.")]
    organisation: typing.Annotated[
        str, cappa.Arg(long=True, help="Organisation that sends it.")
    ] = ""
    prompt: typing.Annotated[
        str,
        cappa.Arg(long=True, help="Parts of its prompt: ID:TOKENS,..."),
    ] = ""
    at: typing.Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Readiness address (IP:PORT) of the daemon to ask; default:"
            " that of the config.",
        ),
    ] = ""
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
    | Where
)


@cappa.command(
    name="samphirepost",
    help="Online and batch inference on one fleet.",
    description=(
        "Callers use complete, call, result, submit, status, results and"
        " cancel. Operators use check, diff, apply, show, history,"
        " members, explain and where."
    ),
)
@dataclasses.dataclass(slots=True)
class Samphirepost:
    """The root command; it holds the subcommand that was parsed."""

    command: cappa.Subcommands[Command]
