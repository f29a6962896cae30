"""Holds batch jobs: runs their items, writes results, takes jobs over.

Items run, and store requests wait, on the threads of two executors; each
reports its outcome to the actor in a message. Only the actor's thread changes
the state, except that a running item appends to its own partial output.
"""

import collections
import concurrent.futures
import time

import pykka

from samphirepost import answerbounds
from samphirepost import batchjob
from samphirepost import errors
from samphirepost import itemdurations
from samphirepost import itemwindow
from samphirepost import jobobserver
from samphirepost import leaving
from samphirepost import memorybudget
from samphirepost import quarantine
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import exchange
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import itemdemand
from samphirepost_daemon.entry import itemobserver
from samphirepost_daemon.entry import items
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import pathmonitor
from samphirepost_daemon.entry import takeovers
from samphirepost_daemon.platform import wire

TICK_S = 0.1
# Interval between scans of the open jobs: a job that was closed at any daemon
# must stop within 3 s at its holder.
SCAN_INTERVAL_S = 1.0
# While no hub has answered for this long (s), items start on engines of the
# daemon's own choice. A hub that fails is replaced in less time.
WITHOUT_HUB_S = 3.0
# Concurrent store requests: one may take seconds while the store is
# unavailable.
STORE_REQUESTS_MAX = 8
# Interval at which items that are quarantined, or whose software version has
# no engine left, are looked for (s).
BLOCK_INTERVAL_S = 0.25
# Interval at which the loads are logged while jobs are held.
LOADS_LOG_INTERVAL_S = 2.0
# Items of one need that are tried in one tick without a hub, as load counts
# lag behind.
STARTS_PER_TICK_MAX = 2
# Pause before a failed write is retried (s).
RETRY_DELAY_S = 0.3
# Jobs taken over after one scan; leaves some to the other daemons.
TAKEOVERS_PER_SCAN_MAX = 2


