"""Holds batch jobs: runs their items, writes results, takes jobs over.

The actor's thread decides; items run and writes happen on other threads,
which tell the actor how they ended.
"""

import concurrent.futures
import time

import pykka

from samphirepost import batchjob
from samphirepost import routing
from samphirepost_daemon.entry import items
from samphirepost_daemon.entry import jobs
from samphirepost_daemon.entry import messages
from samphirepost_daemon.entry import takeovers

TICK_S = 0.1
# How often open jobs are looked for (s): an ended job has to stop within
# 3 s wherever it is held.
SCAN_S = 1.0
# Items that one daemon runs at a time: two thirds of the slots that a fleet
# of today has, as one daemon may hold most of the open jobs.
RUNS_MAX = 32
# Calls of the store at a time: one may take seconds while it is out.
CALLS_MAX = 8
# An item counts as late when this share of the time that it should still
# take does not fit before it is due; sizes are known by their limit only.
FEASIBLE_SHARE = 0.8
# How often the loads are logged while jobs are held (s).
LOADS_LOG_S = 2.0
# Items started at one tick, for the counts of others lag behind.
STARTS_MAX = 2
# Pause before an item that did not end is run again (s).
RETRY_S = 0.3
# Jobs that are taken over at one look, so that others take some too.
TAKES_MAX = 2


