"""The typed messages between daemons: commands, replies and their parts."""

import enum

import msgspec

from samphirepost import errors
from samphirepost import records
from samphirepost import tables as tables_module


class RequestStatus(enum.Enum):
    """The status of a request in the ledger.

    NEW: no attempt is recorded; an idempotent one may be sent. GO: this
    attempt may be sent. RUNNING: another attempt may be running. FINISHED:
    the result is stored. UNKNOWN: an attempt was started and its outcome is
    unknown.
    """

    NEW = "new"
    GO = "go"
    RUNNING = "running"
    FINISHED = "finished"
    UNKNOWN = "unknown"


class BeginAttempt(msgspec.Struct, frozen=True, tag="begin"):
    """Asks for permission to run an attempt of a request.

    `work` is the request's id, `daemon` the name of the one that runs it.
    """

    work: str
    caller: str
    digest: str
    attempt: str
    daemon: str
    idempotent: bool
    deadline_unix_s: float


class BeginReply(msgspec.Struct, frozen=True, tag="begin_reply"):
    """The status of the request, and the result's reference if finished."""

    standing: RequestStatus
    reference: records.Reference | None = None


class FinishAttempt(msgspec.Struct, frozen=True, tag="finish"):
    """Submits the result of an attempt; the first result is retained."""

    work: str
    caller: str
    digest: str
    attempt: str
    idempotent: bool
    result: records.Result


class FinishReply(msgspec.Struct, frozen=True, tag="finish_reply"):
    """Whether the submitted result is retained, else where the first is."""

    kept: bool
    reference: records.Reference | None = None


class RetainResult(msgspec.Struct, frozen=True, tag="keep"):
    """Asks a peer to retain a result in memory until it is durable."""

    finish: FinishAttempt


class AttemptNotSent(msgspec.Struct, frozen=True, tag="not_sent"):
    """Reports that the attempt ended before anything was sent."""

    work: str
    attempt: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="unknowable"):
    """Reports that the outcome of the attempt stays unknown."""

    work: str
    attempt: str


class FetchResult(msgspec.Struct, frozen=True, tag="fetch"):
    """Requests the status and the result's reference of a request."""

    work: str
    caller: str


class SubmitJob(msgspec.Struct, frozen=True, tag="submit"):
    """Submits a job whose items are already stored."""

    accepted: records.JobAccepted


class SubmitReply(msgspec.Struct, frozen=True, tag="submit_reply"):
    """The job is durable; `created` is False if it was submitted before."""

    work: str
    created: bool


class FindJob(msgspec.Struct, frozen=True, tag="known"):
    """Asks whether a job with this id and digest was accepted before."""

    work: str
    caller: str
    digest: str


class PullItems(msgspec.Struct, frozen=True, tag="pull"):
    """Requests up to `room` items of the given routes for a runner.

    `claim` is unique to this request and the prefix of the grants' claims.
    `alone`: the runner holds no other items, so it may get an isolated one.
    """

    partition: int
    runner: str
    claim: str
    routes: tuple[str, ...]
    room: int
    alone: bool


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """Items granted to a runner under a claim; `solo`: run it isolated."""

    claim: str
    accepted: records.JobAccepted
    items: tuple[int, ...]
    solo: bool


class PullReply(msgspec.Struct, frozen=True, tag="pull_reply"):
    """The grants, and whether more items are queued."""

    grants: tuple[Grant, ...] = ()
    waiting: bool = False


class RenewClaims(msgspec.Struct, frozen=True, tag="renew"):
    """Renews a runner's claims in one partition."""

    partition: int
    runner: str
    claims: tuple[str, ...]


class RenewReply(msgspec.Struct, frozen=True, tag="renew_reply"):
    """The claims that could not be renewed: the runner has lost them."""

    lost: tuple[str, ...]


class StartItem(msgspec.Struct, frozen=True, tag="item_start"):
    """Asks for permission to send a non-idempotent item."""

    work: str
    item: int
    claim: str


class ItemResult(msgspec.Struct, frozen=True, tag="item_result"):
    """An item's result line and final state."""

    item: int
    state: int
    line: bytes


class FinishItems(msgspec.Struct, frozen=True, tag="item_finish"):
    """Submits the results of a job's items under a claim."""

    work: str
    claim: str
    results: tuple[ItemResult, ...]


