"""Load on the memory of daemons: answers without end beside ordinary callers.

A seed draws what happens at once: plain answers and streams without end,
items whose events have no end, and relays whose peers do not read. Ordinary
callers use a pool of sound engines meanwhile. Afterwards each daemon must live
within its memory and answer an ordinary request.
"""

import contextlib
import http.client
import itertools
import json
import os
import random
import re
import socket
import socketserver
import threading
import time

import msgspec

from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_daemon.entry import tunnel

# Memory that each daemon is told to have (MB): that of the smallest VM.
MEMORY_MB = 160
# What each daemon may use: resident memory (MB) and descriptors.
RESIDENT_MAX_MB = 100
DESCRIPTORS_MAX = 300
DAEMONS = 2
CALLERS = 4
# Requests, runs or items of one kind, and the fewest kinds at once.
CROWD_MIN, CROWD_MAX = 8, 32
KINDS_MIN = 2
CALL_TIMEOUT_S = 10.0
# Time in which the last ordinary request must be answered (s).
RECOVERY_S = 30.0
POLL_S = 0.05
ENDLESS_POOL = "weeds"
ENDLESS_SLOTS = 64
SOUND_PATH = "/bills/1"
PLAIN_PATH = "/plain/1"
STREAM_PATH = "/weeds/1"
ITEMS_PATH = "/night/1"
ROUTES = (
    *entryfleet.ROUTES,
    entryfleet.route(
        "plain", "/plain/", "non_idempotent", service=ENDLESS_POOL
    ),
    entryfleet.route("weeds", "/weeds/", service=ENDLESS_POOL),
    entryfleet.route(
        "night", "/night/", "batch", retentionS=60, service=ENDLESS_POOL
    ),
)
_REQUEST_ID = re.compile(rb"^request-id: *(\S+)\r$", re.I | re.M)
_PIECE = b"x" * 32_768
_EVENTS = 1000


class _EndlessHandler(socketserver.BaseRequestHandler):
    """Answers one request without end.

    The request's path tells whether with plain bytes or numbered events.
    """

    def handle(self):
        """Reads the head of a request and answers it."""
        data = b""
        while b"\r\n\r\n" not in data:
            received = self.request.recv(65_536)
            if not received:
                return
            data += received
        found = _REQUEST_ID.search(data)
        if found is None:
            # It asks for the engine's report.
            self.request.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
            )
            return
        is_plain = b" /plain/" in data.partition(b"\r\n")[0]
        with contextlib.suppress(OSError):
            for piece in _pieces(found[1], is_plain):
                self.request.sendall(piece)


def _pieces(request_id, is_plain):
    yield (
        b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n\r\n"
        % request_id
    )
    if is_plain:
        yield from itertools.repeat(_PIECE)
    for first in itertools.count(1, _EVENTS):
        numbers = range(first, first + _EVENTS)
        yield b"".join(b"id: %d\ndata: w\n\n" % one for one in numbers)


class EndlessEngine(socketserver.ThreadingTCPServer):
    """An engine that answers without end; stop() ends it."""

    daemon_threads = True
    request_queue_size = 256

    def __init__(self):
        super().__init__((fleet_module.HOST, 0), _EndlessHandler)
        threading.Thread(target=self.serve_forever, daemon=True).start()

    @property
    def entry(self):
        """Its entry in the registry."""
        return {
            "service": ENDLESS_POOL,
            "address": f"{fleet_module.HOST}:{self.server_address[1]}",
            "zone": "a",
            "version": "v1",
            "slots": ENDLESS_SLOTS,
            "state": "ready",
            "seq": 1,
            "born": 1,
        }

    def stop(self):
        """Stops accepting connections."""
        self.shutdown()
        self.server_close()


class Report(msgspec.Struct, frozen=True):
    """What a run showed: the peaks by daemon, and what was violated.

    `crowds` has the number of requests, runs or items of each kind, `answered`
    counts ordinary requests by status (0: no answer).
    """

    seed: int
    crowds: dict[str, int]
    answered: dict[int, int]
    peaks_mb: list[float]
    violations: list[str]


def send(port, path, request_id, body=b"prompt", **headers):
    """Sends a request; returns its status, or 0 without a whole answer."""
    conn = http.client.HTTPConnection(
        fleet_module.HOST, port, timeout=CALL_TIMEOUT_S
    )
    headers = {
        "Host": entryfleet.HOSTNAME,
        "Request-Id": request_id,
        "Deadline-Ms": "5000",
        **headers,
    }
    try:
        conn.request("POST", path, body, headers)
        resp = conn.getresponse()
        while resp.read(65_536):
            pass
        return resp.status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        conn.close()


