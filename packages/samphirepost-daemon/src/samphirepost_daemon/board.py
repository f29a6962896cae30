"""What this daemon knows of each target, shared between its threads."""

import threading

import msgspec

from samphirepost import targetchoice
from samphirepost_daemon import metrics


class Load(msgspec.Struct, frozen=True):
    """The requests of this daemon that run on one target."""

    online: int
    batch: int


class Board:
    """Chooses targets and counts what runs where."""

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._seen = {}

    def pick(self, targets, key, excluded, online):
        """Returns the id of a target, counted as busy, or None."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            for name in targets:
                self._seen.setdefault(name, targetchoice.TargetState())
            found = targetchoice.candidates(
                targets, self._seen, excluded, now_s
            )
            name = targetchoice.choose_target(found, key)
            if name is not None:
                self._enter(name, online, now_s)
            return name

    def enter(self, name, online):
        """Counts a request on a given target; returns if it may be sent."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            seen = self._seen.setdefault(name, targetchoice.TargetState())
            if not seen.is_usable(now_s):
                return False
            self._enter(name, online, now_s)
            return True

    def _enter(self, name, online, now_s):
        seen = self._seen[name]
        seen.breaker.record_sent(now_s)
        if online:
            seen.online += 1
        else:
            seen.batch += 1

    def leave(self, name, online):
        """Takes a request off the target's count."""
        with self._lock:
            seen = self._seen[name]
            if online:
                seen.online -= 1
            else:
                seen.batch -= 1

    def succeeded(self, name):
        """Notes that the target answered."""
        with self._lock:
            self._seen[name].breaker.record_success()

    def failed(self, name, work):
        """Notes that the target failed on `work`."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._seen[name].breaker.record_failure(work, now_s)

    def abandoned(self, name):
        """Notes a request that was ended from this side."""
        with self._lock:
            self._seen[name].breaker.record_abandoned()

    def report(self, name, report):
        """Notes a load report."""
        with self._lock:
            seen = self._seen.setdefault(name, targetchoice.TargetState())
            seen.record_report(report, self._clock.monotonic_s())

    def missed(self, name):
        """Notes that a load report could not be had."""
        with self._lock:
            self._seen.setdefault(
                name, targetchoice.TargetState()
            ).reports_missed += 1

    def listed_leaving(self, names):
        """Notes which targets the platform's list has as leaving."""
        with self._lock:
            for name in names:
                self._seen.setdefault(name, targetchoice.TargetState())
            for name, seen in self._seen.items():
                seen.listed_leaving = name in names
        metrics.TARGETS_LEAVING.set(len(names))

    def usable(self, name):
        """Whether the target may get new work."""
        with self._lock:
            seen = self._seen.get(name)
            return seen is None or seen.is_usable(self._clock.monotonic_s())

    def loads(self):
        """Returns the Load of each target by id."""
        with self._lock:
            return {
                name: Load(seen.online, seen.batch)
                for name, seen in self._seen.items()
            }

    def last_report(self, name):
        """Returns the target's last load report, or None."""
        with self._lock:
            seen = self._seen.get(name)
            return None if seen is None else seen.report
