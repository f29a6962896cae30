"""End-to-end tests with real processes.

Daemons are killed or frozen, connections drop all traffic, and the emulators
of engines, services and the platform inject faults.
"""

import asyncio
import concurrent.futures
import json
import os
import pathlib
import re
import subprocess
import threading
import time

import pytest
import urllib3

from samphirepost import stream
from samphirepost_bench import demo
from samphirepost_bench import engine
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import forwarder

POLLS_MAX = 400
POLL_INTERVAL_S = 0.05
NURSERIES = fleet_module.CALLER_TOKENS["nurseries"]
UMOJA = fleet_module.CALLER_TOKENS["umoja"]
FAST_SETTINGS = {
    "heartbeat_ms": 200,
    "dead_ms": 1500,
    "confirm_ms": 2000,
    "report_ms": 250,
    "ledger": {"lease_ms": 2500, "claim_ms": 2000, "partitions": 4},
    "platform": {"timeout_ms": 500},
    "online_threads": 40,
}


def settings(**changes):
    return {**json.loads(json.dumps(FAST_SETTINGS)), **changes}


def eventually(check):
    """Polls `check` until it is true; returns its value, or fails."""
    for _ in range(POLLS_MAX):
        found = check()
        if found:
            return found
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"{check} never became true; last value: {found}")


@pytest.fixture(scope="module")
def fleet():
    with fleet_module.Fleet() as created:
        created.start_platform()
        for index, zone in enumerate(demo.ZONES):
            created.start_engine(f"engine-{index}", zone, index != 1)
        created.start_service("billing-0", demo.ZONES[0])
        for index, zone in enumerate(demo.ZONES):
            created.start_daemon(f"vm-{index}", zone, **settings())
        edit(created, 0)
        yield created


def edit_body(fleet, expected, note="", plants=None):
    """Returns the request body of an edit of the demo's tables."""
    engines = list(fleet.engines.values())
    return {
        "expected": expected,
        "routes": fleet_module.routes_table(),
        "pools": fleet_module.pools_table(
            plants or engines[:3], engines[:3], list(fleet.services.values())
        ),
        "note": note,
    }


def post_edit(fleet, body, daemon=0):
    """Posts an edit and waits until all daemons have applied it.

    Returns the HTTP status and the reply.
    """
    url = fleet.daemons[daemon].url("operator") + "/v1/tables"
    status, reply = fleet.http.json(
        "POST", url, body, token=fleet_module.OPERATOR_TOKEN
    )
    if status == 200:
        eventually(lambda: is_applied_everywhere(fleet, reply["revision"]))
    return status, reply


def edit(fleet, expected, note="", plants=None, daemon=0):
    """Applies the demo's tables; returns the HTTP status and the reply."""
    return post_edit(fleet, edit_body(fleet, expected, note, plants), daemon)


def is_applied_everywhere(fleet, revision):
    return all(
        demo.is_revision_active(fleet, daemon, revision)
        for daemon in fleet.daemons
        if daemon.alive
    )


def current_revision(fleet):
    url = fleet.daemons[0].url("operator") + "/v1/tables?brief=1"
    return fleet.http.json("GET", url, token=fleet_module.OPERATOR_TOKEN)[1][
        "revision"
    ]


def complete(fleet, prompt, tokens=8, daemon=0, key="", wait_ms=20000):
    """Requests a plain completion; returns the HTTP status and the body."""
    headers = {"Timeout-Ms": str(wait_ms)}
    if key:
        headers["Idempotency-Key"] = key
    return fleet.http.json(
        "POST",
        fleet.daemons[daemon].url("online") + "/v1/completions",
        {"model": "care-note", "prompt": prompt, "max_tokens": tokens},
        token=NURSERIES,
        headers=headers,
    )


def text_of(body):
    return body["choices"][0]["text"]


def call_service(fleet, key, daemon=0, wait_ms=3000):
    return fleet.http.json(
        "POST",
        fleet.daemons[daemon].url("online") + "/v1/services/bill",
        {"line": key},
        token=UMOJA,
        headers={"Idempotency-Key": key, "Timeout-Ms": str(wait_ms)},
    )


def service_runs(fleet, key):
    """Returns how often the service ran the call with this key."""
    url = fleet.services["billing-0"].url + "/journal"
    journal = fleet.http.json("GET", url)[1]
    return sum(json.loads(call["body"])["line"] == key for call in journal)


