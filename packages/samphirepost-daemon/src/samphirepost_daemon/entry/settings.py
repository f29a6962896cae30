"""Settings of the entry daemon, read from JSON with comments."""

import math

import msgspec

from samphirepost import addresses
from samphirepost import errors
from samphirepost import jsonc
from samphirepost import quotas


class ListenSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses (IP:PORT) that the daemon listens on.

    `callers` is for callers, `readiness` for readiness checks and metrics.
    `threads` is the largest number of callers' requests served at a time, and
    `connections` that of callers' connections. See callerguard.Limits for the
    others.
    """

    callers: str
    readiness: str
    threads: int = 64
    connections: int = 1000
    head_bytes: int = 32_768
    head_s: float = 10.0
    body_silence_s: float = 15.0
    empty_line_bytes: int = 1_024


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The platform's store; it limits a row's value to `row_bytes_max`."""

    address: str
    row_bytes_max: int = 65536


class RevocationSettings(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True
):
    """How soon a withdrawn key of an organisation must be out of use.

    With `is_strict`, keys are refused once the tables were not confirmed for
    `bound_s`; else not during an outage of the store.
    """

    bound_s: float = 5.0
    is_strict: bool = False


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All settings of one entry daemon.

    Peers send load reports by UDP, and relayed store requests by HTTP, to
    `peer_address` at `peer_port`. `stop_s` is the time from SIGTERM to
    SIGKILL; callers may still send requests for `unready_s` after SIGTERM.
    `memory_mb` is the memory that the VM gives the process; 0 if unknown.
    With `follow_rises`, batch items leave more slots free after online use has
    risen, so that fewer of them are stopped, and fewer are done.
    """

    id: str
    zone: str
    listen: ListenSettings
    store: StoreSettings
    peer_address: str
    peer_port: int
    stop_s: float = 8.0
    unready_s: float = 3.0
    memory_mb: float = 0.0
    follow_rises: bool = False
    quota: quotas.Bounds = quotas.Bounds()
    revocation: RevocationSettings = RevocationSettings()


def read(path):
    """Returns the settings in the file at `path`, or a Failure.

    Unknown fields and invalid addresses are failures.
    """
    cfg = jsonc.read(path, EntrySettings)
    if isinstance(cfg, errors.Failure):
        return cfg
    address_by_field = {
        "listen.callers": cfg.listen.callers,
        "listen.readiness": cfg.listen.readiness,
        "store.address": cfg.store.address,
    }
    for field, address in address_by_field.items():
        if isinstance(addresses.parse(address), errors.Failure):
            return errors.Failure(
                errors.Kind.BAD_SETTINGS,
                f"{path}: must be IP:PORT, not {address!r} - at `$.{field}`",
            )
    numbers_by_field = {
        "memory_mb": cfg.memory_mb,
        "quota.window_s": cfg.quota.window_s,
        "quota.overshoot": cfg.quota.overshoot,
        "quota.slack": cfg.quota.slack,
        "revocation.bound_s": cfg.revocation.bound_s,
    }
    for field, number in numbers_by_field.items():
        if not math.isfinite(number) or number < 0:
            return errors.Failure(
                errors.Kind.BAD_SETTINGS,
                f"{path}: must be a number from 0 on - at `$.{field}`",
            )
    return _check_limits(path, cfg)


def _check_limits(path, cfg):
    """Returns the settings, or a Failure if a listener would refuse all."""
    numbers_by_field = {
        "listen.connections": cfg.listen.connections,
        "listen.head_bytes": cfg.listen.head_bytes,
        "listen.head_s": cfg.listen.head_s,
        "listen.body_silence_s": cfg.listen.body_silence_s,
        "listen.empty_line_bytes": cfg.listen.empty_line_bytes,
    }
    for field, number in numbers_by_field.items():
        if not math.isfinite(number) or number <= 0:
            return errors.Failure(
                errors.Kind.BAD_SETTINGS,
                f"{path}: must be a number above 0 - at `$.{field}`",
            )
    return cfg
