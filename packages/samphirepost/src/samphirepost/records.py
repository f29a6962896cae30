"""The stored form of a partition's ledger: records, segments and the row."""

import msgspec


class Result(msgspec.Struct, frozen=True, array_like=True):
    """A complete response as returned to the caller."""

    status: int
    content_type: str
    body: bytes


class AttemptStarted(msgspec.Struct, frozen=True, tag="started"):
    """From this record on, this attempt may send a non-idempotent request."""

    work: str
    caller: str
    digest: str
    attempt: str
    daemon: str
    deadline_unix_s: float


class AttemptNotSent(msgspec.Struct, frozen=True, tag="not_sent"):
    """The attempt ended before anything was sent to a target."""

    work: str
    attempt: str


class OutcomeUnknown(msgspec.Struct, frozen=True, tag="unknowable"):
    """The attempt was sent, and its outcome stays unknown."""

    work: str
    attempt: str


class RequestFinished(msgspec.Struct, frozen=True, tag="finished"):
    """A request's first complete result; later ones are dropped."""

    work: str
    caller: str
    digest: str
    attempt: str
    result: Result


class JobAccepted(msgspec.Struct, frozen=True, tag="job_accepted"):
    """An accepted job, whose items are stored in the objects `chunks`.

    Each has `chunk_items` items.
    """

    work: str
    caller: str
    digest: str
    route: str
    idempotent: bool
    total: int
    chunk_items: int
    chunks: tuple[str, ...]
    deadline_unix_s: float
    accepted_unix_s: float


class ItemsClaimed(msgspec.Struct, frozen=True, tag="claimed"):
    """Items granted to a runner; its failure is counted for each of them."""

    claim: str
    runner: str
    work: str
    items: tuple[int, ...]
    solo: bool


class ItemStarted(msgspec.Struct, frozen=True, tag="item_started"):
    """From this record on, this claim's runner may send the item.

    Written for non-idempotent items only.
    """

    work: str
    item: int
    claim: str


class ItemDone(msgspec.Struct, frozen=True, tag="item_done"):
    """An item's final state and its result line."""

    work: str
    item: int
    state: int
    line: bytes


class ItemsReturned(msgspec.Struct, frozen=True, tag="returned"):
    """Items returned to the queue; `blamed`: their runner failed."""

    work: str
    items: tuple[int, ...]
    blamed: bool


class JobCancelled(msgspec.Struct, frozen=True, tag="job_cancelled"):
    """The job was cancelled; it accepts no further results."""

    work: str


class JobCompleted(msgspec.Struct, frozen=True, tag="job_completed"):
    """All results of the job are stored in the object `results`."""

    work: str
    results: str


Record = (
    AttemptStarted
    | AttemptNotSent
    | OutcomeUnknown
    | RequestFinished
    | JobAccepted
    | ItemsClaimed
    | ItemStarted
    | ItemDone
    | ItemsReturned
    | JobCancelled
    | JobCompleted
)


class Segment(msgspec.Struct, frozen=True):
    """The records of one group commit."""

    partition: int
    epoch: int
    records: list[Record]


class PartitionRow(msgspec.Struct, frozen=True):
    """A partition's row in the table service: its lease and its log.

    `owner` is empty when the last owner released the lease. `write` is the
    unique id of the last write: after a write without a response, the row is
    read back to see whether the write took effect.
    """

    owner: str = ""
    epoch: int = 0
    sequence: int = 0
    write: str = ""
    snapshot: str = ""
    segments: tuple[str, ...] = ()


class Reference(msgspec.Struct, frozen=True, array_like=True):
    """Where a result is stored: the segment and the position in it."""

    segment: str
    position: int
