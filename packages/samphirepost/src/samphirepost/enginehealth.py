"""Judges engines by the outcomes of all daemons' runs.

An engine is suspect if its share of failures stands out against that of its
peers, the other engines of its pool. If all fail alike, none stands out. All
instants are monotonic seconds.
"""

import collections
import math

# Outcomes of an engine that are judged together, and the time (s) after which
# one no longer counts.
OUTCOMES_MAX = 32
OUTCOME_STALE_S = 10.0
# Log-likelihood ratio of a faulty engine to one that fails as its peers do,
# from which an engine is suspect, and below which it no longer is. Two
# failures in a row at an engine whose peers do not fail exceed the first. It
# is raised by the logarithm of the peers' failures, as each failure is a test
# that an engine may not pass by chance.
SUSPECT_EVIDENCE = 6.5
SOUND_EVIDENCE = 3.0
# A faulty engine fails at least this share of its runs, and its odds of a
# failure are this many times those of its peers.
FAULTY_SHARE_MIN = 0.3
FAULTY_ODDS_RATIO = 8.0
# The peers' share of failures before any run, the number of runs that it
# counts for, and the bounds of that share.
PEER_SHARE_INITIAL = 0.01
PEER_RUNS_INITIAL = 50
PEER_SHARE_MIN = 0.01
PEER_SHARE_MAX = 0.95
# The upper bound while an engine of the pool has had at least so many runs and
# no failure: then not all fail alike, though most may fail.
PEER_SHARE_MAX_BESIDE_SOUND = 0.2
SOUND_RUNS_MIN = 16
# Daemons that must have seen an engine fail: the fault of a single one may be
# its own connection.
WITNESSES_MIN = 2
# A suspect engine is avoided for AVOID_S, doubled each time up to AVOID_MAX_S.
AVOID_S = 0.5
AVOID_MAX_S = 4.0
# Time (s) for which a run probes an engine that was avoided, before the next
# one may.
PROBE_S = 1.0
# Runs that may follow each success of a suspect engine.
TRIALS_PER_SUCCESS = 2
# Successes without a failure that an engine needs which had failed only part
# of its runs: one alone is likely there.
PARTIAL_SUCCESSES_MIN = 5
# A suspect engine that is no longer avoided is left to runs that may be
# repeated for this long (s).
REPEATABLE_FIRST_S = 1.0


class RunOutcome:
    """How a run ended at `at_s`.

    `witness` is the VM that saw it fail, or None if it succeeded.
    """

    __slots__ = ("at_s", "witness")

    def __init__(self, at_s, witness=None):
        self.at_s = at_s
        self.witness = witness

    @property
    def has_failed(self):
        """Whether the run failed."""
        return self.witness is not None


class OutcomeCount:
    """The outcomes that are kept of some engines.

    There are `runs`, of which `failures` failed, and `sound` engines had many
    runs without a failure.
    """

    __slots__ = ("failures", "runs", "sound")

    def __init__(self):
        self.runs = 0
        self.failures = 0
        self.sound = 0

    def add(self, outcome, sign=1):
        """Counts a RunOutcome; with a `sign` of -1, one that is dropped."""
        self.runs += sign
        self.failures += sign * outcome.has_failed

    def add_engine(self, count, sign=1):
        """Adds the OutcomeCount of an engine, or takes it away."""
        self.runs += sign * count.runs
        self.failures += sign * count.failures
        if count.runs >= SOUND_RUNS_MIN and not count.failures:
            self.sound += sign


