"""Starts and stops emulators and daemons as processes on loopback.

Used by the demo, the experiments and the end-to-end tests.
"""

import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

import msgspec
import urllib3

from samphirepost import hashing

HOST = "127.0.0.1"
# Listener ports lie below the ephemeral ports of Linux (from 32,768).
PORT_FIRST = 16_000
PORT_COUNT = 16_000
# Ports that a process reserves at a time.
BLOCK_PORTS = 50
POLL_INTERVAL_S = 0.05
READY_WAIT_S = 30.0
STOP_WAIT_S = 90.0
CALLER_TOKENS = {"nurseries": "lily-token", "umoja": "notice-token"}
OPERATOR_TOKEN = "operator-token"


class FleetError(Exception):
    """A process was not ready in time, refused a request or has ended."""


class PortReservation:
    """Gives out ports that no other reservation on this machine gives out.

    Ports are reserved in blocks, by listening on the first one of a block for
    as long as the process lives. `start` is the number of the first block to
    try. A process that is started again finds its ports unused.
    """

    __slots__ = ("_blocks", "_guards", "_ports")

    def __init__(self, start):
        self._blocks = itertools.count(start)
        self._guards = []
        self._ports = iter(())

    def free_port(self):
        """Returns an unused port."""
        while True:
            for port in self._ports:
                if not _is_used(port):
                    return port
            self._reserve_block()

    def _reserve_block(self):
        block = next(self._blocks) % (PORT_COUNT // BLOCK_PORTS)
        first = PORT_FIRST + block * BLOCK_PORTS
        guard = socket.socket()
        try:
            guard.bind((HOST, first))
            guard.listen()
        except OSError:
            guard.close()
            return
        self._guards.append(guard)
        self._ports = iter(range(first + 1, first + BLOCK_PORTS))


# Concurrent runs begin at different blocks.
_RESERVATION = PortReservation(os.getpid())


def free_port():
    """Returns an unused port outside the range of ephemeral ports.

    The kernel could assign an ephemeral port to an outgoing connection
    before the process listens on it, or while the process restarts.
    """
    return _RESERVATION.free_port()


def _is_used(port):
    """Whether a socket has the port, for connections or for datagrams."""
    return any(
        _is_used_by(kind, port)
        for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM)
    )


def _is_used_by(kind, port):
    with socket.socket(type=kind) as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return True
        return False


class Process:
    """One process of the fleet, which writes its output to a log file."""

    def __init__(self, name, argv, log_path):
        self.name = name
        self._is_ended_here = False
        self._log = open(log_path, "ab")
        self.popen = subprocess.Popen(
            argv, stdout=self._log, stderr=self._log, stdin=subprocess.DEVNULL
        )

    @property
    def alive(self):
        """Whether the process is running."""
        return self.popen.poll() is None

    @property
    def has_failed(self):
        """Whether the process has ended without kill() or terminate()."""
        return not self.alive and not self._is_ended_here

    @property
    def peak_mb(self):
        """The largest resident memory so far (MB) of a running process."""
        path = f"/proc/{self.popen.pid}/status"
        with open(path, encoding="ascii") as status:
            fields = dict(line.split(":", 1) for line in status)
        return int(fields["VmHWM"].split()[0]) * 1024 / 1e6

    def exit_report(self):
        """Returns how the process has ended and all its output."""
        with open(self._log.name, "rb") as log:
            output = log.read().decode(errors="replace")
        return f"{self.name}: {_describe_exit(self.popen.poll())}, {output}"

    def kill(self):
        """Kills the process with SIGKILL, as the failure of a VM would."""
        self._end(self.popen.kill)
        self.popen.wait()

    def _end(self, send_signal):
        """Sends a signal that ends the process, unless it has ended."""
        self._is_ended_here |= self.alive
        send_signal()

    def freeze(self):
        """Suspends the process; its connections stay open."""
        os.kill(self.popen.pid, signal.SIGSTOP)

    def thaw(self):
        """Resumes a suspended process."""
        os.kill(self.popen.pid, signal.SIGCONT)

    def terminate(self):
        """Sends SIGTERM, on which a daemon drains."""
        self._end(self.popen.terminate)

    def wait(self, wait_s=STOP_WAIT_S):
        """Waits until the process exits; returns the exit status."""
        return self.popen.wait(wait_s)


