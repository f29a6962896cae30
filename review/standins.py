"""Stand-ins that the review's scripts share: store, engines, callers, fleet.

They speak HTTP/1.1 as the users' pages describe it, on loopback addresses and
in one asyncio event loop; the daemons under review are separate processes.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
ROUTE_HOST = "shop.example"
POOL = "drafting"
DAEMON_PORTS = (11000, 31000)
# Figures of the small deployment of the users' pages.
STORE_READ_S = 0.004
STORE_WRITE_S = 0.008
STOP_GRACE_S = 8.0
SETTINGS_STOP_MARGIN_S = 1.0
PAGE_ROWS_MAX = 500
ENGINE_SLOTS = 8
ENGINE_QUEUE = 24
REASONS = {
    200: "OK",
    400: "Bad Request",
    404: "Not Found",
    412: "Precondition Failed",
    421: "Misdirected Request",
    500: "Internal Server Error",
    503: "Service Unavailable",
}


class Record:
    """Writes record.txt: what was sent, answered and run, with times (s)."""

    def __init__(self, folder):
        self._file = (pathlib.Path(folder) / "record.txt").open("w")
        self._began_s = time.monotonic()

    def now_s(self):
        """Returns the time since the start (s)."""
        return time.monotonic() - self._began_s

    def line(self, *words):
        """Writes one line."""
        print(f"{self.now_s():8.3f}", *words, file=self._file, flush=True)


def free_port():
    """Returns a port that is free now, for TCP and UDP.

    It lies below those that the system gives to connections, so that it is
    still free when a daemon starts again.
    """
    while True:
        port = random.SystemRandom().randrange(*DAEMON_PORTS)
        try:
            for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                with socket.socket(socket.AF_INET, kind) as sock:
                    sock.bind((HOST, port))
        except OSError:
            continue
        return port


async def read_head(reader):
    """Returns the first line and the headers (names in lower case)."""
    data = await reader.readuntil(b"\r\n\r\n")
    first, *lines = data.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return first, headers


class HttpServer:
    """Base of the servers: one request on each connection."""

    def __init__(self):
        self.port = 0
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """The server's IP:PORT."""
        return f"{HOST}:{self.port}"

    async def start(self):
        """Starts to listen on a free port."""
        self._server = await asyncio.start_server(
            self._serve, HOST, 0, limit=16_777_216, backlog=1024
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def close(self):
        """Stops listening and closes all connections."""
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            first, headers = await read_head(reader)
            size = int(headers.get("content-length", 0))
            body = await reader.readexactly(size) if size else b""
            method, target, _ = first.split(" ", 2)
            await self.answer(method, target, headers, body, reader, writer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def answer(self, method, target, headers, body, reader, writer):
        """Answers one request."""
        raise NotImplementedError


def head_bytes(status, headers):
    """Returns the head of a response that ends its connection."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, '-')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join([*lines, "Connection: close"]) + "\r\n\r\n").encode()


class Store(HttpServer):
    """The platform's store: rows, changes and objects.

    Calls that name a part in `parts_down` get 503: nothing was done.
    """

    def __init__(self):
        super().__init__()
        self.rows = {}
        self.history = []
        self.objects = {}
        self.version = 0
        self.parts_down = set()
        self.refused = []
        self._changed = asyncio.Event()

    def put(self, table, key, document):
        """Writes a row of an empty part, as the operator or an engine."""
        value = base64.b64encode(json.dumps(document).encode()).decode()
        self.put_value(table, key, value)

    def put_value(self, table, key, value):
        """Writes a row of an empty part; `value` is base64."""
        self._apply([(table, "", key, value)])

    def remove(self, table, key):
        """Removes a row of an empty part."""
        self._apply([(table, "", key, None)])

    def _apply(self, changes):
        self.version += 1
        for table, part, key, value in changes:
            if value is None:
                self.rows.pop((table, part, key), None)
            else:
                self.rows[table, part, key] = (value, self.version)
            self.history.append((self.version, table, part, key, value))
        self._changed.set()
        self._changed = asyncio.Event()

    async def answer(self, method, target, headers, body, reader, writer):
        """Answers one call."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query, keep_blank_values=True))
        name = url.path.strip("/").partition("/")[0].replace("-", "_")
        await asyncio.sleep(
            STORE_WRITE_S if method in ("POST", "PUT") else STORE_READ_S
        )
        if name.startswith("blob"):
            status, data = self._call_object(method, url.path, body)
        else:
            call = getattr(self, f"_{name}")
            status, document = await call(query, body)
            document["ver"] = document.get("ver", self.version)
            document["nowMs"] = int(time.monotonic() * 1000)
            data = json.dumps(document).encode()
        writer.write(
            head_bytes(
                status,
                [
                    ("Content-Type", "application/json"),
                    ("Content-Length", len(data)),
                ],
            )
            + data
        )

    def _call_object(self, method, path, body):
        name = urllib.parse.unquote(path.split("/", 2)[2])
        if method == "PUT":
            if name in self.objects:
                return 412, b""
            self.objects[name] = body
            return 200, b""
        if name not in self.objects:
            return 404, b""
        return 200, self.objects[name]

    def _encoded(self, table, part, key):
        value, version = self.rows[table, part, key]
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "ver": version,
        }

    async def _rows_tx(self, _, body):
        call = json.loads(body)
        names = [
            (entry["table"], entry["part"], entry["key"])
            for kind in ("expectedRev", "put", "remove")
            for entry in call[kind]
        ]
        if self.parts_down & {part for _, part, _ in names}:
            self.refused.append(names)
            return 503, {}
        expected = {
            (entry["table"], entry["part"], entry["key"]): entry["ver"]
            for entry in call["expectedRev"]
        }
        if any(version < 0 for version in expected.values()):
            return 400, {}
        for name, version in expected.items():
            if self.rows.get(name, ("", 0))[1] != version:
                rows = [
                    self._encoded(*one) for one in expected if one in self.rows
                ]
                return 412, {"rows": rows}
        changes = [
            (entry["table"], entry["part"], entry["key"], entry["value"])
            for entry in call["put"]
        ]
        changes += [
            (entry["table"], entry["part"], entry["key"], None)
            for entry in call["remove"]
        ]
        self._apply(changes)
        return 200, {}

    async def _rows_get(self, query, _):
        table, part = query["table"], query["part"]
        if part in self.parts_down:
            self.refused.append([(table, part, query.get("from", ""))])
            return 503, {}
        start, end = query.get("from", ""), query.get("to", "")
        keys = sorted(
            key
            for one, other, key in self.rows
            if (one, other) == (table, part)
            and key >= start
            and (not end or key < end)
        )
        limit = min(int(query.get("limit", PAGE_ROWS_MAX)), PAGE_ROWS_MAX)
        rows, size = [], 0
        for key in keys[:limit]:
            row = self._encoded(table, part, key)
            size += len(row["value"]) + 200
            if rows and size > 1_000_000:
                break
            rows.append(row)
        return 200, {"rows": rows, "hasMore": len(rows) < len(keys)}

    async def _rows_parts(self, query, _):
        parts = {part for one, part, _ in self.rows if one == query["table"]}
        return 200, {"parts": sorted(parts), "hasMore": False}

    async def _rows_feed(self, query, _):
        until_s = time.monotonic() + int(query.get("waitMs", 0)) / 1000
        while True:
            rows = [
                {
                    "table": table,
                    "part": part,
                    "key": key,
                    "value": value or "",
                    "ver": version,
                    "deleted": value is None,
                }
                for version, table, part, key, value in self.history
                if version > int(query["after"]) and table == query["table"]
            ]
            left_s = until_s - time.monotonic()
            if rows or left_s <= 0:
                return 200, {"rows": rows}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)


