"""Answers online requests for slots: a grant, a place in a queue, a denial.

An online request takes the slot of a batch item if no other is free.
"""

import collections

from samphirepost import promptcache
from samphirepost import runtable
from samphirepost import slotmessages
from samphirepost import waitqueue


class OnlineRequests:
    """The online requests of all daemons. Methods return messages to send.

    `queues` has the waitqueue.WaitQueues by pool.
    """

    __slots__ = (
        "_grants",
        "_health",
        "_items",
        "_limits",
        "_prompts",
        "_relays",
        "_table",
        "queues",
        "quotas",
    )

    def __init__(self, grants, items):
        self._grants = grants
        self._items = items
        self._table = grants.table
        self._health = grants.health
        self._limits = grants.limits
        self._prompts = grants.prompts
        self._relays = grants.relays
        self.quotas = grants.quotas
        self.queues = collections.defaultdict(waitqueue.WaitQueue)

    def request_slot(self, req, address, now_s):
        """Answers a request for a slot of a pool."""
        reporter = self._table.reporters.get(req.vm)
        if reporter is None:
            reporter = runtable.Reporter(address)
            reporter.received_s = now_s
            self._table.reporters[req.vm] = reporter
        if req.id in reporter.run_ids:
            return []
        view = self._table.views[req.pool]
        if _has_none_left(view, req) or not self._grants.may_fit(req):
            denial = slotmessages.Denial(self._grants.me, req.id, None)
            return [(address, denial)]
        over_quota = self._check_quota(req, now_s)
        if over_quota is not None:
            return [(address, over_quota)]
        queue = self.queues[req.pool]
        if queue.has(req):
            return [(address, slotmessages.Queued(self._grants.me, req.id))]
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

    def _check_quota(self, req, now_s):
        """Returns the Denial of a request over its quota, or None."""
        if not req.organisation or req.is_charged:
            return None
        wait_s = self.quotas.wait_s(req.organisation, now_s)
        if not wait_s:
            return None
        self.quotas.refused += 1
        return slotmessages.Denial(
            self._grants.me, req.id, wait_s, over_quota=True
        )

    def _queue(self, queue, req, address, view, now_s):
        waiting = waitqueue.WaitingRequest(
            req, address, now_s + req.wait_max_s
        )
        refused = queue.admit(waiting, now_s, self._wait_of(view, now_s))
        sent = [self._deny(one) for one in refused]
        if not waiting.has_left:
            sent.append(
                (address, slotmessages.Queued(self._grants.me, req.id))
            )
        return sent

    def _deny(self, refused):
        waiting = refused.waiting
        denial = slotmessages.Denial(
            self._grants.me, waiting.req.id, refused.wait_s
        )
        return (waiting.address, denial)

    def _wait_of(self, view, now_s):
        """Returns a function from the number ahead to the time to wait."""
        return lambda ahead: self.queue_wait_s(ahead, view, now_s)

    def queue_wait_s(self, ahead, view, now_s):
        """Returns how long a request waits behind `ahead` others (s)."""
        avoided = set(self._grants.avoided(view, now_s))
        rates = self._limits.rates(view.engines.keys() - avoided)
        if rates and len(rates) == len(view.engines) - len(avoided):
            return self._limits.wait_s(rates, ahead + 1, now_s)
        return view.wait_s(ahead, avoided, rates)

    def _grant_online(self, req, view, now_s):
        """Grants a free slot, or that of a batch item; else returns []."""
        for is_allowed in self._preferences(req, view, now_s):
            engine = view.most_free(is_allowed, req.zone)
            if engine is not None:
                engine = self._prompts.choose(
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
            unreached = self._table.reporters[req.vm].paths.unreached

        def is_reliable(engine_id):
            return (
                is_untried(engine_id)
                and engine_id not in self._health.suspects
                and engine_id not in view.slow
                and engine_id not in unreached
            )

        def is_healthy(engine_id):
            return is_untried(engine_id) and self._health.may_try(
                engine_id, req.is_repeatable, now_s
            )

        def is_untried(engine_id):
            return (
                view.is_eligible(engine_id, req)
                and self._limits.allows(engine_id, now_s)
                and self._prompts.fits(engine_id, needed)
            )

        if len(self._grants.avoided(view, now_s)) == len(view.engines):
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
                and self._limits.allows(engine_id, now_s)
                and self._prompts.fits(engine_id, needed)
            )

        def is_healthy(engine_id):
            return is_allowed(engine_id) and not self._health.is_avoided(
                engine_id, now_s
            )

        return (is_healthy, is_allowed)

    def _preempt(self, req, view, is_allowed, now_s):
        """Grants the slot of the most expendable item, if there is one."""
        key = self._items.most_expendable(view, is_allowed, now_s)
        if key is None:
            return []
        engine = view.engines[self._table.runs[key].engine]
        return [
            self._stop_item(key, view, now_s),
            self._grant_request(req, engine, now_s),
        ]

    def _stop_item(self, key, view, now_s):
        return self._items.stop(key, view, now_s)

    def _grant_request(self, req, engine, now_s):
        relay = None
        if req.relay or self._grants.needs_relay(req.vm, engine.id):
            relay = self._relays.choose(
                req.vm, req.zone, engine.id, req.not_through
            )
        charged_to = "" if req.is_charged else req.organisation
        sent = self._grants.grant(
            req.vm, req.id, engine, False, now_s, relay, charged_to, req
        )
        run = self._table.runs[req.vm, req.id]
        run.charge = self.queues[req.pool].start(req)
        return sent

    def serve(self, pool, view, now_s):
        """Grants a pool's slots to the requests that wait, in order."""
        queue = self.queues[pool]
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
        reporter = self._table.reporters.get(req.vm)
        return reporter is not None and req.id not in reporter.run_ids

    @property
    def waiting_count(self):
        """The number of online requests that wait for a slot."""
        return sum(len(queue) for queue in self.queues.values())


def _has_none_left(view, req):
    """Whether no engine of a pool will do for a request."""
    if req.version is None and len(view.engines) > len(req.excluded):
        return False
    return not any(view.is_eligible(one, req) for one in view.engines)
