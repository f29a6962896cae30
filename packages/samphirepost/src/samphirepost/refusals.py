"""The error responses for online requests that no engine runs."""

import random

from samphirepost import attempts
from samphirepost import quarantine

# Longest wait for a quota (s) that a refusal tells: it may be raised before.
QUOTA_WAIT_MAX_S = 60.0
# Longest Retry-After (s) of a request that crashes engines.
RETRY_AFTER_MAX_S = 3600.0
# Retry-After while the tables are not known (s).
TABLES_RETRY_AFTER_S = 0.5
# Retry-After of a daemon that is about to exit (s): others may be free.
EXIT_RETRY_AFTER_S = 0.1


def least():
    """The draw with which a refusal has its shortest Retry-After."""
    return 0.0


def no_tables():
    """Returns the refusal before the tables are known."""
    return attempts.ErrorResponse(
        503, "no tables are known yet", TABLES_RETRY_AFTER_S
    )


def no_route():
    """Returns the refusal of a host and path without a route."""
    return attempts.ErrorResponse(404, "no route has this host and path")


def at_exit():
    """Returns the refusal of what might not be done before the exit."""
    return attempts.ErrorResponse(
        503, "the daemon is about to exit", EXIT_RETRY_AFTER_S
    )


def no_engine(draw=random.random):
    """Returns the refusal while a pool has no engine."""
    return attempts.ErrorResponse(
        503, "no engine takes work", attempts.retry_after_s(0.0, draw)
    )


def busy(wait_s, draw=random.random):
    """Returns the refusal of a request that would wait too long."""
    return attempts.ErrorResponse(
        503,
        f"all engines are busy for {wait_s:.2f} s",
        attempts.retry_after_s(wait_s, draw),
    )


def over_quota(name, wait_s, hub_vm, draw=random.random):
    """Returns the refusal of a request over its organisation's quota."""
    reason = (
        f"the quota of {name!r} allows the next request in {wait_s:.2f} s"
        f" (hub {hub_vm})"
    )
    return attempts.ErrorResponse(
        429,
        reason,
        attempts.retry_after_s(min(wait_s, QUOTA_WAIT_MAX_S), draw),
    )


def quarantined(found):
    """Returns the refusal for a quarantine.Blocked or Probation."""
    left_s = quarantine.PROBE_INTERVAL_S
    if isinstance(found, quarantine.Blocked):
        left_s = min(found.left_s, RETRY_AFTER_MAX_S)
    reason = quarantine.describe(found.cause)
    return attempts.ErrorResponse(503, reason, round(left_s, 2))
