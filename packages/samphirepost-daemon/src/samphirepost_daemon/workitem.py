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

    def trigger(self, failure):
        """Interrupts the request; only the first failure is recorded."""
        with self._lock:
            if self.failure is None:
                self.failure = failure
            abort = self._abort
        if abort is not None:
            abort()

    def set_abort(self, abort):
        """Sets the function that aborts the open stream; None for no stream.

        It is called at once if the request was interrupted before.
        """
        with self._lock:
            self._abort = abort
            is_interrupted = self.failure is not None
        if is_interrupted and abort is not None:
            abort()


class CompletionPayload:
    """The payload for an engine: a completion, which can be resumed.

    `key` is the affinity key of the prompt.
    """

    __slots__ = ("completion", "key")

    def __init__(self, completion, key):
        self.completion = completion
        self.key = key


class ServicePayload:
    """The payload for a plain service: the body of one call."""

    __slots__ = ("body", "content_type", "key")

    def __init__(self, body, content_type):
        self.body = body
        self.content_type = content_type
        self.key = hashing.digest(body)[:16]


class WorkItem:
    """A request or batch item, and the state of its attempts.

    `attempt_id` identifies the request's execution in the ledger; `attempts`
    counts the attempts on targets. `sent` is true if an earlier attempt may
    have run, `has_key` if the caller sent an idempotency key. `checker`
    checks the tokens of the stream and has those received so far.
    `dispatched_s` is the time of the first attempt, or 0.0.
    `preferred_target` may be empty.
    """

    __slots__ = (
        "attempt_id",
        "attempts",
        "caller",
        "checker",
        "deadline_s",
        "deadline_unix_s",
        "digest",
        "dispatched_s",
        "has_key",
        "id",
        "idempotent",
        "interrupt",
        "online",
        "path",
        "payload",
        "pool",
        "preferred_target",
        "route",
        "sent",
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
        self.attempt_id = ""
        self.checker = None
        self.deadline_s = 0.0
        self.deadline_unix_s = 0.0
        self.dispatched_s = 0.0
        self.interrupt = Interrupt()
        self.has_key = False
        self.online = True
        self.preferred_target = ""
        self.sent = False
        self.attempts = 0

    def remaining_s(self, clock):
        """Returns the time until the deadline (s), negative after it."""
        return self.deadline_s - clock.monotonic_s()


def deadline_failure(sent):
    """Returns the failure of work whose deadline has passed.

    `sent` tells whether the work may have run.
    """
    outcome = errors.Outcome.UNKNOWN if sent else errors.Outcome.NOT_RUN
    return errors.Failure(
        errors.Kind.DEADLINE_PASSED, "the deadline has passed", outcome
    )
