"""Decides on requests for slots as the hub does, and grants none.

A DryRequests shares the state of an allocator.Allocator and runs the code of
its requests; what would change the state is replaced. It is made for one
decision and used by the thread that owns the Allocator.
"""

import copy

from samphirepost import onlinerequests
from samphirepost import slotmessages
from samphirepost import whereabouts

# Waiting requests that are copied for a preview: the hub answers nobody
# meanwhile, and 900 of them took it 47 ms.
WAITING_MAX = 100


class DryRequests(onlinerequests.OnlineRequests):
    """An OnlineRequests whose decisions change nothing."""

    __slots__ = ()

    def _grant_request(self, req, engine, now_s):
        return ("", slotmessages.Grant(self._grants.me, req.id, engine.id))

    def _stop_item(self, key, view, now_s):
        return ("", slotmessages.Preemption(self._grants.me, (key[1],)))


def _is_about(message, req):
    """Whether a message answers a SlotRequest: it may displace another."""
    if isinstance(message, slotmessages.Preemption):
        return True
    return message.id == req.id


def _dry_copy(live, req):
    """Returns a DryRequests with the state of an Allocator for a request."""
    dry = DryRequests(live.grants, live.items)
    queue = live.requests.queues.get(req.pool)
    if queue is not None:
        dry.queues[req.pool] = copy.deepcopy(queue)
    dry.quotas = live.quotas.dry_copy(req.organisation)
    return dry


def preview(live, req, now_s):
    """Returns the SlotOutlook of a SlotRequest."""
    view = live.table.views.get(req.pool)
    if view is None or not live.has_reporter(req.vm):
        return whereabouts.UNDECIDED
    if len(live.requests.queues.get(req.pool, ())) > WAITING_MAX:
        return whereabouts.SlotOutlook(
            whereabouts.Decision.UNDECIDED, "too many requests wait"
        )
    dry = _dry_copy(live, req)
    sent = dry.request_slot(req, "", now_s)
    found = whereabouts.outlook_of(
        [one for _, one in sent if _is_about(one, req)],
        lambda engine_id: engine_state(live, view, req.vm, engine_id, now_s),
    )
    wait_s = found.wait_s
    if found.decision is whereabouts.Decision.WAITS:
        ahead = dry.queues[req.pool].ahead_of(req)
        wait_s = live.requests.queue_wait_s(ahead, view, now_s)
    return _with_counts(found, live, req.pool, view, now_s, wait_s)


def preview_item(live, wanted, vm, now_s):
    """Returns the SlotOutlook of a WantedSlot of a daemon."""
    view = live.table.views.get(wanted.pool)
    if view is None or not live.has_reporter(vm):
        return whereabouts.UNDECIDED
    found = _decide_item(live, wanted, vm, view, now_s)
    return _with_counts(found, live, wanted.pool, view, now_s, None)


def _decide_item(live, wanted, vm, view, now_s):
    waits = whereabouts.Decision.WAITS
    if live.requests.queues.get(wanted.pool):
        return whereabouts.SlotOutlook(waits, "online requests wait")
    budget, _ = live.items.budget(wanted.pool, view, now_s)
    if budget <= 0:
        why = "free slots are left to online arrivals"
        return whereabouts.SlotOutlook(waits, why)
    ahead = sum(
        one.pool == wanted.pool
        for wanting_vm in live.table.wanting
        for one, _ in live.table.reporters[wanting_vm].wanted.values()
    )
    if ahead >= budget:
        return whereabouts.SlotOutlook(waits, f"{ahead} items wait")
    engine = live.items.engine_for(view, wanted, vm, now_s)
    if engine is None:
        return whereabouts.SlotOutlook(waits, "no engine takes an item")
    state = engine_state(live, view, vm, engine.id, now_s)
    return whereabouts.SlotOutlook(
        whereabouts.Decision.ENGINE, "a slot is free", state
    )


def _with_counts(found, live, pool, view, now_s, wait_s):
    return whereabouts.SlotOutlook(
        found.decision,
        found.why,
        found.engine,
        wait_s,
        found.over_quota,
        len(live.requests.queues.get(pool, ())),
        view.free_total,
        round(live.table.reserved(pool, view, now_s)),
    )


def engine_state(live, view, vm, engine_id, now_s):
    """Returns the EngineState of an engine of a pool, as a daemon sees it."""
    engine = view.engines[engine_id]
    load = live.table.loads.get(engine_id)
    marks = {
        "suspect": engine_id in live.health.suspects,
        "avoided": live.health.is_avoided(engine_id, now_s),
        "slow": engine_id in view.slow,
        "at-limit": not live.limits.allows(engine_id, now_s),
        "unreached": live.grants.needs_relay(vm, engine_id),
    }
    return whereabouts.EngineState(
        engine_id,
        engine.zone,
        engine.slots,
        load.online if load else 0,
        len(load.items) if load else 0,
        tuple(name for name, holds in marks.items() if holds),
    )
