"""A randomized soak: real daemons, faults from outside, promises checked.

Faults overlap and come in series; then they end, and all has to be served
again. The promises are checked from what callers have seen and what reached
the engines.
"""

import http.client
import json
import random
import threading
import time

from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import soakfaults

# How long after a fault its effects may last (s): the platform's `contactMs`.
CONTACT_S = 3.0
# An ended job reaches no engine, and a draining engine gets nothing, later
# than this (s): the platform's `cancelMs` and `drainMs`.
CANCEL_S = 3.0
DRAIN_S = 2.0
# After the last fault all open jobs have this long (s): `finishS`.
FINISH_S = 18.0
# Later than this after an acceptance no daemon may miss the job (s):
# `settleMs`.
SETTLE_S = 1.0
# Callers, and their pause between two requests (s).
CALLERS = 4
PAUSE_S = 0.08
SUBMITTERS = 2
JOB_PAUSE_S = 0.5
ITEMS = 4
CALL_TIMEOUT_S = 6.0
FAULTS_AT_A_TIME = 3
# The statuses that promise that a request has not run and never will.
NOT_RUN = (408, 421, 429, 503)


class Answer:
    """What a caller saw; a status of 0 stands for no answer."""

    __slots__ = ("body", "headers", "status", "whole")

    def __init__(self, status, headers=None, body=b"", whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.whole = whole

    @property
    def text(self):
        """The data of a stream's whole events, a line each."""
        events = self.body.decode().split("\n\n")[:-1]
        return "\n".join(event.partition("data: ")[2] for event in events)


def call(daemon, method, path, headers, body=b""):
    """Makes a caller's call; returns its Answer."""
    conn = http.client.HTTPConnection(
        fleet_module.HOST, daemon.callers_port, timeout=CALL_TIMEOUT_S
    )
    try:
        conn.request(method, path, body, {"Host": entryfleet.HOST, **headers})
        resp = conn.getresponse()
        found = dict(resp.getheaders())
        try:
            return Answer(resp.status, found, resp.read(), True)
        except http.client.IncompleteRead as exc:
            return Answer(resp.status, found, exc.partial)
    except (OSError, http.client.HTTPException):
        return Answer(0)
    finally:
        conn.close()


class Job:
    """A job as its callers know it.

    An end that was asked may have taken effect without an answer.
    """

    __slots__ = (
        "accepted_s",
        "answers",
        "end_asked",
        "ended_s",
        "id",
        "seen",
    )

    def __init__(self, job):
        self.id = job
        self.answers = []
        self.accepted_s = None
        self.end_asked = False
        self.ended_s = None
        self.seen = {}

    @property
    def items(self):
        """The ids of its items."""
        return [f"{self.id}-{number}" for number in range(ITEMS)]


class Soak:
    """One run: callers, jobs, faults, and what broke."""

    def __init__(self, fleet, seed):
        self.fleet = fleet
        self.seed = seed
        self.trace = soakfaults.Trace(time.monotonic())
        self.broken = []
        self.served = 0
        self.asked = 0
        self.jobs = []
        self._refused = []
        self._once = []
        self._drained = []
        self._quiet = threading.Event()
        self._stop = threading.Event()
        self._lock = threading.Lock()

    def fail(self, rule, detail):
        """Notes a broken promise."""
        at_s = self.trace.at(time.monotonic())
        self.broken.append(f"{rule} at {at_s:.2f} s: {detail}")

    # Callers.

    def ask(self, number, draw):
        """Sends one online request and checks its answer."""
        path = draw.choice(["/notes/1", "/bills/1"])
        name = f"r{self.seed}-{number}-{draw.getrandbits(32):08x}"
        daemon = draw.choice(self.fleet.daemons)
        headers = {"Request-Id": name, "Deadline-Ms": "5000"}
        calm = self._quiet.is_set()
        found = call(daemon, "POST", path, headers, b"prompt")
        with self._lock:
            self.asked += 1
            if path.startswith("/bills/"):
                self._once.append(name)
            if found.status in NOT_RUN:
                self._refused.append(name)
        self._check_answer(name, found)
        if found.status == 200 and found.whole:
            self.served += 1
        elif calm:
            self.fail("RECOVER", f"{name} got {found.status} after all faults")

    def _check_answer(self, name, found):
        if found.status != 200:
            return
        if not found.headers.get("Response-Seal", "").startswith("seal-"):
            self.fail("MIXED", f"{name} has no seal")
        whole = self.fleet.engines[0].current.text(name)
        if found.whole and found.text != whole:
            self.fail("MIXED", f"{name} is not whole: {found.body!r}")
        if not whole.startswith(found.text):
            self.fail("ORDER", f"{name} has other events: {found.body!r}")

    # Jobs.

    def submit(self, number, draw):
        """Submits a job until it is accepted, at one daemon after another."""
        job = Job(f"j{self.seed}-{number}-{draw.getrandbits(32):08x}")
        items = [
            {
                "id": item,
                "path": f"/evening/{item}",
                "headers": {"Model": "m"},
                "body": "Ym9keQ==",
                "tokens": 100,
            }
            for item in job.items
        ]
        body = json.dumps({"requests": items}).encode()
        headers = {"Request-Id": job.id}
        for _ in range(3):
            daemon = draw.choice(self.fleet.daemons)
            found = call(daemon, "POST", "/evening/x", headers, body)
            job.answers.append(found.status)
            if found.status == 202:
                job.accepted_s = time.monotonic()
                break
        with self._lock:
            self.jobs.append(job)
        if job.accepted_s and draw.random() < 0.2:
            self._end(job, draw)

    def _end(self, job, draw):
        daemon = draw.choice(self.fleet.daemons)
        job.end_asked = True
        if call(daemon, "DELETE", f"/lots/{job.id}", {}).status == 200:
            job.ended_s = time.monotonic()

    def read(self, job, draw):
        """Reads a job's results at any daemon and checks them."""
        daemon = draw.choice(self.fleet.daemons)
        after = draw.choice([0, len(job.seen)])
        asked_s = time.monotonic()
        found = call(daemon, "GET", f"/lots/{job.id}?after={after}", {})
        if found.status == 404 and asked_s > job.accepted_s + SETTLE_S:
            self.fail("LOST", f"{daemon.name} does not know {job.id}")
        if found.status != 200 or not found.whole:
            return
        body = json.loads(found.body)
        if body["total"] != ITEMS:
            self.fail("MIXED", f"{job.id} has a total of {body['total']}")
        for offset, one in enumerate(body["results"]):
            self._check_result(job, after + offset, one)

    def _check_result(self, job, position, one):
        known = job.seen.setdefault(position, one)
        if known != one:
            self.fail("TWICE", f"{job.id} at {position}: {known} then {one}")
        if one["id"] not in job.items:
            self.fail("MIXED", f"{job.id} lists {one['id']}")
        ids = [seen["id"] for seen in job.seen.values()]
        if len(set(ids)) != len(ids):
            self.fail("TWICE", f"{job.id} lists an item twice: {ids}")
        whole = self.fleet.engines[0].current.text(one["id"])
        if one["state"] == "done" and one["text"] != whole:
            self.fail("ORDER", f"{one['id']}: {one['text']!r}")
        if one["state"] != "done" and not job.end_asked:
            self.fail("MIXED", f"{one['id']} was given up")

    # The run.

    def _callers(self, number, act, pause_s):
        draw = random.Random(f"{self.seed} {act.__name__} {number}")
        while not self._stop.is_set():
            act(number, draw)
            time.sleep(pause_s * draw.uniform(0.5, 1.5))

    def _readers(self):
        draw = random.Random(f"{self.seed} read")
        while not self._stop.is_set():
            with self._lock:
                open_jobs = [
                    job
                    for job in self.jobs
                    if job.accepted_s and len(job.seen) < ITEMS
                ]
            for job in draw.sample(open_jobs, min(3, len(open_jobs))):
                self.read(job, draw)
            time.sleep(PAUSE_S)

    def run(self, seconds):
        """Plays the faults for some seconds, then lets all recover."""
        self._wait_ready()
        threads = [
            threading.Thread(target=self._callers, args=(n, act, pause_s))
            for act, count, pause_s in (
                (self.ask, CALLERS, PAUSE_S),
                (self.submit, SUBMITTERS, JOB_PAUSE_S),
            )
            for n in range(count)
        ]
        threads.append(threading.Thread(target=self._readers))
        for thread in threads:
            thread.start()
        self._play_faults(seconds)
        self._wait_ready()
        time.sleep(CONTACT_S)
        self._quiet.set()
        time.sleep(CONTACT_S)
        self._stop.set()
        for thread in threads:
            thread.join()
        self._finish()
        self._check_engines()

    def _wait_ready(self):
        until_s = time.monotonic() + soakfaults.READY_S
        while not all(one.ready for one in self.fleet.daemons):
            if time.monotonic() > until_s:
                raise fleet_module.FleetError("the daemons are not ready")
            time.sleep(soakfaults.POLL_S)

    def _play_faults(self, seconds):
        draw = random.Random(f"{self.seed} faults")
        self.fleet.taken = set()
        active = []
        until_s = time.monotonic() + seconds
        while time.monotonic() < until_s:
            if len(active) < FAULTS_AT_A_TIME:
                kind = draw.choice(soakfaults.KINDS)
                fault = kind(self.fleet, draw)
                if fault.placed:
                    active.append(self._begin(fault))
            time.sleep(draw.uniform(0.1, 0.8))
            for pair in [one for one in active if draw.random() < 0.4]:
                active.remove(pair)
                self._conclude(pair)
        for pair in active:
            self._conclude(pair)

    def _begin(self, fault):
        entry = soakfaults.Entry(fault, time.monotonic())
        self.trace.entries.append(entry)
        fault.begin()
        return entry

    def _conclude(self, entry):
        fault = entry.fault
        if isinstance(fault, soakfaults.EngineDrains):
            span = (fault.since_s, time.monotonic())
            self._drained.append((fault.engine.current, *span))
        fault.end()
        entry.end_s = time.monotonic()

    def _finish(self):
        """Waits until every open job has all its results."""
        draw = random.Random(f"{self.seed} finish")
        until_s = time.monotonic() + FINISH_S
        while time.monotonic() < until_s:
            left = [job for job in self.jobs if self._is_open(job)]
            if not left:
                return
            for job in left:
                self.read(job, draw)
            time.sleep(PAUSE_S)
        for job in left:
            self.fail("LOST", f"{job.id} has {len(job.seen)} of {ITEMS}")

    @staticmethod
    def _is_open(job):
        kept = job.accepted_s and not job.end_asked
        return kept and len(job.seen) < ITEMS

    def _check_engines(self):
        for name in self._refused:
            if any(one.ran for one in self.fleet.arrivals(name)):
                self.fail("REFUSED", f"{name} has run")
        for name in self._once:
            runs = sum(one.ran for one in self.fleet.arrivals(name))
            if runs > 1:
                self.fail("TWICE", f"{name} has run {runs} times")
        for job in self.jobs:
            self._check_job(job)
        for engine, begin_s, end_s in self._drained:
            self._check_drained(engine, begin_s, end_s)

    def _check_job(self, job):
        arrivals = [
            one for item in job.items for one in self.fleet.arrivals(item)
        ]
        refused = all(status in NOT_RUN for status in job.answers)
        if refused and any(one.ran for one in arrivals):
            self.fail("REFUSED", f"items of {job.id} have run")
        if job.ended_s is None:
            return
        for one in arrivals:
            late = one.ran and one.at_s > job.ended_s + CANCEL_S
            if late and self._in_touch(job.ended_s, one.at_s):
                self.fail("UNASKED", f"{one.id} runs after its job's end")

    def _check_drained(self, engine, begin_s, end_s):
        for one in list(engine.arrivals):
            if begin_s + DRAIN_S < one.at_s < end_s and self._in_touch(
                begin_s, one.at_s
            ):
                self.fail("DRAIN", f"{one.id} reaches {engine.name}")

    def _in_touch(self, begin_s, end_s):
        return self.trace.calm(begin_s - CONTACT_S, end_s)


def run(seeds, seconds, daemons=4, engines=3, say=print):
    """Plays each seed; returns the seeds that broke a promise."""
    red = []
    for seed in seeds:
        with entryfleet.Fleet(daemons, engines) as fleet:
            soak = Soak(fleet, seed)
            soak.run(seconds)
        done = sum(len(job.seen) == ITEMS for job in soak.jobs)
        say(
            f"seed {seed}: {len(soak.trace.entries)} faults,"
            f" {soak.served} of {soak.asked} requests served,"
            f" {done} of {len(soak.jobs)} jobs done,"
            f" {len(soak.broken)} promises broken"
        )
        if soak.broken:
            red.append(seed)
            for line in [*soak.broken, *soak.trace.lines()]:
                say(f"  {line}")
            say(f"  logs: {fleet.folder}")
    return red
