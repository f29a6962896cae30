"""Connections to sound engines end at one moment; no engine crashes.

Runs real daemons on loopback, which reach the engines through proxies. Each
seed draws what runs, at which daemons, and which connections end, how and how
often. All items must be done, and all later requests with the same part of a
prompt served.
"""

import concurrent.futures
import random
import threading
import time

from samphirepost_bench import batchjobs
from samphirepost_bench import entryfleet
from samphirepost_bench import soak
from samphirepost_bench import streamengine

DAEMONS = 2
ENGINES = 8
REQUESTS = 6
ROUNDS = 4
# Time of an engine until its first event (s).
PREFILL_S = 0.15
COMPLETION_S = 18.0
# From the last end of connections to the later requests (s).
LATER_S = 1.0
PATHS = ("/notes/1", "/bills/1", "/drafts/1")


class PrefillingHandler(streamengine.Handler):
    """Reads the prompt for a while before the answer begins."""

    def send_stream(self, arrival, fault):
        """Answers with the stream after PREFILL_S."""
        threading.Event().wait(PREFILL_S)
        return super().send_stream(arrival, fault)


def _new_engine(name):
    engine = streamengine.Engine(name)
    engine.RequestHandlerClass = PrefillingHandler
    return engine


class Run:
    """One seed."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(f"{seed} resets")
        self._executor = concurrent.futures.ThreadPoolExecutor(2 * REQUESTS)
        self.violations = []
        self.ends = 0

    def play(self):
        """Draws and plays the rounds; appends to `violations`."""
        self._fleet.wait_ready()
        for number in range(ROUNDS):
            self._play_round(f"r{self._seed}-{number}")
        self._executor.shutdown()

    def _play_round(self, name):
        rng = self._rng
        prompt = f"{rng.getrandbits(32):08x}:300,own:9"
        path = rng.choice(PATHS)
        jobs = []
        if rng.random() < 0.5:
            jobs = self._submit_jobs(name, prompt)
        else:
            self._send(f"{name}-lost", path, prompt)
        self._end_connections()
        time.sleep(LATER_S)
        later = self._send(f"{name}-later", path, prompt)
        for number, fut in enumerate(later):
            status = fut.result().status
            if status != 200:
                self.violations.append(
                    f"LOST {name}-later-{number}: {status} at {path}"
                )
        for job in batchjobs.find_incomplete(
            jobs, self._fleet.daemons[0], COMPLETION_S
        ):
            self.violations.append(
                f"LOST {job.id}: {job.done_count} of {job.count} done"
            )

    def _submit_jobs(self, name, prompt):
        jobs = []
        for number in range(self._rng.choice((1, 2))):
            job = batchjobs.SubmittedJob(f"{name}-{number}", REQUESTS)
            job.submit(self._fleet.daemons[number], "/evening/x", prompt)
            jobs.append(job)
        return jobs

    def _send(self, name, path, prompt):
        daemon = self._rng.choice(self._fleet.daemons)
        return [
            self._executor.submit(
                soak.send_request,
                daemon,
                "POST",
                path,
                {
                    "Request-Id": f"{name}-{number}",
                    "Deadline-Ms": "5000",
                    "Prompt-Prefix": prompt,
                },
                f"{name} {number}".encode(),
            )
            for number in range(REQUESTS)
        ]

    def _end_connections(self):
        rng = self._rng
        end = rng.choice((self._fleet.proxies.reset, self._fleet.proxies.end))
        share = rng.choice((0.4, 0.7, 1.0))
        for _ in range(rng.choice((1, 1, 2, 3))):
            time.sleep(rng.uniform(0.01, PREFILL_S))
            for engine in self._fleet.engines:
                if rng.random() < share:
                    end(engine.proxy)
                    self.ends += 1


def run(seeds, daemon_program=None, report=print):
    """Runs each seed; returns those that broke what is said above.

    `daemon_program` is the entry program of another build, or None.
    """
    failed_seeds = []
    for seed in seeds:
        fleet = entryfleet.Fleet(DAEMONS, ENGINES, new_engine=_new_engine)
        for daemon in fleet.daemons:
            daemon.program = daemon_program or daemon.program
        with fleet:
            found = Run(fleet, seed)
            found.play()
        report(
            f"seed {seed}: connections of {found.ends} engines ended,"
            f" {len(found.violations)} violations"
        )
        for line in found.violations:
            report(f"  {line}")
        if found.violations:
            failed_seeds.append(seed)
    return failed_seeds
