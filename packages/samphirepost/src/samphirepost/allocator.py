"""Allocates the slots of the engines to the requests of all daemons.

The hub keeps which requests run at each engine, from the daemons' reports
and from its own grants, and answers each request for a slot: an engine, a
place in the queue, or a denial. The state is soft: a wrong count costs time in
an engine's queue and nothing else. All instants are monotonic seconds.

Reports are applied here. What runs where is in runtable, the answers to online
requests are in onlinerequests, and the choice of batch items in itemgrants.
"""

from samphirepost import expendability
from samphirepost import itemgrants
from samphirepost import onlinerequests
from samphirepost import poolview
from samphirepost import quotas
from samphirepost import runtable
from samphirepost import slotgrants
from samphirepost import slotmessages

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
# A grant that its daemon does not report is dropped after this time (s),
# in which the grant and the next report arrive.
UNCONFIRMED_S = 0.3
# Interval (s) after which a preemption that was not followed is sent again.
PREEMPTION_RETRY_S = 0.1
# Initial estimate of the time that an online request occupies a slot (s), and
# the weight of each completed request in its moving average.
SERVICE_TIME_INITIAL_S = 0.7
SERVICE_TIME_SAMPLE_SHARE = 0.05


class Allocator:
    """The hub's state. Methods return the messages to send.

    Each of these is a pair of an address and a slotmessages.Message. `me` is
    the hub's VM id. `table` is the runtable.RunTable, `grants` the
    slotgrants.SlotGrants, `items` the itemgrants.ItemGrants and `requests` the
    onlinerequests.OnlineRequests.
    """

    __slots__ = (
        "_first_report_s",
        "_me",
        "grants",
        "health",
        "items",
        "limits",
        "prompts",
        "quotas",
        "relays",
        "requests",
        "service_time_s",
        "table",
        "times",
    )

    def __init__(self, me, quota_bounds=None, follows_rises=False):
        self._me = me
        self._first_report_s = None
        self.grants = slotgrants.SlotGrants(
            me, quota_bounds or quotas.Bounds(), follows_rises
        )
        self.table = self.grants.table
        self.health = self.grants.health
        self.times = self.grants.times
        self.limits = self.grants.limits
        self.prompts = self.grants.prompts
        self.relays = self.grants.relays
        self.quotas = self.grants.quotas
        self.items = itemgrants.ItemGrants(self.grants)
        self.requests = onlinerequests.OnlineRequests(self.grants, self.items)
        self.service_time_s = SERVICE_TIME_INITIAL_S

    # Reports.

    def apply_report(self, report, address, now_s):
        """Applies a daemon's report, unless a later one was applied.

        Returns the preemptions that the daemon has not followed.
        """
        reporter = self.table.reporters.get(report.vm)
        if reporter is None:
            reporter = runtable.Reporter(address)
            self.table.reporters[report.vm] = reporter
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
            if engine_id in self.table.pool_names:
                self.health.record_failure(engine_id, report.vm, now_s)
        self.quotas.apply_sent(report.vm, report.sent)
        for name in report.refunds:
            self.quotas.refund(name)
        for end in report.ended:
            self._end_run(report.vm, reporter, end, now_s)
        self._drop_unlisted(report, reporter, now_s)
        for run in report.runs:
            self._confirm_run(report.vm, reporter, run, now_s)
        self._set_wanted(report, reporter, now_s)
        return self._repeat_preemptions(report.vm, reporter, now_s)

    def _drop_unlisted(self, report, reporter, now_s):
        """Drops a daemon's runs that it no longer reports."""
        listed = {run.id for run in report.runs}
        for run_id in reporter.run_ids - listed:
            run = self.table.runs[report.vm, run_id]
            if run.confirmed or now_s - run.granted_s > UNCONFIRMED_S:
                if run.charged_to and not run.confirmed:
                    # The grant was lost; what is sent without it is charged.
                    self.quotas.refund(run.charged_to)
                run.settle(now_s - run.granted_s)
                self.grants.end(report.vm, reporter, run_id)

    def _set_wanted(self, report, reporter, now_s):
        """Replaces the slots that a daemon wants for its items."""
        reporter.wanted = {
            wanted.id: (wanted, now_s + wanted.left_s)
            for wanted in report.wanted
            if wanted.id not in reporter.run_ids
            and self.grants.may_fit(wanted)
        }
        reporter.pools = frozenset(
            wanted.pool for wanted, _ in reporter.wanted.values()
        )
        if reporter.wanted:
            self.table.wanting.add(report.vm)
        else:
            self.table.wanting.discard(report.vm)

    def _end_run(self, vm, reporter, end, now_s):
        run = self.table.runs.get((vm, end.id))
        if run is None:
            return
        if end.is_unused and run.charged_to:
            self.quotas.refund(run.charged_to)
        if end.is_unused:
            self.health.cancel_probe(run.engine, now_s)
        if run.hold is not None:
            run.hold.is_unused = end.is_unused
        if end.outcome is slotmessages.Outcome.OK:
            self.health.record_success(run.engine, now_s)
            if not run.batch:
                self._record_service(run, now_s)
        elif end.outcome is slotmessages.Outcome.FAILED and (
            run.engine in self.table.pool_names
        ):
            self.health.record_failure(run.engine, vm, now_s)
        self.times.record_end(run.engine, end, now_s)
        run.settle(0.0 if end.is_unused else now_s - run.granted_s)
        self.grants.end(vm, reporter, end.id)

    def _record_service(self, run, now_s):
        service_s = now_s - run.granted_s
        self.service_time_s += SERVICE_TIME_SAMPLE_SHARE * (
            service_s - self.service_time_s
        )
        view = self.table.view_of(run.engine)
        if view is not None:
            speed = view.speeds.of(run.engine)
            self.times.record_service(run.engine, service_s, speed)

    def _confirm_run(self, vm, reporter, run, now_s):
        known = self.table.runs.get((vm, run.id))
        if known is None:
            known = runtable.AllocatedRun(run.engine, run.batch, now_s, True)
            known.tokens = run.tokens
            known.hold = self.prompts.start_reported(run.engine, run.tokens)
            self.table.add(vm, reporter, run.id, known)
            self.limits.take(run.engine, now_s)
            if run.organisation and not run.batch:
                self.quotas.charge_reported(run.organisation, now_s)
        known.confirmed = True
        if run.batch:
            known.claim = expendability.claim_of(run, now_s)

    def _repeat_preemptions(self, vm, reporter, now_s):
        ids = []
        for run_id in reporter.run_ids:
            run = self.table.runs[vm, run_id]
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
        for vm, reporter in list(self.table.reporters.items()):
            if now_s - reporter.received_s > REPORT_STALE_S:
                for run_id in list(reporter.run_ids):
                    run = self.table.runs[vm, run_id]
                    run.settle(now_s - run.granted_s)
                    self.grants.end(vm, reporter, run_id)
                del self.table.reporters[vm]
                self.table.wanting.discard(vm)
                self.relays.remove(vm)
                dropped.append(vm)
        if not self.table.reporters:
            self._first_report_s = None
        return dropped

    def reporters(self):
        """Returns the VMs and addresses of the daemons that report."""
        return [(vm, one.address) for vm, one in self.table.reporters.items()]

    def run_of(self, vm, run_id):
        """Returns the runtable.AllocatedRun of a daemon, or None."""
        return self.table.runs.get((vm, run_id))

    def has_reporter(self, vm):
        """Whether a daemon reports to this hub."""
        return vm in self.table.reporters

    def is_informed(self, member_count, now_s):
        """Whether enough of the members have reported what they run.

        Grants by fewer reports would fill engines over their slots.
        """
        if self._first_report_s is None:
            return False
        if now_s - self._first_report_s > INFORMED_AFTER_S:
            return True
        return len(self.table.reporters) >= INFORMED_SHARE * member_count

    # Engines.

    def needs_engines(self, pool, now_s):
        """Whether set_engines() is due for a pool."""
        view = self.table.views.get(pool)
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
        is_new = pool not in self.table.views
        view = self.table.views.setdefault(pool, poolview.PoolView())
        engine_ids = [engine.id for engine in engines]
        for engine_id in view.engines.keys() - set(engine_ids):
            self.table.pool_names.pop(engine_id, None)
            self.health.remove(engine_id)
            self.times.remove(engine_id)
            self.prompts.remove(engine_id)
            self.limits.remove(engine_id)
        self.health.set_engines(engines)
        self.times.set_engines(engines)
        self.prompts.set_engines(pool, engines, kv_tokens)
        self.limits.set_engines(engines)
        self.table.pool_names |= dict.fromkeys(engine_ids, pool)
        speeds = self.times.speeds(pool, engine_ids, now_s)
        view.refresh(engines, self.table.loads, speeds, now_s)
        if is_new:
            self._hold_reported(view)

    def _hold_reported(self, view):
        """Records what runs hold that were reported before a pool was read."""
        for run in self.table.runs.values():
            if run.hold is None and run.engine in view.engines:
                run.hold = self.prompts.start_reported(run.engine, run.tokens)

    # Slots.

    def request_slot(self, req, address, now_s):
        """Answers a request for a slot of a pool."""
        return self.requests.request_slot(req, address, now_s)

    def pools(self):
        """Returns the pools for which requests or items wait."""
        found = {pool for pool, queue in self.requests.queues.items() if queue}
        for vm in self.table.wanting:
            found |= self.table.reporters[vm].pools
        return found

    def allocate(self, pool, now_s):
        """Grants a pool's free slots to what waits for them."""
        view = self.table.views[pool]
        sent = self.requests.serve(pool, view, now_s)
        if not self.requests.queues.get(pool):
            sent += self.items.serve(pool, view, now_s)
        return sent

    # Totals.

    def totals_of_others(self, vm):
        """Returns the Counts of all other daemons' runs by engine.

        Returns none if requests run at too many engines for a datagram.
        """
        return self.table.totals_of_others(vm)

    def slow_engines(self):
        """Returns the ids of all slow engines, sorted."""
        return self.table.slow_engines()

    def uneven_speeds(self):
        """Returns the speeds of engines that differ from the median, by id."""
        return self.table.uneven_speeds()

    @property
    def granted(self):
        """The number of slots granted since the start."""
        return self.grants.granted

    @property
    def preempted(self):
        """The number of items preempted since the start."""
        return self.items.preempted

    @property
    def waiting_count(self):
        """The number of online requests that wait for a slot."""
        return self.requests.waiting_count

    @property
    def reporter_count(self):
        """The number of daemons that report to this hub."""
        return len(self.table.reporters)
