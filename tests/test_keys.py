"""Tests requests with keys against real daemons of one process."""

import base64
import json
import time

import pytest

from samphirepost import batchjob
from samphirepost import organisations
from samphirepost import routing
from samphirepost import slotmessages
from samphirepost_bench import entryfleet
from samphirepost_daemon.entry import settings
from samphirepost_daemon.entry import state
from samphirepost_daemon.platform import wire
from tests import entryhelper

TENANTS = [
    {"name": "farms", "apiKeys": ["key-farms", "key-farms-2"], "priority": 1},
    {"name": "mills", "apiKeys": ["key-mills"]},
]
OPEN_ROUTE = entryfleet.route("open", "/open/", anonymous=True)


class KeyedFleet(entryhelper.Fleet):
    """A fleet whose tables declare organisations."""

    def configure(self, version, routes, tenants=TENANTS):
        """Writes tables with organisations."""
        document = entryfleet.tables(version, [*routes, OPEN_ROUTE])
        document["tenants"] = tenants
        self.store.put_row("op", "config", document)

    def wait_revision(self, version):
        """Waits until all daemons have the tables of this version."""
        for daemon in self.daemons:
            entryhelper.wait_until(
                lambda one=daemon: one.state.table.revision == version,
                f"version {version}",
            )


@pytest.fixture(name="fleet")
def make_fleet():
    """Yields a KeyedFleet with two daemons."""
    fleet = KeyedFleet(engines=1, daemons=2)
    yield fleet
    fleet.stop()


def send(fleet, request, key, path="/notes/1", daemon=0, **headers):
    """Sends a request for a stream with a key, if it is not None."""
    headers["Request-Id"] = request
    if key is not None:
        headers["Credential"] = key
    return fleet.call("POST", path, headers, b"x", daemon)


def arrival(fleet, request):
    """Returns the only Arrival of a request at the engines."""
    (found,) = [
        one
        for engine in fleet.engines
        for one in engine.arrivals
        if one.id == request
    ]
    return found


def test_an_engine_gets_the_organisation_and_never_the_key(fleet):
    """Engines are not trusted with keys, nor callers with names."""
    reply = send(fleet, "r1", "key-farms", Tenant="mills")
    assert reply.status == 200
    headers = arrival(fleet, "r1").headers
    assert headers["Tenant"] == "farms"
    assert "Credential" not in headers
    assert "key-farms" not in json.dumps(headers)


@pytest.mark.parametrize(
    "key", [None, "", "other", "key-farms, key-mills", "key-farm", "\xff" * 9]
)
def test_a_request_without_a_known_key_gets_401(fleet, key):
    """It would run for somebody who may not send it."""
    assert send(fleet, "r1", key).status == 401
    assert fleet.arrived("r1") == 0


def test_an_anonymous_route_needs_no_key(fleet):
    """Neither a key nor a name that the caller chose goes on."""
    reply = send(fleet, "r1", "other", "/open/1", Tenant="farms")
    assert reply.status == 200
    headers = arrival(fleet, "r1").headers
    assert "Tenant" not in headers
    assert "Credential" not in headers


def test_a_withdrawn_key_is_refused_and_a_new_one_accepted(fleet):
    """All daemons follow the tables."""
    tenants = [{"name": "farms", "apiKeys": ["key-new"]}]
    fleet.configure(2, entryfleet.ROUTES, tenants)
    fleet.wait_revision(2)
    for daemon in range(2):
        assert send(fleet, "r1", "key-farms", daemon=daemon).status == 401
        reply = send(fleet, f"n{daemon}", "key-new", daemon=daemon)
        assert reply.status == 200


def test_an_unknown_key_gets_503_while_newer_tables_exist(fleet):
    """401 is final for a caller whose key the newer tables may have."""
    daemon = fleet.daemons[0]
    daemon.state.record_peer_tables(slotmessages.TablesAge(9, 0.0))
    reply = send(fleet, "r1", "other")
    assert reply.status == 503
    assert float(reply.headers["Retry-After"]) > 0


def test_a_daemon_learns_from_the_hub_that_its_tables_are_old(fleet):
    """A daemon that misses changes would refuse new keys for good."""
    second = fleet.daemons[1]
    fleet.daemons[0].state.table_confirmed_s = state.boottime_s()
    fleet.daemons[0].state.newest_revision = 1
    newer = routing.Table(
        7, (), {}, directory=fleet.daemons[0].state.table.directory
    )
    fleet.daemons[0].state.apply_table(newer)
    entryhelper.wait_until(
        lambda: second.state.newest_revision == 7, "the hub's word"
    )
    assert second.state.is_behind


def submit(fleet, job, key, tokens=10):
    """Submits a job of one item."""
    item = {
        "id": f"{job}-1",
        "path": "/evening/1",
        "headers": {"Credential": "key-mills", "Tenant": "mills"},
        "body": base64.b64encode(b"b").decode(),
        "tokens": tokens,
    }
    headers = {"Request-Id": job, "Credential": key}
    body = json.dumps({"requests": [item]}).encode()
    return fleet.call("POST", "/evening/x", headers, body)


def read(fleet, path, key, method="GET", daemon=0):
    """Reads a job or item with a key."""
    headers = {"Credential": key} if key else {}
    return fleet.call(method, path, headers, daemon=daemon)


