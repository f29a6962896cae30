"""Stand-ins and processes for the scripts of the second review.

A store, model engines and the part of the platform that starts, stops and
limits the entry daemons. Everything listens on loopback. The stand-ins follow
the users' pages and use the standard library only.
"""

import base64
import http.client
import http.server
import json
import os
import pathlib
import select
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).resolve().parent.parent
# Arguments of the deploy file's run command but for the settings.
PROGRAM = ("python3", "deploy/entry.py")
IS_TROUBLED = os.environ.get("TROUBLE", "1") != "0"
# What the pages set for the deployments.
HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
GRACE_S = 8.0
PAGE_ROWS_MAX = 500
PAGE_BYTES_MAX = 1_000_000
HISTORY_S = 20.0
# Restart of a process that ended.
RESTART_S = 0.5
MEMORY_POLL_S = 0.02
READY_WAIT_S = 30.0
BYTES_PER_MB = 1_048_576

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2


def free_port():
    """Returns a port that is free for TCP and UDP."""
    while True:
        with (
            socket.socket() as tcp,
            socket.socket(type=socket.SOCK_DGRAM) as udp,
        ):
            tcp.bind((HOST, 0))
            port = tcp.getsockname()[1]
            try:
                udp.bind((HOST, port))
            except OSError:
                continue
            return port


class Record:
    """Writes record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self._began_s = time.monotonic()
        self._lock = threading.Lock()
        self._file = open(folder / "record.txt", "w", encoding="utf-8")

    def write(self, text):
        """Writes a line with the time since the start (s)."""
        with self._lock:
            now_s = time.monotonic() - self._began_s
            self._file.write(f"{now_s:8.3f} {text}\n")
            self._file.flush()

    def say(self, text):
        """Writes a line and prints it."""
        self.write(text)
        print(text, flush=True)


class _Server(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 256

    def handle_error(self, request, client_address):
        """Ignores connections that the other side has ended."""
        if not isinstance(sys.exception(), OSError):
            super().handle_error(request, client_address)

    @property
    def address(self):
        """The server's IP:PORT."""
        return f"{HOST}:{self.server_address[1]}"

    def start(self):
        """Serves in threads until the process ends."""
        threading.Thread(target=self.serve_forever, daemon=True).start()


