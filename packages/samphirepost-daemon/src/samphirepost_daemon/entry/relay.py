"""Reaches the store through a peer when it turns this VM away.

The store may refuse some VMs, or be cut off from them, while it serves the
others. A relayed call is the same typed call, made by the peer; what it may
have done is told by the same outcome. No relayed call is relayed again.
"""

import threading
import time

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors
from samphirepost_daemon.entry import store
from samphirepost_daemon.entry import web

PATH = "/store"
CONTENT = "application/msgpack"
# How often a feed looks whether the store is back (s); all other calls go to
# a peer at once meanwhile.
OUT_S = 1.0
# Peers that are asked for one call.
PEERS_MAX = 2
CONNECT_TIMEOUT_S = 0.15
CALL_TIMEOUT_S = 1.5
# A relayed feed does not wait longer than this (s), for it takes a thread of
# the peer.
FEED_WAIT_S = 0.25


class Read(msgspec.Struct, frozen=True, tag="read"):
    """Reads a range of keys."""

    table: str
    part: str
    start: str
    end: str


class Parts(msgspec.Struct, frozen=True, tag="parts"):
    """Lists the parts of a table."""

    table: str


class Feed(msgspec.Struct, frozen=True, tag="feed"):
    """Reads the changes after a revision."""

    table: str
    after: int
    wait_s: float


class Commit(msgspec.Struct, frozen=True, tag="commit"):
    """Writes a transaction."""

    expected: tuple[tuple[store.Key, int], ...]
    puts: tuple[tuple[store.Key, bytes], ...]
    removes: tuple[store.Key, ...]


class PutObject(msgspec.Struct, frozen=True, tag="put-object"):
    """Writes an object."""

    name: str
    data: bytes


class GetObject(msgspec.Struct, frozen=True, tag="get-object"):
    """Reads an object."""

    name: str


Call = Read | Parts | Feed | Commit | PutObject | GetObject


class Names(msgspec.Struct, frozen=True, tag="names"):
    """The parts of a table."""

    names: tuple[str, ...]


class Object(msgspec.Struct, frozen=True, tag="object"):
    """An object's bytes; None after a write."""

    data: bytes | None


Answer = (
    store.Page
    | store.Changes
    | store.HistoryCompacted
    | store.CommitReceipt
    | store.Conflict
    | errors.Failure
    | Names
    | Object
)
_calls = msgspec.msgpack.Decoder(Call)
_answers = msgspec.msgpack.Decoder(Answer)


def perform(client, call):
    """Makes a call at a store; returns its Answer."""
    if isinstance(call, Read):
        return client.read_rows(call.table, call.part, call.start, call.end)
    if isinstance(call, Feed):
        return client.read_changes(call.table, call.after, call.wait_s)
    if isinstance(call, Commit):
        return client.commit(
            store.Transaction(
                dict(call.expected), dict(call.puts), call.removes
            )
        )
    if isinstance(call, Parts):
        found = client.list_parts(call.table)
        return Names(found) if isinstance(found, tuple) else found
    if isinstance(call, PutObject):
        found = client.put_object(call.name, call.data)
        return Object(None) if found is None else found
    found = client.get_object(call.name)
    return Object(found) if isinstance(found, bytes) else found


class App:
    """Makes peers' calls, unless the store turns this VM away too."""

    def __init__(self, failover):
        self._failover = failover

    def __call__(self, environ, start_response):
        """Answers one call of a peer."""
        try:
            call = _calls.decode(environ["wsgi.input"].read())
        except msgspec.DecodeError as exc:
            text = f"the call is not readable: {exc}\n".encode()
            return web.reply(start_response, 400, text, "text/plain")
        answer = self._failover.direct(call)
        return web.reply(start_response, 200, codec.pack(answer), CONTENT)


