"""Relays requests to engines for peers that do not reach them."""

import http
import select
import threading
import time

import msgspec

from samphirepost import codec
from samphirepost import memorybudget
from samphirepost import relays
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import tunnel
from samphirepost_daemon.entry import web

# Interval at which a relayed run checks whether the peer has left (s).
PEER_POLL_S = 0.05
# Runs of batch items among those that are relayed.
ITEM_RUNS_MAX = relays.RUNS_MAX // 2
# Longest run that is relayed (s).
RUN_MAX_S = 60.0
# The engine is not read while the peer has yet to take this many bytes.
PENDING_BYTES_MAX = 16_384
# First wait for a slow peer (s); each further one is twice as long, up to
# PEER_POLL_S.
PENDING_POLL_S = 0.002
# A buffer of the listener holds this many bytes, sent or not.
OUTPUT_BYTES_MAX = 2 * PENDING_BYTES_MAX
# Bytes that one run keeps of its answer.
RUN_BYTES = OUTPUT_BYTES_MAX + engineclient.RECEIVE_BYTES_MAX
_order_decoder = msgspec.msgpack.Decoder(tunnel.RelayOrder)


class RelayCut(Exception):
    """The engine's answer cannot be relayed to its end.

    Raised into the listener, which closes the peer's connection without the
    end of the body.
    """


class RunCounter:
    """Counts the runs that are relayed at a time, to limit them."""

    def __init__(self):
        self._lock = threading.Lock()
        self._runs = 0
        self._items = 0

    def try_start(self, item):
        """Counts a run; returns False if there are too many."""
        with self._lock:
            if self._runs >= relays.RUNS_MAX:
                return False
            if item and self._items >= ITEM_RUNS_MAX:
                return False
            self._runs += 1
            self._items += item
            return True

    @property
    def is_idle(self):
        """Whether no run is relayed."""
        return not self._runs

    def end(self, item):
        """Counts the end of a run."""
        with self._lock:
            self._runs -= 1
            self._items -= item


class EngineRelayApp:
    """WSGI application that serves the relay orders of peers.

    `member_addresses()` returns the addresses of the daemons by VM id; it
    serves no others, and only engines that the registry lists.
    """

    def __init__(self, parts, member_addresses):
        self._parts = parts
        self._member_addresses = member_addresses
        self._counter = RunCounter()

    @property
    def is_idle(self):
        """Whether nothing is relayed."""
        return self._counter.is_idle

    def __call__(self, environ, start_response):
        """Answers one order; see tunnel for the response."""
        peer = environ.get("REMOTE_ADDR")
        try:
            order = _order_decoder.decode(environ["wsgi.input"].read())
            # The order has a copy of the data; only one is counted.
            environ["wsgi.input"].close()
        except codec.UNREADABLE:
            return self._refuse(start_response, "unreadable", 400)
        engine = self._parts.state.roster.get(order.engine)
        if not self._is_member(peer):
            return self._refuse(start_response, "not-member", 403)
        is_test = not order.data
        if engine is None or not (
            is_test or self._parts.state.is_usable(engine)
        ):
            return self._refuse(start_response, "no-engine")
        if self._parts.state.stop_began_s is not None:
            return self._refuse(start_response, "stopping")
        if not self._counter.try_start(order.item):
            return self._refuse(start_response, "full")
        memory = RelayMemory(self._parts.budget, peer)
        if not memory.take(len(order.data)):
            self._counter.end(order.item)
            return self._refuse(start_response, "no-memory")

        def end_run(is_item=order.item):
            self._counter.end(is_item)
            memory.close()

        run = RelayedRun(environ, order, memory, end_run)
        try:
            run.open(self._parts.paths, engine)
        except OSError:
            run.close()
            return self._refuse_unreached(start_response, engine.id)
        self._parts.metrics.relayed.labels("peer", "opened").inc()
        headers = [("Content-Type", "application/octet-stream")]
        start_response(web.status_line(http.HTTPStatus.OK), headers)
        return run

    def _is_member(self, host):
        return any(
            address[0] == host
            for address in list(self._member_addresses().values())
        )

    def _refuse_unreached(self, start_response, engine_id):
        """Refuses; the status tells if only this engine is unreached."""
        if not self._parts.paths.reaches_others(engine_id):
            return self._refuse(start_response, "no-path")
        return self._refuse(
            start_response, "engine-unreached", tunnel.ENGINE_UNREACHED
        )

    def _refuse(
        self,
        start_response,
        reason,
        status=http.HTTPStatus.SERVICE_UNAVAILABLE,
    ):
        self._parts.metrics.relayed.labels("peer", reason).inc()
        return web.send_response(
            start_response, status, reason.encode(), "text/plain"
        )


