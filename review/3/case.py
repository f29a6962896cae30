"""Another writer's unreadable entry hides that an engine is leaving.

The engine reports that it is draining; no request may reach it later than
`drainMs` after that.
"""

import asyncio
import base64
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import standins  # noqa: E402

SEED = 1
ENGINES = 3
DAEMONS = 2
INTERVAL_S = 0.015
ONLINE_EVENTS = 31
ONLINE_PER_S = 10.0
# Instants from the start of the traffic (s).
ENTRY_AT_S = 4.0
DRAINING_AT_S = 10.0
TRAFFIC_S = 20.0
DRAIN_S = 2.0
# Afterwards one more daemon is started; how long it may take is only recorded.
READY_WAIT_S = 10.0
# An entry of another writer: bytes that cannot be read.
DEPTH = 3000
UNREADABLE = b'{"load": ' + b"[" * DEPTH


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
        await asyncio.sleep(rng.expovariate(ONLINE_PER_S))
        daemon = rng.choice(fleet.daemons)
        tasks.append(asyncio.create_task(one(daemon, standins.new_id(rng))))
    await asyncio.gather(*tasks)


async def disturb(fleet, trouble):
    """Writes the entry; later, one engine reports that it is draining.

    Returns the instant of the store's acknowledgement of that report.
    """
    record = fleet.record
    await asyncio.sleep(ENTRY_AT_S)
    if trouble:
        value = base64.b64encode(UNREADABLE).decode()
        fleet.store.put_value("servers", "unreadable", value)
        record.line("unreadable entry written:", len(UNREADABLE), "bytes")
    await asyncio.sleep(DRAINING_AT_S - ENTRY_AT_S)
    leaving = fleet.engines[0]
    entry = leaving.entry("draining", seq=2)
    fleet.store.put("servers", leaving.name, entry)
    record.line(leaving.name, "is draining")
    return time.monotonic()


async def add_daemon(fleet):
    """Starts one more daemon and records whether it becomes ready."""
    added = standins.Daemon("vm-added", fleet.store, fleet.folder)
    fleet.daemons.append(added)
    await added.start()
    try:
        await fleet.wait_ready(added, READY_WAIT_S)
        fleet.record.line("an added daemon is ready")
    except TimeoutError:
        fleet.record.line("an added daemon is not ready in", READY_WAIT_S, "s")


async def script(record, trouble):
    """Runs the case; returns the exit status."""
    fleet = standins.Fleet(record)
    try:
        engines = [
            standins.Engine(f"engine-{number}", INTERVAL_S, record)
            for number in range(ENGINES)
        ]
        await fleet.start(DAEMONS, engines)
        _, draining_s = await asyncio.gather(
            online(fleet, standins.generator(SEED)), disturb(fleet, trouble)
        )
        late = [
            request
            for at_s, request in engines[0].arrivals
            if at_s > draining_s + DRAIN_S
        ]
        for request in late:
            record.line("BROKEN: late at", engines[0].name, request)
        record.line("requests that arrived too late:", len(late))
        for daemon in fleet.daemons:
            faults = daemon.log_lines("fault")
            record.line(daemon.name, "logged faults:", len(faults))
            for line in faults[:3]:
                record.line(daemon.name, line["where"], line["error"])
        await add_daemon(fleet)
        return 1 if late else 0
    finally:
        await fleet.stop()


if __name__ == "__main__":
    standins.main(pathlib.Path(__file__).parent, script)
