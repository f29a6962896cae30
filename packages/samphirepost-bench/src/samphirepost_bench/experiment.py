"""Experiment that compares policies for batch work beside online work.

The figures are printed, written as JSON and drawn as a plot. The other
experiments use its helpers for the fleet, jobs and metrics.
"""

import asyncio
import json
import pathlib
import threading
import time

from samphirepost_bench import command
from samphirepost_bench import demo
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import load

STEP_SCALE = 6.0
RUN_S = 30.0
WARMUP_S = 6.0
ARRIVALS_PER_ENGINE_PER_S = 1.6
BURST_FACTOR = 5.0
ONLINE_TOKENS = 40
BATCH_TOKENS = 64
BATCH_ITEMS = 20_000
SEED = 7
BATCH_LIMIT_MAX = 64
FIXED_BATCH_LIMIT = 16
ENGINES_BY_USERS = {"nurseries": 5, "umoja": 6}
APPLY_PAUSE_S = 2.0


class Variant:
    """Pool settings to compare: batch work on or off, and its limits.

    `fixed_batch_limit` applies per engine; 0 means that the daemons
    control the limit by `headroom`.
    """

    __slots__ = ("batch", "fixed_batch_limit", "headroom", "name")

    def __init__(self, name, batch, headroom=1.5, fixed_batch_limit=0):
        self.name = name
        self.batch = batch
        self.headroom = headroom
        self.fixed_batch_limit = fixed_batch_limit


VARIANTS = (
    Variant("online alone", False),
    Variant("no control", True, fixed_batch_limit=BATCH_LIMIT_MAX),
    Variant("fixed limit 16", True, fixed_batch_limit=FIXED_BATCH_LIMIT),
    Variant("headroom 1.5 (nurseries)", True, headroom=1.5),
    Variant("headroom 1.05 (Umoja)", True, headroom=1.05),
)


def start_fleet(engines, daemons, scale=STEP_SCALE, zones=demo.ZONES):
    """Starts engines and daemons spread over zones; returns the fleet."""
    fleet = fleet_module.Fleet()
    fleet.start_platform()
    for index in range(engines):
        zone = zones[index % len(zones)]
        fleet.start_engine(f"engine-{index}", zone, scale=scale)
    for index in range(daemons):
        zone = zones[index % len(zones)]
        fleet.start_daemon(f"vm-{index}", zone, wait=False)
    for daemon in fleet.daemons:
        fleet.wait_ready(daemon)
    return fleet


def apply_variant(fleet, expected, variant):
    """Applies a variant's pool settings; returns the new revision."""
    pool = {
        "targets": fleet_module.target_rows(fleet.engines.values()),
        "online_headroom": variant.headroom,
        "batch_fixed_limit": variant.fixed_batch_limit,
        "batch_limit_max": BATCH_LIMIT_MAX,
    }
    route = {"pool": "plants", "callers": ["nurseries"]}
    edit = {
        "expected": expected,
        "routes": {
            "callers": fleet_module.caller_rows(),
            "routes": {"care-note": route, "summary": route},
        },
        "pools": {"pools": {"plants": pool}},
        "note": variant.name,
    }
    url = fleet.daemons[0].url("operator") + "/v1/tables"
    token = fleet_module.OPERATOR_TOKEN
    status, body = fleet.http.json("POST", url, edit, token=token)
    if status != 200:
        raise fleet_module.FleetError(f"apply: {body}")
    demo.wait_until_active(fleet, body["revision"])
    return body["revision"]


def submit_job(fleet, lines, key):
    """Submits a job; returns its id."""
    status, body = fleet.http.json(
        "POST",
        fleet.daemons[0].url("batch") + "/v1/batches",
        lines,
        token=fleet_module.CALLER_TOKENS["nurseries"],
        headers={"Idempotency-Key": key},
    )
    if status not in (200, 202):
        raise fleet_module.FleetError(f"submit: {body}")
    return body["id"]


def cancel_job(fleet, job):
    """Cancels a job and waits until no engine runs a sequence."""
    url = fleet.daemons[0].url("batch") + f"/v1/batches/{job}/cancel"
    token = fleet_module.CALLER_TOKENS["nurseries"]
    fleet.http.json("POST", url, token=token)
    while sum(engine_counts(fleet, "running")):
        time.sleep(fleet_module.POLL_INTERVAL_S)


def engine_counts(fleet, name):
    """Returns the named counter of each live engine."""
    return [
        fleet.http.json("GET", engine.url + "/counts")[1].get(name, 0)
        for engine in fleet.engines.values()
        if engine.alive
    ]