class Failover:
    """A store that is called directly, or through a peer while it is out."""

    def __init__(self, me, client, members, log, metrics):
        self._me = me
        self._client = client
        self._members = members
        self._log = log
        self._metrics = metrics
        self._out = False
        self._probe_s = 0.0
        self._preferred = None
        self._lock = threading.Lock()

    def read_rows(self, table, part, start="", end=""):
        """Reads a range of keys."""
        return self._call(Read(table, part, start, end))

    def list_parts(self, table):
        """Lists the parts of a table."""
        found = self._call(Parts(table))
        return found.names if isinstance(found, Names) else found

    def read_changes(self, table, after, wait_s):
        """Reads the changes after a revision."""
        return self._call(Feed(table, after, wait_s))

    def commit(self, transaction):
        """Writes a transaction."""
        return self._call(
            Commit(
                tuple(transaction.expected.items()),
                tuple(transaction.puts.items()),
                transaction.removes,
            )
        )

    def put_object(self, name, data):
        """Writes an object unless it exists."""
        found = self._call(PutObject(name, data))
        return None if isinstance(found, Object) else found

    def get_object(self, name):
        """Reads an object."""
        found = self._call(GetObject(name))
        return found.data if isinstance(found, Object) else found

    def direct(self, call):
        """Makes a call without a peer; fails at once while it would fail."""
        if self._out and not self._probes(call):
            reason = "the store is out of reach here"
            return errors.Failure(errors.Kind.PLATFORM_OUT, reason)
        return self._try(call)

    def _probes(self, call):
        """Whether a call looks if the store is back: no caller waits for it.

        One feed does so at a time, every OUT_S.
        """
        now_s = time.monotonic()
        if not isinstance(call, Feed) or now_s < self._probe_s:
            return False
        self._probe_s = now_s + OUT_S
        return True

    def _try(self, call):
        found = perform(self._client, call)
        if _shows_outage(call, found):
            self._out = True
            self._probe_s = time.monotonic() + OUT_S
        elif not isinstance(found, errors.Failure):
            self._out = False
        return found

    def _call(self, call):
        known_out = self._out
        found = self.direct(call)
        if not isinstance(found, errors.Failure):
            return found
        for peer, address in self._peers():
            relayed = self._relay(address, call)
            if isinstance(relayed, errors.Failure):
                if relayed.outcome is errors.Outcome.UNKNOWN:
                    found = relayed
                continue
            self._prefer(peer, found.reason)
            return relayed
        if known_out and found.outcome is errors.Outcome.NOT_RUN:
            return self._try(call)
        return found

    def _peers(self):
        peers = [
            (vm, address)
            for vm, address in self._members().items()
            if vm != self._me
        ]
        peers.sort(key=lambda peer: (peer[0] != self._preferred, peer[0]))
        turn = int(time.monotonic()) % max(1, len(peers) - 1)
        return [*peers[:1], *peers[1 + turn :]][:PEERS_MAX]

    def _prefer(self, peer, reason):
        if peer != self._preferred:
            self._preferred = peer
            self._log.event("store.relayed", through=peer, reason=reason)

    def _relay(self, address, call):
        if isinstance(call, Feed):
            wait_s = min(call.wait_s, FEED_WAIT_S)
            call = msgspec.structs.replace(call, wait_s=wait_s)
        conn = urllib3.connection.HTTPConnection(
            address[0], address[1], timeout=CONNECT_TIMEOUT_S
        )
        try:
            return self._exchange(conn, call)
        finally:
            conn.close()

    def _exchange(self, conn, call):
        try:
            conn.connect()
        except (OSError, urllib3.exceptions.HTTPError) as exc:
            return self._failed(f"a peer cannot be reached: {exc}")
        conn.timeout = CALL_TIMEOUT_S
        headers = {"Content-Type": CONTENT, "Connection": "close"}
        try:
            conn.request("POST", PATH, body=codec.pack(call), headers=headers)
            resp = conn.getresponse()
            found = _answers.decode(resp.data)
        except (
            OSError,
            urllib3.exceptions.HTTPError,
            msgspec.DecodeError,
        ) as exc:
            return self._failed(f"a peer did not answer: {exc!r}").unknown()
        self._metrics.store_calls.labels("relayed", "answered").inc()
        return found

    def _failed(self, reason):
        self._metrics.store_calls.labels("relayed", "failed").inc()
        return errors.Failure(errors.Kind.PEER_UNREACHABLE, reason)


def _shows_outage(call, found):
    """Whether a failure speaks against the store's being reachable.

    A feed that hangs does not: the store drops feeds with its history.
    """
    if not isinstance(found, errors.Failure):
        return False
    hung = found.outcome is errors.Outcome.UNKNOWN
    return not (hung and isinstance(call, Feed))
