"""Judges engines by the outcomes of all daemons' runs.

All instants are monotonic seconds.
"""

import statistics

# Weight of a run in the moving average of failures; two failures in a row
# exceed FAILING_SHARE.
FAILURE_SAMPLE_SHARE = 0.3
# An engine is failing above this share of failed runs.
FAILING_SHARE = 0.5
# Daemons that must have seen an engine fail: the fault of a single one may be
# its own connection.
WITNESSES_MIN = 2
# A failing engine is avoided for AVOID_S, doubled each time up to AVOID_MAX_S.
AVOID_S = 0.5
AVOID_MAX_S = 4.0
# Time (s) for which one run probes an engine that was avoided, before the
# next one may.
PROBE_S = 1.0
# Weight of a run in the moving average of an engine's pace.
PACE_SAMPLE_SHARE = 0.3
# An engine is slow if its events take this many times those of the median
# engine.
SLOW_FACTOR = 2.0
# An engine's pace is forgotten after this time (s) without a run.
PACE_STALE_S = 5.0


class EngineRecord:
    """What is known of one engine.

    It is `suspect` from the moment it is avoided until a run succeeds, and
    `probing` while a run tells whether it works again.
    """

    __slots__ = (
        "avoid_until_s",
        "failure_share",
        "pace_at_s",
        "pace_s",
        "pause_s",
        "probing",
        "suspect",
        "witnesses",
    )

    def __init__(self):
        self.failure_share = 0.0
        self.witnesses = set()
        self.avoid_until_s = 0.0
        self.pause_s = AVOID_S
        self.suspect = False
        self.probing = False
        self.pace_s = 0.0
        self.pace_at_s = 0.0


class FleetHealth:
    """The records of all engines, kept by the hub.

    `suspects` has the ids of the suspect engines.
    """

    __slots__ = ("_records", "suspects")

    def __init__(self):
        self._records = {}
        self.suspects = set()

    def record_success(self, engine_id):
        """Records a run that succeeded; ends the suspicion of an engine."""
        record = self._records.get(engine_id)
        if record is None:
            return
        record.failure_share *= 1 - FAILURE_SAMPLE_SHARE
        record.witnesses.clear()
        if record.suspect:
            self.suspects.discard(engine_id)
            record.suspect = False
            record.probing = False
            record.avoid_until_s = 0.0
            record.failure_share = 0.0
        if record.failure_share < FAILURE_SAMPLE_SHARE**2:
            record.pause_s = AVOID_S

    def record_failure(self, engine_id, vm, now_s):
        """Records a run that failed at an engine, as seen by a daemon."""
        record = self._records.setdefault(engine_id, EngineRecord())
        record.witnesses.add(vm)
        record.failure_share += FAILURE_SAMPLE_SHARE * (
            1 - record.failure_share
        )
        is_failing = (
            record.failure_share > FAILING_SHARE
            and len(record.witnesses) >= WITNESSES_MIN
        )
        if record.suspect or is_failing:
            self._avoid(engine_id, record, now_s)

    def _avoid(self, engine_id, record, now_s):
        # Runs that were sent before the first failure fail too.
        if now_s < record.avoid_until_s and not record.probing:
            return
        self.suspects.add(engine_id)
        record.suspect = True
        record.probing = False
        record.avoid_until_s = now_s + record.pause_s
        record.pause_s = min(2 * record.pause_s, AVOID_MAX_S)

    def witnesses(self, engine_id):
        """Returns the ids of the VMs that saw an engine fail, sorted."""
        record = self._records.get(engine_id)
        return sorted(record.witnesses) if record else []

    def record_pace(self, engine_id, pace_s, now_s):
        """Records the mean time between two events of a run."""
        record = self._records.setdefault(engine_id, EngineRecord())
        if now_s - record.pace_at_s > PACE_STALE_S:
            record.pace_s = pace_s
        else:
            record.pace_s += PACE_SAMPLE_SHARE * (pace_s - record.pace_s)
        record.pace_at_s = now_s

    def slow_engines(self, engine_ids, now_s):
        """Returns the ids of engines that are slower than their peers."""
        paces = {}
        for engine_id in engine_ids:
            record = self._records.get(engine_id)
            if record is None or now_s - record.pace_at_s > PACE_STALE_S:
                continue
            paces[engine_id] = record.pace_s
        if len(paces) < 3:
            return frozenset()
        limit_s = SLOW_FACTOR * statistics.median(paces.values())
        return frozenset(
            engine_id for engine_id, pace in paces.items() if pace > limit_s
        )

    def is_avoided(self, engine_id, now_s):
        """Whether an engine gets no run now."""
        if engine_id not in self.suspects:
            return False
        return now_s < self._records[engine_id].avoid_until_s

    def record_probe(self, engine_id, now_s):
        """Records that a run is sent to a suspect engine."""
        record = self._records.get(engine_id)
        if record is not None and record.suspect:
            record.probing = True
            record.avoid_until_s = now_s + PROBE_S

    def remove(self, engine_id):
        """Drops the record of an engine that left its pool."""
        self._records.pop(engine_id, None)
        self.suspects.discard(engine_id)
