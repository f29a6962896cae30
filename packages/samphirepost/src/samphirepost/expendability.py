"""Which batch item gives its slot to an online request.

The output of a stopped item is kept, so that what its runs have cost is not
lost. Each stop costs a start, a wait for a slot, and reading the prompt and
the output again. All instants are monotonic seconds.
"""

import msgspec

# An item is at risk if less than twice the time that it needs, and this (s),
# are left until its job is due: it waits for a slot, and may be stopped again.
WAIT_ALLOWANCE_S = 1.0
# A run that is expected to end within this time (s) leaves its slot as soon as
# a stopped one would.
ENDING_S = 0.1
# Ranks of items by what a stop would do to them, the worst first.
AT_RISK = 0
ENDING = 1
ON_TIME = 2
LATE = 3


class Claim(msgspec.Struct, frozen=True):
    """What is known of an item that runs or is about to.

    Its job is due at `due_s`; its run is expected to end at `end_s`, or that
    is not known. It was stopped `preemptions` times before. If `late`, it is
    unlikely to be done in time in any case.
    """

    late: bool = False
    due_s: float = 0.0
    end_s: float | None = None
    preemptions: int = 0

    def rank(self, now_s):
        """Returns a sort key; the item with the highest one gives way.

        Items that are late anyway come first, those at risk last; then those
        that were stopped least often, then those that can wait longest.
        """
        # Hundreds of items are compared for one request, so this calls no
        # other functions unless it has to.
        left_s = self.due_s - now_s
        needs_s = 0.0
        effect = ON_TIME
        end_s = self.end_s
        if end_s is not None:
            needs_s = end_s - now_s
            if needs_s < ENDING_S:
                effect = ENDING
                needs_s = max(0.0, needs_s)
        if self.late:
            effect = LATE
        elif left_s < 2 * needs_s + WAIT_ALLOWANCE_S:
            effect = AT_RISK
        return (effect, -self.preemptions, left_s - needs_s)


# Of an item of which nothing is known but that it runs.
UNKNOWN = Claim()


def claim_of(told, now_s):
    """Returns the Claim of a slotmessages.Run or WantedSlot."""
    end_s = now_s + told.needs_ms / 1000 if told.needs_ms else None
    return Claim(told.late, now_s + told.left_s, end_s, told.preemptions)
