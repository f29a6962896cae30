"""One request or item on its way to a target."""

import threading

from samphirepost import errors
from samphirepost import hashing


class Interrupt:
    """Ends a request in progress from another thread, with a failure."""

    __slots__ = ("_abort", "_lock", "failure")

    def __init__(self):
        self._lock = threading.Lock()
        self._abort = None
        self.failure = None

    def fire(self, failure):
        """Ends the request; the first failure is kept."""
        with self._lock:
            if self.failure is None:
                self.failure = failure
            abort = self._abort
        if abort is not None:
            abort()

    def watch(self, abort):
        """Says how to end what is open now; None when nothing is."""
        with self._lock:
            self._abort = abort
            fired = self.failure is not None
        if fired and abort is not None:
            abort()


class Generation:
    """Work for an engine: tokens that can be resumed."""

    __slots__ = ("completion", "key")

    def __init__(self, completion, key):
        self.completion = completion
        self.key = key


class Service:
    """Work for a plain service: one call, one whole answer."""

    __slots__ = ("body", "content_type", "key")

    def __init__(self, body, content_type):
        self.body = body
        self.content_type = content_type
        self.key = hashing.digest(body)[:16]


class Work:
    """What is to be run, for whom, where and until when (s)."""

    __slots__ = (
        "attempt",
        "caller",
        "check",
        "deadline_s",
        "deadline_unix_s",
        "digest",
        "dispatched_s",
        "id",
        "idempotent",
        "interrupt",
        "keyed",
        "online",
        "path",
        "payload",
        "pinned",
        "pool",
        "route",
        "sent",
        "tries",
    )

    def __init__(self, id, caller, route, row, payload, digest):
        self.id = id
        self.caller = caller
        self.route = route
        self.pool = row.pool
        self.path = row.path
        self.idempotent = row.idempotent
        self.payload = payload
        self.digest = digest
        self.attempt = ""
        self.check = None
        self.deadline_s = 0.0
        self.deadline_unix_s = 0.0
        self.dispatched_s = 0.0
        self.interrupt = Interrupt()
        self.keyed = False
        self.online = True
        self.pinned = ""
        self.sent = False
        self.tries = 0

    def left_s(self, clock):
        """Returns the time until the deadline."""
        return self.deadline_s - clock.monotonic_s()


def overdue(sent):
    """Returns the failure of work whose deadline has passed."""
    outcome = errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN
    return errors.Failure(
        errors.Kind.DEADLINE_PASSED, "the deadline has passed", outcome
    )