class Store(_Server):
    """The platform's store: rows of one counter, a feed, and objects.

    `outage(method, path, body)` may return a status with which a call is
    refused, or None. While it returns 0, the connection ends unanswered.
    `fate(body)` tells what becomes of a transaction: "done", "lost" (done, not
    answered) or a number of seconds after which it is done, not answered.
    """

    def __init__(self):
        super().__init__((HOST, 0), _StoreHandler)
        self._rows = {}
        self._history = []
        self._blobs = {}
        self._version = 0
        self._changed = threading.Condition()
        self.outage = lambda method, path, body: None
        self.fate = lambda body: "done"

    def put(self, table, key, document):
        """Writes a row as the operator or an engine does."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        row = {"table": table, "part": "", "key": key, "value": value}
        return self.transact({"put": [row]})

    def remove(self, table, key):
        """Removes a row."""
        row = {"table": table, "part": "", "key": key}
        return self.transact({"remove": [row]})

    def transact(self, body):
        """Applies a transaction; returns status and body of the answer."""
        with self._changed:
            expected = body.get("expectedRev", [])
            if any(
                self._rows.get(_key(one), {"ver": 0})["ver"] != one["ver"]
                for one in expected
            ):
                rows = [
                    self._rows[_key(one)]
                    for one in expected
                    if _key(one) in self._rows
                ]
                return 412, self._answer(rows=rows)
            self._version += 1
            for one in body.get("put", []):
                self._apply({**one, "ver": self._version})
            for one in body.get("remove", []):
                self._apply({**one, "ver": self._version, "deleted": True})
            self._changed.notify_all()
            return 200, self._answer()

    def _apply(self, row):
        row.setdefault("value", "")
        if row.get("deleted"):
            self._rows.pop(_key(row), None)
        else:
            self._rows[_key(row)] = row
        now_s = time.monotonic()
        self._history.append((now_s, row))
        while now_s - self._history[0][0] > HISTORY_S:
            self._history.pop(0)

    def _answer(self, **fields):
        now_ms = int(time.monotonic() * 1000)
        return {**fields, "ver": self._version, "nowMs": now_ms}

    def get(self, query):
        """Returns a page of the rows in a range."""
        with self._changed:
            found = sorted(
                (
                    row
                    for row in self._rows.values()
                    if row["table"] == query["table"]
                    and row["part"] == query.get("part", "")
                    and row["key"] >= query.get("from", "")
                    and row["key"] < query.get("to", "\U0010ffff")
                ),
                key=lambda row: row["key"],
            )
            limit = min(int(query.get("limit", PAGE_ROWS_MAX)), PAGE_ROWS_MAX)
            page, size = [], 0
            for row in found[:limit]:
                size += len(row["value"]) + 100
                if page and size > PAGE_BYTES_MAX:
                    break
                page.append(row)
            return self._answer(rows=page, hasMore=len(page) < len(found))

    def parts(self, query):
        """Returns the parts of a table."""
        with self._changed:
            found = {
                row["part"]
                for row in self._rows.values()
                if row["table"] == query["table"]
            }
            return self._answer(parts=sorted(found), hasMore=False)

    def feed(self, query):
        """Returns the changes after a version, as soon as there is one."""
        after = int(query["after"])
        end_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        with self._changed:
            while True:
                found = [
                    row
                    for _, row in self._history
                    if row["ver"] > after and row["table"] == query["table"]
                ]
                left_s = end_s - time.monotonic()
                if found or left_s <= 0:
                    return self._answer(rows=found)
                self._changed.wait(left_s)

    def put_blob(self, name, data):
        """Writes an object unless it exists; returns the status."""
        with self._changed:
            if name in self._blobs:
                return 412
            self._blobs[name] = data
            return 200

    def get_blob(self, name):
        """Returns the bytes of an object, or None."""
        return self._blobs.get(name)


def _key(row):
    return row["table"], row["part"], row["key"]


class _StoreHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Writes no log."""

    def _is_refused(self, body=b""):
        status = self.server.outage(self.command, self.path, body)
        if status is None:
            return False
        self.close_connection = True
        if status:
            self._send(status, b"{}")
        return True

    def do_GET(self):
        """Serves reads."""
        if self._is_refused():
            return None
        url = urllib.parse.urlsplit(self.path)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        calls = {
            "/rows-get": self.server.get,
            "/rows-parts": self.server.parts,
            "/rows-feed": self.server.feed,
        }
        if url.path in calls:
            return self._send_json(200, calls[url.path](query))
        name = urllib.parse.unquote(url.path.removeprefix("/blob-get/"))
        data = self.server.get_blob(name)
        if data is None:
            return self._send_json(404, {})
        return self._send(200, data)

    def do_POST(self):
        """Applies a transaction."""
        data = self.rfile.read(int(self.headers["Content-Length"]))
        if self._is_refused(data):
            return None
        body = json.loads(data)
        fate = self.server.fate(body)
        if fate == "done":
            return self._send_json(*self.server.transact(body))
        self.close_connection = True
        if fate == "lost":
            self.server.transact(body)
            return None
        timer = threading.Timer(fate, self.server.transact, (body,))
        timer.daemon = True
        timer.start()
        return None

    def do_PUT(self):
        """Writes an object."""
        data = self.rfile.read(int(self.headers["Content-Length"]))
        if self._is_refused():
            return None
        name = urllib.parse.unquote(self.path.removeprefix("/blob-put/"))
        return self._send_json(self.server.put_blob(name, data), {})

    def _send_json(self, status, document):
        self._send(status, json.dumps(document).encode())

    def _send(self, status, data):
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)


