"""Connections of a listener that keep within limits and a memory budget.

Called by the listener's thread, except write_soon() and service(), which the
thread of the request calls.
"""

import collections
import errno
import socket
import time

from waitress import channel
from waitress import server
from waitress import task

from samphirepost_daemon import boundedparser
from samphirepost_daemon import callerguard
from samphirepost_daemon import outputbuffer

# Memory of the objects of one connection.
CONNECTION_BYTES = 4_096
# Most bytes that are copied for one call of send().
SEND_BYTES = 65_536
# Time in which a refused caller may read its refusal while it still sends.
LINGER_S = 2.0
# A request that is not complete after this time gives way if memory is short;
# a legal head arrives within it.
EVICTION_AGE_S = 3.0


class OutputRefused(channel.ClientDisconnected):
    """The budget has no bytes for the rest of an answer.

    waitress then ends the request as if the caller had disconnected.
    """


class BoundedTask(task.WSGITask):
    """Answers a request; tells the application why the answer has ended."""

    def get_environment(self):
        """Returns the WSGI environment; ANSWER_CUT is a callable in it."""
        environ = super().get_environment()
        environ[callerguard.ANSWER_CUT] = self.channel.is_answer_cut
        return environ


class BoundedChannel(channel.HTTPChannel):
    """One connection; it reads one request and sends one answer.

    What arrives after the first request is dropped, as the listener closes
    the connection after the answer.
    """

    task_class = BoundedTask

    def __init__(self, bounded_server, sock, addr, adj, map=None):
        self._guard = bounded_server.guard
        self._holder = f"{addr[0]}:{addr[1]}"
        self._output = self._guard.account(self._holder)
        self._own = self._guard.account(self._holder)
        self._is_read = False
        self._is_refused = False
        self._is_cut = False
        self._empty_line_bytes = 0
        self._first_byte_s = None
        self._last_byte_s = None
        self._linger_end_s = None
        self.opened_s = time.monotonic()
        super().__init__(bounded_server, sock, addr, adj, map=map)
        self.sendbuf_len = min(self.sendbuf_len, SEND_BYTES)
        self.outbufs = [outputbuffer.OutputBuffer()]
        refusal = self._take(self._own, CONNECTION_BYTES)
        if refusal is not None:
            self._guard.report(refusal, self._holder)
            self.will_close = True

    @property
    def is_waiting(self):
        """Whether no complete request was received, or it was refused."""
        return not self.requests and not self.total_outbufs_len

    @property
    def is_lingering(self):
        """Whether only the caller's reading of a refusal is awaited."""
        return self._linger_end_s is not None

    def evictable_bytes(self, now_s):
        """Returns the bytes of a request that is late; 0 for any other."""
        if self.request is None or self._first_byte_s is None:
            return 0
        if now_s - self._first_byte_s < EVICTION_AGE_S:
            return 0
        return self.request.held_bytes

    def _take(self, account, count):
        """Takes bytes, if need be those of requests that are late.

        Returns None, or a Refusal. What does not fit into an unused budget
        either is too large: its caller must not try again.
        """
        if not self._guard.may_hold(self._holder, count):
            return callerguard.Refusal.BODY_SIZE
        while not account.take(count):
            if not self.server.evict(self):
                return callerguard.Refusal.MEMORY
        return None

    # Reading.

    def readable(self):
        """Whether bytes are to be read."""
        if not self.connected:
            return False
        return self.is_lingering or super().readable()

    def writable(self):
        """Whether bytes are to be sent, or the connection to be closed."""
        return self.connected and super().writable()

    def received(self, data):
        """Takes received bytes; queues the request once it is complete."""
        with self.requests_lock:
            if self._is_read or self.will_close or self.close_when_flushed:
                return False
            self._last_byte_s = time.monotonic()
            if self._first_byte_s is None:
                self._first_byte_s = self._last_byte_s
            while data and not self._is_read:
                data = self._receive_some(data)
        return True

    def _receive_some(self, data):
        """Returns the bytes that are left."""
        if self.request is None:
            data = self._skip_empty_lines(data)
            if not data or self._is_read:
                return b""
            self.request = boundedparser.BoundedParser(
                self.adj,
                self._guard,
                self._guard.account(self._holder),
                self._take,
            )
        req = self.request
        consumed = req.received(data)
        if req.completed:
            self._complete(req, consumed)
        elif req.expect_continue and req.headers_finished:
            self.send_continue()
        return data[consumed:]

    def _skip_empty_lines(self, data):
        rest = data.lstrip(b"\r\n")
        self._count_empty(len(data) - len(rest))
        return rest

    def _count_empty(self, count):
        self._empty_line_bytes += count
        if self._empty_line_bytes > self._guard.limits.empty_line_bytes:
            self._refuse(callerguard.Refusal.EMPTY_LINES)

    def _complete(self, req, consumed):
        self.sent_continue = False
        if req.refusal is not None:
            self._refuse(req.refusal)
        elif req.error is not None:
            self._refuse(
                callerguard.refusal_of_error(req.error),
                callerguard.encode_error(req.error),
            )
        elif req.empty:
            req.close()
            self.request = None
            self._count_empty(consumed)
        else:
            self._is_read = True
            self.request = None
            self.requests.append(req)
            self.server.add_task(self)

    def service(self):
        """Answers the request; the connection is closed after the answer."""
        super().service()
        if not self.close_when_flushed:
            self.close_when_flushed = True
            self.server.pull_trigger()

    # Refusing.

    def _refuse(self, refusal, response=None):
        """Refuses a request that has not run, and drops it."""
        self._guard.report(refusal, self._holder)
        self._is_read = True
        self._is_refused = True
        self._drop_request()
        response = response or callerguard.encode_refusal(refusal)
        with self.outbuf_lock:
            self.outbufs[-1].append(response)
            self.total_outbufs_len += len(response)
            self.close_when_flushed = True

    def _drop_request(self):
        req, self.request = self.request, None
        if req is not None:
            req.close()

    def evict(self):
        """Refuses a request that is late, as another needs its memory."""
        self._refuse(callerguard.Refusal.EVICTED)

    def check_times(self, now_s, idle_before):
        """Ends what takes too long.

        `now_s` is monotonic; `idle_before` is a time of time.time().
        """
        limits = self._guard.limits
        if self.is_lingering:
            if now_s > self._linger_end_s:
                self.handle_close()
        elif self._first_byte_s is not None and not self._is_read:
            if self.request is None or not self.request.headers_finished:
                if now_s - self._first_byte_s > limits.head_s:
                    self._refuse(callerguard.Refusal.HEAD_TIME)
            elif now_s - self._last_byte_s > limits.body_silence_s:
                self._refuse(callerguard.Refusal.BODY_SILENCE)
        elif not self.requests and self.last_activity < idle_before:
            self.handle_close()

    def handle_write(self):
        """Sends what waits; a refused caller then has time to read it.

        Closing while the caller still sends would reset the connection, and
        the caller could lose the refusal.
        """
        if not self._is_refused or self.will_close:
            super().handle_write()
            return
        self._flush_exception(self._flush_some)
        if self.will_close:
            self.handle_close()
        elif self.connected and not self.total_outbufs_len:
            self._linger()

    def _linger(self):
        self.close_when_flushed = False
        self._linger_end_s = time.monotonic() + LINGER_S
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            self.handle_close()

    # Writing.

    def write_soon(self, data):
        """Queues bytes of an answer within the budget.

        Waits only while more than the listener's `output_bytes_max` are to be
        sent, which relayed answers reach: the rest stays at the engine.
        Raises OutputRefused if the budget has no room for them, and closes
        the connection, so that the answer does not look whole.
        """
        if not self.connected:
            raise channel.ClientDisconnected
        if not data:
            return 0
        with self.outbuf_lock:
            self._flush_outbufs_below_high_watermark()
            if not self.connected:
                raise channel.ClientDisconnected
            if not self._output.take(len(data)):
                self._cut()
                raise OutputRefused
            self.outbufs[-1].append(data)
            self.total_outbufs_len += len(data)
            self._flush_exception(self._flush_some, do_close=False)
            if self.total_outbufs_len or self.will_close:
                self.server.pull_trigger()
        return len(data)

    def _cut(self):
        self._guard.report(callerguard.Refusal.OUTPUT, self._holder)
        self._is_cut = True
        self.will_close = True
        self.server.close_soon(self)

    def is_answer_cut(self):
        """Whether the answer was cut as the budget had no room for it."""
        return self._is_cut

    def _flush_some(self, do_close=True):
        with self.outbuf_lock:
            before = self.total_outbufs_len
            sent = super()._flush_some(do_close=do_close)
            self._output.give_back(before - self.total_outbufs_len)
        return sent

    def handle_close(self):
        """Closes the connection and gives its bytes back.

        A request in progress gives its own back once it ends.
        """
        super().handle_close()
        with self.outbuf_lock:
            self._output.close()
        self._own.close()
        self._drop_request()


