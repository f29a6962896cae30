"""Tracks the load and health of targets, and chooses targets by them."""

import threading

import msgspec

from samphirepost import targetchoice
from samphirepost_daemon import metrics


class TargetLoad(msgspec.Struct, frozen=True):
    """The number of this daemon's requests in progress on one target."""

    online: int
    batch: int


class LoadTracker:
    """Chooses targets and counts the requests in progress on each.

    Every method may be called by any thread.
    """

    def __init__(self, clock):
        self._clock = clock
        self._lock = threading.Lock()
        self._states = {}

    def choose_target(self, targets, key, excluded, online):
        """Chooses a target by load and affinity, and counts a request on it.

        Returns its id, or None if no target is usable. `finish_request` must
        be called for it. `online` is true for an online request and false for
        a batch item.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            for name in targets:
                self._states.setdefault(name, targetchoice.TargetState())
            usable = targetchoice.candidates(
                targets, self._states, excluded, now_s
            )
            name = targetchoice.choose_target(usable, key)
            if name is not None:
                self._count_request(name, online, now_s)
            return name

    def try_start_request(self, name, online):
        """Counts a request on the target if it is usable; returns whether.

        If so, `finish_request` must be called for it.
        """
        with self._lock:
            now_s = self._clock.monotonic_s()
            state = self._states.setdefault(name, targetchoice.TargetState())
            if not state.is_usable(now_s):
                return False
            self._count_request(name, online, now_s)
            return True

    def _count_request(self, name, online, now_s):
        state = self._states[name]
        state.breaker.record_sent(now_s)
        if online:
            state.online += 1
        else:
            state.batch += 1

    def finish_request(self, name, online):
        """Removes a finished request from the target's count."""
        with self._lock:
            state = self._states[name]
            if online:
                state.online -= 1
            else:
                state.batch -= 1

    def record_success(self, name):
        """Records that the target answered."""
        with self._lock:
            self._states[name].breaker.record_success()

    def record_failure(self, name, work):
        """Records that the target failed on the request with id `work`."""
        with self._lock:
            now_s = self._clock.monotonic_s()
            self._states[name].breaker.record_failure(work, now_s)

    def record_abandoned(self, name):
        """Records a request that says nothing about the target's health.

        This daemon interrupted it, or the target refused it as invalid.
        """
        with self._lock:
            self._states[name].breaker.record_abandoned()

    def record_report(self, name, report):
        """Records a load report."""
        with self._lock:
            state = self._states.setdefault(name, targetchoice.TargetState())
            state.record_report(report, self._clock.monotonic_s())

    def record_missed_report(self, name):
        """Records that a request for a load report failed."""
        with self._lock:
            self._states.setdefault(
                name, targetchoice.TargetState()
            ).reports_missed += 1

    def set_listed_leaving(self, names):
        """Records which targets the platform lists as leaving."""
        with self._lock:
            for name in names:
                self._states.setdefault(name, targetchoice.TargetState())
            for name, state in self._states.items():
                state.listed_leaving = name in names
        metrics.TARGETS_LEAVING.set(len(names))

    def is_usable(self, name):
        """Returns whether new requests may be sent to the target."""
        with self._lock:
            state = self._states.get(name)
            return state is None or state.is_usable(self._clock.monotonic_s())

    def loads(self):
        """Returns the request counts of each target by id."""
        with self._lock:
            return {
                name: TargetLoad(state.online, state.batch)
                for name, state in self._states.items()
            }

    def last_report(self, name):
        """Returns the target's last load report, or None."""
        with self._lock:
            state = self._states.get(name)
            return None if state is None else state.report
