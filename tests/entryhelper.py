"""Entry daemons in this process, before a stand-in store and engines."""

import http.client
import json
import threading
import time

from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import storeserver
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import core
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import settings
from samphirepost_daemon.entry import wiring

WAIT_S = 30.0
POLL_S = 0.01


def until(check, what):
    """Waits until `check()` holds; fails when that takes far too long."""
    end_s = time.monotonic() + WAIT_S
    pause = threading.Event()
    while time.monotonic() < end_s:
        found = check()
        if found:
            return found
        pause.wait(POLL_S)
    raise AssertionError(f"in vain: {what}")


class Reply:
    """An answer as a caller sees it; `whole` if it ended as it should."""

    def __init__(self, status, headers, body, whole):
        self.status = status
        self.headers = headers
        self.body = body
        self.whole = whole

    @property
    def text(self):
        """The data of a stream's events."""
        lines = self.body.decode().splitlines()
        return "\n".join(
            line.removeprefix("data: ")
            for line in lines
            if line.startswith("data: ")
        )


def _end_thread():
    raise SystemExit


class Fleet:
    """A store, engines and daemons on loopback."""

    def __init__(self, engines=2, daemons=1):
        self.store = storeserver.Server()
        self.store.start()
        self.engines = [
            streamengine.Engine(f"engine-{i}") for i in range(engines)
        ]
        for engine in self.engines:
            engine.start()
            self.store.put(
                "servers", engine.name, engine.entry(entryfleet.POOL)
            )
        self.configure(1, entryfleet.ROUTES)
        self.daemons = []
        for number in range(daemons):
            self.daemons.append(self.start(f"vm-{number}"))
        self._stopped = threading.Event()
        self._ticker = threading.Thread(target=self._tick, daemon=True)
        self._ticker.start()

    def configure(self, version, routes):
        """Writes the tables as the operator does."""
        document = entryfleet.tables(version, routes)
        self.store.put("op", "config", document)

    def start(self, name):
        """Starts a daemon and waits until it is ready."""
        cfg = settings.Entry(
            id=name,
            zone="a",
            listen=settings.Listen(
                f"127.0.0.1:{fleet_module.free_port()}",
                f"127.0.0.1:{fleet_module.free_port()}",
                16,
            ),
            store=settings.Store(self.store.address),
            peer_address="127.0.0.1",
            peer_port=fleet_module.free_port(),
        )
        daemon = wiring.Daemon(cfg)
        core.start(daemon)
        until(lambda: daemon.state.ready, f"{name} is ready")
        return daemon

    def _tick(self):
        while not self._stopped.wait(core.POLL_S):
            for daemon in self.daemons:
                if daemon.actor.is_alive():
                    daemon.actor.tell(holdermessages.Tick())

    def stop(self):
        """Ends the threads that would go on for the process's life.

        A daemon ends with its process only, so its loops are ended from
        here: else each test would run beside the daemons of all before it.
        """
        self._stopped.set()
        self._ticker.join()
        for daemon in self.daemons:
            daemon.actor.stop()
            daemon.peers._receive = _end_thread
            for watch in daemon.watches:
                watch.step = _end_thread
            for listener in (daemon.callers, daemon.readiness, daemon.relay):
                listener._server.close()
        self.store.shutdown()
        for engine in self.engines:
            engine.shutdown()

    def ran(self, request):
        """Returns how often a request ran at all engines."""
        return sum(engine.ran(request) for engine in self.engines)

    def call(self, method, path, headers=None, body=b"", daemon=0):
        """Makes a caller's call; returns its Reply."""
        address = self.daemons[daemon].cfg.listen.callers
        conn = http.client.HTTPConnection(address, timeout=WAIT_S)
        try:
            conn.request(
                method,
                path,
                body,
                {"Host": entryfleet.HOST, **(headers or {})},
            )
            resp = conn.getresponse()
            try:
                data, whole = resp.read(), True
            except http.client.IncompleteRead as exc:
                data, whole = exc.partial, False
            return Reply(resp.status, dict(resp.getheaders()), data, whole)
        finally:
            conn.close()

    def ask(self, request, path="/notes/1", daemon=0, **headers):
        """Sends an online request."""
        sent = {"Request-Id": request, "Deadline-Ms": "5000", **headers}
        return self.call("POST", path, sent, b"prompt", daemon)

    def submit(self, job, count, daemon=0):
        """Submits a batch job."""
        items = [
            {
                "id": f"{job}-{i}",
                "path": f"/evening/{i}",
                "headers": {"Model": "m"},
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
        """Reads a job's results; returns the decoded body."""
        found = self.call("GET", f"/lots/{job}?after={after}", daemon=daemon)
        assert found.status == 200, found.body
        return json.loads(found.body)

    def finished(self, job, daemon=0):
        """Returns the results once the job has them all, else None."""
        found = self.results(job, daemon=daemon)
        if len(found["results"]) < found["total"]:
            return None
        return found["results"]
