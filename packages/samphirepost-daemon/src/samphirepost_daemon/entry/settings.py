"""The entry daemon's settings: JSON with comments, every field checked."""

import msgspec

from samphirepost import errors
from samphirepost import jsonc


class Listen(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Addresses (IP:PORT) for callers and for readiness and metrics."""

    callers: str
    readiness: str
    threads: int = 64


class Store(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """The platform's store and the largest row value it takes (bytes)."""

    address: str
    row_bytes_max: int = 65536


class Entry(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """Everything that one entry daemon is told when it starts.

    `peer_address` is where peers send their loads. `stop_s` is the time from
    SIGTERM to SIGKILL, `unready_s` how long callers still come after it.
    """

    id: str
    zone: str
    listen: Listen
    store: Store
    peer_address: str
    peer_port: int
    stop_s: float = 8.0
    unready_s: float = 3.0


def read(path):
    """Returns the settings in the file at `path`, or a Failure."""
    found = jsonc.read(path, Entry)
    if isinstance(found, errors.Failure):
        return found
    addresses = {
        "listen.callers": found.listen.callers,
        "listen.readiness": found.listen.readiness,
        "store.address": found.store.address,
    }
    for field, address in addresses.items():
        host, _, port = address.rpartition(":")
        if not host or not port.isdigit():
            return errors.Failure(
                errors.Kind.BAD_SETTINGS,
                f"{path}: must be IP:PORT, not {address!r} - at `$.{field}`",
            )
    return found
