"""Tells where a request or job would go now, without sending it.

Served at /where of the readiness address, to operators. The hub decides with
the code that decides on requests; any other daemon tells which VM the hub is,
and answers from its own picture.
"""

import threading
import time
import urllib.parse

import msgspec

from samphirepost import attempts
from samphirepost import codec
from samphirepost import refusals
from samphirepost import routing
from samphirepost import slotmessages
from samphirepost import whereabouts
from samphirepost_daemon.entry import authentication
from samphirepost_daemon.entry import web
from samphirepost_daemon.platform import wire

QUERY_LENGTH_MAX = 8192
FIELDS_MAX = 8
# Pools of a route that are looked at.
POOLS_MAX = 16
# No run has this id.
PREVIEW_ID = 0
PROBLEM_TYPE = "application/problem+json"


class Problem(msgspec.Struct, frozen=True):
    """An RFC 9457 problem document; the question was not answered."""

    type: str
    status: int
    detail: str
    outcome: str = "not_run"


class WhereApp:
    """WSGI application that answers one Question at a time.

    Others are refused meanwhile: readiness checks share its threads.
    """

    def __init__(self, parts):
        self._parts = parts
        self._busy = threading.Lock()

    def __call__(self, environ, start_response):
        """Answers with an Outlook as JSON."""
        if environ["REQUEST_METHOD"] != "GET":
            return _send_problem(start_response, 405, "only GET is allowed")
        question = parse_question(environ.get("QUERY_STRING", ""))
        if isinstance(question, str):
            return _send_problem(start_response, 400, question)
        if not self._busy.acquire(blocking=False):
            reason = "another question is being answered"
            return _send_problem(start_response, 503, reason)
        try:
            found = Finder(self._parts).find(question)
        finally:
            self._busy.release()
        return web.send_response(start_response, 200, codec.to_json(found))


def _send_problem(start_response, status, reason):
    kind = "overloaded" if status == 503 else "bad-request"
    problem = Problem(f"urn:samphirepost:{kind}", status, reason)
    return web.send_response(
        start_response, status, codec.to_json(problem), PROBLEM_TYPE
    )


def parse_question(query):
    """Returns the Question of a query string, or why there is none."""
    if len(query) > QUERY_LENGTH_MAX:
        return f"the query has more than {QUERY_LENGTH_MAX} characters"
    try:
        pairs = urllib.parse.parse_qsl(query, max_num_fields=FIELDS_MAX)
    except ValueError as exc:
        return str(exc)
    fields = dict(pairs)
    unknown = fields.keys() - set(whereabouts.Question.__struct_fields__)
    if unknown:
        return f"unknown fields: {', '.join(sorted(unknown))}"
    if not fields.get("host") or not fields.get("path"):
        return "host and path are needed"
    return whereabouts.Question(**fields)


