"""The operators' HTTP API: routes and pools, health and metrics."""

import urllib.parse

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import membership
from samphirepost import tables
from samphirepost_daemon import activetables
from samphirepost_daemon import metrics
from samphirepost_daemon import platformapi
from samphirepost_daemon import web

TABLES_PATH = "/v1/tables"
HISTORY_PATH = "/v1/tables/history"
BODY_BYTES_MAX = 64 * 1024 * 1024
WRITE_ATTEMPTS_MAX = 5
# Recorded as the editor of the first tables, which need no operator.
SETUP_CALLER = "setup"


class TablesEdit(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An edit of the routes and pools tables of revision `expected`."""

    expected: int
    routes: tables.Routes
    pools: tables.Pools
    note: str = ""


class TablesStatus(msgspec.Struct, frozen=True):
    """The active tables, and the members that lack a revision.

    `waiting_for` has the names of the members that lack the requested
    revision; `in_force` is true if no member lacks it.
    """

    revision: int
    in_force: bool
    waiting_for: tuple[str, ...]
    tables: tables.Tables | None


class OperatorsApp:
    """The WSGI application for operators and the load balancer."""

    def __init__(self, clock, active_tables, readiness, directory, table):
        self._clock = clock
        self._active_tables = active_tables
        self._readiness = readiness
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
        failure = self._check_operator(req)
        if failure is not None:
            return web.fail(start_response, failure)
        return web.run_handler(self._serve_operator, req, start_response)

    def _readyz(self, start_response):
        ready = self._readiness.is_ready
        status = 200 if ready else 503
        return web.reply(start_response, {"ready": ready}, status)

    def _check_operator(self, req):
        """Returns a Failure unless the caller is an operator.

        While there are no tables yet, anyone may set them up.
        """
        if self._active_tables.revision == 0:
            return None
        caller = web.authenticate(req, self._active_tables)
        if isinstance(caller, errors.Failure):
            return caller
        if not self._active_tables.tables.callers[caller].operator:
            reason = f"caller {caller!r} is not an operator"
            return errors.Failure(errors.Kind.NOT_OPERATOR, reason)
        return None

    def _serve_operator(self, req, start_response):
        if req.method == "POST" and req.path == TABLES_PATH:
            return self._post_tables(req, start_response)
        if req.method == "GET" and req.path == TABLES_PATH:
            return self._show_tables(req, start_response)
        if req.method == "GET" and req.path == HISTORY_PATH:
            return self._show_history(start_response)
        if req.method == "GET" and req.path == "/v1/members":
            return web.reply(start_response, self._directory.view)
        return web.fail(start_response, web.not_found(req.path))

    def _show_tables(self, req, start_response):
        query = urllib.parse.parse_qs(req.query)
        requested = query.get("revision", ["0"])[0]
        if not requested.isdigit():
            reason = "revision must be a whole number"
            failure = errors.Failure(errors.Kind.BAD_REQUEST, reason)
            return web.fail(start_response, failure)
        revision = int(requested) or self._active_tables.revision
        behind = membership.members_behind(
            revision, self._directory.view.members
        )
        brief = "brief" in query
        status_body = TablesStatus(
            revision=self._active_tables.revision,
            in_force=not behind and revision <= self._active_tables.revision,
            waiting_for=behind,
            tables=None if brief else self._active_tables.tables,
        )
        return web.reply(start_response, status_body)

    def _show_history(self, start_response):
        rows = self._table.scan(activetables.AUDIT_PREFIX)
        if isinstance(rows, errors.Failure):
            return web.fail(start_response, rows)
        found = [codec.unpack(row.value, tables.AuditRow) for row in rows]
        return web.reply(start_response, found)

    def _post_tables(self, req, start_response):
        body = req.body(BODY_BYTES_MAX)
        if isinstance(body, errors.Failure):
            return web.fail(start_response, body)
        edit = codec.from_json(body, TablesEdit)
        if isinstance(edit, errors.Failure):
            return web.fail(start_response, edit)
        editor = web.authenticate(req, self._active_tables)
        if isinstance(editor, errors.Failure):
            editor = SETUP_CALLER
        applied = self.apply_edit(edit, editor)
        if isinstance(applied, errors.Failure):
            return web.fail(start_response, applied)
        return web.reply(start_response, {"revision": applied.revision})

    def apply_edit(self, edit, editor):
        """Checks and writes an edit; returns the new tables, or a Failure."""
        if editor == SETUP_CALLER and edit.expected != 0:
            reason = "only an operator may edit tables that are set up"
            return errors.Failure(errors.Kind.NOT_OPERATOR, reason)
        candidate = tables.join(edit.routes, edit.pools, edit.expected + 1)
        failure = tables.check(candidate)
        if failure is not None:
            return failure
        before = self.read_tables(edit.expected)
        if isinstance(before, errors.Failure):
            return before
        return self.write_tables(before, edit, editor)

    def read_tables(self, expected):
        """Reads the tables to edit and their row's revision.

        Returns a Failure if they are not at the revision `expected`.
        """
        row = self._table.read(activetables.CURRENT_KEY)
        if isinstance(row, errors.Failure):
            return row
        if row is None:
            found = tables.Tables()
        else:
            found = codec.unpack(row.value, tables.Tables)
        failure = tables.check_revision(expected, found.revision)
        if failure is not None:
            return failure
        return TablesRow(
            platformapi.ABSENT if row is None else row.revision, found
        )

    def write_tables(self, before, edit, editor):
        """Writes an edit if the tables are still as read before.

        Returns the new tables, which are then active here, or a Failure.
        """
        candidate = tables.join(edit.routes, edit.pools, edit.expected + 1)
        transaction = self._make_transaction(before, candidate, edit, editor)
        failure = self._write_until_known(transaction, edit.expected)
        if failure is not None:
            return failure
        self._active_tables.apply_if_newer(candidate)
        return candidate

    def _make_transaction(self, before, candidate, edit, editor):
        head = activetables.Head(candidate.revision)
        audit_key = activetables.audit_key(candidate.revision)
        audit = tables.AuditRow(
            candidate.revision,
            edit.expected,
            editor,
            self._clock.unix_s(),
            edit.note,
            tables.changes(before.tables, candidate),
        )
        return platformapi.Transaction(
            platformapi.new_write_id(),
            {
                activetables.CURRENT_KEY: before.row_revision,
                audit_key: platformapi.ABSENT,
            },
            {
                activetables.CURRENT_KEY: codec.pack(candidate),
                activetables.HEAD_KEY: codec.pack(head),
                audit_key: codec.pack(audit),
            },
        )

    def _write_until_known(self, transaction, expected):
        """Writes up to WRITE_ATTEMPTS_MAX times; returns None or a Failure."""
        uncertain = False
        for _ in range(WRITE_ATTEMPTS_MAX):
            outcome = platformapi.write_with_readback(self._table, transaction)
            if isinstance(outcome, platformapi.Written):
                return None
            if isinstance(outcome, platformapi.Conflict):
                newest = activetables.read_newest_revision(self._table)
                return tables.lost_race_failure(expected, newest)
            uncertain |= outcome.outcome is errors.Outcome.UNKNOWN
        return outcome.as_unknown() if uncertain else outcome


class TablesRow(msgspec.Struct, frozen=True):
    """The tables before an edit and their row's revision."""

    row_revision: int
    tables: tables.Tables
