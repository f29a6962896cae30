"""Engines break answers off, answer twice and die; callers check the texts.

Runs real daemons and real processes of engines on loopback, as kills.py does.
Each answer of an engine follows a plan that the seed draws (answerfaults.py).
Engines and daemons are killed beside; an engine that died starts again under
its id and address, with other software, or under new ones. Some answers to
items are replaced by failures and bytes without end (itemfaults.py). All
results and all answers that are framed as whole are compared with what engines
put out; an item may be given up after engines' whole failures only.
"""

import collections
import json
import random
import select
import threading
import time

from samphirepost_bench import answerfaults
from samphirepost_bench import brokenengine
from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import itemfaults
from samphirepost_bench import kills

ENGINES = 3
SLOTS = 2
EVENTS = 24
EVENT_INTERVAL_S = 0.015
# Requests of a caller that follow each other at once, and the time between
# two such series (s).
SERIES = 6
SERIES_PAUSE_S = 1.5
# Share of the kills that are daemons', and how long they are gone (s).
DAEMON_SHARE = 0.25
DAEMON_GONE_S = (0.3, 3.0)
# Share of the dead engines that start again under their id and address.
REBORN_SHARE = 0.7
WATCH_S = 0.02
VERSIONS = ("v1", "v2")
# Items are not abandoned while the run lasts.
RETENTION_S = 600
# Attempts that the route allows an item, by the seed.
ATTEMPTS_MAX = (3, 1)
# An item may get as many answers of 422, and that many times its attempts of
# 500: runs of several daemons may be under way.
FAILURES_MAX = 3
# Tokens of an item's prompt and output, which bound its answer.
TOKENS = f"10,{2 * EVENTS}"
# Between two jobs, and for the items to complete after the last kill (s).
JOB_PAUSE_S = 2.0
FINISH_S = 180.0
NOT_RESUMABLE = "bills"
# The mix of answers of a seed.
MIXES = tuple(answerfaults.Mix)
LOST_SLOT = '"reason":"stopped"'


class Engine(kills.EngineProcess):
    """A process of an engine that breaks answers off."""

    def __init__(self, settings, folder):
        super().__init__(settings.name, folder, brokenengine.argv(settings))
        self.settings = settings

    def next_entry(self):
        """Returns the entry of a program that has started again, or None."""
        if not select.select([self._popen.stdout], [], [], 0)[0]:
            return None
        line = self._popen.stdout.readline()
        if not line:
            return None
        self.settings = self.settings.later
        self.entry = json.loads(line)
        return self.entry


