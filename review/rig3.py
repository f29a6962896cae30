"""Starts entry daemons and stand-ins for the scripts review/11 to 15.

Each daemon is a process of its own, started with the run command of
deploy/system.toml, with settings of the layout of deploy/settings.json. The
store, the engines and the proxies run in the script's own process. All
addresses are loopback addresses.
"""

import base64
import http.client
import json
import os
import pathlib
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[1]
_SOURCES = [
    ROOT / "target" / "deps",
    *(
        ROOT / "packages" / name / "src"
        for name in (
            "samphirepost",
            "samphirepost-daemon",
            "samphirepost-bench",
        )
    ),
]
sys.path[:0] = [str(path) for path in _SOURCES]

from samphirepost_bench import fleet  # noqa: E402
from samphirepost_bench import storeserver  # noqa: E402
from samphirepost_bench import streamengine  # noqa: E402

# Exit codes of a script.
HELD = 0
BROKEN = 1
CANNOT_RUN = 2
# Values of the users' pages (s).
HEARTBEAT_S = 1.2
ENTRY_EXPIRY_S = 3 * HEARTBEAT_S
GRACE_S = 8
FINISH_S = 18.0
READY_WAIT_S = 30.0
# A script ends before 120 s; what only adds to its record ends by then (s).
RECORD_END_S = 105.0
HOST_NAME = "post.example"


def has_trouble():
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def run(folder, play):
    """Plays a case, and exits with the code that `play(rig)` returns.

    An error of the script itself exits with CANNOT_RUN, and so does SIGTERM;
    the processes that it started are ended then too.
    """
    code = CANNOT_RUN
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(CANNOT_RUN))
    try:
        with Rig(folder) as rig:
            code = play(rig)
    except Exception:
        traceback.print_exc()
    sys.exit(code)


class Record:
    """Writes what was sent, answered and run to record.txt; thread-safe."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w")
        self._lock = threading.Lock()
        self.began_s = time.monotonic()

    def __call__(self, text):
        """Writes one line with the time since the start."""
        at_s = time.monotonic() - self.began_s
        with self._lock:
            self._file.write(f"{at_s:8.3f} {text}\n")
            self._file.flush()


class Engine:
    """One engine with its registry entry, which it writes at intervals.

    `events` and `interval_s` are those of each answer.
    """

    def __init__(self, store, service, name, events=40, interval_s=0.02):
        self.name = name
        # Where daemons reach it, if not at its own address.
        self.address = None
        self.service = service
        self._store = store
        self.server = streamengine.Engine(name, events, interval_s)
        self.server.born = int(time.time() * 1000)
        self.server.start()
        self.state = "ready"
        self._sequence = 0
        self._is_gone = threading.Event()
        self._lock = threading.Lock()
        self.write_entry()
        threading.Thread(target=self._beat, daemon=True).start()

    @property
    def arrivals(self):
        """The requests that reached it, in order."""
        return list(self.server.arrivals)

    def write_entry(self):
        """Writes its entry in the registry."""
        with self._lock:
            self._sequence += 1
            entry = self.server.entry(self.service, self.state)
            entry["seq"] = self._sequence
            entry["address"] = self.address or entry["address"]
            if not self._is_gone.is_set():
                self._store.put_row("servers", self.name, entry)

    def _beat(self):
        while not self._is_gone.wait(HEARTBEAT_S):
            self.write_entry()

    def crash(self):
        """Ends the engine for good; its entry expires after a while."""
        self._is_gone.set()
        self.server.crash()
        timer = threading.Timer(
            ENTRY_EXPIRY_S, self._store.remove_row, ("servers", self.name)
        )
        timer.daemon = True
        timer.start()


class Daemon:
    """One entry daemon; `store_address` is where it reaches the store."""

    def __init__(self, rig, number, store_address):
        self.name = f"front-{number}"
        self.host = fleet.HOST
        self.store_address = store_address
        self.ports = {
            key: fleet.free_port() for key in ("front", "ready", "peer")
        }
        self._folder = rig.folder
        self.process = None

    def start(self):
        """Starts the process."""
        cfg = {
            "id": self.name,
            "zone": "a",
            "listen": {
                "callers": f"{self.host}:{self.ports['front']}",
                "readiness": f"{self.host}:{self.ports['ready']}",
            },
            "store": {"address": self.store_address, "row_bytes_max": 65536},
            "peer_address": self.host,
            "peer_port": self.ports["peer"],
            "stop_s": GRACE_S,
            "memory_mb": 170,
            "quota": {"overshoot": 0.1},
            "revocation": {},
        }
        path = self._folder / f"{self.name}.json"
        path.write_text(json.dumps(cfg))
        env = {
            key: os.environ[key]
            for key in ("PATH", "HOME", "LANG")
            if key in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        log = open(self._folder / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            ["python3", "deploy/entry.py", str(path)],
            cwd=ROOT,
            env=env,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )

    @property
    def is_alive(self):
        """Whether its process runs."""
        return self.process is not None and self.process.poll() is None

    def is_ready(self):
        """Whether it reports that it is ready."""
        try:
            found = self.call("GET", "/readiness", port="ready", timeout_s=1.0)
        except OSError:
            return False
        return found.status == 200

    def call(
        self, method, path, headers=(), body=None, port="front", timeout_s=6.0
    ):
        """Sends one request on a new connection; returns the Answer.

        Raises OSError if no complete answer arrives.
        """
        conn = http.client.HTTPConnection(
            self.host, self.ports[port], timeout=timeout_s
        )
        try:
            conn.request(
                method, path, body, {"Host": HOST_NAME, **dict(headers)}
            )
            resp = conn.getresponse()
            return Answer(resp.status, dict(resp.getheaders()), resp.read())
        except http.client.HTTPException as exc:
            raise OSError(repr(exc)) from exc
        finally:
            conn.close()

    def signal(self, number):
        """Sends a signal to the process."""
        self.process.send_signal(number)

    def logged(self, event):
        """Returns the log lines of an event."""
        found = []
        path = self._folder / f"{self.name}.log"
        for line in path.read_text(errors="replace").splitlines():
            if f'"{event}"' in line:
                found.append(line)
        return found


class Answer:
    """A complete answer of a daemon."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body


