"""The typed messages between daemons."""

import enum

import msgspec

from samphirepost import errors
from samphirepost import records
from samphirepost import tables as tables_module


class Standing(enum.Enum):
    """What the ledger knows of a request when an attempt begins."""

    NEW = "new"
    GO = "go"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class Begin(msgspec.Struct, frozen=True, tag="begin"):
    """Asks whether an attempt may run."""

    work: str
    caller: str
    digest: str
    attempt: str
    daemon: str
    idempotent: bool
    deadline_unix_s: float


class BeginReply(msgspec.Struct, frozen=True, tag="begin_reply"):
    """The standing, and the result's place if it is finished."""

    standing: Standing
    reference: records.Reference | None = None


class Finish(msgspec.Struct, frozen=True, tag="finish"):
    """Offers a request's result."""

    work: str
    caller: str
    digest: str
    attempt: str
    idempotent: bool
    result: records.Result


class FinishReply(msgspec.Struct, frozen=True, tag="finish_reply"):
    """Whether the offered result is the one that is kept."""

    kept: bool
    reference: records.Reference | None = None


class Keep(msgspec.Struct, frozen=True, tag="keep"):
    """Asks a peer to hold a result in memory until it is durable."""

    finish: Finish


class NotSent(msgspec.Struct, frozen=True, tag="not_sent"):
    """Says that the attempt ended before anything was sent."""

    work: str
    attempt: str


class Unknowable(msgspec.Struct, frozen=True, tag="unknowable"):
    """Says that nobody will learn whether the attempt ran."""

    work: str
    attempt: str


class Fetch(msgspec.Struct, frozen=True, tag="fetch"):
    """Asks where a caller's result lies."""

    work: str
    caller: str


class Submit(msgspec.Struct, frozen=True, tag="submit"):
    """Offers a job whose items are already stored."""

    accepted: records.JobAccepted


class SubmitReply(msgspec.Struct, frozen=True, tag="submit_reply"):
    """The job is durable; `created` is False for a resend."""

    work: str
    created: bool


class Known(msgspec.Struct, frozen=True, tag="known"):
    """Asks whether a job with this id and digest was accepted already."""

    work: str
    caller: str
    digest: str


class Pull(msgspec.Struct, frozen=True, tag="pull"):
    """Asks for items of the given routes, up to `room`.

    `claim` is unique to this request; the grants' claims begin with it.
    """

    partition: int
    runner: str
    claim: str
    routes: tuple[str, ...]
    room: int
    alone: bool


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """Items handed to a runner."""

    claim: str
    accepted: records.JobAccepted
    items: tuple[int, ...]
    solo: bool


class PullReply(msgspec.Struct, frozen=True, tag="pull_reply"):
    """The grants, and whether more items wait."""

    grants: tuple[Grant, ...] = ()
    waiting: bool = False


class Renew(msgspec.Struct, frozen=True, tag="renew"):
    """Keeps a runner's claims in one partition."""

    partition: int
    runner: str
    claims: tuple[str, ...]


class RenewReply(msgspec.Struct, frozen=True, tag="renew_reply"):
    """The claims among them that the runner no longer holds."""

    lost: tuple[str, ...]


class ItemStart(msgspec.Struct, frozen=True, tag="item_start"):
    """Asks whether a non-idempotent item may be sent."""

    work: str
    item: int
    claim: str


class ItemResult(msgspec.Struct, frozen=True, tag="item_result"):
    """An item's result line and final state."""

    item: int
    state: int
    line: bytes


class ItemFinish(msgspec.Struct, frozen=True, tag="item_finish"):
    """Offers the results of a job's items under a claim."""

    work: str
    claim: str
    results: tuple[ItemResult, ...]


class Release(msgspec.Struct, frozen=True, tag="release"):
    """Hands items back unfinished, without blame."""

    work: str
    claim: str
    items: tuple[int, ...]


