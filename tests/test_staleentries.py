"""Engines at whose address another engine answers.

An engine that starts again has another id as a rule. Until its old entry
expires, the registry names its address twice, and it answers 421 to requests
that name the old id.
"""

import concurrent.futures
import json

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_bench import entryfleet
from samphirepost_daemon.entry import items
from tests import entryhelper
from tests import test_brokenanswers
from tests import test_leaving

FOREIGN_REFUSAL = (
    "HTTP/1.1 421 Other\r\nRequest-Id: {name}\r\nContent-Length: 0\r\n\r\n"
)
OLD = "engine-0"
NEW = "engine-0-again"
# Requests that are sent at once; one engine has slots for them.
MANY = 6


@pytest.fixture
def fleet():
    """Two daemons with two engines."""
    new_fleet = entryhelper.Fleet(daemons=2)
    entryhelper.wait_until(new_fleet.common_hub, "all have one hub")
    yield new_fleet
    new_fleet.stop()


def replace_engine(fleet):
    """Has another engine answer at the first one's address; returns it.

    Its own entry is not written yet.
    """
    engine = fleet.engines[0]
    assert engine.name == OLD
    engine.name = NEW
    return engine


def is_known(daemon, name=OLD):
    """Whether a daemon uses an entry no more that the registry still has."""
    return not daemon.state.is_usable(daemon.state.roster.get(name))


def wait_until_known(fleet):
    """Waits until no daemon uses the old entry any more."""
    entryhelper.wait_until(
        lambda: all(is_known(one) for one in fleet.daemons),
        "all daemons know that the entry is stale",
    )


def send_many(fleet, prefix, path="/notes/1", daemons=(0, 1)):
    """Sends requests at once, so that all engines get some.

    Returns their statuses.
    """
    with concurrent.futures.ThreadPoolExecutor(MANY) as pool:
        replies = pool.map(
            lambda number: fleet.send_online(
                f"{prefix}-{number}", path, daemons[number % len(daemons)]
            ),
            range(MANY),
        )
        return [reply.status for reply in replies]


def tell(fleet, path="/notes/1", **headers):
    """Has the first daemon hear it; returns the replaced engine.

    The other engine takes no requests meanwhile.
    """
    test_leaving.list_other(fleet, "draining")
    engine = replace_engine(fleet)
    assert fleet.send_online("told", path, **headers).status == 503
    assert len(engine.arrivals) == 1
    test_leaving.list_other(fleet, "ready")
    return engine


# Items and online requests were sent to such addresses again and again, up to
# 144 a second, until the old entries had expired.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_a_daemon_that_hears_it_sends_nothing_more(fleet, path):
    """From the first answer on."""
    engine = tell(fleet, path)
    assert set(send_many(fleet, "after", path, daemons=(0,))) == {200}
    assert len(engine.arrivals) == 1


def test_the_other_daemons_hear_it_from_the_hub(fleet):
    """They send nothing there either."""
    engine = tell(fleet)
    wait_until_known(fleet)
    assert set(send_many(fleet, "after")) == {200}
    assert len(engine.arrivals) == 1


@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_requests_under_way_go_on_elsewhere(fleet, path):
    """They have not run there, so they may run once at the other engine."""
    engine = replace_engine(fleet)
    assert set(send_many(fleet, "first", path)) == {200}
    assert all(fleet.ran(f"first-{number}") == 1 for number in range(MANY))
    assert 0 < len(engine.arrivals) <= MANY
    wait_until_known(fleet)
    before = len(engine.arrivals)
    assert set(send_many(fleet, "after", path)) == {200}
    assert len(engine.arrivals) == before


def test_items_go_on_elsewhere(fleet):
    """Those that the engine refused have not run there."""
    engine = replace_engine(fleet)
    fleet.submit("job", 24)
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )
    assert {one["state"] for one in results} == {"done"}
    wait_until_known(fleet)
    # One for each slot that was granted before the first answer, at most.
    assert 0 < len(engine.arrivals) <= engine.slots
    before = len(engine.arrivals)
    fleet.submit("after", 8, daemon=1)
    entryhelper.wait_until(
        lambda: fleet.complete_results("after"), "the next job is done"
    )
    assert len(engine.arrivals) == before
    assert not any(one.has_run for one in engine.arrivals)


def test_with_all_entries_stale_requests_are_refused_at_once(fleet):
    """They have not run, and may come again; no engine sees them."""
    for engine in fleet.engines:
        engine.name += "-again"
    assert fleet.send_online("told", "/bills/1").status == 503
    seen = [len(engine.arrivals) for engine in fleet.engines]
    assert seen == [1, 1]
    for number in range(8):
        reply = fleet.send_online(f"r-{number}", "/bills/1")
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
    assert [len(engine.arrivals) for engine in fleet.engines] == seen