class EngineRecord:
    """What is known of one incarnation of an engine.

    It is `suspect` from the moment it is avoided until enough runs succeed,
    and `probing` while runs tell whether it works again, of which `trials`
    may be sent now. `released_s` is the instant of its last release.
    """

    __slots__ = (
        "avoid_until_s",
        "count",
        "outcomes",
        "pause_s",
        "pool",
        "probing",
        "released_s",
        "started_ms",
        "successes_missing",
        "suspect",
        "trials",
    )

    def __init__(self, pool="", started_ms=0):
        self.pool = pool
        self.started_ms = started_ms
        self.outcomes = collections.deque()
        self.count = OutcomeCount()
        self.avoid_until_s = 0.0
        self.pause_s = AVOID_S
        self.released_s = -math.inf
        self.suspect = False
        self.probing = False
        self.trials = 0
        self.successes_missing = 0

    def fresh_outcomes(self, now_s):
        """Yields the RunOutcomes that still count, the newest first."""
        for outcome in reversed(self.outcomes):
            if now_s - outcome.at_s > OUTCOME_STALE_S:
                return
            yield outcome

    def successes_needed(self, now_s):
        """Returns how many successes show that the engine works again."""
        has_succeeded = any(
            not outcome.has_failed for outcome in self.fresh_outcomes(now_s)
        )
        return PARTIAL_SUCCESSES_MIN if has_succeeded else 1


