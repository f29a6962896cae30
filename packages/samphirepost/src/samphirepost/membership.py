"""Members of a zone and of all zones, as a coordinator sees them."""

import msgspec

from samphirepost import hashing
from samphirepost import messages


class ZoneRow(msgspec.Struct, frozen=True):
    """A zone's row: its coordinator and the members it hears from."""

    coordinator: str = ""
    peer: str = ""
    epoch: int = 0
    members: tuple[messages.Member, ...] = ()


class Zone:
    """The members that send heartbeats to this coordinator."""

    __slots__ = ("heard", "members", "silent_s")

    def __init__(self, silent_s):
        self.silent_s = silent_s
        self.members = {}
        self.heard = {}

    def hear(self, member, now_s):
        """Notes a heartbeat."""
        self.members[member.name] = member
        self.heard[member.name] = now_s

    def forget_silent(self, now_s):
        """Drops the members not heard from within `silent_s`."""
        for name, heard in list(self.heard.items()):
            if now_s - heard > self.silent_s:
                del self.heard[name]
                del self.members[name]

    def live(self):
        """Returns the members by name."""
        return tuple(self.members[name] for name in sorted(self.members))


def make_view(members, owners, suspects, coordinators, leaving, revision):
    """Returns the View of these parts; equal parts, equal version."""
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
    """Returns the names of the members that still lack the revision."""
    return tuple(m.name for m in members if m.revision < revision)


class Confirmation:
    """When this daemon last knew that its tables were the newest."""

    __slots__ = ("at_s", "limit_s")

    def __init__(self, limit_s):
        self.limit_s = limit_s
        self.at_s = None

    def confirm(self, asked_s, age_s=0.0):
        """Notes word that was `age_s` old when it was asked for."""
        at_s = asked_s - age_s
        if self.at_s is None or at_s > self.at_s:
            self.at_s = at_s

    def age(self, now_s):
        """Returns the age of the newest word (s)."""
        return float("inf") if self.at_s is None else now_s - self.at_s

    def fresh(self, now_s):
        """Whether the daemon may serve."""
        return self.age(now_s) < self.limit_s


def outage_confirms(known, heard):
    """Whether word from peers stands in for the table service.

    With the table service out for all, no edit can be made. A majority of
    the members that were known before must say so.
    """
    return len(heard & known) * 2 > len(known)
