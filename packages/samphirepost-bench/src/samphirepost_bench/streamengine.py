"""A stand-in for a model engine of the users' platform, over HTTP.

Event N of a request has the data `ID:N`, so a caller can check that it got
the whole output of its own request, each event once.
"""

import collections
import enum
import http.server
import threading
import time

GAP_S = 0.01


class Fault(enum.Enum):
    """What an engine does to the next request that reaches it."""

    REFUSE = "refuse"
    CUT = "cut"
    CUT_EVENT = "cut-event"
    SILENT = "silent"
    FAIL = "fail"
    IMPOSSIBLE = "impossible"
    CROSS = "cross"


class Arrival:
    """One request that reached an engine, and whether it ran."""

    __slots__ = ("after", "at_s", "headers", "id", "left_s", "path", "ran")

    def __init__(self, handler):
        self.id = handler.headers["Request-Id"]
        self.path = handler.path
        self.headers = dict(handler.headers)
        value = handler.headers["Last-Event-Id"]
        self.after = 0 if value is None else int(value)
        self.left_s = int(handler.headers["Deadline-Ms"]) / 1000
        self.at_s = time.monotonic()
        self.ran = False


class Engine(http.server.ThreadingHTTPServer):
    """One engine; `arrivals` has all requests in order."""

    daemon_threads = True

    def __init__(self, name, events=8, gap_s=GAP_S):
        super().__init__(("127.0.0.1", 0), Handler)
        self.name = name
        self.events = events
        self.gap_s = gap_s
        self.faults = collections.deque()
        self.arrivals = []
        self.dropped = threading.Event()

    @property
    def address(self):
        """The engine's IP:PORT."""
        return f"127.0.0.1:{self.server_address[1]}"

    def start(self):
        """Serves until the process ends."""
        threading.Thread(target=self.serve_forever, daemon=True).start()

    def entry(self, pool, state="ready"):
        """Returns the engine's row in the registry."""
        return {
            "service": pool,
            "address": self.address,
            "zone": "a",
            "slots": 8,
            "state": state,
            "seq": 1,
        }

    def ran(self, request):
        """Returns how often a request ran here."""
        return sum(one.ran for one in list(self.arrivals) if one.id == request)

    def text(self, request):
        """Returns the whole output of a request."""
        numbers = range(1, self.events + 1)
        return "\n".join(f"{request}:{number}" for number in numbers)


class Handler(http.server.BaseHTTPRequestHandler):
    """Serves requests and their faults."""

    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Keeps standard error quiet."""

    def do_POST(self):
        """Answers one request with a stream of events."""
        self.rfile.read(int(self.headers.get("Content-Length", 0)))
        arrival = Arrival(self)
        self.server.arrivals.append(arrival)
        if self.headers["Target-Instance"] != self.server.name:
            return self._status(421)
        faults = self.server.faults
        fault = faults.popleft() if faults else None
        if fault is Fault.REFUSE:
            return self._status(503, ("Not-Executed", "1"))
        arrival.ran = True
        if fault is Fault.FAIL:
            return self._status(500)
        if fault is Fault.IMPOSSIBLE:
            return self._status(422)
        try:
            return self._stream(arrival, fault)
        except OSError:
            self.server.dropped.set()
            return None

    def _status(self, status, *headers):
        self.send_response(status)
        self.send_header("Request-Id", self.headers["Request-Id"])
        for name, value in headers:
            self.send_header(name, value)
        self.send_header("Content-Length", "0")
        self.end_headers()

    def _stream(self, arrival, fault):
        name = arrival.id if fault is not Fault.CROSS else "other"
        self.send_response(200)
        self.send_header("Request-Id", name)
        self.send_header("Response-Seal", f"seal-{self.server.name}")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()
        pause = threading.Event()
        if fault is Fault.SILENT:
            while True:
                pause.wait(self.server.gap_s)
                if not self._open():
                    self.server.dropped.set()
                    return
        half = arrival.after + (self.server.events - arrival.after) // 2
        for number in range(arrival.after + 1, self.server.events + 1):
            event = f"id: {number}\ndata: {arrival.id}:{number}\n\n".encode()
            if fault is Fault.CUT_EVENT and number > half:
                event = event[: len(event) // 2]
            if fault is Fault.CUT and number > half:
                break
            self._chunk(event)
            if fault is Fault.CUT_EVENT and number > half:
                break
            pause.wait(self.server.gap_s)
        else:
            self.wfile.write(b"0\r\n\r\n")
            return
        self.close_connection = True

    def _open(self):
        self.connection.setblocking(False)
        try:
            return bool(self.connection.recv(1))
        except BlockingIOError:
            return True
        except OSError:
            return False
        finally:
            self.connection.setblocking(True)

    def _chunk(self, data):
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()
