"""Finds at the hub what crashes engines: a request, or a part of prompts.

The daemons report the requests that they lost before their answers had begun.
Of all that was at an engine that crashed, one request is the cause, or one
part of its prompt that others share. All instants are monotonic seconds.
"""

import collections

from samphirepost import crashes
from samphirepost import quarantine

# Crashed engines under one cause before it is quarantined. A sound part that
# few requests have may be at two engines that crash for another reason.
CRASHES_MIN = 3
# Requests that a part has to crash engines with. What a single request does
# is held against that request.
REQUESTS_PER_PART_MIN = 2
# Crashes of engines under a part to which answers had begun count once in this
# time (s): engines that are lost together had such parts by chance.
SEPARATE_S = 1.0
# Crashed engines that the hub remembers, requests on probation, and suspects
# of which it tells the daemons, most crashes first.
CRASHED_ENGINES_MAX = 256
ON_PROBATION_MAX = 64
SUSPECTS_MAX = 32
# A decision is announced for this long (s) at least, and until it is stored.
ANNOUNCE_S = 30.0
# Time (s) from the first suspicion of a cause to its quarantine, in which the
# daemons report whether answers to it have begun.
SETTLE_S = 0.25
# An engine at which a run succeeds within this time (s) after its supposed
# crash has not crashed, if the run began before. Within the shorter time, the
# run may have ended before the crash, or begun after it.
ALIVE_MIN_S = 0.1
ALIVE_MAX_S = 1.0


class Loss:
    """A request that was lost with an engine: its parts, and how far it was.

    `has_head` if the head of its answer had arrived.
    """

    __slots__ = ("has_head", "parts")

    def __init__(self, parts, has_head):
        self.parts = parts
        self.has_head = has_head


class CrashedEngine:
    """An engine that ended at `at_s`, with the requests that it lost.

    `losses` has a Loss by request. It is `explained` once its cause is known
    or it has not crashed after all; `cause` is that cause, if known.
    """

    __slots__ = ("at_s", "cause", "explained", "losses")

    def __init__(self, at_s):
        self.at_s = at_s
        self.losses = {}
        self.explained = False
        self.cause = None

    def add(self, request, parts, has_head):
        """Adds a lost request, unless the crash has another cause.

        Returns whether it tells something new: reports are repeated.
        """
        if self.explained and request != self.cause:
            return False
        known = self.losses.get(request)
        if known is not None and known.has_head >= has_head:
            return False
        self.losses[request] = Loss(parts, has_head)
        return True

    def explain(self, cause=None):
        """Clears all others of the suspicion.

        The parts of a request that is the cause stay suspected: a part may
        crash engines with more than one request.
        """
        self.explained = True
        self.cause = cause
        self.losses = {
            request: loss
            for request, loss in self.losses.items()
            if request == cause
        }

    def suspects(self):
        """Yields the cause, request, position and head of each suspicion.

        A request counts as the part of its prompt that comes last.
        """
        for request, loss in self.losses.items():
            for position, part in enumerate(loss.parts):
                yield part, request, position, loss.has_head
            if quarantine.is_request(request) and not self.explained:
                yield request, request, len(loss.parts), loss.has_head


class Evidence:
    """The crashes of which one cause is suspected.

    `requests` are those that were lost with it, `position` its last position
    in their prompts, `answered` the number of engines that had sent the head
    of an answer.
    """

    __slots__ = ("answered", "engines", "position", "requests")

    def __init__(self):
        self.engines = {}
        self.requests = set()
        self.position = 0
        self.answered = 0

    def add(self, key, request, position, has_head):
        """Adds one suspicion at the engine with this key."""
        if key not in self.engines:
            self.engines[key] = False
        if has_head and not self.engines[key]:
            self.engines[key] = True
            self.answered += 1
        self.requests.add(request)
        self.position = max(self.position, position)

    @property
    def count(self):
        """The number of crashed engines."""
        return len(self.engines)


