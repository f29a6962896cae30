"""Members of a zone and of all zones, as known to a coordinator."""

import msgspec

from samphirepost import hashing
from samphirepost import messages


class ZoneRow(msgspec.Struct, frozen=True):
    """A zone's row: its coordinator and the members that send it heartbeats.

    `peer` is the coordinator's address for peers.
    """

    coordinator: str = ""
    peer: str = ""
    epoch: int = 0
    members: tuple[messages.Member, ...] = ()


class ZoneMembers:
    """The members of a zone that send heartbeats to this coordinator.

    A member is removed after `timeout_s` without a heartbeat.
    """

    __slots__ = ("members", "last_received_s", "timeout_s")

    def __init__(self, timeout_s):
        self.timeout_s = timeout_s
        self.members = {}
        self.last_received_s = {}

    def record_heartbeat(self, member, now_s):
        """Records a member's heartbeat, received at `now_s`."""
        self.members[member.name] = member
        self.last_received_s[member.name] = now_s

    def remove_unresponsive(self, now_s):
        """Removes members whose last heartbeat is older than `timeout_s`."""
        for name, last_s in list(self.last_received_s.items()):
            if now_s - last_s > self.timeout_s:
                del self.last_received_s[name]
                del self.members[name]

    def live_members(self):
        """Returns the live members, sorted by name."""
        return tuple(self.members[name] for name in sorted(self.members))


def make_view(members, owners, suspects, coordinators, leaving, revision):
    """Returns a View with these contents.

    Its version is a digest of them, so equal contents have equal versions.
    """
    ordered = tuple(sorted(members, key=lambda member: member.name))
    body = (
        ordered,
        sorted(owners.items()),
        sorted(suspects.items()),
        sorted(coordinators.items()),
        sorted(leaving),
        revision,
    )
    version = hashing.digest(msgspec.msgpack.encode(body))[:16]
    return messages.View(
        version,
        ordered,
        owners,
        suspects,
        coordinators,
        tuple(sorted(leaving)),
        revision,
    )


def members_behind(revision, members):
    """Returns the names of the members whose tables are older than `revision`.

    An empty tuple means that the revision is active on every member.
    """
    return tuple(m.name for m in members if m.revision < revision)


class Confirmation:
    """When this daemon's tables were last confirmed to be the newest.

    Instants are seconds of the monotonic clock.
    """

    __slots__ = ("age_max_s", "confirmed_s")

    def __init__(self, age_max_s):
        self.age_max_s = age_max_s
        self.confirmed_s = None

    def confirm(self, requested_s, age_s=0.0):
        """Records a confirmation that was `age_s` old at `requested_s`."""
        confirmed_s = requested_s - age_s
        if self.confirmed_s is None or confirmed_s > self.confirmed_s:
            self.confirmed_s = confirmed_s

    def age(self, now_s):
        """Returns the age of the newest confirmation (s), or infinity."""
        return (
            float("inf")
            if self.confirmed_s is None
            else now_s - self.confirmed_s
        )

    def is_fresh(self, now_s):
        """Returns whether the daemon may serve with its tables."""
        return self.age(now_s) < self.age_max_s


def majority_confirms(known, reporting):
    """Returns whether peers can confirm the tables during an outage.

    While the table service is unavailable to all members, nobody can edit the
    tables. A majority of the members known before the outage must report it,
    so that two halves of a split cannot both confirm.
    """
    return len(reporting & known) * 2 > len(known)
