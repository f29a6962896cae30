"""What a partition's ledger is made of: records, segments and its row."""

import msgspec


class Result(msgspec.Struct, frozen=True, array_like=True):
    """A whole answer as it was given to the caller."""

    status: int
    content_type: str
    body: bytes


class Started(msgspec.Struct, frozen=True, tag="started"):
    """A non-idempotent request may be sent by this attempt from now on."""

    work: str
    caller: str
    digest: str
    attempt: str
    daemon: str
    deadline_unix_s: float


class NotSent(msgspec.Struct, frozen=True, tag="not_sent"):
    """The attempt ended before anything was sent to a target."""

    work: str
    attempt: str


class Unknowable(msgspec.Struct, frozen=True, tag="unknowable"):
    """The attempt was sent, and whether it ran will not be known."""

    work: str
    attempt: str


class Finished(msgspec.Struct, frozen=True, tag="finished"):
    """A request's first whole result."""

    work: str
    caller: str
    digest: str
    attempt: str
    result: Result


class JobAccepted(msgspec.Struct, frozen=True, tag="job_accepted"):
    """A job whose items lie in the named objects, `chunk_items` in each."""

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


class Claimed(msgspec.Struct, frozen=True, tag="claimed"):
    """Items handed to a runner; the holder is blamed if it dies with them."""

    claim: str
    runner: str
    work: str
    items: tuple[int, ...]
    solo: bool


class ItemStarted(msgspec.Struct, frozen=True, tag="item_started"):
    """A non-idempotent item may be sent under this claim from now on."""

    work: str
    item: int
    claim: str


class ItemDone(msgspec.Struct, frozen=True, tag="item_done"):
    """An item's final state with its result line."""

    work: str
    item: int
    state: int
    line: bytes


class Returned(msgspec.Struct, frozen=True, tag="returned"):
    """Items back in the queue; `blamed` if their holder was lost."""

    work: str
    items: tuple[int, ...]
    blamed: bool


class JobCancelled(msgspec.Struct, frozen=True, tag="job_cancelled"):
    """The job takes no further results."""

    work: str


class JobCompleted(msgspec.Struct, frozen=True, tag="job_completed"):
    """All results of the job lie in one object."""

    work: str
    results: str


Record = (
    Started
    | NotSent
    | Unknowable
    | Finished
    | JobAccepted
    | Claimed
    | ItemStarted
    | ItemDone
    | Returned
    | JobCancelled
    | JobCompleted
)


class Segment(msgspec.Struct, frozen=True):
    """The records of one group commit."""

    partition: int
    epoch: int
    records: list[Record]


class Row(msgspec.Struct, frozen=True):
    """A partition's row in the table service: its lease and its log.

    `owner` is empty when the last owner gave the lease back. `write` is the
    unique id of the last write, for the read-back after a lost answer.
    """

    owner: str = ""
    epoch: int = 0
    sequence: int = 0
    write: str = ""
    snapshot: str = ""
    segments: tuple[str, ...] = ()


class Reference(msgspec.Struct, frozen=True, array_like=True):
    """Where a result lies: the segment's name and the record's position."""

    segment: str
    position: int
