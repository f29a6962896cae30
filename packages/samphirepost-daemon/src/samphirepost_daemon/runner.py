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
        active_tables,
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
        self._active_tables = active_tables
        self._dispatcher = dispatcher
        self._input_reader = runnerstate.InputReader(objects)
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
        placement_inputs = (self._active_tables.revision, serving)
        if placement_inputs == self._placement_inputs:
            return
        self._placement_inputs = placement_inputs
        admitted = {}
        for name, pools in runnerstate.pools_by_target(
            self._active_tables.tables
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
            engine = runnerstate.TargetBatchState()
        engine.pools = frozenset(pools)
        engine.limit.headroom = min(p.online_headroom for p in pools.values())
        engine.limit.limit_max = min(p.batch_limit_max for p in pools.values())
        engine.limit.fixed_limit = max(
            p.batch_fixed_limit for p in pools.values()
        )
        return engine

    def _adjust_limit(self, engine, now_s):
        while engine.token_intervals_ms:
            engine.limit.record_token_interval(
                engine.token_intervals_ms.popleft()
            )
        engine.limit.adjust(len(engine.running), now_s)

    def _admit_items(self, name, engine, now_s):
        engine.limit.record_online(engine.count_online(now_s), now_s)
        limit = engine.limit.current_limit(now_s)
        if now_s < engine.paused_until_s or self._stopping:
            limit = 0
        metrics.BATCH_LIMIT.labels(name).set(limit)
        excess = len(engine.running) - limit
        if excess > 0:
            self._preempt_items(engine, excess)
            return
        self._release_expired(engine, now_s)
        while engine.queue and len(engine.running) < limit:
            if not self._can_start(engine.queue[0]):
                return
            self._start_item(name, engine, engine.queue.popleft())
        free_slots = limit - len(engine.running)
        if free_slots > 0 and not engine.is_pulling:
            self._pull_items(name, engine, free_slots)

    def _preempt_items(self, engine, excess):
        """Interrupts the items started last; they resume later."""
        for execution in engine.running[-excess:]:
            if execution.accepted.idempotent and not execution.preempted:
                execution.preempted = True
                execution.interrupt.trigger(_PREEMPTED)
                metrics.ITEMS_PREEMPTED.inc()

    def _release_expired(self, engine, now_s):
        """Releases items queued for more than QUEUE_WAIT_MAX_S.

        Items whose start is recorded are not released.
        """
        for execution in list(engine.queue):
            if (
                now_s - execution.queued_s > QUEUE_WAIT_MAX_S
                and not execution.started
            ):
                engine.queue.remove(execution)
                self._release_item(execution)

    def _can_start(self, execution):
        """Returns whether an item may start now.

        An item that may have crashed an earlier runner is isolated: it runs
        only while this daemon has no other item.
        """
        return not execution.isolated or not self._has_other_items(execution)

    def _has_other_items(self, execution):
        return any(
            other is not execution
            for engine in self._engines.values()
            for other in (*engine.running, *engine.queue)
        )

    def _start_item(self, name, engine, execution):
        execution.target = name
        execution.preempted = False
        execution.interrupt = workitem.Interrupt()
        engine.running.append(execution)
        self._pool.submit(self._run_item, execution, engine.token_intervals_ms)

    def _pull_items(self, name, engine, free_slots):
        pending = self._pending_partitions()
        blocked = (
            self._has_isolated_item()
            or len(self._outbox) > PENDING_RESULTS_MAX
        )
        if not pending or blocked:
            return
        engine.is_pulling = True
        can_isolate = not self._claims and not self._is_pulling_elsewhere(
            engine
        )
        routes = tuple(
            route
            for route, row in self._active_tables.tables.routes.items()
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
            other.is_pulling
            for other in self._engines.values()
            if other is not engine
        )

    def _has_isolated_item(self):
        return any(
            execution.isolated
            for engine in self._engines.values()
            for execution in (*engine.running, *engine.queue)
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
            self.actor_ref.tell(
                runnermessages.PullFinished(name, tuple(grants))
            )

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
    def _(self, message: runnermessages.PullFinished):
        engine = self._engines.get(message.target)
        for grant in message.grants:
            self._claims[grant.claim] = runnerstate.HeldClaim(grant)
            for item in grant.items:
                execution = runnerstate.ItemExecution(grant, item)
                if engine is None:
                    self._release_item(execution)
                else:
                    self._queue_item(execution, engine)
        if engine is None:
            return
        engine.is_pulling = False
        now_s = self._clock.monotonic_s()
        if message.grants:
            self._admit_items(message.target, engine, now_s)

    def _run_item(self, execution, token_intervals_ms):
        """Runs one item; called in a thread of the pool."""
        try:
            outcome = self._run_until_outcome(execution, token_intervals_ms)
        except Exception as exc:
            eliot.log_message(message_type="item:error", error=repr(exc))
            outcome = errors.Failure(
                errors.Kind.TARGET_FAILED, repr(exc), errors.Outcome.UNKNOWN
            )
        self.actor_ref.tell(
            runnermessages.ExecutionFinished(execution, outcome)
        )

    def _run_until_outcome(self, execution, token_intervals_ms):
        failure = self._prepare_item(execution)
        if failure is not None:
            return failure
        chunks = self._dispatcher.run(execution.work)
        tokens = metrics.TOKENS.labels("batch")
        previous_s = None
        while True:
            try:
                chunk = next(chunks)
            except StopIteration as stop:
                return stop.value
            now_s = self._clock.monotonic_s()
            if previous_s is not None:
                token_intervals_ms.append(
                    (now_s - previous_s) * 1000 / chunk.count
                )
            previous_s = now_s
            tokens.inc(chunk.count)

    def _prepare_item(self, execution):
        """Reads the input and, if need be, records the start of the item.

        Returns a Failure or None.
        """
        if execution.work is None:
            line = self._input_reader.read_line(
                execution.accepted, execution.item
            )
            if isinstance(line, errors.Failure):
                return errors.Failure(line.kind, line.reason)
            work_item = self._make_work_item(execution, line)
            if isinstance(work_item, errors.Failure):
                return work_item
            execution.work = work_item
        execution.work.preferred_target = execution.target
        execution.work.interrupt = execution.interrupt
        execution.work.attempts = 0
        if execution.accepted.idempotent or execution.started:
            return None
        return self._record_start(execution)

    def _record_start(self, execution):
        command = messages.StartItem(
            execution.accepted.work, execution.item, execution.claim
        )
        work_id = execution.accepted.work
        reply = self._owners.request_for_work(
            work_id, command, START_TIMEOUT_S
        )
        if isinstance(reply, errors.Failure):
            return errors.Failure(errors.Kind.CANCELLED, reply.reason)
        execution.started = True
        return None

    def _make_work_item(self, execution, line):
        accepted = execution.accepted
        row = online.find_route(
            self._active_tables.tables, accepted.route, accepted.caller
        )
        if isinstance(row, errors.Failure):
            return row
        item_body = msgspec.json.decode(line, type=uploads.ItemLine).body
        payload = runnerstate.make_payload(
            self._target_kind(row.pool), item_body
        )
        work_id = f"{accepted.work}-{execution.item}"
        work_item = workitem.WorkItem(
            work_id, accepted.caller, accepted.route, row, payload, ""
        )
        work_item.online = False
        work_item.idempotent = accepted.idempotent
        now = self._clock.now()
        work_item.deadline_unix_s = accepted.deadline_unix_s
        remaining_s = accepted.deadline_unix_s - now.unix_s
        work_item.deadline_s = now.monotonic_s + remaining_s
        return work_item

    def _target_kind(self, pool):
        row = self._active_tables.tables.pools.get(pool)
        return tables.TargetKind.ENGINE if row is None else row.targets[0].kind

    @_receive.register
    def _(self, message: runnermessages.ExecutionFinished):
        execution = message.execution
        engine = self._engines.get(execution.target)
        if engine is not None and execution in engine.running:
            engine.running.remove(execution)
        self._handle_outcome(execution, engine, message.outcome)

    def _handle_outcome(self, execution, engine, outcome):
        if not isinstance(outcome, errors.Failure):
            line = results.response_line(outcome)
            self._finish_item(execution, jobs.ItemState.DONE, line)
        elif outcome is _PREEMPTED:
            self._requeue_preempted(execution, engine)
        elif outcome.kind is errors.Kind.CANCELLED:
            self._drop_item(execution)
        elif outcome.kind in (
            errors.Kind.REFUSED_BY_TARGET,
            errors.Kind.ROUTE_MISSING,
            errors.Kind.DEADLINE_PASSED,
        ):
            self._finish_failed(execution, outcome)
        elif outcome.outcome is errors.Outcome.UNKNOWN:
            self._handle_unknown(execution, engine, outcome)
        else:
            self._handle_not_run(execution, engine)

    def _requeue_preempted(self, execution, engine):
        """Queues a preempted item first; it resumes after its last token."""
        if engine is None or self._stopping:
            self._release_item(execution)
        else:
            execution.queued_s = self._clock.monotonic_s()
            engine.queue.appendleft(execution)

    def _queue_item(self, execution, engine):
        execution.queued_s = self._clock.monotonic_s()
        engine.queue.append(execution)

    def _handle_unknown(self, execution, engine, outcome):
        """Handles an item that may have run without a complete answer."""
        execution.failures += 1
        if not execution.accepted.idempotent:
            self._finish_item(
                execution, jobs.ItemState.UNKNOWN, results.error_line(outcome)
            )
        elif execution.failures >= ITEM_FAILURES_MAX:
            exhausted = errors.Failure(
                errors.Kind.ATTEMPTS_EXHAUSTED,
                outcome.reason,
                errors.Outcome.UNKNOWN,
            )
            self._finish_failed(execution, exhausted)
        elif engine is None:
            self._release_item(execution)
        else:
            self._queue_item(execution, engine)

    def _handle_not_run(self, execution, engine):
        if engine is not None:
            now_s = self._clock.monotonic_s()
            engine.paused_until_s = now_s + NOT_RUN_PAUSE_S
        if execution.started and engine is not None:
            self._queue_item(execution, engine)
            return
        self._release_item(execution)

    def _finish_failed(self, execution, failure):
        self._finish_item(
            execution, jobs.ItemState.FAILED, results.error_line(failure)
        )

    def _finish_item(self, execution, state, line):
        metrics.ITEMS.labels(state.name.lower()).inc()
        result = messages.ItemResult(execution.item, int(state), line)
        self._outbox.add_finished(
            outbox_module.FinishedItem(
                execution.accepted.work, execution.claim, result
            )
        )
        self._drop_item(execution)

    def _release_item(self, execution):
        self._outbox.add_unfinished(
            outbox_module.UnfinishedItem(
                execution.accepted.work, execution.claim, execution.item
            )
        )
        self._drop_item(execution)

    def _drop_item(self, execution):
        held_claim = self._claims.get(execution.claim)
        if held_claim is None:
            return
        held_claim.items.discard(execution.item)
        if not held_claim.items:
            del self._claims[execution.claim]

    @_receive.register
    def _(self, message: runnermessages.GetClaims):
        found = {}
        for claim, held_claim in self._claims.items():
            found.setdefault(held_claim.partition, []).append(claim)
        return found

    @_receive.register
    def _(self, message: runnermessages.HasClaims):
        return bool(self._claims)

    @_receive.register
    def _(self, message: runnermessages.ClaimsLost):
        lost_claims = set(message.claims)
        for engine in self._engines.values():
            for execution in engine.running:
                if execution.claim in lost_claims:
                    execution.interrupt.trigger(_CLAIM_LOST)
            remaining = [
                execution
                for execution in engine.queue
                if execution.claim not in lost_claims
            ]
            engine.queue = collections.deque(remaining)
        for claim in lost_claims:
            self._claims.pop(claim, None)

    def _release_engine(self, engine):
        """Releases the queued items and preempts the running ones.

        Running items that are not idempotent run to completion.
        """
        for execution in engine.running:
            if execution.accepted.idempotent:
                execution.interrupt.trigger(_PREEMPTED)
        for execution in engine.queue:
            self._release_item(execution)
        engine.queue.clear()

    @_receive.register
    def _(self, message: runnermessages.Stop):
        self._stopping = True
        for engine in self._engines.values():
            self._release_engine(engine)
