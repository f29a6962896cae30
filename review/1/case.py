"""A machine is removed while a part of the platform's store is down.

The machine held batch jobs. Once the store is back, the other machines have to
finish them.
"""

import asyncio
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

SEED = 1
ENGINES = 2
DAEMONS = 3
INTERVAL_S = 0.02
ITEM_EVENTS = 216
JOBS = 6
ITEMS_PER_JOB = 10
RUN_BEFORE_S = 2.0
# The part of the store with the batch route's rows is down for so long (s),
# from so long after the machine was removed.
OUTAGE_AFTER_S = 1.5
OUTAGE_S = 6.0
# From the removal to the end of the traffic, and `finishS`.
TRAFFIC_AFTER_S = 20.0
FINISH_S = 18.0
# Calm time before the end in which the rule wants no work at the engines.
CALM_S = 5.0


def held_jobs(daemon):
    """Returns the ids of the jobs that a daemon holds, from its log."""
    held = {line["job"] for line in daemon.log_lines("job.held")}
    return held - {line["job"] for line in daemon.log_lines("job.dropped")}


async def hand_in(fleet, rng):
    """Hands in the batch jobs; returns their items by job."""
    jobs = {}
    for _ in range(JOBS):
        job = standins.new_id(rng)
        body, ids = standins.lot(rng, ITEMS_PER_JOB, ITEM_EVENTS)
        if await standins.submit(fleet.daemons, job, body, rng, fleet.record):
            jobs[job] = ids
    return jobs


async def disturb(fleet):
    """Removes the machine that holds most jobs; takes a part down."""
    record = fleet.record
    removed = max(fleet.daemons, key=lambda one: len(held_jobs(one)))
    record.line("removed", removed.name, "with", *held_jobs(removed))
    removed.signal(signal.SIGKILL)
    fleet.daemons.remove(removed)
    await asyncio.sleep(OUTAGE_AFTER_S)
    record.line("part down", standins.ROUTE_HOST)
    fleet.store.parts_down = {standins.ROUTE_HOST}
    await asyncio.sleep(OUTAGE_S)
    fleet.store.parts_down = set()
    record.line("part up; calls refused:", len(fleet.store.refused))


async def check(fleet, jobs):
    """Returns the number of items that are not listed."""
    record, missing = fleet.record, 0
    for job, ids in jobs.items():
        results = await standins.read_results(fleet.daemons[0], job) or []
        listed = {result["id"]: result for result in results}
        for item in ids:
            if item not in listed:
                missing += 1
                record.line("NOT LISTED", job, item)
    calm_s = time.monotonic() - CALM_S
    late = [
        run
        for engine in fleet.engines
        for run in engine.runs
        if run.ended == "running" or run.began_s > calm_s
    ]
    record.line("not listed:", missing, "runs in the last 5 s:", len(late))
    for daemon in fleet.daemons:
        for line in daemon.log_lines("job.not_taken"):
            record.line(daemon.name, line["at"], line["job"], line["reason"])
    return missing if not late else 0


async def script(record, trouble):
    """Runs the case; returns the exit status."""
    rng = standins.generator(SEED)
    fleet = standins.Fleet(record)
    try:
        engines = [
            standins.Engine(f"engine-{number}", INTERVAL_S, record)
            for number in range(ENGINES)
        ]
        await fleet.start(DAEMONS, engines)
        all_daemons = list(fleet.daemons)
        jobs = await hand_in(fleet, rng)
        await asyncio.sleep(RUN_BEFORE_S)
        if trouble:
            await disturb(fleet)
        await asyncio.sleep(TRAFFIC_AFTER_S + FINISH_S)
        missing = await check(fleet, jobs)
        fleet.daemons = all_daemons
        return 1 if missing else 0
    finally:
        await fleet.stop()


if __name__ == "__main__":
    standins.main(pathlib.Path(__file__).parent, script)
