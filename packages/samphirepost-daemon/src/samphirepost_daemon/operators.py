"""The operators' listener: the two tables, health and metrics."""

import urllib.parse

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import membership
from samphirepost import tables
from samphirepost_daemon import backing
from samphirepost_daemon import current as current_module
from samphirepost_daemon import metrics
from samphirepost_daemon import web

TABLES = "/v1/tables"
HISTORY = "/v1/tables/history"
BODY_BYTES_MAX = 64 * 1024 * 1024
SETTLE_TRIES = 5
SETUP = "setup"


class Edit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An edit of both tables, made from revision `expected`."""

    expected: int
    routes: tables.Routes
    pools: tables.Pools
    note: str = ""


class Shown(msgspec.Struct, frozen=True):
    """The tables here, and the members that lack the newest revision."""

    revision: int
    in_force: bool
    waiting_for: tuple[str, ...]
    tables: tables.Tables | None


class Operators:
    """The WSGI application for operators and the balancer."""

    def __init__(self, clock, current, gate, directory, table):
        self._clock = clock
        self._current = current
        self._gate = gate
        self._directory = directory
        self._table = table

    def __call__(self, environ, start_response):
        req = web.Request(environ)
        if req.path == "/healthz":
            return web.reply(start_response, {"status": "alive"})
        if req.path == "/readyz":
            return self._readyz(start_response)
        if req.path == "/metrics":
            return web.respond(
                start_response, 200, metrics.text(), metrics.CONTENT_TYPE
            )
        failure = self._may_operate(req)
        if failure is not None:
            return web.fail(start_response, failure)
        return web.guard(self._operate, req, start_response)

    def _readyz(self, start_response):
        ready = self._gate.ready
        status = 200 if ready else 503
        return web.reply(start_response, {"ready": ready}, status)

    def _may_operate(self, req):
        """Anyone may set up empty tables; then only operators may."""
        if self._current.revision == 0:
            return None
        caller = web.authenticate(req, self._current)
        if isinstance(caller, errors.Failure):
            return caller
        if not self._current.tables.callers[caller].operator:
            reason = f"caller {caller!r} is not an operator"
            return errors.Failure(errors.Kind.NOT_OPERATOR, reason)
        return None

    def _operate(self, req, start_response):
        if req.method == "POST" and req.path == TABLES:
            return self._apply(req, start_response)
        if req.method == "GET" and req.path == TABLES:
            return self._show(req, start_response)
        if req.method == "GET" and req.path == HISTORY:
            return self._history(start_response)
        if req.method == "GET" and req.path == "/v1/members":
            return web.reply(start_response, self._directory.view)
        return web.fail(start_response, web.not_found(req.path))

    def _show(self, req, start_response):
        query = urllib.parse.parse_qs(req.query)
        asked = query.get("revision", ["0"])[0]
        if not asked.isdigit():
            reason = "revision must be a whole number"
            failure = errors.Failure(errors.Kind.BAD_REQUEST, reason)
            return web.fail(start_response, failure)
        revision = int(asked) or self._current.revision
        lacking = membership.members_behind(
            revision, self._directory.view.members
        )
        brief = "brief" in query
        shown = Shown(
            revision=self._current.revision,
            in_force=not lacking and revision <= self._current.revision,
            waiting_for=lacking,
            tables=None if brief else self._current.tables,
        )
        return web.reply(start_response, shown)

    def _history(self, start_response):
        rows = self._table.scan(current_module.AUDIT_PREFIX)
        if isinstance(rows, errors.Failure):
            return web.fail(start_response, rows)
        found = [codec.unpack(row.value, tables.AuditRow) for row in rows]
        return web.reply(start_response, found)

    def _apply(self, req, start_response):
        body = req.body(BODY_BYTES_MAX)
        if isinstance(body, errors.Failure):
            return web.fail(start_response, body)
        edit = codec.from_json(body, Edit)
        if isinstance(edit, errors.Failure):
            return web.fail(start_response, edit)
        who = web.authenticate(req, self._current)
        if isinstance(who, errors.Failure):
            who = SETUP
        applied = self.apply(edit, who)
        if isinstance(applied, errors.Failure):
            return web.fail(start_response, applied)
        return web.reply(start_response, {"revision": applied.revision})

    def apply(self, edit, who):
        """Returns the new tables, or the Failure that refused the edit."""
        if who == SETUP and edit.expected != 0:
            reason = "only an operator may edit tables that are set up"
            return errors.Failure(errors.Kind.NOT_OPERATOR, reason)
        candidate = tables.join(edit.routes, edit.pools, edit.expected + 1)
        failure = tables.check(candidate)
        if failure is not None:
            return failure
        before = self.before(edit.expected)
        if isinstance(before, errors.Failure):
            return before
        return self.write(before, edit, who)

    def before(self, expected):
        """Returns the row to edit with its tables, or a Failure."""
        row = self._table.read(current_module.CURRENT_KEY)
        if isinstance(row, errors.Failure):
            return row
        if row is None:
            found = tables.Tables()
        else:
            found = codec.unpack(row.value, tables.Tables)
        failure = tables.check_revision(expected, found.revision)
        if failure is not None:
            return failure
        return Before(backing.ABSENT if row is None else row.revision, found)

    def write(self, before, edit, who):
        """Writes an edit of the tables as they were read before."""
        candidate = tables.join(edit.routes, edit.pools, edit.expected + 1)
        transaction = self._transaction(before, candidate, edit, who)
        failure = self._settle(transaction, edit.expected)
        if failure is not None:
            return failure
        self._current.offer(candidate)
        return candidate

    def _transaction(self, before, candidate, edit, who):
        head = current_module.Head(candidate.revision)
        audit_key = current_module.audit_key(candidate.revision)
        audit = tables.AuditRow(
            candidate.revision,
            edit.expected,
            who,
            self._clock.unix_s(),
            edit.note,
            tables.changes(before.tables, candidate),
        )
        return backing.Transaction(
            backing.write_id(),
            {
                current_module.CURRENT_KEY: before.row_revision,
                audit_key: backing.ABSENT,
            },
            {
                current_module.CURRENT_KEY: codec.pack(candidate),
                current_module.HEAD_KEY: codec.pack(head),
                audit_key: codec.pack(audit),
            },
        )

    def _settle(self, transaction, expected):
        uncertain = False
        for _ in range(SETTLE_TRIES):
            outcome = backing.settle(self._table, transaction)
            if isinstance(outcome, backing.Written):
                return None
            if isinstance(outcome, backing.Conflict):
                newest = current_module.read_head(self._table)
                return tables.lost_race_failure(expected, newest)
            uncertain |= outcome.outcome is errors.Outcome.UNKNOWN
        return outcome.unknown() if uncertain else outcome


class Before(msgspec.Struct, frozen=True):
    """The tables before an edit and their row's revision."""

    row_revision: int
    tables: tables.Tables