@dataclasses.dataclass
class Run:
    """One request that an engine began to work on."""

    id: str
    engine: str
    resume_after: int
    began_s: float
    sent: int = 0
    unframed: bool = False
    ended: str = "running"


class Engine(HttpServer):
    """A model engine: answers with events "REQUEST-ID:NUMBER".

    The number of events is the second number of `Token-Count`, one every
    `interval_s`. `is_unframed(run)` tells whether an answer has no length and
    ends with its connection.
    """

    def __init__(self, name, interval_s, record, is_unframed=lambda _: False):
        super().__init__()
        self.name = name
        self.interval_s = interval_s
        self.runs = []
        self.arrivals = []
        self._record = record
        self._is_unframed = is_unframed
        self._slots = asyncio.Semaphore(ENGINE_SLOTS)
        self._waiting = 0

    def entry(self, state="ready", **fields):
        """Returns the engine's entry in the platform's store."""
        return {
            "service": POOL,
            "address": self.address,
            "zone": "a",
            "version": "v1",
            "slots": ENGINE_SLOTS,
            "state": state,
            "coldLeftMs": 0,
            "seq": 1,
            "born": 1,
            **fields,
        }

    async def answer(self, method, target, headers, body, reader, writer):
        """Answers one request; drops it when its connection closes."""
        request = headers.get("request-id", "")
        self.arrivals.append((time.monotonic(), request))
        self._record.line("arrived", self.name, request)
        if headers.get("target-instance", self.name) != self.name:
            return self._reject(writer, 421, request)
        if self._waiting >= ENGINE_QUEUE:
            return self._reject(writer, 503, request)
        self._waiting += 1
        gone = asyncio.ensure_future(reader.read(1))
        try:
            slot = asyncio.ensure_future(self._slots.acquire())
            await asyncio.wait(
                (slot, gone), return_when=asyncio.FIRST_COMPLETED
            )
        finally:
            self._waiting -= 1
        if not slot.done():
            slot.cancel()
            return None
        try:
            await self._run(request, headers, gone, writer)
        finally:
            self._slots.release()
            gone.cancel()

    def _reject(self, writer, status, request):
        headers = [
            ("Request-Id", request),
            ("Not-Executed", "1"),
            ("Content-Length", 0),
        ]
        writer.write(head_bytes(status, headers))

    async def _run(self, request, headers, gone, writer):
        count = int(headers["token-count"].partition(",")[2])
        run = Run(
            request,
            self.name,
            int(headers.get("last-event-id", 0)),
            time.monotonic(),
        )
        run.unframed = self._is_unframed(run)
        self.runs.append(run)
        self._record.line("began", self.name, request, run.resume_after)
        names = [
            ("Request-Id", request),
            ("Response-Seal", f"seal.{request}"),
            ("Content-Type", "text/event-stream"),
        ]
        if not run.unframed:
            names.append(("Transfer-Encoding", "chunked"))
        writer.write(head_bytes(200, names))
        try:
            for number in range(run.resume_after + 1, count + 1):
                await asyncio.wait((gone,), timeout=self.interval_s)
                if gone.done():
                    raise ConnectionError("the caller has closed")
                data = f"id: {number}\ndata: {request}:{number}\n\n".encode()
                if not run.unframed:
                    data = b"%x\r\n%s\r\n" % (len(data), data)
                writer.write(data)
                await writer.drain()
                run.sent = number
            if not run.unframed:
                writer.write(b"0\r\n\r\n")
            run.ended = "complete"
        except OSError:
            run.ended = "dropped"
        self._record.line("ended", self.name, request, run.sent, run.ended)