def _describe_exit(status):
    """Returns in words how a process has ended; None if it runs."""
    if status is None:
        return "running"
    if status < 0:
        return f"ended by {signal.Signals(-status).name}"
    return f"exit status {status}"


class Daemon(Process):
    """A daemon process and the addresses of its listeners."""

    def __init__(self, name, zone, argv, log_path, listen):
        super().__init__(name, argv, log_path)
        self.zone = zone
        self.listen = listen

    def url(self, kind):
        """Returns the base URL of the online, batch or operator port."""
        return f"http://{HOST}:{self.listen[kind + '_port']}"


class Http:
    """HTTP client for tests and experiments; thread-safe, no retries."""

    def __init__(self):
        self.pool = urllib3.PoolManager(
            retries=False,
            maxsize=64,
            num_pools=256,
            timeout=urllib3.Timeout(connect=2.0, read=120.0),
        )

    def json(self, method, url, body=None, token=None, headers=None):
        """Sends a request; returns the status and the decoded JSON body.

        A body that is not JSON is returned as text.
        """
        all_headers = {"Content-Type": "application/json"}
        if token:
            all_headers["Authorization"] = f"Bearer {token}"
        all_headers.update(headers or {})
        if body is not None and not isinstance(body, bytes):
            body = msgspec.json.encode(body)
        reply = self.pool.request(method, url, body=body, headers=all_headers)
        try:
            return reply.status, json.loads(reply.data)
        except ValueError:
            return reply.status, reply.data.decode("utf-8", "replace")


