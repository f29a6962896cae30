"""Kills processes of engines that answer without a length.

Runs real daemons and real processes of engines on loopback. Online requests
and items run at few slots, so that items lose theirs; every second an engine
is killed with SIGKILL and another one starts. All results and all answers that
are framed as whole are compared with what the engines put out.
"""

import json
import random
import subprocess
import sys
import threading
import time

from samphirepost_bench import entryfleet
from samphirepost_bench import soak
from samphirepost_bench import streamengine

POLL_S = 0.05
ENGINES = 4
SLOTS = 2
EVENTS = 40
EVENT_INTERVAL_S = 0.02
CALLERS = 3
PAUSE_S = 0.2
ITEMS_PER_JOB = 5
JOB_PAUSE_S = 1.0
KILL_PAUSE_S = 1.0
# Time for the items to complete after the last kill (s).
FINISH_S = 30.0


class EngineProcess:
    """A process of an engine, which `argv` starts."""

    def __init__(self, name, folder, argv):
        self.name = name
        with open(folder / f"{name}.log", "ab") as log:
            self._popen = subprocess.Popen(
                argv, stdout=subprocess.PIPE, stderr=log
            )
        self.entry = json.loads(self._popen.stdout.readline())

    @property
    def is_alive(self):
        """Whether the process runs."""
        return self._popen.poll() is None

    def kill(self):
        """Kills the process; the system closes its connections."""
        self._popen.kill()
        self._popen.wait()


def _argv(name):
    argv = [sys.executable, "-m", "samphirepost_bench", "stream-engine"]
    argv += ["--name", name, "--events", str(EVENTS)]
    return argv + ["--interval", str(EVENT_INTERVAL_S), "--slots", str(SLOTS)]


class Kills:
    """One run: callers and jobs while engines are killed.

    `violations` lists the texts that are not whole. `finish_s` is the time
    for the items to complete after the last kill.
    """

    callers = CALLERS
    engines = ENGINES
    item_headers = {"Model": "m"}
    job_pause_s = JOB_PAUSE_S
    finish_s = FINISH_S

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(f"{seed} kills")
        self._stop = threading.Event()
        self._engines = []
        self._started = 0
        self.jobs = []
        self.violations = []
        self.answered = 0
        self.done = 0

    def run(self, count):
        """Kills `count` times, one after the other."""
        for _ in range(self.engines):
            self._start_engine()
        self._fleet.wait_ready()
        threads = [
            threading.Thread(target=self._send_requests, args=(number,))
            for number in range(self.callers)
        ]
        threads.append(threading.Thread(target=self._submit_jobs))
        for thread in threads:
            thread.start()
        for _ in range(count):
            time.sleep(KILL_PAUSE_S * self._rng.uniform(0.5, 1.5))
            self._kill()
        self._stop.set()
        for thread in threads:
            thread.join()
        self._read_jobs()
        self._stop_engines()

    def _kill(self):
        """Kills an engine; starts another one."""
        killed = self._rng.choice(self._engines)
        self._engines.remove(killed)
        killed.kill()
        self._fleet.store.remove_row("servers", killed.name)
        self._start_engine()

    def _stop_engines(self):
        for engine in self._engines:
            engine.kill()

    def _start_engine(self):
        self._started += 1
        name = f"engine-{self._started}"
        engine = EngineProcess(name, self._fleet.folder, _argv(name))
        self._fleet.store.put_row("servers", engine.name, engine.entry)
        self._engines.append(engine)

    def _send_requests(self, caller):
        rng = random.Random(f"{self._seed} caller {caller}")
        number = 0
        while not self._stop.is_set():
            number += 1
            name = f"r{self._seed}-{caller}-{number}"
            headers = {"Request-Id": name, "Deadline-Ms": "5000"}
            daemon = rng.choice(self._fleet.daemons)
            path = rng.choice(("/notes/1", "/bills/1"))
            found = soak.send_request(
                daemon, "POST", path, headers, name.encode()
            )
            if found.status == 200 and found.is_complete:
                self.answered += 1
                self._check_answer(name, path, found)
            self._pause(rng)

    def _pause(self, rng):
        """Waits before a caller's next request."""
        time.sleep(PAUSE_S * rng.random())

    def _submit_jobs(self):
        rng = random.Random(f"{self._seed} jobs")
        while not self._stop.is_set():
            job = f"j{self._seed}-{len(self.jobs)}"
            items = [
                {
                    "id": f"{job}-{number}",
                    "path": "/evening/1",
                    "headers": self.item_headers,
                    "body": "Ym9keQ==",
                    "tokens": 100,
                }
                for number in range(ITEMS_PER_JOB)
            ]
            found = soak.send_request(
                rng.choice(self._fleet.daemons),
                "POST",
                "/evening/x",
                {"Request-Id": job},
                json.dumps({"requests": items}).encode(),
            )
            if found.status == 202:
                self.jobs.append(job)
            time.sleep(self.job_pause_s)

    def _read_jobs(self):
        """Reads each job until it is complete, or `finish_s` have passed."""
        deadline_s = time.monotonic() + self.finish_s
        for job in self.jobs:
            results = self._read_job(job)
            while len(results) < ITEMS_PER_JOB:
                if time.monotonic() > deadline_s:
                    self._record_lost(job, results)
                    break
                time.sleep(POLL_S)
                results = self._read_job(job)
            for result in results:
                self.done += result["state"] == "done"
                self._check_result(result)

    def _read_job(self, job):
        found = soak.send_request(
            self._fleet.daemons[0], "GET", f"/lots/{job}?after=0", {}
        )
        if found.status != 200:
            return []
        return json.loads(found.body)["results"]

    def _record_lost(self, job, results):
        self.violations.append(f"LOST {job}: {len(results)} done")

    def _check_answer(self, name, _path, found):
        """Checks a complete answer with status 200 to an online request."""
        self._check(name, found.text)

    def _check_result(self, result):
        """Checks a result of a job."""
        self._check(result["id"], result["text"])

    def _check(self, name, text):
        if text != streamengine.whole_text(name, EVENTS):
            count = len(text.splitlines())
            self.violations.append(f"MIXED {name}: {count} of {EVENTS} events")


def run(seeds, kills, daemon_program=None, daemons=3, report=print):
    """Runs each seed; returns the seeds in which a text was not whole.

    `daemon_program` is the entry program of another build, or None.
    """
    failed_seeds = []
    for seed in seeds:
        fleet = entryfleet.Fleet(daemons, 0)
        for daemon in fleet.daemons:
            daemon.program = daemon_program or daemon.program
        with fleet:
            found = Kills(fleet, seed)
            found.run(kills)
        report(
            f"seed {seed}: {kills} engines killed, {found.answered} online"
            f" answers and {found.done} items done,"
            f" {len(found.violations)} violations"
        )
        if found.violations:
            failed_seeds.append(seed)
            for line in found.violations:
                report(f"  {line}")
    return failed_seeds
