"""What the runner of batch items is told and asked."""

import msgspec

from samphirepost import messages


class Tick(msgspec.Struct, frozen=True):
    """Adjust the limits; start, preempt and pull."""


class Pulled(msgspec.Struct, frozen=True):
    """What the partition owners granted for a target."""

    target: str
    grants: tuple[messages.Grant, ...]


class Ran(msgspec.Struct, frozen=True):
    """A run ended with a Result or a Failure."""

    run: object
    outcome: object


class Hint(msgspec.Struct, frozen=True):
    """A daemon's count of online requests on this daemon's targets."""

    burst: messages.OnlineCounts


class Claims(msgspec.Struct, frozen=True):
    """Asks for the claims held, by partition."""


class ClaimsLost(msgspec.Struct, frozen=True):
    """Claims that this daemon no longer holds."""

    claims: tuple[str, ...]


class Stop(msgspec.Struct, frozen=True):
    """Take no more work and hand back what runs."""


class Busy(msgspec.Struct, frozen=True):
    """Asks whether items are held here."""
