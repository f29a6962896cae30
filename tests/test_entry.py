"""Tests of an entry daemon over HTTP, with emulated store and engines."""

import http.client
import threading
import time

import pytest

from samphirepost import batchjob
from samphirepost import codec
from samphirepost import errors
from samphirepost import slotmessages
from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import memorystore
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import metrics
from samphirepost_daemon.entry import storerelay
from tests import entryhelper

Fault = streamengine.Fault


@pytest.fixture
def fleet():
    """One daemon with two engines."""
    new_fleet = entryhelper.Fleet()
    yield new_fleet
    new_fleet.stop()


@pytest.fixture
def pair():
    """Two daemons with two engines."""
    new_fleet = entryhelper.Fleet(daemons=2)
    yield new_fleet
    new_fleet.stop()


def test_a_stream_is_passed_on_whole_with_its_seal(fleet):
    """The path, id, headers and deadline must reach the engine as sent.

    The response must arrive complete, with the engine's seal header.
    """
    found = fleet.send_online("r1", "/notes/7?x=1", Model="m")
    assert (found.status, found.complete) == (200, True)
    assert found.text == fleet.engines[0].text("r1")
    arrivals = [one for e in fleet.engines for one in e.arrivals]
    assert [one.path for one in arrivals] == ["/notes/7?x=1"]
    assert arrivals[0].headers["Model"] == "m"
    assert 0 < arrivals[0].remaining_s <= 5
    seals = {f"seal-{engine.name}" for engine in fleet.engines}
    assert found.headers["Response-Seal"] in seals


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.CUT_EVENT])
def test_a_resumable_stream_goes_on_elsewhere(fleet, fault):
    """No event may be lost or repeated if an engine breaks off a stream.

    Another engine resumes the stream after the last event sent.
    """
    for engine in fleet.engines:
        engine.faults.append(fault)
    fleet.engines[0].faults.clear()
    for number in range(4):
        found = fleet.send_online(f"r{number}")
        assert found.complete
        assert found.text == fleet.engines[0].text(f"r{number}")


@pytest.mark.parametrize("fault", [Fault.CUT, Fault.CUT_EVENT])
def test_a_stream_that_cannot_be_resumed_is_cut_too(fleet, fault):
    """A partial response must not look complete, nor the request run twice.

    Both engines break off the stream, on a route that does not resume.
    """
    for engine in fleet.engines:
        engine.faults.append(fault)
    found = fleet.send_online("r1", "/bills/1")
    assert not found.complete
    assert fleet.ran("r1") == 1


def test_a_refused_request_goes_to_another_engine(fleet):
    """A rejection by one engine must not fail the request.

    The engine reports that it has not run the request, so that it may be sent
    to another one, even on a route that is not repeatable.
    """
    for engine in fleet.engines:
        engine.faults.append(Fault.REFUSE)
    fleet.engines[0].faults.clear()
    for number in range(3):
        found = fleet.send_online(f"r{number}", "/bills/1")
        assert (found.status, found.complete) == (200, True)
        assert fleet.ran(f"r{number}") == 1


def test_a_rejection_by_all_engines_has_a_retry_after(fleet):
    """A request that all engines reject is answered 503 with Retry-After."""
    for engine in fleet.engines:
        engine.faults.append(Fault.REFUSE)
    found = fleet.send_online("r1", "/bills/1")
    assert found.status == 503
    assert float(found.headers["Retry-After"]) > 0
    assert fleet.ran("r1") == 0


def test_another_requests_answer_is_not_passed_on(fleet):
    """A response to another request must not reach the caller.

    The request may have run and can't be repeated, so it is answered 502.
    """
    for engine in fleet.engines:
        engine.faults.append(Fault.CROSS)
    found = fleet.send_online("r1", "/bills/1")
    assert found.status == 502
    assert "Response-Seal" not in found.headers
    assert fleet.ran("r1") == 1


