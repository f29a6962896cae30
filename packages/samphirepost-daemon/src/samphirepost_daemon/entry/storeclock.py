"""Translates between the store's clock and this daemon's."""


class StoreClock:
    """The store's time, as last read; None before the first read."""

    __slots__ = ("_offset_s",)

    def __init__(self):
        self._offset_s = None

    def record(self, store_ms, now_s):
        """Records the time in an answer of the store."""
        self._offset_s = store_ms / 1000 - now_s

    @property
    def is_known(self):
        """Whether the store has answered since the start."""
        return self._offset_s is not None

    def instant_s(self, store_ms):
        """Returns the monotonic instant of a store time."""
        return store_ms / 1000 - self._offset_s

    def store_ms(self, instant_s):
        """Returns the store time of a monotonic instant."""
        return round((instant_s + self._offset_s) * 1000)
