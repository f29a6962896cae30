"""Serves the daemons whose hub this one is: reports and slot requests.

The decisions are in samphirepost.allocator. All methods are called by the
thread of slots.SlotExchange, which receives the messages.
"""

import itertools

import msgspec

from samphirepost import allocator
from samphirepost import dryallocator
from samphirepost import judge
from samphirepost import leaving
from samphirepost import otherversions
from samphirepost import quarantine
from samphirepost import reportedtables
from samphirepost import slotmessages
from samphirepost import whereabouts
from samphirepost_daemon.entry import state as state_module

# Shortest time between two totals for one daemon (s). They are the loads by
# which it chooses engines while the hub does not answer.
TOTALS_INTERVAL_S = 0.35
# Interval at which the hub announces itself to members that do not report to
# it (s): they have excluded it, or do not know it yet.
ANNOUNCEMENT_INTERVAL_S = 1.0
# Interval at which daemons that no longer report are looked for (s).
DROP_INTERVAL_S = 0.1
# Interval at which the hub looks for what crashes engines (s).
JUDGE_INTERVAL_S = 0.05
# Shortest interval at which it announces news to all daemons (s): causes of
# crashes, versions, engines that get no new work. More for each daemon, as
# many report crashes at once.
CAUSES_ANNOUNCEMENT_INTERVAL_S = 0.1
CAUSES_ANNOUNCEMENT_PER_DAEMON_S = 0.0002
# Interval at which the hub looks at the versions that the daemons reported.
VERSIONS_INTERVAL_S = 0.1
# Interval at which it looks through the registry for engines that leave (s).
LEAVING_INTERVAL_S = 0.05
# Interval at which the hub logs its loads (s), and the shortest one between
# two lines about suspect engines.
LOG_INTERVAL_S = 2.0
SUSPECTS_LOG_INTERVAL_S = 0.25
# Engines of one kind that a line about loads names.
LOGGED_MAX = 64


