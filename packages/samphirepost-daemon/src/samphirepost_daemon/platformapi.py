"""HTTP clients of the platform: table service, object store and VM list.

Every call returns a value or an `errors.Failure`: of kind PLATFORM_OUT if
the call certainly had no effect, of kind PLATFORM_UNCERTAIN if a write may
have taken effect.
"""

import enum
import uuid

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors

ABSENT = 0
CONNECTIONS_MAX = 32


class VersionedRow(msgspec.Struct, frozen=True):
    """A row, its revision and the id of the write that produced it."""

    key: str
    revision: int
    write: str
    value: bytes


class Transaction(msgspec.Struct, frozen=True):
    """Puts that take effect together if every check holds.

    `checks` maps keys to the revision that the row must have; ABSENT means
    that the row must not exist.
    """

    write: str
    checks: dict[str, int]
    puts: dict[str, bytes]


class Written(msgspec.Struct, frozen=True, tag="written"):
    """The transaction took effect; the new revision of each row."""

    revisions: dict[str, int]


class Conflict(msgspec.Struct, frozen=True, tag="conflict"):
    """A row was at another revision; nothing was written."""

    revisions: dict[str, int]


class Rows(msgspec.Struct, frozen=True):
    """The rows of a scan."""

    rows: tuple[VersionedRow, ...]


class VmState(enum.Enum):
    """State of a VM in the platform's list, which may lag behind."""

    LIVE = "live"
    LEAVING = "leaving"


class Vm(msgspec.Struct, frozen=True):
    """One VM of the platform's list; `address` is its peer address."""

    id: str
    state: VmState
    address: str = ""


class VmRows(msgspec.Struct, frozen=True):
    """The platform's list of VMs."""

    vms: tuple[Vm, ...]


def new_write_id():
    """Returns a new unique id for a write."""
    return uuid.uuid4().hex


class HttpClient:
    """Sends requests to one service of the platform, with a timeout."""

    def __init__(self, url, timeout_ms):
        timeout_s = timeout_ms / 1000
        self._url = url
        self._pool = urllib3.PoolManager(
            maxsize=CONNECTIONS_MAX,
            retries=False,
            timeout=urllib3.Timeout(connect=timeout_s, read=timeout_s),
        )

    def request(self, method, path, body=None, fields=None):
        """Sends one request; returns the response, or a Failure."""
        try:
            reply = self._pool.request(
                method, self._url + path, body=body, fields=fields
            )
        except urllib3.exceptions.NewConnectionError:
            return _unavailable(f"{self._url} cannot be reached")
        except urllib3.exceptions.ConnectTimeoutError:
            return _unavailable(f"{self._url} cannot be reached")
        except urllib3.exceptions.HTTPError as exc:
            return _uncertain(f"{self._url}: {type(exc).__name__}")
        if reply.status == 503:
            return _unavailable(f"{self._url} refuses")
        if reply.status >= 500:
            return _uncertain(f"{self._url} answers {reply.status}")
        return reply


class TableService:
    """Client of the transactional table service."""

    def __init__(self, http):
        self._http = http

    def read(self, key):
        """Returns the row, None if it is absent, or a Failure."""
        reply = self._http.request("GET", "/rows", fields={"key": key})
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status == 404:
            return None
        return codec.from_json(reply.data, VersionedRow)

    def scan(self, prefix):
        """Returns the rows whose keys begin with the prefix, or a Failure."""
        reply = self._http.request("GET", "/scan", fields={"prefix": prefix})
        if isinstance(reply, errors.Failure):
            return reply
        found = codec.from_json(reply.data, Rows)
        return found if isinstance(found, errors.Failure) else found.rows

    def write(self, transaction):
        """Returns Written, Conflict or a Failure."""
        body = codec.to_json(transaction)
        reply = self._http.request("POST", "/transactions", body=body)
        if isinstance(reply, errors.Failure):
            return reply
        return codec.from_json(reply.data, Written | Conflict)


class ObjectStore:
    """Client of the object store."""

    def __init__(self, http):
        self._http = http

    def put(self, name, data):
        """Stores the bytes; returns None or a Failure."""
        reply = self._http.request("PUT", f"/objects/{name}", body=data)
        return reply if isinstance(reply, errors.Failure) else None

    def get(self, name):
        """Returns the bytes or a Failure."""
        reply = self._http.request("GET", f"/objects/{name}")
        if isinstance(reply, errors.Failure):
            return reply
        if reply.status == 404:
            return errors.Failure(errors.Kind.NOT_FOUND, f"no object {name}")
        return reply.data


class VmList:
    """Client of the platform's list of live and leaving VMs."""

    def __init__(self, http):
        self._http = http

    def read(self):
        """Returns the VMs or a Failure."""
        reply = self._http.request("GET", "/vms")
        if isinstance(reply, errors.Failure):
            return reply
        found = codec.from_json(reply.data, VmRows)
        return found if isinstance(found, errors.Failure) else found.vms


class Platform:
    """The clients of the platform's three services."""

    __slots__ = ("objects", "table", "vms")

    def __init__(self, table, objects, vms):
        self.table = table
        self.objects = objects
        self.vms = vms


def connect(cfg):
    """Returns the Platform at the addresses in the settings."""
    return Platform(
        TableService(HttpClient(cfg.table_url, cfg.timeout_ms)),
        ObjectStore(HttpClient(cfg.object_url, cfg.timeout_ms)),
        VmList(HttpClient(cfg.vms_url, cfg.timeout_ms)),
    )


def write_with_readback(table, transaction):
    """Writes once, and reads a row back if the outcome is in doubt.

    If no response was received, or on a conflict, the row's write id tells
    whether this transaction, perhaps in an earlier attempt, took effect.
    Returns Written, Conflict, or a Failure. After a Failure the same
    transaction must be retried before another one is sent: the first may
    still take effect.
    """
    outcome = table.write(transaction)
    if isinstance(outcome, Written):
        return outcome
    if isinstance(outcome, errors.Failure):
        if outcome.kind is errors.Kind.PLATFORM_OUT:
            return outcome
    return _read_back(table, transaction, outcome)


def _read_back(table, transaction, outcome):
    key = next(iter(transaction.puts))
    row = table.read(key)
    if isinstance(row, errors.Failure):
        return row.as_unknown()
    if row is not None and row.write == transaction.write:
        return Written({key: row.revision})
    if isinstance(outcome, Conflict):
        return outcome
    revision = ABSENT if row is None else row.revision
    if revision != transaction.checks.get(key, revision):
        return Conflict({key: revision})
    return outcome


def _unavailable(reason):
    return errors.Failure(errors.Kind.PLATFORM_OUT, reason)


def _uncertain(reason):
    return errors.Failure(
        errors.Kind.PLATFORM_UNCERTAIN, reason, errors.Outcome.UNKNOWN
    )
