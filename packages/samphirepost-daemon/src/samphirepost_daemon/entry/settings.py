"""Settings of the entry daemon, read from JSON with comments."""

import msgspec

from samphirepost import addresses
from samphirepost import errors
from samphirepost import jsonc


class ListenSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses (IP:PORT) that the daemon listens on.

    `callers` is for callers, `readiness` for readiness checks and metrics.
    `threads` is the largest number of callers' requests served at a time.
    """

    callers: str
    readiness: str
    threads: int = 64


class StoreSettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The platform's store; it limits a row's value to `row_bytes_max`."""

    address: str
    row_bytes_max: int = 65536


class EntrySettings(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """All settings of one entry daemon.

    Peers send load reports by UDP, and relayed store requests by HTTP, to
    `peer_address` at `peer_port`. `stop_s` is the time from SIGTERM to
    SIGKILL; callers may still send requests for `unready_s` after SIGTERM.
    """

    id: str
    zone: str
    listen: ListenSettings
    store: StoreSettings
    peer_address: str
    peer_port: int
    stop_s: float = 8.0
    unready_s: float = 3.0


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
    return cfg
