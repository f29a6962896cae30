"""Experiment that runs online and batch work under scheduled faults.

The faults: an outage of the table service, the kill of an engine, the kill
of a daemon and a frozen daemon. All times below are seconds since the start.
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
TABLE_OUT_S = (10.0, 25.0)
ENGINE_KILLED_S = 30.0
DAEMON_KILLED_S = 36.0
FROZEN_S = (42.0, 50.0)
JOB_S = 240.0


class Schedule(threading.Thread):
    """Thread that injects the faults at fixed times and records effects."""

    def __init__(self, fleet):
        super().__init__(daemon=True)
        self.fleet = fleet
        self.began_s = time.monotonic()
        self.seen = {}

    def _until(self, at_s):
        time.sleep(max(0.0, self.began_s + at_s - time.monotonic()))

    def run(self):
        fleet = self.fleet
        self._until(TABLE_OUT_S[0])
        before = experiment.batch_tokens(fleet)
        fleet.fault("table", "down")
        self._until(TABLE_OUT_S[1])
        during = experiment.batch_tokens(fleet) - before
        fleet.fault("table", "ok")
        out_s = TABLE_OUT_S[1] - TABLE_OUT_S[0]
        self.seen["batch_tokens_per_s_table_out"] = during / out_s
        self._until(ENGINE_KILLED_S)
        self._kill_engine("engine-4")
        self._until(DAEMON_KILLED_S)
        busiest = max(fleet.daemons[1:], key=lambda d: len(self._limits(d)))
        self._kill_daemon(busiest)
        frozen = next(d for d in fleet.daemons[1:] if d is not busiest)
        self._until(FROZEN_S[0])
        frozen.freeze()
        self._until(FROZEN_S[1])
        frozen.thaw()

    def _kill_engine(self, name):
        """Kills an engine; records when daemons last sent it a request."""
        self.fleet.engines[name].kill()
        killed_s = time.monotonic()
        last, last_s = self._sent(name), killed_s
        while time.monotonic() - killed_s < 5.0:
            now = self._sent(name)
            if now != last:
                last, last_s = now, time.monotonic()
            time.sleep(0.1)
        self.seen["dead_engine_last_request_s"] = last_s - killed_s

    def _sent(self, name):
        return sum(
            experiment.labelled(
                self.fleet,
                daemon,
                "samphirepost_dispatches_total",
                f'target="{name}"',
            )
            for daemon in self.fleet.daemons
        )

    def _kill_daemon(self, daemon):
        """Kills a daemon; records when its engines get batch work again."""
        before = self._admitted()
        self.seen["engines_of_the_dead_daemon"] = len(self._limits(daemon))
        daemon.kill()
        killed_s = time.monotonic()
        self.seen["engines_admitted_before"] = len(before)
        while time.monotonic() - killed_s < 15.0:
            if len(self._admitted()) >= len(before):
                break
            time.sleep(0.1)
        took_s = time.monotonic() - killed_s
        self.seen["dead_daemon_engines_admitted_again_s"] = took_s

    def _admitted(self):
        """Returns the engines to which any live daemon admits batch work."""
        found = set()
        for daemon in self.fleet.daemons:
            if daemon.alive:
                found |= self._limits(daemon)
        return found

    def _limits(self, daemon):
        """Returns the engines to which one daemon admits batch work."""
        found = self.fleet.samples(daemon, "samphirepost_batch_limit")
        return {labels.split('"')[1] for labels, limit in found if limit > 0}


def run(folder):
    """Runs the schedule; writes JSON.

    Returns 1 if an item is lost, duplicated or wrong, else 0.
    """
    fleet = experiment.start(ENGINES, DAEMONS)
    with fleet:
        experiment.apply(fleet, 0, experiment.Variant("faults", True))
        lines = load.batch_lines(ITEMS, TOKENS)
        job = experiment.submit(fleet, lines, "faults")
        schedule = Schedule(fleet)
        client = load.Load(
            [d.url("online") for d in fleet.daemons],
            fleet_module.CALLERS["nurseries"],
            "care-note",
            TOKENS,
            0.0,
        )
        schedule.start()
        arrivals = load.Shape(ONLINE_PER_S).arrivals(RUN_S, experiment.SEED)
        asyncio.run(client.run(arrivals))
        schedule.join()
        status = demo.wait_job(fleet, job, JOB_S)
        wrong = check(fleet, job, lines)
    result = {
        "command": command.line(),
        "online": client.measured.summary(),
        "seen": schedule.seen,
        "job": status,
        "wrong": wrong,
    }
    path = pathlib.Path(folder) / "faults.json"
    path.write_text(json.dumps(result, indent=1), encoding="utf-8")
    print(json.dumps(result, indent=1))
    return 1 if any(wrong.values()) else 0


def check(fleet, job, lines):
    """Returns the numbers of missing, duplicate and wrong items."""
    daemon = fleet.daemons[0]
    url = daemon.url("batch") + f"/v1/batches/{job}/results"
    token = fleet_module.CALLERS["nurseries"]
    status, text = fleet.http.json("GET", url, token=token)
    if status != 200:
        return {"lost": ITEMS, "doubled": 0, "wrong": 0}
    found = [json.loads(line) for line in text.splitlines()]
    by_id = {line["custom_id"]: line for line in found}
    wrong = 0
    for line in lines.splitlines():
        asked = json.loads(line)
        got = by_id.get(asked["custom_id"], {})
        choices = got.get("response", {}).get("body", {}).get("choices")
        body = asked["body"]
        right = engine_module.text(body["prompt"], body["max_tokens"])
        wrong += bool(got) and (not choices or choices[0]["text"] != right)
    return {
        "lost": ITEMS - len(by_id),
        "doubled": len(found) - len(by_id),
        "wrong": wrong,
    }
