"""Messages about slots between daemons and their hub.

Every daemon reports the requests that it runs to one hub, and asks it for a
slot before it sends a request to an engine. Messages are datagrams: each may
be lost, and arrive late or out of order. Instants are monotonic seconds of
the sender and never leave it; a message has the time that is left.
"""

import enum

import msgspec

from samphirepost import leaving


class Outcome(enum.IntEnum):
    """What a run showed about its engine."""

    OK = 0
    FAILED = 1
    UNKNOWN = 2


class PromptPart(msgspec.Struct, frozen=True, array_like=True):
    """A part of a prompt: equal ids stand for the same `tokens`."""

    id: str
    tokens: int


class Run(msgspec.Struct, frozen=True, array_like=True):
    """A request that occupies a slot; `id` is unique to its daemon.

    For a batch item, `late` tells that it is unlikely to meet its job's
    deadline, which is `left_s` away. `organisation` is the name of the one
    whose request it is, empty if there is none. An item is expected to run for
    `needs_ms` more, 0 if that is not known, and was preempted `preemptions`
    times before. Its prompt and output have `tokens`, or 0 if that is
    unknown.
    """

    id: int
    engine: str
    batch: bool = False
    late: bool = False
    left_s: float = 0.0
    organisation: str = ""
    needs_ms: int = 0
    preemptions: int = 0
    tokens: int = 0


class RunEnd(msgspec.Struct, frozen=True, array_like=True):
    """The end of a run, or of a grant that was not used.

    `pace_s` is the mean time between two events of its stream, or 0 if
    there were too few. If `is_unused`, nothing was sent for the grant, and
    the charge of its organisation is given back. `first_s` is the time from
    sending the request to its first event, or 0 if there was none.
    """

    id: int
    outcome: Outcome
    pace_s: float = 0.0
    is_unused: bool = False
    first_s: float = 0.0


class WantedSlot(msgspec.Struct, frozen=True, array_like=True):
    """A slot that a daemon wants for a batch item, as soon as one is free.

    The grant has the same `id`; see Run for `late`, `left_s`, `organisation`,
    `needs_ms` and `preemptions`, SlotRequest for the other fields from `probe`
    on. Engines that are `avoided` will not do.
    """

    id: int
    pool: str
    late: bool
    left_s: float
    probe: str = ""
    version: str | None = None
    organisation: str = ""
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    needs_ms: int = 0
    preemptions: int = 0
    avoided: tuple[str, ...] = ()


class Crash(msgspec.Struct, frozen=True, array_like=True):
    """A request lost `age_s` ago with an engine, before its answer had begun.

    `parts` are the shared parts of its prompt, in order; `started_ms` tells
    incarnations of the engine apart. With `has_head`, the head of its answer
    had arrived, so that it was not waiting for a slot there. `request` is its
    key, of quarantine.request_key or item_key.
    """

    engine: str
    started_ms: int
    parts: tuple[str, ...]
    has_head: bool
    age_s: float
    request: str = ""


class Begun(msgspec.Struct, frozen=True, array_like=True):
    """An answer to requests with this cause last began `age_s` ago."""

    cause: str
    age_s: float


class NamedLimit(msgspec.Struct, frozen=True, array_like=True):
    """The rate of requests that an engine named in an answer `age_s` ago.

    `per_s` is None if the answer named none; `started_ms` tells incarnations
    of the engine apart.
    """

    engine: str
    started_ms: int
    per_s: float | None
    age_s: float


class Paths(msgspec.Struct, frozen=True, array_like=True):
    """How a daemon of a zone reaches the engines.

    It does not reach those `unreached` itself, and if `doubtful`, perhaps
    none. `relays` tells whether it relays runs for daemons that do not reach
    an engine.
    """

    zone: str = ""
    relays: bool = False
    unreached: tuple[str, ...] = ()
    doubtful: bool = False


NO_PATHS = Paths()


class TablesAge(msgspec.Struct, frozen=True, array_like=True):
    """The tables of this revision were the newest `age_s` ago.

    `age_s` is None if that is not known.
    """

    revision: int = 0
    age_s: float | None = None


UNKNOWN_TABLES = TablesAge()


