"""Sends store requests through a peer while the store is unavailable here.

The store may refuse some VMs, or be unreachable from them, while it serves
the others. A peer repeats the same typed request at the store and returns
the store's answer; the outcome of a failure says whether a write may have
taken effect. A relayed request is never relayed again.

A feed is a request for the changes of a table (ReadChanges), which the store
answers when there is a change or after a wait.
"""

import threading
import time

import msgspec
import urllib3

from samphirepost import codec
from samphirepost import errors
from samphirepost import memorybudget
from samphirepost_daemon.entry import boundedhttp
from samphirepost_daemon.entry import store
from samphirepost_daemon.entry import web

PATH = "/store"
CONTENT_TYPE = "application/msgpack"
# Interval at which a feed checks whether the store is available again; until
# then, all other requests go to a peer at once.
PROBE_INTERVAL_S = 1.0
# Number of peers that one request is sent to, one after the other.
PEERS_MAX = 2
CONNECT_TIMEOUT_S = 0.15
REQUEST_TIMEOUT_S = 1.5
# Longest wait of a relayed feed, as it occupies a thread of the peer.
FEED_WAIT_MAX_S = 0.25


class ReadRange(msgspec.Struct, frozen=True, tag="read"):
    """Request to read a range of keys."""

    table: str
    part: str
    start: str
    end: str


class ListParts(msgspec.Struct, frozen=True, tag="parts"):
    """Request to list the parts of a table."""

    table: str


class ReadChanges(msgspec.Struct, frozen=True, tag="feed"):
    """Request for the changes after a revision."""

    table: str
    after: int
    wait_s: float


class WriteTransaction(msgspec.Struct, frozen=True, tag="commit"):
    """Request to write a transaction."""

    expected: tuple[tuple[store.Key, int], ...]
    puts: tuple[tuple[store.Key, bytes], ...]
    removes: tuple[store.Key, ...]


class PutObject(msgspec.Struct, frozen=True, tag="put-object"):
    """Request to write an object."""

    name: str
    data: bytes


class GetObject(msgspec.Struct, frozen=True, tag="get-object"):
    """Request to read an object."""

    name: str


StoreRequest = (
    ReadRange
    | ListParts
    | ReadChanges
    | WriteTransaction
    | PutObject
    | GetObject
)


class PartNames(msgspec.Struct, frozen=True, tag="names"):
    """Answer that lists the parts of a table."""

    names: tuple[str, ...]


class ObjectData(msgspec.Struct, frozen=True, tag="object"):
    """Answer with an object's bytes; None after a write."""

    data: bytes | None


StoreAnswer = (
    store.Page
    | store.Changes
    | store.HistoryCompacted
    | store.CommitReceipt
    | store.Conflict
    | errors.Failure
    | PartNames
    | ObjectData
)
_request_decoder = msgspec.msgpack.Decoder(StoreRequest)
_answer_decoder = msgspec.msgpack.Decoder(StoreAnswer)


def perform_request(client, request):
    """Sends a request to the store through `client`; returns a StoreAnswer."""
    if isinstance(request, ReadRange):
        return client.read_rows(
            request.table, request.part, request.start, request.end
        )
    if isinstance(request, ReadChanges):
        return client.read_changes(
            request.table, request.after, request.wait_s
        )
    if isinstance(request, WriteTransaction):
        return client.commit(
            store.Transaction(
                dict(request.expected), dict(request.puts), request.removes
            )
        )
    if isinstance(request, ListParts):
        result = client.list_parts(request.table)
        return PartNames(result) if isinstance(result, tuple) else result
    if isinstance(request, PutObject):
        failure = client.put_object(request.name, request.data)
        return ObjectData(None) if failure is None else failure
    result = client.get_object(request.name)
    return ObjectData(result) if isinstance(result, bytes) else result


class RelayApp:
    """WSGI application that serves the store requests of peers.

    It answers with a failure while the store is unavailable here too.
    """

    def __init__(self, failover):
        self._failover = failover

    def __call__(self, environ, start_response):
        """Answers one store request of a peer."""
        try:
            request = _request_decoder.decode(environ["wsgi.input"].read())
            # The request has a copy of the data; only one is counted.
            environ["wsgi.input"].close()
        except codec.UNREADABLE as exc:
            text = f"the call is not readable: {exc}\n".encode()
            return web.send_response(start_response, 400, text, "text/plain")
        answer = self._failover.request_directly(request)
        return web.send_response(
            start_response, 200, codec.pack(answer), CONTENT_TYPE
        )


