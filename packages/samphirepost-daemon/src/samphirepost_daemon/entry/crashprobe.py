"""Finds out whether an engine that lost requests has crashed.

A connection may be reset, closed or time out at an engine that lives on. Only
the end of its incarnation is a crash, so the engine is asked for its report.
"""

import threading
import time

from samphirepost import leaving
from samphirepost_daemon.entry import enginestatus

# Engines that are asked at a time, each by a thread. An engine beyond them is
# not asked.
PROBES_MAX = 32


class CrashProbe:
    """Asks engines for their reports, each once for all runs that it lost.

    `decide(lost_runs, life)` is called with pathmonitor.LostRuns at one engine
    and the enginestatus.Life of its incarnation, seen after they were lost.
    """

    def __init__(self, parts, decide):
        self._parts = parts
        self._decide = decide
        self._lock = threading.Lock()
        self._lost_runs = {}

    def ask(self, lost_runs):
        """Has it found out whether an engine crashed with its LostRuns."""
        engine = lost_runs[-1].engine
        key = leaving.incarnation(engine)
        with self._lock:
            if key in self._lost_runs:
                self._lost_runs[key] += lost_runs
                return
            is_asked = len(self._lost_runs) < PROBES_MAX
            if is_asked:
                self._lost_runs[key] = list(lost_runs)
        if not is_asked:
            self._decide(lost_runs, enginestatus.Life.UNKNOWN)
            return
        threading.Thread(
            target=self._probe, args=(engine, key), daemon=True, name="crashes"
        ).start()

    def _probe(self, engine, key):
        while True:
            asked_s = time.monotonic()
            life = enginestatus.Life.UNKNOWN
            try:
                life = enginestatus.find_life(self._parts, engine)
            except Exception as exc:
                self._parts.log.failure(
                    "fault", where="crashes", error=repr(exc)
                )
            found, is_over = self._take(key, life, asked_s)
            self._decide(found, life)
            if is_over:
                return

    def _take(self, key, life, asked_s):
        """Returns the LostRuns that are decided, and whether these are all.

        A report tells nothing of those that were lost after it was asked for.
        """
        with self._lock:
            found = self._lost_runs.pop(key)
            later = []
            if life is enginestatus.Life.RUNNING:
                later = [one for one in found if one.lost_s > asked_s]
            if later:
                self._lost_runs[key] = later
        return [one for one in found if one not in later], not later
