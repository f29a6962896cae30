"""Emulator of a model engine that the entry daemon calls over HTTP.

Event N of a request has the data `ID:N`, so a caller can check that it
received the complete output of its own request, each event once. The emulator
of the engines that `samphirepostd` calls is in engine.py.
"""

import collections
import contextlib
import enum
import http.server
import json
import socket
import threading
import time

from samphirepost_bench import itemfaults

EVENT_INTERVAL_S = 0.01


class Fault(enum.Enum):
    """The fault of an engine's next request.

    REFUSE: refused as not executed (503). CUT: the connection closes in the
    middle of the stream. CUT_EVENT: it closes in the middle of an event.
    EMPTY: it closes after the head.
    SILENT: no event follows the headers. FAIL: status 500 after execution.
    IMPOSSIBLE: status 422. CROSS: the headers name another request.
    """

    REFUSE = "refuse"
    CUT = "cut"
    CUT_EVENT = "cut-event"
    EMPTY = "empty"
    SILENT = "silent"
    FAIL = "fail"
    IMPOSSIBLE = "impossible"
    CROSS = "cross"


class Arrival:
    """One request that reached an engine.

    `has_run` is set when its execution starts. `resume_after` is the number
    of the last event that the daemon already has, 0 for a new request;
    `remaining_s` is the time to its deadline, `parts` the ids of the parts of
    its prompt.
    """

    __slots__ = (
        "at_s",
        "body",
        "has_run",
        "headers",
        "id",
        "parts",
        "path",
        "remaining_s",
        "resume_after",
    )

    def __init__(self, handler, body):
        self.id = handler.headers["Request-Id"]
        self.body = body
        self.path = handler.path
        self.headers = dict(handler.headers)
        prompt = handler.headers.get("Prompt-Prefix", "")
        self.parts = [one.partition(":")[0] for one in prompt.split(",")]
        value = handler.headers["Last-Event-Id"]
        self.resume_after = 0 if value is None else int(value)
        self.remaining_s = int(handler.headers["Deadline-Ms"]) / 1000
        self.at_s = time.monotonic()
        self.has_run = False


class Engine(http.server.ThreadingHTTPServer):
    """One engine; `arrivals` lists all requests in order.

    `slots` is what its entry names; it serves more. `version` is that of its
    software; engines do not check whether a stream
    that they resume was begun by the same.
    `faults` is a queue of the faults of the next requests.
    `disconnected` is set once a connection closed during a stream.
    `crash_parts` are the ids of prompt parts, `crash_bodies` the bodies of
    requests: the engine crashes when it begins to answer a request that has
    one of them. It then calls `on_crash(engine)`. With `limit_per_s`, its
    answers name that rate of requests as its limit. If `unframed`, its streams
    have no length and end with the connection; a CUT ends them between two
    events only below `cut_paths`, and inside an event elsewhere. If
    `says_leaving`, its answers say that it leaves. `born` tells incarnations
    of an engine apart. Each event has `padding` bytes more; `sent_ids` are the
    requests whose answers were sent whole, `broken_ids` those whose connection
    broke before. With `has_endless_answers`, its first answers to some items
    below `items_path` have no end.
    """

    daemon_threads = True

    def __init__(
        self,
        name,
        events=8,
        event_interval_s=EVENT_INTERVAL_S,
        version="v1",
        slots=8,
        port=0,
    ):
        super().__init__(("127.0.0.1", port), Handler)
        self.name = name
        self.slots = slots
        self.version = version
        self.events = events
        self.event_interval_s = event_interval_s
        self.faults = collections.deque()
        self.arrivals = []
        self.disconnected = threading.Event()
        self.crash_bodies = frozenset()
        self.crash_parts = frozenset()
        self.on_crash = None
        self.limit_per_s = None
        self.says_leaving = False
        self.unframed = False
        self.cut_paths = ("/",)
        self.born = 0
        self.padding = 0
        self.has_endless_answers = False
        self.items_path = "/evening/"
        self.sent_ids = []
        self.broken_ids = []
        self.has_crashed = False
        self._connections = set()

    @property
    def address(self):
        """The engine's IP:PORT."""
        return f"127.0.0.1:{self.server_address[1]}"

    def start(self):
        """Serves in a daemon thread until `shutdown` or process exit."""
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def process_request(self, request, client_address):
        """Serves a connection, which a crash of the engine closes."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Closes a connection that was served."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request, client_address):
        """Does nothing: a crash ends connections that are being served."""

    def crash(self):
        """Ends the engine: closes all connections, accepts none."""
        if self.has_crashed:
            return
        self.has_crashed = True
        # The port refuses connections from now on, as that of a process that
        # has ended; this also ends the wait of shutdown().
        self.socket.shutdown(socket.SHUT_RDWR)
        for conn in list(self._connections):
            with contextlib.suppress(OSError):
                conn.shutdown(socket.SHUT_RDWR)
        self.shutdown()
        self.server_close()
        if self.on_crash is not None:
            self.on_crash(self)

    def entry(self, pool, state="ready"):
        """Returns the engine's entry in the registry."""
        return {
            "service": pool,
            "address": self.address,
            "zone": "a",
            "version": self.version,
            "slots": self.slots,
            "state": state,
            "seq": 1,
            "born": self.born,
        }

    def endless_fault(self, arrival):
        """Returns the itemfaults.Fault of the answer to an item, or None."""
        if not self.has_endless_answers:
            return None
        if not arrival.path.startswith(self.items_path):
            return None
        return itemfaults.draw_endless_stumble(
            arrival.id, self.ran(arrival.id) - 1
        )

    def ran(self, request):
        """Returns how many times a request was executed here."""
        return sum(
            one.has_run for one in list(self.arrivals) if one.id == request
        )

    def text(self, request):
        """Returns the complete output of a request, one line an event."""
        return whole_text(request, self.events)