class BrokenAnswers(kills.Kills):
    """One run.

    `counts` has the number of violations by their kind, `untold` that of
    online answers that nothing tells from whole ones: the engine lived, and
    ended an answer without a length between two events, and the route may not
    be resumed. `given_up` counts the items that whole failures of engines
    ended, after `attempts_max` of 500. With `is_swift`, engines that a plan
    kills start again while new connections to them wait, and are listed before
    they serve these.
    """

    callers = 4
    engines = ENGINES
    finish_s = FINISH_S
    item_headers = {"Model": "m", "Token-Count": TOKENS}
    job_pause_s = JOB_PAUSE_S

    def __init__(self, fleet, seed, is_swift):
        super().__init__(fleet, seed)
        self._is_swift = is_swift
        self.mix = MIXES[seed % len(MIXES)]
        self.attempts_max = ATTEMPTS_MAX[seed % len(ATTEMPTS_MAX)]
        self.given_up = 0
        self.counts = collections.Counter()
        self.untold = 0
        self.daemons_killed = 0
        self.swift_starts = 0
        self._suspects = []
        self._is_over = threading.Event()
        self._watcher = threading.Thread(target=self._watch_engines)

    @property
    def has_item_violations(self):
        """Whether a job has a text that is not whole, or did not end."""
        return any(kind.startswith("ITEM") for kind in self.counts)

    @property
    def has_online_violations(self):
        """Whether a caller got a text as whole that is not."""
        return any(kind.startswith("ONLINE") for kind in self.counts)

    @property
    def engines_died(self):
        """The number of processes of engines that died."""
        return self._started - self.engines

    @property
    def slots_lost(self):
        """How often an item lost its slot, by the daemons' logs."""
        return sum(
            LOST_SLOT in line and '"item.not_done"' in line
            for line in self._log_lines()
        )

    def run(self, count):
        """Kills `count` engines and daemons, one after the other."""
        self._fleet.configure(
            retentionS=RETENTION_S, batch={"maxAttempts": self.attempts_max}
        )
        self._watcher.start()
        try:
            super().run(count)
        finally:
            self._stop_engines()
        self._judge_suspects()
        self._judge_faults()

    @property
    def endless(self):
        """The number of answers to items that had no end."""
        return sum(
            fault.ending in itemfaults.ENDLESS
            for faults in self._faults().values()
            for fault in faults
        )

    def _faults(self):
        """Returns the Faults that engines wrote, by the item."""
        found = collections.defaultdict(list)
        for item, answers in brokenengine.read_journal(self._journal).items():
            found[item] += [one.fault for one in answers if one.fault]
        return found

    def _judge_faults(self):
        """Checks how often items that failed reached engines again."""
        for item, faults in self._faults().items():
            statuses = [one.status for one in faults if one.is_verdict]
            failed = statuses.count(itemfaults.FAILED)
            unprocessable = statuses.count(itemfaults.UNPROCESSABLE)
            if (
                failed > FAILURES_MAX * self.attempts_max
                or unprocessable > FAILURES_MAX
            ):
                self._record("ITEM too often", f"{item}: {statuses}")
                self._trace(item)

    def _log_lines(self):
        for path in sorted(self._fleet.folder.glob("vm-*.log")):
            for line in path.read_text(errors="replace").splitlines():
                yield f"{path.stem} {line}"

    # Engines and daemons.

    @property
    def _journal(self):
        return self._fleet.folder / "answers.jsonl"

    def _start_engine(self):
        self._engines.append(self._new_engine())

    def _new_engine(self):
        """Starts an engine with a new id and address."""
        number = self._started
        return self._run_engine(
            brokenengine.Settings(
                name=f"engine-{number}",
                port=fleet_module.free_port(),
                born=1,
                version=VERSIONS[number % len(VERSIONS)],
                seed=self._seed,
                mix=self.mix,
                journal=str(self._journal),
                events=EVENTS,
                event_interval_s=EVENT_INTERVAL_S,
                slots=SLOTS,
                is_swift=self._is_swift,
                versions=VERSIONS,
            )
        )

    def _run_engine(self, settings):
        self._started += 1
        engine = Engine(settings, self._fleet.folder)
        self._fleet.store.put_row("servers", engine.name, engine.entry)
        return engine

    def _watch_engines(self):
        """Starts an engine for each one that has died; lists new starts."""
        rng = random.Random(f"{self._seed} watcher")
        while not self._is_over.is_set():
            for index, engine in enumerate(self._engines):
                if not engine.is_alive:
                    self._engines[index] = self._replace(engine, rng)
                elif (entry := engine.next_entry()) is not None:
                    self.swift_starts += 1
                    self._fleet.store.put_row("servers", engine.name, entry)
            time.sleep(WATCH_S)

    def _replace(self, engine, rng):
        while engine.next_entry() is not None:
            pass
        if rng.random() < REBORN_SHARE:
            return self._restart(engine)
        self._fleet.store.remove_row("servers", engine.name)
        return self._new_engine()

    def _restart(self, engine):
        """Starts an engine under its id and address, with other software.

        It is listed with them before it accepts connections: an engine can
        not be asked for its software.
        """
        settings = engine.settings.later
        entry = {
            **engine.entry,
            "born": settings.born,
            "version": settings.version,
        }
        self._fleet.store.put_row("servers", engine.name, entry)
        return self._run_engine(settings)

    def _stop_engines(self):
        self._stop.set()
        self._is_over.set()
        self._watcher.join()
        super()._stop_engines()

    def _kill(self):
        """Kills an engine, or a daemon, which starts again later."""
        if self._rng.random() >= DAEMON_SHARE:
            self._rng.choice(self._engines).kill()
            return
        self.daemons_killed += 1
        daemon = self._rng.choice(self._fleet.daemons)
        daemon.process.kill()
        time.sleep(self._rng.uniform(*DAEMON_GONE_S))
        daemon.start()

    # Callers and checks.

    def _pause(self, rng):
        if rng.random() < 1 / SERIES:
            time.sleep(SERIES_PAUSE_S * rng.random())

    def _record(self, kind, detail):
        self.counts[kind] += 1
        self.violations.append(f"{kind}: {detail}")

    def _record_lost(self, job, results):
        self._record("ITEM not finished", f"{job}: {len(results)} results")
        done = {one["id"] for one in results}
        for number in range(kills.ITEMS_PER_JOB):
            if f"{job}-{number}" not in done:
                self._trace(f"{job}-{number}")

    def _check_result(self, result):
        item, state = result["id"], result["state"]
        if state != "done":
            faults = self._faults()[item]
            if itemfaults.may_be_given_up(faults, self.attempts_max):
                self.given_up += 1
                return
            self._record(f"ITEM {state}", f"{item}, {self._by(item)}")
        else:
            verdict = answerfaults.judge_text(result["text"], item, EVENTS)
            if verdict is answerfaults.Verdict.WHOLE:
                return
            count = len(result["text"].splitlines())
            detail = f"{item}: {count} of {EVENTS} events"
            self._record(
                f"ITEM {verdict.value}", f"{detail}, {self._by(item)}"
            )
        self._trace(item)

    def _by(self, item):
        """Returns the daemons by whose logs runs of an item ended."""
        names = {
            line.partition(" ")[0]
            for line in self._log_lines()
            if f'"item":"{item}"' in line
        }
        return f"run by {', '.join(sorted(names))}"

    def _trace(self, item):
        """Adds what daemons and engines wrote of an item."""
        self.violations.extend(
            f"    {line}"
            for line in self._log_lines()
            if f'"item":"{item}"' in line
        )
        journal = brokenengine.read_journal(self._journal)
        self.violations.extend(map(_answer_line, journal[item]))

    def _check_answer(self, name, path, found):
        verdict = answerfaults.judge_body(found.body, name, EVENTS)
        if found.is_framed and verdict is not answerfaults.Verdict.WHOLE:
            self._suspects.append((verdict, name, path, found.text))

    def _judge_suspects(self):
        """Judges online answers by what the engines wrote of theirs."""
        journal = brokenengine.read_journal(self._journal)
        for verdict, name, path, text in self._suspects:
            route = path.split("/")[1]
            count = len(text.splitlines())
            is_told = not (
                verdict is answerfaults.Verdict.PART
                and _ended_plainly(journal[name], count)
            )
            if not is_told and route == NOT_RESUMABLE:
                self.untold += 1
                continue
            kind = f"ONLINE {route} {verdict.value}"
            if not is_told:
                kind += " of a plain end"
            self._record(kind, f"{name}: {count} of {EVENTS} events")
            self.violations.extend(map(_answer_line, journal[name]))


