"""The actor that admits batch work to this daemon's engines and runs it."""

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
from samphirepost_daemon import runs
from samphirepost_daemon import uploads
from samphirepost_daemon import work

THREADS = 512
PULL_WAIT_S = 3.0
START_WAIT_S = 5.0
UNSAVED_MAX = 2000
BACKOFF_S = 0.5
QUEUE_S = 10.0
FAILURES_MAX = 3
_PREEMPTED = errors.Failure(
    errors.Kind.OVERLOADED, "preempted by online work", errors.Outcome.UNKNOWN
)
_CLAIM_LOST = errors.Failure(
    errors.Kind.CANCELLED, "the claim was lost", errors.Outcome.UNKNOWN
)


class Runner(pykka.ThreadingActor):
    """Admits, runs, preempts and resumes batch items."""

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
        self._inputs = runs.Inputs(objects)
        self._outbox = outbox
        self._engines = {}
        self._claims = {}
        self._placed = None
        self._stopping = False
        self._pool = concurrent.futures.ThreadPoolExecutor(THREADS)

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
                self._admit(name, engine, now_s)

    @_receive.register
    def _(self, message: runnermessages.Tick):
        self._place()
        now_s = self._clock.monotonic_s()
        for name, engine in self._engines.items():
            self._measure(engine, now_s)
            self._admit(name, engine, now_s)

    def _place(self):
        """Finds the targets that this daemon admits batch work to."""
        serving = tuple(self._directory.serving_names())
        placed = (self._current.revision, serving)
        if placed == self._placed:
            return
        self._placed = placed
        mine = {}
        for name, pools in runs.pools_by_target(self._current.tables).items():
            if placement.admitter(name, serving) == self._name:
                mine[name] = self._engine(name, pools)
        for name in self._engines.keys() - mine.keys():
            self._hand_back(self._engines[name])
            metrics.BATCH_LIMIT.remove(name)
        self._engines = mine

    def _engine(self, name, pools):
        """Returns the engine's state; the strictest of its pools counts."""
        engine = self._engines.get(name)
        if engine is None:
            engine = runs.Engine()
        engine.pools = frozenset(pools)
        engine.limit.headroom = min(p.online_headroom for p in pools.values())
        engine.limit.limit_max = min(p.batch_limit_max for p in pools.values())
        engine.limit.fixed_limit = max(
            p.batch_fixed_limit for p in pools.values()
        )
        return engine

    def _measure(self, engine, now_s):
        while engine.gaps:
            engine.limit.record_token_interval(engine.gaps.popleft())
        engine.limit.adjust(len(engine.running), now_s)

    def _admit(self, name, engine, now_s):
        engine.limit.record_online(engine.online(now_s), now_s)
        room = engine.limit.current_limit(now_s)
        if now_s < engine.paused_until_s or self._stopping:
            room = 0
        metrics.BATCH_LIMIT.labels(name).set(room)
        over = len(engine.running) - room
        if over > 0:
            self._preempt(engine, over)
            return
        self._expire(engine, now_s)
        while engine.ready and len(engine.running) < room:
            if not self._may_start(engine.ready[0]):
                return
            self._start(name, engine, engine.ready.popleft())
        free = room - len(engine.running)
        if free > 0 and not engine.pulling:
            self._pull(name, engine, free)

    def _preempt(self, engine, over):
        """Ends the streams that were started last, to resume them later."""
        for run in engine.running[-over:]:
            if run.accepted.idempotent and not run.preempted:
                run.preempted = True
                run.interrupt.fire(_PREEMPTED)
                metrics.ITEMS_PREEMPTED.inc()

    def _expire(self, engine, now_s):
        """Hands back items that have waited long for room here."""
        for run in list(engine.ready):
            if now_s - run.queued_s > QUEUE_S and not run.started:
                engine.ready.remove(run)
                self._return(run)

    def _may_start(self, run):
        """An item that may have taken its holder down runs alone."""
        return not run.solo or not self._held_besides(run)

    def _held_besides(self, run):
        return any(
            other is not run
            for engine in self._engines.values()
            for other in (*engine.running, *engine.ready)
        )

    def _start(self, name, engine, run):
        run.target = name
        run.preempted = False
        run.interrupt = work.Interrupt()
        engine.running.append(run)
        self._pool.submit(self._run, run, engine.gaps)

    def _pull(self, name, engine, room):
        waiting = self._waiting()
        blocked = self._has_solo() or len(self._outbox) > UNSAVED_MAX
        if not waiting or blocked:
            return
        engine.pulling = True
        alone = not self._claims and not self._pulling_others(engine)
        routes = tuple(
            route
            for route, row in self._current.tables.routes.items()
            if row.pool in engine.pools
        )
        self._pool.submit(self._ask_all, name, waiting, routes, room, alone)

    def _pulling_others(self, engine):
        return any(
            other.pulling
            for other in self._engines.values()
            if other is not engine
        )

    def _has_solo(self):
        return any(
            run.solo
            for engine in self._engines.values()
            for run in (*engine.running, *engine.ready)
        )

    def _waiting(self):
        found = {
            partition
            for member in self._directory.view.members
            for partition in member.partitions_waiting
        }
        salt = uuid.uuid4().hex
        return hashing.ranked(salt, [str(n) for n in found])

    def _ask_all(self, name, partitions, routes, room, alone):
        grants = []
        try:
            for partition in partitions:
                if room <= 0:
                    break
                found = self._ask(int(partition), routes, room, alone)
                grants.extend(found)
                room -= sum(len(grant.items) for grant in found)
                alone = alone and not found
        finally:
            self.actor_ref.tell(runnermessages.Pulled(name, tuple(grants)))

    def _ask(self, partition, routes, room, alone):
        command = messages.PullItems(
            partition, self._name, uuid.uuid4().hex, routes, room, alone
        )
        reply = self._owners.request(partition, command, PULL_WAIT_S)
        if isinstance(reply, messages.PullReply):
            return reply.grants
        return ()

    @_receive.register
    def _(self, message: runnermessages.Pulled):
        engine = self._engines.get(message.target)
        for grant in message.grants:
            self._claims[grant.claim] = runs.Held(grant)
            for item in grant.items:
                run = runs.Run(grant, item)
                if engine is None:
                    self._return(run)
                else:
                    self._queue(run, engine)
        if engine is None:
            return
        engine.pulling = False
        now_s = self._clock.monotonic_s()
        if message.grants:
            self._admit(message.target, engine, now_s)

    def _run(self, run, gaps):
        """Runs one item in a thread of the pool."""
        try:
            outcome = self._outcome(run, gaps)
        except Exception as exc:
            eliot.log_message(message_type="item:error", error=repr(exc))
            outcome = errors.Failure(
                errors.Kind.TARGET_FAILED, repr(exc), errors.Outcome.UNKNOWN
            )
        self.actor_ref.tell(runnermessages.Ran(run, outcome))

    def _outcome(self, run, gaps):
        failure = self._prepare(run)
        if failure is not None:
            return failure
        steps = self._dispatcher.run(run.work)
        tokens = metrics.TOKENS.labels("batch")
        last_s = None
        while True:
            try:
                token = next(steps)
            except StopIteration as stop:
                return stop.value
            now_s = self._clock.monotonic_s()
            if last_s is not None:
                gaps.append((now_s - last_s) * 1000 / token.count)
            last_s = now_s
            tokens.inc(token.count)

    def _prepare(self, run):
        """Reads the input and starts the item; returns a Failure or None."""
        if run.work is None:
            line = self._inputs.line(run.accepted, run.item)
            if isinstance(line, errors.Failure):
                return errors.Failure(line.kind, line.reason)
            found = self._work(run, line)
            if isinstance(found, errors.Failure):
                return found
            run.work = found
        run.work.pinned = run.target
        run.work.interrupt = run.interrupt
        run.work.tries = 0
        if run.accepted.idempotent or run.started:
            return None
        return self._start_once(run)

    def _start_once(self, run):
        command = messages.StartItem(run.accepted.work, run.item, run.claim)
        work_id = run.accepted.work
        reply = self._owners.request_work(work_id, command, START_WAIT_S)
        if isinstance(reply, errors.Failure):
            return errors.Failure(errors.Kind.CANCELLED, reply.reason)
        run.started = True
        return None

    def _work(self, run, line):
        accepted = run.accepted
        row = online.find_route(
            self._current.tables, accepted.route, accepted.caller
        )
        if isinstance(row, errors.Failure):
            return row
        asked = msgspec.json.decode(line, type=uploads.ItemLine).body
        payload = runs.payload(self._kind(row.pool), asked)
        work_id = f"{accepted.work}-{run.item}"
        found = work.Work(
            work_id, accepted.caller, accepted.route, row, payload, ""
        )
        found.online = False
        found.idempotent = accepted.idempotent
        now = self._clock.now()
        found.deadline_unix_s = accepted.deadline_unix_s
        left_s = accepted.deadline_unix_s - now.unix_s
        found.deadline_s = now.monotonic_s + left_s
        return found

    def _kind(self, pool):
        row = self._current.tables.pools.get(pool)
        return tables.TargetKind.ENGINE if row is None else row.targets[0].kind

    @_receive.register
    def _(self, message: runnermessages.Ran):
        run = message.run
        engine = self._engines.get(run.target)
        if engine is not None and run in engine.running:
            engine.running.remove(run)
        self._end(run, engine, message.outcome)

    def _end(self, run, engine, outcome):
        if not isinstance(outcome, errors.Failure):
            line = results.response_line(outcome)
            self._finish(run, jobs.ItemState.DONE, line)
        elif outcome is _PREEMPTED:
            self._put_aside(run, engine)
        elif outcome.kind is errors.Kind.CANCELLED:
            self._forget(run)
        elif outcome.kind in (
            errors.Kind.REFUSED_BY_TARGET,
            errors.Kind.ROUTE_MISSING,
            errors.Kind.DEADLINE_PASSED,
        ):
            self._fail(run, outcome)
        elif outcome.outcome is errors.Outcome.UNKNOWN:
            self._lost(run, engine, outcome)
        else:
            self._not_run(run, engine)

    def _put_aside(self, run, engine):
        """Keeps a preempted item for later, with what it has emitted."""
        if engine is None or self._stopping:
            self._return(run)
        else:
            run.queued_s = self._clock.monotonic_s()
            engine.ready.appendleft(run)

    def _queue(self, run, engine):
        run.queued_s = self._clock.monotonic_s()
        engine.ready.append(run)

    def _lost(self, run, engine, outcome):
        """The item was sent and its answer did not come."""
        run.failures += 1
        if not run.accepted.idempotent:
            self._finish(
                run, jobs.ItemState.UNKNOWN, results.error_line(outcome)
            )
        elif run.failures >= FAILURES_MAX:
            exhausted = errors.Failure(
                errors.Kind.ATTEMPTS_EXHAUSTED,
                outcome.reason,
                errors.Outcome.UNKNOWN,
            )
            self._fail(run, exhausted)
        elif engine is None:
            self._return(run)
        else:
            self._queue(run, engine)

    def _not_run(self, run, engine):
        if engine is not None:
            now_s = self._clock.monotonic_s()
            engine.paused_until_s = now_s + BACKOFF_S
        if run.started and engine is not None:
            self._queue(run, engine)
            return
        self._return(run)

    def _fail(self, run, failure):
        self._finish(run, jobs.ItemState.FAILED, results.error_line(failure))

    def _finish(self, run, state, line):
        metrics.ITEMS.labels(state.name.lower()).inc()
        result = messages.ItemResult(run.item, int(state), line)
        self._outbox.put(
            outbox_module.Ended(run.accepted.work, run.claim, result)
        )
        self._forget(run)

    def _return(self, run):
        self._outbox.put_back(
            outbox_module.Back(run.accepted.work, run.claim, run.item)
        )
        self._forget(run)

    def _forget(self, run):
        held = self._claims.get(run.claim)
        if held is None:
            return
        held.items.discard(run.item)
        if not held.items:
            del self._claims[run.claim]

    @_receive.register
    def _(self, message: runnermessages.Claims):
        found = {}
        for claim, held in self._claims.items():
            found.setdefault(held.partition, []).append(claim)
        return found

    @_receive.register
    def _(self, message: runnermessages.Busy):
        return bool(self._claims)

    @_receive.register
    def _(self, message: runnermessages.ClaimsLost):
        lost = set(message.claims)
        for engine in self._engines.values():
            for run in engine.running:
                if run.claim in lost:
                    run.interrupt.fire(_CLAIM_LOST)
            kept = [r for r in engine.ready if r.claim not in lost]
            engine.ready = collections.deque(kept)
        for claim in lost:
            self._claims.pop(claim, None)

    def _hand_back(self, engine):
        for run in engine.running:
            if run.accepted.idempotent:
                run.interrupt.fire(_PREEMPTED)
        for run in engine.ready:
            self._return(run)
        engine.ready.clear()

    @_receive.register
    def _(self, message: runnermessages.Stop):
        self._stopping = True
        for engine in self._engines.values():
            self._hand_back(engine)
