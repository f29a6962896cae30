"""Implements the commands; `run` dispatches on the command's class."""

import functools

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import jsonc
from samphirepost import stream
from samphirepost import tables
from samphirepost import targetmessages
from samphirepost_cli import client as client_module
from samphirepost_cli import commands
from samphirepost_cli import exits
from samphirepost_cli import logtrace
from samphirepost_cli import output
from samphirepost_cli import where

POLL_INTERVAL_S = 0.2


class TablesView(msgspec.Struct):
    """The tables as the operator endpoint shows them.

    `in_force` is true once every live daemon has applied `revision`;
    `waiting_for` names the VMs that have not. `tables` is None in a brief
    response.
    """

    revision: int
    in_force: bool
    waiting_for: tuple[str, ...]
    tables: tables.Tables | None


class JobStatus(msgspec.Struct):
    """The progress of a job: its phase and the number of items by state."""

    id: str
    phase: str
    total: int
    done: int
    failed: int
    unknown: int
    pending: int
    running: int


class SubmittedJob(msgspec.Struct):
    """An accepted job; `created` is False if the key was used before."""

    id: str
    created: bool


class AppliedRevision(msgspec.Struct):
    """The revision of an accepted edit of the tables."""

    revision: int


class TablePair(msgspec.Struct):
    """The routes and pools tables as read from their files."""

    routes: tables.Routes
    pools: tables.Pools


class Context:
    """What a command runs with: environment, configuration, HTTP client."""

    def __init__(self, env, cfg):
        self.env = env
        self.cfg = cfg
        self.client = client_module.Client(cfg.token)


@functools.singledispatch
def run(command, ctx):
    """Runs a command; returns its exit status.

    Raises TypeError for a command that has no implementation here.
    """
    raise TypeError(type(command))


def read_tables(command):
    """Returns the validated tables of a command's files, or a Failure."""
    routes = jsonc.read(command.routes, tables.Routes)
    if isinstance(routes, errors.Failure):
        return routes
    pools = jsonc.read(command.pools, tables.Pools)
    if isinstance(pools, errors.Failure):
        return pools
    failure = tables.check(tables.join(routes, pools, 0))
    return TablePair(routes, pools) if failure is None else failure


@run.register
def _(command: commands.Check, ctx):
    found = read_tables(command)
    if isinstance(found, errors.Failure):
        return output.print_failure(ctx.env, found)
    output.print_line(ctx.env, "both tables are good")
    return exits.Exit.OK


def _get_decoded(ctx, url, kind):
    reply = ctx.client.send("GET", url)
    if isinstance(reply, errors.Failure):
        return reply
    return codec.from_json(reply.data, kind)


def _get_tables(ctx, query=""):
    return _get_decoded(
        ctx, f"{ctx.cfg.operator}/v1/tables{query}", TablesView
    )


@run.register
def _(command: commands.Apply, ctx):
    pair = read_tables(command)
    if isinstance(pair, errors.Failure):
        return output.print_failure(ctx.env, pair)
    expected = command.expected
    if expected < 0:
        view = _get_tables(ctx, "?brief=1")
        if isinstance(view, errors.Failure):
            return output.print_failure(ctx.env, view)
        expected = view.revision
    edit = {
        "expected": expected,
        "routes": pair.routes,
        "pools": pair.pools,
        "note": command.note,
    }
    body = codec.to_json(edit)
    url = f"{ctx.cfg.operator}/v1/tables"
    reply = ctx.client.send("POST", url, body)
    if isinstance(reply, errors.Failure):
        return output.print_failure(ctx.env, reply)
    applied = codec.from_json(reply.data, AppliedRevision)
    return _wait_until_active(ctx, applied.revision, command.wait)


def _wait_until_active(ctx, revision, wait_s):
    """Polls until every live daemon has applied the revision.

    Returns OK, or NOT_ACTIVE if `wait_s` passes first.
    """
    deadline_s = ctx.env.monotonic_s() + wait_s
    while True:
        view = _get_tables(ctx, f"?brief=1&revision={revision}")
        done = not isinstance(view, errors.Failure) and view.in_force
        if done:
            output.print_line(ctx.env, f"revision {revision} is active")
            return exits.Exit.OK
        if ctx.env.monotonic_s() >= deadline_s:
            return _report_not_active(ctx, revision, view)
        ctx.env.sleep(POLL_INTERVAL_S)


def _report_not_active(ctx, revision, view):
    waiting = "the daemon does not respond"
    if not isinstance(view, errors.Failure):
        waiting = "waiting for " + ", ".join(view.waiting_for)
    ctx.env.stderr.write(
        f"samphirepost: revision {revision} is accepted but not yet active"
        f" on every daemon: {waiting}\n"
    )
    return exits.Exit.NOT_ACTIVE


