"""Items of services that cannot run, or run slowly, beside sound services.

Runs real daemons, with engines of several services on loopback. Each seed
draws the services, what is wrong with some of them, and the jobs. The jobs of
sound services must be complete within the completion time of their routes.
"""

import concurrent.futures
import random
import time

from samphirepost_bench import batchjobs
from samphirepost_bench import entryfleet
from samphirepost_bench import streamengine

DAEMONS = 3
SERVICES_MIN, SERVICES_MAX = 2, 6
# The completion time of the routes, which is the users' target (s).
COMPLETION_S = 18.0
RETENTION_S = 60
SOUND_ITEMS = 10
STUCK_ITEMS_MAX = 200
SOUND_EVENT_S = 0.02
EVENTS = 20
# An item of a slow engine runs for 20 s, one of a busy engine for 1 s.
SLOW_EVENT_S = 1.0
BUSY_EVENT_S = 0.05
SLOW_SLOTS_MAX = 64
# Time in which all daemons have read a change of the store (s).
SETTLE_S = 3.0
HUB_FREEZE_S = 8.0


class Service:
    """A service with its engines, whose batch route has its name."""

    def __init__(self, name):
        self.name = name
        self.engines = []

    def add_engine(self, store, event_s, slots=8):
        """Starts an engine and lists it."""
        engine = streamengine.Engine(
            f"{self.name}-{len(self.engines)}", EVENTS, event_s, slots=slots
        )
        engine.start()
        self.engines.append(engine)
        store.put_row("servers", engine.name, engine.entry(self.name))

    @property
    def path(self):
        """The path of its route."""
        return f"/{self.name}/"

    @property
    def route(self):
        """Its route, in the format of the operator's tables."""
        return entryfleet.route(
            self.name,
            self.path,
            "batch",
            service=self.name,
            retentionS=RETENTION_S,
            completionTargetMs=COMPLETION_S * 1000,
        )


def _lose(_service, _store, _rng):
    """The service has no engine."""


def _slow_down(service, store, rng):
    service.add_engine(store, SLOW_EVENT_S, rng.choice([8, SLOW_SLOTS_MAX]))


def _keep_busy(service, store, _rng):
    service.add_engine(store, BUSY_EVENT_S)


TROUBLES = {"lost": _lose, "slow": _slow_down, "busy": _keep_busy}


class Run:
    """One seed: a fleet, its services and the jobs."""

    def __init__(self, fleet, seed):
        self._fleet = fleet
        self._seed = seed
        self._rng = random.Random(f"{seed} stuck pools")
        self._services = []
        self.troubles = []
        self.violations = []

    def play(self):
        """Draws and plays a run; appends to `violations`."""
        self._add_services()
        self._fleet.wait_ready()
        time.sleep(SETTLE_S)
        holder = self._rng.choice(self._fleet.daemons)
        frozen = self._draw_frozen_hub(holder)
        if frozen is not None:
            frozen.process.freeze()
        stuck = [
            job
            for service, trouble in zip(
                self._services, self.troubles, strict=False
            )
            for job in self._stuck_jobs(service, trouble)
        ]
        sound = [
            (service, batchjobs.SubmittedJob(f"j-{service.name}", SOUND_ITEMS))
            for service in self._services[len(self.troubles) :]
        ]
        jobs = [*stuck, *sound]
        if self._rng.random() < 0.5:
            self._rng.shuffle(jobs)
        with concurrent.futures.ThreadPoolExecutor(SERVICES_MAX) as readers:
            reads = self._submit(jobs, holder, readers)
            if frozen is not None:
                time.sleep(HUB_FREEZE_S)
                frozen.process.thaw()
        for read in reads:
            self._check(read.result())

    def _submit(self, jobs, holder, readers):
        """Submits all jobs; returns the reads of those of sound services.

        Each begins at once: it takes long to submit many jobs.
        """
        reads = []
        for service, job in jobs:
            job.submit(holder, service.path, f"{service.name}:9,own:9")
            if service in self._services[len(self.troubles) :]:
                read = readers.submit(
                    batchjobs.find_incomplete, [job], holder, COMPLETION_S
                )
                reads.append(read)
        return reads

    def _check(self, incomplete):
        for job in incomplete:
            self.violations.append(
                f"LOST {job.id}: {job.done_count} of {job.count} done within"
                f" {COMPLETION_S:g} s"
            )

    def _add_services(self):
        rng = self._rng
        count = rng.randint(SERVICES_MIN, SERVICES_MAX)
        self.troubles = [
            rng.choice(sorted(TROUBLES))
            for _ in range(rng.randint(1, count - 1))
        ]
        store = self._fleet.store
        for number in range(count):
            service = Service(f"s{number}")
            self._services.append(service)
            if number < len(self.troubles):
                TROUBLES[self.troubles[number]](service, store, rng)
            else:
                for _ in range(3):
                    service.add_engine(store, SOUND_EVENT_S)
        document = entryfleet.tables(
            2, [service.route for service in self._services]
        )
        document["services"] = [
            {"name": service.name, "healthPath": "/health"}
            for service in self._services
        ]
        store.put_row("op", "config", document)

    def _draw_frozen_hub(self, holder):
        """Returns the hub, if it is to be frozen and is not the holder."""
        if self._rng.random() < 0.7:
            return None
        hub = holder.hub()
        found = [
            one
            for one in self._fleet.daemons
            if hub and hub.startswith(one.name) and one is not holder
        ]
        return found[0] if found else None

    def _stuck_jobs(self, service, trouble):
        """Yields the service with jobs, some large or many small ones."""
        left = self._rng.choice([40, STUCK_ITEMS_MAX])
        if trouble == "slow":
            left = 80
        size = self._rng.choice([2, 20, left])
        number = 0
        while left > 0:
            job_id = f"j-{service.name}-{number}"
            yield service, batchjobs.SubmittedJob(job_id, min(size, left))
            left -= size
            number += 1

    def stop(self):
        """Stops the engines."""
        for service in self._services:
            for engine in service.engines:
                engine.shutdown()


def run(seeds, daemon_program=None, report=print):
    """Runs each seed; returns those in which a sound job was not complete.

    `daemon_program` is the entry program of another build, or None.
    """
    failed_seeds = []
    for seed in seeds:
        fleet = entryfleet.Fleet(DAEMONS, 0)
        for daemon in fleet.daemons:
            daemon.program = daemon_program or daemon.program
        with fleet:
            found = Run(fleet, seed)
            found.play()
            found.stop()
        report(
            f"seed {seed}: {found.troubles}, {len(found.violations)}"
            " violations"
        )
        for line in found.violations:
            report(f"  {line}")
        if found.violations:
            failed_seeds.append(seed)
    return failed_seeds
