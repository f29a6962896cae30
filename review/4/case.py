"""The daemons of a zone are stopped and started in turn, under traffic.

A daemon that is about to exit may still be sent requests; one that has been
passed on to an engine must get its whole answer.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import ingress  # noqa: E402
import standins  # noqa: E402

SEED = 1
ENGINES = 3
DAEMONS = 3
INTERVAL_S = 0.015
ONLINE_EVENTS = 5
ONLINE_PER_S = 45.0
# The zone's daemons are stopped one at a time, with this pause (s).
GAP_S = 1.0
ROLL_INTERVAL_S = 9.0
ROLLS = 11
TRAFFIC_S = 102.0
LOSS_SLACK_S = 0.2


async def online(fleet, entrance, rng):
    """Sends online requests for TRAFFIC_S; returns those without an end."""
    record = fleet.record
    began_s = time.monotonic()
    tasks, broken = [], []

    async def one(daemon, request):
        headers = standins.stream_headers(request, ONLINE_EVENTS)
        found = await standins.send(
            daemon.port, "POST", f"/thanks/{request[:4]}", headers, b"draft"
        )
        record.line(
            "answered", daemon.name, request, found.status, found.error
        )
        if found.was_sent and not found.complete:
            broken.append((request, daemon.name, found))

    while time.monotonic() - began_s < TRAFFIC_S:
        await asyncio.sleep(rng.expovariate(ONLINE_PER_S))
        daemon = entrance.choose(rng)
        tasks.append(asyncio.create_task(one(daemon, standins.new_id(rng))))
    await asyncio.gather(*tasks)
    return broken


async def roll(fleet, trouble):
    """Stops and starts all daemons in turn, ROLLS times."""
    tasks = []
    for _ in range(ROLLS if trouble else 0):
        began_s = time.monotonic()
        for daemon in fleet.daemons:
            if daemon.is_running:
                tasks.append(
                    asyncio.create_task(ingress.stop_and_start(fleet, daemon))
                )
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(began_s + ROLL_INTERVAL_S - time.monotonic())
    await asyncio.gather(*tasks)


async def script(record, trouble):
    """Runs the case; returns the exit status."""
    fleet = standins.Fleet(record)
    try:
        engines = [
            standins.Engine(f"engine-{number}", INTERVAL_S, record)
            for number in range(ENGINES)
        ]
        await fleet.start(DAEMONS, engines)
        entrance = ingress.Ingress(fleet)
        broken, _ = await asyncio.gather(
            online(fleet, entrance, standins.generator(SEED)),
            roll(fleet, trouble),
        )
        entrance.stop()
        runs = {run.id for engine in engines for run in engine.runs}
        lost = [
            (request, name, found)
            for request, name, found in broken
            if request in runs
        ]
        for request, name, found in lost:
            held_s = found.ended_s - found.sent_s
            record.line(
                "LOST", request, "at", name, f"after {held_s:.3f} s", found
            )
        record.line("cut:", len(broken), "of them passed on:", len(lost))
        return 1 if lost else 0
    finally:
        await fleet.stop()


if __name__ == "__main__":
    standins.main(pathlib.Path(__file__).parent, script)
