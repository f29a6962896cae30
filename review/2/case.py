"""An online request takes the slot of a batch item whose answer is unframed.

The item's text is then checked against the engine's whole output.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

SEED = 1
ENGINES = 6
DAEMONS = 3
INTERVAL_S = 0.015
ONLINE_EVENTS = 31
ITEM_EVENTS = 216
JOBS = 45
ITEMS_PER_JOB = 10
TRAFFIC_S = 75.0
FINISH_S = 18.0
# The traffic's steps, as in the site file: requests a second and seconds.
STEPS = ((15.0, 3.8), (70.0, 2.8))
# The largest dose of `garble` in the site file; each spell and its pause (s).
GARBLE_ENGINES_SHARE = 0.6
GARBLE_ANSWERS_SHARE = 0.03
GARBLE_S = 5.0
GARBLE_PAUSE_S = 1.0


class Garble:
    """Chooses the answers that have no length."""

    def __init__(self, trouble, rng):
        self._trouble = trouble
        self._rng = rng
        self._began_s = time.monotonic()
        count = round(GARBLE_ENGINES_SHARE * ENGINES)
        self._engines = {f"engine-{number}" for number in range(count)}

    def is_unframed(self, run):
        """Whether the answer of a Run has no length."""
        spell_s = (time.monotonic() - self._began_s) % (
            GARBLE_S + GARBLE_PAUSE_S
        )
        return (
            self._trouble
            and run.engine in self._engines
            and spell_s < GARBLE_S
            and self._rng.random() < GARBLE_ANSWERS_SHARE
        )


async def online(fleet, rng):
    """Sends online requests for TRAFFIC_S."""
    record = fleet.record
    began_s = time.monotonic()
    tasks = []

    async def one(daemon, request):
        headers = standins.stream_headers(request, ONLINE_EVENTS)
        found = await standins.send(
            daemon.port, "POST", f"/short/{request[:4]}", headers, b"draft"
        )
        record.line("answered", request, found.status, found.error)

    while time.monotonic() - began_s < TRAFFIC_S:
        at_s = (time.monotonic() - began_s) % sum(s for _, s in STEPS)
        per_s = STEPS[0][0] if at_s < STEPS[0][1] else STEPS[1][0]
        await asyncio.sleep(rng.expovariate(per_s))
        daemon = rng.choice(fleet.daemons)
        tasks.append(asyncio.create_task(one(daemon, standins.new_id(rng))))
    await asyncio.gather(*tasks)


async def batch(fleet, jobs, rng):
    """Hands in the batch jobs, evenly over the time of the traffic."""
    for _ in range(JOBS):
        job = standins.new_id(rng)
        body, ids = standins.lot(rng, ITEMS_PER_JOB, ITEM_EVENTS)
        if await standins.submit(fleet.daemons, job, body, rng, fleet.record):
            jobs[job] = ids
        await asyncio.sleep(TRAFFIC_S / JOBS)


async def check(fleet, jobs):
    """Returns the number of results whose text is not whole."""
    record, broken, done = fleet.record, 0, 0
    for job in jobs:
        results = await standins.read_results(fleet.daemons[0], job)
        if results is None:
            record.line("unread", job)
            continue
        for result in results:
            if result["state"] != "done":
                continue
            done += 1
            whole = standins.output(result["id"], ITEM_EVENTS)
            if result["text"] != whole:
                broken += 1
                events = result["text"].count("\n") + 1
                record.line(
                    "BROKEN", job, result["id"], "done with", events, "events"
                )
    dropped = [
        run
        for engine in fleet.engines
        for run in engine.runs
        if run.unframed and run.ended == "dropped"
    ]
    record.line("unframed answers dropped by the caller:", len(dropped))
    record.line("results done:", done, "not whole:", broken)
    return broken


async def script(record, trouble):
    """Runs the case; returns the exit status."""
    rng = standins.generator(SEED)
    garble = Garble(trouble, standins.generator(SEED + 1))
    fleet = standins.Fleet(record)
    try:
        engines = [
            standins.Engine(
                f"engine-{number}", INTERVAL_S, record, garble.is_unframed
            )
            for number in range(ENGINES)
        ]
        await fleet.start(DAEMONS, engines)
        jobs = {}
        await asyncio.gather(
            online(fleet, rng), batch(fleet, jobs, standins.generator(SEED))
        )
        await asyncio.sleep(FINISH_S)
        return 1 if await check(fleet, jobs) else 0
    finally:
        await fleet.stop()


if __name__ == "__main__":
    standins.main(pathlib.Path(__file__).parent, script)
