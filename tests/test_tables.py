"""Tests the checks, edits, audit rows and updates of routes and pools."""

import hypothesis
from hypothesis import strategies as st
import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import jsonc
from samphirepost import tables
from samphirepost_bench import fleet
from samphirepost_daemon import activetables
from samphirepost_daemon import clock
from samphirepost_daemon import directory
from samphirepost_daemon import operators
from tests import helper


class TargetRow:
    """The attributes that the row of a target is made from."""

    name = "engine-0"
    url = "http://127.0.0.1:1"
    zone = "krakow-a"


def pair(note=""):
    """Returns the demo's Routes and Pools."""
    target = TargetRow()
    routes = msgspec.convert(fleet.routes_table(), tables.Routes)
    pools = fleet.pools_table([target], [target], [target])
    return routes, msgspec.convert(pools, tables.Pools)


def app(table):
    """Returns a daemon's operator application with this table service."""
    return operators.OperatorsApp(
        clock.Clock(),
        activetables.ActiveTables(),
        None,
        directory.Directory(3.0),
        table,
    )


def edit(expected, note=""):
    routes, pools = pair()
    return operators.TablesEdit(expected, routes, pools, note)


def test_route_to_a_missing_pool_is_refused():
    """The failure's reason names the field."""
    routes, _ = pair()
    failure = tables.check(tables.join(routes, tables.Pools({}), 1))
    assert failure.kind is errors.Kind.POOL_MISSING
    assert "routes.care-note.pool" in failure.reason


def test_unknown_field_is_refused_with_its_path():
    text = '{"pools": {"p": {"targets": [], "colour": 1}}}  // why'
    failure = jsonc.parse(text, tables.Pools, "pools.json")
    assert failure.kind is errors.Kind.BAD_SETTINGS
    assert failure.reason.startswith("pools.json: ")
    assert "colour" in failure.reason
    assert "$.pools" in failure.reason


def test_edit_from_a_stale_revision_is_refused():
    """It would undo an edit that the operator has not seen."""
    table = helper.FakeTable()
    assert app(table).apply_edit(edit(0), "operator").revision == 1
    failure = app(table).apply_edit(edit(0), "operator")
    assert failure.kind is errors.Kind.STALE_REVISION
    assert failure.outcome is errors.Outcome.NOT_RUN
    assert "revision 1" in failure.reason


def test_loser_of_a_race_is_refused_and_told_the_winner():
    """Two operators read revision 1, and the second writes first."""
    table = helper.FakeTable()
    app(table).apply_edit(edit(0), "operator")
    first = app(table)
    before = first.read_tables(1)
    assert app(table).apply_edit(edit(1), "other").revision == 2
    failure = first.write_tables(before, edit(1), "operator")
    assert failure.kind is errors.Kind.STALE_REVISION
    assert "revision 2" in failure.reason


def test_write_without_a_response_is_read_back_and_audited_once():
    """The write took effect, so a repeat must not write a second audit row."""
    table = helper.FakeTable()
    table.faults = ["lose"]
    assert app(table).apply_edit(edit(0), "operator").revision == 1
    rows = table.scan(activetables.AUDIT_PREFIX)
    assert len(rows) == 1
    audit = codec.unpack(rows[0].value, tables.AuditRow)
    assert (audit.revision, audit.previous) == (1, 0)
    assert audit.who == "operator"
    assert {c["table"] for c in audit.changes} == {
        "callers",
        "routes",
        "pools",
    }


def test_edit_is_unknown_while_no_response_is_received():
    """Each write may still take effect later."""
    table = helper.FakeTable()
    table.faults = ["late"] * operators.WRITE_ATTEMPTS_MAX
    failure = app(table).apply_edit(edit(0), "operator")
    assert failure.outcome is errors.Outcome.UNKNOWN


def test_setup_without_a_token_may_edit_empty_tables_only():
    """Else anyone could edit the tables without an operator's token."""
    table = helper.FakeTable()
    app(table).apply_edit(edit(0), "operator")
    failure = app(table).apply_edit(edit(1), operators.SETUP_CALLER)
    assert failure.kind is errors.Kind.NOT_OPERATOR


@hypothesis.given(st.lists(st.integers(1, 50)))
def test_member_moves_only_forward(revisions):
    """Tables of peers arrive in any order."""
    member = activetables.ActiveTables()
    highest = 0
    for revision in revisions:
        member.apply_if_newer(tables.Tables(revision))
        highest = max(highest, revision)
        assert member.revision == highest


names = st.sampled_from(["care-note", "slip", "summary", "notice"])
routes_of = st.dictionaries(
    names, st.builds(tables.Route, st.sampled_from(["p", "q"]), st.just(()))
)


@hypothesis.given(st.lists(routes_of, min_size=1, max_size=12), st.data())
def test_steps_lead_a_member_to_the_same_tables(edits, data):
    """The reply to a member of any revision brings it up to date."""
    sender = activetables.ActiveTables()
    history = [sender.tables]
    for revision, routes in enumerate(edits, 1):
        sender.apply_if_newer(tables.Tables(revision, {}, routes, {}))
        history.append(sender.tables)
    member = activetables.ActiveTables()
    member.apply_if_newer(data.draw(st.sampled_from(history)))
    member.apply_reply(sender.reply_since(member.revision))
    assert member.tables == sender.tables


def test_member_far_behind_gets_the_tables_whole():
    """The sender has dropped the oldest steps."""
    sender, member = activetables.ActiveTables(), activetables.ActiveTables()
    for revision in range(1, activetables.STEPS_MAX + 5):
        sender.apply_if_newer(tables.Tables(revision))
    reply = sender.reply_since(1)
    assert not reply.steps
    member.apply_reply(reply)
    assert member.tables == sender.tables


def test_changes_name_each_row_that_differs():
    routes, pools = pair()
    before = tables.join(routes, pools, 1)
    slip = msgspec.structs.replace(routes.routes["slip"], pool="notices")
    after = tables.join(
        tables.Routes(routes.callers, {**routes.routes, "slip": slip}),
        pools,
        2,
    )
    (change,) = tables.changes(before, after)
    assert (change["table"], change["name"]) == ("routes", "slip")
    assert change["after"]["pool"] == "notices"
