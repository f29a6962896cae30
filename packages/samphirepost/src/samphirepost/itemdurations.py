"""Estimates how long the items of batch jobs run."""

# Weight of a new sample in the moving averages of item durations.
DURATION_SAMPLE_SHARE = 0.2


class DurationEstimator:
    """Estimates how long items take, from completed ones."""

    __slots__ = ("_events_per_token", "_seconds_per_event")

    def __init__(self):
        self._events_per_token = None
        self._seconds_per_event = None

    def add_sample(self, tokens, events, duration_s):
        """Records an item that was completed in one attempt."""
        if not tokens or not events:
            return
        self._events_per_token = _average(
            self._events_per_token, events / tokens
        )
        self._seconds_per_event = _average(
            self._seconds_per_event, duration_s / events
        )

    def remaining_s(self, tokens, events):
        """Returns the estimated time until an item is complete (s).

        `tokens` are the item's tokens, `events` the events received so far.
        Returns 0 while no item has been recorded.
        """
        if self._seconds_per_event is None:
            return 0.0
        left = max(0.0, tokens * self._events_per_token - events)
        return left * self._seconds_per_event


def _average(old, new):
    return new if old is None else old + DURATION_SAMPLE_SHARE * (new - old)
