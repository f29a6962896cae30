"""Tests `samphirepost where` against daemons of one process."""

import io
import json

import pytest

from samphirepost import organisations
from samphirepost_bench import entryfleet
from samphirepost_cli import core
from samphirepost_cli import environment
from samphirepost_cli import exits
from samphirepost_daemon.entry import where
from tests import entryhelper

TENANTS = [
    {"name": "farms", "apiKeys": ["key-farms"], "priority": 1},
]


class KeyedFleet(entryhelper.Fleet):
    """A fleet whose tables declare an organisation."""

    def configure(self, version, routes):
        """Writes tables with an organisation."""
        document = entryfleet.tables(version, routes)
        document["tenants"] = TENANTS
        self.store.put_row("op", "config", document)


@pytest.fixture(name="fleet")
def make_fleet():
    """Yields a KeyedFleet with two daemons that have one hub."""
    fleet = KeyedFleet(engines=2, daemons=2)
    entryhelper.wait_until(fleet.common_hub, "the daemons have one hub")
    yield fleet
    fleet.stop()


def run(daemon, *argv):
    """Runs `where` at a daemon; returns its status, output and error."""
    env = environment.Environment(
        io.StringIO(), io.StringIO(), io.StringIO(), {}
    )
    address = daemon.cfg.listen.readiness
    status = core.run(env, ["where", *argv, "--at", address])
    return status, env.stdout.getvalue(), env.stderr.getvalue()


def ask(daemon, *argv):
    """Returns the decoded answer of a daemon."""
    status, stdout, stderr = run(daemon, *argv, "--json")
    assert status == exits.Exit.OK, stderr
    return json.loads(stdout)


def by_role(fleet):
    """Returns the daemon that is the hub, and the other one."""
    hub_vm = entryhelper.wait_until(fleet.common_hub, "a common hub")
    return sorted(fleet.daemons, key=lambda one: one.parts.me != hub_vm)


def hub_has_decided(daemon):
    """Returns the hub's answer once it knows the reports, else None."""
    found = ask(
        daemon, entryfleet.HOSTNAME, "/notes/1", "--organisation", "farms"
    )
    return found if found["pools"][0]["by_hub"] else None


def test_it_tells_what_hub_and_daemon_would_do(fleet):
    """Route, organisation, hub, pool and engine; nothing reaches an engine."""
    hub, other = by_role(fleet)
    found = entryhelper.wait_until(
        lambda: hub_has_decided(hub), "the hub decides"
    )
    assert found["route"] == "notes"
    assert found["priority"] == 1
    assert found["organisation"]["is_known"]
    assert found["hub"] == {
        "vm": hub.parts.me,
        "is_me": True,
        "answers": True,
    }
    slot = found["pools"][0]["slot"]
    assert slot["decision"] == "engine"
    assert slot["engine"]["id"] in {one.name for one in fleet.engines}
    text = run(
        other, entryfleet.HOSTNAME, "/notes/1", "--organisation", "farms"
    )[1]
    assert hub.parts.me in text
    assert "by this daemon's own picture" in text
    job = ask(
        hub, entryfleet.HOSTNAME, "/evening/1", "--organisation", "farms"
    )
    assert job["kind"] == "batch"
    assert job["pools"][0]["slot"]["decision"] == "engine"
    assert not any(engine.arrivals for engine in fleet.engines)
    assert hub.slots.hub_server._allocator.granted == 0
    assert hub.metrics.render().count(b"key-farms") == 0


def test_it_tells_the_refusal_that_the_caller_would_get(fleet):
    """The status and reason are those of a request that is sent."""
    daemon = fleet.daemons[0]
    path, host = "/nowhere/1", entryfleet.HOSTNAME
    found = ask(daemon, host, path, "--organisation", "farms")
    reply = fleet.call("POST", path, {"Credential": "key-farms"})
    assert found["refusal"]["status"] == reply.status == 404
    assert found["refusal"]["reason"] == reply.body.decode().strip()
    found = ask(daemon, host, "/notes/1", "--organisation", "mills")
    reply = fleet.call("POST", "/notes/1", {"Credential": "key-mills"})
    assert found["refusal"]["status"] == reply.status == 401
    for engine in list(fleet.engines):
        fleet.remove_engine(engine)
    found = ask(daemon, host, "/notes/1", "--organisation", "farms")
    reply = fleet.call("POST", "/notes/1", {"Credential": "key-farms"})
    refusal = found["pools"][0]["refusal"]
    assert refusal["status"] == reply.status == 503
    assert refusal["reason"] == reply.body.decode().strip()


def test_a_question_while_another_is_answered_is_refused(fleet):
    """Else questions could take both threads of the readiness checks."""
    daemon = fleet.daemons[0]
    app = where.WhereApp(daemon.parts)
    app._busy.acquire()
    statuses = []
    environ = {"REQUEST_METHOD": "GET", "QUERY_STRING": "host=h&path=/p"}
    body = app(environ, lambda status, _headers: statuses.append(status))
    assert statuses == ["503 Service Unavailable"]
    assert b"another question" in b"".join(body)


def test_a_daemon_that_does_not_know_the_path_is_reported(fleet):
    """A listener of callers answers with something else."""
    daemon = fleet.daemons[0]
    env = environment.Environment(
        io.StringIO(), io.StringIO(), io.StringIO(), {}
    )
    argv = ["where", "h", "/p", "--at", daemon.cfg.listen.callers]
    assert core.run(env, argv) != exits.Exit.OK
    assert env.stderr.getvalue().count("\n") == 1


class OlderServer(entryhelper.RawServer):
    """The readiness address of a build that does not know /where."""

    def serve(self, conn):
        """Answers as to a readiness check."""
        conn.recv(4096)
        conn.sendall(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nready\n")


def test_a_daemon_of_an_older_build_is_reported():
    """It answers every path as a readiness check."""
    server = OlderServer()
    env = environment.Environment(
        io.StringIO(), io.StringIO(), io.StringIO(), {}
    )
    argv = ["where", "h", "/p", "--at", server.address]
    assert core.run(env, argv) == exits.Exit.REFUSED
    assert "gives no such answer" in env.stderr.getvalue()
    server.stop()


@pytest.mark.parametrize(
    "query",
    [
        "",
        "host=h",
        "host=h&path=/p&key=secret",
        "host=h&path=/" + "p" * where.QUERY_LENGTH_MAX,
        "&".join(["host=h"] * (where.FIELDS_MAX + 1)),
    ],
)
def test_an_unreadable_question_is_refused(query):
    """With one line that tells why, and without a key in it."""
    reason = where.parse_question(query)
    assert isinstance(reason, str)
    assert "\n" not in reason
    assert "secret" not in reason


def test_a_question_names_no_key():
    """Keys stay with the callers: an organisation is named."""
    found = where.parse_question("host=H&path=/p%3Fq&organisation=farms")
    assert found.path == "/p?q"
    assert found.organisation == "farms"
    assert organisations.key_digest(b"farms") not in repr(found)