def submit(fleet, lines, key, daemon=0):
    return fleet.http.json(
        "POST",
        fleet.daemons[daemon].url("batch") + "/v1/batches",
        lines,
        token=NURSERIES,
        headers={"Idempotency-Key": key},
    )


def job_status(fleet, job, daemon=0):
    url = fleet.daemons[daemon].url("batch") + f"/v1/batches/{job}"
    return fleet.http.json("GET", url, token=NURSERIES)[1]


def wait_for_results(fleet, job, daemon=0):
    """Waits until a job has completed; returns its results by custom id."""
    eventually(
        lambda: job_status(fleet, job, daemon).get("phase") == "completed"
    )
    url = fleet.daemons[daemon].url("batch") + f"/v1/batches/{job}/results"
    text = fleet.http.json("GET", url, token=NURSERIES)[1]
    lines = text.splitlines() if isinstance(text, str) else [json.dumps(text)]
    found = [json.loads(line) for line in lines]
    by_id = {line["custom_id"]: line for line in found}
    assert len(by_id) == len(found)
    return by_id


def item(number, prompt, tokens=8):
    body = {"model": "summary", "prompt": prompt, "max_tokens": tokens}
    return json.dumps({"custom_id": f"order-{number}", "body": body})


def check_items(found, lines):
    """Checks that every item of the upload has the expected text."""
    for line in lines.splitlines():
        request = json.loads(line)
        body = found[request["custom_id"]]["response"]["body"]
        tokens = request["body"]["max_tokens"]
        assert text_of(body) == engine.text(request["body"]["prompt"], tokens)


def is_ready(fleet, daemon):
    url = daemon.url("operator") + "/readyz"
    return fleet.http.json("GET", url)[0] == 200


def wait_ready_again(fleet, daemon):
    """Waits until a daemon that was suspended is ready.

    Fails with its exit status if it has exited.
    """

    def is_ready_or_gone():
        return not daemon.alive or is_ready(fleet, daemon)

    eventually(is_ready_or_gone)
    assert daemon.alive, daemon.exit_report()


def owner_index(fleet, work):
    """Returns the index of the daemon that owns a work id's partition."""
    partition = str(int(work.split("-")[1], 16))
    url = fleet.daemons[0].url("operator") + "/v1/members"
    view = fleet.http.json("GET", url, token=fleet_module.OPERATOR_TOKEN)[1]
    name = view["owners"][partition][0].split(".")[0]
    return [daemon.name for daemon in fleet.daemons].index(name)


def test_answer_is_whole_and_readable_through_another_daemon(fleet):
    answer = demo.request_online(fleet, 1, tokens=12)
    assert answer.is_complete
    assert answer.stored
    assert answer.text == engine.text(demo.online_prompt(1), 12)
    url = fleet.daemons[2].url("online") + f"/v1/results/{answer.request_id}"
    found = fleet.http.json("GET", url, token=NURSERIES)
    assert text_of(found[1]) == answer.text
    assert fleet.http.json("GET", url, token=UMOJA)[0] == 404


def test_same_key_gets_the_same_answer_and_runs_once(fleet):
    before = count_requests(fleet)
    first = complete(fleet, "marsh marigold", key="same")
    second = complete(fleet, "marsh marigold", key="same", daemon=1)
    assert first == second
    assert count_requests(fleet) == before + 1
    other = complete(fleet, "another flower", key="same")
    assert (other[0], other[1]["outcome"]) == (409, "not_run")


def count_requests(fleet):
    return sum(
        fleet.http.json("GET", process.url + "/counts")[1].get("requests", 0)
        for process in fleet.engines.values()
    )


@pytest.mark.parametrize(
    ("path", "body", "token", "expected"),
    [
        ("/v1/completions", b"{", NURSERIES, (400, "bad-json")),
        ("/v1/completions", b"{}", NURSERIES, (400, "bad-request")),
        (
            "/v1/completions",
            b'{"model": "nowhere", "prompt": ""}',
            NURSERIES,
            (404, "route-missing"),
        ),
        (
            "/v1/completions",
            b'{"model": "care-note", "prompt": ""}',
            UMOJA,
            (404, "route-missing"),
        ),
        ("/v1/completions", b"{}", None, (401, "caller-missing")),
        ("/v1/completions", b"{}", "guess", (403, "caller-unknown")),
        ("/v1/results/req-000-x", None, NURSERIES, (404, "not-found")),
        ("/v1/nowhere", b"{}", NURSERIES, (404, "not-found")),
    ],
)
def test_bad_request_is_refused_with_a_type(
    fleet, path, body, token, expected
):
    url = fleet.daemons[0].url("online") + path
    method = "GET" if body is None else "POST"
    status, reply = fleet.http.json(method, url, body, token=token)
    assert (status, reply["type"].rsplit(":", 1)[1]) == expected
    assert reply["outcome"] == "not_run"