@run.register
def _(command: commands.Diff, ctx):
    pair = read_tables(command)
    if isinstance(pair, errors.Failure):
        return output.print_failure(ctx.env, pair)
    view = _get_tables(ctx)
    if isinstance(view, errors.Failure):
        return output.print_failure(ctx.env, view)
    after = tables.join(pair.routes, pair.pools, view.revision)
    changes = tables.changes(view.tables, after)
    if command.json:
        output.print_json(ctx.env, changes)
    else:
        _print_changes(ctx.env, changes)
    return exits.Exit.OK


def _print_changes(env, changes):
    for change in changes:
        sign = "~"
        if change["before"] is None:
            sign = "+"
        if change["after"] is None:
            sign = "-"
        output.print_line(env, f"{sign} {change['table']}.{change['name']}")


@run.register
def _(command: commands.Show, ctx):
    view = _get_tables(ctx)
    if isinstance(view, errors.Failure):
        return output.print_failure(ctx.env, view)
    if command.json:
        output.print_json(ctx.env, view)
        return exits.Exit.OK
    state = "active on every daemon"
    if not view.in_force:
        state = "waiting for " + ", ".join(view.waiting_for)
    output.print_line(ctx.env, f"revision {view.revision}, {state}")
    output.print_rows(
        ctx.env,
        ("ROUTE", "POOL", "CALLERS", "IDEMPOTENT"),
        [
            (name, row.pool, ",".join(row.callers), row.idempotent)
            for name, row in sorted(view.tables.routes.items())
        ],
    )
    output.print_rows(
        ctx.env,
        ("POOL", "TARGETS", "HEADROOM"),
        [
            (name, len(row.targets), row.online_headroom)
            for name, row in sorted(view.tables.pools.items())
        ],
    )
    return exits.Exit.OK


@run.register
def _(command: commands.History, ctx):
    url = f"{ctx.cfg.operator}/v1/tables/history"
    found = _get_decoded(ctx, url, list[tables.AuditRow])
    if isinstance(found, errors.Failure):
        return output.print_failure(ctx.env, found)
    if command.json:
        output.print_json(ctx.env, found)
        return exits.Exit.OK
    output.print_rows(
        ctx.env,
        ("REVISION", "FROM", "AT", "WHO", "CHANGES", "NOTE"),
        [_audit_cells(row) for row in found],
    )
    return exits.Exit.OK


def _audit_cells(row):
    changed = ",".join(f"{c['table']}.{c['name']}" for c in row.changes)
    at = f"{row.at_unix_s:.0f}"
    return row.revision, row.previous, at, row.who, changed, row.note


@run.register
def _(command: commands.Members, ctx):
    found = _get_decoded(ctx, f"{ctx.cfg.operator}/v1/members", dict)
    if isinstance(found, errors.Failure):
        return output.print_failure(ctx.env, found)
    if command.json:
        output.print_json(ctx.env, found)
        return exits.Exit.OK
    output.print_rows(
        ctx.env,
        ("VM", "ZONE", "REVISION", "SERVING"),
        [
            (m["vm"], m["zone"], m["revision"], m["serving"])
            for m in found["members"]
        ],
    )
    return exits.Exit.OK


def _headers(command):
    headers = {}
    if command.key:
        headers["Idempotency-Key"] = command.key
    if command.timeout:
        headers["Timeout-Ms"] = str(command.timeout)
    return headers


@run.register
def _(command: commands.Complete, ctx):
    body = codec.to_json(
        {
            "model": command.route,
            "prompt": command.prompt,
            "max_tokens": command.max_tokens,
            "stream": not command.json,
        }
    )
    reply = ctx.client.send(
        "POST",
        f"{ctx.cfg.online}/v1/completions",
        body,
        _headers(command),
        preload=command.json,
    )
    if isinstance(reply, errors.Failure):
        return output.print_failure(ctx.env, reply)
    if command.json:
        output.print_line(ctx.env, reply.data.decode())
        return exits.Exit.OK
    return _print_stream(ctx, reply)


def _print_stream(ctx, reply):
    """Prints tokens as they arrive.

    A stream that closes without the final event is reported as a failure of
    unknown outcome.
    """
    rest = b""
    for data in reply.stream(None):
        events, rest = stream.split_events(rest + data)
        for event in events:
            if event == stream.DONE_DATA:
                output.print_line(ctx.env, "")
                return exits.Exit.OK
            found = codec.from_json(event, targetmessages.StreamEvent)
            if not isinstance(found, errors.Failure):
                output.print_text(ctx.env, found.choices[0].text)
    output.print_line(ctx.env, "")
    return output.print_failure(
        ctx.env,
        errors.Failure(
            errors.Kind.STREAM_BROKEN,
            "the response is incomplete; repeat the request with its key",
            errors.Outcome.UNKNOWN,
        ),
    )