@dataclasses.dataclass
class Answer:
    """What a caller got; `status` is 0 if the connection brought no head.

    `complete` if the answer's framing says that it ended.
    """

    status: int = 0
    headers: dict = dataclasses.field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    was_sent: bool = False
    error: str = ""
    sent_s: float = 0.0
    ended_s: float = 0.0


async def send(port, method, path, headers=(), body=b""):
    """Sends one request on a new connection; returns its Answer."""
    found = Answer()
    names = {"Host": ROUTE_HOST, "Content-Length": len(body), **dict(headers)}
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in names.items()]
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(HOST, port, limit=16_777_216), 1.0
        )
    except (OSError, TimeoutError) as exc:
        found.error = f"no connection: {exc!r}"
        found.sent_s = found.ended_s = time.monotonic()
        return found
    try:
        writer.write("\r\n".join([*lines, "", ""]).encode() + body)
        await writer.drain()
        found.was_sent = True
        found.sent_s = time.monotonic()
        first, found.headers = await read_head(reader)
        found.status = int(first.split(" ")[1])
        await _read_body(reader, found)
    except (OSError, asyncio.IncompleteReadError) as exc:
        found.error = repr(exc)
    finally:
        found.ended_s = time.monotonic()
        writer.close()
    return found


async def _read_body(reader, found):
    headers = found.headers
    if "chunked" in headers.get("transfer-encoding", ""):
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            chunk = await reader.readexactly(size + 2)
            if not size:
                break
            found.body += chunk[:-2]
    elif "content-length" in headers:
        found.body = await reader.readexactly(int(headers["content-length"]))
    else:
        found.body = await reader.read(-1)
    found.complete = True


