"""Selects the daemon to which all daemons report, the hub.

All daemons select it by the same ranking. While two hubs exist for a moment,
the picture of each is incomplete. All instants are monotonic seconds.
"""

from samphirepost import hashing

# A hub from which no message was received for this long (s), the time of
# three messages, is excluded.
HUB_TIMEOUT_S = 1.3


class HubSelector:
    """Selects the hub to report to.

    `members` has the address of each member by VM. A hub that falls silent
    is excluded until a message from it arrives: one that lives announces
    itself to the members that do not report to it.
    """

    __slots__ = (
        "_excluded",
        "_hub",
        "_last_received_s",
        "_selected_s",
        "members",
    )

    def __init__(self):
        self.members = {}
        self._excluded = set()
        self._hub = None
        self._selected_s = 0.0
        self._last_received_s = 0.0

    def record_message(self, vm, now_s):
        """Records that a message from the hub `vm` was received."""
        self._excluded.discard(vm)
        if vm == self._hub:
            self._last_received_s = now_s

    def select_hub(self, me, now_s):
        """Returns the VM of the hub, or None if no member is eligible.

        The result is `me` if this daemon is the hub itself.
        """
        idle_s = now_s - max(self._last_received_s, self._selected_s)
        if self._hub not in (None, me) and idle_s > HUB_TIMEOUT_S:
            self._excluded.add(self._hub)
        members = self.members
        self._excluded &= members.keys()
        best = None
        for vm in hashing.ranked("hub", list(members)):
            if vm == me or vm not in self._excluded:
                best = vm
                break
        if best != self._hub:
            self._hub = best
            self._selected_s = now_s
        return best
