"""Passes on what the run of an item shows while it lasts."""

from samphirepost import quarantine
from samphirepost_daemon.entry import enginestatus
from samphirepost_daemon.entry import items
from samphirepost_daemon.platform import wire


class SlotObserver(items.RunObserver):
    """Passes on what a run of an item shows of its engine and its prompt."""

    __slots__ = (
        "_engine",
        "_item",
        "_item_id",
        "_parts",
        "_shared",
        "_slots",
    )

    def __init__(self, shared, engine, item):
        self._shared = shared
        self._slots = shared.slots
        self._engine = engine
        self._item = quarantine.item_key(item.id)
        self._item_id = item.id
        self._parts = wire.shared_parts(item)

    def head_received(self, head):
        """Records the limit that the engine names."""
        self._slots.record_head(self._engine, head)

    def stale_target(self):
        """Records that another engine has the engine's address."""
        self._slots.record_stale(self._engine)

    def begun(self):
        """Records that the prompt's parts are answered."""
        self._slots.record_begun(self._parts, self._item)

    def is_engine_running(self, through):
        """Whether the engine still gives its report."""
        way = enginestatus.find_way(
            self._shared,
            self._engine,
            through,
            enginestatus.REPORT_TIMEOUT_S,
        )
        return way is not None

    def unframed_end(self, resume_after, end):
        """Logs an end from which the end of the output is inferred."""
        self._shared.log.event(
            "item.unframed",
            item=self._item_id,
            engine=self._engine.id,
            resume_after=resume_after,
            end=end,
        )

    def may_ask_again(self):
        """Whether the engine takes work and names no limit.

        A second request in a run would not be counted towards the limit.
        """
        engine = self._engine
        return self._shared.state.is_usable(engine) and (
            not self._shared.limits.is_limited(engine)
        )