class BoundedServer(server.TcpWSGIServer):
    """Accepts the connections of one listener; `guard` is its Guard."""

    channel_class = BoundedChannel

    def __init__(self, guard, app, adj, dispatcher):
        self.guard = guard
        self._to_close = collections.deque()
        super().__init__(
            app,
            map={},
            dispatcher=dispatcher,
            adj=adj,
            sockinfo=adj.listen[0],
        )

    def readable(self):
        """Whether a connection may be accepted.

        If there are too many, the oldest one without a complete request is
        closed.
        """
        while self._to_close:
            self._to_close.popleft().handle_close()
        if self.accepting and len(self._map) >= self.adj.connection_limit:
            self._close_oldest()
        return super().readable()

    def _close_oldest(self):
        waiting = [
            one for one in self.active_channels.values() if one.is_waiting
        ]
        if not waiting:
            return
        oldest = min(
            waiting, key=lambda one: (not one.is_lingering, one.opened_s)
        )
        self.guard.report(callerguard.Refusal.CONNECTIONS, oldest.addr[0])
        oldest.handle_close()

    def accept(self):
        """Returns a new connection and its address, or None.

        Without a free descriptor, a connection without a complete request is
        closed, and the next one is accepted in the following poll.
        """
        try:
            return super().accept()
        except OSError as exc:
            if exc.errno in (errno.EMFILE, errno.ENFILE):
                self._close_oldest()
            raise

    def close_soon(self, one):
        """Has the listener's thread close a connection; for any thread.

        A caller that does not read would keep it from being writable, which
        waitress waits for. It is closed before the next poll, as its
        descriptor may be used anew at once.
        """
        self._to_close.append(one)
        self.pull_trigger()

    def evict(self, asking):
        """Refuses the largest request that is late; returns whether."""
        now_s = time.monotonic()
        late = [
            one
            for one in self.active_channels.values()
            if one is not asking and one.evictable_bytes(now_s)
        ]
        if not late:
            return False
        max(late, key=lambda one: one.evictable_bytes(now_s)).evict()
        return True

    def maintenance(self, now):
        """Checks the times of all connections; called once a second."""
        now_s = time.monotonic()
        idle_before = now - self.adj.channel_timeout
        for one in list(self.active_channels.values()):
            one.check_times(now_s, idle_before)
