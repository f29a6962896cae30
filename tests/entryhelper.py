"""Runs entry daemons in this process with an emulated store and engines."""

import contextlib
import http.client
import json
import socket
import threading
import time

from samphirepost import batchjob
from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import storeserver
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import core
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import items
from samphirepost_daemon.entry import pathmonitor
from samphirepost_daemon.entry import settings
from samphirepost_daemon.entry import wiring

WAIT_S = 30.0
POLL_S = 0.01


def wait_until(check, what):
    """Returns the first true result of `check()`.

    Raises AssertionError after WAIT_S. `what` names the condition.
    """
    deadline_s = time.monotonic() + WAIT_S
    pause = threading.Event()
    while time.monotonic() < deadline_s:
        result = check()
        if result:
            return result
        pause.wait(POLL_S)
    raise AssertionError(f"timed out waiting for: {what}")


class Reply:
    """A response to a caller; `complete` unless the body was truncated."""

    def __init__(self, status, headers, body, complete):
        self.status = status
        self.headers = headers
        self.body = body
        self.complete = complete

    @property
    def text(self):
        """The data of a stream's events, one line per event."""
        lines = self.body.decode().splitlines()
        return "\n".join(
            line.removeprefix("data: ")
            for line in lines
            if line.startswith("data: ")
        )


class DirectPaths:
    """Opens calls to engines, without a PathMonitor that learns from them."""

    @staticmethod
    def open(call, engine, _through, _order, request):
        """Sends a request; see PathMonitor.open()."""
        failure = call.connect(
            lambda one: engineclient.dial(one.address, 1.0), engine
        )
        return failure or call.send(*request)


def run_item(item, engine, partial, observer=None):
    """Runs an item at an engine without a holder; returns the outcome."""
    record = batchjob.Record("job", "h", "r", item.path, (item,))
    run = holdermessages.ItemRun(1, ("h", "job"), 0, engine, partial)
    return items.run_item(
        DirectPaths(),
        record,
        item,
        engine,
        run,
        lambda: False,
        observer or items.RunObserver(),
    )


def read_head(conn):
    """Reads a request's head; returns what came, or None without a head.

    A daemon that tries the path to an engine connects and sends nothing.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        received = conn.recv(65_536)
        if not received:
            return None
        data += received
    return data


class RawServer:
    """A TCP server on loopback; a subclass serves each connection.

    serve(conn) runs in a thread of its own, and the connection is closed
    after it.
    """

    def __init__(self):
        self._sock = socket.create_server(("127.0.0.1", 0))
        self._thread = threading.Thread(target=self._accept, daemon=True)
        self._thread.start()

    @property
    def address(self):
        """The server's IP:PORT."""
        return f"127.0.0.1:{self._sock.getsockname()[1]}"

    def _accept(self):
        while True:
            try:
                conn, _ = self._sock.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve_and_close, args=(conn,), daemon=True
            ).start()

    def _serve_and_close(self, conn):
        with conn:
            self.serve(conn)

    def serve(self, conn):
        """Serves one connection."""
        raise NotImplementedError

    def stop(self):
        """Stops accepting connections; new ones are refused."""
        with contextlib.suppress(OSError):
            # Ends a call of accept(), which close() leaves waiting.
            self._sock.shutdown(socket.SHUT_RDWR)
        # A thread that is about to call accept() would accept on the next
        # server's socket if that got the same descriptor.
        self._thread.join(WAIT_S)
        self._sock.close()


def _exit_thread():
    raise SystemExit


class _Stopped:
    """Ends the thread that reads any of its attributes."""

    def __getattr__(self, _):
        raise SystemExit


def _executors(daemon):
    """Returns a daemon's thread pools; not the actor's once it has ended."""
    found = [daemon.parts.streams._executor]
    actor = daemon.actor._actor_weakref()
    if actor is not None:
        found += [actor._item_executor, actor._store_executor]
    return found


def stop_daemon(daemon):
    """Makes a daemon's threads exit that would run until the process ends.

    Replacing what each of their loops calls makes them exit now. Else daemons
    of one test would run during the next, and all would stay in memory.
    """
    executors = _executors(daemon)
    daemon.actor.stop()
    for watcher in daemon.watchers:
        watcher.poll_once = _exit_thread
    daemon.slots._receive = _exit_thread
    # Its port is free for another daemon once the socket is closed.
    daemon.slots.join(WAIT_S)
    if daemon.slots._sock is not None:
        daemon.slots._sock.close()
    daemon.paths.work = _exit_thread
    daemon.paths.report_lost(pathmonitor.WAKE_UP)
    daemon.base_keeper._slots = _Stopped()
    daemon.quarantine_writer._clock = _Stopped()
    daemon.quarantine_writer.remove("")
    for executor in executors:
        executor.shutdown(wait=False)
    for listener in (daemon.callers, daemon.readiness, daemon.relay):
        listener._server.close()
        listener._server.task_dispatcher.shutdown(timeout=0)
    daemon.log.close()