class Fleet:
    """All processes of one run; a context manager that kills them.

    Raises FleetError at its end if one of them had ended by itself.
    """

    def __init__(self, folder=None):
        self.folder = pathlib.Path(folder or tempfile.mkdtemp("-fleet"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.http = Http()
        self.processes = []
        self.daemons = []
        self.engines = {}
        self.services = {}
        self.platform_url = ""

    def __enter__(self):
        return self

    def __exit__(self, *exc):
        failed = [one for one in self.processes if one.has_failed]
        for process in self.processes:
            if process.alive:
                process.thaw()
                process.kill()
        if failed:
            reports = "\n".join(one.exit_report() for one in failed)
            raise FleetError(f"{reports}\nlogs are in {self.folder}")

    def _log(self, name):
        return self.folder / f"{name}.log"

    def _start_emulator(self, name, *args):
        module = "samphirepost_bench"
        argv = [sys.executable, "-m", module, *map(str, args)]
        process = Process(name, argv, self._log(name))
        self.processes.append(process)
        return process

    def start_platform(self):
        """Starts the platform emulator."""
        port = free_port()
        self.platform_url = f"http://{HOST}:{port}"
        process = self._start_emulator("platform", "platform", "--port", port)
        self.wait_for(f"{self.platform_url}/counts", process)
        return process

    def start_engine(self, name, zone, checks_orders=True, scale=1.0):
        """Starts an engine emulator."""
        port = free_port()
        args = ["engine", "--name", name, "--port", port, "--scale", scale]
        if checks_orders:
            args.append("--checks-orders")
        process = self._start_emulator(name, *args)
        process.zone = zone
        process.url = f"http://{HOST}:{port}"
        self.engines[name] = process
        self.wait_for(f"{process.url}/counts", process)
        return process

    def start_service(self, name, zone):
        """Starts a plain service emulator."""
        port = free_port()
        process = self._start_emulator(name, "service", "--port", port)
        process.zone = zone
        process.url = f"http://{HOST}:{port}"
        self.services[name] = process
        self.wait_for(f"{process.url}/journal", process)
        return process

    def start_daemon(self, name, zone, wait=True, **overrides):
        """Starts a daemon and lists its VM; `overrides` are settings."""
        listen = {
            "host": HOST,
            "online_port": free_port(),
            "batch_port": free_port(),
            "operator_port": free_port(),
            "peer_port": free_port(),
            "online_threads": overrides.pop("online_threads", 200),
        }
        platform = {
            "table_url": self.platform_url,
            "object_url": self.platform_url,
            "vms_url": self.platform_url,
            **overrides.pop("platform", {}),
        }
        config = {
            "id": name,
            "zone": zone,
            "platform": platform,
            "listen": listen,
            "log_path": str(self._log(name + ".eliot")),
            **overrides,
        }
        path = self.folder / f"{name}.json"
        path.write_text("// Settings of one daemon.\n" + json.dumps(config))
        program = pathlib.Path(sys.executable).parent / "samphirepostd"
        # A fault of a native library leaves a trace in the log.
        interpreter = [sys.executable, "-X", "faulthandler"]
        argv = [*interpreter, str(program), "--settings", str(path)]
        daemon = Daemon(name, zone, argv, self._log(name), listen)
        self.processes.append(daemon)
        self.daemons.append(daemon)
        self.set_vm_state(name, "live", f"tcp://{HOST}:{listen['peer_port']}")
        if wait:
            self.wait_ready(daemon)
        return daemon

    def set_vm_state(self, name, state, address=""):
        """Adds or changes a VM on the platform's VM list."""
        entry = [{"id": name, "state": state, "address": address}]
        self.http.json("POST", f"{self.platform_url}/vms", entry)

    def wait_for(self, url, process):
        """Waits until the URL answers with status 200.

        Raises FleetError if the process exits or 30 s pass before that.
        """
        deadline_s = time.monotonic() + READY_WAIT_S
        while time.monotonic() < deadline_s:
            if not process.alive:
                raise FleetError(
                    f"{process.exit_report()}\nlogs are in {self.folder}"
                )
            try:
                if self.http.json("GET", url)[0] == 200:
                    return
            except urllib3.exceptions.HTTPError:
                pass
            time.sleep(POLL_INTERVAL_S)
        raise FleetError(
            f"{process.name} is not ready; logs are in {self.folder}"
        )

    def wait_ready(self, daemon):
        """Waits until the daemon reports that it is ready."""
        self.wait_for(daemon.url("operator") + "/readyz", daemon)

    def set_service_mode(self, service, mode, delay_ms=0, every=1):
        """Sets the mode of one of the platform's services.

        The modes are those of `platform.Mode`.
        """
        body = {
            "service": service,
            "mode": mode,
            "delay_ms": delay_ms,
            "every": every,
        }
        self.http.json("POST", f"{self.platform_url}/control", body)

    def counts(self):
        """Returns the platform's counts of reads and writes by service."""
        return self.http.json("GET", f"{self.platform_url}/counts")[1]

    def inject_fault(self, process, name, count=1, seconds=0.0):
        """Injects a fault into an engine or service emulator."""
        body = {"name": name, "count": count, "seconds": seconds}
        self.http.json("POST", f"{process.url}/control", body)

    def samples(self, daemon, name):
        """Yields the labels, as text, and the value of each sample."""
        url = daemon.url("operator") + "/metrics"
        for line in self.http.json("GET", url)[1].splitlines():
            if line.startswith((name + "{", name + " ")):
                labels, value = line.removeprefix(name).rsplit(" ", 1)
                yield labels, float(value)

    def metric_sum(self, daemon, name):
        """Returns the sum of a metric's samples at a daemon."""
        return sum(value for _, value in self.samples(daemon, name))


def caller_rows():
    """Returns the caller rows of the routes table, and an operator."""
    rows = {
        name: {"token_sha256": hashing.digest(token.encode())}
        for name, token in CALLER_TOKENS.items()
    }
    rows["operator"] = {
        "token_sha256": hashing.digest(OPERATOR_TOKEN.encode()),
        "operator": True,
    }
    return rows


def target_rows(processes, kind="engine"):
    """Returns the target rows of a pool, one for each process."""
    return [
        {
            "id": process.name,
            "url": process.url,
            "zone": process.zone,
            "kind": kind,
        }
        for process in processes
    ]


def routes_table():
    """Returns the routes table of the demo and the tests."""
    plants = {"pool": "plants", "callers": ["nurseries"]}
    return {
        "callers": caller_rows(),
        "routes": {
            "care-note": plants,
            "slip": plants,
            "summary": plants,
            "notice": {"pool": "notices", "callers": ["umoja"]},
            "bill": {
                "pool": "billing",
                "callers": ["umoja"],
                "idempotent": False,
                "path": "/bill",
            },
        },
    }


def pools_table(plants, notices, billing):
    """Returns the pools table; each argument lists a pool's processes."""
    return {
        "pools": {
            "plants": {
                "targets": target_rows(plants),
                "online_headroom": 1.5,
            },
            "notices": {
                "targets": target_rows(notices),
                "online_headroom": 1.05,
            },
            "billing": {"targets": target_rows(billing, "service")},
        }
    }