def whole_text(request, events):
    """Returns the complete output of a request, one line an event."""
    return "\n".join(f"{request}:{number}" for number in range(1, events + 1))


def run(engine, pool):
    """Serves in this process until it is killed; prints the engine's entry."""
    print(json.dumps(engine.entry(pool)), flush=True)
    engine.serve_forever()


class Handler(http.server.BaseHTTPRequestHandler):
    """Answers requests, with the next fault of the engine's queue."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Suppresses the request log on standard error."""

    def do_GET(self):
        """Answers with the engine's report, unless it has crashed."""
        if self.server.has_crashed:
            self.close_connection = True
            return
        body = json.dumps({"born": self.server.born}).encode()
        self.send_response(200)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def do_POST(self):
        """Answers one request with a stream of events or a fault.

        Answers 421 if the request names another engine.
        """
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        if self.server.has_crashed:
            self.close_connection = True
            return None
        arrival = Arrival(self, body)
        self.server.arrivals.append(arrival)
        if self.headers["Target-Instance"] != self.server.name:
            return self._send_status(421)
        faults = self.server.faults
        fault = faults.popleft() if faults else None
        if self._is_cut_inside(fault):
            fault = Fault.CUT_EVENT
        if fault is Fault.REFUSE:
            return self._send_status(503, ("Not-Executed", "1"))
        arrival.has_run = True
        if fault is Fault.FAIL:
            return self._send_status(500)
        if fault is Fault.IMPOSSIBLE:
            return self._send_status(422)
        try:
            endless = self.server.endless_fault(arrival)
            if endless is not None:
                self.send_fault(arrival, endless)
            return self.send_stream(arrival, fault)
        except OSError:
            self.server.broken_ids.append(arrival.id)
            self.server.disconnected.set()
            return None

    def send_fault(self, arrival, fault):
        """Writes an itemfaults.Fault until it ends.

        Raises OSError once the reader has left.
        """
        self.close_connection = True
        first_id = arrival.resume_after + 1
        for piece in itemfaults.pieces(fault, arrival.id, first_id):
            self.wfile.write(piece)

    def _is_cut_inside(self, fault):
        return (
            fault is Fault.CUT
            and self.server.unframed
            and not self.path.startswith(self.server.cut_paths)
        )

    def _send_status(self, status, *headers):
        self.send_response(status)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self._send_own_headers()
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def _send_own_headers(self):
        if self.server.limit_per_s is not None:
            self.send_header("Server-Limit", f"{self.server.limit_per_s:g}")
        if self.server.says_leaving:
            self.send_header("Server-Leaving", "1")

    def send_stream(self, arrival, fault):
        """Answers with a stream of events, which a fault may end."""
        name = arrival.id if fault is not Fault.CROSS else "other"
        self.send_response(200)
        self.send_header("Request-Id", name)
        self.send_header("Response-Seal", f"seal-{self.server.name}")
        self.send_header("Content-Type", "text/event-stream")
        if not self.server.unframed:
            self.send_header("Transfer-Encoding", "chunked")
        self._send_own_headers()
        self.end_headers()
        pause = threading.Event()
        if self._is_crashed_by(arrival):
            if not self.server.unframed:
                self._send_chunk(b"id: ")
            return self.server.crash()
        if fault is Fault.EMPTY:
            self.close_connection = True
            return None
        if fault is Fault.SILENT:
            while True:
                pause.wait(self.server.event_interval_s)
                if not self._is_connected():
                    self.server.disconnected.set()
                    return None
        half = (
            arrival.resume_after
            + (self.server.events - arrival.resume_after) // 2
        )
        for number in range(arrival.resume_after + 1, self.server.events + 1):
            text = f"{arrival.id}:{number}" + "x" * self.server.padding
            event = f"id: {number}\ndata: {text}\n\n".encode()
            if fault is Fault.CUT_EVENT and number > half:
                event = event[: len(event) // 2]
            if fault is Fault.CUT and number > half:
                break
            self._send_chunk(event)
            if fault is Fault.CUT_EVENT and number > half:
                break
            pause.wait(self.server.event_interval_s)
        else:
            if not self.server.unframed:
                self.wfile.write(b"0\r\n\r\n")
            self.server.sent_ids.append(arrival.id)
            return None
        self.close_connection = True
        return None

    def _is_crashed_by(self, arrival):
        return arrival.body in self.server.crash_bodies or bool(
            self.server.crash_parts.intersection(arrival.parts)
        )

    def _is_connected(self):
        self.connection.setblocking(False)
        try:
            return bool(self.connection.recv(1))
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self.connection.setblocking(True)

    def _send_chunk(self, data):
        if self.server.unframed:
            self.wfile.write(data)
            return
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()
