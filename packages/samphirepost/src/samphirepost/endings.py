"""Where an output ends, if its answers have no length.

Such an answer ends with its connection, as one does that its engine breaks
off. Answers that began after different events and end after the same one
agree on the end; what breaks answers off has no reason to end them there. An
answer without events tells nothing: it may have been broken off before its
first one. Events are counted from the first one of the output.
"""

# Answers that have to agree on an end.
WITNESSES_MIN = 3
# The same for ends of which there are not as many ways to ask.
REPEATS_MAX = 12
# Events before the end after which is asked again, in turn. An answer that is
# to repeat more of them has more places at which to break off before the end.
OVERLAPS = (4, 8, 16, 2, 1, 3)


class EndEvidence:
    """What answers without a length showed of the end of one output.

    Certain once WITNESSES_MIN answers that began after different events
    agree, or `repeats_max` whatever they began after. What follows the last
    event is asked for first, so that an output that goes on does so; then for
    the last events again, as many as `overlaps` has in turn. Not safe for use
    by several threads.
    """

    __slots__ = (
        "_asked_at_end",
        "_count",
        "_overlaps",
        "_repeats",
        "_repeats_max",
        "_witnesses",
    )

    def __init__(self, repeats_max=REPEATS_MAX, overlaps=OVERLAPS):
        self._repeats_max = repeats_max
        self._overlaps = overlaps
        self._restart(0)

    def _restart(self, count):
        self._count = count
        self._witnesses = set()
        self._repeats = 0
        self._asked_at_end = False

    def record_end(self, engine_id, start, end):
        """Records an answer that ended with its connection.

        It was asked for after `start` events, and its last event was number
        `end`; equal if it had no event.
        """
        if end > self._count:
            self._restart(end)
        if start == end:
            if end == self._count:
                self._asked_at_end = True
        elif end == self._count:
            self._repeats += 1
            self._witnesses.add((engine_id, start))
        else:
            # Some engine ends answers early.
            self._witnesses.clear()
            self._repeats = 0

    def refute(self):
        """Records that events follow those after which answers ended."""
        self._restart(0)

    def next_start(self, engine_id, count):
        """Returns the number of events after which to ask an engine.

        `count` is the number of events of the output so far. If the result is
        smaller, the events that come again only show the end.
        """
        if count != self._count or not self._asked_at_end:
            return count
        for overlap in self._overlaps:
            start = count - overlap
            if start >= 0 and (engine_id, start) not in self._witnesses:
                return start
        return max(0, count - self._overlaps[0])

    @property
    def is_certain(self):
        """Whether the output ends after the events known so far."""
        return (
            len(self._witnesses) >= WITNESSES_MIN
            or self._repeats >= self._repeats_max
        )