class Engine(_Server):
    """A model engine: slots, a short queue, streams of events in chunks.

    `version` is that of its software. `arrivals` has a dict for each request
    that reached it, `on_request(engine, handler, arrival)` may answer in place
    of the engine and then returns true. It stops work once its caller closes
    the connection.
    """

    def __init__(self, store, record, name, service, **fields):
        super().__init__((HOST, fields.get("port", 0)), _EngineHandler)
        self.store = store
        self.record = record
        self.name = name
        self.service = service
        self.version = fields.get("version", "v1")
        self.slots = fields.get("slots", 8)
        self.queue = fields.get("queue", 24)
        self.events = fields.get("events", 30)
        self.event_s = fields.get("event_s", 0.01)
        self.born = int(time.time() * 1000)
        self.on_request = fields.get("on_request", lambda *_: False)
        self.arrivals = []
        self.is_down = False
        self.seq = 0
        self._free = threading.Semaphore(self.slots)
        self._lock = threading.Lock()
        self._in_house = 0
        self._connections = set()

    def start(self):
        """Serves, and writes its entry at each heartbeat."""
        super().start()
        threading.Thread(target=self._write_entries, daemon=True).start()

    def _write_entries(self):
        while not self.is_down:
            self.write_entry()
            time.sleep(HEARTBEAT_S)

    def write_entry(self):
        """Writes its entry in the store, as far as that takes it."""
        if self.store.outage("POST", "/rows-tx", b"") is not None:
            return
        self.seq += 1
        self.store.put(
            "servers",
            self.name,
            {
                "service": self.service,
                "address": self.address,
                "zone": "zone-a",
                "version": self.version,
                "slots": self.slots,
                "state": "ready",
                "coldLeftMs": 0,
                "seq": self.seq,
                "born": self.born,
            },
        )

    def process_request(self, request, client_address):
        """Keeps the connection, for a crash."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request):
        """Closes a connection."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def crash(self):
        """Ends at once: its connections are reset and its port refuses."""
        self.is_down = True
        self.socket.shutdown(socket.SHUT_RDWR)
        for conn in list(self._connections):
            try:
                conn.setsockopt(
                    socket.SOL_SOCKET,
                    socket.SO_LINGER,
                    b"\x01\0\0\0\0\0\0\0",
                )
                conn.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass
        self.shutdown()
        self.server_close()

    def expire(self):
        """Removes its entry after three heartbeats, as the platform does."""
        time.sleep(MISSED_HEARTBEATS * HEARTBEAT_S)
        if self.store.outage("POST", "/rows-tx", b"") is None:
            self.store.remove("servers", self.name)

    def enter(self):
        """Takes a place in the queue; returns whether there is one."""
        with self._lock:
            if self._in_house >= self.slots + self.queue:
                return False
            self._in_house += 1
            return True

    def leave(self):
        """Gives the place back."""
        with self._lock:
            self._in_house -= 1


class _EngineHandler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"

    def log_message(self, *_):
        """Writes no log."""

    def do_GET(self):
        """Answers with the engine's report."""
        engine = self.server
        report = {
            "stage": "mixed",
            "models": [{"name": "m", "version": 1, "adapters": []}],
            "busy": False,
            "seq": 0,
            "numWaiting": 0,
            "numRunning": 0,
            "born": engine.born,
        }
        data = json.dumps(report).encode()
        self.send_response(200)
        self.send_header("Instance-Id", engine.name)
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)

    def do_POST(self):
        """Runs a request."""
        engine = self.server
        body = self.rfile.read(int(self.headers.get("Content-Length", 0)))
        arrival = {
            "id": self.headers["Request-Id"],
            "path": self.path,
            "at_s": time.monotonic(),
            "after": self.headers.get("Last-Event-Id"),
            "engine": engine.name,
            "version": engine.version,
            "bytes": len(body),
            "has_run": False,
        }
        engine.arrivals.append(arrival)
        engine.record.write(
            f"engine {engine.name} {engine.version} gets {arrival['id']}"
            f" after {arrival['after']}"
        )
        self.close_connection = True
        if self.headers.get("Target-Instance", engine.name) != engine.name:
            return self.refuse(421)
        if engine.on_request(engine, self, arrival):
            return None
        if not engine.enter():
            return self.refuse(503)
        try:
            with engine._free:
                return self.run(arrival)
        except OSError:
            return None
        finally:
            engine.leave()

    def refuse(self, status):
        """Tells that the request has not run."""
        self.send_response(status)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Instance-Id", self.server.name)
        self.send_header("Not-Executed", "1")
        self.send_header("Content-Length", "0")
        self.end_headers()

    def send_head(self):
        """Sends the head of a stream in chunks."""
        self.send_response(200)
        self.send_header("Request-Id", self.headers["Request-Id"])
        self.send_header("Response-Seal", f"seal-{self.server.name}")
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self.end_headers()

    def send_chunk(self, data):
        """Sends a chunk of a body."""
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def run(self, arrival):
        """Sends all events that follow the one that the caller has."""
        engine = self.server
        arrival["has_run"] = True
        self.send_head()
        for number in range(int(arrival["after"] or 0) + 1, engine.events + 1):
            data = event_data(arrival, number)
            self.send_chunk(f"id: {number}\ndata: {data}\n\n".encode())
            if self._has_caller_left(engine.event_s):
                return
        self.wfile.write(b"0\r\n\r\n")
        arrival["is_whole"] = True

    def _has_caller_left(self, wait_s):
        ready, _, _ = select.select([self.connection], [], [], wait_s)
        return bool(ready) and not self.connection.recv(1, socket.MSG_PEEK)