def test_an_address_that_belongs_to_another_engine_runs_nothing(fleet):
    """A reused address must not run requests for its former engine.

    The engine rejects a request whose target id is not its own.
    """
    stranger = streamengine.Engine("stranger")
    stranger.start()
    for engine in fleet.engines:
        entry = {**engine.entry(entryfleet.POOL)}
        entry["address"] = stranger.address
        fleet.store.put_row("servers", engine.name, entry)
    state = fleet.daemons[0].state
    entryhelper.wait_until(
        lambda: all(
            one.address == stranger.address
            for one in state.engines(entryfleet.POOL)
        ),
        "the new addresses are read",
    )
    assert fleet.send_online("r1").status == 503
    assert stranger.ran("r1") == 0


def test_the_engine_is_left_when_the_caller_leaves(fleet):
    """A request whose caller has disconnected must not occupy a slot.

    The daemon closes the connection to the engine.
    """
    for engine in fleet.engines:
        engine.faults.append(Fault.SILENT)
    fleet.send_and_leave("r1")
    entryhelper.wait_until(
        lambda: any(engine.disconnected.is_set() for engine in fleet.engines),
        "the engine sees the connection closed",
    )


def test_a_route_that_is_dropped_or_moved_follows_the_newest_tables(fleet):
    """Newer tables must be applied without a restart.

    Tables with an older version must not replace them.
    """
    assert fleet.send_online("r1", "/late/1").status == 404
    late = entryfleet.route("late", "/late/")
    fleet.configure(5, [late])
    state = fleet.daemons[0].state
    entryhelper.wait_until(lambda: state.table.revision == 5, "version 5")
    assert fleet.send_online("r2", "/late/1").status == 200
    assert fleet.send_online("r3", "/notes/1").status == 404
    fleet.configure(4, entryfleet.ROUTES)
    late_route = entryfleet.route("later", "/later/")
    fleet.configure(6, [late_route])
    entryhelper.wait_until(lambda: state.table.revision == 6, "version 6")


def test_a_draining_engine_gets_no_new_work(fleet):
    """A draining engine must get no requests once the daemon has read so."""
    leaving, staying = fleet.engines
    entry = leaving.entry(entryfleet.POOL, "draining")
    fleet.store.put_row("servers", leaving.name, entry)
    state = fleet.daemons[0].state
    entryhelper.wait_until(
        lambda: len(state.engines(entryfleet.POOL)) == 1,
        "one engine is draining",
    )
    before = len(leaving.arrivals)
    for number in range(4):
        assert fleet.send_online(f"r{number}").status == 200
    assert len(leaving.arrivals) == before
    assert len(staying.arrivals) >= 4


def test_an_entry_that_cannot_be_read_names_no_engine(fleet):
    """Malformed registry entries must not affect the valid ones."""
    fleet.store.put_row("servers", "odd-1", {"service": 5})
    fleet.store.put_row("servers", "odd-2", ["no", "engine"])
    odd = {**fleet.engines[0].entry(entryfleet.POOL), "state": "dancing"}
    fleet.store.put_row("servers", "odd-3", odd)
    fleet.store.put_row("servers", "good", fleet.engines[0].entry("good"))
    state = fleet.daemons[0].state
    entryhelper.wait_until(
        lambda: state.roster.get("good"), "the last entry is read"
    )
    assert len(state.engines(entryfleet.POOL)) == 2
    assert fleet.send_online("r1").status == 200


def test_online_work_goes_on_while_the_store_is_down(fleet):
    """A store outage must not stop online requests.

    They use the last known tables and engines; jobs are answered 503.
    """
    fleet.store.unavailable = True
    assert fleet.send_online("r1").status == 200
    refused = fleet.submit("job", 2)
    assert refused.status == 503
    assert float(refused.headers["Retry-After"]) > 0
    fleet.store.unavailable = False
    assert fleet.submit("job", 2).status == 202


def test_a_feed_that_waits_is_not_taken_for_an_outage(fleet):
    """A request for changes must not time out while it waits for one.

    Without changes, the store responds only after the wait.
    """
    fleet.store.feed_delay_s = 0.6
    fleet.configure(9, entryfleet.ROUTES)
    state = fleet.daemons[0].state
    entryhelper.wait_until(lambda: state.table.revision == 9, "version 9")
    text = fleet.daemons[0].metrics.render().decode()
    assert 'call="rows-feed",result="failed"' not in text