class Fleet:
    """Entry daemons with emulators of the store and engines, on loopback.

    `stops` are the daemons' settings `stop_s` and `unready_s`.
    """

    def __init__(self, engines=2, daemons=1, versions=("v1",), **stops):
        self._stops = stops
        self.store = storeserver.StoreServer()
        self.store.start()
        self.engines = []
        for number in range(engines):
            self.add_engine(versions[number % len(versions)])
        self.crashed = []
        self.configure(1, entryfleet.ROUTES)
        self.daemons = []
        for number in range(daemons):
            self.daemons.append(self.start(f"vm-{number}"))
        self._stopped = threading.Event()
        self._ticker = threading.Thread(target=self._tick, daemon=True)
        self._ticker.start()

    def add_engine(self, version="v1"):
        """Starts an engine of a version and lists it; returns it."""
        engine = streamengine.Engine(
            f"engine-{len(self.engines)}", version=version
        )
        engine.start()
        self.engines.append(engine)
        self.list_engine(engine)
        return engine

    def list_engine(self, engine, state="ready"):
        """Writes an engine's entry in the registry."""
        self.store.put_row(
            "servers", engine.name, engine.entry(entryfleet.POOL, state)
        )

    def list_address(self, name, address, born=0):
        """Lists an engine at an address, and waits until all daemons know."""
        entry = {
            "service": entryfleet.POOL,
            "address": address,
            "zone": "a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "seq": 1,
            "born": born,
        }
        self.store.put_row("servers", name, entry)
        for daemon in self.daemons:
            wait_until(
                lambda one=daemon: one.state.roster.get(name) is not None,
                f"{name} is listed",
            )

    def remove_engine(self, engine):
        """Removes an engine and waits until the daemons know."""
        self.store.remove_row("servers", engine.name)
        for daemon in self.daemons:
            wait_until(
                lambda one=daemon: one.state.roster.get(engine.name) is None,
                f"{engine.name} is gone",
            )

    def configure(self, version, routes):
        """Writes the configuration tables to the store as an operator."""
        document = entryfleet.tables(version, routes)
        self.store.put_row("op", "config", document)

    def crash_on(self, part=None, body=None):
        """Makes all engines crash on a part of a prompt or on a body.

        Another engine takes the place of one that crashed at once; `crashed`
        lists those that did.
        """
        for engine in self.engines:
            if part is not None:
                engine.crash_parts = frozenset((part,))
            if body is not None:
                engine.crash_bodies = frozenset((body,))
            engine.on_crash = self._replace

    def _replace(self, crashed):
        engine = streamengine.Engine(f"{crashed.name}+")
        engine.crash_bodies = crashed.crash_bodies
        engine.crash_parts = crashed.crash_parts
        engine.unframed = crashed.unframed
        engine.on_crash = self._replace
        engine.start()
        self.engines.append(engine)
        self.crashed.append(crashed)
        self.list_engine(engine)
        self.store.remove_row("servers", crashed.name)

    def arrived(self, request):
        """Returns how often a request reached engines."""
        return sum(
            one.id == request
            for engine in list(self.engines)
            for one in list(engine.arrivals)
        )

    def start(self, name):
        """Starts a daemon and waits until it is ready."""
        cfg = settings.EntrySettings(
            id=name,
            zone="a",
            listen=settings.ListenSettings(
                f"127.0.0.1:{fleet_module.free_port()}",
                f"127.0.0.1:{fleet_module.free_port()}",
                16,
            ),
            store=settings.StoreSettings(self.store.address),
            peer_address="127.0.0.1",
            peer_port=fleet_module.free_port(),
            **self._stops,
        )
        daemon = wiring.Daemon(cfg)
        core.start(daemon)
        wait_until(lambda: daemon.state.ready, f"{name} is ready")
        return daemon

    def _tick(self):
        while not self._stopped.wait(core.TICK_INTERVAL_S):
            for daemon in self.daemons:
                if daemon.actor.is_alive():
                    core.tick(daemon)

    def stop(self):
        """Stops the daemons, the store and the engines."""
        self._stopped.set()
        self._ticker.join()
        for daemon in self.daemons:
            stop_daemon(daemon)
        self.store.shutdown()
        for engine in self.engines:
            engine.shutdown()

    def common_hub(self):
        """Returns the VM id of the hub of all daemons, or None."""
        hubs = {
            one.slots.hub_vm if one.slots.hub_answers else None
            for one in self.daemons
        }
        return hubs.pop() if len(hubs) == 1 else None

    def ran(self, request):
        """Returns how often a request ran, over all engines."""
        return sum(engine.ran(request) for engine in self.engines)

    def call(self, method, path, headers=None, body=b"", daemon=0):
        """Sends a caller's HTTP request; returns the Reply."""
        address = self.daemons[daemon].cfg.listen.callers
        conn = http.client.HTTPConnection(address, timeout=WAIT_S)
        try:
            conn.request(
                method,
                path,
                body,
                {"Host": entryfleet.HOSTNAME, **(headers or {})},
            )
            resp = conn.getresponse()
            try:
                data, complete = resp.read(), True
            except http.client.IncompleteRead as exc:
                data, complete = exc.partial, False
            return Reply(resp.status, dict(resp.getheaders()), data, complete)
        finally:
            conn.close()

    def restart_all(self):
        """Replaces all daemons, as if every VM was lost at once."""
        count = len(self.daemons)
        for daemon in self.daemons:
            stop_daemon(daemon)
        self.daemons[:] = [self.start(f"again-{i}") for i in range(count)]

    def send_online(
        self, request, path="/notes/1", daemon=0, body=b"prompt", **headers
    ):
        """Sends an online request; returns the Reply."""
        request_headers = {
            "Request-Id": request,
            "Deadline-Ms": "5000",
            **headers,
        }
        return self.call("POST", path, request_headers, body, daemon)

    def send_and_leave(self, request, daemon=0, path="/bills/1", until=None):
        """Sends a request, and leaves once `until()` is true.

        By default, once the request runs at an engine.
        """
        address = self.daemons[daemon].cfg.listen.callers
        conn = http.client.HTTPConnection(address)
        headers = {
            "Host": entryfleet.HOSTNAME,
            "Request-Id": request,
            "Deadline-Ms": "60000",
        }
        conn.request("POST", path, b"prompt", headers)
        wait_until(until or (lambda: self.ran(request)), "the request runs")
        conn.close()

    def submit(self, job, count, daemon=0, prompt="own:9", tokens=""):
        """Submits a batch job with `count` items; returns the Reply.

        `tokens` are those of the prompt and of the output, if not empty.
        """
        headers = {"Model": "m", "Prompt-Prefix": prompt}
        if tokens:
            headers["Token-Count"] = tokens
        items = [
            {
                "id": f"{job}-{i}",
                "path": f"/evening/{i}",
                "headers": headers,
                "body": "Ym9keQ==",
                "tokens": 100,
            }
            for i in range(count)
        ]
        return self.call(
            "POST",
            "/evening/x",
            {"Request-Id": job},
            json.dumps({"requests": items}).encode(),
            daemon,
        )

    def results(self, job, after=0, daemon=0):
        """Reads a job's results from a position; returns the decoded body.

        Asks again after 503 and 504, as callers do: the store may be slow.
        """

        def read():
            path = f"/lots/{job}?after={after}"
            reply = self.call("GET", path, daemon=daemon)
            return None if reply.status in (503, 504) else reply

        reply = wait_until(read, f"{job} can be read")
        assert reply.status == 200, reply.body
        return json.loads(reply.body)

    def complete_results(self, job, daemon=0):
        """Returns a job's results if it is complete, else None."""
        body = self.results(job, daemon=daemon)
        if len(body["results"]) < body["total"]:
            return None
        return body["results"]


def start_without_engines(daemons=1):
    """Returns a Fleet without engines, with routes of all online kinds.

    All its daemons have read the routes.
    """
    fleet = Fleet(engines=0, daemons=daemons)
    fleet.configure(
        2,
        (
            *entryfleet.ROUTES,
            entryfleet.route("slips", "/slips/", "idempotent"),
            entryfleet.route("prints", "/prints/", "non_idempotent"),
        ),
    )
    for daemon in fleet.daemons:
        wait_until(
            lambda one=daemon: one.state.table.revision == 2,
            "the routes are known",
        )
    return fleet
