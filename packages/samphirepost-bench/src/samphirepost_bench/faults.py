"""Experiment that runs online and batch work under scheduled faults.

The faults are an outage of the table service, the kill of an engine, the
kill of a daemon and a suspended daemon. The constants of the faults are
seconds since the start of the run; pairs are start and end.
"""

import asyncio
import json
import pathlib
import threading
import time

from samphirepost_bench import command
from samphirepost_bench import demo
from samphirepost_bench import engine as engine_module
from samphirepost_bench import experiment
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import load

ENGINES = 5
DAEMONS = 4
RUN_S = 60.0
ITEMS = 3_000
TOKENS = 40
ONLINE_PER_S = 8.0
TABLE_OUTAGE_S = (10.0, 25.0)
ENGINE_KILL_S = 30.0
DAEMON_KILL_S = 36.0
DAEMON_FREEZE_S = (42.0, 50.0)
JOB_WAIT_S = 240.0


class FaultSchedule(threading.Thread):
    """Thread that injects the faults at fixed times and records effects."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.started_s = time.monotonic()
        self.observations = {}

    def _sleep_until(self, at_s):
        time.sleep(max(0.0, self.started_s + at_s - time.monotonic()))

    def run(self):
        fleet = self.fleet
        self._sleep_until(TABLE_OUTAGE_S[0])
        before = experiment.batch_tokens(fleet)
        fleet.set_service_mode("table", "down")
        self._sleep_until(TABLE_OUTAGE_S[1])
        outage_tokens = experiment.batch_tokens(fleet) - before
        fleet.set_service_mode("table", "ok")
        outage_s = TABLE_OUTAGE_S[1] - TABLE_OUTAGE_S[0]
        self.observations["batch_tokens_per_s_table_out"] = (
            outage_tokens / outage_s
        )
        self._sleep_until(ENGINE_KILL_S)
        self._kill_engine("engine-4")
        self._sleep_until(DAEMON_KILL_S)
        busiest = max(
            fleet.daemons[1:], key=lambda d: len(self._engines_of(d))
        )
        self._kill_daemon(busiest)
        frozen = next(d for d in fleet.daemons[1:] if d is not busiest)
        self._sleep_until(DAEMON_FREEZE_S[0])
        frozen.freeze()
        self._sleep_until(DAEMON_FREEZE_S[1])
        frozen.thaw()

    def _kill_engine(self, name):
        """Kills an engine; records when daemons last sent it a request."""
        self.fleet.engines[name].kill()
        killed_s = time.monotonic()
        last, last_s = self._dispatches_to(name), killed_s
        while time.monotonic() - killed_s < 5.0:
            now = self._dispatches_to(name)
            if now != last:
                last, last_s = now, time.monotonic()
            time.sleep(0.1)
        self.observations["dead_engine_last_request_s"] = last_s - killed_s

    def _dispatches_to(self, name):
        return sum(
            experiment.labelled_metric(
                self.fleet,
                daemon,
                "samphirepost_dispatches_total",
                f'target="{name}"',
            )
            for daemon in self.fleet.daemons
        )

    def _kill_daemon(self, daemon):
        """Kills a daemon; records when its engines get batch work again."""
        before = self._admitted_engines()
        self.observations["engines_of_the_dead_daemon"] = len(
            self._engines_of(daemon)
        )
        daemon.kill()
        killed_s = time.monotonic()
        self.observations["engines_admitted_before"] = len(before)
        while time.monotonic() - killed_s < 15.0:
            if len(self._admitted_engines()) >= len(before):
                break
            time.sleep(0.1)
        took_s = time.monotonic() - killed_s
        self.observations["dead_daemon_engines_admitted_again_s"] = took_s

    def _admitted_engines(self):
        """Returns the engines to which any live daemon admits batch work."""
        found = set()
        for daemon in self.fleet.daemons:
            if daemon.alive:
                found |= self._engines_of(daemon)
        return found

    def _engines_of(self, daemon):
        """Returns the engines to which one daemon admits batch work."""
        found = self.fleet.samples(daemon, "samphirepost_batch_limit")
        return {labels.split('"')[1] for labels, limit in found if limit > 0}


def run(folder):
    """Runs the schedule; writes JSON.

    Returns 1 if an item is lost, duplicated or wrong, else 0.
    """
    fleet = experiment.start_fleet(ENGINES, DAEMONS)
    with fleet:
        experiment.apply_variant(fleet, 0, experiment.Variant("faults", True))
        lines = load.batch_lines(ITEMS, TOKENS)
        job = experiment.submit_job(fleet, lines, "faults")
        schedule = FaultSchedule(fleet)
        generator = load.LoadGenerator(
            [d.url("online") for d in fleet.daemons],
            fleet_module.CALLER_TOKENS["nurseries"],
            "care-note",
            TOKENS,
            0.0,
        )
        schedule.start()
        arrivals = load.ArrivalPattern(ONLINE_PER_S).arrivals(
            RUN_S, experiment.SEED
        )
        asyncio.run(generator.run(arrivals))
        schedule.join()
        status = demo.wait_for_job(fleet, job, JOB_WAIT_S)
        wrong = check_items(fleet, job, lines)
    result = {
        "command": command.line(),
        "online": generator.metrics.summary(),
        "seen": schedule.observations,
        "job": status,
        "wrong": wrong,
    }
    path = pathlib.Path(folder) / "faults.json"
    path.write_text(json.dumps(result, indent=1), encoding="utf-8")
    print(json.dumps(result, indent=1))
    return 1 if any(wrong.values()) else 0


def check_items(fleet, job, lines):
    """Returns the numbers of missing, duplicate and wrong items."""
    daemon = fleet.daemons[0]
    url = daemon.url("batch") + f"/v1/batches/{job}/results"
    token = fleet_module.CALLER_TOKENS["nurseries"]
    status, text = fleet.http.json("GET", url, token=token)
    if status != 200:
        return {"lost": ITEMS, "doubled": 0, "wrong": 0}
    found = [json.loads(line) for line in text.splitlines()]
    by_id = {line["custom_id"]: line for line in found}
    wrong = 0
    for line in lines.splitlines():
        item = json.loads(line)
        result = by_id.get(item["custom_id"], {})
        choices = result.get("response", {}).get("body", {}).get("choices")
        body = item["body"]
        expected = engine_module.text(body["prompt"], body["max_tokens"])
        wrong += bool(result) and (
            not choices or choices[0]["text"] != expected
        )
    return {
        "lost": ITEMS - len(by_id),
        "doubled": len(found) - len(by_id),
        "wrong": wrong,
    }