class Holder(pykka.ThreadingActor):
    """The actor that owns the state of the held jobs.

    `member_ids()` returns the ids of the daemons that are members, or None
    while they are not known.
    """

    def __init__(self, parts, job_store, member_ids):
        super().__init__()
        self._member_ids = member_ids
        self._parts = parts
        self._job_store = job_store
        self._takeovers = takeovers.Takeovers(
            job_store, parts.log, parts.budget
        )
        self._held_jobs = {}
        self._dead = set()
        self._observer = jobobserver.JobObserver()
        self._scan_revision = None
        self._next_scan_s = 0.0
        self._scanning = False
        self._scan_failed = False
        self._item_runs = {}
        self._wanted = {}
        self._next_block_s = 0.0
        self._hub_answered_s = time.monotonic()
        self._durations = itemdurations.DurationEstimator()
        self._demand = itemdemand.ItemDemand(
            parts, job_store, self._held_jobs, self._durations
        )
        self._next_load_log_s = 0.0
        self._stopping = False
        self._item_executor = concurrent.futures.ThreadPoolExecutor(
            itemwindow.CONCURRENT_RUNS_MAX, thread_name_prefix="items"
        )
        self._store_executor = concurrent.futures.ThreadPoolExecutor(
            STORE_REQUESTS_MAX, thread_name_prefix="calls"
        )

    def on_start(self):
        """Receives the hub's decisions about items as messages."""
        self._parts.slots.on_grant = lambda grant: self.actor_ref.tell(
            holdermessages.SlotGranted(grant.id, grant.engine, grant.through)
        )
        self._parts.slots.on_preemption = lambda ids: self.actor_ref.tell(
            holdermessages.RunsPreempted(ids)
        )

    def on_receive(self, message):
        """Handles one message; an exception is only logged."""
        name = _HANDLERS[type(message)]
        try:
            getattr(self, name)(message)
        except Exception as exc:
            self._parts.log.failure("fault", where=name, error=repr(exc))

    def _hold_submitted_job(self, message):
        self._hold_job(message, "submitted")

    def _hold_taken_over_job(self, message):
        open_job = message.open_job
        key = (open_job.host, open_job.job_id)
        self._observer.end_takeover(key, time.monotonic())
        self._hold_job(message, "taken over", message.partial_outputs)

    def _hold_job(self, message, why, partial_outputs=None):
        open_job = message.open_job
        key = (open_job.host, open_job.job_id)
        held_job = batchjob.HeldJob(
            message.outline,
            open_job.progress,
            open_job.revision,
            open_job.store_ms,
            time.monotonic(),
            lambda: self._parts.budget.account(memorybudget.Kind.ITEM, key),
            message.account,
        )
        held_job.take_over_outputs(
            partial_outputs or {}, jobstore.new_output_id
        )
        self._held_jobs[key] = held_job
        self._count_jobs()
        self._parts.log.event(
            "job.held",
            job=open_job.job_id,
            why=why,
            revision=open_job.revision,
        )
        self._commit_if_due(key, held_job, time.monotonic())

    def _count_jobs(self):
        self._parts.state.held_jobs = len(self._held_jobs)
        self._parts.metrics.held_jobs.set(len(self._held_jobs))

    def _drop_job(self, message):
        key = (message.host, message.job_id)
        held_job = self._held_jobs.pop(key, None)
        if held_job is None:
            return
        held_job.close()
        self._job_store.forget_record(*key)
        self._count_jobs()
        self._parts.log.event(
            "job.dropped", job=message.job_id, reason=message.reason
        )

    def _tick(self, _):
        now_s = time.monotonic()
        if now_s >= self._next_scan_s and not self._scanning:
            self._scanning = True
            self._next_scan_s = now_s + SCAN_INTERVAL_S
            self._call_store(self._scan, self._scan_revision)
        self._log_loads(now_s)
        self._abandon_items(now_s)
        self._want_slots(now_s)
        for key, held_job in list(self._held_jobs.items()):
            self._commit_if_due(key, held_job, now_s)

    def _call_store(self, function, *args):
        self._store_executor.submit(self._call_logged, function, *args)

    def _call_logged(self, function, *args):
        try:
            function(*args)
        except Exception as exc:
            self._parts.log.failure(
                "fault", where=function.__name__, error=repr(exc)
            )
            raise

    # Runs of items on engines.

    def _log_loads(self, now_s):
        if not self._held_jobs or now_s < self._next_load_log_s:
            return
        self._next_load_log_s = now_s + LOADS_LOG_INTERVAL_S
        load_tracker = self._parts.load_tracker
        counts = {
            engine.id: load_tracker.count(engine.id, now_s)
            for pool in self._parts.state.pools()
            for engine in self._parts.state.engines(pool)
        }
        self._parts.log.event(
            "loads",
            engines=counts,
            jobs=len(self._held_jobs),
            running=len(self._item_runs),
            waiting=sum(
                len(job.queued_indexes()) for job in self._held_jobs.values()
            ),
            late=sum(
                job.deadline_s < now_s for job in self._held_jobs.values()
            ),
        )

    def _abandon_items(self, now_s):
        """Abandons items past their job's retention or without a route."""
        for held_job in self._held_jobs.values():
            route_removed = self._is_route_removed(held_job, now_s)
            if not route_removed and now_s < held_job.give_up_s:
                continue
            for index in held_job.queued_indexes():
                held_job.give_up_item(index)
                self._parts.log.failure(
                    "item.given_up",
                    job=held_job.outline.id,
                    item=held_job.outline.items[index].id,
                    reason="its route was removed"
                    if route_removed
                    else "its retention time has passed",
                    **self._parts.state.age_fields(),
                )

    def _is_route_removed(self, held_job, now_s):
        """Whether a job's route was there at first and is not any more.

        Tables that are older than the job may lack a route that is new.
        """
        return self._demand.find_route(
            held_job
        ) is None and self._parts.state.knows_tables_since(
            held_job.held_s, now_s
        )

    def _want_slots(self, now_s):
        """Asks the hub for slots for the items that are ready to run.

        Items that were interrupted keep the id under which they wait.
        """
        if self._parts.slots.hub_answers:
            self._hub_answered_s = now_s
        known_ids = self._wanted
        self._wanted = {}
        wanted = {}
        if now_s >= self._next_block_s:
            self._next_block_s = now_s + BLOCK_INTERVAL_S
            self._demand.find_blocked(now_s)
            self._restart_items()
        needs = {}
        ready = []
        if not self._stopping:
            ready = self._demand.ready_items(self._item_runs.values(), now_s)
        for need, (key, index) in ready:
            run_id = known_ids.get((key, index))
            if run_id is None:
                run_id = self._parts.slots.next_run_id()
            self._wanted[key, index] = run_id
            wanted[run_id] = self._demand.wanted_slot(
                run_id, need, key, index, now_s
            )
            needs[run_id] = need
        self._parts.slots.want(wanted)
        if now_s - self._hub_answered_s > WITHOUT_HUB_S:
            self._start_without_hub(wanted, needs, now_s)

    def _restart_items(self):
        """Starts items again whose version has no engine in their pool.

        Pools are those of the route; a new configuration may name others.
        """
        for held_job in self._held_jobs.values():
            if not held_job.partial_outputs:
                continue
            route = self._demand.find_route(held_job)
            versions = {
                (engine.version, pool)
                for pool in (route.pools if route else ())
                for engine in self._parts.state.engines(pool)
            }
            if not versions:
                continue
            for index in held_job.restart_items(
                versions, jobstore.new_output_id
            ):
                self._parts.log.event(
                    "item.restarted",
                    job=held_job.outline.id,
                    item=held_job.outline.items[index].id,
                    versions=sorted(versions),
                )

    def _start_without_hub(self, wanted, needs, now_s):
        load_tracker = self._parts.load_tracker
        limits = self._parts.limits
        daemon_count = self._parts.slots.daemon_count
        tried = collections.Counter()
        for slot in wanted.values():
            need = needs[slot.id]
            tried[need] += 1
            if slot.probe or tried[need] > STARTS_PER_TICK_MAX:
                continue
            engines = limits.sendable(
                [
                    engine
                    for engine in self._parts.state.engines(slot.pool)
                    if slot.version in (None, engine.version)
                ],
                daemon_count,
                now_s,
            )
            engine = load_tracker.choose_batch_engine(
                engines, now_s, slot.late
            )
            if engine is None:
                continue
            paths = self._parts.paths
            through = ""
            if paths.is_doubtful or paths.is_unreached(engine.id):
                through = paths.choose_peer(())
            run_id = self._parts.slots.next_run_id()
            if self._start_item(run_id, slot.id, engine, through):
                limits.take(engine, daemon_count, now_s)

    def _use_grant(self, message):
        """Starts the item for which the hub granted a slot."""
        engine = self._parts.state.roster.get(message.engine_id)
        is_usable = engine is not None and self._parts.state.is_usable(engine)
        if (
            not is_usable
            or self._stopping
            or not self._start_item(
                message.run_id, message.run_id, engine, message.through
            )
        ):
            self._parts.slots.return_grant(message.run_id)

    def _start_item(self, run_id, wanted_id, engine, through):
        """Starts a wanted item; returns False if it need not run now.

        `through` is the address of a peer that relays it, or empty.
        """
        now_s = time.monotonic()
        found = [
            wanted
            for wanted, known_id in self._wanted.items()
            if known_id == wanted_id
        ]
        if not found:
            return False
        key, index = found[0]
        held_job = self._held_jobs.get(key)
        if held_job is None or index not in held_job.runnable_indexes(now_s):
            return False
        found = self._demand.check_quarantine(
            held_job.outline.items[index], now_s
        )
        if isinstance(found, quarantine.Blocked):
            return False
        route = self._demand.find_route(held_job)
        if route is None or engine.pool not in route.pools:
            return False
        if self._demand.avoids(held_job, index, engine, now_s):
            # The hub would grant the same engine again at once.
            held_job.delay_item(index, now_s)
            return False
        partial = held_job.begin_output(index, jobstore.new_output_id())
        if not partial.can_go_on(engine.version, engine.pool):
            return False
        if not partial.texts:
            partial.version = engine.version
            partial.pool = engine.pool
        del self._wanted[key, index]
        held_job.running.add(index)
        late = self._demand.is_late(held_job, index, now_s)
        remaining_s = self._demand.remaining_s(held_job, index)
        tokens = wire.output_tokens_of(held_job.outline.items[index])
        bound = answerbounds.bound_of(tokens)
        run = holdermessages.ItemRun(
            run_id,
            key,
            index,
            engine,
            partial,
            through,
            lambda: engineclient.Call(
                self._parts.answers.of(engine.id, bound)
            ),
        )
        self._item_runs[run_id] = run
        self._parts.slots.start_run(
            run_id,
            engine.id,
            granted=run_id == wanted_id,
            batch=True,
            late=late,
            deadline_s=held_job.deadline_s,
            organisation=held_job.outline.organisation,
            end_s=now_s + remaining_s if remaining_s else None,
            preemptions=partial.preemptions,
            tokens=self._demand.tokens_of(held_job, index),
        )
        self._item_executor.submit(
            self._call_logged, self._run_item, run, held_job, engine
        )
        return True

    def _stop_preempted_runs(self, message):
        """Stops items whose slots the hub gave to online requests."""
        for run_id in message.run_ids:
            run = self._item_runs.get(run_id)
            if run is None:
                continue
            if not run.stop_requested:
                # The hub repeats a preemption until the run has ended.
                run.partial.preemptions += 1
            run.stop()

    def _run_item(self, run, held_job, engine):
        def should_stop():
            return (
                run.stop_requested
                or self._held_jobs.get(run.key) is not held_job
            )

        outcome = items.InterruptedRun("internal error of the daemon", False)
        account = self._parts.budget.account(memorybudget.Kind.BODY, run.key)
        try:
            item = self._job_store.read_item(*run.key, run.index, account)
            if isinstance(item, batchjob.Item):
                outcome = self._run_loaded_item(
                    run, held_job, engine, item, should_stop
                )
            else:
                outcome = items.InterruptedRun(_unread_reason(item), False)
        finally:
            account.close()
            self.actor_ref.tell(holdermessages.ItemRunFinished(run, outcome))

    def _run_loaded_item(self, run, held_job, engine, item, should_stop):
        observer = itemobserver.SlotObserver(self._parts, engine, item)
        outcome = items.run_item(
            self._parts.paths,
            held_job.outline,
            item,
            engine,
            run,
            should_stop,
            observer,
        )
        self._report_lost(run, engine, item, outcome)
        return outcome

    def _report_lost(self, run, engine, item, outcome):
        """Has it found out why the connection of a run failed or ended."""
        if run.stop_requested or not (
            isinstance(outcome, items.InterruptedRun) and outcome.may_be_path
        ):
            return
        parts = wire.shared_parts(item)
        crash = None
        if parts and _may_have_crashed_engine(run, outcome):
            key = quarantine.item_key(item.id)
            crash = pathmonitor.Crash(key, parts, outcome.has_head)
        self._parts.paths.report_lost(
            pathmonitor.LostRun(engine, outcome.unreached, crash)
        )

    def _finish_item_run(self, message):
        run = message.run
        del self._item_runs[run.id]
        outcome = message.outcome
        self._parts.slots.end_run(
            run.id, items.engine_outcome(outcome), run.pace_s, run.first_s
        )
        label = outcome.label
        self._parts.metrics.items.labels(label).inc()
        held_job = self._held_jobs.get(run.key)
        if (
            held_job is None
            or held_job.partial_outputs.get(run.index) is not run.partial
        ):
            run.partial.close()
            return
        item = held_job.outline.items[run.index]
        self._apply_outcome(held_job, run, item, outcome)
        held_job.end_run(run.index, run.partial)
        if isinstance(outcome, items.CompletedRun):
            self._record_done(held_job, run, item, outcome)
        else:
            self._parts.log.event(
                "item.not_done",
                job=held_job.outline.id,
                item=item.id,
                engine=run.engine,
                outcome=label,
                reason=getattr(outcome, "reason", ""),
                events=len(run.partial.texts),
                run_events=len(run.partial.texts) - run.events_before,
                version=run.version,
                parts=wire.shared_parts(item),
                failures=held_job.failure_count(run.index),
                **self._parts.state.age_fields(),
            )
        self._commit_if_due(run.key, held_job, time.monotonic())

    def _record_done(self, held_job, run, item, outcome):
        """Counts and logs how the end of an item's output was known."""
        end = "framed" if outcome.framed else "inferred"
        self._parts.metrics.item_ends.labels(end).inc()
        self._parts.log.event(
            "item.done",
            job=held_job.outline.id,
            item=item.id,
            engine=run.engine,
            end=end,
            first_id=run.partial.first_id,
            last_id=run.partial.last_id,
            run_events=len(run.partial.texts) - run.events_before,
            version=run.version,
        )

    def _apply_outcome(self, held_job, run, item, outcome):
        index = run.index
        now_s = time.monotonic()
        if isinstance(outcome, items.CompletedRun):
            self._parts.load_tracker.record_success(run.engine)
            duration_s = run.last_event_s - run.began_s
            events = len(run.partial.texts) - run.events_before
            if not run.events_before:
                self._durations.add_sample(item.tokens, events, duration_s)
            self._report_failed_engines(held_job, index)
            held_job.finish_item(
                index,
                batchjob.Result(
                    item.id, batchjob.FinalStatus.DONE, run.partial.text
                ),
            )
        elif isinstance(outcome, items.UnprocessableItem):
            held_job.give_up_item(index)
        elif isinstance(outcome, items.FailedRun):
            self._count_failure(held_job, run)
        else:
            held_job.running.discard(index)
            if items.drops_output(outcome):
                held_job.restart_item(index, jobstore.new_output_id())
            if items.is_unsound(outcome):
                self._note_unsound_answer(held_job, run)
                held_job.avoid_engine(index, run.engine, now_s)
            elif outcome.is_engine_failure:
                self._parts.load_tracker.record_failure(run.engine, now_s)
        if not run.stop_requested:
            held_job.postpone_item(index, _setback(run, outcome), now_s)

    def _count_failure(self, held_job, run):
        index = run.index
        route = self._demand.find_route(held_job)
        if route is None:
            held_job.running.discard(index)
            return
        incarnation = self._incarnation(run)
        if incarnation is not None:
            failed_at = held_job.failed_at.setdefault(index, [])
            failed_at.append(incarnation)
        held_job.fail_item(index, route.attempts_max)

    def _note_unsound_answer(self, held_job, run):
        """Notes an engine whose answer to an item was unsound, once."""
        incarnation = self._incarnation(run)
        failed_at = held_job.failed_at.setdefault(run.index, [])
        if incarnation is not None and incarnation not in failed_at:
            failed_at.append(incarnation)

    def _incarnation(self, run):
        """Returns the incarnation of a run's engine, or None if it left."""
        engine = self._parts.state.roster.get(run.engine)
        return None if engine is None else leaving.incarnation(engine)

    def _report_failed_engines(self, held_job, index):
        """Reports the engines that failed an item which now is complete.

        Until then, the item itself may be what fails.
        """
        for failed in held_job.failed_at.pop(index, ()):
            engine = self._parts.state.roster.get(failed.engine)
            if engine is not None and leaving.incarnation(engine) == failed:
                self._parts.slots.record_engine_failure(engine.id)

    # Commits.

    def _commit_if_due(self, key, held_job, now_s):
        commit = self._next_commit(held_job, now_s)
        if commit is not None:
            self._call_store(self._run_commit, key, held_job.outline, commit)

    def _next_commit(self, held_job, now_s):
        """Returns the commit that a job needs now, or None.

        A stopping daemon releases a job for takeover once the results of its
        completed items are written.
        """
        if self._stopping and not held_job.unlisted_results:
            return held_job.release_commit(now_s)
        if not held_job.is_commit_due(now_s):
            return None
        return held_job.next_commit(
            jobstore.COMMIT_RESULTS_MAX, jobstore.COMMIT_BYTES_MAX, now_s
        )

    def _run_commit(self, key, outline, commit):
        outcome = errors.Failure(
            errors.Kind.INTERNAL,
            "internal error of the daemon",
            errors.Outcome.UNKNOWN,
        )
        try:
            outcome = self._job_store.commit(outline, commit)
        finally:
            self.actor_ref.tell(
                holdermessages.CommitFinished(key, commit, outcome)
            )

    def _finish_commit(self, message):
        held_job = self._held_jobs.get(message.key)
        if held_job is None or held_job.pending_commit is not message.commit:
            return
        outcome = message.outcome
        if isinstance(outcome, int):
            self._apply_commit(message, held_job, outcome)
        elif isinstance(outcome, jobstore.JobNotFound):
            self._release_job(message.key, "closed or taken over")
        else:
            self._parts.log.failure(
                "job.unsaved", job=held_job.outline.id, reason=outcome.reason
            )
            self._call_store(
                self._retry_commit,
                message.key,
                held_job.outline,
                message.commit,
            )

    def _apply_commit(self, message, held_job, revision):
        held_job.apply_commit(revision)
        if held_job.is_complete:
            self._release_job(message.key, "complete")
        elif not message.commit.progress.holder:
            self._release_job(message.key, "released for takeover")
        else:
            self._commit_if_due(message.key, held_job, time.monotonic())

    def _release_job(self, key, reason):
        host, job_id = key
        self._drop_job(holdermessages.DropJob(host, job_id, reason))

    def _retry_commit(self, key, outline, commit):
        time.sleep(RETRY_DELAY_S)
        self._run_commit(key, outline, commit)

    # Takeovers.

    def _scan(self, after):
        outcome = holdermessages.ScanFailure("internal error of the daemon")
        try:
            outcome = self._takeovers.scan(after)
        finally:
            self.actor_ref.tell(outcome)

    def _apply_scan(self, message):
        self._scanning = False
        if self._scan_failed:
            self._parts.log.event("jobs.observed")
        self._scan_failed = False
        now_s = time.monotonic()
        self._scan_revision = message.revision
        closed_keys = list(message.closed_keys)
        if message.is_full:
            listed_keys = {(job.host, job.job_id) for job in message.open_jobs}
            closed_keys = [
                key for key in self._observer.keys() if key not in listed_keys
            ]
        for open_job in message.open_jobs:
            key = (open_job.host, open_job.job_id)
            self._observer.observe(
                key, open_job.revision, open_job.progress, now_s
            )
            self._drop_if_taken_over(key, open_job)
        for host, job_id in closed_keys:
            self._observer.remove((host, job_id))
            self._drop_job(holdermessages.DropJob(host, job_id, "closed"))
        self._take_over_abandoned_jobs(now_s)

    def _drop_if_taken_over(self, key, open_job):
        if (
            key in self._held_jobs
            and open_job.progress.holder != self._parts.me
        ):
            host, job_id = key
            self._drop_job(
                holdermessages.DropJob(
                    host, job_id, f"held by {open_job.progress.holder}"
                )
            )

    def _apply_scan_failure(self, message):
        self._scanning = False
        if not self._scan_failed:
            self._parts.log.failure("jobs.unobserved", reason=message.reason)
        self._scan_failed = True
        if message.history_compacted:
            self._scan_revision = None
        self._observer.restart_waits(time.monotonic())

    def _take_over_abandoned_jobs(self, now_s):
        if self._stopping:
            return
        abandoned = self._observer.jobs_to_take_over(
            now_s, self._held_jobs, self._member_ids(), self._parts.me
        )
        for key in abandoned[:TAKEOVERS_PER_SCAN_MAX]:
            observed = self._observer.begin_takeover(key)
            host, job_id = key
            open_job = jobstore.OpenJob(
                host, job_id, observed.revision, observed.progress, 0
            )
            self._call_store(self._take_over_job, open_job)

    def _take_over_job(self, open_job):
        """Tells the actor the outcome in any case, as it waits for it."""
        outcome = holdermessages.TakeoverFailed(open_job.host, open_job.job_id)
        try:
            outcome = self._takeovers.take_over(open_job) or outcome
        finally:
            self.actor_ref.tell(outcome)

    def _end_failed_takeover(self, message):
        key = (message.host, message.job_id)
        self._observer.end_takeover(key, time.monotonic())

    def _stop_holding(self, _):
        """Stops starting items and releases the held jobs for takeover."""
        self._stopping = True
        for key, held_job in list(self._held_jobs.items()):
            self._commit_if_due(key, held_job, time.monotonic())


