"""The daemon's settings, read from a file of JSON with comments."""

import msgspec

from samphirepost import errors
from samphirepost import jsonc


class Listen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The addresses a daemon listens on, and the threads of each listener."""

    host: str = "127.0.0.1"
    online_port: int = 7001
    batch_port: int = 7002
    operator_port: int = 7003
    peer_port: int = 7004
    online_threads: int = 500
    batch_threads: int = 16
    operator_threads: int = 8


class Platform(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The URLs of the platform's services and the timeout of a request."""

    table_url: str
    object_url: str
    vms_url: str
    timeout_ms: int = 1000


class Ledger(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Partitions, their group commits, leases and claims.

    `unsaved_records_max` limits the records of a partition that are not yet
    durable. A runner loses a claim that it does not renew within `claim_ms`.
    An item fails when `attempts_max` of its runners have failed.
    """

    partitions: int = 8
    commit_interval_ms: int = 50
    lease_ms: int = 5000
    snapshot_segments: int = 64
    unsaved_records_max: int = 20000
    claim_ms: int = 5000
    attempts_max: int = 3


class Limits(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Limits on the size of requests and jobs, deadlines and timeouts.

    `silence_ms` is the maximum time without data from an engine. A finished
    request waits up to `store_wait_ms` for its result to become durable.
    """

    body_bytes_max: int = 4_000_000
    upload_bytes_max: int = 400_000_000
    items_max: int = 130_000
    online_deadline_ms: int = 60_000
    batch_deadline_ms: int = 4 * 3600 * 1000
    silence_ms: int = 2000
    store_wait_ms: int = 1500


class Daemon(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All settings of one daemon.

    A member is removed after `dead_ms` without a heartbeat. A daemon serves
    only while its tables were confirmed within `confirm_ms`. A stopping daemon
    waits `drain_notice_ms` after it reports that it is not ready. `report_ms`
    is the interval of load reports and orders.
    """

    id: str
    zone: str
    platform: Platform
    listen: Listen = Listen()
    ledger: Ledger = Ledger()
    limits: Limits = Limits()
    heartbeat_ms: int = 500
    dead_ms: int = 3000
    confirm_ms: int = 3000
    drain_notice_ms: int = 500
    report_ms: int = 500
    log_path: str = ""


def read(path):
    """Returns the settings in the file at `path`, or a Failure.

    The Failure's reason has the path of the file and of the field.
    """
    cfg = jsonc.read(path, Daemon)
    if isinstance(cfg, errors.Failure):
        return cfg
    return _check(cfg, path)


def _check(cfg, path):
    if cfg.ledger.partitions < 1:
        reason = f"{path}: must be 1 or more - at `$.ledger.partitions`"
        return errors.Failure(errors.Kind.BAD_SETTINGS, reason)
    if cfg.ledger.lease_ms <= cfg.platform.timeout_ms:
        reason = (
            f"{path}: must be longer than platform.timeout_ms"
            " - at `$.ledger.lease_ms`"
        )
        return errors.Failure(errors.Kind.BAD_SETTINGS, reason)
    return cfg
