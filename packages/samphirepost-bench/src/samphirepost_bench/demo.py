"""Demo: online streams and a batch job while a daemon is killed.

Starts a fleet of processes on loopback, kills one daemon with SIGKILL under
load, then checks that no answer or item was lost, duplicated or wrong.
"""

import concurrent.futures
import json
import sys
import time

from hdrh import histogram as hdrh
import urllib3

from samphirepost import stream
from samphirepost_bench import engine
from samphirepost_bench import fleet as fleet_module

ZONES = ("krakow-a", "krakow-b", "krakow-c")
ONLINE_REQUESTS = 120
ONLINE_THREADS = 12
ONLINE_TOKENS = 24
BATCH_TOKENS = 32
# Reads of an answer that was not durable when its stream ended. A failed
# owner is detected within 3 s and its lease expires after 5 s
# (docs/SETTINGS.md); 64 reads at 0.25 s allow 16 s, twice that time.
READ_ATTEMPTS_MAX = 64
READ_INTERVAL_S = 0.25
JOB_WAIT_S = 120.0
ATTEMPTS_MAX = 8


class Answer:
    """The answer to one online request.

    `is_complete` is true once the final event was received. `stored` is true
    if an event reported the answer as durable. `request_id` is the id that
    the daemon returned, `first_s` the time to the first data.
    """

    __slots__ = (
        "first_s",
        "is_complete",
        "key",
        "request_id",
        "stored",
        "text",
    )

    def __init__(self, key):
        self.key = key
        self.first_s = 0.0
        self.text = ""
        self.request_id = ""
        self.is_complete = False
        self.stored = False


def run(items):
    """Runs the demo with a job of `items`; returns the exit status."""
    with fleet_module.Fleet() as fleet:
        _print_title(
            "starting a platform, three engines, a service, three daemons"
        )
        _start_processes(fleet)
        _apply_tables(fleet)
        job, body = _submit_job(fleet, items)
        answers, status = _run_while_killing_a_daemon(fleet, job)
        return _print_report(fleet, items, body, job, answers, status)


def _print_title(text):
    if sys.stdout.isatty():
        text = f"\033[1m{text}\033[0m"
    print(text, flush=True)


def _start_processes(fleet):
    fleet.start_platform()
    for index, zone in enumerate(ZONES):
        fleet.start_engine(f"engine-{index}", zone)
    fleet.start_service("billing-0", ZONES[0])
    for index, zone in enumerate(ZONES):
        fleet.start_daemon(f"vm-{index}", zone)


def _apply_tables(fleet):
    engines = list(fleet.engines.values())
    services = list(fleet.services.values())
    edit = {
        "expected": 0,
        "routes": fleet_module.routes_table(),
        "pools": fleet_module.pools_table(engines, engines[1:], services),
        "note": "demo",
    }
    url = fleet.daemons[0].url("operator") + "/v1/tables"
    status, body = fleet.http.json("POST", url, edit)
    if status != 200:
        raise fleet_module.FleetError(f"apply: {body}")
    started_s = time.monotonic()
    wait_until_active(fleet, body["revision"])
    took_s = time.monotonic() - started_s
    _print_title(
        f"tables at revision 1, active on every daemon after {took_s:.2f} s"
    )


def wait_until_active(fleet, revision, wait_s=15.0):
    """Waits until all live daemons report the revision as active.

    Raises FleetError if that takes longer than `wait_s`.
    """
    deadline_s = time.monotonic() + wait_s
    while time.monotonic() < deadline_s:
        if all(
            is_revision_active(fleet, d, revision)
            for d in fleet.daemons
            if d.alive
        ):
            return
        time.sleep(fleet_module.POLL_INTERVAL_S)
    raise fleet_module.FleetError(f"revision {revision} is not active")


def is_revision_active(fleet, daemon, revision):
    """Returns whether a daemon reports that the revision is active.

    That is so once every live daemon has applied it.
    """
    url = daemon.url("operator") + f"/v1/tables?brief=1&revision={revision}"
    status, body = fleet.http.json(
        "GET", url, token=fleet_module.OPERATOR_TOKEN
    )
    return status == 200 and body["in_force"]