class RelayMemory:
    """What one relayed run keeps, of the request and of the answer.

    The request's bytes are the caller's of the peer, and kept until they are
    sent.
    """

    def __init__(self, budget, peer):
        self._request = budget.account(memorybudget.Kind.CALLER, peer)
        self._answer = budget.account(memorybudget.Kind.RELAY, peer)

    def take(self, request_bytes):
        """Takes what the run needs; returns whether it was free."""
        if self._answer.take(RUN_BYTES) and self._request.take(request_bytes):
            return True
        self.close()
        return False

    def request_sent(self):
        """Gives back what the request needed."""
        self._request.close()

    def close(self):
        """Gives everything back."""
        self._request.close()
        self._answer.close()


class RelayedRun:
    """A run at an engine for a peer; iterates over the response's body.

    `memory` is its RelayMemory. `ended()` is called once, by close().
    """

    def __init__(self, environ, order, memory, ended):
        self._is_disconnected = environ.get(
            "waitress.client_disconnected", lambda: False
        )
        # The method of a waitress channel, outside of tests.
        self._channel = getattr(self._is_disconnected, "__self__", None)
        self._data = order.data
        self._memory = memory
        self._ended = ended
        self._deadline_s = time.monotonic() + min(order.left_s, RUN_MAX_S)
        self._sock = None

    def open(self, paths, engine):
        """Connects to the engine; raises OSError."""
        self._sock = paths.dial(engine)

    def __iter__(self):
        # From here on the engine may have the request.
        yield tunnel.OPENED
        if not self._data:
            return
        self._send()
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        pause = threading.Event()
        pause_s = PENDING_POLL_S
        received = 0
        while received <= engineclient.RESPONSE_BYTES_MAX:
            if self._is_disconnected():
                raise RelayCut("the peer has left")
            if time.monotonic() > self._deadline_s:
                raise RelayCut("the peer's deadline has passed")
            if self._pending_bytes() > PENDING_BYTES_MAX:
                # What is not read waits at the engine.
                pause.wait(pause_s)
                pause_s = min(PEER_POLL_S, 2 * pause_s)
                continue
            pause_s = PENDING_POLL_S
            if not poller.poll(PEER_POLL_S * 1000):
                continue
            data = self._receive()
            if not data:
                return
            received += len(data)
            yield data
        raise RelayCut("the response is too long")

    def _pending_bytes(self):
        """Returns how many bytes the peer has yet to take."""
        if self._channel is None:
            return 0
        return self._channel.total_outbufs_len

    def _send(self):
        try:
            self._sock.settimeout(engineclient.SEND_TIMEOUT_S)
            self._sock.sendall(self._data)
            self._data = b""
            self._memory.request_sent()
            self._sock.setblocking(False)
        except OSError as exc:
            raise RelayCut(f"send: {exc}") from exc

    def _receive(self):
        try:
            return self._sock.recv(engineclient.RECEIVE_BYTES_MAX)
        except OSError as exc:
            raise RelayCut(f"receive: {exc}") from exc

    def close(self):
        """Ends the run, upon which the engine drops the request."""
        ended, self._ended = self._ended, None
        if ended is None:
            return
        if self._sock is not None:
            self._sock.close()
        ended()
