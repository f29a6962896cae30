"""Grants slots to batch items, and takes them back for online requests.

Items get the free slots that the reserve for online arrivals leaves, the most
urgent one first. The most expendable one is preempted first.
"""

import collections
import enum
import math

import msgspec

from samphirepost import expendability
from samphirepost import fairqueue
from samphirepost import promptcache
from samphirepost import slotmessages
from samphirepost import waitqueue

# Batch items that are compared to find the most expendable one.
ITEMS_COMPARED_MAX = 256
# Wanted items that are passed over in one allocation, as no engine of their
# version has a free slot.
PASSED_ITEMS_MAX = 64
# Times that the wanted items are looked through in one allocation, each time
# without those for which no engine was found before.
ROUNDS_MAX = 4
# Share of all slots that late items leave free, besides the reserve for online
# arrivals.
LATE_RESERVE_SHARE = 0.12

# What an item asks for that any engine may run; see _asked().
ANY_ENGINE = ("", None, ())


class Served(enum.Enum):
    """The result of a try to serve an item, if it is no message."""

    NONE_FREE = "none-free"


NONE_FREE = Served.NONE_FREE


class ItemGrants:
    """Decides which items run. Methods return the messages to send.

    `preempted` counts since the start.
    """

    __slots__ = (
        "_grants",
        "_health",
        "_limits",
        "_prompts",
        "_relays",
        "_shares",
        "_table",
        "preempted",
    )

    def __init__(self, grants):
        self._grants = grants
        self._table = grants.table
        self._health = grants.health
        self._limits = grants.limits
        self._prompts = grants.prompts
        self._relays = grants.relays
        self._shares = collections.defaultdict(fairqueue.FairQueue)
        self.preempted = 0

    def serve(self, pool, view, now_s):
        """Grants the free slots that items may take, in order."""
        budget, slots = self.budget(pool, view, now_s)
        if budget <= 0:
            return []
        late_budget = budget - LATE_RESERVE_SHARE * slots
        sent = []
        unserved = set()
        for _ in range(ROUNDS_MAX):
            known = len(unserved)
            for late, _, vm, wanted_id in self._most_urgent(
                pool, budget - len(sent), unserved
            ):
                if len(sent) >= (late_budget if late else budget):
                    return sent
                granted = self._serve_item(
                    view, vm, wanted_id, unserved, now_s
                )
                if granted is NONE_FREE:
                    return sent
                if granted is not None:
                    sent.append(granted)
            if len(unserved) == known:
                break
        return sent

    def _serve_item(self, view, vm, wanted_id, unserved, now_s):
        """Returns the message that grants a slot, or None.

        NONE_FREE if no item gets one. Adds what the item asks for to
        `unserved` if no engine will do for it, however small it is.
        """
        reporter = self._table.reporters[vm]
        wanted, _ = reporter.wanted[wanted_id]
        paths = reporter.paths
        asked = _asked(vm, paths, wanted)
        if asked in unserved:
            return None
        engine = self.engine_for(view, wanted, vm, now_s)
        if engine is None and asked == ANY_ENGINE and not wanted.prompt:
            return NONE_FREE
        if engine is None:
            small = msgspec.structs.replace(wanted, prompt=())
            if self.engine_for(view, small, vm, now_s) is None:
                unserved.add(asked)
            return None
        relay = None
        if self._grants.needs_relay(vm, engine.id):
            relay = self._relays.choose(vm, paths.zone, engine.id)
        del reporter.wanted[wanted_id]
        return self._grant(vm, wanted, engine, now_s, relay)

    def budget(self, pool, view, now_s):
        """Returns the slots that items may take, and all usable slots."""
        avoided = set(self._grants.avoided(view, now_s))
        avoided |= self._limits.rates(view.engines).keys()
        slots = view.slots - sum(view.engines[one].slots for one in avoided)
        free = view.free_total - sum(view.free(one) for one in avoided)
        # A limited engine takes one request at a time, if any.
        free += sum(
            view.free(one) > 0 and self._limits.allows(one, now_s)
            for one in self._limits.rates(view.engines)
            if not self._health.is_avoided(one, now_s)
        )
        return free - self._table.reserved(pool, view, now_s), slots

    def _most_urgent(self, pool, budget, unserved):
        """Returns the wanted slots to serve first, some more than the budget.

        Leaves out those that ask for what is `unserved`.

        Items that are late anyway come last, organisations take turns by what
        they have used, and each one's items are ordered by their due time.
        Some may find no engine of their version.
        """
        wanted_slots = (
            waitqueue.WaitingItem(
                wanted.late, deadline_s, vm, wanted.id, wanted.organisation
            )
            for vm in self._table.wanting
            for wanted, deadline_s in self._table.reporters[vm].wanted.values()
            if wanted.pool == pool
            and not (unserved and self._is_unserved(vm, wanted, unserved))
        )
        count = math.ceil(budget) + PASSED_ITEMS_MAX
        shares = self._shares[pool]
        found = waitqueue.most_urgent_items(wanted_slots, shares, count)
        return [(one.late, one.deadline_s, one.vm, one.id) for one in found]

    def _is_unserved(self, vm, wanted, unserved):
        paths = self._table.reporters[vm].paths
        return _asked(vm, paths, wanted) in unserved

    def engine_for(self, view, wanted, vm, now_s):
        """Returns an engine with a free slot, a suspect one first.

        An item tells whether a suspect engine works again at the least cost.
        The item's daemon, or a peer of it, reaches the engine.
        """
        version = wanted.version
        needed = promptcache.tokens_needed(wanted)

        def is_usable(engine_id):
            return (
                version in (None, view.engines[engine_id].version)
                and engine_id not in wanted.avoided
                and self._limits.allows(engine_id, now_s)
                and self._prompts.fits(engine_id, needed)
                and not self._health.is_avoided(engine_id, now_s)
                and (
                    not self._grants.needs_relay(vm, engine_id)
                    or self._relays.can_reach(vm, engine_id)
                )
            )

        for engine_id in self._health.suspects:
            if view.free(engine_id) and is_usable(engine_id):
                return view.engines[engine_id]
        engine = view.most_free(is_usable, "")
        if engine is None:
            return None
        return self._prompts.choose(wanted, engine, view, is_usable, "")

    def _grant(self, vm, wanted, engine, now_s, relay):
        sent = self._grants.grant(
            vm, wanted.id, engine, True, now_s, relay, req=wanted
        )
        shares = self._shares[wanted.pool]
        charge = shares.start_at_once(wanted.organisation)
        run = self._table.runs[vm, wanted.id]
        run.charge = charge
        run.claim = expendability.claim_of(wanted, now_s)
        return sent

    def most_expendable(self, view, is_allowed, now_s):
        """Returns the key of the item to preempt first, or None.

        Only items at engines that `is_allowed` accepts are compared.
        """
        key, highest = None, None
        for count, candidate in enumerate(view.items):
            if count >= ITEMS_COMPARED_MAX:
                break
            run = self._table.runs[candidate]
            if not is_allowed(run.engine):
                continue
            rank = run.claim.rank(now_s)
            if highest is None or rank > highest:
                key, highest = candidate, rank
        return key

    def stop(self, key, view, now_s):
        """Preempts an item; returns the message for its daemon."""
        run = self._table.runs[key]
        run.preempted_s = now_s
        load = self._table.loads[run.engine]
        load.items.discard(key)
        load.preempted += 1
        view.items.discard(key)
        view.update(run.engine, load)
        self.preempted += 1
        vm, run_id = key
        message = slotmessages.Preemption(self._grants.me, (run_id,))
        return (self._table.reporters[vm].address, message)


def _asked(vm, paths, wanted):
    """Returns the daemon, version and avoided engines that limit an item.

    The daemon is empty if it reaches all engines.
    """
    reaches_all = not (paths.doubtful or paths.unreached)
    return ("" if reaches_all else vm, wanted.version, wanted.avoided)