def job_lines(items, route="summary", tokens=BATCH_TOKENS):
    """Returns a job of `items` items as JSON lines, encoded."""
    lines = [
        json.dumps(
            {
                "custom_id": f"order-{number}",
                "body": {
                    "model": route,
                    "prompt": f"summary of pond plant order number {number}",
                    "max_tokens": tokens,
                },
            }
        )
        for number in range(items)
    ]
    return "\n".join(lines).encode()


def _submit_job(fleet, items):
    body = job_lines(items)
    url = fleet.daemons[0].url("batch") + "/v1/batches"
    status, reply = fleet.http.json(
        "POST",
        url,
        body,
        token=fleet_module.CALLER_TOKENS["nurseries"],
        headers={"Idempotency-Key": "evening"},
    )
    if status != 202:
        raise fleet_module.FleetError(f"submit: {status} {reply}")
    _print_title(f"job {reply['id']} of {items} summaries accepted")
    return reply["id"], body


def _run_while_killing_a_daemon(fleet, job):
    answers = []
    with concurrent.futures.ThreadPoolExecutor(ONLINE_THREADS) as pool:
        futures = []
        for number in range(ONLINE_REQUESTS):
            futures.append(pool.submit(request_online, fleet, number))
            if number == ONLINE_REQUESTS // 3:
                concurrent.futures.wait(futures[: ONLINE_REQUESTS // 4])
                killed = fleet.daemons[2]
                killed.kill()
                _print_title(f"killed {killed.name} with kill -9")
        answers = [future.result() for future in futures]
    return answers, wait_for_job(fleet, job)


def request_online(fleet, number, tokens=ONLINE_TOKENS):
    """Sends an online request with a key; returns its `Answer`.

    As a caller would, it repeats a failed or incomplete request with the
    same key at the next live daemon, up to `ATTEMPTS_MAX` times.
    """
    answer = Answer(f"request-{number}")
    for attempt in range(ATTEMPTS_MAX):
        live = [d for d in fleet.daemons if d.alive]
        daemon = live[(number + attempt) % len(live)]
        try:
            if _send_once(fleet, daemon, answer, number, tokens):
                return answer
        except (urllib3.exceptions.HTTPError, OSError):
            pass
        time.sleep(0.2)
    return answer


def online_prompt(number):
    """Returns the prompt of the online request with this number."""
    return f"care note for water lily variety {number}"


def _send_once(fleet, daemon, answer, number, tokens):
    body = {
        "model": "care-note",
        "prompt": online_prompt(number),
        "max_tokens": tokens,
        "stream": True,
    }
    token = fleet_module.CALLER_TOKENS["nurseries"]
    started_s = time.monotonic()
    reply = fleet.http.pool.request(
        "POST",
        daemon.url("online") + "/v1/completions",
        body=json.dumps(body).encode(),
        headers={
            "Authorization": f"Bearer {token}",
            "Idempotency-Key": answer.key,
        },
        preload_content=False,
    )
    if reply.status != 200:
        reply.drain_conn()
        return False
    answer.request_id = reply.headers["Request-Id"]
    return _read_stream(reply, answer, started_s)


def _read_stream(reply, answer, started_s):
    buffer = b""
    answer.text = ""
    answer.first_s = 0.0
    for data in reply.stream(None):
        if not answer.first_s:
            answer.first_s = time.monotonic() - started_s
        events, buffer = stream.split_events(buffer + data)
        for event in events:
            if event == stream.DONE_DATA:
                answer.is_complete = True
                continue
            found = json.loads(event)
            answer.text += found["choices"][0]["text"]
            answer.stored = found.get("stored", answer.stored)
    return answer.is_complete


def wait_for_job(fleet, job, wait_s=JOB_WAIT_S, caller="nurseries"):
    """Polls a job at any live daemon; returns its last status.

    Returns once the job is no longer running, or after `wait_s`.
    """
    deadline_s = time.monotonic() + wait_s
    found = {}
    while time.monotonic() < deadline_s:
        daemon = next(d for d in fleet.daemons if d.alive)
        url = daemon.url("batch") + f"/v1/batches/{job}"
        status, found = fleet.http.json(
            "GET", url, token=fleet_module.CALLER_TOKENS[caller]
        )
        if status == 200:
            _print_progress(found)
            if found["phase"] != "running":
                break
        time.sleep(0.2)
    return found


def _print_progress(found):
    if sys.stdout.isatty():
        completed = found["done"] + found["failed"] + found["unknown"]
        print(f"\r{completed}/{found['total']} items", end="", flush=True)
        if found["phase"] != "running":
            print()


def _print_report(fleet, items, body, job, answers, status):
    lost, doubled, wrong = _check_items(fleet, items, body, job)
    incomplete = [a for a in answers if not a.is_complete]
    wrong_answers = [
        a for a in answers if a.is_complete and not _is_correct(a)
    ]
    unreadable = [
        a for a in answers if a.is_complete and not is_readable(fleet, a)
    ]
    times = hdrh.HdrHistogram(1, 60_000_000, 3)
    for answer in answers:
        times.record_value(max(1, int(answer.first_s * 1e6)))
    p50 = times.get_value_at_percentile(50) / 1000
    p99 = times.get_value_at_percentile(99) / 1000
    print(f"job: {json.dumps(status)}")
    print(
        f"batch: {items} items, lost {lost}, doubled {doubled}, wrong {wrong}"
    )
    print(
        f"online: {len(answers)} requests, cut {len(incomplete)},"
        f" wrong {len(wrong_answers)},"
        f" unreadable elsewhere {len(unreadable)}"
    )
    print(f"first token: p50 {p50:.1f} ms, p99 {p99:.1f} ms")
    _print_metrics(fleet)
    failed = (
        lost or doubled or wrong or incomplete or wrong_answers or unreadable
    )
    _print_title(
        "failed" if failed else "every answer arrived once and complete"
    )
    return 1 if failed else 0


def _check_items(fleet, items, body, job):
    """Returns the numbers of missing, duplicate and wrong items."""
    daemon = [d for d in fleet.daemons if d.alive][-1]
    url = daemon.url("batch") + f"/v1/batches/{job}/results"
    status, text = fleet.http.json(
        "GET", url, token=fleet_module.CALLER_TOKENS["nurseries"]
    )
    if status != 200:
        print(f"results: {status} {text}")
        return items, 0, 0
    found = [json.loads(line) for line in text.splitlines()]
    ids = [line["custom_id"] for line in found]
    bodies = {
        json.loads(line)["custom_id"]: json.loads(line)["body"]
        for line in body.splitlines()
    }
    lost = len(bodies.keys() - set(ids))
    doubled = len(ids) - len(set(ids))
    wrong = sum(not _is_correct_item(line, bodies) for line in found)
    return lost, doubled, wrong


def _is_correct_item(line, bodies):
    if "response" not in line:
        return False
    body = bodies[line["custom_id"]]
    text = line["response"]["body"]["choices"][0]["text"]
    return text == engine.text(body["prompt"], body["max_tokens"])


def _is_correct(answer):
    number = int(answer.key.split("-")[1])
    return answer.text == engine.text(online_prompt(number), ONLINE_TOKENS)


def is_readable(fleet, answer, pause=time.sleep):
    """Returns whether the answer can be read through another daemon.

    An answer that was reported as stored must be readable at once. Any other
    answer stays in memory until its partition has an owner again, which may
    take until the old owner's lease expires.
    """
    attempts = 1 if answer.stored else READ_ATTEMPTS_MAX
    for _ in range(attempts):
        status, body = _fetch_result(fleet, answer)
        if status == 200 and body["choices"][0]["text"] == answer.text:
            return True
        if not answer.stored:
            pause(READ_INTERVAL_S)
    print(
        f"unreadable: {answer.key} as {answer.request_id}, reported stored"
        f" {answer.stored}: {status} {body}"
    )
    return False


def _fetch_result(fleet, answer):
    daemon = [d for d in fleet.daemons if d.alive][-1]
    url = daemon.url("online") + f"/v1/results/{answer.request_id}"
    return fleet.http.json(
        "GET", url, token=fleet_module.CALLER_TOKENS["nurseries"]
    )


def _print_metrics(fleet):
    names = (
        "samphirepost_partitions_owned",
        "samphirepost_tokens_total",
        "samphirepost_commits_total",
        "samphirepost_records_total",
        "samphirepost_items_preempted_total",
        "samphirepost_retries_total",
    )
    for daemon in fleet.daemons:
        if daemon.alive:
            found = [
                f"{name.removeprefix('samphirepost_')}"
                f" {fleet.metric_sum(daemon, name):.0f}"
                for name in names
            ]
            print(f"{daemon.name}: " + ", ".join(found))
    print(f"platform: {json.dumps(fleet.counts())}")
