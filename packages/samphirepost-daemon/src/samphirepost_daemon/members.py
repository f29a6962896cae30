"""The actor that tracks this zone's members and its coordinator.

One daemon per zone is its coordinator, recorded in a row of the table
service. Members send it heartbeats and receive the view of all zones. Only
coordinators read and write the table service for membership, so that its
load grows with the number of zones, not of daemons. A wrong coordinator, or
two at once, cost only efficiency, not correctness.
"""

import functools

import eliot
import msgspec
import pykka

from samphirepost import codec
from samphirepost import hashing
from samphirepost import lease
from samphirepost import membership
from samphirepost import messages
from samphirepost import records
from samphirepost_daemon import metrics
from samphirepost_daemon import partitionlog
from samphirepost_daemon import platformapi

CONTROL_PREFIX = "control/"
ZONE_PREFIX = "control/zone/"
RANK_DELAY_S = 0.5
RANK_MAX = 10


class PeerReport(msgspec.Struct, frozen=True):
    """A peer's heartbeat or digest; the reply goes back to the peer."""

    command: messages.Heartbeat | messages.ZoneDigest


class GetHeartbeatPlan(msgspec.Struct, frozen=True):
    """Requests what to send with the next heartbeat, and to whom."""


class HeartbeatPlan(msgspec.Struct, frozen=True):
    """What to send with a heartbeat, and the peers to send it to.

    `coordinator` is the coordinator's address, empty if it is unknown or
    unresponsive or this daemon coordinates. `preferred_peers` are the peers
    of this zone that would coordinate before this daemon; `other_zones` has
    the peers of each other zone, the likeliest coordinator first.
    """

    member: messages.Member
    coordinating: bool
    coordinator: str
    version: str
    digest: messages.ZoneDigest
    preferred_peers: tuple[str, ...]
    other_zones: dict[str, tuple[str, ...]]


class ControlRows(msgspec.Struct, frozen=True):
    """The control rows of the table service, as requested at `requested_s`.

    `revision` is the newest revision of the tables; `leaving` has the ids of
    the VMs that the platform lists as leaving.
    """

    requested_s: float
    rows: tuple[platformapi.VersionedRow, ...]
    leaving: tuple[str, ...]
    revision: int


class VersionedZoneRow(msgspec.Struct, frozen=True):
    """A zone's row with the revision it was read at.

    As a planned write it replaces the row, if that is still at `revision`.
    """

    row: membership.ZoneRow
    revision: int


class ZoneWriteOutcome(msgspec.Struct, frozen=True):
    """Whether the planned write of the zone's row took effect."""

    took_effect: bool


class PeerReply(msgspec.Struct, frozen=True):
    """A peer replied to the heartbeat sent at `requested_s`."""

    requested_s: float
    reply: messages.HeartbeatReply


class PeerTimeout(msgspec.Struct, frozen=True):
    """A peer did not reply in time."""

    peer: str


class TableServiceOutage(msgspec.Struct, frozen=True):
    """The table service is unavailable; `digests` are peers' replies."""

    requested_s: float
    digests: tuple[messages.ZoneDigest, ...]


class SetServing(msgspec.Struct, frozen=True):
    """Sets whether this daemon accepts requests."""

    serving: bool


class SetPendingPartitions(msgspec.Struct, frozen=True):
    """Sets which of this daemon's partitions have pending items."""

    partitions: tuple[int, ...]


