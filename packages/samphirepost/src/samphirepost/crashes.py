"""What one daemon sees of crashed engines and of what they answer.

A request that is lost with its engine before its answer has begun may be what
crashed the engine. The daemons report such losses to the hub (judge.py). All
instants are monotonic seconds.
"""

import collections
import threading

from samphirepost import slotmessages

# Crashes and begun answers are remembered for this long (s).
MEMORY_S = 60.0
# Crashes that a daemon remembers, the parts of prompts whose answers had
# begun, and the requests whose answers had.
OWN_CRASHES_MAX = 32
BEGUN_PARTS_MAX = 4096
BEGUN_REQUESTS_MAX = 512
# Parts in the crashes of one report, which has to fit into a datagram.
REPORTED_PARTS_MAX = 256
# A crash is reported for this long (s), as a report may be lost.
REPORT_S = 2.0
# Engines that a request has to lose before it is suspected: one crash ends
# many sound requests.
SUSPECT_CRASHES_MIN = 2


class OwnCrash:
    """A request that this daemon lost before its answer had begun."""

    __slots__ = (
        "at_s",
        "engine",
        "has_head",
        "parts",
        "report_until_s",
        "request",
    )

    def __init__(self, engine, request, parts, has_head, lost_s, now_s):
        self.engine = engine
        self.request = request
        self.parts = parts
        self.has_head = has_head
        self.at_s = lost_s
        self.report_until_s = now_s + REPORT_S

    def message(self, now_s):
        """Returns the slotmessages.Crash that reports it."""
        return slotmessages.Crash(
            self.engine.id,
            self.engine.started_ms,
            self.parts,
            self.has_head,
            round(now_s - self.at_s, 3),
            self.request,
        )


class Observations:
    """What one daemon saw of possible causes of crashes; thread-safe."""

    __slots__ = ("_begun_parts_s", "_begun_requests_s", "_crashes", "_lock")

    def __init__(self):
        self._lock = threading.Lock()
        self._begun_parts_s = {}
        self._begun_requests_s = {}
        self._crashes = collections.deque(maxlen=OWN_CRASHES_MAX)

    def record_begun(self, parts, request, now_s):
        """Records that an answer has begun.

        `parts` are those of its prompt, `request` the key of the request.
        """
        with self._lock:
            for part in parts:
                _put_last(self._begun_parts_s, part, now_s, BEGUN_PARTS_MAX)
            _put_last(
                self._begun_requests_s, request, now_s, BEGUN_REQUESTS_MAX
            )

    def record_crash(self, engine, request, parts, has_head, lost_s, now_s):
        """Records that an engine ended before the answer had begun.

        `has_head` tells whether the head of the answer had arrived, `lost_s`
        is when the request was lost.
        """
        crash = OwnCrash(engine, request, parts, has_head, lost_s, now_s)
        with self._lock:
            self._crashes.append(crash)

    def is_suspect(self, request, now_s):
        """Whether a request lost engines since an answer to it last began.

        Counts what this daemon saw, which is all that it knows while the hub
        does not answer.
        """
        if not self._crashes:
            return False
        with self._lock:
            begun_s = self._begun_requests_s.get(request, now_s - MEMORY_S)
            engines = {
                (crash.engine.id, crash.engine.started_ms)
                for crash in self._crashes
                if crash.request == request and crash.at_s > begun_s
            }
        return len(engines) >= SUSPECT_CRASHES_MIN

    def report_again(self, now_s):
        """Has all crashes reported once more, to a new hub."""
        with self._lock:
            for crash in self._crashes:
                crash.report_until_s = now_s + REPORT_S

    def crashes(self, now_s):
        """Returns the slotmessages.Crash entries to report.

        The newest come first, with REPORTED_PARTS_MAX parts at most.
        """
        found = []
        part_count = 0
        with self._lock:
            for crash in reversed(self._crashes):
                if now_s >= min(crash.report_until_s, crash.at_s + MEMORY_S):
                    continue
                part_count += len(crash.parts)
                if part_count > REPORTED_PARTS_MAX:
                    break
                found.append(crash.message(now_s))
        return tuple(found)

    def begun(self, causes, now_s):
        """Returns slotmessages.Begun entries for those causes that began."""
        found = []
        with self._lock:
            for cause in causes:
                at_s = self._begun_parts_s.get(
                    cause, self._begun_requests_s.get(cause)
                )
                if at_s is not None and now_s - at_s < MEMORY_S:
                    age_s = round(now_s - at_s, 3)
                    found.append(slotmessages.Begun(cause, age_s))
        return tuple(found)


def _put_last(instants, key, now_s, entries_max):
    """Sets the newest entry of a dict that keeps the newest ones."""
    instants.pop(key, None)
    instants[key] = now_s
    while len(instants) > entries_max:
        del instants[next(iter(instants))]
