"""Faults: many large batch jobs at once, in daemon processes of 128 MB.

The records of the jobs are larger than the memory of a VM. Each test checks
that the processes live within it, and that every item is done in the end.
"""

import base64
import http.client
import json
import threading

import pytest

from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from tests import entryhelper

# The smallest VM of the users' deployments.
MEMORY_MB = 128
DAEMONS = 2
ENGINES = 4
CALLERS = 8
JOBS = 40
JOBS_PER_CALLER = 5
# A job's bodies in all; with their encoding, nearly the longest legal body.
JOB_BYTES = 3_000_000
FEW_ITEMS = 4
MANY_ITEMS = 20
PATH = "/evening/x"


class Submitter:
    """Submits large jobs to daemon processes, and reads their results."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.items = FEW_ITEMS
        self.accepted = []

    def list_engines(self, state):
        """Writes the entries of all engines."""
        for engine in self.fleet.engines:
            engine.register(state)

    def submit(self, job, daemon=0):
        """Submits a job; returns the status."""
        item_body = b"p" * (JOB_BYTES // self.items)
        body = base64.b64encode(item_body).decode()
        items = [
            {
                "id": f"{job}-{number}",
                "path": PATH,
                "headers": {"Token-Count": "10,4"},
                "body": body,
                "tokens": 14,
            }
            for number in range(self.items)
        ]
        data = json.dumps({"requests": items}).encode()
        return self._send("POST", PATH, job, data, daemon)[0]

    def submit_all(self, daemon=0, prefix="job", count=JOBS):
        """Submits jobs, each until it is accepted."""
        for number in range(count):
            job = f"{prefix}{number}"
            entryhelper.wait_until(
                lambda job=job: self.submit(job, daemon) == 202,
                f"{job} is accepted",
            )
            self.accepted.append(job)

    def wait_taken_over(self):
        """Waits until the second daemon holds all accepted jobs."""
        log_path = self.fleet.folder / "vm-1.log"
        for count in range(1, len(self.accepted) + 1):
            entryhelper.wait_until(
                lambda count=count: (
                    log_path.read_text().count('"why":"taken over"') >= count
                ),
                f"{count} jobs are taken over",
            )

    def wait_done(self, daemon=0):
        """Waits until each item of the accepted jobs is done."""
        for job in self.accepted:
            found = entryhelper.wait_until(
                lambda job=job: self._results(job, daemon),
                f"{job} is complete",
            )
            assert {one["state"] for one in found} == {"done"}

    def _results(self, job, daemon):
        status, data = self._send("GET", f"/lots/{job}", job, b"", daemon)
        if status != 200:
            return None
        found = json.loads(data)["results"]
        return found if len(found) == self.items else None

    def _send(self, method, path, request_id, body, daemon):
        conn = http.client.HTTPConnection(
            fleet_module.HOST,
            self.fleet.daemons[daemon].callers_port,
            timeout=entryhelper.WAIT_S,
        )
        headers = {"Host": entryfleet.HOSTNAME, "Request-Id": request_id}
        try:
            conn.request(method, path, body, headers)
            resp = conn.getresponse()
            return resp.status, resp.read()
        finally:
            conn.close()

    def check_memory(self):
        """Checks that each living process stayed within its VM's memory."""
        for daemon in self.fleet.daemons:
            if daemon.process.alive:
                assert daemon.process.peak_mb <= MEMORY_MB, daemon.name


@pytest.fixture
def submitter(tmp_path):
    """Two daemon processes of 128 MB with engines that take no work."""
    settings = {"memory_mb": MEMORY_MB}
    with entryfleet.Fleet(
        DAEMONS, ENGINES, tmp_path, settings=settings
    ) as fleet:
        submitter = Submitter(fleet)
        submitter.list_engines("draining")
        fleet.wait_ready()
        yield submitter


def test_held_jobs_stay_within_the_memory_of_their_vm(submitter):
    """Each held job kept the bodies of all its items (review/6)."""
    submitter.submit_all()
    submitter.check_memory()
    submitter.list_engines("ready")
    submitter.wait_done()
    submitter.check_memory()


def test_jobs_taken_over_stay_within_the_memory_of_their_vm(submitter):
    """The daemon that took the jobs over was ended too (review/6)."""
    submitter.submit_all()
    submitter.fleet.daemons[0].process.kill()
    submitter.wait_taken_over()
    submitter.check_memory()
    submitter.list_engines("ready")
    submitter.wait_done(daemon=1)
    submitter.check_memory()


def test_jobs_that_run_while_others_come_stay_within_the_memory(submitter):
    """Freed bodies stayed in the heaps of the threads that had them."""
    submitter.items = MANY_ITEMS
    submitter.list_engines("ready")
    threads = [
        threading.Thread(
            target=submitter.submit_all,
            args=(number % DAEMONS, f"t{number}-", JOBS_PER_CALLER),
        )
        for number in range(CALLERS)
    ]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    submitter.wait_done()
    submitter.check_memory()
