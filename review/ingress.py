"""The platform's ingress: chooses a daemon, and stops and starts daemons."""

import asyncio
import signal

import standins

CHECK_INTERVAL_S = 1.0
MISSES_MAX = 2
RESTART_DELAY_S = 0.5


class Ingress:
    """Asks each daemon every second whether it is ready.

    One that misses twice gets no new connections until it is ready again. If
    fewer than half of the zone's daemons are in rotation, all are used.
    """

    def __init__(self, fleet):
        self._fleet = fleet
        self._misses = dict.fromkeys(fleet.daemons, 0)
        self._tasks = [
            asyncio.create_task(self._check(daemon))
            for daemon in fleet.daemons
        ]

    async def _check(self, daemon):
        while True:
            ready = await daemon.is_ready()
            self._misses[daemon] = 0 if ready else self._misses[daemon] + 1
            await asyncio.sleep(CHECK_INTERVAL_S)

    def choose(self, rng):
        """Returns the daemon for a new connection."""
        daemons = self._fleet.daemons
        rotation = [one for one in daemons if self._misses[one] < MISSES_MAX]
        if 2 * len(rotation) < len(daemons):
            rotation = daemons
        return rng.choice(rotation)

    def stop(self):
        """Ends the checks."""
        for task in self._tasks:
            task.cancel()


async def stop_and_start(fleet, daemon):
    """Stops a daemon: SIGTERM, SIGKILL after the grace; starts it again."""
    record = fleet.record
    record.line("SIGTERM", daemon.name)
    daemon.signal(signal.SIGTERM)
    try:
        await asyncio.wait_for(daemon.process.wait(), standins.STOP_GRACE_S)
        record.line("exited", daemon.name)
    except TimeoutError:
        daemon.signal(signal.SIGKILL)
        await daemon.process.wait()
        record.line("SIGKILL", daemon.name)
    await asyncio.sleep(RESTART_DELAY_S)
    await daemon.start()