class MembersActor(pykka.ThreadingActor):
    """Tracks the zone's members and publishes the view of all members."""

    def __init__(self, own_member, cfg, clock, directory, active_tables):
        super().__init__()
        self._own_member = own_member
        self._cfg = cfg
        self._clock = clock
        self._directory = directory
        self._active_tables = active_tables
        self._timeout_s = cfg.dead_ms / 1000
        self._zone = membership.ZoneMembers(self._timeout_s)
        self._coordinating = False
        self._coordinator = ""
        self._timed_out_at_s = {}
        self._observers = {}
        self._zone_rows = {}
        self._table_unavailable = False
        self._known_names = frozenset()

    def on_receive(self, message):
        return self._receive(message)

    @functools.singledispatchmethod
    def _receive(self, message):
        raise TypeError(type(message))

    @_receive.register
    def _(self, message: SetServing):
        self._own_member = msgspec.structs.replace(
            self._own_member, serving=message.serving
        )

    @_receive.register
    def _(self, message: SetPendingPartitions):
        self._own_member = msgspec.structs.replace(
            self._own_member, partitions_waiting=message.partitions
        )

    def _member(self):
        revision = self._active_tables.revision
        return msgspec.structs.replace(self._own_member, revision=revision)

    @_receive.register
    def _(self, message: GetHeartbeatPlan):
        now_s = self._clock.monotonic_s()
        self._zone.record_heartbeat(self._member(), now_s)
        self._zone.remove_unresponsive(now_s)
        return HeartbeatPlan(
            member=self._member(),
            coordinating=self._coordinating,
            coordinator=self._followed_coordinator(now_s),
            version=self._directory.view.version,
            digest=self._digest(now_s),
            preferred_peers=self._preferred_peers(),
            other_zones=self._peers_of_other_zones(),
        )

    def _followed_coordinator(self, now_s):
        if self._coordinating or self._is_unresponsive(
            self._coordinator, now_s
        ):
            return ""
        return self._coordinator

    def _is_unresponsive(self, peer, now_s):
        since_s = self._timed_out_at_s.get(peer)
        return since_s is not None and now_s - since_s < self._timeout_s

    def _digest(self, now_s):
        return messages.ZoneDigest(
            self._own_member.zone,
            self._zone.live_members(),
            self._active_tables.revision,
            self._directory.confirmation.age(now_s),
        )

    def _ranked(self, zone):
        """Returns the zone's peers, the likeliest coordinator first."""
        view = self._directory.view
        peers = [m.peer for m in view.members if m.zone == zone]
        ranked = hashing.ranked(f"zone/{zone}", peers)
        first = view.coordinators.get(zone)
        if first in ranked:
            ranked.remove(first)
            ranked.insert(0, first)
        return ranked

    def _preferred_peers(self):
        ranked = self._ranked(self._own_member.zone)
        if self._own_member.peer in ranked:
            return tuple(ranked[: ranked.index(self._own_member.peer)])
        return tuple(ranked)

    def _peers_of_other_zones(self):
        zones = {m.zone for m in self._directory.view.members}
        zones.discard(self._own_member.zone)
        return {zone: tuple(self._ranked(zone)) for zone in sorted(zones)}

    @_receive.register
    def _(self, message: PeerReport):
        return self._answer(message.command)

    @functools.singledispatchmethod
    def _answer(self, command):
        raise TypeError(type(command))

    @_answer.register
    def _(self, command: messages.Heartbeat):
        now_s = self._clock.monotonic_s()
        self._zone.record_heartbeat(command.member, now_s)
        view = self._directory.view
        return messages.HeartbeatReply(
            confirmed_age_s=self._directory.confirmation.age(now_s),
            revision=self._active_tables.revision,
            view=None if command.version == view.version else view,
        )

    @_answer.register
    def _(self, command: messages.ZoneDigest):
        return self._digest(self._clock.monotonic_s())

    @_receive.register
    def _(self, message: PeerReply):
        reply = message.reply
        if reply.revision <= self._active_tables.revision:
            confirmation = self._directory.confirmation
            confirmation.confirm(message.requested_s, reply.confirmed_age_s)
        if reply.view is not None:
            self._apply_view(reply.view)

    def _apply_view(self, view):
        self._set_view(view)
        if not self._table_unavailable:
            self._record_known_names()
        coordinator = view.coordinators.get(self._own_member.zone, "")
        if coordinator != self._own_member.peer:
            self._coordinator = coordinator

    @_receive.register
    def _(self, message: PeerTimeout):
        self._timed_out_at_s[message.peer] = self._clock.monotonic_s()

    @_receive.register
    def _(self, message: ControlRows):
        now_s = self._clock.monotonic_s()
        if self._table_unavailable:
            self._restart_observers(now_s)
        self._set_table_unavailable(False)
        self._record_rows(message, now_s)
        if message.revision <= self._active_tables.revision:
            self._directory.confirmation.confirm(message.requested_s)
        self._set_view(self._make_view(message, now_s))
        self._record_known_names()
        return self._plan_zone_write(now_s)

    def _record_known_names(self):
        """Records who was live when the table service last replied."""
        members = self._directory.view.members
        self._known_names = frozenset(member.name for member in members)

    def _restart_observers(self, now_s):
        """Restarts all lease timeouts: the outage has hidden any renewals."""
        for observer in self._observers.values():
            observer.restart(now_s)

    def _record_rows(self, message, now_s):
        self._zone_rows = {}
        for row in message.rows:
            observer = self._observers.setdefault(
                row.key, lease.LeaseObserver()
            )
            observer.observe(row.revision, now_s)
            if row.key.startswith(ZONE_PREFIX):
                zone = row.key.removeprefix(ZONE_PREFIX)
                value = codec.unpack(row.value, membership.ZoneRow)
                self._zone_rows[zone] = VersionedZoneRow(value, row.revision)

    def _make_view(self, control_rows, now_s):
        members = {}
        coordinators = {}
        for zone, found in self._zone_rows.items():
            observer = self._observers[ZONE_PREFIX + zone]
            if observer.is_expired(2 * self._timeout_s, now_s):
                continue
            coordinators[zone] = found.row.peer
            members.update({m.name: m for m in found.row.members})
        if self._coordinating:
            members.update({m.name: m for m in self._zone.live_members()})
        members[self._own_member.name] = self._member()
        owners, suspects = self._partitions(control_rows.rows, now_s)
        return membership.make_view(
            members.values(),
            owners,
            suspects,
            coordinators,
            control_rows.leaving,
            control_rows.revision,
        )

    def _partitions(self, rows, now_s):
        """Returns the owners of the partitions, and the suspect partitions.

        Suspects have no owner or an expired lease; they are mapped to the
        revision of their row.
        """
        owners = {}
        suspects = dict.fromkeys(
            range(self._cfg.ledger.partitions), platformapi.ABSENT
        )
        lease_s = self._cfg.ledger.lease_ms / 1000
        for versioned in rows:
            if not versioned.key.startswith(partitionlog.PARTITION_PREFIX):
                continue
            number = partitionlog.partition_from_key(versioned.key)
            row = codec.unpack(versioned.value, records.PartitionRow)
            owners[number] = messages.PartitionOwner(row.owner, row.epoch)
            observer = self._observers[versioned.key]
            if not row.owner or observer.is_expired(lease_s, now_s):
                suspects[number] = versioned.revision
            else:
                suspects.pop(number, None)
        return owners, suspects

    def _plan_zone_write(self, now_s):
        """Returns the row to write, or None if another daemon coordinates.

        A daemon waits RANK_DELAY_S longer for each peer that would coordinate
        before it, so that usually only one of them replaces a failed
        coordinator.
        """
        found = self._zone_rows.get(self._own_member.zone)
        if found is None:
            return self._make_zone_write(0, platformapi.ABSENT)
        row = found.row
        if row.coordinator == self._own_member.name:
            self._set_coordinating(True)
            return self._make_zone_write(row.epoch, found.revision)
        self._set_coordinating(False)
        self._coordinator = row.peer
        observer = self._observers[ZONE_PREFIX + self._own_member.zone]
        rank = min(RANK_MAX, len(self._preferred_peers()))
        wait_s = self._timeout_s + rank * RANK_DELAY_S
        if not row.coordinator or observer.is_expired(wait_s, now_s):
            return self._make_zone_write(row.epoch + 1, found.revision)
        return None

    def _make_zone_write(self, epoch, revision):
        row = membership.ZoneRow(
            coordinator=self._own_member.name,
            peer=self._own_member.peer,
            epoch=epoch,
            members=self._zone.live_members(),
        )
        return VersionedZoneRow(row, revision)

    @_receive.register
    def _(self, message: ZoneWriteOutcome):
        self._set_coordinating(message.took_effect)

    def _set_coordinating(self, coordinating):
        if coordinating == self._coordinating:
            return
        self._coordinating = coordinating
        if coordinating:
            self._coordinator = ""
        metrics.COORDINATING.set(int(coordinating))
        eliot.log_message(
            message_type="zone:coordinating",
            zone=self._own_member.zone,
            coordinating=coordinating,
        )

    @_receive.register
    def _(self, message: TableServiceOutage):
        self._set_table_unavailable(True)
        self._confirm_by_digests(message)
        self._set_view(self._view_from_digests(message.digests))

    def _confirm_by_digests(self, message):
        """Confirms the tables if a majority of the known members replied.

        No tables can be changed while the table service is unavailable.
        """
        newest = max((d.revision for d in message.digests), default=0)
        if (
            newest > self._active_tables.revision
            or not self._active_tables.revision
        ):
            return
        reporting = {member.name for member in self._zone.live_members()}
        for digest in message.digests:
            reporting.update(member.name for member in digest.members)
        if membership.majority_confirms(self._known_names, reporting):
            self._directory.confirmation.confirm(message.requested_s)

    def _view_from_digests(self, digests):
        """Returns the view of the live members in the zones that replied.

        Members of the other zones are retained as they were.
        """
        view = self._directory.view
        members = {m.name: m for m in self._zone.live_members()}
        for digest in digests:
            members.update({m.name: m for m in digest.members})
        reporting = {d.zone for d in digests} | {self._own_member.zone}
        for member in view.members:
            if member.zone not in reporting:
                members[member.name] = member
        return membership.make_view(
            members.values(),
            view.owners,
            {},
            view.coordinators,
            view.leaving,
            view.revision,
        )

    def _set_table_unavailable(self, unavailable):
        if unavailable == self._table_unavailable:
            return
        self._table_unavailable = unavailable
        eliot.log_message(message_type="table-service:out", out=unavailable)

    def _set_view(self, view):
        if view.version == self._directory.view.version:
            return
        self._directory.set_view(view)
        metrics.MEMBERS.set(len(view.members))