class Daemon:
    """One entry daemon, a process started as in the deploy file."""

    def __init__(self, name, store, folder):
        self.name = name
        self.port = free_port()
        self.readiness_port = free_port()
        self._folder = folder
        self._path = folder / f"{name}.json"
        settings = {
            "id": name,
            "zone": "a",
            "listen": {
                "callers": f"{HOST}:{self.port}",
                "readiness": f"{HOST}:{self.readiness_port}",
            },
            "store": {"address": store.address, "row_bytes_max": 65536},
            "peer_address": HOST,
            "peer_port": free_port(),
            "stop_s": STOP_GRACE_S,
        }
        self._path.write_text(json.dumps(settings))
        self.process = None

    async def start(self):
        """Starts the process."""
        env = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env["SAMPHIREPOST_NODE_FILE"] = str(self._path)
        with (self._folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/entry.py",
                str(self._path),
                cwd=ROOT,
                env=env,
                stdout=log,
                stderr=log,
            )

    @property
    def is_running(self):
        """Whether the process runs."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        """Sends a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    async def is_ready(self):
        """Whether the daemon answers the platform's readiness question."""
        found = await send(self.readiness_port, "GET", "/readiness")
        return found.status == 200

    def log_lines(self, event):
        """Returns the log's lines of one kind, decoded."""
        text = (self._folder / f"{self.name}.log").read_text()
        found = []
        for line in text.splitlines():
            with contextlib.suppress(ValueError):
                entry = json.loads(line)
                if entry.get("event") == event:
                    found.append(entry)
        return found


def route(name, kind, **fields):
    """Returns a route in the operator's format; its prefix is /NAME/."""
    return {
        "name": name,
        "hostname": ROUTE_HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": POOL,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "maxAttempts": 1,
        "priority": 0,
        **fields,
    }


ROUTES = (
    route("short", "stream", resumable=True, maxAttempts=2, gapAimMs=250),
    route("thanks", "stream", resumable=False, maxAttempts=1, gapAimMs=250),
    route(
        "eulogy",
        "batch",
        maxAttempts=3,
        timeoutMs=15000,
        targetLatencyMs=400,
        completionTargetMs=18000,
        retentionS=60,
        cap=2_400_000,
        priority=2,
    ),
)