def test_revision_that_is_no_number_is_refused(fleet):
    url = fleet.daemons[0].url("operator") + "/v1/tables?revision=x"
    status, body = fleet.http.json(
        "GET", url, token=fleet_module.OPERATOR_TOKEN
    )
    assert (status, body["outcome"]) == (400, "not_run")


def test_oversized_body_is_refused(fleet):
    status, _ = complete(fleet, "x" * 5_000_000)
    assert status == 413


@pytest.mark.parametrize(
    ("lines", "expected"),
    [
        ([item(1, "a"), item(1, "b")], "duplicate-item"),
        ([item(1, "a"), '{"body": {"model": "summary"}}'], "item-without-id"),
        ([item(1, "a"), "{"], "bad-json"),
        ([item(1, "a").replace("summary", "no")], "route-missing"),
        ([], "bad-request"),
    ],
)
def test_bad_upload_is_refused_whole(fleet, lines, expected):
    body = "\n".join(lines).encode()
    _, reply = submit(fleet, body, f"bad-{expected}")
    assert reply["type"].rsplit(":", 1)[1] == expected
    assert reply["outcome"] == "not_run"


def test_job_resent_to_two_daemons_at_once_is_one_job(fleet):
    lines = demo.job_lines(30, tokens=8)
    with concurrent.futures.ThreadPoolExecutor(6) as pool:
        replies = list(
            pool.map(
                lambda n: submit(fleet, lines, "twice", daemon=n % 3),
                range(6),
            )
        )
    assert len({reply["id"] for _, reply in replies}) == 1
    assert sum(reply["created"] for _, reply in replies) == 1
    check_items(wait_for_results(fleet, replies[0][1]["id"]), lines)
    other = submit(fleet, demo.job_lines(3), "twice")
    assert (other[0], other[1]["outcome"]) == (409, "not_run")


def test_items_that_can_not_be_done_fail_with_a_type(fleet):
    lines = "\n".join(
        [
            item(0, "a"),
            item(1, engine.IMPOSSIBLE_MARKER),
            item(2, engine.BROKEN_MARKER),
        ]
    )
    job = submit(fleet, lines.encode(), "impossible")[1]["id"]
    found = wait_for_results(fleet, job)
    assert "response" in found["order-0"]
    assert found["order-1"]["error"]["type"] == "refused-by-target"
    assert found["order-2"]["error"]["type"] == "attempts-exhausted"


def test_cancelled_job_stops_its_running_streams(fleet):
    lines = demo.job_lines(200, tokens=20_000)
    job = submit(fleet, lines, "cancelled")[1]["id"]
    eventually(lambda: job_status(fleet, job)["running"] > 0)
    url = fleet.daemons[1].url("batch") + f"/v1/batches/{job}/cancel"
    assert fleet.http.json("POST", url, token=NURSERIES)[0] == 200
    eventually(lambda: count_running(fleet) == 0)
    found = job_status(fleet, job)
    assert found["phase"] == "cancelled"
    assert found["done"] == 0


def count_running(fleet):
    return sum(
        fleet.http.json("GET", process.url + "/counts")[1]["running"]
        for process in fleet.engines.values()
    )


@pytest.mark.parametrize(
    "fault", ["truncated", "crossed", "repeated", "skipped", "cut"]
)
def test_corrupted_stream_is_completed(fleet, fault):
    for process in fleet.engines.values():
        fleet.inject_fault(process, fault)
    for number in range(3):
        prompt = f"{fault} stream {number}"
        status, body = complete(fleet, prompt, tokens=10)
        assert status == 200
        assert text_of(body) == engine.text(prompt, 10)


