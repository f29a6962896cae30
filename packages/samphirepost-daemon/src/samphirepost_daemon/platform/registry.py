"""Where the platform keeps the tables and the engines, and in what form."""

import msgspec

from samphirepost import errors
from samphirepost import roster
from samphirepost import routing
from samphirepost_daemon.entry import store

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ENGINE_TABLE = "servers"

_KINDS = {
    "idempotent": routing.Kind.IDEMPOTENT,
    "non_idempotent": routing.Kind.NON_IDEMPOTENT,
    "stream": routing.Kind.STREAM,
    "batch": routing.Kind.BATCH,
}
_STATES = {"ready": False, "draining": True}
DEFAULT_SLOTS = 8


class _Split(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    pathPrefix: str
    kind: str
    service: str = ""
    trafficSplit: list[_Split] = []
    timeoutMs: float = 5000
    targetLatencyMs: float = 300
    maxAttempts: int = 1
    resumable: bool = False
    priority: int = 0
    cap: int = 0
    retentionS: float = 60
    completionTargetMs: float = 18000


class _EngineLimits(msgspec.Struct):
    slots: int = DEFAULT_SLOTS


class _Service(msgspec.Struct):
    name: str
    engine: _EngineLimits | None = None


class _Limits(msgspec.Struct):
    maxBodyBytes: int = 4_194_304
    idleTimeoutMs: float = 15000


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Server(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = DEFAULT_SLOTS
    born: int = 0


def tables(row):
    """Returns the routing table in a row, None for other rows, a Failure."""
    if row.key.key != CONFIG_KEY or row.deleted:
        return None
    try:
        cfg = msgspec.json.decode(row.value, type=_Config)
    except msgspec.DecodeError as exc:
        return errors.Failure(errors.Kind.BAD_JSON, f"configuration: {exc}")
    routes = []
    for route in cfg.routes:
        if route.kind in _KINDS:
            routes.append(_route(route))
    pools = {pool.name: _pool(pool) for pool in cfg.services}
    limits = routing.Limits(
        cfg.limits.maxBodyBytes, cfg.limits.idleTimeoutMs / 1000
    )
    return routing.Table(cfg.version, tuple(routes), pools, limits)


def _route(route):
    shares = [
        routing.Share(split.service, split.weight)
        for split in route.trafficSplit
        if split.weight > 0
    ]
    if not shares:
        shares = [routing.Share(route.service, 1.0)]
    return routing.Route(
        name=route.name,
        host=route.hostname.lower(),
        prefix=route.pathPrefix,
        kind=_KINDS[route.kind],
        shares=tuple(shares),
        timeout_s=route.timeoutMs / 1000,
        first_byte_s=route.targetLatencyMs / 1000,
        attempts_max=max(1, route.maxAttempts),
        resumable=route.resumable,
        priority=route.priority,
        waiting_tokens_max=route.cap,
        retention_s=route.retentionS,
        completion_s=route.completionTargetMs / 1000,
    )


def _pool(pool):
    slots = pool.engine.slots if pool.engine else DEFAULT_SLOTS
    return routing.Pool(pool.name, slots)


def engine(row):
    """Returns the engine that a row lists, or a Failure if it names none."""
    try:
        found = msgspec.json.decode(row.value, type=_Server)
    except msgspec.DecodeError as exc:
        return _unusable(row, str(exc))
    if found.state not in _STATES:
        return _unusable(row, f"unknown state {found.state!r}")
    host, _, port = found.address.rpartition(":")
    if not host or not port.isdigit():
        return _unusable(row, f"bad address {found.address!r}")
    return roster.Engine(
        id=row.key.key,
        pool=found.service,
        address=found.address,
        zone=found.zone,
        slots=max(1, found.slots),
        draining=_STATES[found.state],
        started_ms=found.born,
    )


def _unusable(row, reason):
    text = f"engine entry {row.key.key}: {reason}"
    return errors.Failure(errors.Kind.BAD_JSON, text)


def read(client, table):
    """Returns a Page with all rows of one of the platform's tables."""
    return store.read_all(client, table, "")