def test_a_batch_job_is_done_item_by_item(pair):
    """The results of a job that is submitted to two daemons must be complete.

    They must be listed once, and in the same order, at either daemon.
    """
    assert pair.submit("job", 5, daemon=0).status == 202
    assert pair.submit("job", 5, daemon=1).status == 202
    found = entryhelper.wait_until(
        lambda: pair.complete_results("job", daemon=1), "the job completes"
    )
    assert {one["id"] for one in found} == {f"job-{i}" for i in range(5)}
    for one in found:
        assert one["state"] == "done"
        assert one["text"] == pair.engines[0].text(one["id"])
    assert pair.results("job", 3)["results"] == found[3:]
    body = pair.call("GET", "/items/job?id=job-1", daemon=1)
    assert body.body == b"body"
    assert pair.call("GET", "/lots/none").status == 404


def test_items_complete_or_become_dead_letters_despite_faults(pair):
    """Items must complete despite broken streams and rejections.

    An item that the engines report as impossible must become a dead letter.
    """
    for engine in pair.engines:
        engine.faults.extend([Fault.CUT, Fault.CUT_EVENT, Fault.REFUSE])
    pair.submit("job", 4)
    found = entryhelper.wait_until(
        lambda: pair.complete_results("job"), "the job completes"
    )
    assert {one["state"] for one in found} == {"done"}
    for one in found:
        assert one["text"] == pair.engines[0].text(one["id"])
    for engine in pair.engines:
        engine.faults.append(Fault.IMPOSSIBLE)
    pair.submit("never", 1)
    found = entryhelper.wait_until(
        lambda: pair.complete_results("never"), "the job completes"
    )
    assert [one["state"] for one in found] == ["dead_letter"]


def test_a_failure_that_is_passed_on_is_reported(fleet, monkeypatch):
    """The hub must hear of each status 500 of an engine as a failure.

    A request that may not be repeated gets the engine's answer; it was
    reported as a success.
    """
    ended = []
    end_run = fleet.daemons[0].slots.end_run

    def record_and_end(run_id, outcome, *args, **kwargs):
        ended.append(outcome)
        end_run(run_id, outcome, *args, **kwargs)

    monkeypatch.setattr(fleet.daemons[0].slots, "end_run", record_and_end)
    for engine in fleet.engines:
        engine.faults.append(Fault.FAIL)
    assert fleet.send_online("r1", "/bills/1").status in (500, 502)
    assert fleet.ran("r1") == 1
    assert ended == [slotmessages.Outcome.FAILED]


def test_an_engine_is_blamed_for_an_item_once_another_completes_it(
    fleet, monkeypatch
):
    """An item alone may fail at every engine; that is no engine's fault."""
    blamed = []
    monkeypatch.setattr(
        fleet.daemons[0].slots, "record_engine_failure", blamed.append
    )
    fleet.engines[0].faults.append(Fault.FAIL)
    fleet.engines[1].faults.append(Fault.FAIL)
    fleet.submit("job", 2)
    found = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job completes"
    )
    assert {one["state"] for one in found} == {"done"}
    failing = {one.name for one in fleet.engines if not one.faults}
    assert set(blamed) == failing
    blamed.clear()
    for engine in fleet.engines:
        engine.faults.extend([Fault.FAIL] * 9)
    fleet.submit("never", 1)
    found = entryhelper.wait_until(
        lambda: fleet.complete_results("never"), "the job completes"
    )
    assert [one["state"] for one in found] == ["dead_letter"]
    assert blamed == []