class HubServer:
    """The hub's side of the exchange; `send(address, message)` sends.

    `decided(cause, quarantined)` and `released(cause)` are called with
    decisions that have to be stored.
    """

    def __init__(self, parts, hub_selector, send):
        self._quarantine = parts.quarantine
        self._judge = judge.Judge(parts.quarantine)
        self._me = parts.me
        self._state = parts.state
        self._log = parts.log
        self._hub_selector = hub_selector
        self._send = send
        self._allocator = allocator.Allocator(
            parts.me, parts.quotas.bounds, parts.follows_rises
        )
        self._totals_sent_s = {}
        self._next_log_s = 0.0
        self._next_drop_s = 0.0
        self._next_announcement_s = 0.0
        self._next_judgement_s = 0.0
        self._next_causes_s = 0.0
        self._has_news = False
        self._marks = leaving.ReportedMarks()
        self._leaving_engines = ()
        self._stale_entries = ()
        self._next_leaving_s = 0.0
        self._versions = otherversions.ReportedVersions()
        self._other_versions = None
        self._next_versions_s = 0.0
        self._tables = reportedtables.ReportedTables()
        self._constrained = None
        self._logged_suspects = set()
        self._next_suspects_log_s = 0.0
        self.decided = None
        self.released = None

    def serve_report(self, report, address, now_s):
        """Applies a daemon's report; answers with totals if they are due."""
        self._apply_evidence(report, now_s)
        self._apply_limits(report, now_s)
        self._versions.apply(report.vm, report.other_versions)
        self._tables.apply(report.tables, state_module.boottime_s())
        if self._marks.apply(
            report.leaving_engines, now_s, report.stale_entries
        ):
            self._has_news = True
            self._next_leaving_s = now_s
        report = self._without_probes(report, now_s)
        self._send_all(self._allocator.apply_report(report, address, now_s))
        sent_s = self._totals_sent_s.get(address, 0.0)
        if now_s - sent_s < TOTALS_INTERVAL_S:
            return
        self._totals_sent_s[address] = now_s
        self._send_totals(report.vm, address)

    def _apply_limits(self, report, now_s):
        """Applies what engines named in their answers to a daemon."""
        changed = [
            named
            for named in report.limits
            if self._allocator.limits.apply(named, now_s)
        ]
        for named in changed:
            self._log.event(
                "hub.limit",
                engine=named.engine,
                per_s=named.per_s,
                age_s=named.age_s,
                reporter=report.vm,
            )

    def _apply_evidence(self, report, now_s):
        """Applies what a daemon saw of crashed engines and begun answers."""
        if self._judge.has_crashes:
            for end in report.ended:
                run = self._allocator.run_of(report.vm, end.id)
                if end.outcome is slotmessages.Outcome.OK and run is not None:
                    self._judge.record_success(
                        run.engine, run.granted_s, now_s
                    )
        for begun in report.begun:
            self._apply_begun(begun, report.vm, now_s)
        new = [
            (crash.request, *crash.parts)
            for crash in report.crashes
            if self._judge.apply_crash(crash, now_s)
        ]
        if new:
            self._log.event("causes.suspected", causes=new, reporter=report.vm)
            self._has_news = True

    def _apply_begun(self, begun, reporter, now_s):
        cleared_before = self._judge.cleared_count
        is_released = self._judge.apply_begun(begun, now_s)
        cleared = self._judge.cleared_count - cleared_before
        if cleared:
            self._log.event(
                "cause.cleared",
                cause=begun.cause,
                crashes=cleared,
                age_s=begun.age_s,
                reporter=reporter,
            )
        if is_released:
            self._log.event("cause.released", cause=begun.cause)
            self.released(begun.cause)

    def decide_causes(self, now_s):
        """Quarantines what crashes engines; announces what is new."""
        if not self._judge.is_idle and now_s >= self._next_judgement_s:
            self._next_judgement_s = now_s + JUDGE_INTERVAL_S
            self._decide(now_s)
        self._announce_news(now_s)

    def collect_versions(self, now_s):
        """Collects in which pools any daemon knows more than one version."""
        if now_s < self._next_versions_s:
            return
        self._next_versions_s = now_s + VERSIONS_INTERVAL_S
        found = self._versions.union(self._hub_selector.members)
        if found == self._other_versions:
            return
        self._other_versions = found
        self._has_news = True
        self._log.event("hub.versions", other_versions=found)

    def collect_leaving(self, now_s):
        """Collects who leaves or is stale, as any daemon was told.

        Once for all totals: there are many engines, and many daemons.
        """
        if now_s < self._next_leaving_s:
            return
        self._next_leaving_s = now_s + LEAVING_INTERVAL_S
        listed = self._state.roster.left_engines(now_s)
        left = {leaving.incarnation(engine) for engine in listed}
        self._leaving_engines = (*self._marks.known(now_s), *left)
        self._stale_entries = self._marks.known_stale(now_s)

    def _announce_news(self, now_s):
        if self._has_news and now_s >= self._next_causes_s:
            reporters = self._allocator.reporters()
            self._has_news = False
            self._next_causes_s = now_s + max(
                CAUSES_ANNOUNCEMENT_INTERVAL_S,
                CAUSES_ANNOUNCEMENT_PER_DAEMON_S * len(reporters),
            )
            for vm, address in reporters:
                self._send_totals(vm, address)

    def _decide(self, now_s):
        for cause, decided in self._judge.decide(now_s).items():
            self._log.failure(
                "cause.quarantined" if decided.strikes else "cause.probation",
                cause=cause,
                strikes=decided.strikes,
                left_s=round(decided.until_s - now_s, 1),
                first_crash_s=round(now_s - decided.since_s, 3),
            )
            self._has_news = True
            self.decided(cause, decided)

    def _without_probes(self, report, now_s):
        """Drops wanted slots for causes that must not be probed now."""
        if not any(wanted.probe for wanted in report.wanted):
            return report
        allowed = tuple(
            wanted
            for wanted in report.wanted
            if not wanted.probe or self._judge.may_probe(wanted.probe, now_s)
        )
        return msgspec.structs.replace(report, wanted=allowed)

    def serve_request(self, req, address, now_s):
        """Answers a daemon's SlotRequest."""
        if req.probe and not self._judge.may_probe(req.probe, now_s):
            denial = slotmessages.Denial(
                self._me, req.id, quarantine.PROBE_INTERVAL_S
            )
            self._send(address, denial)
            return
        if not self._is_informed(now_s):
            self._send(address, slotmessages.Denial(self._me, req.id, None))
            return
        self._refresh_engines(req.pool, now_s)
        self._send_all(self._allocator.request_slot(req, address, now_s))

    def preview(self, asked, now_s):
        """Returns the SlotOutlook of a SlotRequest or WantedSlot of this VM.

        Nothing is granted, queued or charged.
        """
        if not self._is_informed(now_s):
            return whereabouts.SlotOutlook(
                whereabouts.Decision.UNDECIDED,
                "too few daemons have reported to the hub",
            )
        self._refresh_engines(asked.pool, now_s)
        if isinstance(asked, slotmessages.WantedSlot):
            return dryallocator.preview_item(
                self._allocator, asked, self._me, now_s
            )
        return dryallocator.preview(self._allocator, asked, now_s)

    def allocate(self, now_s):
        """Drops lost daemons and grants free slots to what waits."""
        if now_s >= self._next_drop_s:
            self._next_drop_s = now_s + DROP_INTERVAL_S
            for vm in self._allocator.drop_stale_reporters(now_s):
                self._versions.remove(vm)
            self._allocator.limits.forget(now_s)
            self._update_quotas(now_s)
        if not self._is_informed(now_s):
            return
        for pool in self._allocator.pools():
            self._refresh_engines(pool, now_s)
            self._send_all(self._allocator.allocate(pool, now_s))

    def _refresh_engines(self, pool, now_s):
        if self._allocator.needs_engines(pool, now_s):
            engines = self._state.engines(pool)
            table = self._state.table
            known = table.pools.get(pool) if table else None
            kv_tokens = known.kv_tokens if known else 0
            self._allocator.set_engines(pool, engines, now_s, kv_tokens)

    def announce_and_log(self, now_s):
        """Announces the hub and logs its loads, each at its interval."""
        if now_s >= self._next_announcement_s:
            self._next_announcement_s = now_s + ANNOUNCEMENT_INTERVAL_S
            self._announce()
        if now_s >= self._next_log_s:
            self._next_log_s = now_s + LOG_INTERVAL_S
            self._log_loads()
        if now_s >= self._next_suspects_log_s:
            self._next_suspects_log_s = now_s + SUSPECTS_LOG_INTERVAL_S
            self._log_suspects(now_s)

    def _log_suspects(self, now_s):
        """Logs the suspect engines and who saw them fail, if changed."""
        health = self._allocator.health
        if health.suspects == self._logged_suspects:
            return
        self._logged_suspects = set(health.suspects)
        self._log.event(
            "hub.suspects",
            engines={
                engine_id: health.witnesses(engine_id, now_s)
                for engine_id in health.suspects
            },
        )

    def _update_quotas(self, now_s):
        """Applies the tables and the members to the quotas.

        What all totals tell of them is collected once: there may be a
        thousand organisations.
        """
        table = self._state.table
        if table is None or table.directory.is_empty:
            return
        hub_quotas = self._allocator.quotas
        hub_quotas.set_directory(table.directory, now_s)
        hub_quotas.set_members(
            self._allocator.reporter_count,
            len(self._hub_selector.members),
            now_s,
        )
        self._constrained = hub_quotas.constrained(now_s)

    def _is_informed(self, now_s):
        member_count = len(self._hub_selector.members)
        return self._allocator.is_informed(member_count, now_s)

    def _announce(self):
        for vm, address in self._hub_selector.members.items():
            if vm != self._me and not self._allocator.has_reporter(vm):
                self._send_totals(vm, address)

    def _send_totals(self, vm, address):
        counts = self._allocator.totals_of_others(vm)
        totals = slotmessages.Totals(
            self._me,
            counts,
            tuple(self._judge.decided),
            self._judge.suspects(),
            self._allocator.limits.all_rates(),
            tuple(self._judge.on_probation),
            self._other_versions,
            self._leaving_engines,
            self._stale_entries,
            self._tables.newest(state_module.boottime_s()),
            self._constrained,
        )
        self._send(address, totals)

    def _send_all(self, messages):
        for address, message in messages:
            self._send(address, message)

    def _log_loads(self):
        prompts = self._allocator.prompts
        speeds = self._allocator.uneven_speeds()
        self._log.event(
            "hub.loads",
            engines=self._allocator.totals_of_others(None),
            reporters=self._allocator.reporter_count,
            waiting=self._allocator.waiting_count,
            granted=self._allocator.granted,
            preempted=self._allocator.preempted,
            service_s=round(self._allocator.service_time_s, 3),
            over_quota=self._allocator.quotas.refused,
            prompt_tokens=prompts.prompt_tokens,
            reused_tokens=prompts.reused_tokens,
            failing=sorted(self._allocator.health.suspects)[:LOGGED_MAX],
            slow=self._allocator.slow_engines()[:LOGGED_MAX],
            speeds=dict(itertools.islice(speeds.items(), LOGGED_MAX)),
        )