def test_silent_engine_is_abandoned_and_another_answers(fleet):
    """The engines stop sending without closing the connection."""
    for process in fleet.engines.values():
        fleet.inject_fault(process, "silent")
    prompts = [f"silent {number}" for number in range(3)]
    with concurrent.futures.ThreadPoolExecutor(3) as pool:
        found = list(pool.map(lambda p: complete(fleet, p), prompts))
    for prompt, (status, body) in zip(prompts, found, strict=True):
        assert status == 200
        assert text_of(body) == engine.text(prompt, 8)


def test_bill_runs_once_and_its_answer_is_kept(fleet):
    first = call_service(fleet, "bill-kept")
    assert first[0] == 200
    assert call_service(fleet, "bill-kept", daemon=1) == first
    assert service_runs(fleet, "bill-kept") == 1


def test_bill_whose_answer_was_lost_is_unknown_and_not_sent_again(fleet):
    """The service runs the call, but no response is received.

    Guards against a second run when the caller retries with the same key.
    """
    fleet.inject_fault(fleet.services["billing-0"], "lost")
    status, body = call_service(fleet, "bill-lost")
    assert (status, body["outcome"]) == (502, "unknown")
    for daemon in range(3):
        status, body = call_service(fleet, "bill-lost", daemon)
        assert (status, body["outcome"]) == (409, "unknown")
    assert service_runs(fleet, "bill-lost") == 1


def test_bill_that_the_service_refused_was_not_run_and_may_be_resent(fleet):
    fleet.inject_fault(fleet.services["billing-0"], "refuse", count=9)
    status, body = call_service(fleet, "bill-refused")
    assert body["outcome"] == "not_run"
    assert service_runs(fleet, "bill-refused") == 0
    drain_faults(fleet)
    eventually(lambda: call_service(fleet, "bill-refused", 1)[0] == 200)
    assert service_runs(fleet, "bill-refused") == 1


def drain_faults(fleet):
    """Sends requests until the service has no injected fault left."""
    url = fleet.services["billing-0"].url + "/drain"
    eventually(lambda: fleet.http.json("POST", url, {"line": ""})[0] == 200)


@pytest.mark.parametrize("mode", ["down", "silent", "lost"])
def test_table_service_outage(fleet, mode):
    """Non-idempotent calls are rejected as not run during the outage.

    Completions are still answered, and stored after the outage.
    """
    key = f"out-{mode}"
    fleet.set_service_mode("table", mode)
    status, body = call_service(fleet, key)
    assert body["outcome"] == "not_run"
    assert service_runs(fleet, key) == 0
    prompt = f"care note while {mode}"
    status, body = complete(fleet, prompt, key=key)
    assert status == 200
    assert text_of(body) == engine.text(prompt, 8)
    work = body["id"]
    fleet.set_service_mode("table", "ok")
    url = fleet.daemons[1].url("online") + f"/v1/results/{work}"
    found = eventually(lambda: read_result(fleet, url))
    assert text_of(found) == engine.text(prompt, 8)
    eventually(lambda: call_service(fleet, key)[0] in (200, 409))
    assert service_runs(fleet, key) <= 1


def test_slow_table_service_stops_no_online_work(fleet):
    """Each store request takes 350 ms of its timeout of 500 ms.

    Guards against online requests that wait for the table service.
    """
    fleet.set_service_mode("table", "slow", delay_ms=350)
    for number in range(40):
        prompt = f"slow {number}"
        status, body = complete(fleet, prompt, daemon=number % 3)
        assert (status, text_of(body)) == (200, engine.text(prompt, 8))
    fleet.set_service_mode("table", "ok")


def read_result(fleet, url):
    status, body = fleet.http.json("GET", url, token=NURSERIES)
    return body if status == 200 else None


def test_job_is_not_acknowledged_while_it_can_not_be_stored(fleet):
    lines = demo.job_lines(3)
    fleet.set_service_mode("object", "down")
    status, body = submit(fleet, lines, "object-out")
    assert (status, body["outcome"]) == (503, "not_run")
    fleet.set_service_mode("object", "ok")
    eventually(lambda: submit(fleet, lines, "object-out")[0] in (200, 202))


def test_two_operators_race_and_one_is_refused(fleet):
    before = current_revision(fleet)
    with concurrent.futures.ThreadPoolExecutor(2) as pool:
        found = list(
            pool.map(
                lambda n: edit(fleet, before, f"race {n}", daemon=n), range(2)
            )
        )
    assert sorted(status for status, _ in found) == [200, 409]
    assert current_revision(fleet) == before + 1
    url = fleet.daemons[2].url("operator") + "/v1/tables/history"
    rows = fleet.http.json("GET", url, token=fleet_module.OPERATOR_TOKEN)[1]
    assert [row["revision"] for row in rows] == list(range(1, before + 2))
    assert rows[-1]["who"] == "operator"


