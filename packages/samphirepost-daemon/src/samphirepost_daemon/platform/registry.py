"""Decodes the routing table and the engines from rows of the platform."""

import msgspec

from samphirepost import addresses
from samphirepost import codec
from samphirepost import errors
from samphirepost import organisations
from samphirepost import roster
from samphirepost import routing
from samphirepost_daemon.entry import store

CONFIG_TABLE = "op"
CONFIG_KEY = "config"
ENGINE_TABLE = "servers"

_ROUTE_KINDS = {
    "idempotent": routing.Kind.IDEMPOTENT,
    "non_idempotent": routing.Kind.NON_IDEMPOTENT,
    "stream": routing.Kind.STREAM,
    "batch": routing.Kind.BATCH,
}
_DRAINING_BY_STATE = {"ready": False, "draining": True}
DEFAULT_SLOTS = 8
# What an entry of an engine may name: more is not an engine's, and numbers
# have to fit the messages between daemons.
SLOTS_MAX = 100_000
STARTED_MS_MAX = 2**53
NAME_LENGTH_MAX = 200


class _TrafficSplit(msgspec.Struct):
    service: str
    weight: float = 1.0


class _Route(msgspec.Struct):
    name: str
    hostname: str
    pathPrefix: str
    kind: str
    service: str = ""
    trafficSplit: list[_TrafficSplit] = []
    timeoutMs: float = 5000
    targetLatencyMs: float = 300
    maxAttempts: int = 1
    resumable: bool = False
    priority: int = 0
    cap: int = 0
    retentionS: float = 60
    completionTargetMs: float = 18000
    sticky: bool = False
    anonymous: bool = False


class _EngineLimits(msgspec.Struct):
    slots: int = DEFAULT_SLOTS
    kvCapacityTokens: int = 0


class _Service(msgspec.Struct):
    name: str
    engine: _EngineLimits | None = None


class _Limits(msgspec.Struct):
    maxBodyBytes: int = 4_194_304
    idleTimeoutMs: float = 15000


class _Tenant(msgspec.Struct):
    name: str
    apiKeys: list[str] = []
    priority: int | None = None
    ratePerS: float = 0.0
    burst: float = 0.0


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct):
    service: str
    address: str
    state: str
    zone: str = ""
    slots: int = DEFAULT_SLOTS
    born: int = 0
    version: str = ""


def decode_routing_table(row):
    """Returns the routing table in a row.

    Returns None for a row that holds no configuration, and a Failure if the
    configuration cannot be decoded.
    """
    if row.key.key != CONFIG_KEY or row.deleted:
        return None
    cfg = codec.from_json(row.value, _Config)
    if isinstance(cfg, errors.Failure):
        reason = f"configuration: {cfg.reason}"
        return errors.Failure(errors.Kind.BAD_JSON, reason)
    routes = []
    for route in cfg.routes:
        if route.kind in _ROUTE_KINDS:
            routes.append(_decode_route(route))
    pools = {pool.name: _decode_pool(pool) for pool in cfg.services}
    limits = routing.Limits(
        cfg.limits.maxBodyBytes, cfg.limits.idleTimeoutMs / 1000
    )
    directory = _decode_organisations(cfg.tenants)
    if isinstance(directory, errors.Failure):
        reason = f"configuration {cfg.version}: {directory.reason}"
        return errors.Failure(errors.Kind.BAD_REQUEST, reason)
    return routing.Table(cfg.version, tuple(routes), pools, limits, directory)


def _decode_organisations(tenants):
    return organisations.build(
        (
            organisations.Organisation(
                tenant.name, tenant.priority, tenant.ratePerS, tenant.burst
            ),
            tenant.apiKeys,
        )
        for tenant in tenants
    )


def _decode_route(route):
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
        kind=_ROUTE_KINDS[route.kind],
        shares=tuple(shares),
        timeout_s=route.timeoutMs / 1000,
        first_byte_s=route.targetLatencyMs / 1000,
        attempts_max=max(1, route.maxAttempts),
        resumable=route.resumable,
        priority=route.priority,
        waiting_tokens_max=route.cap,
        retention_s=route.retentionS,
        completion_s=route.completionTargetMs / 1000,
        sticky=route.sticky,
        anonymous=route.anonymous,
    )


def _decode_pool(pool):
    if pool.engine is None:
        return routing.Pool(pool.name, DEFAULT_SLOTS)
    return routing.Pool(
        pool.name, pool.engine.slots, max(0, pool.engine.kvCapacityTokens)
    )


def decode_engine(row):
    """Returns the engine in a row, or a Failure if the entry is not valid."""
    found = codec.from_json(row.value, _Server)
    if isinstance(found, errors.Failure):
        return _entry_failure(row, found.reason)
    if found.state not in _DRAINING_BY_STATE:
        return _entry_failure(row, f"unknown state {found.state[:80]!r}")
    address = addresses.parse(found.address)
    if isinstance(address, errors.Failure):
        return _entry_failure(row, address.reason)
    if found.slots > SLOTS_MAX:
        return _entry_failure(row, f"too many slots: {found.slots}")
    if not 0 <= found.born <= STARTED_MS_MAX:
        return _entry_failure(row, f"a start out of range: {found.born}")
    if max(len(found.version), len(found.zone)) > NAME_LENGTH_MAX:
        return _entry_failure(row, "a name is too long")
    return roster.Engine(
        id=row.key.key,
        pool=found.service,
        address=found.address,
        zone=found.zone,
        slots=max(1, found.slots),
        draining=_DRAINING_BY_STATE[found.state],
        started_ms=found.born,
        version=found.version,
    )


def _entry_failure(row, reason):
    text = f"engine entry {row.key.key}: {reason}"
    return errors.Failure(errors.Kind.BAD_JSON, text)


def read_table(client, table):
    """Returns a Page with all rows of a table of one part, or a Failure."""
    return store.read_all(client, table, "")
