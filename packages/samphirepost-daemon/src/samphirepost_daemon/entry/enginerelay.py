"""Relays requests to engines for peers that do not reach them."""

import http
import select
import threading
import time

import msgspec

from samphirepost import codec
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
        try:
            order = _order_decoder.decode(environ["wsgi.input"].read())
            # The order has a copy of the data; only one is counted.
            environ["wsgi.input"].close()
        except codec.UNREADABLE:
            return self._refuse(start_response, "unreadable", 400)
        engine = self._parts.state.roster.get(order.engine)
        if not self._is_member(environ.get("REMOTE_ADDR")):
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
        run = RelayedRun(environ, order, lambda: self._counter.end(order.item))
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


class RelayedRun:
    """A run at an engine for a peer; iterates over the response's body.

    `ended()` is called once, by close().
    """

    def __init__(self, environ, order, ended):
        self._is_disconnected = environ.get(
            "waitress.client_disconnected", lambda: False
        )
        self._order = order
        self._ended = ended
        self._deadline_s = time.monotonic() + min(order.left_s, RUN_MAX_S)
        self._sock = None

    def open(self, paths, engine):
        """Connects to the engine; raises OSError."""
        self._sock = paths.dial(engine)

    def __iter__(self):
        # From here on the engine may have the request.
        yield tunnel.OPENED
        if not self._order.data:
            return
        self._send()
        poller = select.poll()
        poller.register(self._sock, select.POLLIN)
        received = 0
        while received <= engineclient.RESPONSE_BYTES_MAX:
            if self._is_disconnected():
                raise RelayCut("the peer has left")
            if time.monotonic() > self._deadline_s:
                raise RelayCut("the peer's deadline has passed")
            if not poller.poll(PEER_POLL_S * 1000):
                continue
            data = self._receive()
            if not data:
                return
            received += len(data)
            yield data
        raise RelayCut("the response is too long")

    def _send(self):
        try:
            self._sock.settimeout(engineclient.SEND_TIMEOUT_S)
            self._sock.sendall(self._order.data)
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