class Finder:
    """Finds the Outlook of one Question."""

    def __init__(self, parts):
        self._parts = parts
        self._state = parts.state
        self._slots = parts.slots

    def find(self, question):
        """Returns the Outlook."""
        table = self._state.table
        if table is None:
            return self._outlook(refusal=refusals.no_tables())
        host = question.host.partition(":")[0].lower()
        route = table.find_route(host, question.path.partition("?")[0])
        if route is None:
            return self._outlook(refusal=refusals.no_route())
        organisation = self._organisation(table, question.organisation)
        fields = {
            "route": route.name,
            "kind": route.kind.value,
            "priority": _priority(route, organisation),
            "organisation": organisation,
        }
        known = organisation
        if organisation is not None and not organisation.is_known:
            known = None
        shared, prompt = wire.parse_prompt(question.prompt)
        refusal = self._refusal(table, route, known, shared)
        if refusal is not None:
            return self._outlook(refusal=refusal, **fields)
        return self._outlook(
            pools=tuple(
                self._pool_outlook(route, share, known, prompt)
                for share in route.shares[:POOLS_MAX]
            ),
            **fields,
        )

    def _outlook(self, **fields):
        ages = self._state.age_fields()
        hub = whereabouts.HubState(
            self._slots.hub_vm, self._slots.is_hub, self._slots.hub_answers
        )
        return whereabouts.Outlook(
            self._parts.me,
            hub,
            ages["revision"],
            ages["tables_age_s"],
            **fields,
        )

    def _organisation(self, table, name):
        """Returns the OrganisationState, None if none was named."""
        if not name:
            return None
        found = table.directory.get(name)
        if found is None:
            return whereabouts.OrganisationState(name, False)
        wait_s = None
        if not self._slots.is_hub:
            wait_s = self._parts.quotas.local_wait_s(name, time.monotonic())
        return whereabouts.OrganisationState(
            name,
            True,
            found.priority,
            found.rate_per_s,
            found.burst,
            self._parts.quotas.is_constrained(name),
            wait_s,
        )

    def _refusal(self, table, route, organisation, shared_parts):
        """Returns the ErrorResponse before a pool is chosen, or None."""
        if not table.directory.is_empty and not route.anonymous:
            name = organisation.name if organisation else ""
            refusal = authentication.key_refusal(
                self._state, table.directory.get(name)
            )
            if refusal is not None:
                return refusal
        now_s = time.monotonic()
        if route.kind is routing.Kind.BATCH:
            needed_s = web.JOB_REQUEST_MAX_S
        else:
            needed_s = attempts.time_limit_s(route, None)
        if not self._state.admits(now_s, needed_s):
            return refusals.at_exit()
        if route.kind is routing.Kind.BATCH:
            return None
        found = self._parts.quarantine.check(shared_parts, now_s)
        return None if found is None else refusals.quarantined(found)

    def _pool_outlook(self, route, share, organisation, prompt):
        total = sum(one.weight for one in route.shares)
        slot, by_hub = self._slot_outlook(
            route, share.pool, organisation, prompt
        )
        refusal = None
        if slot.decision is whereabouts.Decision.REFUSED:
            refusal = self._slot_refusal(slot, organisation)
        return whereabouts.PoolOutlook(
            share.pool, share.weight / total, by_hub, slot, refusal
        )

    def _slot_refusal(self, slot, organisation):
        if slot.over_quota:
            return refusals.over_quota(
                organisation.name,
                slot.wait_s,
                self._slots.hub_vm,
                refusals.least,
            )
        if slot.wait_s is None:
            return refusals.no_engine(refusals.least)
        return refusals.busy(slot.wait_s, refusals.least)

    def _slot_outlook(self, route, pool, organisation, prompt):
        """Returns a SlotOutlook, and whether the hub decided."""
        engines = self._state.engines(pool)
        is_batch = route.kind is routing.Kind.BATCH
        if not engines:
            decision = whereabouts.Decision.REFUSED
            if is_batch:
                decision = whereabouts.Decision.WAITS
            slot = whereabouts.SlotOutlook(decision, "the pool has no engine")
            return slot, False
        if is_batch:
            asked = self._wanted_slot(route, pool, prompt)
        else:
            asked = self._slot_request(
                route, pool, organisation, prompt, engines
            )
        slot = self._slots.preview(asked)
        if slot is None or slot.decision is whereabouts.Decision.UNDECIDED:
            return self._own_outlook(route, engines, organisation), False
        return slot, True

    def _slot_request(self, route, pool, organisation, prompt, engines):
        now_s = time.monotonic()
        avoided = [
            engine.id
            for engine in engines
            if self._parts.load_tracker.is_avoided(engine.id, now_s)
        ]
        return self._slots.slot_request(
            PREVIEW_ID,
            pool,
            _priority(route, organisation),
            attempts.queue_wait_max_s(route, None),
            excluded=tuple(avoided) if len(avoided) < len(engines) else (),
            relay=self._parts.paths.is_doubtful,
            organisation=organisation.name if organisation else "",
            prompt=prompt if route.sticky else (),
        )

    def _wanted_slot(self, route, pool, prompt):
        return slotmessages.WantedSlot(
            PREVIEW_ID,
            pool,
            False,
            route.completion_s,
            prompt=prompt if route.sticky else (),
        )

    def _own_outlook(self, route, engines, organisation):
        """Returns what this daemon would decide without a hub.

        It draws among the engines; the middle of the draw is told.
        """
        now_s = time.monotonic()
        tracker = self._parts.load_tracker
        wait_s = tracker.queue_wait_s(engines, now_s)
        counts = {"free": tracker.free_slots(engines, now_s)}
        if route.kind is routing.Kind.BATCH:
            engine = tracker.choose_batch_engine(engines, now_s, False)
        else:
            if wait_s > attempts.queue_wait_max_s(route, None):
                return whereabouts.SlotOutlook(
                    whereabouts.Decision.REFUSED,
                    "the wait for a slot is too long",
                    wait_s=wait_s,
                    **counts,
                )
            if organisation is not None and organisation.quota_wait_s:
                return whereabouts.SlotOutlook(
                    whereabouts.Decision.REFUSED,
                    "the quota is used up",
                    wait_s=organisation.quota_wait_s,
                    over_quota=True,
                    **counts,
                )
            engine = tracker.choose_engine(engines, (), now_s, lambda: 0.5)
        if engine is None:
            return whereabouts.SlotOutlook(
                whereabouts.Decision.WAITS, "no slot is free", **counts
            )
        return whereabouts.SlotOutlook(
            whereabouts.Decision.ENGINE,
            "by the loads that this daemon knows",
            self._engine_state(engine, now_s),
            wait_s or None,
            **counts,
        )

    def _engine_state(self, engine, now_s):
        count = self._parts.load_tracker.count(engine.id, now_s)
        marks = {
            "avoided": self._parts.load_tracker.is_avoided(engine.id, now_s),
            "at-limit": self._parts.limits.is_limited(engine),
            "unreached": self._parts.paths.is_unreached(engine.id),
        }
        return whereabouts.EngineState(
            engine.id,
            engine.zone,
            engine.slots,
            count.online,
            count.batch,
            tuple(name for name, holds in marks.items() if holds),
        )


def _priority(route, organisation):
    """Returns the priority of a request; see authentication.Authenticator."""
    if organisation is None or organisation.priority is None:
        return route.priority
    if route.anonymous:
        return route.priority
    return organisation.priority