class Holder(pykka.ThreadingActor):
    """Owns the state of the held jobs."""

    def __init__(self, parts, kept, alive):
        super().__init__()
        self._alive = alive
        self._parts = parts
        self._jobs = kept
        self._takeovers = takeovers.Takeovers(kept, parts.log)
        self._works = {}
        self._dead = set()
        self._watch = batchjob.Watch()
        self._after = None
        self._scan_due_s = 0.0
        self._scanning = False
        self._running = {}
        self._pace = batchjob.Pace()
        self._log_due_s = 0.0
        self._stopping = False
        self._runs = concurrent.futures.ThreadPoolExecutor(
            RUNS_MAX, thread_name_prefix="items"
        )
        self._calls = concurrent.futures.ThreadPoolExecutor(
            CALLS_MAX, thread_name_prefix="calls"
        )

    def on_receive(self, message):
        """Handles one message; a fault costs that message only."""
        name = _HANDLERS[type(message)]
        try:
            getattr(self, name)(message)
        except Exception as exc:
            self._parts.log.failure("fault", where=name, error=repr(exc))

    def _hold(self, message):
        self._adopt(message.opened, message.record, "submitted")

    def _taken(self, message):
        self._adopt(
            message.opened, message.record, "taken over", message.partial
        )

    def _adopt(self, opened, record, why, partial=None):
        key = (opened.host, opened.job)
        work = batchjob.Work(
            record,
            opened.progress,
            opened.revision,
            opened.store_ms,
            time.monotonic(),
        )
        work.partial.update(partial or {})
        self._works[key] = work
        self._count_jobs()
        self._parts.log.event(
            "job.held", job=opened.job, why=why, revision=opened.revision
        )
        self._write(key, work, time.monotonic())

    def _count_jobs(self):
        self._parts.state.held_jobs = len(self._works)
        self._parts.metrics.held_jobs.set(len(self._works))

    def _drop(self, message):
        key = (message.host, message.job)
        work = self._works.pop(key, None)
        self._watch.gone(key)
        if work is None:
            return
        self._count_jobs()
        self._parts.log.event(
            "job.dropped", job=message.job, reason=message.reason
        )

    def _tick(self, _):
        now_s = time.monotonic()
        if now_s >= self._scan_due_s and not self._scanning:
            self._scanning = True
            self._scan_due_s = now_s + SCAN_S
            self._submit(self._look, self._after)
        self._log_loads(now_s)
        self._yield_slots(now_s)
        self._give_up(now_s)
        self._start_items()
        for key, work in list(self._works.items()):
            self._write(key, work, now_s)

    def _submit(self, function, *args):
        self._calls.submit(self._guard, function, *args)

    def _guard(self, function, *args):
        try:
            function(*args)
        except Exception as exc:
            self._parts.log.failure(
                "fault", where=function.__name__, error=repr(exc)
            )
            raise

    # Items.

    def _log_loads(self, now_s):
        if not self._works or now_s < self._log_due_s:
            return
        self._log_due_s = now_s + LOADS_LOG_S
        board = self._parts.load_tracker
        counts = {
            engine.id: board.count(engine.id, now_s)
            for pool in self._parts.state.pools()
            for engine in self._parts.state.engines(pool)
        }
        self._parts.log.event(
            "loads",
            engines=counts,
            jobs=len(self._works),
            running=len(self._running),
            waiting=sum(len(w.unfinished()) for w in self._works.values()),
            late=sum(w.due_s < now_s for w in self._works.values()),
        )

    def _yield_slots(self, now_s):
        """Stops items whose slots online requests need."""
        by_pool = {}
        for run in self._running.values():
            by_pool.setdefault(run.pool, []).append(run)
        for pool, runs in by_pool.items():
            engines = self._parts.state.engines(pool)
            count = self._parts.load_tracker.batch_to_stop(engines, now_s)
            stopping = sum(run.stopped for run in runs)
            self._stop_runs(runs, count - stopping, now_s)

    def _stop_runs(self, runs, count, now_s):
        """Stops late items first, then those at the fullest engines."""
        board = self._parts.load_tracker
        left = [run for run in runs if not run.stopped]
        left.sort(
            key=lambda run: (
                not run.late,
                -board.load(run.engine, now_s),
                len(run.partial.texts),
            )
        )
        for run in left[: max(0, count)]:
            run.stopped = True

    def _give_up(self, now_s):
        """Ends items whose time is up or whose route is gone."""
        for work in self._works.values():
            known = self._parts.state.table is not None
            gone = known and self._route(work) is None
            if not gone and now_s < work.give_up_s:
                continue
            for index in work.unfinished():
                work.give_up(index)
                self._parts.log.failure(
                    "item.given_up",
                    job=work.record.id,
                    item=work.record.items[index].id,
                    reason="its route is gone" if gone else "its time is up",
                    **self._parts.state.age_fields(),
                )

    def _start_items(self):
        if self._stopping:
            return
        now_s = time.monotonic()
        works = sorted(
            self._works.items(),
            key=lambda pair: (pair[1].due_s < now_s, pair[1].due_s),
        )
        started = 0
        for key, work in works:
            for index in work.runnable(now_s):
                if len(self._running) >= RUNS_MAX or started >= STARTS_MAX:
                    return
                if not self._start_item(key, work, index, now_s):
                    break
                started += 1

    def _start_item(self, key, work, index, now_s):
        """Starts an item; returns whether an engine had room."""
        route = self._route(work)
        if route is None:
            return False
        pool = routing.pick_pool(route)
        board = self._parts.load_tracker
        late = self._late(work, index, now_s)
        engine = board.choose_batch(
            self._parts.state.engines(pool), now_s, late
        )
        if engine is None:
            return False
        work.running.add(index)
        partial = work.partial.setdefault(index, batchjob.Partial())
        board.started(engine.id, batch=True)
        run = messages.ItemRun(key, index, engine.id, pool, late, partial)
        self._running[id(run)] = run
        self._runs.submit(self._guard, self._run_item, run, work, engine)
        return True

    def _late(self, work, index, now_s):
        """Whether an item can no longer end in time."""
        item = work.record.items[index]
        partial = work.partial.get(index)
        events = len(partial.texts) if partial else 0
        left_s = self._pace.left_s(item.tokens, events)
        return now_s + FEASIBLE_SHARE * left_s > work.due_s

    def _route(self, work):
        table = self._parts.state.table
        if table is None:
            return None
        return table.find(work.record.host, work.record.path)

    def _run_item(self, run, work, engine):
        def stopped():
            return run.stopped or self._works.get(run.key) is not work

        outcome = items.Interrupted("a fault of the daemon", False)
        try:
            outcome = items.run(
                work.record,
                work.record.items[run.index],
                engine,
                run.partial,
                stopped,
            )
        finally:
            self.actor_ref.tell(messages.ItemEnded(run, outcome))

    def _item_ended(self, message):
        run = message.run
        del self._running[id(run)]
        board = self._parts.load_tracker
        board.ended(run.engine, batch=True)
        outcome = message.outcome
        name = type(outcome).__name__.lower()
        self._parts.metrics.items.labels(name).inc()
        work = self._works.get(run.key)
        if work is None or work.partial.get(run.index) is not run.partial:
            return
        item = work.record.items[run.index]
        self._settle_item(work, run, item, outcome)
        if not isinstance(outcome, items.Whole):
            self._parts.log.event(
                "item.not_done",
                job=work.record.id,
                item=item.id,
                engine=run.engine,
                outcome=name,
                reason=getattr(outcome, "reason", ""),
                events=len(run.partial.texts),
                failures=work.failures(run.index),
                **self._parts.state.age_fields(),
            )
        self._write(run.key, work, time.monotonic())

    def _settle_item(self, work, run, item, outcome):
        index = run.index
        now_s = time.monotonic()
        if isinstance(outcome, items.Whole):
            self._parts.load_tracker.succeeded(run.engine)
            took_s = now_s - run.began_s
            events = len(run.partial.texts) - run.events_before
            if not run.events_before:
                self._pace.learn(item.tokens, events, took_s)
            work.finish(
                index,
                batchjob.Result(item.id, batchjob.End.DONE, run.partial.text),
            )
        elif isinstance(outcome, items.Impossible):
            work.give_up(index)
        elif isinstance(outcome, items.Failed):
            self._count_failure(work, index)
        else:
            work.running.discard(index)
            if outcome.fault:
                self._parts.load_tracker.failed(run.engine, now_s)
        work.retry_at_s[index] = now_s + RETRY_S

    def _count_failure(self, work, index):
        route = self._route(work)
        if route is None:
            work.running.discard(index)
            return
        work.fail(index, route.attempts_max)

    # Writes.

    def _write(self, key, work, now_s):
        commit = self._next_commit(work, now_s)
        if commit is not None:
            self._submit(self._commit, key, work.record, commit)

    def _next_commit(self, work, now_s):
        """Returns the write that a job needs now, if any.

        A daemon that stops offers a job once its results are written.
        """
        if self._stopping and not work.ended:
            return work.offer(now_s)
        if not work.due(now_s):
            return None
        return work.next_commit(
            jobs.COMMIT_RESULTS_MAX, jobs.COMMIT_BYTES_MAX, now_s
        )

    def _commit(self, key, record, commit):
        outcome = self._jobs.commit(record, commit)
        self.actor_ref.tell(messages.CommitEnded(key, commit, outcome))

    def _commit_ended(self, message):
        work = self._works.get(message.key)
        if work is None or work.committing is not message.commit:
            return
        outcome = message.outcome
        if isinstance(outcome, int):
            self._committed(message, work, outcome)
        elif isinstance(outcome, jobs.Missing):
            self._let_go(message.key, "ended or taken over")
        else:
            self._parts.log.failure(
                "job.unsaved", job=work.record.id, reason=outcome.reason
            )
            self._submit(
                self._commit_later, message.key, work.record, message.commit
            )

    def _committed(self, message, work, revision):
        work.committed(revision)
        if work.complete:
            self._let_go(message.key, "complete")
        elif not message.commit.progress.holder:
            self._let_go(message.key, "offered to others")
        else:
            self._write(message.key, work, time.monotonic())

    def _let_go(self, key, reason):
        host, job = key
        self._drop(messages.Drop(host, job, reason))

    def _commit_later(self, key, record, commit):
        time.sleep(RETRY_S)
        self._commit(key, record, commit)

    # Takeovers.

    def _look(self, after):
        self.actor_ref.tell(self._takeovers.look(after))

    def _seen(self, message):
        self._scanning = False
        now_s = time.monotonic()
        self._after = message.revision
        closed = list(message.closed)
        if message.full:
            listed = {(one.host, one.job) for one in message.opened}
            closed = [key for key in self._watch.keys() if key not in listed]
        for one in message.opened:
            key = (one.host, one.job)
            self._watch.see(key, one.revision, one.progress, now_s)
            self._check_held(key, one)
        for host, job in closed:
            self._drop(messages.Drop(host, job, "closed"))
        self._take_over(now_s)

    def _check_held(self, key, one):
        if key in self._works and one.progress.holder != self._parts.me:
            host, job = key
            self._drop(
                messages.Drop(host, job, f"held by {one.progress.holder}")
            )

    def _unseen(self, message):
        self._scanning = False
        if message.lost:
            self._after = None
        self._watch.blind(time.monotonic())

    def _take_over(self, now_s):
        if self._stopping:
            return
        found = self._watch.abandoned(
            now_s, self._works, self._alive(), self._parts.me
        )
        for key in found[:TAKES_MAX]:
            known = self._watch.get(key)
            host, job = key
            opened = jobs.Open(host, job, known.revision, known.progress, 0)
            self._watch.see(key, -1, known.progress, now_s)
            self._submit(self._take, opened)

    def _take(self, opened):
        taken = self._takeovers.take(opened)
        if taken is not None:
            self.actor_ref.tell(taken)

    def _stop_work(self, _):
        """Lets other daemons take the held jobs at once."""
        self._stopping = True
        for key, work in list(self._works.items()):
            self._write(key, work, time.monotonic())


_HANDLERS = {
    messages.Hold: "_hold",
    messages.Taken: "_taken",
    messages.Drop: "_drop",
    messages.Tick: "_tick",
    messages.ItemEnded: "_item_ended",
    messages.CommitEnded: "_commit_ended",
    messages.Seen: "_seen",
    messages.Unseen: "_unseen",
    messages.Stop: "_stop_work",
}