def test_an_ended_job_stops(pair):
    """Closing a job must stop its runs on engines, at any daemon.

    Closing it again is not an error.
    """
    for engine in pair.engines:
        engine.faults.extend([Fault.SILENT] * 8)
    pair.submit("job", 3)
    entryhelper.wait_until(lambda: pair.ran("job-0"), "an item runs")
    assert pair.call("DELETE", "/lots/job", daemon=1).status == 200
    assert pair.call("DELETE", "/lots/job").status == 200
    entryhelper.wait_until(
        lambda: any(engine.disconnected.is_set() for engine in pair.engines),
        "an engine sees the connection closed",
    )
    assert pair.results("job")["total"] == 3


def test_a_preempted_item_tells_how_often_it_was_stopped(fleet):
    """Its next run is reported with it; a repeated message counts once."""
    for engine in fleet.engines:
        engine.faults.extend([Fault.SILENT] * 8)
    daemon = fleet.daemons[0]

    def runs(preemptions):
        own = daemon.parts.load_tracker.own_runs(time.monotonic())
        return [
            run.id
            for run in own
            if run.batch and run.preemptions == preemptions
        ]

    def stop_first_run():
        ids = tuple(runs(0))
        daemon.slots.on_preemption(ids)
        daemon.slots.on_preemption(ids)
        return runs(1)

    assert fleet.submit("job", 1).status == 202
    entryhelper.wait_until(stop_first_run, "the item runs again")
    assert fleet.call("DELETE", "/lots/job").status == 200


def test_a_job_outlives_its_daemon(pair):
    """A job must complete though its holder stops without releasing it."""
    for engine in pair.engines:
        engine.faults.extend([Fault.SILENT] * 3)
    pair.submit("job", 3, daemon=0)
    entryhelper.wait_until(lambda: pair.ran("job-0"), "an item runs")
    pair.daemons[0].actor.stop()
    found = entryhelper.wait_until(
        lambda: pair.complete_results("job", daemon=1),
        "the other daemon completes it",
    )
    assert {one["state"] for one in found} == {"done"}


def test_a_planned_stop_releases_the_jobs(pair):
    """A planned stop must release the jobs for takeover.

    Otherwise they stall until another daemon regards them as abandoned.
    """
    for engine in pair.engines:
        engine.faults.extend([Fault.SILENT] * 3)
    pair.submit("job", 3, daemon=0)
    entryhelper.wait_until(lambda: pair.ran("job-0"), "an item runs")
    pair.daemons[0].actor.tell(holdermessages.Stop())
    found = entryhelper.wait_until(
        lambda: pair.complete_results("job", daemon=1),
        "the other daemon completes it",
    )
    assert {one["state"] for one in found} == {"done"}


def count_releases(fleet, job):
    """Returns how often a job was released for takeover."""
    found = [
        codec.unpack(row.value, batchjob.Progress)
        for row in fleet.store.store.history
        if row.key.table == "open" and row.key.key == job and not row.deleted
    ]
    return sum(progress.holder == "" for progress in found)


def test_a_planned_stop_in_an_outage_releases_the_jobs_after_it(pair):
    """A daemon that stops during an outage must release its jobs after it.

    This occurs in a rolling restart while the store is unavailable.
    """
    stopping = pair.daemons[0]
    for engine in pair.engines:
        engine.faults.extend([Fault.SILENT] * 3)
    pair.submit("job", 3, daemon=0)
    entryhelper.wait_until(lambda: pair.ran("job-0"), "an item runs")
    pair.store.unavailable = True
    stopping.actor.tell(holdermessages.Stop())
    text = 'result="failed"'
    entryhelper.wait_until(
        lambda: text in stopping.metrics.render().decode(),
        "the store is unavailable",
    )
    assert stopping.state.held_jobs == 1
    pair.store.unavailable = False
    entryhelper.wait_until(
        lambda: count_releases(pair, "job"), "the job is released"
    )
    entryhelper.wait_until(
        lambda: not stopping.state.held_jobs, "the daemon drops it"
    )
    found = entryhelper.wait_until(
        lambda: pair.complete_results("job", daemon=1),
        "the other daemon completes it",
    )
    assert {one["state"] for one in found} == {"done"}