class Fleet:
    """Store, engines and daemons of one script."""

    def __init__(self, record):
        self.record = record
        self.store = Store()
        self.engines = []
        self.daemons = []
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))

    async def start(self, daemons, engines):
        """Starts the store, the engines and the daemons; waits for these."""
        await self.store.start()
        tables = {
            "version": 1,
            "routes": list(ROUTES),
            "services": [{"name": POOL, "healthPath": "/health"}],
            "limits": {"maxBodyBytes": 4_194_304, "idleTimeoutMs": 15000},
        }
        self.store.put("op", "config", tables)
        for engine in engines:
            await engine.start()
            self.engines.append(engine)
            self.store.put("servers", engine.name, engine.entry())
        for number in range(daemons):
            daemon = Daemon(f"vm-{number}", self.store, self.folder)
            self.daemons.append(daemon)
            await daemon.start()
        for daemon in self.daemons:
            await self.wait_ready(daemon)

    async def wait_ready(self, daemon, wait_s=20.0):
        """Waits until a daemon is ready; raises TimeoutError."""
        until_s = time.monotonic() + wait_s
        while not await daemon.is_ready():
            if time.monotonic() > until_s or not daemon.is_running:
                raise TimeoutError(f"{daemon.name} is not ready")
            await asyncio.sleep(0.1)

    async def stop(self):
        """Ends all processes that were started."""
        for daemon in self.daemons:
            daemon.signal(signal.SIGKILL)
            if daemon.process is not None:
                await daemon.process.wait()
        self.store.close()
        for engine in self.engines:
            engine.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def new_id(rng):
    """Returns an id for a request."""
    return f"{rng.getrandbits(64):016x}"


def stream_headers(request, events, deadline_ms=5000):
    """Returns the headers of an online request."""
    return {
        "Request-Id": request,
        "Deadline-Ms": deadline_ms,
        "Model": "m",
        "Token-Count": f"450,{events}",
        "Prompt-Prefix": f"5c1e07a2:100,91bd3f06:100,{request[:8]}:250",
    }


def lot(rng, items, events):
    """Returns the body of a batch job, and its items' ids."""
    ids = [new_id(rng) for _ in range(items)]
    requests = [
        {
            "id": item,
            "path": f"/eulogy/3/{item[:4]}",
            "headers": {
                "Model": "m",
                "Token-Count": f"350,{events}",
                "Prompt-Prefix": f"9c2e41:100,{item[:8]}:250",
            },
            "body": base64.b64encode(item.encode()).decode(),
            "tokens": 350 + events,
        }
        for item in ids
    ]
    return json.dumps({"requests": requests}).encode(), ids


async def submit(daemons, job, body, rng, record, tries=4):
    """Hands in a batch job at one daemon after the other until a 202."""
    for daemon in rng.sample(daemons, len(daemons)) * tries:
        headers = {"Request-Id": job, "Content-Type": "application/json"}
        found = await send(
            daemon.port, "POST", f"/eulogy/{job}", headers, body
        )
        record.line("submit", job, daemon.name, found.status, found.error)
        if found.status == 202:
            return True
        await asyncio.sleep(0.5)
    return False


async def read_results(daemon, job):
    """Returns a job's results from its start on, or None."""
    results = []
    while True:
        found = await send(
            daemon.port, "GET", f"/lots/{job}?after={len(results)}"
        )
        if found.status != 200:
            return None
        page = json.loads(found.body)
        results += page["results"]
        if not page["results"] or len(results) >= page["total"]:
            return results


def output(request, events):
    """Returns the whole output of a request, one line an event."""
    return "\n".join(f"{request}:{n}" for n in range(1, events + 1))


def main(folder, script):
    """Runs a script's coroutine; exits with what it returns.

    The script gets a Record and whether the disruption is on. A script that
    cannot run exits with 2.
    """
    # All that was started is ended also if the script itself is stopped.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    record = Record(folder)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line("trouble" if trouble else "no trouble")
    try:
        code = asyncio.run(script(record, trouble))
    except Exception as exc:
        record.line("the case could not run:", repr(exc))
        print(repr(exc), file=sys.stderr)
        code = 2
    record.line("exit", code)
    sys.exit(code)


def generator(seed):
    """Returns a random number generator."""
    return random.Random(seed)