def test_only_operators_may_edit(fleet):
    url = fleet.daemons[0].url("operator") + "/v1/tables"
    assert fleet.http.json("GET", url)[0] == 401
    assert fleet.http.json("GET", url, token=NURSERIES)[0] == 403


def test_leaving_target_gets_no_new_work(fleet):
    """The platform lists the engine as leaving."""
    name = "engine-2"
    fleet.set_vm_state(name, "leaving")
    eventually(lambda: all(is_leaving(fleet, d, name) for d in live(fleet)))
    eventually(lambda: all(is_avoided(fleet, d) for d in live(fleet)))
    url = fleet.engines[name].url + "/counts"
    before = fleet.http.json("GET", url)[1]["requests"]
    for number in range(30):
        assert complete(fleet, f"leaving {number}", daemon=number % 3)[0] == (
            200
        )
    assert fleet.http.json("GET", url)[1]["requests"] == before
    fleet.set_vm_state(name, "live")
    eventually(lambda: not is_leaving(fleet, fleet.daemons[0], name))


def is_avoided(fleet, daemon):
    """Returns whether the daemon excludes exactly one leaving target."""
    return fleet.metric_sum(daemon, "samphirepost_targets_leaving") == 1


def is_leaving(fleet, daemon, name):
    url = daemon.url("operator") + "/v1/members"
    view = fleet.http.json("GET", url, token=fleet_module.OPERATOR_TOKEN)[1]
    return name in view["leaving"]


def live(fleet):
    return [daemon for daemon in fleet.daemons if daemon.alive]


@pytest.fixture
def leaving_daemon(fleet):
    """Starts one more daemon, with a slow engine as the only target.

    Afterwards kills it and restores the targets.
    """
    slow = fleet.start_engine("engine-slow", demo.ZONES[0], scale=10.0)
    engines = list(fleet.engines.values())[:3]
    edit(fleet, current_revision(fleet), "slow", plants=[slow])
    daemon = fleet.start_daemon("vm-leaver", demo.ZONES[0], **settings())
    yield daemon
    if daemon.alive:
        daemon.kill()
    edit(fleet, current_revision(fleet), "fast", plants=engines)


def test_planned_stop_cuts_no_stream(fleet, leaving_daemon):
    """A daemon receives SIGTERM during an online stream and a batch job."""
    engines = list(fleet.engines.values())[:3]
    lines = demo.job_lines(12, tokens=10)
    job = submit(fleet, lines, "leaver")[1]["id"]
    index = fleet.daemons.index(leaving_daemon)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(
            complete, fleet, "long stream", 40, index, "", 60_000
        )
        eventually(
            lambda: (
                future.done() or count_dispatches(fleet, leaving_daemon) > 0
            )
        )
        assert not future.done(), future.result()
        leaving_daemon.terminate()
        eventually(
            lambda: (
                not leaving_daemon.alive or not is_ready(fleet, leaving_daemon)
            )
        )
        status, body = future.result()
    assert status == 200
    assert text_of(body) == engine.text("long stream", 40)
    assert leaving_daemon.wait() == 0
    edit(fleet, current_revision(fleet), "fast", plants=engines)
    check_items(wait_for_results(fleet, job), lines)


def count_dispatches(fleet, daemon):
    return fleet.metric_sum(daemon, "samphirepost_dispatches_total")


def test_daemon_killed_in_a_job_loses_and_doubles_nothing(fleet):
    """Guards against missing or duplicate results after a daemon failed."""
    victim = fleet.start_daemon("vm-victim", demo.ZONES[1], **settings())
    lines = demo.job_lines(300, tokens=40)
    job = submit(fleet, lines, "killed")[1]["id"]
    eventually(lambda: job_status(fleet, job)["done"] > 10)
    victim.kill()
    check_items(wait_for_results(fleet, job), lines)


