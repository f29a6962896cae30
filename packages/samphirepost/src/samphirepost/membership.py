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


class Zone:
    """The members of a zone that send heartbeats to this coordinator.

    A member is removed after `silent_s` without a heartbeat.
    """

    __slots__ = ("heard", "members", "silent_s")

    def __init__(self, silent_s):
        self.silent_s = silent_s
        self.members = {}
        self.heard = {}

    def hear(self, member, now_s):
        """Records a member's heartbeat, received at `now_s`."""
        self.members[member.name] = member
        self.heard[member.name] = now_s

    def forget_silent(self, now_s):
        """Removes the members without a heartbeat for more than `silent_s`."""
        for name, heard in list(self.heard.items()):
            if now_s - heard > self.silent_s:
                del self.heard[name]
                del self.members[name]

    def live(self):
        """Returns the live members, sorted by name."""
        return tuple(self.members[name] for name in sorted(self.members))


def make_view(members, owners, suspects, coordinators, leaving, revision):
    """Returns the View of these parts.

    Its version is a digest of the parts, so equal parts have equal versions.
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


def in_force(revision, members):
    """Returns the names of the members whose tables are older than `revision`.

    None means that the revision is active on every member.
    """
    return tuple(m.name for m in members if m.revision < revision)


class Confirmation:
    """When this daemon's tables were last confirmed to be the newest.

    Instants are seconds of the monotonic clock.
    """

    __slots__ = ("at_s", "limit_s")

    def __init__(self, limit_s):
        self.limit_s = limit_s
        self.at_s = None

    def confirm(self, asked_s, age_s=0.0):
        """Records a confirmation, `age_s` old when requested at `asked_s`."""
        at_s = asked_s - age_s
        if self.at_s is None or at_s > self.at_s:
            self.at_s = at_s

    def age(self, now_s):
        """Returns the age of the newest confirmation (s); infinite without."""
        return float("inf") if self.at_s is None else now_s - self.at_s

    def fresh(self, now_s):
        """Returns whether the daemon may serve with its tables."""
        return self.age(now_s) < self.limit_s


def outage_confirms(known, heard):
    """Returns whether peers can confirm the tables during an outage.

    While the table service is unavailable to all members, nobody can edit the
    tables. A majority of the members known before the outage must report it,
    so that two halves of a split cannot both confirm.
    """
    return len(heard & known) * 2 > len(known)