class Load:
    """One run on a fleet."""

    def __init__(self, seed, fleet):
        self._fleet = fleet
        self._seed = seed
        self._draw = random.Random(seed)
        self._ids = itertools.count()
        self._is_over = threading.Event()
        self._statuses = []
        self._stack = contextlib.ExitStack()

    def run(self):
        """Runs the load; returns a Report."""
        actions = {
            "plain": self._send_plain,
            "stream": self._send_stream,
            "items": self._submit,
            "relay": self._open_relay,
        }
        count = self._draw.randint(KINDS_MIN, len(actions))
        kinds = self._draw.sample(sorted(actions), count)
        crowds = {
            kind: self._draw.randint(CROWD_MIN, CROWD_MAX) for kind in kinds
        }
        callers = self._start([self._call_on] * CALLERS)
        with self._stack:
            tasks = [
                actions[kind] for kind in kinds for _ in range(crowds[kind])
            ]
            self._draw.shuffle(tasks)
            for thread in self._start(tasks):
                thread.join()
            self._is_over.set()
            for thread in callers:
                thread.join()
        answered = {
            status: self._statuses.count(status)
            for status in sorted(set(self._statuses))
        }
        violations = [
            text for one in self._fleet.daemons for text in self._check(one)
        ]
        peaks = [
            round(one.process.peak_mb, 1)
            for one in self._fleet.daemons
            if one.process.alive
        ]
        return Report(self._seed, crowds, answered, peaks, violations)

    def _start(self, tasks):
        threads = []
        for task in tasks:
            daemon = self._draw.choice(self._fleet.daemons)
            request_id = f"a{self._seed}-{next(self._ids)}"
            threads.append(
                threading.Thread(target=task, args=(daemon, request_id))
            )
            threads[-1].start()
        return threads

    def _call_on(self, daemon, request_id):
        """Sends ordinary requests, one after the other."""
        for number in itertools.count():
            status = send(
                daemon.callers_port, SOUND_PATH, f"{request_id}-{number}"
            )
            self._statuses.append(status)
            if self._is_over.is_set():
                return

    def _send_plain(self, daemon, request_id):
        send(daemon.callers_port, PLAIN_PATH, request_id)

    def _send_stream(self, daemon, request_id):
        send(
            daemon.callers_port,
            STREAM_PATH,
            request_id,
            **{"Token-Count": "10,40"},
        )

    def _submit(self, daemon, request_id):
        item = {
            "id": f"{request_id}-0",
            "path": ITEMS_PATH,
            "headers": {"Token-Count": "10,40"},
            "body": "Ym9keQ==",
            "tokens": 50,
        }
        body = json.dumps({"requests": [item]}).encode()
        send(daemon.callers_port, ITEMS_PATH, request_id, body)

    def _open_relay(self, daemon, request_id):
        """Has a run relayed and does not read; closed at the run's end."""
        sock = self._stack.enter_context(socket.socket())
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.settimeout(CALL_TIMEOUT_S)
        head = f"POST {STREAM_PATH} HTTP/1.1\r\nRequest-Id: {request_id}"
        order = tunnel.RelayOrder(
            "endless", CALL_TIMEOUT_S, data=f"{head}\r\n\r\n".encode()
        )
        with contextlib.suppress(OSError):
            sock.connect((fleet_module.HOST, daemon.peer_port))
            sock.sendall(tunnel.Tunnel("peer").encode(order))

    def _check(self, daemon):
        """Yields what a daemon violates."""
        deadline_s = time.monotonic() + RECOVERY_S
        while not self._is_answered(daemon):
            if time.monotonic() > deadline_s or not daemon.process.alive:
                yield f"{daemon.name} answers no ordinary request"
                break
            time.sleep(POLL_S)
        if not daemon.process.alive:
            yield daemon.process.exit_report()
            return
        pid = daemon.process.popen.pid
        peak_mb = daemon.process.peak_mb
        if peak_mb > RESIDENT_MAX_MB:
            yield f"{daemon.name} has had {peak_mb:.1f} MB"
        descriptors = len(os.listdir(f"/proc/{pid}/fd"))
        if descriptors > DESCRIPTORS_MAX:
            yield f"{daemon.name} has {descriptors} descriptors"

    def _is_answered(self, daemon):
        request_id = f"a{self._seed}-{next(self._ids)}"
        return send(daemon.callers_port, SOUND_PATH, request_id) == 200


def run_seed(seed, folder=None):
    """Runs the load of one seed on a new fleet; returns its Report."""
    endless = EndlessEngine()
    fleet = entryfleet.Fleet(
        DAEMONS, 2, folder, settings={"memory_mb": MEMORY_MB}
    )
    document = entryfleet.tables(fleet.version + 1, ROUTES)
    document["services"].append(
        {"name": ENDLESS_POOL, "healthPath": "/health"}
    )
    fleet.store.put_row("op", "config", document)
    fleet.store.put_row("servers", "endless", endless.entry)
    try:
        with fleet:
            fleet.wait_ready()
            return Load(seed, fleet).run()
    finally:
        endless.stop()


def run(seeds):
    """Runs seeds one after the other, prints and returns their Reports."""
    reports = []
    for seed in seeds:
        reports.append(run_seed(seed))
        print(msgspec.json.encode(reports[-1]).decode(), flush=True)
    return reports
