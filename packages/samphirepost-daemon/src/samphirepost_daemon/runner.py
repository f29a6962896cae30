"""Actor that admits batch items to targets and runs them.

The daemon runs the items of the targets that it admits batch work for, each
in a thread of a pool.
"""

import collections
import concurrent.futures
import functools
import uuid

import eliot
import msgspec
import pykka

from samphirepost import errors
from samphirepost import hashing
from samphirepost import jobs
from samphirepost import messages
from samphirepost import placement
from samphirepost import tables
from samphirepost_daemon import metrics
from samphirepost_daemon import online
from samphirepost_daemon import outbox as outbox_module
from samphirepost_daemon import results
from samphirepost_daemon import runnermessages
from samphirepost_daemon import runnerstate
from samphirepost_daemon import uploads
from samphirepost_daemon import workitem

THREADS_MAX = 512
PULL_TIMEOUT_S = 3.0
START_TIMEOUT_S = 5.0
PENDING_RESULTS_MAX = 2000
NOT_RUN_PAUSE_S = 0.5
QUEUE_WAIT_MAX_S = 10.0
ITEM_FAILURES_MAX = 3
_PREEMPTED = errors.Failure(
    errors.Kind.OVERLOADED, "preempted by online work", errors.Outcome.UNKNOWN
)
_CLAIM_LOST = errors.Failure(
    errors.Kind.CANCELLED, "the claim was lost", errors.Outcome.UNKNOWN
)


