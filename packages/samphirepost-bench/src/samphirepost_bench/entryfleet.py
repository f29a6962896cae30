"""Runs entry daemons as processes, with a store and engine emulators.

The emulators run in this process, so that a test can check which requests
reached them. Each daemon connects to the store through a proxy of
its own, and each engine is reached through one, so that faults can be
injected into single connections.
"""

import asyncio
import http.client
import json
import pathlib
import signal
import sys
import tempfile
import threading
import time

from samphirepost_bench import fleet
from samphirepost_bench import forwarder
from samphirepost_bench import storeserver
from samphirepost_bench import streamengine

HOSTNAME = "shop.example"
POOL = "plants"
ENTRY_PROGRAM = pathlib.Path(__file__).parents[4] / "deploy" / "entry.py"
# The platform's time between SIGTERM and SIGKILL (s).
STOP_GRACE_S = 8
# From the start of daemons to their readiness (s).
READY_TIMEOUT_S = 30.0
READY_POLL_S = 0.05
# Pause after which an engine writes an entry again that was not written (s).
REGISTER_PAUSE_S = 0.1


def route(name, prefix, kind="stream", **fields):
    """Returns a route in the format of the operator's tables."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "pathPrefix": prefix,
        "kind": kind,
        "service": POOL,
        "timeoutMs": 5000,
        "targetLatencyMs": 300,
        "maxAttempts": 1,
        **fields,
    }


ROUTES = (
    route("notes", "/notes/", resumable=True, maxAttempts=2),
    route("bills", "/bills/"),
    route("drafts", "/drafts/", resumable=True),
    route("evening", "/evening/", "batch", maxAttempts=2, retentionS=60),
)


def tables(version, routes):
    """Returns the configuration tables in the operator's format."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [{"name": POOL, "healthPath": "/health"}],
        "limits": {},
    }


def unframed_engine(name):
    """Returns an engine whose answers have no length, with few slots.

    Its answers last, so that items lose their slots to online requests. They
    may end early between two events if they can be asked for again.
    """
    engine = streamengine.Engine(name, 12, 0.015, slots=3)
    engine.unframed = True
    engine.cut_paths = tuple(
        one["pathPrefix"]
        for one in ROUTES
        if one["kind"] == "batch" or one.get("resumable")
    )
    return engine


def endless_engine(name):
    """Returns an engine whose first answers to some items have no end."""
    engine = streamengine.Engine(name)
    engine.has_endless_answers = True
    return engine


class Proxies:
    """Opens forwarders on loopback; runs them in one event loop thread."""

    def __init__(self):
        self._loop = asyncio.new_event_loop()
        thread = threading.Thread(target=self._loop.run_forever, daemon=True)
        thread.start()

    def open_proxy(self, to_address):
        """Returns a started Forwarder to `to_address` on an unused port."""
        to_port = int(to_address.rpartition(":")[2])
        proxy = forwarder.Forwarder(fleet.HOST, fleet.free_port(), to_port)
        asyncio.run_coroutine_threadsafe(proxy.start(), self._loop).result()
        return proxy

    def close(self, proxy):
        """Schedules the end of a forwarder's listening."""
        self._loop.call_soon_threadsafe(proxy.close)

    def reset(self, proxy):
        """Schedules a reset of a forwarder's open connections."""
        self._loop.call_soon_threadsafe(proxy.reset)

    def end(self, proxy):
        """Schedules the end of a forwarder's open connections."""
        self._loop.call_soon_threadsafe(proxy.end)


class Daemon:
    """One entry daemon; its ports and settings survive a restart.

    `program` is what the next start runs. `settings` replaces single settings
    of the daemon; those of `listen` are merged with the addresses.
    """

    def __init__(self, name, store_proxy, folder, settings=None):
        self.name = name
        self.store_proxy = store_proxy
        self.callers_port = fleet.free_port()
        self.readiness_port = fleet.free_port()
        self.peer_port = fleet.free_port()
        self._changes = settings or {}
        self._folder = folder
        self._path = folder / f"{name}.json"
        self._path.write_text(json.dumps(self._settings()))
        self.process = None
        self.program = ENTRY_PROGRAM

    def _settings(self):
        listen = {
            "callers": f"{fleet.HOST}:{self.callers_port}",
            "readiness": f"{fleet.HOST}:{self.readiness_port}",
        }
        return {
            "id": self.name,
            "zone": "a",
            "store": {
                "address": f"{fleet.HOST}:{self.store_proxy.port}",
            },
            "peer_address": fleet.HOST,
            "peer_port": self.peer_port,
            "stop_s": STOP_GRACE_S,
            **self._changes,
            "listen": listen | self._changes.get("listen", {}),
        }

    def start(self):
        """Starts the process."""
        argv = [sys.executable, str(self.program), str(self._path)]
        self.process = fleet.Process(self.name, argv, self._log_path)

    @property
    def _log_path(self):
        return self._folder / f"{self.name}.log"

    def hub(self):
        """Returns the VM id of its hub by its log, or None."""
        hub = None
        for line in self._log_path.read_text().splitlines():
            if '"hub.changed"' in line:
                hub = json.loads(line)["hub"]
        return hub

    @property
    def is_ready(self):
        """Whether the daemon reports that it is ready for callers."""
        conn = http.client.HTTPConnection(
            fleet.HOST, self.readiness_port, timeout=1.0
        )
        try:
            conn.request("GET", "/readiness")
            return conn.getresponse().status == 200
        except (OSError, http.client.HTTPException):
            return False
        finally:
            conn.close()

    def send_sighup(self):
        """Sends SIGHUP, on which the daemon reads its settings again."""
        self.process.popen.send_signal(signal.SIGHUP)