def _unread_reason(found):
    """Returns why an item could not be read: JobNotFound or a Failure."""
    return getattr(found, "reason", "the item's record is gone")


def _setback(run, outcome):
    """Returns the Setback with which a run ended, or None."""
    if items.is_unsound(outcome):
        return batchjob.Setback.UNSOUND
    if _may_have_crashed_engine(run, outcome):
        return batchjob.Setback.LOST
    return None


def _may_have_crashed_engine(run, outcome):
    """Whether a run lost its engine before the item's answer had begun."""
    return (
        isinstance(outcome, items.InterruptedRun)
        and outcome.lost
        and len(run.partial.texts) < exchange.BEGUN_EVENTS
    )


_HANDLERS = {
    holdermessages.HoldJob: "_hold_submitted_job",
    holdermessages.JobTakeover: "_hold_taken_over_job",
    holdermessages.TakeoverFailed: "_end_failed_takeover",
    holdermessages.DropJob: "_drop_job",
    holdermessages.Tick: "_tick",
    holdermessages.SlotGranted: "_use_grant",
    holdermessages.RunsPreempted: "_stop_preempted_runs",
    holdermessages.ItemRunFinished: "_finish_item_run",
    holdermessages.CommitFinished: "_finish_commit",
    holdermessages.OpenJobsScan: "_apply_scan",
    holdermessages.ScanFailure: "_apply_scan_failure",
    holdermessages.Stop: "_stop_holding",
}