@run.register
def _(command: commands.Call, ctx):
    body = ctx.env.stdin.read() if command.body == "-" else command.body
    reply = ctx.client.send(
        "POST",
        f"{ctx.cfg.online}/v1/services/{command.route}",
        body.encode(),
        _headers(command),
    )
    return _print_body(ctx, reply)


def _print_body(ctx, reply):
    if isinstance(reply, errors.Failure):
        return output.print_failure(ctx.env, reply)
    output.print_text(ctx.env, reply.data.decode())
    if ctx.env.is_terminal:
        output.print_line(ctx.env, "")
    return exits.Exit.OK


@run.register
def _(command: commands.Result, ctx):
    url = f"{ctx.cfg.online}/v1/results/{command.work}"
    return _print_body(ctx, ctx.client.send("GET", url))


@run.register
def _(command: commands.Submit, ctx):
    data = _read_input(ctx.env, command.file)
    if isinstance(data, errors.Failure):
        return output.print_failure(ctx.env, data)
    reply = ctx.client.send(
        "POST", f"{ctx.cfg.batch}/v1/batches", data, _headers(command)
    )
    if isinstance(reply, errors.Failure):
        return output.print_failure(ctx.env, reply)
    submitted = codec.from_json(reply.data, SubmittedJob)
    output.print_line(ctx.env, submitted.id)
    return exits.Exit.OK


def _read_input(env, path):
    if path == "-":
        return env.stdin.read().encode()
    try:
        with open(path, "rb") as file:
            return file.read()
    except OSError as exc:
        reason = f"{path}: {exc.strerror}"
        return errors.Failure(errors.Kind.BAD_SETTINGS, reason)


@run.register
def _(command: commands.Status, ctx):
    url = f"{ctx.cfg.batch}/v1/batches/{command.work}"
    deadline_s = ctx.env.monotonic_s() + command.wait
    while True:
        found = _get_decoded(ctx, url, JobStatus)
        is_past_deadline = ctx.env.monotonic_s() >= deadline_s
        if isinstance(found, errors.Failure):
            if is_past_deadline or found.outcome is errors.Outcome.NOT_RUN:
                return output.print_failure(ctx.env, found)
        elif is_past_deadline or found.phase != "running":
            return _print_status(ctx, command, found)
        ctx.env.sleep(POLL_INTERVAL_S)


def _print_status(ctx, command, found):
    if command.json:
        output.print_json(ctx.env, found)
    else:
        output.print_line(
            ctx.env,
            f"{found.phase}: {found.done} done, {found.failed} failed,"
            f" {found.unknown} unknown, {found.running} running,"
            f" {found.pending} pending, {found.total} in total",
        )
    if command.wait and found.phase == "running":
        return exits.Exit.NOT_FINISHED
    return exits.Exit.OK


@run.register
def _(command: commands.Results, ctx):
    url = f"{ctx.cfg.batch}/v1/batches/{command.work}/results"
    return _print_body(ctx, ctx.client.send("GET", url))


@run.register
def _(command: commands.Cancel, ctx):
    url = f"{ctx.cfg.batch}/v1/batches/{command.work}/cancel"
    reply = ctx.client.send("POST", url)
    if isinstance(reply, errors.Failure):
        return output.print_failure(ctx.env, reply)
    found = codec.from_json(reply.data, JobStatus)
    output.print_line(ctx.env, f"{found.id} is {found.phase}")
    return exits.Exit.OK


@run.register
def _(command: commands.Explain, ctx):
    data = _read_input(ctx.env, command.logs)
    if isinstance(data, errors.Failure):
        return output.print_failure(ctx.env, data)
    lines = data.decode(errors="replace").splitlines()
    entries = logtrace.find_entries(lines, command.subject)
    if isinstance(entries, errors.Failure):
        return output.print_failure(ctx.env, entries)
    if command.json:
        output.print_json(ctx.env, entries)
        return exits.Exit.OK
    header = ("AT", "VM", "EVENT", "INPUTS")
    rows = [
        (entry.at, entry.vm, entry.event, " ".join(entry.inputs))
        for entry in entries
    ]
    output.print_rows(ctx.env, header, rows)
    return exits.Exit.OK


@run.register
def _(command: commands.Where, ctx):
    found = where.ask(ctx.cfg, command)
    if isinstance(found, errors.Failure):
        return output.print_failure(ctx.env, found)
    if command.json:
        output.print_json(ctx.env, found)
    else:
        where.print_outlook(ctx.env, found)
    return exits.Exit.OK
