"""Experiments on one daemon: relay cost per token and dispatch delay."""

import asyncio
import json
import math
import pathlib
import time

from samphirepost_bench import command
from samphirepost_bench import experiment
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import load
from samphirepost_bench import plots
from samphirepost_bench import slopes

STREAM_COUNTS = (50, 200, 400, 800)
STREAMS_PER_ENGINE = 200
STEP_MS = 62.0
RUN_S = 12.0
RAMP_S = 4.0
DISPATCH_ENGINES = 2
DISPATCH_TOKENS = 8
DISPATCH_REQUESTS_PER_S = 100
DISPATCH_RUN_S = 15.0
TOKENS = int(RUN_S * 1000 / STEP_MS)


def run(folder):
    """Measures the relay by number of streams; writes JSON and a plot."""
    found = [measure_relay(count) for count in STREAM_COUNTS]
    result = {"command": command.line(), "streams": found}
    path = pathlib.Path(folder) / "relay.json"
    path.write_text(json.dumps(result, indent=1), encoding="utf-8")
    points = [(p["streams"], p["cpu_us_per_token"]) for p in found]
    plots.plot_lines(
        {"one daemon": points},
        "open streams",
        "processor time per token (us)",
        "Relay of one daemon",
        path.with_suffix(".png"),
    )
    return 0


def run_dispatch(folder):
    """Measures the daemon's share of the time to first token; writes JSON."""
    fleet = fleet_module.Fleet()
    with fleet:
        fleet.start_platform()
        for index in range(DISPATCH_ENGINES):
            fleet.start_engine(f"engine-{index}", "zone-1")
        daemon = fleet.start_daemon("vm-0", "zone-1")
        experiment.apply_variant(
            fleet, 0, experiment.Variant("dispatch", False)
        )
        generator = _make_generator(daemon, DISPATCH_TOKENS)
        pattern = load.ArrivalPattern(DISPATCH_REQUESTS_PER_S)
        arrivals = pattern.arrivals(DISPATCH_RUN_S, experiment.SEED)
        asyncio.run(generator.run(arrivals))
        found = {
            "command": command.line(),
            "requests_per_s": DISPATCH_REQUESTS_PER_S,
            "share_within_s": _dispatch_shares(fleet, daemon),
            "first_ms": generator.metrics.summary()["first_ms"],
            "outcomes": generator.metrics.outcomes,
        }
    path = pathlib.Path(folder) / "dispatch.json"
    path.write_text(json.dumps(found, indent=1), encoding="utf-8")
    print(json.dumps(found, indent=1))
    return 0


def _dispatch_shares(fleet, daemon):
    """Returns the share of requests dispatched within each bound (s).

    The bounds are the buckets of the daemon's dispatch histogram.
    """
    name = "samphirepost_dispatch_seconds"
    total = fleet.metric_sum(daemon, name + "_count")
    return {
        labels.split('"')[1]: count / max(1.0, total)
        for labels, count in fleet.samples(daemon, name + "_bucket")
    }


def _make_generator(daemon, tokens):
    """Returns a load generator for one daemon, without warm-up."""
    return load.LoadGenerator(
        [daemon.url("online")],
        fleet_module.CALLER_TOKENS["nurseries"],
        "care-note",
        tokens,
        0.0,
    )


def measure_relay(count):
    """Returns the figures of one daemon with `count` open streams."""
    engines = math.ceil(count / STREAMS_PER_ENGINE)
    streams_per_engine = count / engines
    # Scales the engine's step, 8 ms + 0.06 ms per sequence, to STEP_MS.
    scale = STEP_MS / (8.0 + 0.06 * streams_per_engine)
    variant = experiment.Variant("relay", False)
    fleet = fleet_module.Fleet()
    with fleet:
        fleet.start_platform()
        for index in range(engines):
            fleet.start_engine(f"engine-{index}", "zone-1", scale=scale)
        daemon = fleet.start_daemon(
            "vm-0", "zone-1", online_threads=count + 20
        )
        experiment.apply_variant(fleet, 0, variant)
        return _run_streams(fleet, daemon, count)


def _run_streams(fleet, daemon, count):
    generator = _make_generator(daemon, TOKENS)
    arrivals = [RAMP_S * n / count for n in range(count)]
    cpu_s, started_s = slopes.cpu_time_s(daemon), time.monotonic()
    asyncio.run(generator.run(arrivals))
    took_s = time.monotonic() - started_s
    cpu_s = slopes.cpu_time_s(daemon) - cpu_s
    tokens = generator.metrics.tokens
    figures = {
        "streams": count,
        "tokens_per_s": tokens / took_s,
        "cpu_us_per_token": 1e6 * cpu_s / max(1, tokens),
        "cpu_share": cpu_s / took_s,
        "gap_ms": generator.metrics.summary()["gap_ms"],
        "first_ms": generator.metrics.summary()["first_ms"],
        "outcomes": generator.metrics.outcomes,
    }
    print(json.dumps(figures), flush=True)
    return figures