class FailoverStore:
    """A store client that uses peers while the store is unavailable here.

    Implements store.Store and is used by many threads. `members` returns the
    addresses of all daemons by VM id.
    """

    def __init__(
        self, me, client, members, log, metrics, watchdog, budget=None
    ):
        self._me = me
        self._budget = budget
        self._watchdog = watchdog
        self._client = client
        self._members = members
        self._log = log
        self._metrics = metrics
        self._unavailable = False
        self._next_probe_s = 0.0
        self._preferred_peer = None
        self._lock = threading.Lock()

    def read_rows(self, table, part, start="", end=""):
        """Reads a range of keys."""
        return self._request(ReadRange(table, part, start, end))

    def list_parts(self, table):
        """Lists the parts of a table."""
        answer = self._request(ListParts(table))
        return answer.names if isinstance(answer, PartNames) else answer

    def read_changes(self, table, after, wait_s):
        """Reads the changes after a revision."""
        return self._request(ReadChanges(table, after, wait_s))

    def commit(self, transaction):
        """Writes a transaction."""
        return self._request(
            WriteTransaction(
                tuple(transaction.expected.items()),
                tuple(transaction.puts.items()),
                transaction.removes,
            )
        )

    def put_object(self, name, data):
        """Writes an object unless it exists."""
        answer = self._request(PutObject(name, data))
        return None if isinstance(answer, ObjectData) else answer

    def get_object(self, name):
        """Reads an object."""
        answer = self._request(GetObject(name))
        return answer.data if isinstance(answer, ObjectData) else answer

    def request_directly(self, request):
        """Sends a request to the store itself; returns a StoreAnswer.

        While the store is unavailable, returns a failure at once unless the
        request is a feed that probes the store.
        """
        if self._unavailable and not self._should_probe(request):
            reason = "the store is out of reach here"
            return errors.Failure(errors.Kind.PLATFORM_OUT, reason)
        return self._request_store(request)

    def _should_probe(self, request):
        """Whether a request checks if the store is available again.

        Only feeds do, as no caller waits for them: one every PROBE_INTERVAL_S.
        """
        now_s = time.monotonic()
        if not isinstance(request, ReadChanges) or now_s < self._next_probe_s:
            return False
        self._next_probe_s = now_s + PROBE_INTERVAL_S
        return True

    def _request_store(self, request):
        answer = perform_request(self._client, request)
        if _shows_outage(request, answer):
            self._unavailable = True
            self._next_probe_s = time.monotonic() + PROBE_INTERVAL_S
        elif not isinstance(answer, errors.Failure):
            self._unavailable = False
        return answer

    def _request(self, request):
        was_unavailable = self._unavailable
        answer = self.request_directly(request)
        if not isinstance(answer, errors.Failure) or _lacks_memory(answer):
            return answer
        for peer, address in self._choose_peers():
            relayed = self._relay(address, request)
            if isinstance(relayed, errors.Failure):
                if relayed.outcome is errors.Outcome.UNKNOWN:
                    answer = relayed
                continue
            self._prefer(peer, answer.reason)
            return relayed
        # No peer served the request either; the store may be available again.
        if was_unavailable and answer.outcome is errors.Outcome.NOT_RUN:
            return self._request_store(request)
        return answer

    def _choose_peers(self):
        """Returns up to PEERS_MAX peers, the preferred one first.

        Which other peers follow changes every second.
        """
        peers = [
            (vm, address)
            for vm, address in self._members().items()
            if vm != self._me
        ]
        peers.sort(key=lambda peer: (peer[0] != self._preferred_peer, peer[0]))
        offset = int(time.monotonic()) % max(1, len(peers) - 1)
        return [*peers[:1], *peers[1 + offset :]][:PEERS_MAX]

    def _prefer(self, peer, reason):
        if peer != self._preferred_peer:
            self._preferred_peer = peer
            self._log.event("store.relayed", through=peer, reason=reason)

    def _relay(self, address, request):
        if isinstance(request, ReadChanges):
            wait_s = min(request.wait_s, FEED_WAIT_MAX_S)
            request = msgspec.structs.replace(request, wait_s=wait_s)
        conn = urllib3.connection.HTTPConnection(
            address[0], address[1], timeout=CONNECT_TIMEOUT_S
        )
        account = None
        if self._budget is not None:
            account = self._budget.account(memorybudget.Kind.STORE, address[0])
        try:
            return self._request_peer(conn, request, account)
        finally:
            conn.close()
            if account is not None:
                account.close()

    def _request_peer(self, conn, request, account):
        try:
            conn.connect()
        except (OSError, urllib3.exceptions.HTTPError) as exc:
            return self._relay_failure(f"a peer cannot be reached: {exc}")
        conn.timeout = REQUEST_TIMEOUT_S
        headers = {"Content-Type": CONTENT_TYPE, "Connection": "close"}
        try:
            _, data = boundedhttp.request(
                conn,
                self._watchdog,
                "POST",
                PATH,
                codec.pack(request),
                headers,
                account,
            )
            answer = _answer_decoder.decode(data)
        except boundedhttp.NoMemoryError as exc:
            return errors.Failure(
                errors.Kind.NO_MEMORY, str(exc), errors.Outcome.UNKNOWN
            )
        except (*boundedhttp.FAILURES, *codec.UNREADABLE) as exc:
            return self._relay_failure(
                f"a peer did not answer: {exc!r}"
            ).as_unknown()
        self._metrics.store_calls.labels("relayed", "answered").inc()
        return answer

    def _relay_failure(self, reason):
        self._metrics.store_calls.labels("relayed", "failed").inc()
        return errors.Failure(errors.Kind.PEER_UNREACHABLE, reason)


def _shows_outage(request, answer):
    """Whether an answer shows that the store is unavailable.

    A feed that times out does not: the store drops pending feeds when it
    compacts its change history.
    """
    if not isinstance(answer, errors.Failure) or _lacks_memory(answer):
        return False
    timed_out = answer.outcome is errors.Outcome.UNKNOWN
    return not (timed_out and isinstance(request, ReadChanges))


def _lacks_memory(answer):
    """Whether an answer did not fit in memory; other requests may succeed."""
    return (
        isinstance(answer, errors.Failure)
        and answer.kind is errors.Kind.NO_MEMORY
    )
