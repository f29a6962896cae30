"""HTTP listener: a waitress server that starts its threads on demand."""

import threading
import time

import waitress
from waitress import adjustments
from waitress import task
from waitress import wasyncore

from samphirepost_daemon import boundedchannel

FLUSH_POLL_S = 0.02
FLUSH_MAX_S = 5.0
CLOSE_POLL_S = 0.01
# Connections that may wait for accept: those of a burst of one second.
BACKLOG = 1024
# Interval at which a guarded listener checks the times of its connections.
CHECK_INTERVAL_S = 1
# Bytes of responses that wait for one connection.
OUTPUT_BYTES_MAX = 16_777_216


class GrowingDispatcher(task.ThreadedTaskDispatcher):
    """Starts a thread only when a task arrives and all threads are busy.

    Each thread uses memory and an entry of the VM's process table, and most
    VMs serve only a few requests at a time.
    """

    def __init__(self, threads_max):
        super().__init__()
        self._threads_max = threads_max
        self._add_lock = threading.Lock()

    def add_task(self, task):
        """Queues a task; starts a thread for it if none is idle."""
        with self._add_lock:
            if self._all_busy() and len(self.threads) < self._threads_max:
                self.set_thread_count(len(self.threads) + 1)
            with self.lock:
                self.queue.append(task)
                self.queue_cv.notify()

    def _all_busy(self):
        with self.lock:
            return len(self.queue) >= len(self.threads) - self.active_count


class Listener:
    """Serves one WSGI application at one address (IP:PORT).

    Each kind of request has a listener of its own, so that one kind cannot
    occupy the threads of another. `idle_s` is the time after which an idle
    connection is closed. A response waits while more than `output_bytes_max`
    are to be sent. With a callerguard.Guard, connections keep within its
    limits and its memory.
    """

    def __init__(
        self,
        app,
        address,
        threads_max,
        body_bytes_max,
        connections_max,
        idle_s,
        keep_proxy_headers=False,
        output_bytes_max=OUTPUT_BYTES_MAX,
        guard=None,
    ):
        host, _, port = address.rpartition(":")
        options = {
            "host": host,
            "port": int(port),
            "max_request_body_size": body_bytes_max,
            "inbuf_overflow": body_bytes_max,
            "outbuf_overflow": body_bytes_max,
            "outbuf_high_watermark": output_bytes_max,
            "connection_limit": connections_max,
            "channel_timeout": idle_s,
            "cleanup_interval": 5,
            "channel_request_lookahead": 1,
            "asyncore_use_poll": True,
            "ident": None,
            "backlog": BACKLOG,
            "clear_untrusted_proxy_headers": not keep_proxy_headers,
        }
        dispatcher = GrowingDispatcher(threads_max)
        if guard is None:
            self._server = waitress.create_server(
                app, map={}, _dispatcher=dispatcher, **options
            )
        else:
            self._server = _bounded_server(guard, app, dispatcher, options)
        self._thread = threading.Thread(target=self._server.run, daemon=True)

    def start(self):
        """Starts to accept connections; returns at once."""
        self._thread.start()

    @property
    def thread_count(self):
        """Number of threads started for requests."""
        return len(self._server.task_dispatcher.threads)

    @property
    def idle(self):
        """Whether no request is in progress and all responses are sent."""
        return not any(
            channel.requests or channel.total_outbufs_len
            for channel in list(self._server.active_channels.values())
        )

    def close(self, deadline_s):
        """Stops accepting; closes each connection once it is not in use.

        Requests that were read are answered. What is read and what is closed
        is decided in one thread, so that no request is read and then cut.
        Returns whether all connections were closed before `deadline_s`.
        """
        pause = threading.Event()
        while True:
            closed = threading.Event()
            self._server.trigger.pull_trigger(
                lambda closed=closed: self._close_unused(closed)
            )
            if closed.wait(max(0.0, deadline_s - time.monotonic())):
                if not self._server.active_channels:
                    return True
            if time.monotonic() >= deadline_s:
                return False
            pause.wait(CLOSE_POLL_S)

    def _close_unused(self, closed):
        """Called by the listener's thread, which accepts and reads."""
        if self._server.accepting:
            self._server.accepting = False
            wasyncore.dispatcher.close(self._server)
        for channel in list(self._server.active_channels.values()):
            is_reading = channel.request is not None
            if is_reading or channel.requests or channel.total_outbufs_len:
                continue
            channel.handle_close()
        closed.set()

    def flush(self):
        """Waits until all responses are sent, at most FLUSH_MAX_S."""
        pause = threading.Event()
        for _ in range(int(FLUSH_MAX_S / FLUSH_POLL_S)):
            channels = list(self._server.active_channels.values())
            if not any(c.total_outbufs_len for c in channels):
                return
            pause.wait(FLUSH_POLL_S)


def _bounded_server(guard, app, dispatcher, options):
    """Returns the server of a listener with a guard."""
    options = options | {
        "max_request_header_size": guard.limits.head_bytes,
        "cleanup_interval": CHECK_INTERVAL_S,
    }
    return boundedchannel.BoundedServer(
        guard, app, adjustments.Adjustments(**options), dispatcher
    )