def _answer_line(answer):
    """Returns how an engine ended an answer, for a person."""
    plan = answer.plan
    fault = answer.fault
    if fault is not None:
        return (
            f"    {answer.engine} born {answer.born}: {fault.status},"
            f" {fault.ending.value}"
        )
    death = "killed" if plan.is_killed else "lives"
    return (
        f"    {answer.engine} born {answer.born}: events"
        f" {answer.start + 1} to {answer.end}, {plan.place.value},"
        f" {plan.framing.value}, {death}, then {plan.extra.value}"
        f" {plan.status if plan.extra is answerfaults.Extra.STATUS else ''}"
    ).rstrip()


def _ended_plainly(answers, count):
    """Whether a living engine ended the last answer between two events.

    `count` is the number of events that the caller has.
    """
    return bool(answers) and (
        answers[-1].ends_plainly and answers[-1].end == count > 0
    )


def run(seeds, count, programs, report=print, is_swift=False):
    """Runs each seed; returns the BrokenAnswers of all.

    `programs` are the entry programs of the daemons, one each; see
    BrokenAnswers for `is_swift`. Passes one line a seed to `report`, and each
    violation.
    """
    found = []
    for seed in seeds:
        fleet = entryfleet.Fleet(len(programs), 0)
        for daemon, program in zip(fleet.daemons, programs, strict=True):
            daemon.program = program
        with fleet:
            one = BrokenAnswers(fleet, seed, is_swift)
            one.run(count)
        found.append(one)
        kinds = ", ".join(f"{n} {kind}" for kind, n in one.counts.items())
        report(
            f"seed {seed}, without a length {one.mix.value}:"
            f" {one.engines_died} engines died,"
            f" {one.swift_starts} started again at once,"
            f" {one.daemons_killed} daemons killed,"
            f" {one.slots_lost} slots lost; {one.answered} online answers,"
            f" {one.untold} of them not told apart; {one.done} items done,"
            f" {one.given_up} given up after failures, at most"
            f" {one.attempts_max}; {one.endless} answers without end;"
            f" violations: {kinds or 'none'}"
        )
        for line in one.violations:
            report(f"  {line}")
        if one.violations:
            report(f"  logs: {fleet.folder}")
    return found
