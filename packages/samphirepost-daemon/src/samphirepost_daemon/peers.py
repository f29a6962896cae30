"""Requests and replies between daemons over pynng, matched by request id.

A server always replies within the time that the request allows. A client
that receives nothing for longer has a dead or stalled connection: it retires
the connection and sends the next request over a new one.
"""

import asyncio
import concurrent.futures
import threading
import uuid

import eliot
import msgspec
import pynng

from samphirepost import codec
from samphirepost import errors
from samphirepost import messages
from samphirepost_daemon import metrics

# Requests that a server handles concurrently.
CONTEXTS = 128
# How much longer than the server the client waits for a reply.
REPLY_GRACE_S = 0.4
# Longer than any request waits, so that pynng never resends one.
RESEND_NEVER_MS = 3_600_000
# Longest wait for the end of a server's thread (s).
STOP_TIMEOUT_S = 2.0
MESSAGE_BYTES_MAX = 64 * 1024 * 1024


class TimedRequest(msgspec.Struct, frozen=True):
    """A request as sent, with the time that its reply may take (s)."""

    request: messages.Request
    wait_s: float


class Server:
    """Serves peers' commands in a thread with an event loop of its own.

    `handle` is called in that thread; it returns a reply or a future of it.
    """

    def __init__(self, address, handle):
        self._address = address
        self._handle = handle
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._socket = None
        self._contexts = []
        self._started = threading.Event()

    def start(self):
        """Starts listening; returns once peers can connect."""
        self._thread.start()
        self._started.wait()

    def stop(self):
        """Stops listening; returns once the thread has ended.

        pynng aborts the process if it exits while the thread still frees its
        contexts.
        """
        self._loop.call_soon_threadsafe(self._close)
        self._thread.join(STOP_TIMEOUT_S)

    def _close(self):
        for context in self._contexts:
            _close_quietly(context)
        _close_quietly(self._socket)

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_until_complete(self._serve())

    async def _serve(self):
        self._socket = pynng.Rep0()
        self._socket.recv_max_size = MESSAGE_BYTES_MAX
        self._socket.listen(self._address)
        self._started.set()
        self._contexts = [self._socket.new_context() for _ in range(CONTEXTS)]
        tasks = [self._serve_context(context) for context in self._contexts]
        await asyncio.gather(*tasks, return_exceptions=True)

    async def _serve_context(self, context):
        while True:
            try:
                data = await context.arecv()
                timed = codec.unpack(data, TimedRequest)
                reply = await self._answer_or_fail(timed)
                response = messages.Response(timed.request.id, reply)
                await context.asend(codec.pack(response))
            except pynng.Closed:
                return
            except (pynng.NNGException, msgspec.DecodeError):
                metrics.PEER_ERRORS.inc()

    async def _answer_or_fail(self, timed):
        """Returns the reply; a Failure if the command raises an exception.

        An exception would end the context, one of CONTEXTS, for good.
        """
        try:
            return await self._answer(timed)
        except Exception as exc:
            metrics.PEER_ERRORS.inc()
            eliot.log_message(message_type="peer:fault", error=repr(exc))
            return errors.Failure(
                errors.Kind.INTERNAL, repr(exc), errors.Outcome.UNKNOWN
            )

    async def _answer(self, timed):
        reply = self._handle(timed.request.command)
        if not isinstance(reply, concurrent.futures.Future):
            return reply
        pending = asyncio.wrap_future(reply)
        try:
            return await asyncio.wait_for(
                asyncio.shield(pending), timed.wait_s
            )
        except TimeoutError:
            return errors.Failure(
                errors.Kind.PLATFORM_UNCERTAIN,
                "the command is not durable yet",
                errors.Outcome.UNKNOWN,
            )


class Connection:
    """One socket to one peer, and its number of requests in flight."""

    __slots__ = ("requests_in_flight", "retired", "socket")

    def __init__(self, address):
        self.socket = pynng.Req0(resend_time=RESEND_NEVER_MS)
        self.socket.recv_max_size = MESSAGE_BYTES_MAX
        self.socket.dial(address, block=False)
        self.requests_in_flight = 0
        self.retired = False

    def close_if_unused(self):
        """Closes a retired connection that has no request in flight."""
        if self.retired and self.requests_in_flight == 0:
            _close_quietly(self.socket)


class Client:
    """Sends commands to peers by address; can be called from any thread.

    All exchanges run in one event loop, since pynng's blocking contexts have
    no timeout, while its asynchronous ones can be cancelled.
    """

    def __init__(self):
        self._connections = {}
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        asyncio.set_event_loop(self._loop)
        self._loop.run_forever()

    def request(self, address, command, wait_s):
        """Returns the peer's reply, or a Failure of unknown outcome."""
        request = messages.Request(uuid.uuid4().hex, command)
        data = codec.pack(TimedRequest(request, wait_s))
        exchange = self._send_request(
            address, request.id, data, wait_s + REPLY_GRACE_S
        )
        future = asyncio.run_coroutine_threadsafe(exchange, self._loop)
        return future.result()

    async def _send_request(self, address, request_id, data, timeout_s):
        connection = self._connection(address)
        connection.requests_in_flight += 1
        try:
            reply = await asyncio.wait_for(
                _exchange(connection.socket, data), timeout_s
            )
            response = codec.unpack(reply, messages.Response)
            if response.id != request_id:
                self._retire(address, connection)
                return _mismatched_reply(address)
            return response.reply
        except (TimeoutError, pynng.NNGException) as exc:
            self._retire(address, connection)
            return _unreachable(address, exc)
        finally:
            connection.requests_in_flight -= 1
            connection.close_if_unused()

    def count_connections(self, address):
        """Returns the number of usable connections to the peer (0 or 1)."""
        return int(address in self._connections)

    def _connection(self, address):
        connection = self._connections.get(address)
        if connection is None:
            connection = Connection(address)
            self._connections[address] = connection
        return connection

    def _retire(self, address, connection):
        metrics.PEER_CONNECTIONS_RETIRED.inc()
        connection.retired = True
        if self._connections.get(address) is connection:
            del self._connections[address]


async def _exchange(socket, data):
    context = socket.new_context()
    try:
        await context.asend(data)
        return await context.arecv()
    finally:
        _close_quietly(context)


def _close_quietly(closable):
    try:
        closable.close()
    except pynng.Closed:
        return


def _unreachable(address, exc):
    reason = f"{address}: {type(exc).__name__}"
    return errors.Failure(
        errors.Kind.PEER_UNREACHABLE, reason, errors.Outcome.UNKNOWN
    )


def _mismatched_reply(address):
    reason = f"{address}: the reply belongs to another request"
    return errors.Failure(
        errors.Kind.STREAM_CROSSED, reason, errors.Outcome.UNKNOWN
    )