def test_lost_responses_of_the_store_duplicate_nothing(pair):
    """A retry after an unknown outcome must not apply a write twice.

    Some writes get no response, or take effect only after the timeout.
    """
    pair.store.store.faults.extend(
        [
            memorystore.DROP_RESPONSE,
            memorystore.APPLY_LATE,
            memorystore.DROP_RESPONSE,
        ]
        * 3
    )
    timer = threading.Timer(0.2, pair.store.store.apply_late_writes)
    timer.start()
    pair.submit("job", 4)
    timer.join()
    pair.submit("job", 4)
    found = entryhelper.wait_until(
        lambda: pair.complete_results("job"), "the job completes"
    )
    assert len({one["id"] for one in found}) == 4


def test_a_daemon_without_store_access_goes_through_a_peer(pair):
    """A daemon that cannot reach the store sends requests through a peer."""
    cut_off, _ = pair.daemons
    entryhelper.wait_until(
        lambda: len(cut_off.slots.hub_selector.members) == 2,
        "the members are read",
    )
    cut_off.store._client._port = fleet_module.free_port()
    assert pair.submit("job", 3, daemon=0).status == 202
    found = entryhelper.wait_until(
        lambda: pair.complete_results("job", daemon=0), "the job completes"
    )
    assert len(found) == 3
    pair.configure(7, entryfleet.ROUTES)
    entryhelper.wait_until(
        lambda: cut_off.state.table.revision == 7, "version 7"
    )


class RejectingStore:
    """A store that rejects every request and records the requests."""

    def __init__(self):
        self.requests = []

    def read_rows(self, table, part, start="", end=""):
        """Rejects a read."""
        self.requests.append("read")
        return errors.Failure(errors.Kind.PLATFORM_OUT, "busy")

    def read_changes(self, table, after, wait_s):
        """Rejects a feed."""
        self.requests.append("feed")
        return errors.Failure(errors.Kind.PLATFORM_OUT, "busy")


def test_a_denial_after_an_attempt_is_not_passed_on(fleet, monkeypatch):
    """503 promises that nothing ran; one engine has run the request."""
    slots = fleet.daemons[0].slots
    asked = []

    def request(req, is_disconnected):
        asked.append(req)
        return slotmessages.Denial("hub", req.id, 1.0) if asked[1:] else None

    monkeypatch.setattr(slots, "request", request)
    for engine in fleet.engines:
        engine.faults.append(Fault.FAIL)
    found = fleet.send_online("r1")
    assert len(asked) == 2
    assert found.status == 500
    assert fleet.ran("r1") == 2


def test_callers_do_not_wait_for_a_store_that_is_out():
    """Requests must fail at once while the store is unavailable.

    Only feeds probe whether it is available again.
    """
    rejecting_store = RejectingStore()
    failover = storerelay.FailoverStore(
        "vm1", rejecting_store, dict, None, metrics.Metrics(), None
    )
    request = storerelay.ReadRange("jobs", "", "", "")
    failover.request_directly(request)
    for _ in range(3):
        failover.request_directly(request)
    assert rejecting_store.requests == ["read"]
    failover.read_changes("op", 0, 0.0)
    assert "feed" in rejecting_store.requests


def test_readiness_fails_before_a_stop(fleet):
    """A stopping daemon must report unready while it still serves.

    The load balancer has to stop sending requests first.
    """
    daemon = fleet.daemons[0]
    address = daemon.cfg.listen.readiness

    def status():
        conn = http.client.HTTPConnection(address)
        conn.request("GET", "/readiness")
        code = conn.getresponse().status
        conn.close()
        return code

    assert status() == 200
    daemon.state.stop_began_s = 1.0
    assert status() == 503
    assert fleet.send_online("r1").status == 200


def test_metrics_count_requests(fleet):
    """A completed request must be counted in the metrics.

    They are served at the readiness address.
    """
    fleet.send_online("r1")
    address = fleet.daemons[0].cfg.listen.readiness
    conn = http.client.HTTPConnection(address)
    conn.request("GET", "/metrics")
    text = conn.getresponse().read().decode()
    assert 'outcome="answered",route="notes"' in text
