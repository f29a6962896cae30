"""Replaces daemons of an older build by this one, under traffic.

The older build is read from the repository's history. Builds run side by side
while the daemons are stopped and started one after the other; callers send
requests and jobs all the time, and all guarantees of the soak are checked.
"""

import pathlib
import subprocess
import tempfile
import time

from samphirepost_bench import entryfleet
from samphirepost_bench import soak
from samphirepost_bench import soakfaults
from samphirepost_bench import streamengine

# Time for which builds run side by side between two replacements (s).
PAUSE_S = 3.0
# From SIGTERM to the exit, and from a start to readiness (s).
EXIT_TIMEOUT_S = 20.0


def extract(commit):
    """Writes a commit's files to a new folder; returns its entry program."""
    folder = pathlib.Path(tempfile.mkdtemp(f"-{commit[:8]}"))
    archive = subprocess.run(
        ["git", "archive", commit, "deploy", "packages"],
        cwd=entryfleet.ENTRY_PROGRAM.parent.parent,
        check=True,
        capture_output=True,
    ).stdout
    subprocess.run(["tar", "x", "-C", folder], input=archive, check=True)
    return folder / "deploy" / entryfleet.ENTRY_PROGRAM.name


class Upgrade(soak.Soak):
    """A soak whose only disturbance is the replacement of all daemons.

    `to_old` replaces the new build by the older one instead, as when a
    release is taken back.
    """

    def __init__(self, fleet, seed, old_program, to_old):
        super().__init__(fleet, seed)
        self._program = old_program if to_old else entryfleet.ENTRY_PROGRAM

    def _inject_faults(self, _seconds):
        time.sleep(PAUSE_S)
        for daemon in self.fleet.daemons:
            self._replace(daemon)
            time.sleep(PAUSE_S)

    def _replace(self, daemon):
        daemon.process.terminate()
        deadline_s = time.monotonic() + EXIT_TIMEOUT_S
        while daemon.process.alive:
            if time.monotonic() > deadline_s:
                self.record_violation("EXIT", f"{daemon.name} does not exit")
                daemon.process.kill()
            time.sleep(soakfaults.POLL_INTERVAL_S)
        daemon.program = self._program
        daemon.start()
        self._wait_ready()


def run(
    seeds,
    commit,
    daemons=4,
    engines=3,
    report=print,
    new_engine=streamengine.Engine,
):
    """Replaces an older build, and this one by it; returns failed seeds.

    See entryfleet.Engine for `new_engine`.
    """
    old_program = extract(commit)
    failed_seeds = []
    for seed in seeds:
        for to_old in (False, True):
            fleet = entryfleet.Fleet(daemons, engines, new_engine=new_engine)
            for daemon in fleet.daemons:
                if not to_old:
                    daemon.program = old_program
            with fleet:
                upgrade = Upgrade(fleet, seed, old_program, to_old)
                upgrade.run(0)
            direction = "to the old build" if to_old else "to this build"
            report(
                f"seed {seed}, {direction}: {upgrade.served} of"
                f" {upgrade.requested} requests served,"
                f" {len(upgrade.violations)} guarantee violations"
            )
            if upgrade.violations:
                failed_seeds.append(seed)
                for line in upgrade.violations:
                    report(f"  {line}")
                report(f"  logs: {fleet.folder}")
    return failed_seeds
