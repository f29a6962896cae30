"""The active routes: which pool serves a host and path, and how."""

import enum
import random

import msgspec

from samphirepost import organisations


class Kind(enum.Enum):
    """The kind of a route's requests; decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non-idempotent"
    STREAM = "stream"
    BATCH = "batch"


class Share(msgspec.Struct, frozen=True):
    """The weight of one pool among the pools of a route."""

    pool: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One row of the routes table; times are in seconds.

    `first_byte_s` is the latency objective, `completion_s` the objective for
    a batch job's last result. A `waiting_tokens_max` of 0 means no limit.
    Requests of a `sticky` route name the parts of their prompts; those of an
    `anonymous` one need no key.
    """

    name: str
    host: str
    prefix: str
    kind: Kind
    shares: tuple[Share, ...]
    timeout_s: float = 5.0
    first_byte_s: float = 0.3
    attempts_max: int = 1
    resumable: bool = False
    priority: int = 0
    waiting_tokens_max: int = 0
    retention_s: float = 60.0
    completion_s: float = 18.0
    sticky: bool = False
    anonymous: bool = False

    @property
    def repeatable(self):
        """Whether a request that may have run may be executed again."""
        if self.kind is Kind.STREAM:
            return self.resumable
        return self.kind in (Kind.IDEMPOTENT, Kind.BATCH)

    @property
    def pools(self):
        """The names of the pools that serve the route."""
        return tuple(share.pool for share in self.shares)


class Pool(msgspec.Struct, frozen=True):
    """One row of the pools table.

    The memory of one engine holds `kv_tokens`; 0 means that it is unknown.
    """

    name: str
    slots: int = 8
    kv_tokens: int = 0


class Limits(msgspec.Struct, frozen=True):
    """The largest body that a caller may send, and its idle timeout."""

    body_bytes_max: int = 4_194_304
    idle_s: float = 15.0


class Table(msgspec.Struct, frozen=True):
    """The routes, pools, limits and organisations of one revision."""

    revision: int
    routes: tuple[Route, ...]
    pools: dict[str, Pool]
    limits: Limits = Limits()
    directory: organisations.Directory = organisations.EMPTY

    def find_route(self, host, path):
        """Returns the host's route with the longest prefix, or None."""
        best = None
        for route in self.routes:
            if route.host != host or not path.startswith(route.prefix):
                continue
            if best is None or len(route.prefix) > len(best.prefix):
                best = route
        return best

    def route_named(self, name):
        """Returns the route with this name, or None."""
        for route in self.routes:
            if route.name == name:
                return route
        return None


def newer_table(current, candidate):
    """Returns the table with the newer revision; `current` may be None."""
    if current is None or candidate.revision > current.revision:
        return candidate
    return current


def pick_pool(route, draw=random.random):
    """Returns the name of one of the route's pools, drawn by weight."""
    total = sum(share.weight for share in route.shares)
    point = draw() * total
    for share in route.shares:
        point -= share.weight
        if point < 0:
            return share.pool
    return route.shares[-1].pool