def test_owner_frozen_in_a_job_wakes_and_changes_nothing(fleet):
    """The owner resumes as if it still held its leases and claims.

    Guards against results that it changes after the takeover.
    """
    lines = demo.job_lines(300, tokens=40)
    job = submit(fleet, lines, "frozen")[1]["id"]
    eventually(lambda: job_status(fleet, job)["done"] > 10)
    index = owner_index(fleet, job)
    frozen = fleet.daemons[index]
    other = (index + 1) % 3
    frozen.freeze()
    found = wait_for_results(fleet, job, other)
    frozen.thaw()
    check_items(found, lines)
    wait_ready_again(fleet, frozen)
    assert wait_for_results(fleet, job, index) == found


def test_bill_of_a_daemon_that_died_is_unknown(fleet):
    """The daemon is killed while the service runs a non-idempotent call.

    Guards against a second run when the caller retries at another daemon.
    """
    victim = fleet.start_daemon("vm-biller", demo.ZONES[2], **settings())
    fleet.inject_fault(fleet.services["billing-0"], "slow", seconds=3.0)
    index = fleet.daemons.index(victim)
    with concurrent.futures.ThreadPoolExecutor(1) as pool:
        future = pool.submit(call_service, fleet, "bill-died", index, 20_000)
        eventually(lambda: service_runs(fleet, "bill-died") == 1)
        victim.kill()
        with pytest.raises(urllib3.exceptions.HTTPError):
            future.result()
    status, body = call_service(fleet, "bill-died", 0, 20_000)
    assert (status, body["outcome"]) == (409, "unknown")
    assert service_runs(fleet, "bill-died") == 1


class ForwarderThread:
    """Runs a forwarder in a thread of its own."""

    def __init__(self, to_url):
        self.loop = asyncio.new_event_loop()
        port = int(to_url.rsplit(":", 1)[1])
        self.forwarder = forwarder.Forwarder(
            fleet_module.HOST, fleet_module.free_port(), port
        )
        threading.Thread(target=self.loop.run_forever, daemon=True).start()
        self.call(self.forwarder.start())
        self.url = f"http://{fleet_module.HOST}:{self.forwarder.port}"

    def call(self, coroutine):
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop)
        return future.result()

    async def _black_hole(self):
        self.forwarder.black_hole()

    def black_hole(self):
        self.call(self._black_hole())


def test_silent_connections_to_the_platform_are_abandoned(fleet):
    """Open connections drop all traffic without closing; new ones work."""
    forwarder_thread = ForwarderThread(fleet.platform_url)
    urls = dict.fromkeys(
        ("table_url", "object_url", "vms_url"), forwarder_thread.url
    )
    cfg = settings(platform={**urls, "timeout_ms": 500})
    cut = fleet.start_daemon("vm-cut", "krakow-d", **cfg)
    index = fleet.daemons.index(cut)
    assert complete(fleet, "before the cut", daemon=index)[0] == 200
    forwarder_thread.black_hole()
    status, body = complete(fleet, "after the cut", daemon=index)
    assert status == 200
    url = cut.url("online") + f"/v1/results/{body['id']}"
    found = eventually(lambda: read_result(fleet, url))
    assert text_of(found) == engine.text("after the cut", 8)
    eventually(lambda: is_ready(fleet, cut))
    cut.kill()


def test_daemon_that_starts_in_an_outage_serves_the_newest_tables(fleet):
    """It must get the tables from peers, which it finds in the VM list."""
    fleet.set_service_mode("table", "down")
    late = fleet.start_daemon("vm-late", demo.ZONES[0], **settings())
    index = fleet.daemons.index(late)
    status, body = complete(fleet, "late start", daemon=index)
    fleet.set_service_mode("table", "ok")
    assert status == 200
    assert text_of(body) == engine.text("late start", 8)
    late.kill()


def test_engines_load_what_the_pools_table_says(fleet):
    """One engine ignores fencing numbers and applies an old order late.

    Daemons must order it to load the right model again.
    """
    body = edit_body(fleet, current_revision(fleet))
    for row in body["pools"]["pools"].values():
        if row["targets"][0]["kind"] == "engine":
            row["model"] = "plants-2"
    assert post_edit(fleet, body)[0] == 200
    eventually(lambda: loaded_models(fleet) == {"plants-2"})
    unfenced_engine = fleet.engines["engine-1"]
    old = {"model": "plants-1", "fencing": 1}
    assert (
        fleet.http.json("POST", unfenced_engine.url + "/orders", old)[0] == 200
    )
    fenced_engine = fleet.engines["engine-0"]
    assert (
        fleet.http.json("POST", fenced_engine.url + "/orders", old)[0] == 409
    )
    assert loaded_models(fleet) == {"plants-1", "plants-2"}
    eventually(lambda: loaded_models(fleet) == {"plants-2"})
    assert edit(fleet, current_revision(fleet), "no orders")[0] == 200


