"""Items of services that cannot run, beside those of sound ones."""

import json

import pytest

from samphirepost_bench import entryfleet
from samphirepost_bench import stuckpools
from tests import entryhelper

LOST_SERVICE = "bulbs"
# Jobs of the lost service are due first, and none is late within a test.
LOST_COMPLETION_MS = 200_000
COMPLETION_MS = 300_000
RETENTION_S = 600


def batch_route(name, completion_ms, **fields):
    """Returns a batch route in the format of the operator's tables."""
    return entryfleet.route(
        name,
        f"/{name}/",
        "batch",
        retentionS=RETENTION_S,
        completionTargetMs=completion_ms,
        **fields,
    )


@pytest.fixture
def fleet():
    """A daemon with two engines, and a second service without an engine."""
    new_fleet = entryhelper.Fleet()
    document = entryfleet.tables(
        2,
        (
            batch_route("evening", COMPLETION_MS),
            batch_route("bulbs", LOST_COMPLETION_MS, service=LOST_SERVICE),
        ),
    )
    document["services"].append(
        {"name": LOST_SERVICE, "healthPath": "/health"}
    )
    new_fleet.store.put_row("op", "config", document)
    state = new_fleet.daemons[0].state
    entryhelper.wait_until(
        lambda: state.table.revision == 2, "the tables are read"
    )
    yield new_fleet
    new_fleet.stop()


def submit_lost(fleet, job, count):
    """Submits a job of the service without an engine."""
    items = [
        {
            "id": f"{job}-{number}",
            "path": "/bulbs/1",
            "headers": {"Model": "m", "Prompt-Prefix": "bulb:9,own:1"},
            "body": "Ym9keQ==",
            "tokens": 100,
        }
        for number in range(count)
    ]
    body = json.dumps({"requests": items}).encode()
    reply = fleet.call("POST", "/bulbs/x", {"Request-Id": job}, body)
    assert reply.status == 202


# review/11, LOST: items of a service without an engine took all places of a
# daemon's report, and items of a sound service were never asked for.
@pytest.mark.parametrize("counts", [(40,), (20, 20), (2,) * 12])
def test_items_without_an_engine_keep_no_others_waiting(fleet, counts):
    for number, count in enumerate(counts):
        submit_lost(fleet, f"lost-{number}", count)
    assert fleet.submit("job", 10).status == 202
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )
    assert {one["state"] for one in results} == {"done"}


# The same without a hub: the first two of all wanted items were tried.
def test_without_a_hub_items_without_an_engine_keep_no_others_waiting(
    fleet, monkeypatch
):
    slots = fleet.daemons[0].slots
    monkeypatch.setattr(type(slots), "hub_answers", False)
    monkeypatch.setattr(slots.hub_server, "allocate", lambda _: None)
    submit_lost(fleet, "lost", 40)
    assert fleet.submit("job", 10).status == 202
    entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )


# The seed has a service without engines, and slow and busy ones.
def test_sound_services_are_on_time_beside_stuck_ones():
    assert stuckpools.run([4], report=lambda _: None) == []
