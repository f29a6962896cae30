"""Allocates the slots of the engines to the requests of all daemons.

The hub keeps which requests run at each engine, from the daemons' reports
and from its own grants, and answers each request for a slot: an engine, a
place in the queue, or a denial. An online request takes the slot of a batch
item if no other is free. The state is soft: a wrong count costs time in an
engine's queue and nothing else. All instants are monotonic seconds.
"""

import collections
import math

from samphirepost import demandpeaks
from samphirepost import enginehealth
from samphirepost import enginetimes
from samphirepost import expendability
from samphirepost import fairqueue
from samphirepost import poolview
from samphirepost import promptcache
from samphirepost import quotas
from samphirepost import ratelimit
from samphirepost import relays
from samphirepost import slotmessages
from samphirepost import waitqueue

# A daemon that has not reported for this long (s) is not counted.
REPORT_STALE_S = 1.3
# A new hub knows enough once this share of the members have reported, or after
# this time (s) since the first report: members that were lost never report.
INFORMED_SHARE = 0.9
INFORMED_AFTER_S = 1.0
# Interval (s) at which a pool's engines are read again: the larger of these,
# as a read of many engines takes long.
REFRESH_INTERVAL_S = 0.05
REFRESH_PER_ENGINE_S = 0.0002
# Batch items that are compared to find the most expendable one.
ITEMS_COMPARED_MAX = 256
# Wanted items that are passed over in one allocation, as no engine of their
# version has a free slot.
PASSED_ITEMS_MAX = 64
# Totals of a larger fleet would fill the hub's link; its daemons choose among
# so many engines that they rarely meet without them.
TOTALS_ENGINES_MAX = 64
# A grant that its daemon does not report is dropped after this time (s),
# in which the grant and the next report arrive.
UNCONFIRMED_S = 0.3
# Interval (s) after which a preemption that was not followed is sent again.
PREEMPTION_RETRY_S = 0.1
# Share of all slots that late items leave free, besides the reserve for online
# arrivals.
LATE_RESERVE_SHARE = 0.12
# Initial estimate of the time that an online request occupies a slot (s), and
# the weight of each completed request in its moving average.
SERVICE_TIME_INITIAL_S = 0.7
SERVICE_TIME_SAMPLE_SHARE = 0.05


class AllocatedRun:
    """A run that occupies a slot of `engine`.

    `confirmed` once its daemon has reported it; `preempted_s` is the instant
    of its preemption, or None. `claim` is the expendability.Claim of an item.
    `relay` is the VM id of the daemon that relays the run, or None.
    `charged_to` is the organisation whose quota its grant was charged to,
    `charge` the fairqueue.Charge of its slot (None if another hub granted it)
    and `hold` the promptcache.Hold of its prompt, or None. `tokens` are those
    of a run that its daemon reported and this hub has not granted.
    """

    __slots__ = (
        "batch",
        "charge",
        "charged_to",
        "claim",
        "confirmed",
        "engine",
        "granted_s",
        "hold",
        "preempted_s",
        "relay",
        "tokens",
    )

    def __init__(self, engine, batch, granted_s, confirmed):
        self.relay = None
        self.charge = None
        self.charged_to = ""
        self.hold = None
        self.tokens = 0
        self.engine = engine
        self.batch = batch
        self.granted_s = granted_s
        self.confirmed = confirmed
        self.claim = expendability.UNKNOWN
        self.preempted_s = None


class Reporter:
    """A daemon that reports to this hub.

    `run_ids` are those of its runs, `pools` those for which it wants slots,
    `paths` its slotmessages.Paths.
    """

    __slots__ = (
        "address",
        "paths",
        "pools",
        "received_s",
        "run_ids",
        "seq",
        "wanted",
    )

    def __init__(self, address):
        self.pools = frozenset()
        self.paths = slotmessages.NO_PATHS
        self.address = address
        self.received_s = 0.0
        self.seq = -1
        self.run_ids = set()
        self.wanted = {}