class ReleaseItems(msgspec.Struct, frozen=True, tag="release"):
    """Returns unfinished items to the queue; not counted as a failure."""

    work: str
    claim: str
    items: tuple[int, ...]


class CancelJob(msgspec.Struct, frozen=True, tag="cancel"):
    """Cancels a caller's job."""

    work: str
    caller: str


class GetJobStatus(msgspec.Struct, frozen=True, tag="status"):
    """Requests the status of a caller's job."""

    work: str
    caller: str


class JobStatus(msgspec.Struct, frozen=True, tag="job_status"):
    """The phase of a job and its items by state.

    `results` is the name of the results object once the job is completed.
    """

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


class Acknowledgement(msgspec.Struct, frozen=True, tag="done"):
    """The command took effect and is durable."""


class Member(msgspec.Struct, frozen=True):
    """A live daemon: its name, VM, zone, peer address and tables revision.

    `name` is unique to one start of a process. `partitions_waiting` has the
    partitions with queued items.
    """

    name: str
    vm: str
    zone: str
    peer: str
    revision: int
    serving: bool
    partitions_waiting: tuple[int, ...] = ()


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """A member's heartbeat to its zone's coordinator.

    `version` is that of the view the member has.
    """

    member: Member
    version: str


class PartitionOwner(msgspec.Struct, frozen=True, array_like=True):
    """A partition's owner as known to a coordinator."""

    name: str
    epoch: int


class View(msgspec.Struct, frozen=True):
    """All zones as known to a coordinator.

    `suspects` maps each partition whose lease seems expired to the revision
    at which its row stays unchanged; another member may take it over.
    `coordinators` maps each zone to its coordinator's peer address. `leaving`
    has the VMs that the platform lists as leaving.
    """

    version: str
    members: tuple[Member, ...]
    owners: dict[int, PartitionOwner]
    suspects: dict[int, int]
    coordinators: dict[str, str]
    leaving: tuple[str, ...]
    revision: int


class HeartbeatReply(msgspec.Struct, frozen=True, tag="heartbeat_reply"):
    """The view if it changed, and the age of the tables' confirmation.

    `confirmed_age_s` is the time since the newest revision was known from
    the table service, or from a majority of members while the table service
    is unavailable.
    """

    confirmed_age_s: float
    revision: int
    view: View | None


class TablesRequest(msgspec.Struct, frozen=True, tag="tables_pull"):
    """Requests a peer's tables; `revision` is that of the sender."""

    revision: int = 0


class TablesReply(msgspec.Struct, frozen=True, tag="tables_reply"):
    """A peer's tables, complete or as steps.

    If the peer has the `steps` from the requester's revision to its own, it
    sends these and `tables` is None.
    """

    tables: tables_module.Tables | None
    steps: tuple[tables_module.Step, ...] = ()


class ZoneDigest(msgspec.Struct, frozen=True, tag="digest"):
    """One zone's members and tables revision, for another zone.

    Coordinators exchange digests while the table service is unavailable.
    """

    zone: str
    members: tuple[Member, ...]
    revision: int
    confirmed_age_s: float


class OnlineCounts(msgspec.Struct, frozen=True, tag="burst"):
    """Reports this daemon's online requests by target.

    Sent to the members that admit batch work to these targets.
    """

    daemon: str
    targets: dict[str, int]


Command = (
    BeginAttempt
    | FinishAttempt
    | RetainResult
    | AttemptNotSent
    | OutcomeUnknown
    | FetchResult
    | SubmitJob
    | FindJob
    | PullItems
    | RenewClaims
    | StartItem
    | FinishItems
    | ReleaseItems
    | CancelJob
    | GetJobStatus
    | Heartbeat
    | TablesRequest
    | ZoneDigest
    | OnlineCounts
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
    | ZoneDigest
    | Acknowledgement
    | errors.Failure
)


class Request(msgspec.Struct, frozen=True):
    """A command; its response has the same id."""

    id: str
    command: Command


class Response(msgspec.Struct, frozen=True):
    """The reply to the request with the same id."""

    id: str
    reply: Reply


_WorkCommand = (
    BeginAttempt
    | FinishAttempt
    | AttemptNotSent
    | OutcomeUnknown
    | FetchResult
    | FindJob
    | StartItem
    | FinishItems
    | ReleaseItems
    | CancelJob
    | GetJobStatus
)
OwnerCommand = SubmitJob | PullItems | RenewClaims | _WorkCommand
