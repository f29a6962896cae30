"""Counts and logs the callers that listeners refuse."""

import threading
import time

# Shortest time between two log lines of one kind (s): a crowd of refused
# callers must not crowd out other lines.
LOG_INTERVAL_S = 1.0


class RefusalReport:
    """Reports the refusals of one listener; called from any thread."""

    def __init__(self, parts, listener):
        self._parts = parts
        self._listener = listener
        self._lock = threading.Lock()
        self._logged_s = {}
        self._unlogged = {}

    def __call__(self, refusal, address):
        """Counts a callerguard.Refusal, and logs it if a line is due.

        The line has the number of refusals of its kind since the last one.
        """
        self._parts.metrics.caller_refusals.labels(
            self._listener, refusal.value
        ).inc()
        count = self._count_unlogged(refusal, time.monotonic())
        if count:
            self._parts.log.failure(
                "caller.refused",
                listener=self._listener,
                kind=refusal.value,
                address=address,
                count=count,
            )

    def _count_unlogged(self, refusal, now_s):
        """Returns the number of refusals to log now; 0 if none is due."""
        with self._lock:
            count = self._unlogged.get(refusal, 0) + 1
            logged_s = self._logged_s.get(refusal)
            if logged_s is not None and now_s - logged_s < LOG_INTERVAL_S:
                self._unlogged[refusal] = count
                return 0
            self._unlogged[refusal] = 0
            self._logged_s[refusal] = now_s
            return count
