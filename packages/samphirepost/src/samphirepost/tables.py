"""The tables of routes and pools that operators edit: types and checks."""

import enum

import msgspec

from samphirepost import errors


class TargetKind(enum.Enum):
    """The kind of a target: an engine runs a model, a service does not."""

    ENGINE = "engine"
    SERVICE = "service"


class Target(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """One engine or plain service.

    `checks_orders`: the engine rejects orders with an old fencing number.
    """

    id: str
    url: str
    zone: str
    kind: TargetKind = TargetKind.ENGINE
    checks_orders: bool = False


class Pool(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A pool: its targets, their limits on batch work and their model.

    `online_headroom` is the maximum ratio of the time between tokens with
    batch work to that without; 1.5 allows 50 % more. `batch_fixed_limit`
    above 0 replaces the adaptive limit on batch sequences. The pool's engines
    are ordered to load `model` and `adapters`, one engine every
    `load_every_ms`; without a model no orders are sent.
    """

    targets: tuple[Target, ...]
    online_headroom: float = 1.5
    batch_limit_max: int = 64
    batch_fixed_limit: int = 0
    model: str = ""
    adapters: tuple[str, ...] = ()
    load_every_ms: int = 1000


class Caller(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A caller: the SHA-256 of its bearer token, and its rights."""

    token_sha256: str
    operator: bool = False
    share: float = 1.0


class Route(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A route: the pool that serves requests sent under the route's name."""

    pool: str
    callers: tuple[str, ...]
    idempotent: bool = True
    path: str = "/v1/completions"
    retry_budget: float = 0.08


class Routes(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The routes table: callers by name and routes by name."""

    callers: dict[str, Caller]
    routes: dict[str, Route]


class Pools(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The pools table: pools by name."""

    pools: dict[str, Pool]


class Tables(msgspec.Struct, frozen=True):
    """Both tables at one revision."""

    revision: int = 0
    callers: dict[str, Caller] = {}
    routes: dict[str, Route] = {}
    pools: dict[str, Pool] = {}


class AuditRow(msgspec.Struct, frozen=True):
    """Who changed what, when (Unix time, s) and from which revision."""

    revision: int
    previous: int
    who: str
    at_unix_s: float
    note: str
    changes: tuple[dict, ...]


def join(routes, pools, revision):
    """Returns the Tables of these routes and pools at `revision`."""
    return Tables(revision, routes.callers, routes.routes, pools.pools)


def check(tables):
    """Returns the first Failure found in the tables, or None."""
    for name, route in tables.routes.items():
        if route.pool not in tables.pools:
            return _missing(f"routes.{name}.pool", f"pool {route.pool!r}")
        for caller in route.callers:
            if caller not in tables.callers:
                return _missing(f"routes.{name}.callers", repr(caller))
    for name, pool in tables.pools.items():
        failure = _check_pool(name, pool)
        if failure is not None:
            return failure
    return _check_models(tables.pools)


def _check_models(pools):
    """Returns the Failure of a target with different models in two pools."""
    loads = {}
    for name, pool in pools.items():
        for target in pool.targets:
            load = (pool.model, pool.adapters)
            if loads.setdefault(target.id, load) != load:
                reason = (
                    f"pools.{name}.model: another pool of target"
                    f" {target.id!r} loads a different model"
                )
                return errors.Failure(errors.Kind.BAD_REQUEST, reason)
    return None


def _check_pool(name, pool):
    if not pool.targets:
        return _missing(f"pools.{name}.targets", "at least one target")
    ids = [target.id for target in pool.targets]
    if len(set(ids)) != len(ids):
        return _missing(f"pools.{name}.targets", "distinct target ids")
    if pool.online_headroom < 1.0:
        reason = f"pools.{name}.online_headroom: must be 1.0 or more"
        return errors.Failure(errors.Kind.BAD_REQUEST, reason)
    return None


def _missing(path, what):
    reason = f"{path}: {what} does not exist"
    return errors.Failure(errors.Kind.POOL_MISSING, reason)


def changes(before, after):
    """Returns the rows that differ between two Tables, as dicts."""
    differing = []
    for table in ("callers", "routes", "pools"):
        old = getattr(before, table)
        new = getattr(after, table)
        for name in sorted(old.keys() | new.keys()):
            if old.get(name) != new.get(name):
                differing.append(
                    {
                        "table": table,
                        "name": name,
                        "before": msgspec.to_builtins(old.get(name)),
                        "after": msgspec.to_builtins(new.get(name)),
                    }
                )
    return tuple(differing)


class Step(msgspec.Struct, frozen=True):
    """The row changes from one revision to a later one."""

    previous: int
    revision: int
    changes: tuple[dict, ...]


_ROW_TYPES = {"callers": Caller, "routes": Route, "pools": Pool}


def apply_step(before, step):
    """Returns the Tables after applying a step to `before`."""
    rows_by_table = {name: dict(getattr(before, name)) for name in _ROW_TYPES}
    for change in step.changes:
        rows = rows_by_table[change["table"]]
        if change["after"] is None:
            del rows[change["name"]]
        else:
            row_type = _ROW_TYPES[change["table"]]
            row = msgspec.convert(change["after"], row_type)
            rows[change["name"]] = row
    return Tables(step.revision, **rows_by_table)


def apply_steps(before, steps):
    """Returns the Tables after applying the steps in order.

    A step from another revision than the current one is skipped.
    """
    for step in steps:
        if step.previous == before.revision:
            before = apply_step(before, step)
    return before


def newer(current, candidate):
    """Returns the newer Tables; a member never applies an older revision."""
    if current is None or candidate.revision > current.revision:
        return candidate
    return current


def check_revision(expected, current):
    """Returns the Failure for an edit made from a stale revision, or None."""
    if expected == current:
        return None
    reason = f"the tables are at revision {current}, not {expected}"
    return errors.Failure(errors.Kind.STALE_REVISION, reason)


def lost_race_failure(expected, newest):
    """Returns the Failure of an edit that lost a race against another edit."""
    if isinstance(newest, errors.Failure):
        reason = f"another edit of revision {expected} came first"
    else:
        reason = f"another edit came first: revision {newest} is in force"
    return errors.Failure(errors.Kind.STALE_REVISION, reason)


def targets(tables):
    """Returns the targets of all pools by id."""
    return {t.id: t for pool in tables.pools.values() for t in pool.targets}