class Cancel(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels a caller's job."""

    work: str
    caller: str


class Status(msgspec.Struct, frozen=True, tag="status"):
    """Asks where a caller's job stands."""

    work: str
    caller: str


class JobStatus(msgspec.Struct, frozen=True, tag="job_status"):
    """A job's counts; `results` names the object once it is completed."""

    work: str
    phase: str
    total: int
    done: int
    failed: int
    unknown: int
    pending: int
    running: int
    deadline_unix_s: float
    results: str


class Done(msgspec.Struct, frozen=True, tag="done"):
    """The command took effect and is durable."""


class Member(msgspec.Struct, frozen=True):
    """A live daemon: who and where it is and which tables it has.

    `name` is unique to one start of a process.
    """

    name: str
    vm: str
    zone: str
    peer: str
    revision: int
    serving: bool
    partitions_waiting: tuple[int, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """A member tells its zone's coordinator that it is alive."""

    member: Member
    version: str


class Owner(msgspec.Struct, frozen=True, array_like=True):
    """A partition's owner as a coordinator sees it."""

    name: str
    epoch: int


class View(msgspec.Struct, frozen=True):
    """What a coordinator knows of all zones.

    `suspects` has the partitions that may be taken, with the revision at
    which their row has stood still; `coordinators` has a peer's address
    for each zone; `leaving` has the VMs that the platform lists so.
    """

    version: str
    members: tuple[Member, ...]
    owners: dict[int, Owner]
    suspects: dict[int, int]
    coordinators: dict[str, str]
    leaving: tuple[str, ...]
    revision: int


class HeartbeatReply(msgspec.Struct, frozen=True, tag="heartbeat_reply"):
    """The view if it changed, and how old the word of the tables is.

    `confirmed_age_s` is the time since the newest revision was known from
    the table service, or from a majority of zones while that is out.
    """

    confirmed_age_s: float
    revision: int
    view: View | None


class TablesPull(msgspec.Struct, frozen=True, tag="tables_pull"):
    """Asks a peer for its tables; `revision` is what the asker has."""

    revision: int = 0


class TablesReply(msgspec.Struct, frozen=True, tag="tables_reply"):
    """A peer's tables, if it is serving them.

    `steps` lead there from the asker's revision, where the peer knows them;
    then the tables are not sent whole.
    """

    tables: tables_module.Tables | None
    steps: tuple[tables_module.Step, ...] = ()


class Digest(msgspec.Struct, frozen=True, tag="digest"):
    """One zone's members and tables, for the daemons of another zone.

    It is sent while the table service is out, and answered with another.
    """

    zone: str
    members: tuple[Member, ...]
    revision: int
    confirmed_age_s: float


class Burst(msgspec.Struct, frozen=True, tag="burst"):
    """Tells an engine's admitter how many online requests run there."""

    daemon: str
    targets: dict[str, int]


Command = (
    Begin
    | Finish
    | Keep
    | NotSent
    | Unknowable
    | Fetch
    | Submit
    | Known
    | Pull
    | Renew
    | ItemStart
    | ItemFinish
    | Release
    | Cancel
    | Status
    | Heartbeat
    | TablesPull
    | Digest
    | Burst
)

Reply = (
    BeginReply
    | FinishReply
    | SubmitReply
    | PullReply
    | RenewReply
    | JobStatus
    | HeartbeatReply
    | TablesReply
    | Digest
    | Done
    | errors.Failure
)


class Request(msgspec.Struct, frozen=True):
    """A command under the id that its reply must carry."""

    id: str
    command: Command


class Response(msgspec.Struct, frozen=True):
    """The reply to the request with this id."""

    id: str
    reply: Reply


_BY_WORK = (
    Begin
    | Finish
    | NotSent
    | Unknowable
    | Fetch
    | Known
    | ItemStart
    | ItemFinish
    | Release
    | Cancel
    | Status
)
OWNED = Submit | Pull | Renew | _BY_WORK