class FleetHealth:
    """The records of all engines, kept by the hub.

    `suspects` has the ids of the suspect engines. `_pools` counts the
    outcomes of the others by pool.
    """

    __slots__ = ("_pools", "_records", "suspects")

    def __init__(self):
        self._records = {}
        self._pools = collections.defaultdict(OutcomeCount)
        self.suspects = set()

    def set_engines(self, engines):
        """Sets what engines are listed; drops records of ended incarnations.

        remove() drops those of engines that are no longer listed. Suspects
        whose peers have turned out to fail as often are released.
        """
        for engine in engines:
            record = self._records.get(engine.id)
            if record is not None and (
                record.pool == engine.pool
                and record.started_ms == engine.started_ms
            ):
                continue
            self.remove(engine.id)
            self._records[engine.id] = EngineRecord(
                engine.pool, engine.started_ms
            )
        for engine_id in list(self.suspects):
            record = self._records[engine_id]
            last_s = record.outcomes[-1].at_s
            if self._evidence(record, last_s) < SOUND_EVIDENCE:
                self._release(engine_id, record, last_s)

    def record_success(self, engine_id, now_s):
        """Records a run that succeeded."""
        record = self._records.get(engine_id)
        if record is None:
            return
        self._add_outcome(record, RunOutcome(now_s))
        if not record.suspect:
            return
        is_partial = record.successes_missing > 1
        if is_partial and not record.probing and now_s < record.avoid_until_s:
            # It was sent before the failures, and shows nothing new.
            return
        record.successes_missing -= 1
        if record.successes_missing <= 0 or (
            self._evidence(record, now_s) < SOUND_EVIDENCE
        ):
            self._release(engine_id, record, now_s)
            return
        record.trials = TRIALS_PER_SUCCESS
        record.avoid_until_s = now_s

    def record_failure(self, engine_id, vm, now_s):
        """Records a run that failed at an engine, as seen by a daemon."""
        record = self._records.setdefault(engine_id, EngineRecord())
        self._add_outcome(record, RunOutcome(now_s, vm))
        evidence = self._evidence(record, now_s)
        if record.suspect and evidence < SOUND_EVIDENCE:
            # Its peers fail as often.
            self._release(engine_id, record, now_s)
        elif record.suspect or (
            evidence >= self._evidence_needed(record)
            and len(self._witnesses(record, now_s)) >= WITNESSES_MIN
        ):
            self._avoid(engine_id, record, now_s)

    def _add_outcome(self, record, outcome):
        if not record.suspect:
            self._pools[record.pool].add_engine(record.count, -1)
        record.outcomes.append(outcome)
        record.count.add(outcome)
        if len(record.outcomes) > OUTCOMES_MAX:
            record.count.add(record.outcomes.popleft(), -1)
        if not record.suspect:
            self._pools[record.pool].add_engine(record.count)

    def _evidence(self, record, now_s):
        """Returns how much an engine's failures stand out.

        It is the log-likelihood ratio of its last outcomes, from the one that
        makes it the largest on, as its fault may have begun at any of them.
        """
        share = self._peer_share(record)
        faulty_odds = FAULTY_ODDS_RATIO * share / (1 - share)
        faulty_share = max(FAULTY_SHARE_MIN, faulty_odds / (1 + faulty_odds))
        of_failure = math.log(faulty_share / share)
        of_success = math.log((1 - faulty_share) / (1 - share))
        evidence = largest = 0.0
        for outcome in record.fresh_outcomes(now_s):
            evidence += of_failure if outcome.has_failed else of_success
            largest = max(largest, evidence)
        return largest

    def _evidence_needed(self, record):
        share = self._peer_share(record)
        return SUSPECT_EVIDENCE + math.log(share / PEER_SHARE_MIN)

    def _peer_share(self, record):
        """Returns the share of failures at the engine's peers.

        They are the other engines of the pool that are not suspect.
        """
        total = self._pools[record.pool]
        failures, runs = total.failures, total.runs
        if not record.suspect:
            failures -= record.count.failures
            runs -= record.count.runs
        share = (failures + PEER_SHARE_INITIAL * PEER_RUNS_INITIAL) / (
            runs + PEER_RUNS_INITIAL
        )
        largest = PEER_SHARE_MAX
        if total.sound:
            largest = PEER_SHARE_MAX_BESIDE_SOUND
        return min(max(share, PEER_SHARE_MIN), largest)

    def _avoid(self, engine_id, record, now_s):
        # Runs that were sent before the first failure fail too.
        if now_s < record.avoid_until_s and not record.probing:
            return
        if not record.suspect and (
            now_s - record.released_s > OUTCOME_STALE_S
        ):
            record.pause_s = AVOID_S
        if not record.suspect:
            self._pools[record.pool].add_engine(record.count, -1)
        self.suspects.add(engine_id)
        record.suspect = True
        record.probing = False
        record.trials = 1
        record.successes_missing = record.successes_needed(now_s)
        record.avoid_until_s = now_s + record.pause_s
        record.pause_s = min(2 * record.pause_s, AVOID_MAX_S)

    def _release(self, engine_id, record, now_s):
        self._pools[record.pool].add_engine(record.count)
        self.suspects.discard(engine_id)
        record.suspect = False
        record.probing = False
        record.avoid_until_s = 0.0
        record.released_s = now_s

    def witnesses(self, engine_id, now_s):
        """Returns the ids of the VMs that saw an engine fail, sorted."""
        record = self._records.get(engine_id)
        return sorted(self._witnesses(record, now_s)) if record else []

    def _witnesses(self, record, now_s):
        return {
            outcome.witness
            for outcome in record.fresh_outcomes(now_s)
            if outcome.has_failed
        }

    def is_avoided(self, engine_id, now_s):
        """Whether an engine gets no run now."""
        if engine_id not in self.suspects:
            return False
        return now_s < self._records[engine_id].avoid_until_s

    def may_try(self, engine_id, is_repeatable, now_s):
        """Whether an engine may get a request now.

        A suspect one is probed with requests that may be repeated, and only
        after a while without any by others.
        """
        if engine_id not in self.suspects:
            return True
        left_s = self._records[engine_id].avoid_until_s - now_s
        return left_s <= (0.0 if is_repeatable else -REPEATABLE_FIRST_S)

    def record_probe(self, engine_id, now_s):
        """Records that a run is sent to a suspect engine."""
        record = self._records.get(engine_id)
        if record is None or not record.suspect:
            return
        record.probing = True
        record.trials -= 1
        if record.trials <= 0:
            record.avoid_until_s = now_s + PROBE_S

    def cancel_probe(self, engine_id, now_s):
        """Records that a run was not sent after all; another one may be."""
        record = self._records.get(engine_id)
        if record is None or not record.probing:
            return
        record.trials = max(0, record.trials) + 1
        record.avoid_until_s = min(record.avoid_until_s, now_s)

    def remove(self, engine_id):
        """Drops the record of an engine that left its pool."""
        record = self._records.pop(engine_id, None)
        self.suspects.discard(engine_id)
        if record is not None and not record.suspect:
            self._pools[record.pool].add_engine(record.count, -1)