class Engine:
    """One engine id; each restart gets a new incarnation and address.

    `new_engine(name)` returns the streamengine.Engine of an incarnation. One
    that crashes on one of `crash_parts` or `crash_bodies` is followed by the
    next one; `crashes_s` has the times (monotonic, s).
    """

    def __init__(self, name, proxies, store, new_engine):
        self.name = name
        self._new_engine = new_engine
        self._proxies = proxies
        self._store = store
        self.crash_bodies = frozenset()
        self.crash_parts = frozenset()
        self.crashes_s = []
        self.limit_per_s = None
        self.incarnations = []
        self.proxy = None
        self._is_registered = False
        self.restart()

    @property
    def newest_incarnation(self):
        """The newest incarnation, the one that the registry lists."""
        return self.incarnations[-1]

    def restart(self):
        """Starts a new incarnation, without the state of the previous one."""
        incarnation = self._new_engine(self.name)
        incarnation.born = len(self.incarnations) + 1
        incarnation.crash_bodies = self.crash_bodies
        incarnation.crash_parts = self.crash_parts
        incarnation.on_crash = self._restart_crashed
        incarnation.limit_per_s = self.limit_per_s
        incarnation.start()
        self.incarnations.append(incarnation)
        self.proxy = self._proxies.open_proxy(incarnation.address)
        self.register("ready")

    def _restart_crashed(self, _):
        self._proxies.close(self.proxy)
        self.crashes_s.append(time.monotonic())
        self.restart()
        incarnation = self.newest_incarnation
        # An engine writes its entry again and again.
        while not self._is_registered and (
            incarnation is self.newest_incarnation
        ):
            time.sleep(REGISTER_PAUSE_S)
            self.register("ready")

    def crash_on(self, part=None, body=None):
        """Makes the engine crash on a part of prompts or on a body."""
        if part is not None:
            self.crash_parts = frozenset((part,))
        if body is not None:
            self.crash_bodies = frozenset((body,))
        self.newest_incarnation.crash_parts = self.crash_parts
        self.newest_incarnation.crash_bodies = self.crash_bodies

    def name_limit(self, per_s):
        """Makes the engine name a limit in its answers."""
        self.limit_per_s = per_s
        self.newest_incarnation.limit_per_s = per_s

    def register(self, state):
        """Writes the engine's registry entry to the store.

        Returns the monotonic time (s) after the write.
        """
        entry = self.newest_incarnation.entry(POOL, state)
        entry["address"] = f"{fleet.HOST}:{self.proxy.port}"
        self._is_registered = self._store.put_row("servers", self.name, entry)
        return time.monotonic()


class Fleet:
    """A store, engines and daemons; a context manager that stops them.

    See Engine for `new_engine`, and Daemon for `settings`.
    """

    def __init__(
        self,
        daemons,
        engines,
        folder=None,
        new_engine=streamengine.Engine,
        settings=None,
    ):
        self.folder = pathlib.Path(folder or tempfile.mkdtemp("-soak"))
        self.store = storeserver.StoreServer()
        self.store.start()
        self.proxies = Proxies()
        self.engines = [
            Engine(f"engine-{number}", self.proxies, self.store, new_engine)
            for number in range(engines)
        ]
        self.version = 0
        self.tenants = None
        self.configure()
        self.daemons = [
            Daemon(
                f"vm-{number}",
                self.proxies.open_proxy(self.store.address),
                self.folder,
                settings,
            )
            for number in range(daemons)
        ]

    def __enter__(self):
        for daemon in self.daemons:
            daemon.start()
        return self

    def __exit__(self, *exc):
        for daemon in self.daemons:
            if daemon.process.alive:
                daemon.process.thaw()
                daemon.process.kill()
        self.store.shutdown()
        for engine in self.engines:
            for one in engine.incarnations:
                one.shutdown()

    def configure(self, tenants=None, batch=None, **fields):
        """Writes a new version of the tables with `fields` in all routes.

        `batch` has the fields of batch routes alone, if not None. `tenants`
        are the organisations from now on, unless that is None.
        Returns whether the store has acknowledged it.
        """
        self.version += 1
        if tenants is not None:
            self.tenants = tenants
        by_kind = {"batch": batch or {}}
        routes = [
            {**one, **fields, **by_kind.get(one["kind"], {})} for one in ROUTES
        ]
        document = tables(self.version, routes)
        if self.tenants is not None:
            document["tenants"] = self.tenants
        return self.store.put_row("op", "config", document)

    def wait_ready(self):
        """Waits until all daemons are ready; raises FleetError."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while not all(one.is_ready for one in self.daemons):
            if time.monotonic() > deadline_s:
                raise fleet.FleetError("the daemons are not ready")
            time.sleep(READY_POLL_S)

    def arrivals(self, request):
        """Returns a request's Arrivals at all engines and incarnations."""
        return [
            one
            for engine in self.engines
            for incarnation in engine.incarnations
            for one in list(incarnation.arrivals)
            if one.id == request
        ]
