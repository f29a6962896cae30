"""The daemons that can relay runs to engines for others, kept by the hub."""

import random

# Runs that one daemon relays at a time: its own callers must not feel them.
RUNS_MAX = 64
# Daemons that are compared for one choice.
COMPARED_MAX = 16
# Runs in which daemons may differ before another zone is preferred (traffic
# between zones is billed).
ZONE_RUNS = 8


class Relay:
    """A daemon that reaches the engines but for those `unreached`."""

    __slots__ = ("address", "runs", "unreached", "vm", "zone")

    def __init__(self, vm):
        self.vm = vm
        self.address = None
        self.zone = ""
        self.unreached = frozenset()
        self.runs = 0


class Relays:
    """The daemons that relay, by VM id."""

    __slots__ = ("_relays",)

    def __init__(self):
        self._relays = {}

    def apply(self, vm, address, paths):
        """Applies the slotmessages.Paths that a daemon reported."""
        if not paths.relays:
            self.remove(vm)
            return
        relay = self._relays.get(vm)
        if relay is None:
            relay = self._relays[vm] = Relay(vm)
        relay.address = address
        relay.zone = paths.zone
        relay.unreached = frozenset(paths.unreached)

    def remove(self, vm):
        """Removes a daemon that no longer relays."""
        self._relays.pop(vm, None)

    def _usable(self, vm, engine_id):
        return (
            relay
            for relay in self._relays.values()
            if relay.vm != vm
            and relay.runs < RUNS_MAX
            and engine_id not in relay.unreached
        )

    def can_reach(self, vm, engine_id):
        """Whether a daemon reaches an engine through another one."""
        return any(True for _ in self._usable(vm, engine_id))

    def choose(self, vm, zone, engine_id, excluded=(), draw=random.sample):
        """Returns a Relay by which a daemon reaches an engine, or None.

        `excluded` has addresses (IP:PORT) that failed. Of a few that are drawn
        the least loaded is chosen, of the same zone if there is one.
        """
        usable = [
            relay
            for relay in self._usable(vm, engine_id)
            if format_address(relay.address) not in excluded
        ]
        if len(usable) > COMPARED_MAX:
            near = [relay for relay in usable if relay.zone == zone]
            usable = draw(usable, COMPARED_MAX)
            usable += draw(near, min(len(near), COMPARED_MAX))
        return min(
            usable,
            key=lambda relay: (
                relay.runs // ZONE_RUNS,
                relay.zone != zone,
                relay.runs,
            ),
            default=None,
        )

    def record_start(self, vm):
        """Records that a run is relayed by a daemon."""
        if vm in self._relays:
            self._relays[vm].runs += 1

    def record_end(self, vm):
        """Records that a relayed run has ended."""
        relay = self._relays.get(vm)
        if relay is not None:
            relay.runs = max(0, relay.runs - 1)


def format_address(address):
    """Returns the IP:PORT of a pair of an IP and a port."""
    return f"{address[0]}:{address[1]}"