class Judge:
    """Decides at the hub which causes are quarantined or on probation.

    A cause is quarantined after CRASHES_MIN crashes since an answer to it last
    began. Among several, one to which no answer has begun is taken, and rather
    one whose requests the engines had begun to answer; it clears all else at
    these engines. `quarantine` is the Quarantine of the hub's own daemon;
    `decided` and `on_probation` have the hub's own decisions by cause, and
    `cleared_count` counts the suspicions that begun answers ended.
    """

    __slots__ = (
        "_begun_s",
        "_by_engine",
        "_crashed",
        "_evidence",
        "_lost_at",
        "_probed_s",
        "_quarantine",
        "_suspected_s",
        "cleared_count",
        "decided",
        "on_probation",
    )

    def __init__(self, quarantine_):
        self._quarantine = quarantine_
        self._crashed = {}
        self._by_engine = {}
        self._begun_s = {}
        self._evidence = None
        # The engines that lost a request, by its key.
        self._lost_at = {}
        self._suspected_s = {}
        self._probed_s = {}
        self.decided = {}
        self.on_probation = {}
        self.cleared_count = 0

    # Evidence.

    def apply_crash(self, crash, now_s):
        """Applies a slotmessages.Crash; returns whether a cause is new."""
        key = (crash.engine, crash.started_ms)
        crashed = self._crashed.get(key)
        if crashed is None:
            crashed = CrashedEngine(now_s - crash.age_s)
            self._crashed[key] = crashed
            self._by_engine[crash.engine] = crashed
        # A daemon of an older version names no request.
        request = crash.request or repr((key, crash.parts))
        if not crashed.explained:
            for cause in (*crash.parts, request):
                if self._is_blocked(cause, now_s):
                    crashed.explain(cause)
        if not crashed.add(request, crash.parts, crash.has_head):
            return False
        self._evidence = None
        self._lost_at.setdefault(request, set()).add(key)
        return self._note_suspects(crash.parts, request, now_s)

    def _note_suspects(self, parts, request, now_s):
        """Records since when causes are suspected; returns if one is new."""
        found = list(parts)
        if quarantine.is_request(request) and (
            len(self._lost_at[request]) >= crashes.SUSPECT_CRASHES_MIN
            or self._known(request) is not None
        ):
            found.append(request)
        new = [cause for cause in found if cause not in self._suspected_s]
        self._suspected_s.update(dict.fromkeys(new, now_s))
        return bool(new)

    def _is_blocked(self, cause, now_s):
        if cause in self.decided:
            return True
        stored = self._quarantine.get(cause)
        return stored is not None and now_s < stored.until_s

    def apply_begun(self, begun, now_s):
        """Applies a slotmessages.Begun; returns whether it ends a decision.

        An answer that began after a crash shows that the cause is none of
        that crash.
        """
        cause = begun.cause
        known_s = self._begun_s.get(cause, now_s - crashes.MEMORY_S)
        at_s = max(now_s - begun.age_s, known_s)
        before = self._all_evidence().get(cause)
        self._begun_s[cause] = at_s
        if before is not None:
            cleared = sum(
                self._crashed[key].at_s < at_s for key in before.engines
            )
            if cleared:
                self.cleared_count += cleared
                self._evidence = None
        known = self._known(cause)
        if known is None or at_s <= known.since_s:
            return False
        self.decided.pop(cause, None)
        self.on_probation.pop(cause, None)
        return True

    def _known(self, cause):
        """Returns the newest Quarantined of a cause, or None."""
        return (
            self.decided.get(cause)
            or self._quarantine.get(cause)
            or self.on_probation.get(cause)
        )

    def record_success(self, engine_id, granted_s, now_s):
        """Records that a run succeeded at an engine.

        The engine has not crashed since the run was granted. A later run may
        be one of the next incarnation.
        """
        crashed = self._by_engine.get(engine_id)
        if crashed is None or granted_s > crashed.at_s - ALIVE_MIN_S:
            return
        if ALIVE_MIN_S < now_s - crashed.at_s < ALIVE_MAX_S:
            crashed.explain()
            self._evidence = None

    @property
    def has_crashes(self):
        """Whether engines have crashed of late."""
        return bool(self._crashed)

    @property
    def is_idle(self):
        """Whether there is nothing to decide or to forget."""
        return not (
            self._crashed or self.decided or self.on_probation or self._begun_s
        )

    def _all_evidence(self):
        """Returns the Evidence of all suspected causes, by cause."""
        if self._evidence is None:
            self._evidence = collections.defaultdict(Evidence)
            for key, crashed in self._crashed.items():
                for cause, *suspicion in crashed.suspects():
                    if self._begun_s.get(cause, 0.0) <= crashed.at_s:
                        self._evidence[cause].add(key, *suspicion)
        return self._evidence

    # Decisions.

    def suspects(self):
        """Returns the causes for which the daemons shall report answers."""
        known = (*self.decided, *self.on_probation)
        ranked = collections.Counter(
            {
                cause: evidence.count
                for cause, evidence in self._all_evidence().items()
                if cause in self._suspected_s
            }
        ).most_common(SUSPECTS_MAX)
        return tuple(dict.fromkeys((*known, *(one for one, _ in ranked))))[
            : ON_PROBATION_MAX + SUSPECTS_MAX
        ]

    def decide(self, now_s):
        """Decides what is due; returns a Quarantined by cause."""
        self._forget(now_s)
        found = {}
        while True:
            cause = self._worst_cause(now_s)
            if cause is None:
                break
            found[cause] = self._quarantine_cause(cause, now_s)
        return found | self._put_on_probation(now_s)

    def _quarantine_cause(self, cause, now_s):
        engines = [
            self._crashed[key] for key in self._all_evidence()[cause].engines
        ]
        known = self._known(cause)
        strikes = 1 + (known.strikes if known else 0)
        decided = quarantine.Quarantined(
            min(crashed.at_s for crashed in engines),
            now_s + quarantine.duration_s(strikes),
            strikes,
        )
        self.decided[cause] = decided
        self.on_probation.pop(cause, None)
        for crashed in engines:
            crashed.explain(cause)
        self._evidence = None
        return decided

    def _put_on_probation(self, now_s):
        """Puts requests that lost two engines on probation.

        One at a time may run then, at one engine, until it is answered.
        """
        found = {}
        for cause, evidence in self._all_evidence().items():
            if len(self.on_probation) >= ON_PROBATION_MAX:
                break
            if (
                quarantine.is_request(cause)
                and evidence.count >= crashes.SUSPECT_CRASHES_MIN
                and self._is_settled(cause, now_s)
                and self._known(cause) is None
            ):
                since_s = min(
                    self._crashed[key].at_s for key in evidence.engines
                )
                found[cause] = quarantine.Quarantined(since_s, now_s, 0)
                self.on_probation[cause] = found[cause]
        return found

    def _is_settled(self, cause, now_s):
        return now_s - self._suspected_s.get(cause, now_s) >= SETTLE_S

    def _worst_cause(self, now_s):
        worst, worst_rank = None, None
        for cause, evidence in self._all_evidence().items():
            if not self._is_proven(cause, evidence):
                continue
            # Of parts that always come together, the later one is taken:
            # fewer requests have it.
            rank = (
                cause not in self._begun_s,
                evidence.answered >= self._crashes_needed(cause),
                evidence.position,
                evidence.answered,
                evidence.count,
            )
            if worst is None or rank > worst_rank:
                worst, worst_rank = cause, rank
        # A less likely cause is not taken while a likelier one settles.
        if worst is None or not self._is_settled(worst, now_s):
            return None
        return worst

    def _is_proven(self, cause, evidence):
        """Whether a cause has crashed as many engines as it takes."""
        known = self._known(cause)
        if known is not None and not known.strikes:
            # It lost two engines before it was put on probation.
            return evidence.count >= CRASHES_MIN or any(
                self._crashed[key].at_s > known.until_s
                for key in evidence.engines
            )
        count = evidence.count
        if not quarantine.is_request(cause):
            if known is None and len(evidence.requests) < (
                REQUESTS_PER_PART_MIN
            ):
                return False
            if cause in self._begun_s:
                count = self._unexplained_count(evidence)
        return count >= self._crashes_needed(cause)

    def _crashes_needed(self, cause):
        return CRASHES_MIN if self._known(cause) is None else 1

    def _unexplained_count(self, evidence):
        """Counts the crashes of a part that no likelier cause explains.

        Those within SEPARATE_S count once.
        """
        instants = sorted(
            self._crashed[key].at_s
            for key in evidence.engines
            if not self._is_explained_otherwise(self._crashed[key])
        )
        count, counted_s = 0, -SEPARATE_S
        for at_s in instants:
            if at_s - counted_s >= SEPARATE_S:
                count, counted_s = count + 1, at_s
        return count

    def _is_explained_otherwise(self, crashed):
        """Whether a cause explains a crash better than a part sound before."""
        if crashed.cause is not None:
            return True
        found = self._all_evidence()
        return any(
            cause in found
            and found[cause].count > 1
            and cause not in self._begun_s
            and not quarantine.is_request(cause)
            for cause, *_ in crashed.suspects()
        )

    def may_probe(self, cause, now_s):
        """Whether a request may probe a cause now; counts as a probe then."""
        if self._is_blocked(cause, now_s):
            return False
        probed_s = self._probed_s.get(cause)
        if (
            probed_s is not None
            and now_s - probed_s < quarantine.PROBE_INTERVAL_S
        ):
            return False
        self._probed_s[cause] = now_s
        return True

    def _forget(self, now_s):
        old_s = now_s - crashes.MEMORY_S
        for key, crashed in list(self._crashed.items()):
            is_excess = len(self._crashed) > CRASHED_ENGINES_MAX
            if crashed.at_s < old_s or is_excess:
                self._evidence = None
                del self._crashed[key]
                self._forget_losses(key)
                if self._by_engine.get(key[0]) is crashed:
                    del self._by_engine[key[0]]
        _drop_before(self._begun_s, old_s)
        _drop_before(self._probed_s, old_s)
        evidence = self._all_evidence()
        for cause in list(self._suspected_s):
            if cause not in evidence:
                del self._suspected_s[cause]
        for cause, one in list(self.decided.items()):
            if now_s >= one.until_s or self._is_stored(cause, one, now_s):
                del self.decided[cause]
        for cause, one in list(self.on_probation.items()):
            if now_s > one.until_s + crashes.MEMORY_S:
                del self.on_probation[cause]

    def _forget_losses(self, key):
        for request, keys in list(self._lost_at.items()):
            keys.discard(key)
            if not keys:
                del self._lost_at[request]

    def _is_stored(self, cause, decided, now_s):
        """Whether all daemons have read a decision from the store."""
        stored = self._quarantine.get(cause)
        if stored is None or stored.strikes < decided.strikes:
            return False
        decided_s = decided.until_s - quarantine.duration_s(decided.strikes)
        return now_s - decided_s > ANNOUNCE_S


def _drop_before(instants, old_s):
    """Drops the entries of a dict whose instants are before `old_s`."""
    for key, at_s in list(instants.items()):
        if at_s < old_s:
            del instants[key]