class Report(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """All that one daemon runs and wants; a higher `seq` replaces a lower.

    `crashes` and `limits` may come in several reports; `begun` answers the
    last Totals.suspects and has quarantined causes. `failed` has the ids of
    engines that turned out to be at fault for runs that ended before, one for
    each run. `other_versions` are the pools in which the daemon knows of
    engines of a version other than the base, or None. `leaving_engines` told
    the daemon that they leave; at the addresses of `stale_entries`, other
    engines answered it. `tables` are the daemon's own. To a new hub, `sent`
    has the number of requests by organisation that the daemon sent within a
    window of the quotas; None if it does not know. `refunds` has the
    organisation of each request that was charged and run by no engine.
    """

    vm: str
    seq: int
    runs: tuple[Run, ...] = ()
    ended: tuple[RunEnd, ...] = ()
    wanted: tuple[WantedSlot, ...] = ()
    crashes: tuple[Crash, ...] = ()
    begun: tuple[Begun, ...] = ()
    limits: tuple[NamedLimit, ...] = ()
    paths: Paths = NO_PATHS
    failed: tuple[str, ...] = ()
    other_versions: tuple[str, ...] | None = None
    leaving_engines: tuple[leaving.Incarnation, ...] = ()
    stale_entries: tuple[leaving.StaleEntry, ...] = ()
    tables: TablesAge = UNKNOWN_TABLES
    sent: dict[str, int] | None = None
    refunds: tuple[str, ...] = ()


class SlotRequest(msgspec.Struct, frozen=True, array_like=True, tag=12):
    """A daemon asks for a slot for one online request, to run under `id`.

    It waits `wait_max_s` at most; one that `returns` was rejected before
    and goes after new ones of its priority and organisation. With
    `never_deny`, it gets an engine even if none has a free slot. `probe`
    is the cause of crashes, if any, that it has and would probe. Unless
    `version` is None, only engines of that software version will do. With
    `relay`, the daemon doubts its own paths to the engines; peers at the
    addresses `not_through` have failed it.

    See Run for `organisation`; `is_charged` if its quota was charged for the
    request before. `prompt` has the parts of the prompt in order, on routes
    that name them, and the answer has `output_tokens` at most, unless that is
    0. Unless `is_repeatable`, no other engine may run the request if the one
    granted fails.
    """

    vm: str
    id: int
    pool: str
    zone: str
    priority: int
    wait_max_s: float
    excluded: tuple[str, ...] = ()
    never_deny: bool = False
    returns: bool = False
    probe: str = ""
    version: str | None = None
    relay: bool = False
    not_through: tuple[str, ...] = ()
    organisation: str = ""
    is_charged: bool = False
    prompt: tuple[PromptPart, ...] = ()
    output_tokens: int = 0
    is_repeatable: bool = True


class Grant(msgspec.Struct, frozen=True, array_like=True, tag=13):
    """The hub `vm` grants a slot of an engine for the run `id`.

    A daemon that does not reach the engine itself goes through the peer at the
    address `through` (IP:PORT); it is empty if no peer is known.
    """

    vm: str
    id: int
    engine: str
    through: str = ""


class Queued(msgspec.Struct, frozen=True, array_like=True, tag=14):
    """The request `id` waits at the hub `vm` for a slot."""

    vm: str
    id: int


class Denial(msgspec.Struct, frozen=True, array_like=True, tag=15):
    """The request `id` gets no slot: it would wait `wait_s`.

    `wait_s` is None if the hub knows no engine for the request, or too few
    daemons' runs to choose one; the daemon then chooses itself. With
    `over_quota`, the quota of its organisation has no token for `wait_s`.
    """

    vm: str
    id: int
    wait_s: float | None
    over_quota: bool = False


class Preemption(msgspec.Struct, frozen=True, array_like=True, tag=16):
    """The hub `vm` takes the slots of these batch items for online ones."""

    vm: str
    ids: tuple[int, ...]


class Count(msgspec.Struct, frozen=True, array_like=True):
    """Running requests at one engine."""

    online: int = 0
    batch: int = 0


ZERO_COUNT = Count()


class Totals(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """All other daemons' running requests by engine, sent by hub `vm`.

    Requests with a cause of crashes that is `quarantined` must not be sent to
    engines, those with one `on_probation` only as a probe. `suspects` are the
    causes for which the hub asks whether answers have begun. `limits` are the
    rates (requests a second) that engines named. `other_versions` are the
    pools that any daemon named in a Report, or None if some daemon named none.
    `leaving_engines` leave by any daemon's word or by the hub's registry,
    `stale_entries` are stale by any daemon's word. `tables` are the newest of
    any daemon. Organisations that are `constrained` have nearly used up their
    quotas.
    """

    vm: str
    counts: dict[str, Count]
    quarantined: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()
    limits: dict[str, float] = {}
    on_probation: tuple[str, ...] = ()
    other_versions: tuple[str, ...] | None = None
    leaving_engines: tuple[leaving.Incarnation, ...] = ()
    stale_entries: tuple[leaving.StaleEntry, ...] = ()
    tables: TablesAge = UNKNOWN_TABLES
    constrained: tuple[str, ...] | None = None


Message = Report | SlotRequest | Grant | Queued | Denial | Preemption | Totals