class Rig:
    """A store, engines and daemons; ends what it started when it is left."""

    def __init__(self, folder):
        self.record = Record(folder)
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.store = storeserver.StoreServer()
        self.store.start()
        self.engines = []
        self.daemons = []
        self._version = 0

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        for daemon in self.daemons:
            if daemon.is_alive:
                daemon.signal(signal.SIGCONT)
                daemon.process.kill()
                daemon.process.wait()
        self.store.shutdown()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)

    def configure(self, routes, services):
        """Writes the next version of the configuration; returns when it is."""
        self._version += 1
        document = {
            "version": self._version,
            "routes": routes,
            "services": [
                {
                    "name": name,
                    "healthPath": "/health",
                    "engine": {"slots": 8, "kvCapacityTokens": 72000},
                }
                for name in services
            ],
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 4194304,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        self.store.put_row("op", "config", document)
        self.record(
            f"config {self._version} acknowledged: "
            f"{[one['pathPrefix'] for one in routes]}"
        )

    def add_engine(self, service, name, **fields):
        """Starts an engine and returns it."""
        engine = Engine(self.store, service, name, **fields)
        self.engines.append(engine)
        return engine

    def add_daemon(self, store_address=None):
        """Starts a daemon and returns it."""
        daemon = Daemon(
            self, len(self.daemons), store_address or self.store.address
        )
        self.daemons.append(daemon)
        daemon.start()
        return daemon

    def wait_ready(self):
        """Waits until all daemons are ready; exits if they are not."""
        deadline_s = time.monotonic() + READY_WAIT_S
        while not all(one.is_ready() for one in self.daemons):
            if time.monotonic() > deadline_s:
                self.record("the daemons are not ready")
                sys.exit(CANNOT_RUN)
            time.sleep(0.1)
        self.record(f"{len(self.daemons)} daemons are ready")

    def arrivals(self, ids):
        """Returns (engine, Arrival) of all requests with one of some ids."""
        wanted = set(ids)
        return [
            (engine, one)
            for engine in self.engines
            for one in engine.arrivals
            if one.id in wanted
        ]


def batch_route(name, prefix, service, **fields):
    """Returns a batch route with the figures of the users' sheets."""
    return {
        "name": name,
        "hostname": HOST_NAME,
        "pathPrefix": prefix,
        "kind": "batch",
        "service": service,
        "timeoutMs": 15000,
        "targetLatencyMs": 400,
        "completionTargetMs": 18000,
        "retentionS": 60,
        "maxAttempts": 3,
        "priority": 2,
        "cap": 2400000,
        "sticky": True,
        "resumable": True,
        **fields,
    }


class Job:
    """A batch job as its client sees it.

    `results` has the results by position. `shared_part` is the part of the
    prompt that its items share, `tokens` are the Token-Count of each.
    """

    def __init__(self, rig, name, prefix, items):
        self._record = rig.record
        self.id = name
        self.prefix = prefix
        self.item_ids = [f"{name}i{number:03d}" for number in range(items)]
        self.shared_part = "9c2e41:100"
        self.tokens = "350,216"
        self.accepted_s = None
        self.results = {}

    def submit(self, daemon):
        """Submits the job; returns the status, 0 without an answer."""
        requests = [
            {
                "id": one,
                "path": f"{self.prefix}{one}",
                "headers": {
                    "Model": "m",
                    "Token-Count": self.tokens,
                    "Prompt-Prefix": f"{self.shared_part},{one}:250",
                },
                "body": base64.b64encode(one.encode() * 4).decode(),
                "tokens": 566,
            }
            for one in self.item_ids
        ]
        headers = {
            "Request-Id": self.id,
            "Content-Type": "application/json",
            "Deadline-Ms": "4000",
        }
        status = 0
        try:
            status = daemon.call(
                "POST",
                f"{self.prefix}{self.id}",
                headers,
                json.dumps({"requests": requests}),
            ).status
        except OSError as exc:
            self._record(f"job {self.id} at {daemon.name}: {exc!r}")
        self._record(
            f"job {self.id} ({len(self.item_ids)} items) at {daemon.name}:"
            f" {status}"
        )
        if status == 202:
            self.accepted_s = time.monotonic()
        return status

    def read(self, daemon):
        """Reads new results; returns the status, 0 without an answer."""
        path = f"/lots/{self.id}?after={len(self.results)}"
        try:
            found = daemon.call("GET", path)
        except OSError as exc:
            self._record(f"results of {self.id} at {daemon.name}: {exc!r}")
            return 0
        if found.status != 200:
            self._record(
                f"results of {self.id} at {daemon.name}: {found.status}"
            )
            return found.status
        for one in json.loads(found.body)["results"]:
            self.results[len(self.results)] = one
            self._record(
                f"result {len(self.results) - 1} of {self.id}: {one['id']}"
                f" {one['state']}, {len(one['text'])} characters"
            )
        return 200

    def read_until(self, daemon, end_s):
        """Reads results until it is complete or a monotonic time has come.

        Ends RECORD_END_S after the start of the script at the latest.
        """
        end_s = min(end_s, self._record.began_s + RECORD_END_S)
        while time.monotonic() < end_s and not self.is_complete:
            self.read(daemon)
            time.sleep(1.0)

    @property
    def unlisted(self):
        """The ids of the items that are not listed."""
        listed = {one["id"] for one in self.results.values()}
        return [one for one in self.item_ids if one not in listed]

    @property
    def is_complete(self):
        """Whether each item is listed."""
        return not self.unlisted


class Proxy:
    """A proxy to the store whose open connections can fall silent for good.

    A connection that fell silent stays open and passes nothing on any more;
    connections that are opened later work.
    """

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(128)
        self._lock = threading.Lock()
        self._open = []
        self._requests = []
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """Its own IP:PORT."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(near,), daemon=True
            ).start()

    def _serve(self, near):
        silent = threading.Event()
        with self._lock:
            self._open.append(silent)
        try:
            with near, socket.create_connection(self._target) as far:
                back = threading.Thread(
                    target=self._forward, args=(far, near, silent), daemon=True
                )
                back.start()
                self._forward(near, far, silent, is_request=True)
                back.join()
        finally:
            with self._lock:
                self._open.remove(silent)

    def _forward(self, source, sink, silent, is_request=False):
        try:
            while data := source.recv(65536):
                if is_request:
                    self._note(data)
                if not silent.is_set():
                    sink.sendall(data)
            if not silent.is_set():
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            return

    def _note(self, data):
        line = data.partition(b"\r\n")[0].decode("latin-1")
        with self._lock:
            self._requests.append((time.monotonic(), line))

    def wait_for_request(self, text, timeout_s=5.0):
        """Waits for a new request whose first line has a text."""
        since_s = time.monotonic()
        while time.monotonic() - since_s < timeout_s:
            with self._lock:
                found = [
                    line
                    for at_s, line in self._requests
                    if at_s > since_s and text in line
                ]
            if found:
                return True
            time.sleep(0.002)
        return False

    def silence(self):
        """Makes the open connections silent; returns how many there were."""
        with self._lock:
            for one in self._open:
                one.set()
            return len(self._open)


class ResettingProxy:
    """A proxy to an engine that can reset its open connections."""

    def __init__(self, address):
        host, _, port = address.rpartition(":")
        self._target = (host, int(port))
        self._listener = socket.socket()
        self._listener.bind(("127.0.0.1", 0))
        self._listener.listen(128)
        self._lock = threading.Lock()
        self._open = {}
        threading.Thread(target=self._accept, daemon=True).start()

    @property
    def address(self):
        """Its own IP:PORT."""
        return f"127.0.0.1:{self._listener.getsockname()[1]}"

    def _accept(self):
        while True:
            near, _ = self._listener.accept()
            threading.Thread(
                target=self._serve, args=(near,), daemon=True
            ).start()

    def _serve(self, near):
        with near, socket.create_connection(self._target) as far:
            with self._lock:
                self._open[near] = far
            back = threading.Thread(
                target=_copy, args=(far, near), daemon=True
            )
            back.start()
            _copy(near, far)
            back.join()
            with self._lock:
                self._open.pop(near, None)

    def reset(self):
        """Resets the open connections at both ends; returns how many."""
        with self._lock:
            pairs = list(self._open.items())
            self._open.clear()
        for pair in pairs:
            for one in pair:
                one.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
                # close() waits for the threads that read; this does not.
                one.shutdown(socket.SHUT_RD)
        for pair in pairs:
            for one in pair:
                one.close()
        return len(pairs)


_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


def _copy(source, sink):
    try:
        while data := source.recv(65536):
            sink.sendall(data)
        sink.shutdown(socket.SHUT_WR)
    except OSError:
        return