class Runner(pykka.ThreadingActor):
    """Pulls, admits, runs, preempts and resumes batch items."""

    def __init__(
        self,
        name,
        cfg,
        clock,
        owners,
        directory,
        current,
        dispatcher,
        objects,
        outbox,
    ):
        super().__init__()
        self._name = name
        self._cfg = cfg
        self._clock = clock
        self._owners = owners
        self._directory = directory
        self._current = current
        self._dispatcher = dispatcher
        self._inputs = runnerstate.Inputs(objects)
        self._outbox = outbox
        self._engines = {}
        self._claims = {}
        self._placement_inputs = None
        self._stopping = False
        self._pool = concurrent.futures.ThreadPoolExecutor(THREADS_MAX)

    def on_receive(self, message):
        return self._receive(message)

    def on_stop(self):
        self._pool.shutdown(wait=False, cancel_futures=True)

    @functools.singledispatchmethod
    def _receive(self, message):
        raise TypeError(type(message))

    @_receive.register
    def _(self, message: runnermessages.Hint):
        now_s = self._clock.monotonic_s()
        for name, count in message.burst.targets.items():
            engine = self._engines.get(name)
            if engine is not None:
                engine.hints[message.burst.daemon] = (count, now_s)
                self._admit_items(name, engine, now_s)

    @_receive.register
    def _(self, message: runnermessages.Tick):
        self._update_engines()
        now_s = self._clock.monotonic_s()
        for name, engine in self._engines.items():
            self._adjust_limit(engine, now_s)
            self._admit_items(name, engine, now_s)

    def _update_engines(self):
        """Updates the targets that this daemon admits batch work for."""
        serving = tuple(self._directory.serving_names())
        placement_inputs = (self._current.revision, serving)
        if placement_inputs == self._placement_inputs:
            return
        self._placement_inputs = placement_inputs
        admitted = {}
        for name, pools in runnerstate.pools_by_target(
            self._current.tables
        ).items():
            if placement.admitter(name, serving) == self._name:
                admitted[name] = self._update_engine(name, pools)
        for name in self._engines.keys() - admitted.keys():
            self._release_engine(self._engines[name])
            metrics.BATCH_LIMIT.remove(name)
        self._engines = admitted

    def _update_engine(self, name, pools):
        """Returns the target's state, with its pools' strictest limits."""
        engine = self._engines.get(name)
        if engine is None:
            engine = runnerstate.Engine()
        engine.pools = frozenset(pools)
        engine.limit.headroom = min(p.online_headroom for p in pools.values())
        engine.limit.limit_max = min(p.batch_limit_max for p in pools.values())
        engine.limit.fixed_limit = max(
            p.batch_fixed_limit for p in pools.values()
        )
        return engine

    def _adjust_limit(self, engine, now_s):
        while engine.gaps:
            engine.limit.record_token_interval(engine.gaps.popleft())
        engine.limit.adjust(len(engine.running), now_s)

    def _admit_items(self, name, engine, now_s):
        engine.limit.record_online(engine.online(now_s), now_s)
        limit = engine.limit.current_limit(now_s)
        if now_s < engine.paused_until_s or self._stopping:
            limit = 0
        metrics.BATCH_LIMIT.labels(name).set(limit)
        excess = len(engine.running) - limit
        if excess > 0:
            self._preempt_items(engine, excess)
            return
        self._release_expired(engine, now_s)
        while engine.ready and len(engine.running) < limit:
            if not self._can_start(engine.ready[0]):
                return
            self._start_item(name, engine, engine.ready.popleft())
        free_slots = limit - len(engine.running)
        if free_slots > 0 and not engine.pulling:
            self._pull_items(name, engine, free_slots)

    def _preempt_items(self, engine, excess):
        """Interrupts the items started last; they resume later."""
        for run in engine.running[-excess:]:
            if run.accepted.idempotent and not run.preempted:
                run.preempted = True
                run.interrupt.trigger(_PREEMPTED)
                metrics.ITEMS_PREEMPTED.inc()

    def _release_expired(self, engine, now_s):
        """Releases unstarted items queued for more than QUEUE_WAIT_MAX_S."""
        for run in list(engine.ready):
            if now_s - run.queued_s > QUEUE_WAIT_MAX_S and not run.started:
                engine.ready.remove(run)
                self._release_item(run)

    def _can_start(self, run):
        """Returns whether an item may start now.

        An item that may have crashed an earlier runner is isolated: it runs
        only while this daemon has no other item.
        """
        return not run.solo or not self._has_other_items(run)

    def _has_other_items(self, run):
        return any(
            other is not run
            for engine in self._engines.values()
            for other in (*engine.running, *engine.ready)
        )

    def _start_item(self, name, engine, run):
        run.target = name
        run.preempted = False
        run.interrupt = workitem.Interrupt()
        engine.running.append(run)
        self._pool.submit(self._run_item, run, engine.gaps)

    def _pull_items(self, name, engine, free_slots):
        pending = self._pending_partitions()
        blocked = (
            self._has_isolated_item()
            or len(self._outbox) > PENDING_RESULTS_MAX
        )
        if not pending or blocked:
            return
        engine.pulling = True
        can_isolate = not self._claims and not self._is_pulling_elsewhere(
            engine
        )
        routes = tuple(
            route
            for route, row in self._current.tables.routes.items()
            if row.pool in engine.pools
        )
        self._pool.submit(
            self._request_from_owners,
            name,
            pending,
            routes,
            free_slots,
            can_isolate,
        )

    def _is_pulling_elsewhere(self, engine):
        return any(
            other.pulling
            for other in self._engines.values()
            if other is not engine
        )

    def _has_isolated_item(self):
        return any(
            run.solo
            for engine in self._engines.values()
            for run in (*engine.running, *engine.ready)
        )

    def _pending_partitions(self):
        partitions = {
            partition
            for member in self._directory.view.members
            for partition in member.partitions_waiting
        }
        salt = uuid.uuid4().hex
        return hashing.ranked(salt, [str(n) for n in partitions])

    def _request_from_owners(
        self, name, partitions, routes, free_slots, can_isolate
    ):
        grants = []
        try:
            for partition in partitions:
                if free_slots <= 0:
                    break
                granted = self._request_items(
                    int(partition), routes, free_slots, can_isolate
                )
                grants.extend(granted)
                free_slots -= sum(len(grant.items) for grant in granted)
                can_isolate = can_isolate and not granted
        finally:
            self.actor_ref.tell(runnermessages.Pulled(name, tuple(grants)))

    def _request_items(self, partition, routes, free_slots, can_isolate):
        command = messages.PullItems(
            partition,
            self._name,
            uuid.uuid4().hex,
            routes,
            free_slots,
            can_isolate,
        )
        reply = self._owners.request(partition, command, PULL_TIMEOUT_S)
        if isinstance(reply, messages.PullReply):
            return reply.grants
        return ()

    @_receive.register
    def _(self, message: runnermessages.Pulled):
        engine = self._engines.get(message.target)
        for grant in message.grants:
            self._claims[grant.claim] = runnerstate.Held(grant)
            for item in grant.items:
                run = runnerstate.Run(grant, item)
                if engine is None:
                    self._release_item(run)
                else:
                    self._queue_item(run, engine)
        if engine is None:
            return
        engine.pulling = False
        now_s = self._clock.monotonic_s()
        if message.grants:
            self._admit_items(message.target, engine, now_s)

    def _run_item(self, run, gaps):
        """Runs one item; called in a thread of the pool."""
        try:
            outcome = self._run_until_outcome(run, gaps)
        except Exception as exc:
            eliot.log_message(message_type="item:error", error=repr(exc))
            outcome = errors.Failure(
                errors.Kind.TARGET_FAILED, repr(exc), errors.Outcome.UNKNOWN
            )
        self.actor_ref.tell(runnermessages.Ran(run, outcome))

    def _run_until_outcome(self, run, gaps):
        failure = self._prepare_item(run)
        if failure is not None:
            return failure
        chunks = self._dispatcher.run(run.work)
        tokens = metrics.TOKENS.labels("batch")
        previous_s = None
        while True:
            try:
                chunk = next(chunks)
            except StopIteration as stop:
                return stop.value
            now_s = self._clock.monotonic_s()
            if previous_s is not None:
                gaps.append((now_s - previous_s) * 1000 / chunk.count)
            previous_s = now_s
            tokens.inc(chunk.count)

    def _prepare_item(self, run):
        """Reads the input and, if need be, records the start of the item.

        Returns a Failure or None.
        """
        if run.work is None:
            line = self._inputs.line(run.accepted, run.item)
            if isinstance(line, errors.Failure):
                return errors.Failure(line.kind, line.reason)
            item_work = self._make_work(run, line)
            if isinstance(item_work, errors.Failure):
                return item_work
            run.work = item_work
        run.work.preferred_target = run.target
        run.work.interrupt = run.interrupt
        run.work.attempts = 0
        if run.accepted.idempotent or run.started:
            return None
        return self._record_start(run)

    def _record_start(self, run):
        command = messages.StartItem(run.accepted.work, run.item, run.claim)
        work_id = run.accepted.work
        reply = self._owners.request_work(work_id, command, START_TIMEOUT_S)
        if isinstance(reply, errors.Failure):
            return errors.Failure(errors.Kind.CANCELLED, reply.reason)
        run.started = True
        return None

    def _make_work(self, run, line):
        accepted = run.accepted
        row = online.find_route(
            self._current.tables, accepted.route, accepted.caller
        )
        if isinstance(row, errors.Failure):
            return row
        original = msgspec.json.decode(line, type=uploads.ItemLine).body
        payload = runnerstate.payload(self._target_kind(row.pool), original)
        work_id = f"{accepted.work}-{run.item}"
        item_work = workitem.WorkItem(
            work_id, accepted.caller, accepted.route, row, payload, ""
        )
        item_work.online = False
        item_work.idempotent = accepted.idempotent
        now = self._clock.now()
        item_work.deadline_unix_s = accepted.deadline_unix_s
        remaining_s = accepted.deadline_unix_s - now.unix_s
        item_work.deadline_s = now.monotonic_s + remaining_s
        return item_work

    def _target_kind(self, pool):
        row = self._current.tables.pools.get(pool)
        return tables.TargetKind.ENGINE if row is None else row.targets[0].kind

    @_receive.register
    def _(self, message: runnermessages.Ran):
        run = message.run
        engine = self._engines.get(run.target)
        if engine is not None and run in engine.running:
            engine.running.remove(run)
        self._handle_outcome(run, engine, message.outcome)

    def _handle_outcome(self, run, engine, outcome):
        if not isinstance(outcome, errors.Failure):
            line = results.response_line(outcome)
            self._finish_item(run, jobs.ItemState.DONE, line)
        elif outcome is _PREEMPTED:
            self._requeue_preempted(run, engine)
        elif outcome.kind is errors.Kind.CANCELLED:
            self._drop_item(run)
        elif outcome.kind in (
            errors.Kind.REFUSED_BY_TARGET,
            errors.Kind.ROUTE_MISSING,
            errors.Kind.DEADLINE_PASSED,
        ):
            self._finish_failed(run, outcome)
        elif outcome.outcome is errors.Outcome.UNKNOWN:
            self._handle_unknown(run, engine, outcome)
        else:
            self._handle_not_run(run, engine)

    def _requeue_preempted(self, run, engine):
        """Queues a preempted item first, with the tokens emitted so far."""
        if engine is None or self._stopping:
            self._release_item(run)
        else:
            run.queued_s = self._clock.monotonic_s()
            engine.ready.appendleft(run)

    def _queue_item(self, run, engine):
        run.queued_s = self._clock.monotonic_s()
        engine.ready.append(run)

    def _handle_unknown(self, run, engine, outcome):
        """Handles an item that may have run without a complete answer."""
        run.failures += 1
        if not run.accepted.idempotent:
            self._finish_item(
                run, jobs.ItemState.UNKNOWN, results.error_line(outcome)
            )
        elif run.failures >= ITEM_FAILURES_MAX:
            exhausted = errors.Failure(
                errors.Kind.ATTEMPTS_EXHAUSTED,
                outcome.reason,
                errors.Outcome.UNKNOWN,
            )
            self._finish_failed(run, exhausted)
        elif engine is None:
            self._release_item(run)
        else:
            self._queue_item(run, engine)

    def _handle_not_run(self, run, engine):
        if engine is not None:
            now_s = self._clock.monotonic_s()
            engine.paused_until_s = now_s + NOT_RUN_PAUSE_S
        if run.started and engine is not None:
            self._queue_item(run, engine)
            return
        self._release_item(run)

    def _finish_failed(self, run, failure):
        self._finish_item(
            run, jobs.ItemState.FAILED, results.error_line(failure)
        )

    def _finish_item(self, run, state, line):
        metrics.ITEMS.labels(state.name.lower()).inc()
        result = messages.ItemResult(run.item, int(state), line)
        self._outbox.put(
            outbox_module.Ended(run.accepted.work, run.claim, result)
        )
        self._drop_item(run)

    def _release_item(self, run):
        self._outbox.put_back(
            outbox_module.Back(run.accepted.work, run.claim, run.item)
        )
        self._drop_item(run)

    def _drop_item(self, run):
        held_claim = self._claims.get(run.claim)
        if held_claim is None:
            return
        held_claim.items.discard(run.item)
        if not held_claim.items:
            del self._claims[run.claim]

    @_receive.register
    def _(self, message: runnermessages.Claims):
        found = {}
        for claim, held_claim in self._claims.items():
            found.setdefault(held_claim.partition, []).append(claim)
        return found

    @_receive.register
    def _(self, message: runnermessages.Busy):
        return bool(self._claims)

    @_receive.register
    def _(self, message: runnermessages.ClaimsLost):
        lost_claims = set(message.claims)
        for engine in self._engines.values():
            for run in engine.running:
                if run.claim in lost_claims:
                    run.interrupt.trigger(_CLAIM_LOST)
            remaining = [r for r in engine.ready if r.claim not in lost_claims]
            engine.ready = collections.deque(remaining)
        for claim in lost_claims:
            self._claims.pop(claim, None)

    def _release_engine(self, engine):
        for run in engine.running:
            if run.accepted.idempotent:
                run.interrupt.trigger(_PREEMPTED)
        for run in engine.ready:
            self._release_item(run)
        engine.ready.clear()

    @_receive.register
    def _(self, message: runnermessages.Stop):
        self._stopping = True
        for engine in self._engines.values():
            self._release_engine(engine)
