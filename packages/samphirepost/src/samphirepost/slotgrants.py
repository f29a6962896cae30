"""Grants slots to runs, and tells which engines may get one.

What is common to online requests and batch items is here: the record of a
grant with all that keeps count of runs, and its end.
"""

from samphirepost import enginehealth
from samphirepost import enginetimes
from samphirepost import promptcache
from samphirepost import quotas
from samphirepost import ratelimit
from samphirepost import relays
from samphirepost import runtable
from samphirepost import slotmessages


class SlotGrants:
    """Records the start and the end of each granted run.

    `me` is the hub's VM id, `table` its runtable.RunTable. `granted` counts
    since the start.
    """

    __slots__ = (
        "granted",
        "health",
        "limits",
        "me",
        "prompts",
        "quotas",
        "relays",
        "table",
        "times",
    )

    def __init__(self, me, quota_bounds, follows_rises=False):
        self.me = me
        self.table = runtable.RunTable(follows_rises)
        self.health = enginehealth.FleetHealth()
        self.times = enginetimes.EngineTimes()
        self.limits = ratelimit.HubLimits()
        self.prompts = promptcache.PromptCaches()
        self.relays = relays.Relays()
        self.quotas = quotas.HubQuotas(quota_bounds)
        self.granted = 0

    def grant(
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
        reporter = self.table.reporters[vm]
        run = runtable.AllocatedRun(engine.id, batch, now_s, False)
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
        self.table.add(vm, reporter, run_id, run)
        self.health.record_probe(engine.id, now_s)
        self.limits.take(engine.id, now_s)
        self.granted += 1
        message = slotmessages.Grant(self.me, run_id, engine.id, through)
        return (reporter.address, message)

    def end(self, vm, reporter, run_id):
        """Removes a run, and releases its prompt and its relay."""
        run = self.table.remove(vm, reporter, run_id)
        self.relays.record_end(run.relay)
        if run.hold is not None:
            run.hold.release()

    def avoided(self, view, now_s):
        """Returns the ids of a pool's engines that get no run now."""
        return [
            engine_id
            for engine_id in self.health.suspects
            if engine_id in view.engines
            and self.health.is_avoided(engine_id, now_s)
        ]

    def needs_relay(self, vm, engine_id):
        """Whether a daemon may not reach an engine itself."""
        paths = self.table.reporters[vm].paths
        return paths.doubtful or engine_id in paths.unreached

    def may_fit(self, req):
        """Whether an idle engine's memory holds a SlotRequest or WantedSlot.

        The engine itself tells why one that is too large cannot run.
        """
        needed = promptcache.tokens_needed(req)
        return self.prompts.may_fit(req.pool, needed)
