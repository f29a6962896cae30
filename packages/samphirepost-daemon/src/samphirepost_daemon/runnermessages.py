"""Messages that the runner actor of batch items handles."""

import msgspec

from samphirepost import messages


class Tick(msgspec.Struct, frozen=True):
    """Adjusts the limits; starts, preempts and pulls items."""


class PullFinished(msgspec.Struct, frozen=True):
    """The items that the partition owners granted for a target."""

    target: str
    grants: tuple[messages.Grant, ...]


class ExecutionFinished(msgspec.Struct, frozen=True):
    """An item's execution finished with a Result or a Failure."""

    execution: object
    outcome: object


class Hint(msgspec.Struct, frozen=True):
    """A peer's counts of its online requests, by target."""

    burst: messages.OnlineCounts


class GetClaims(msgspec.Struct, frozen=True):
    """Requests the claims that the runner holds, by partition."""


class ClaimsLost(msgspec.Struct, frozen=True):
    """Reports claims that this daemon no longer holds."""

    claims: tuple[str, ...]


class Stop(msgspec.Struct, frozen=True):
    """Stops pulling items; releases queued and preempts running ones.

    Running items that are not idempotent run to completion.
    """


class HasClaims(msgspec.Struct, frozen=True):
    """Requests whether the runner holds any claim."""