def batch_tokens(fleet):
    """Returns the batch tokens that live daemons have received so far."""
    return sum(
        labelled_metric(
            fleet, daemon, "samphirepost_tokens_total", 'kind="batch"'
        )
        for daemon in fleet.daemons
        if daemon.alive
    )


def labelled_metric(fleet, daemon, name, label):
    """Returns the sum of a metric's samples that have a label."""
    found = fleet.samples(daemon, name)
    return sum(value for labels, value in found if label in labels)


def measure_variant(fleet, variant, pattern, run_s=RUN_S):
    """Runs the load with one variant; returns its figures."""
    job = None
    if variant.batch:
        lines = load.batch_lines(BATCH_ITEMS, BATCH_TOKENS)
        job = submit_job(fleet, lines, variant.name)
    token_counter = BatchTokenCounter(fleet)
    generator = load.LoadGenerator(
        [d.url("online") for d in fleet.daemons if d.alive],
        fleet_module.CALLER_TOKENS["nurseries"],
        "care-note",
        ONLINE_TOKENS,
        WARMUP_S,
    )
    token_counter.start()
    asyncio.run(generator.run(pattern.arrivals(run_s, SEED)))
    figures = generator.metrics.summary()
    figures["batch_tokens_per_s"] = token_counter.per_second()
    figures["cached_share"] = cached_share(fleet)
    if job is not None:
        cancel_job(fleet, job)
    return figures


class BatchTokenCounter(threading.Thread):
    """Thread that counts batch tokens from warm-up to the end of a run."""

    def __init__(self, fleet, run_s=RUN_S):
        super().__init__(daemon=True)
        self._fleet = fleet
        self._run_s = run_s
        self._tokens = 0.0
        self._seconds = 1.0

    def run(self):
        time.sleep(WARMUP_S)
        before, started_s = batch_tokens(self._fleet), time.monotonic()
        time.sleep(self._run_s - WARMUP_S)
        self._tokens = batch_tokens(self._fleet) - before
        self._seconds = time.monotonic() - started_s

    def per_second(self):
        """Waits for the end of the run; returns batch tokens per second."""
        self.join()
        return self._tokens / self._seconds


def cached_share(fleet):
    """Returns the share of prompt tokens found in prefix caches.

    The engines count since their start, not since the variant was applied.
    """
    prompt = sum(engine_counts(fleet, "prompt_tokens"))
    return sum(engine_counts(fleet, "cached_tokens")) / max(1, prompt)


def compare_variants(users, daemons, only=""):
    """Runs the variants on one fleet; returns the figures by variant.

    `only` limits the variants to those whose name contains it; the run
    without batch work is the baseline and always included.
    """
    engines = ENGINES_BY_USERS[users]
    pattern = load.ArrivalPattern(
        ARRIVALS_PER_ENGINE_PER_S * engines, BURST_FACTOR
    )
    found = {}
    with start_fleet(engines, daemons) as fleet:
        revision = 0
        for variant in VARIANTS:
            if only and only not in variant.name and variant.batch:
                continue
            revision = apply_variant(fleet, revision, variant)
            time.sleep(APPLY_PAUSE_S)
            found[variant.name] = measure_variant(fleet, variant, pattern)
            print_figures(variant.name, found)
    return found


def print_figures(name, found):
    """Prints a variant's figures and their ratios to the baseline."""
    figures = found[name]
    baseline = found["online alone"]
    first, gap = figures["first_ms"], figures["gap_ms"]
    print(
        f"{name:<26} first p50 {first['p50']:7.1f} p99 {first['p99']:7.1f}"
        f" ({first['p99'] / baseline['first_ms']['p99']:.2f}x)"
        f"  gap p50 {gap['p50']:6.1f} p99 {gap['p99']:6.1f}"
        f" ({gap['p99'] / baseline['gap_ms']['p99']:.2f}x)"
        f"  batch {figures['batch_tokens_per_s']:7.0f} tokens/s"
        f"  {figures['outcomes']}",
        flush=True,
    )


def run(users, daemons, folder, only=""):
    """Runs the comparison; writes JSON and a plot; returns 0."""
    found = compare_variants(users, daemons, only)
    result = {
        "command": command.line(),
        "users": users,
        "engines": ENGINES_BY_USERS[users],
        "daemons": daemons,
        "scale": STEP_SCALE,
        "run_s": RUN_S,
        "warm_s": WARMUP_S,
        "mean_per_engine": ARRIVALS_PER_ENGINE_PER_S,
        "burst_factor": BURST_FACTOR,
        "variants": found,
    }
    path = pathlib.Path(folder) / f"policy-{users}.json"
    path.write_text(json.dumps(result, indent=1), encoding="utf-8")
    from samphirepost_bench import plots

    plots.plot_policies(result, path.with_suffix(".png"))
    print(f"written: {path}")
    return 0
