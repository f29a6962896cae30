"""A request or batch item to be run on a target."""

import threading

from samphirepost import errors
from samphirepost import hashing


class Interrupt:
    """Interrupts a request in progress from another thread.

    `failure` is None, or the failure that interrupted the request.
    """

    __slots__ = ("_abort", "_lock", "failure")

    def __init__(self):
        self._lock = threading.Lock()
        self._abort = None
        self.failure = None

    def fire(self, failure):
        """Interrupts the request; only the first failure is recorded."""
        with self._lock:
            if self.failure is None:
                self.failure = failure
            abort = self._abort
        if abort is not None:
            abort()

    def watch(self, abort):
        """Sets the function that aborts the open stream; None for no stream.

        It is called at once if the request was interrupted before.
        """
        with self._lock:
            self._abort = abort
            fired = self.failure is not None
        if fired and abort is not None:
            abort()


class Generation:
    """The payload for an engine: a completion, which can be resumed.

    `key` is the affinity key of the prompt.
    """

    __slots__ = ("completion", "key")

    def __init__(self, completion, key):
        self.completion = completion
        self.key = key


class Service:
    """The payload for a plain service: the body of one call."""

    __slots__ = ("body", "content_type", "key")

    def __init__(self, body, content_type):
        self.body = body
        self.content_type = content_type
        self.key = hashing.digest(body)[:16]


class Work:
    """A request or batch item, and the state of its attempts.

    `sent`: an earlier attempt may have run. `keyed`: the caller sent an
    idempotency key. `pinned`: the target to prefer, or empty. `check`: the
    checker of the tokens received so far. `dispatched_s`: the time of the
    first attempt, or 0.0. `attempt` identifies the request in the ledger.
    """

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
        """Returns the time until the deadline (s), negative after it."""
        return self.deadline_s - clock.monotonic_s()


def overdue(sent):
    """Returns the failure of work whose deadline has passed.

    `sent` tells whether the work may have run.
    """
    outcome = errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN
    return errors.Failure(
        errors.Kind.DEADLINE_PASSED, "the deadline has passed", outcome
    )