def event_data(arrival, number):
    """Returns the data of an event; it names the run's software version."""
    return f"{arrival['id']}.{number}.{arrival['version']}"


class Daemon:
    """One machine with an entry daemon, which the platform starts again.

    The process is killed if it takes more than `memory_mb`, and started again
    whenever it ends; `memory_ends` has the times of such kills, `ends` those
    of others that the script did not ask for.
    """

    def __init__(self, folder, record, store, name, **fields):
        self.name = name
        self.memory_mb = fields.get("memory_mb", 170)
        self._record = record
        self._folder = folder
        self.front = f"{HOST}:{free_port()}"
        self.readiness = f"{HOST}:{free_port()}"
        self.peer_port = free_port()
        self.peak_mb = 0.0
        self.memory_ends = []
        self.ends = []
        self._is_stopped = False
        self._process = None
        self._settings = folder / f"{name}.json"
        settings = {
            "id": name,
            "zone": "zone-a",
            "listen": {"callers": self.front, "readiness": self.readiness},
            "store": {
                "address": fields.get("store_address", store.address),
                "row_bytes_max": 65536,
            },
            "peer_address": HOST,
            "peer_port": self.peer_port,
            "stop_s": GRACE_S,
            "memory_mb": self.memory_mb,
            "quota": {"overshoot": 0.1},
            "revocation": {},
        }
        self._settings.write_text(json.dumps(settings))

    def start(self):
        """Starts the process and watches it."""
        self._start_process()
        threading.Thread(target=self._watch, daemon=True).start()

    def _start_process(self):
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target/deps"),
        }
        with open(self._folder / f"{self.name}.log", "ab") as log:
            self._process = subprocess.Popen(
                [*PROGRAM, str(self._settings)],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self._record.write(f"platform starts {self.name}")

    def _watch(self):
        while not self._is_stopped:
            time.sleep(MEMORY_POLL_S)
            if self._process.poll() is not None:
                self._record.write(
                    f"{self.name} ended with {self._process.returncode}"
                )
                self.ends.append(time.monotonic())
                self._restart()
                continue
            used_mb = self._used_mb()
            self.peak_mb = max(self.peak_mb, used_mb)
            if used_mb > self.memory_mb:
                self._record.say(
                    f"{self.name} takes {used_mb:.0f} MB of"
                    f" {self.memory_mb}: it is killed"
                )
                self.memory_ends.append(time.monotonic())
                self._process.kill()
                self._process.wait()
                self._restart()

    def _used_mb(self):
        try:
            text = pathlib.Path(f"/proc/{self._process.pid}/statm").read_text()
        except OSError:
            return 0.0
        pages = int(text.split()[1]) if text else 0
        return pages * os.sysconf("SC_PAGE_SIZE") / BYTES_PER_MB

    def _restart(self):
        time.sleep(RESTART_S)
        if not self._is_stopped:
            self._start_process()

    def signal(self, number):
        """Sends a signal to the process."""
        self._process.send_signal(number)

    def stop(self):
        """Ends the process for good."""
        self._is_stopped = True
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(signal.SIGCONT)
            self._process.kill()
            self._process.wait()

    @property
    def is_ready(self):
        """Whether it answers the readiness check with 200."""
        try:
            return call(self.readiness, "GET", "/readiness", {})[0] == 200
        except (OSError, http.client.HTTPException):
            return False


def call(address, method, path, headers, body=b"", timeout_s=10.0):
    """Sends one request on a new connection; returns status and body."""
    conn = http.client.HTTPConnection(address, timeout=timeout_s)
    try:
        conn.request(method, path, body, headers)
        resp = conn.getresponse()
        return resp.status, resp.read()
    finally:
        conn.close()


class Case:
    """The processes and stand-ins of one case; ends all of them."""

    def __init__(self, folder):
        self.folder = pathlib.Path(folder)
        self.record = Record(self.folder)
        self.store = Store()
        self.store.start()
        self.engines = []
        self.daemons = []
        self._logs = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.version = 0

    def __enter__(self):
        signal.signal(signal.SIGTERM, lambda *_: sys.exit(EXIT_NOT_RUN))
        return self

    def __exit__(self, exc_type=None, exc=None, trace=None):
        for daemon in self.daemons:
            daemon.stop()
        self.record.write(f"logs of the daemons: {self._logs.name}")
        if exc_type is not None and issubclass(exc_type, Exception):
            # An error of the script shows nothing of the daemons.
            self.record.say(f"the script failed: {exc!r}")
            sys.exit(EXIT_NOT_RUN)

    def configure(self, routes, services):
        """Writes a configuration, as the operator does."""
        self.version += 3
        self.store.put(
            "op",
            "config",
            {
                "version": self.version,
                "routes": routes,
                "services": services,
                "limits": {
                    "maxHeaderBytes": 16384,
                    "maxBodyBytes": 4_194_304,
                    "headerTimeoutMs": 3000,
                    "idleTimeoutMs": 15000,
                },
            },
        )

    def add_engine(self, name, service, **fields):
        """Starts an engine."""
        engine = Engine(self.store, self.record, name, service, **fields)
        engine.start()
        self.engines.append(engine)
        return engine

    def add_daemon(self, name, **fields):
        """Starts a machine."""
        daemon = Daemon(self._logs, self.record, self.store, name, **fields)
        daemon.start()
        self.daemons.append(daemon)
        return daemon

    def wait_ready(self):
        """Waits until all daemons are ready; exits with 2 otherwise."""
        end_s = time.monotonic() + READY_WAIT_S
        while not all(one.is_ready for one in self.daemons):
            if time.monotonic() > end_s:
                self.record.say("the daemons are not ready")
                self.__exit__()
                sys.exit(EXIT_NOT_RUN)
            time.sleep(0.1)
        # Traffic starts well after the machines do.
        time.sleep(2.0)


def service(name, slots=8):
    """Returns a service of the configuration."""
    return {
        "name": name,
        "healthPath": "/health",
        "engine": {"slots": slots, "kvCapacityTokens": 72000},
    }


def route(name, prefix, kind, service_name, **fields):
    """Returns a route of the configuration."""
    return {
        "name": name,
        "hostname": "notices.example",
        "pathPrefix": prefix,
        "kind": kind,
        "service": service_name,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "maxAttempts": 2,
        "priority": 0,
        "sticky": True,
        **fields,
    }


def batch_route(name, prefix, service_name, **fields):
    """Returns a batch route with the figures of the users' sheet."""
    return route(
        name,
        prefix,
        "batch",
        service_name,
        **{
            "timeoutMs": 15000,
            "targetLatencyMs": 400,
            "maxAttempts": 3,
            "priority": 2,
            "cap": 2_400_000,
            "retentionS": 60,
            "completionTargetMs": 18000,
            **fields,
        },
    )


HEADERS = {"Host": "notices.example"}


def job_body(prefix, job, count, body_bytes=750, tokens=466):
    """Returns the JSON body of a batch job; item N has the id JOB-N."""
    data = base64.b64encode(os.urandom(body_bytes)).decode()
    items = [
        {
            "id": f"{job}-{number}",
            "path": f"{prefix}{number}/91c4",
            "headers": {
                "Model": "m",
                "Token-Count": f"250,{tokens - 250}",
                "Prompt-Prefix": f"9c2e41:100,{job}{number}:150",
            },
            "body": data,
            "tokens": tokens,
        }
        for number in range(count)
    ]
    return json.dumps({"requests": items}).encode()


def submit(case, address, prefix, job, body, timeout_s=10.0):
    """Submits a batch job once; returns the status, 0 without an answer."""
    headers = {
        **HEADERS,
        "Request-Id": job,
        "Content-Type": "application/json",
    }
    try:
        status, _ = call(
            address, "POST", f"{prefix}{job}", headers, body, timeout_s
        )
    except (OSError, http.client.HTTPException) as exc:
        case.record.write(f"client sends job {job}: {exc!r}")
        return 0
    case.record.write(f"client sends job {job}, {len(body)} bytes: {status}")
    return status


def results(case, job):
    """Returns the results of a job, read at any daemon that answers."""
    found = []
    total = None
    failures = 0
    while total is None or len(found) < total:
        address = case.daemons[failures % len(case.daemons)].front
        path = f"/lots/{job}?after={len(found)}"
        try:
            status, data = call(address, "GET", path, HEADERS)
        except (OSError, http.client.HTTPException):
            status = 0
        if status != 200:
            failures += 1
            if failures > 20:
                return None
            time.sleep(0.25)
            continue
        page = json.loads(data)
        total = page["total"]
        if not page["results"]:
            return found
        found += page["results"]
    return found