def test_a_job_exists_for_its_organisation_only(fleet):
    """Others learn neither its results nor whether there is such a job."""
    assert submit(fleet, "j1", "key-farms").status == 202
    for daemon in range(2):
        own = read(fleet, "/lots/j1?after=0", "key-farms-2", daemon=daemon)
        assert own.status == 200
        other = read(fleet, "/lots/j1?after=0", "key-mills", daemon=daemon)
        missing = read(fleet, "/lots/j9?after=0", "key-mills", daemon=daemon)
        assert (other.status, other.body) == (404, missing.body)
    for method, path in (("DELETE", "/lots/j1"), ("GET", "/items/j1?id=j1-1")):
        assert read(fleet, path, "key-mills", method).status == 404
        assert read(fleet, path, "none", method).status == 401
        assert read(fleet, path, None, method).status == 401


def test_an_item_runs_in_the_name_of_its_jobs_organisation(fleet):
    """Headers of the item name neither a key nor an organisation."""
    assert submit(fleet, "j1", "key-farms").status == 202
    entryhelper.wait_until(lambda: fleet.arrived("j1-1"), "the item runs")
    headers = arrival(fleet, "j1-1").headers
    assert headers["Tenant"] == "farms"
    assert "Credential" not in headers


def test_a_withdrawn_key_ends_no_job(fleet):
    """The organisation reads it with another key."""
    assert submit(fleet, "j1", "key-farms").status == 202
    tenants = [{"name": "farms", "apiKeys": ["key-new"]}]
    fleet.configure(2, entryfleet.ROUTES, tenants)
    fleet.wait_revision(2)
    assert read(fleet, "/lots/j1?after=0", "key-farms").status == 401

    def is_listed():
        reply = read(fleet, "/lots/j1?after=0", "key-new")
        return reply.status == 200 and json.loads(reply.body)["results"]

    entryhelper.wait_until(is_listed, "the result")


def test_the_job_limit_counts_by_organisation():
    """One that fills its own must not keep another's job out."""
    fleet = KeyedFleet(engines=0)
    try:
        routes = [
            {**one, "cap": 100} if one["kind"] == "batch" else one
            for one in entryfleet.ROUTES
        ]
        fleet.configure(2, routes)
        fleet.wait_revision(2)
        assert submit(fleet, "j1", "key-farms", 80).status == 202
        assert submit(fleet, "j2", "key-farms", 80).status == 429
        assert submit(fleet, "j3", "key-mills", 80).status == 202
        assert submit(fleet, "j1", "key-farms", 80).status == 202
        assert submit(fleet, "j1", "key-mills", 10).status == 409
    finally:
        fleet.stop()


class TestAge:
    """Tests when tables may be too old to decide by."""

    def make(self, age_s, **revocation):
        """Returns a State with tables that were confirmed `age_s` ago."""
        found = state.State(settings.RevocationSettings(**revocation))
        found.apply_table(routing.Table(1, (), {}))
        found.record_table_read()
        found.table_confirmed_s -= age_s
        return found

    def test_fresh_tables_decide(self):
        """Neither clock doubt nor outage is assumed."""
        found = self.make(0.1)
        assert not found.may_be_outdated()
        assert not found.may_have_lost_keys()

    def test_a_vm_that_was_suspended_accepts_no_key_before_it_has_read(self):
        """A key may have been withdrawn meanwhile."""
        found = self.make(60.0)
        assert found.may_have_lost_keys()
        found.record_table_read()
        assert not found.may_have_lost_keys()

    def test_keys_stay_in_use_in_an_outage_of_the_store(self):
        """Callers would be refused for an outage that they do not see."""
        found = self.make(60.0)
        found.record_table_failure()
        assert not found.may_have_lost_keys()
        assert found.may_be_outdated()

    def test_strict_settings_refuse_keys_in_an_outage(self):
        """Then no key that was withdrawn is accepted anywhere."""
        found = self.make(60.0, is_strict=True)
        found.record_table_failure()
        assert found.may_have_lost_keys()

    def test_the_hub_confirms_tables_of_the_same_revision(self):
        """A daemon without the store trusts daemons that have it."""
        found = self.make(60.0, is_strict=True)
        found.record_table_failure()
        found.record_peer_tables(slotmessages.TablesAge(2, 0.0))
        assert found.may_have_lost_keys()
        found = self.make(60.0, is_strict=True)
        found.record_peer_tables(slotmessages.TablesAge(1, 0.2))
        assert not found.may_have_lost_keys()


def test_records_of_an_older_build_are_read():
    """Jobs that it accepted have no organisation."""
    record = batchjob.Record("j", "h", "r", "/evening/", ())
    assert record.organisation == ""
    item = batchjob.Item("i", "/evening/1", {"Credential": "k"}, b"", 1)
    headers = dict(wire.item_request(record, item).headers)
    assert headers["Credential"] == "k"


def test_a_key_is_in_no_log_line(fleet, capfd):
    """Log lines have the beginning of its digest."""
    assert send(fleet, "r1", "very-secret").status == 401
    assert send(fleet, "r2", "key-farms").status == 200
    for daemon in fleet.daemons:
        daemon.log.close()
    time.sleep(0)
    written = "".join(capfd.readouterr())
    digest = organisations.key_digest(b"very-secret")
    assert "very-secret" not in written
    assert "key-farms" not in written
    assert organisations.logged_digest(digest) in written
