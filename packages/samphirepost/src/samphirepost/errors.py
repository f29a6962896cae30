"""Typed failures: a kind, a reason and whether the work was executed."""

import enum

import msgspec


class Outcome(enum.Enum):
    """Whether the work that a failure refers to was executed."""

    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    DONE = "done"


class Kind(enum.Enum):
    """Every way in which a request, item or configuration edit can fail."""

    BAD_JSON = "bad-json"
    BAD_REQUEST = "bad-request"
    BAD_SETTINGS = "bad-settings"
    BODY_TOO_LARGE = "body-too-large"
    CALLER_MISSING = "caller-missing"
    CALLER_UNKNOWN = "caller-unknown"
    CANCELLED = "cancelled"
    DEADLINE_PASSED = "deadline-passed"
    DUPLICATE_ITEM = "duplicate-item"
    INTERNAL = "internal"
    ITEM_WITHOUT_ID = "item-without-id"
    ATTEMPTS_EXHAUSTED = "attempts-exhausted"
    KEY_REUSED = "key-reused"
    LEAVING = "leaving"
    NO_MEMORY = "no-memory"
    NOT_FINISHED = "not-finished"
    NOT_FOUND = "not-found"
    NOT_OPERATOR = "not-operator"
    NOT_OWNER = "not-owner"
    OVERLOADED = "overloaded"
    PEER_UNREACHABLE = "peer-unreachable"
    PLATFORM_OUT = "platform-out"
    PLATFORM_UNCERTAIN = "platform-uncertain"
    POOL_MISSING = "pool-missing"
    REFUSED_BY_TARGET = "refused-by-target"
    ROUTE_MISSING = "route-missing"
    STALE_EPOCH = "stale-epoch"
    STALE_REVISION = "stale-revision"
    STREAM_BROKEN = "stream-broken"
    STREAM_CROSSED = "stream-crossed"
    STREAM_SILENT = "stream-silent"
    TABLES_UNCONFIRMED = "tables-unconfirmed"
    TARGET_FAILED = "target-failed"
    TARGET_UNREACHABLE = "target-unreachable"
    TOO_MANY_ITEMS = "too-many-items"
    UNKNOWN_RESULT = "unknown-result"


STATUS_DEFAULT = 503

_HTTP_STATUS = {
    Kind.BAD_JSON: 400,
    Kind.BAD_REQUEST: 400,
    Kind.BODY_TOO_LARGE: 413,
    Kind.CALLER_MISSING: 401,
    Kind.CALLER_UNKNOWN: 403,
    Kind.CANCELLED: 409,
    Kind.DEADLINE_PASSED: 504,
    Kind.DUPLICATE_ITEM: 400,
    Kind.INTERNAL: 500,
    Kind.ITEM_WITHOUT_ID: 400,
    Kind.KEY_REUSED: 409,
    Kind.NOT_FINISHED: 409,
    Kind.NOT_FOUND: 404,
    Kind.NOT_OPERATOR: 403,
    Kind.OVERLOADED: 429,
    Kind.POOL_MISSING: 400,
    Kind.REFUSED_BY_TARGET: 422,
    Kind.ROUTE_MISSING: 404,
    Kind.STALE_REVISION: 409,
    Kind.STREAM_BROKEN: 502,
    Kind.STREAM_CROSSED: 502,
    Kind.STREAM_SILENT: 504,
    Kind.TARGET_FAILED: 502,
    Kind.TARGET_UNREACHABLE: 502,
    Kind.TOO_MANY_ITEMS: 413,
    Kind.UNKNOWN_RESULT: 409,
}


class Failure(msgspec.Struct, frozen=True, tag="failure"):
    """A failure as a value; NOT_RUN guarantees that nothing was executed."""

    kind: Kind
    reason: str
    outcome: Outcome = Outcome.NOT_RUN
    retry_after_s: float = 0.0

    @property
    def is_not_run(self):
        """Whether the work is guaranteed not to have run."""
        return self.outcome is Outcome.NOT_RUN

    def as_not_run(self):
        """Returns the same failure with the outcome NOT_RUN."""
        return Failure(
            self.kind, self.reason, Outcome.NOT_RUN, self.retry_after_s
        )

    def as_unknown(self):
        """Returns the same failure with the outcome UNKNOWN."""
        return Failure(self.kind, self.reason, Outcome.UNKNOWN)


class FailureError(Exception):
    """Raised to pass a Failure up through several calls."""

    def __init__(self, failure):
        super().__init__(failure.reason)
        self.failure = failure


def http_status(kind):
    """Returns the HTTP status code for a failure of this kind."""
    return _HTTP_STATUS.get(kind, STATUS_DEFAULT)
