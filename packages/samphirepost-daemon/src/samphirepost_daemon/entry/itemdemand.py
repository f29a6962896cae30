"""Tells which items of the held jobs a daemon asks slots for, and what for.

Only the actor of holder.py calls it, which owns the jobs.
"""

import collections

from samphirepost import itemwindow
from samphirepost import promptcache
from samphirepost import quarantine
from samphirepost import routing
from samphirepost import slotmessages
from samphirepost_daemon.platform import wire

# An item counts as late if this share of its estimated remaining time ends
# after its job's deadline. The share is below 1 because only an upper limit of
# the item's tokens is known.
FEASIBLE_SHARE = 0.8
# Engines that an item names as avoided: its report has to fit into a datagram.
AVOIDED_MAX = 3


class ItemDemand:
    """What the items of `held_jobs`, HeldJobs by key, wait for.

    `durations` is the itemdurations.DurationEstimator.
    """

    __slots__ = (
        "_blocked",
        "_durations",
        "_held_jobs",
        "_job_store",
        "_parts",
        "_turn",
    )

    def __init__(self, parts, job_store, held_jobs, durations):
        self._parts = parts
        self._job_store = job_store
        self._held_jobs = held_jobs
        self._durations = durations
        self._blocked = set()
        self._turn = 0

    def ready_items(self, running, now_s):
        """Returns pairs of the Need and the key and index of items to start.

        Those of one need are in the order of their jobs' deadlines. `running`
        has the ItemRuns.
        """
        jobs_by_deadline = sorted(
            self._held_jobs.items(),
            key=lambda pair: (pair[1].deadline_s < now_s, pair[1].deadline_s),
        )
        window = itemwindow.ItemWindow(
            collections.Counter(run.pool for run in running)
        )
        for key, held_job in jobs_by_deadline:
            if self._can_read_items(key):
                self._add_ready_items(window, key, held_job, now_s)
        self._turn += 1
        return window.choose(self._turn)

    def _add_ready_items(self, window, key, held_job, now_s):
        route = self.find_route(held_job)
        if route is None:
            return
        partial_outputs = held_job.partial_outputs
        if not partial_outputs and not _has_room(window, route):
            return
        for index in held_job.runnable_indexes(now_s):
            if (key, index) in self._blocked:
                continue
            if index in partial_outputs or _has_room(window, route):
                need = self._need_of(held_job, route, index, now_s)
                window.add(need, (key, index))

    def _need_of(self, held_job, route, index, now_s):
        """Returns the itemwindow.Need of an item that is ready to run."""
        item = held_job.outline.items[index]
        found = self.check_quarantine(item, now_s)
        pool, version = routing.pick_pool(route), ""
        partial = held_job.partial_outputs.get(index)
        if partial and partial.texts:
            version = partial.version or ""
            if partial.pool in route.pools:
                pool = partial.pool
        return itemwindow.Need(
            pool,
            version,
            "" if found is None else found.cause,
            self._fits(pool, self.tokens_of(held_job, index)),
        )

    def _fits(self, pool, tokens):
        """Whether an idle engine of a pool has memory for so many tokens."""
        known = self._parts.state.table.pools.get(pool)
        kv_tokens = known.kv_tokens if known else 0
        return not kv_tokens or tokens <= kv_tokens

    def _can_read_items(self, key):
        """Whether the bodies of a job's items are known to be within reach.

        A slot would wait for a store that does not answer.
        """
        return (
            not self._parts.state.is_store_lost
            or self._job_store.keeps_record(*key)
        )

    def find_blocked(self, now_s):
        """Finds the items with a quarantined part; logs the new ones.

        They wait until the quarantine is over or their retention has passed.
        Of those that could probe a part, all but one wait, so that they do not
        keep other items from being wanted.
        """
        blocked_items = set()
        probing = set()
        if not self._parts.quarantine.is_empty:
            for key, held_job in self._held_jobs.items():
                for index in held_job.queued_indexes():
                    item = held_job.outline.items[index]
                    found = self.check_quarantine(item, now_s)
                    if found is None:
                        continue
                    is_blocked = isinstance(found, quarantine.Blocked)
                    if is_blocked or found.cause in probing:
                        blocked_items.add((key, index))
                    probing.add(found.cause)
        for key, index in blocked_items - self._blocked:
            self._parts.metrics.quarantine_refusals.labels("item").inc()
            item = self._held_jobs[key].outline.items[index]
            self._parts.log.failure(
                "item.blocked",
                job=key[1],
                item=item.id,
                parts=wire.shared_parts(item),
            )
        self._blocked = blocked_items

    def check_quarantine(self, item, now_s):
        """Returns what Quarantine.check() finds for an item's parts."""
        if self._parts.quarantine.is_empty:
            return None
        parts = wire.shared_parts(item)
        return self._parts.quarantine.check(parts, now_s)

    def wanted_slot(self, run_id, need, key, index, now_s):
        """Returns the slotmessages.WantedSlot of an item with a Need."""
        held_job = self._held_jobs[key]
        route = self.find_route(held_job)
        # The tables may have changed since the item was chosen.
        is_sticky = route is not None and route.sticky
        item = held_job.outline.items[index]
        partial = held_job.partial_outputs.get(index)
        return slotmessages.WantedSlot(
            run_id,
            need.pool,
            self.is_late(held_job, index, now_s),
            round(held_job.deadline_s - now_s, 2),
            need.probe,
            partial.version if partial and partial.texts else None,
            held_job.outline.organisation,
            wire.prompt_of(item) if is_sticky else (),
            wire.output_tokens_of(item),
            round(self.remaining_s(held_job, index) * 1000),
            partial.preemptions if partial else 0,
            self._avoided(held_job, index, need.pool, now_s),
        )

    def _avoided(self, held_job, index, pool, now_s):
        """Returns the engines that an item avoids; none if it avoids all."""
        found = held_job.avoided_engines(index, now_s)
        if not found:
            return ()
        others = {one.id for one in self._parts.state.engines(pool)} - found
        return tuple(sorted(found))[:AVOIDED_MAX] if others else ()

    def avoids(self, held_job, index, engine, now_s):
        """Whether an item avoids an engine while another one is there."""
        return held_job.avoids_engine(index, engine.id, now_s) and any(
            not held_job.avoids_engine(index, other.id, now_s)
            for other in self._parts.state.engines(engine.pool)
        )

    def is_late(self, held_job, index, now_s):
        """Whether an item is unlikely to complete by its job's deadline."""
        left_s = self.remaining_s(held_job, index)
        return now_s + FEASIBLE_SHARE * left_s > held_job.deadline_s

    def remaining_s(self, held_job, index):
        """Returns how long an item is expected to run (s), 0 if unknown."""
        item = held_job.outline.items[index]
        partial = held_job.partial_outputs.get(index)
        events = len(partial.texts) if partial else 0
        return self._durations.remaining_s(item.tokens, events)

    def tokens_of(self, held_job, index):
        """Returns the tokens that an item holds at an engine; 0 if unknown."""
        route = self.find_route(held_job)
        if route is None or not route.sticky:
            return 0
        item = held_job.outline.items[index]
        return promptcache.tokens_held(
            wire.prompt_of(item), wire.output_tokens_of(item)
        )

    def find_route(self, held_job):
        """Returns a job's route in the active tables, or None."""
        table = self._parts.state.table
        if table is None:
            return None
        return table.find_route(held_job.outline.host, held_job.outline.path)


def _has_room(window, route):
    """Whether an item of a route without output may find room."""
    return any(window.has_room(itemwindow.Need(one)) for one in route.pools)
