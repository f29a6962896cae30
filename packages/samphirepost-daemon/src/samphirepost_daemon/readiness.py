"""Whether this daemon accepts requests, and how many are in progress."""

import threading

from samphirepost import errors


class Readiness:
    """Counts the requests in progress and reports readiness.

    `draining` is set when the daemon begins to drain.
    """

    def __init__(self, clock, directory):
        self._clock = clock
        self._directory = directory
        self._changed = threading.Condition()
        self._count = 0
        self.draining = False

    @property
    def is_ready(self):
        """Whether the load balancer should send requests here."""
        return not self.draining and self.is_confirmed

    @property
    def is_confirmed(self):
        """Whether the tables were recently confirmed as the newest."""
        now_s = self._clock.monotonic_s()
        return self._directory.confirmation.is_fresh(now_s)

    def rejection_failure(self):
        """Returns the Failure that rejects a new request, or None."""
        if self.is_confirmed:
            return None
        reason = "this daemon may have old tables; ask another"
        return errors.Failure(
            errors.Kind.TABLES_UNCONFIRMED, reason, retry_after_s=1.0
        )

    def wrap_start_response(self, start_response):
        """Wraps a WSGI start_response to close connections while draining."""
        if not self.draining:
            return start_response

        def start(status, headers):
            start_response(status, [*headers, ("Connection", "close")])

        return start

    def request_started(self):
        """Counts a request as started."""
        with self._changed:
            self._count += 1

    def request_finished(self):
        """Counts a request as finished."""
        with self._changed:
            self._count -= 1
            self._changed.notify_all()

    def wait_until_idle(self, wait_s):
        """Waits up to `wait_s`; returns whether no request is in progress."""
        with self._changed:
            return self._changed.wait_for(lambda: self._count == 0, wait_s)
