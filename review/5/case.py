"""The daemons of a zone are stopped in turn while streams of 3.75 s run.

Requests that a daemon takes after its SIGTERM have to get their whole answer,
or a refusal.
"""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import ingress  # noqa: E402
import standins  # noqa: E402

SEED = 1
ENGINES = 4
DAEMONS = 3
# 50 events with pauses well below the route's 250 ms: 3.75 s, below its
# timeout of 5 s.
INTERVAL_S = 0.075
ONLINE_EVENTS = 50
ONLINE_PER_S = 4.0
GAP_S = 1.0
ROLL_INTERVAL_S = 14.0
ROLLS = 5
TRAFFIC_S = 72.0
# What the rule leaves out: a request that was sent up to so long after the
# SIGTERM (s), with its engine at work in the last sixth of the grace.
EARLY_S = 3.0
LAST_SIXTH_S = standins.STOP_GRACE_S * 5 / 6


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
            broken.append((request, daemon, found))

    while time.monotonic() - began_s < TRAFFIC_S:
        await asyncio.sleep(rng.expovariate(ONLINE_PER_S))
        daemon = entrance.choose(rng)
        tasks.append(asyncio.create_task(one(daemon, standins.new_id(rng))))
    await asyncio.gather(*tasks)
    return broken


async def roll(fleet, trouble, stops):
    """Stops and starts all daemons in turn, ROLLS times.

    Appends each stop to `stops`: the daemon and the instant.
    """
    tasks = []
    for _ in range(ROLLS if trouble else 0):
        began_s = time.monotonic()
        for daemon in fleet.daemons:
            if daemon.is_running:
                stops.append((daemon, time.monotonic()))
                tasks.append(
                    asyncio.create_task(ingress.stop_and_start(fleet, daemon))
                )
            await asyncio.sleep(GAP_S)
        await asyncio.sleep(began_s + ROLL_INTERVAL_S - time.monotonic())
    await asyncio.gather(*tasks)


def is_left_out(stop_s, found):
    """Whether the rule leaves out a request that was cut."""
    is_early = found.sent_s - stop_s <= EARLY_S
    return is_early and found.ended_s - stop_s >= LAST_SIXTH_S


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
        stops = []
        broken, _ = await asyncio.gather(
            online(fleet, entrance, standins.generator(SEED)),
            roll(fleet, trouble, stops),
        )
        entrance.stop()
        runs = {run.id for engine in engines for run in engine.runs}
        lost = 0
        for request, daemon, found in broken:
            stop_s = max(
                at_s
                for one, at_s in stops
                if one is daemon and at_s < found.ended_s
            )
            excused = request not in runs or is_left_out(stop_s, found)
            lost += not excused
            record.line(
                "left out:" if excused else "LOST",
                request,
                "at",
                daemon.name,
                f"sent {found.sent_s - stop_s:.2f} s after the SIGTERM,",
                f"cut {found.ended_s - stop_s:.2f} s after it, with",
                found.body.count(b"\n\n"),
                "events",
            )
        record.line("cut:", len(broken), "lost:", lost)
        return 1 if lost else 0
    finally:
        await fleet.stop()


if __name__ == "__main__":
    standins.main(pathlib.Path(__file__).parent, script)