def test_the_engine_at_the_address_is_used_under_its_own_id(fleet):
    """At once, while the old entry is still listed."""
    engine = tell(fleet)
    assert is_known(fleet.daemons[0])
    fleet.list_engine(engine)
    daemon = fleet.daemons[0]
    entryhelper.wait_until(
        lambda: (
            daemon.state.roster.get(NEW)
            and daemon.state.is_usable(daemon.state.roster.get(NEW))
        ),
        "the new entry is used",
    )
    assert is_known(daemon)


@pytest.mark.parametrize("changed", ["born", "address"])
def test_an_entry_that_changes_is_used_again(fleet, changed):
    """The engine that wrote it has not been heard yet."""
    engine = tell(fleet)
    daemon = fleet.daemons[0]
    assert is_known(daemon)
    change = {"born": 7, "address": "127.0.0.1:9"}[changed]
    document = engine.entry(entryfleet.POOL) | {changed: change}
    fleet.store.put_row("servers", OLD, document)
    entryhelper.wait_until(lambda: not is_known(daemon), "it is used again")


def test_an_entry_that_is_still_listed_later_is_used_again(fleet):
    """The engine that answered may have been wrong; then it serves again."""
    engine = tell(fleet)
    wait_until_known(fleet)
    engine.name = OLD
    entryhelper.wait_until(
        lambda: not any(is_known(one) for one in fleet.daemons),
        "all daemons use it again",
    )
    assert set(send_many(fleet, "after")) == {200}
    assert any(one.has_run for one in engine.arrivals)


@pytest.mark.parametrize("header", ["Expect-Version", "expect-version"])
def test_a_refusal_for_its_weights_says_nothing_of_an_entry(fleet, header):
    """Callers name the weights that they expect."""
    tell(fleet, **{header: "3"})
    assert not is_known(fleet.daemons[0])


def test_a_refusal_of_another_request_says_nothing_of_an_entry():
    """As it may be late, it is no answer at all."""
    fleet = entryhelper.Fleet(engines=0)
    server = test_brokenanswers.ScriptedEngine(
        FOREIGN_REFUSAL.format(name="earlier")
    )
    try:
        fleet.list_address(OLD, server.address)
        assert fleet.send_online("r1").status == 502
        assert server.requests == ["r1"]
        assert not is_known(fleet.daemons[0])
    finally:
        server.stop()
        fleet.stop()


class StaleObserver(items.RunObserver):
    """Counts how often another engine answered."""

    __slots__ = ("count",)

    def __init__(self):
        self.count = 0

    def stale_target(self):
        """Counts it."""
        self.count += 1


@pytest.mark.parametrize(
    ("name", "headers", "told"),
    [
        ("i1", {}, 1),
        ("i1", {"Expect-Version": "3"}, 0),
        ("i1", {"EXPECT-VERSION": "3"}, 0),
        ("earlier", {}, 0),
    ],
)
def test_an_item_tells_of_a_stale_entry(name, headers, told):
    """Unless the engine may have refused its weights, or another request."""
    server = test_brokenanswers.ScriptedEngine(
        FOREIGN_REFUSAL.format(name=name)
    )
    try:
        engine = roster.Engine(OLD, "plants", server.address, "a", 8)
        item = batchjob.Item("i1", "/evening/1", headers, b"body", 10)
        observer = StaleObserver()
        outcome = entryhelper.run_item(
            item, engine, batchjob.PartialOutput(), observer
        )
        assert isinstance(outcome, items.InterruptedRun)
        assert observer.count == told
    finally:
        server.stop()


# The captured output was read while daemons wrote to it: lines were lost then.
def test_it_is_logged_once(fleet, tmp_path, monkeypatch):
    """With the address and the start of the entry."""
    path = tmp_path / "daemon.log"

    def lines():
        complete = path.read_text().rpartition("\n")[0]
        events = [json.loads(one) for one in complete.splitlines()]
        return [one for one in events if one["event"] == "engine.stale"]

    with path.open("w") as file, monkeypatch.context() as patch:
        log = fleet.daemons[0].log
        patch.setattr(log, "_file_no", file.fileno())
        tell(fleet)
        send_many(fleet, "after", daemons=(0,))
        (line,) = entryhelper.wait_until(lines, "the line is written")
    assert line["engine"] == OLD
    assert line["address"] == fleet.engines[0].address