class Allocator:
    """The hub's state. Methods return the messages to send.

    Each of these is a pair of an address and a slotmessages.Message. `me` is
    the hub's VM id. `granted` and `preempted` count since the start.
    """

    __slots__ = (
        "_engines",
        "_first_report_s",
        "_item_shares",
        "_me",
        "_peaks",
        "_pool_names",
        "_queues",
        "_reporters",
        "_runs",
        "_views",
        "_wanting",
        "granted",
        "health",
        "limits",
        "preempted",
        "prompts",
        "quotas",
        "relays",
        "service_time_s",
        "times",
    )

    def __init__(self, me, quota_bounds=None):
        self._me = me
        self._reporters = {}
        self._runs = {}
        self._engines = {}
        self._queues = collections.defaultdict(waitqueue.WaitQueue)
        self._item_shares = collections.defaultdict(fairqueue.FairQueue)
        self._views = {}
        self._pool_names = {}
        self._peaks = {}
        self._wanting = set()
        self._first_report_s = None
        self.health = enginehealth.FleetHealth()
        self.times = enginetimes.EngineTimes()
        self.limits = ratelimit.HubLimits()
        self.prompts = promptcache.PromptCaches()
        self.relays = relays.Relays()
        self.quotas = quotas.HubQuotas(quota_bounds or quotas.Bounds())
        self.service_time_s = SERVICE_TIME_INITIAL_S
        self.granted = 0
        self.preempted = 0

    # Reports.

    def apply_report(self, report, address, now_s):
        """Applies a daemon's report, unless a later one was applied.

        Returns the preemptions that the daemon has not followed.
        """
        reporter = self._reporters.get(report.vm)
        if reporter is None:
            reporter = self._reporters[report.vm] = Reporter(address)
        if self._first_report_s is None:
            self._first_report_s = now_s
            self.quotas.reset(now_s)
        if report.seq <= reporter.seq:
            return []
        reporter.address = address
        reporter.seq = report.seq
        reporter.received_s = now_s
        reporter.paths = report.paths
        self.relays.apply(report.vm, address, report.paths)
        for engine_id in report.failed:
            if engine_id in self._pool_names:
                self.health.record_failure(engine_id, report.vm, now_s)
        self.quotas.apply_sent(report.vm, report.sent)
        for name in report.refunds:
            self.quotas.refund(name)
        for end in report.ended:
            self._end_run(report.vm, reporter, end, now_s)
        listed = {run.id: run for run in report.runs}
        for run_id in reporter.run_ids - listed.keys():
            run = self._runs[report.vm, run_id]
            if run.confirmed or now_s - run.granted_s > UNCONFIRMED_S:
                self._settle(run, now_s - run.granted_s)
                self._remove_run(report.vm, reporter, run_id)
        for run in report.runs:
            self._confirm_run(report.vm, reporter, run, now_s)
        reporter.wanted = {
            wanted.id: (wanted, now_s + wanted.left_s)
            for wanted in report.wanted
            if wanted.id not in reporter.run_ids and self._may_fit(wanted)
        }
        reporter.pools = frozenset(
            wanted.pool for wanted, _ in reporter.wanted.values()
        )
        if reporter.wanted:
            self._wanting.add(report.vm)
        else:
            self._wanting.discard(report.vm)
        return self._repeat_preemptions(report.vm, reporter, now_s)

    def _end_run(self, vm, reporter, end, now_s):
        run = self._runs.get((vm, end.id))
        if run is None:
            return
        if end.is_unused and run.charged_to:
            self.quotas.refund(run.charged_to)
        if run.hold is not None:
            run.hold.is_unused = end.is_unused
        if end.outcome is slotmessages.Outcome.OK:
            self.health.record_success(run.engine, now_s)
            if not run.batch:
                self._record_service(run, now_s)
        elif end.outcome is slotmessages.Outcome.FAILED:
            self.health.record_failure(run.engine, vm, now_s)
        self.times.record_end(run.engine, end, now_s)
        self._settle(run, 0.0 if end.is_unused else now_s - run.granted_s)
        self._remove_run(vm, reporter, end.id)

    def _record_service(self, run, now_s):
        service_s = now_s - run.granted_s
        self.service_time_s += SERVICE_TIME_SAMPLE_SHARE * (
            service_s - self.service_time_s
        )
        view = self._view_of(run.engine)
        if view is not None:
            speed = view.speeds.of(run.engine)
            self.times.record_service(run.engine, service_s, speed)

    def _settle(self, run, used_s):
        """Corrects what a run's organisation is charged for its slot."""
        if run.charge is not None:
            run.charge.settle(used_s)
            run.charge = None

    def _confirm_run(self, vm, reporter, run, now_s):
        known = self._runs.get((vm, run.id))
        if known is None:
            known = AllocatedRun(run.engine, run.batch, now_s, True)
            known.tokens = run.tokens
            known.hold = self.prompts.start_reported(run.engine, run.tokens)
            self._add_run(vm, reporter, run.id, known)
            self.limits.take(run.engine, now_s)
            if run.organisation and not run.batch:
                self.quotas.charge(run.organisation, now_s)
        known.confirmed = True
        if run.batch:
            known.claim = expendability.claim_of(run, now_s)

    def _add_run(self, vm, reporter, run_id, run):
        self._runs[vm, run_id] = run
        reporter.run_ids.add(run_id)
        load = self._engines.setdefault(run.engine, poolview.EngineLoad())
        view = self._view_of(run.engine)
        if run.batch:
            load.items.add((vm, run_id))
        else:
            load.online += 1
        if view is not None:
            view.online += not run.batch
            if run.batch:
                view.items.add((vm, run_id))
            elif not run.confirmed:
                # Runs that are only reported began before.
                peaks = self._peaks_at(run.engine)
                peaks.record_start(view.online, run.granted_s)
            view.update(run.engine, load)

    def _remove_run(self, vm, reporter, run_id):
        run = self._runs.pop((vm, run_id))
        reporter.run_ids.discard(run_id)
        self.relays.record_end(run.relay)
        if run.hold is not None:
            run.hold.release()
        load = self._engines[run.engine]
        if not run.batch:
            load.online -= 1
        elif run.preempted_s is None:
            load.items.discard((vm, run_id))
        else:
            load.preempted -= 1
        view = self._view_of(run.engine)
        if view is not None:
            view.online -= not run.batch
            view.items.discard((vm, run_id))
            if not run.batch:
                self._peaks_at(run.engine).record_end()
            view.update(run.engine, load)
        if load.is_idle:
            del self._engines[run.engine]

    def _view_of(self, engine_id):
        """Returns the PoolView that has an engine, or None."""
        view = self._views.get(self._pool_names.get(engine_id))
        if view is None or engine_id not in view.engines:
            return None
        return view

    def _peaks_at(self, engine_id):
        """Returns the DemandPeaks of an engine's pool."""
        pool = self._pool_names[engine_id]
        peaks = self._peaks.get(pool)
        if peaks is None:
            peaks = self._peaks[pool] = demandpeaks.DemandPeaks()
        return peaks

    def _reserved(self, pool, view, now_s):
        """Returns the slots that items leave free for online arrivals."""
        peaks = self._peaks.get(pool, demandpeaks.NONE)
        return peaks.reserved(view.online, now_s)

    def _repeat_preemptions(self, vm, reporter, now_s):
        ids = []
        for run_id in reporter.run_ids:
            run = self._runs[vm, run_id]
            if (
                run.preempted_s is not None
                and now_s - run.preempted_s > PREEMPTION_RETRY_S
            ):
                run.preempted_s = now_s
                ids.append(run_id)
        if not ids:
            return []
        message = slotmessages.Preemption(self._me, tuple(ids))
        return [(reporter.address, message)]

    def drop_stale_reporters(self, now_s):
        """Drops daemons that no longer report, with all their runs.

        Returns their VMs.
        """
        dropped = []
        for vm, reporter in list(self._reporters.items()):
            if now_s - reporter.received_s > REPORT_STALE_S:
                for run_id in list(reporter.run_ids):
                    run = self._runs[vm, run_id]
                    self._settle(run, now_s - run.granted_s)
                    self._remove_run(vm, reporter, run_id)
                del self._reporters[vm]
                self._wanting.discard(vm)
                self.relays.remove(vm)
                dropped.append(vm)
        if not self._reporters:
            self._first_report_s = None
        return dropped

    def reporters(self):
        """Returns the VMs and addresses of the daemons that report."""
        return [(vm, one.address) for vm, one in self._reporters.items()]

    def engine_of(self, vm, run_id):
        """Returns the id of the engine of a daemon's run, or None."""
        run = self._runs.get((vm, run_id))
        return run.engine if run is not None else None

    def has_reporter(self, vm):
        """Whether a daemon reports to this hub."""
        return vm in self._reporters

    def is_informed(self, member_count, now_s):
        """Whether enough of the members have reported what they run.

        Grants by fewer reports would fill engines over their slots.
        """
        if self._first_report_s is None:
            return False
        if now_s - self._first_report_s > INFORMED_AFTER_S:
            return True
        return len(self._reporters) >= INFORMED_SHARE * member_count

    # Engines.

    def needs_engines(self, pool, now_s):
        """Whether set_engines() is due for a pool."""
        view = self._views.get(pool)
        if view is None:
            return True
        interval_s = max(
            REFRESH_INTERVAL_S, REFRESH_PER_ENGINE_S * len(view.engines)
        )
        return now_s - view.refreshed_s >= interval_s

    def set_engines(self, pool, engines, now_s, kv_tokens=0):
        """Sets the engines of a pool that accept new work.

        See routing.Pool for `kv_tokens`.
        """
        is_new = pool not in self._views
        view = self._views.setdefault(pool, poolview.PoolView())
        engine_ids = [engine.id for engine in engines]
        for engine_id in view.engines.keys() - set(engine_ids):
            self._pool_names.pop(engine_id, None)
            self.health.remove(engine_id)
            self.times.remove(engine_id)
            self.prompts.remove(engine_id)
            self.limits.remove(engine_id)
        self.health.set_engines(engines)
        self.times.set_engines(engines)
        self.prompts.set_engines(pool, engines, kv_tokens)
        self.limits.set_engines(engines)
        self._pool_names |= dict.fromkeys(engine_ids, pool)
        speeds = self.times.speeds(pool, engine_ids, now_s)
        view.refresh(engines, self._engines, speeds, now_s)
        if is_new:
            self._hold_reported(view)

    def _hold_reported(self, view):
        """Records what runs hold that were reported before a pool was read."""
        for run in self._runs.values():
            if run.hold is None and run.engine in view.engines:
                run.hold = self.prompts.start_reported(run.engine, run.tokens)

    # Requests.

    def request_slot(self, req, address, now_s):
        """Answers a request for a slot of a pool."""
        reporter = self._reporters.get(req.vm)
        if reporter is None:
            reporter = self._reporters[req.vm] = Reporter(address)
            reporter.received_s = now_s
        if req.id in reporter.run_ids:
            return []
        view = self._views[req.pool]
        if _has_none_left(view, req) or not self._may_fit(req):
            denial = slotmessages.Denial(self._me, req.id, None)
            return [(address, denial)]
        over_quota = self._check_quota(req, now_s)
        if over_quota is not None:
            return [(address, over_quota)]
        queue = self._queues[req.pool]
        if queue.has(req):
            return [(address, slotmessages.Queued(self._me, req.id))]
        if not queue or req.never_deny:
            sent = self._grant_online(req, view, now_s)
            if sent:
                return sent
        if req.never_deny:
            for is_allowed in self._preferences_if_full(req, view, now_s):
                engine = view.least_occupied(is_allowed)
                if engine is not None:
                    return [self._grant_request(req, engine, now_s)]
        return self._queue(queue, req, address, view, now_s)

    def _may_fit(self, req):
        """Whether an idle engine's memory holds a SlotRequest or WantedSlot.

        The engine itself tells why one that is too large cannot run.
        """
        needed = promptcache.tokens_needed(req)
        return self.prompts.may_fit(req.pool, needed)

    def _check_quota(self, req, now_s):
        """Returns the Denial of a request over its quota, or None."""
        if not req.organisation or req.is_charged:
            return None
        wait_s = self.quotas.wait_s(req.organisation, now_s)
        if not wait_s:
            return None
        self.quotas.refused += 1
        return slotmessages.Denial(self._me, req.id, wait_s, over_quota=True)

    def _queue(self, queue, req, address, view, now_s):
        waiting = waitqueue.WaitingRequest(
            req, address, now_s + req.wait_max_s
        )
        refused = queue.admit(waiting, now_s, self._wait_of(view, now_s))
        sent = [self._deny(one) for one in refused]
        if not waiting.has_left:
            sent.append((address, slotmessages.Queued(self._me, req.id)))
        return sent

    def _deny(self, refused):
        waiting = refused.waiting
        denial = slotmessages.Denial(self._me, waiting.req.id, refused.wait_s)
        return (waiting.address, denial)

    def _wait_of(self, view, now_s):
        """Returns a function from the number ahead to the time to wait."""
        return lambda ahead: self._queue_wait_s(ahead, view, now_s)

    def _queue_wait_s(self, ahead, view, now_s):
        """Returns how long a request waits behind `ahead` others (s)."""
        avoided = set(self._avoided(view, now_s))
        rates = self.limits.rates(view.engines.keys() - avoided)
        if rates and len(rates) == len(view.engines) - len(avoided):
            return self.limits.wait_s(rates, ahead + 1, now_s)
        return view.wait_s(ahead, avoided, rates)

    def _avoided(self, view, now_s):
        """Returns the ids of a pool's engines that get no run now."""
        return [
            engine_id
            for engine_id in self.health.suspects
            if engine_id in view.engines
            and self.health.is_avoided(engine_id, now_s)
        ]

    def _grant_online(self, req, view, now_s):
        """Grants a free slot, or that of a batch item; else returns []."""
        for is_allowed in self._preferences(req, view, now_s):
            engine = view.most_free(is_allowed, req.zone)
            if engine is not None:
                engine = self.prompts.choose(
                    req, engine, view, is_allowed, req.zone
                )
                return [self._grant_request(req, engine, now_s)]
            sent = self._preempt(req, view, is_allowed, now_s)
            if sent:
                return sent
        return []

    def _preferences(self, req, view, now_s):
        """Returns tests for engine ids, the strictest first.

        Engines that are reliable, not slow, and reached by the daemon itself
        come first. If all engines of the pool are avoided, any one is better
        than none. None gets more than the limit that it named, or than its
        memory holds.
        """
        needed = promptcache.tokens_needed(req)
        unreached = ()
        if not req.relay:
            unreached = self._reporters[req.vm].paths.unreached

        def is_reliable(engine_id):
            return (
                is_untried(engine_id)
                and engine_id not in self.health.suspects
                and engine_id not in view.slow
                and engine_id not in unreached
            )

        def is_healthy(engine_id):
            return is_untried(engine_id) and self.health.may_try(
                engine_id, req.is_repeatable, now_s
            )

        def is_untried(engine_id):
            return (
                view.is_eligible(engine_id, req)
                and self.limits.allows(engine_id, now_s)
                and self.prompts.fits(engine_id, needed)
            )

        if len(self._avoided(view, now_s)) == len(view.engines):
            return (is_untried,)
        return (is_reliable, is_healthy)

    def _preferences_if_full(self, req, view, now_s):
        """Returns tests for the ids of engines over their slots.

        An engine that fails has the most free slots, as it is avoided.
        """
        needed = promptcache.tokens_needed(req)

        def is_allowed(engine_id):
            return (
                view.is_eligible(engine_id, req)
                and self.limits.allows(engine_id, now_s)
                and self.prompts.fits(engine_id, needed)
            )

        def is_healthy(engine_id):
            return is_allowed(engine_id) and not self.health.is_avoided(
                engine_id, now_s
            )

        return (is_healthy, is_allowed)

    def _preempt(self, req, view, is_allowed, now_s):
        """Grants the slot of the most expendable item, if there is one."""
        key, highest = None, None
        for count, candidate in enumerate(view.items):
            if count >= ITEMS_COMPARED_MAX:
                break
            run = self._runs[candidate]
            if not is_allowed(run.engine):
                continue
            rank = run.claim.rank(now_s)
            if highest is None or rank > highest:
                key, highest = candidate, rank
        if key is None:
            return []
        engine = view.engines[self._runs[key].engine]
        return [
            self._stop_item(key, view, now_s),
            self._grant_request(req, engine, now_s),
        ]

    def _stop_item(self, key, view, now_s):
        run = self._runs[key]
        run.preempted_s = now_s
        load = self._engines[run.engine]
        load.items.discard(key)
        load.preempted += 1
        view.items.discard(key)
        view.update(run.engine, load)
        self.preempted += 1
        vm, run_id = key
        message = slotmessages.Preemption(self._me, (run_id,))
        return (self._reporters[vm].address, message)

    def _grant_request(self, req, engine, now_s):
        relay = None
        if req.relay or self._needs_relay(req.vm, engine.id):
            relay = self.relays.choose(
                req.vm, req.zone, engine.id, req.not_through
            )
        charged_to = "" if req.is_charged else req.organisation
        sent = self._grant(
            req.vm, req.id, engine, False, now_s, relay, charged_to, req
        )
        self._runs[req.vm, req.id].charge = self._queues[req.pool].start(req)
        return sent

    def _grant_item(self, vm, wanted, engine, now_s, relay):
        sent = self._grant(
            vm, wanted.id, engine, True, now_s, relay, req=wanted
        )
        shares = self._item_shares[wanted.pool]
        charge = shares.start_at_once(wanted.organisation)
        run = self._runs[vm, wanted.id]
        run.charge = charge
        run.claim = expendability.claim_of(wanted, now_s)
        return sent

    def _needs_relay(self, vm, engine_id):
        """Whether a daemon may not reach an engine itself."""
        paths = self._reporters[vm].paths
        return paths.doubtful or engine_id in paths.unreached

    def _grant(
        self,
        vm,
        run_id,
        engine,
        batch,
        now_s,
        relay=None,
        charged_to="",
        req=None,
    ):
        """Grants a slot; `req` is the SlotRequest or WantedSlot."""
        reporter = self._reporters[vm]
        run = AllocatedRun(engine.id, batch, now_s, False)
        if req is not None:
            run.hold = self.prompts.start(engine.id, req)
        if charged_to:
            run.charged_to = charged_to
            self.quotas.charge(charged_to, now_s)
        through = ""
        if relay is not None:
            run.relay = relay.vm
            self.relays.record_start(relay.vm)
            through = relays.format_address(relay.address)
        self._add_run(vm, reporter, run_id, run)
        self.health.record_probe(engine.id, now_s)
        self.limits.take(engine.id, now_s)
        self.granted += 1
        message = slotmessages.Grant(self._me, run_id, engine.id, through)
        return (reporter.address, message)

    # Slots that became free.

    def pools(self):
        """Returns the pools for which requests or items wait."""
        found = {pool for pool, queue in self._queues.items() if queue}
        for vm in self._wanting:
            found |= self._reporters[vm].pools
        return found

    def allocate(self, pool, now_s):
        """Grants a pool's free slots to what waits for them."""
        view = self._views[pool]
        sent = self._serve_queue(pool, view, now_s)
        if not self._queues.get(pool):
            sent += self._serve_items(pool, view, now_s)
        return sent

    def _serve_queue(self, pool, view, now_s):
        queue = self._queues[pool]
        if not queue:
            return []
        sent = self._grant_waiting(queue, view, now_s)
        expired = queue.expired(now_s, self._wait_of(view, now_s))
        return sent + [
            self._deny(one) for one in expired if self._is_waiting(one.req)
        ]

    def _grant_waiting(self, queue, view, now_s):
        """Grants the slots that are free, or that items have, in order."""
        sent = []
        charged = {}
        for waiting in queue.in_order():
            if not view.free_total and not view.items:
                break
            req = waiting.req
            if not self._is_waiting(req):
                queue.remove(waiting)
                continue
            over_quota = self._check_quota(req, now_s)
            if over_quota is not None:
                queue.remove(waiting)
                sent.append((waiting.address, over_quota))
                continue
            granted = self._grant_online(req, view, now_s)
            if granted:
                sent += granted
                charged[req.priority, req.organisation] = None
        for priority, name in charged:
            sent += self._deny_over_quota(queue, priority, name, now_s)
        return sent

    def _deny_over_quota(self, queue, priority, name, now_s):
        """Denies an organisation's requests once its quota is used up."""
        if not name or not self.quotas.wait_s(name, now_s):
            return []
        sent = []
        for waiting in queue.of_organisation(priority, name):
            denial = self._check_quota(waiting.req, now_s)
            if denial is not None:
                queue.remove(waiting)
                sent.append((waiting.address, denial))
        return sent

    def _is_waiting(self, req):
        """Whether the daemon of a request still waits for its slot."""
        reporter = self._reporters.get(req.vm)
        return reporter is not None and req.id not in reporter.run_ids

    def _item_budget(self, pool, view, now_s):
        """Returns the slots that items may take, and all usable slots."""
        avoided = set(self._avoided(view, now_s))
        avoided |= self.limits.rates(view.engines).keys()
        slots = view.slots - sum(view.engines[one].slots for one in avoided)
        free = view.free_total - sum(view.free(one) for one in avoided)
        # A limited engine takes one request at a time, if any.
        free += sum(
            view.free(one) > 0 and self.limits.allows(one, now_s)
            for one in self.limits.rates(view.engines)
            if not self.health.is_avoided(one, now_s)
        )
        return free - self._reserved(pool, view, now_s), slots

    def _serve_items(self, pool, view, now_s):
        budget, slots = self._item_budget(pool, view, now_s)
        if budget <= 0:
            return []
        sent = []
        late_budget = budget - LATE_RESERVE_SHARE * slots
        for late, _, vm, wanted_id in self._most_urgent(pool, budget):
            if len(sent) >= (late_budget if late else budget):
                break
            wanted, _ = self._reporters[vm].wanted[wanted_id]
            paths = self._reporters[vm].paths
            engine = self._engine_for_item(view, wanted, vm, now_s)
            reaches_all = not (paths.doubtful or paths.unreached)
            is_choosy = wanted.version is not None or wanted.prompt
            if engine is None and not is_choosy and reaches_all:
                break
            if engine is None:
                continue
            relay = None
            if self._needs_relay(vm, engine.id):
                relay = self.relays.choose(vm, paths.zone, engine.id)
            del self._reporters[vm].wanted[wanted_id]
            sent.append(self._grant_item(vm, wanted, engine, now_s, relay))
        return sent

    def _most_urgent(self, pool, budget):
        """Returns the wanted slots to serve first, some more than the budget.

        Items that are late anyway come last, organisations take turns by what
        they have used, and each one's items are ordered by their due time.
        Some may find no engine of their version.
        """
        wanted_slots = (
            waitqueue.WaitingItem(
                wanted.late, deadline_s, vm, wanted.id, wanted.organisation
            )
            for vm in self._wanting
            for wanted, deadline_s in self._reporters[vm].wanted.values()
            if wanted.pool == pool
        )
        count = math.ceil(budget) + PASSED_ITEMS_MAX
        shares = self._item_shares[pool]
        found = waitqueue.most_urgent_items(wanted_slots, shares, count)
        return [(one.late, one.deadline_s, one.vm, one.id) for one in found]

    def _engine_for_item(self, view, wanted, vm, now_s):
        """Returns an engine with a free slot, a suspect one first.

        An item tells whether a suspect engine works again at the least cost.
        The item's daemon, or a peer of it, reaches the engine.
        """
        version = wanted.version
        needed = promptcache.tokens_needed(wanted)

        def is_usable(engine_id):
            return (
                version in (None, view.engines[engine_id].version)
                and self.limits.allows(engine_id, now_s)
                and self.prompts.fits(engine_id, needed)
                and not self.health.is_avoided(engine_id, now_s)
                and (
                    not self._needs_relay(vm, engine_id)
                    or self.relays.can_reach(vm, engine_id)
                )
            )

        for engine_id in self.health.suspects:
            if view.free(engine_id) and is_usable(engine_id):
                return view.engines[engine_id]
        engine = view.most_free(is_usable, "")
        if engine is None:
            return None
        return self.prompts.choose(wanted, engine, view, is_usable, "")

    # Totals.

    def totals_of_others(self, vm):
        """Returns the Counts of all other daemons' runs by engine.

        Returns none if requests run at more than TOTALS_ENGINES_MAX engines.
        """
        if len(self._engines) > TOTALS_ENGINES_MAX:
            return {}
        reporter = self._reporters.get(vm)
        own_ids = reporter.run_ids if reporter else ()
        online = {key: load.online for key, load in self._engines.items()}
        batch = {
            key: len(load.items) + load.preempted
            for key, load in self._engines.items()
        }
        for run_id in own_ids:
            run = self._runs[vm, run_id]
            counts = batch if run.batch else online
            counts[run.engine] -= 1
        return {
            key: slotmessages.Count(online[key], batch[key])
            for key in self._engines
            if online[key] or batch[key]
        }

    def slow_engines(self):
        """Returns the ids of all slow engines, sorted."""
        return sorted(
            engine_id
            for view in self._views.values()
            for engine_id in view.slow
        )

    def uneven_speeds(self):
        """Returns the speeds of engines that differ from the median, by id."""
        found = {}
        for view in self._views.values():
            found |= view.speeds.uneven()
        return found

    @property
    def reporter_count(self):
        """The number of daemons that report to this hub."""
        return len(self._reporters)

    @property
    def waiting_count(self):
        """The number of online requests that wait for a slot."""
        return sum(len(queue) for queue in self._queues.values())


def _has_none_left(view, req):
    """Whether no engine of a pool will do for a request."""
    if req.version is None and len(view.engines) > len(req.excluded):
        return False
    return not any(view.is_eligible(one, req) for one in view.engines)