def loaded_models(fleet):
    return {
        fleet.http.json("GET", process.url + "/counts")[1]["model"]
        for process in list(fleet.engines.values())[:3]
    }


def test_answer_given_in_an_outage_outlives_its_daemon(fleet):
    """The answer is replicated to two other zones until it can be stored."""
    holder = fleet.start_daemon("vm-holder", demo.ZONES[0], **settings())
    index = fleet.daemons.index(holder)
    eventually(lambda: count_members(fleet, holder) == 4)
    fleet.set_service_mode("object", "down")
    status, body = complete(fleet, "held", daemon=index)
    assert status == 200
    holder.kill()
    fleet.set_service_mode("object", "ok")
    url = fleet.daemons[0].url("online") + f"/v1/results/{body['id']}"
    found = eventually(lambda: read_result(fleet, url))
    assert text_of(found) == engine.text("held", 8)


def test_daemon_without_confirmation_refuses_requests(fleet):
    """All peers are frozen and the table service is unavailable.

    A daemon that can't confirm its tables must refuse requests.
    """
    isolated_daemon, *others = fleet.daemons[:3]
    eventually(lambda: count_members(fleet, isolated_daemon) == 3)
    for daemon in others:
        daemon.freeze()
    fleet.set_service_mode("table", "down")
    eventually(lambda: not is_ready(fleet, isolated_daemon))
    status, body = complete(fleet, "old tables")
    assert (status, body["outcome"]) == (503, "not_run")
    fleet.set_service_mode("table", "ok")
    for daemon in others:
        daemon.thaw()
    for daemon in fleet.daemons[:3]:
        wait_ready_again(fleet, daemon)


def count_members(fleet, daemon):
    return fleet.metric_sum(daemon, "samphirepost_members")


def test_examples_of_the_callers_page_work(fleet, tmp_path):
    """Runs each shell example of docs/CALLERS.md unchanged."""
    root = pathlib.Path(__file__).parent.parent
    page = (root / "docs" / "CALLERS.md").read_text(encoding="utf-8")
    (tmp_path / "orders.jsonl").write_bytes(demo.job_lines(3, tokens=4))
    variables = {
        "ONLINE": fleet.daemons[0].url("online"),
        "BATCH": fleet.daemons[0].url("batch"),
        "PATH": os.environ["PATH"],
    }
    for example in re.findall(r"```sh\n(.*?)```", page, re.S):
        variables["TOKEN"] = UMOJA if "bill" in example else NURSERIES
        if "/results" in example and "JOB" in example:
            wait_for_results(fleet, variables["JOB"])
        if "$ID" in example:
            variables["ID"] = complete(fleet, "x", key="note-17b")[1]["id"]
        shown = subprocess.run(
            ["bash", "-c", example],
            env=variables,
            cwd=tmp_path,
            capture_output=True,
            check=True,
        ).stdout.decode()
        assert shown
        assert "urn:samphirepost" not in shown
        if "--data-binary" in example:
            variables["JOB"] = json.loads(shown)["id"]


def test_every_result_is_readable_at_the_end(fleet):
    """Results of earlier tests are readable after their faults."""
    lines = demo.job_lines(30, tokens=8)
    job = submit(fleet, lines, "twice", daemon=2)
    assert job[1]["created"] is False
    check_items(wait_for_results(fleet, job[1]["id"], 2), lines)
    assert complete(fleet, "marsh marigold", key="same")[0] == 200


def test_stream_has_the_customary_form(fleet):
    reply = fleet.http.pool.request(
        "POST",
        fleet.daemons[0].url("online") + "/v1/completions",
        body=json.dumps(
            {
                "model": "care-note",
                "prompt": "form",
                "max_tokens": 3,
                "stream": True,
            }
        ),
        headers={"Authorization": f"Bearer {NURSERIES}"},
    )
    events, rest = stream.split_events(reply.data)
    assert rest == b""
    assert events[-1] == stream.DONE_DATA
    found = [json.loads(event) for event in events[:-1]]
    assert [e["position"] for e in found[:-1]] == [0, 1, 2]
    assert found[-1]["stored"] is True
    assert found[-1]["choices"][0]["finish_reason"] == "length"
