"""Sends heartbeats to the zone's coordinator, or acts as the coordinator.

A daemon without a reachable coordinator reads the control rows of the table
service itself; while the table service is unavailable it queries peers.
"""

from samphirepost import codec
from samphirepost import errors
from samphirepost import messages
from samphirepost_daemon import activetables
from samphirepost_daemon import members
from samphirepost_daemon import platformapi

REPLY_TIMEOUT_S = 0.4
PEERS_PER_ZONE_MAX = 2


class HeartbeatLoop:
    """Sends this daemon's heartbeats and reads the control rows."""

    def __init__(self, actor, services, client, clock, active_tables, cfg):
        self._actor = actor
        self._services = services
        self._client = client
        self._clock = clock
        self._active_tables = active_tables
        self._zone_key = members.ZONE_PREFIX + cfg.zone
        self._own_address = ""

    def run_once(self):
        """Sends one heartbeat, or reads the control rows instead."""
        plan = self._actor.ask(members.GetHeartbeatPlan())
        self._own_address = plan.member.peer
        if plan.coordinator and self._send_heartbeat(plan.coordinator, plan):
            return
        control_rows = self._read_control_rows()
        if isinstance(control_rows, errors.Failure):
            self._query_peers(plan)
            return
        write = self._actor.ask(control_rows)
        if write is not None:
            self._write_zone(write)

    def _send_heartbeat(self, peer, plan):
        """Returns whether the peer replied and its tables are confirmed."""
        requested_s = self._clock.monotonic_s()
        heartbeat = messages.Heartbeat(plan.member, plan.version)
        reply = self._client.request(peer, heartbeat, REPLY_TIMEOUT_S)
        if isinstance(reply, errors.Failure):
            self._actor.tell(members.PeerTimeout(peer))
            return False
        if reply.revision > self._active_tables.revision:
            self._pull_tables(peer)
        self._actor.ask(members.PeerReply(requested_s, reply))
        return reply.confirmed_age_s < float("inf")

    def _pull_tables(self, peer):
        request = messages.TablesRequest(self._active_tables.revision)
        reply = self._client.request(peer, request, REPLY_TIMEOUT_S)
        if isinstance(reply, messages.TablesReply):
            self._active_tables.apply_reply(reply)

    def _read_control_rows(self):
        """Reads all control rows in one scan, and the tables if newer.

        Returns ControlRows or a Failure.
        """
        requested_s = self._clock.monotonic_s()
        rows = self._services.table.scan(members.CONTROL_PREFIX)
        if isinstance(rows, errors.Failure):
            return rows
        revision = activetables.newest_revision_in(rows)
        if revision > self._active_tables.revision:
            newest = activetables.read_tables(self._services.table)
            if isinstance(newest, errors.Failure):
                return newest
            self._active_tables.apply_if_newer(newest)
        return members.ControlRows(
            requested_s, rows, self._leaving_vms(), revision
        )

    def _leaving_vms(self):
        """Returns the VMs that the platform lists as leaving."""
        vms = self._services.vms.read()
        if isinstance(vms, errors.Failure):
            return ()
        leaving = platformapi.VmState.LEAVING
        return tuple(vm.id for vm in vms if vm.state is leaving)

    def _write_zone(self, write):
        transaction = platformapi.Transaction(
            platformapi.new_write_id(),
            {self._zone_key: write.revision},
            {self._zone_key: codec.pack(write.row)},
        )
        outcome = platformapi.write_with_readback(
            self._services.table, transaction
        )
        written = isinstance(outcome, platformapi.Written)
        if not isinstance(outcome, errors.Failure):
            self._actor.tell(members.ZoneWriteOutcome(written))

    def _query_peers(self, plan):
        """Queries peers while the table service is unavailable."""
        if not plan.coordinating:
            for peer in plan.preferred_peers or self._peers_from_vm_list():
                if peer != plan.coordinator and self._send_heartbeat(
                    peer, plan
                ):
                    return
        requested_s = self._clock.monotonic_s()
        digests = []
        for peers in plan.other_zones.values():
            digest = self._exchange_digest(peers, plan.digest)
            if digest is not None:
                digests.append(digest)
        self._actor.ask(
            members.TableServiceOutage(requested_s, tuple(digests))
        )

    def _peers_from_vm_list(self):
        """Returns the VM list's peers if this daemon has no tables yet."""
        if self._active_tables.revision:
            return ()
        vms = self._services.vms.read()
        if isinstance(vms, errors.Failure):
            return ()
        return [
            vm.address
            for vm in vms
            if vm.address and vm.address != self._own_address
        ]

    def _exchange_digest(self, peers, digest):
        for peer in peers[:PEERS_PER_ZONE_MAX]:
            reply = self._client.request(peer, digest, REPLY_TIMEOUT_S)
            if isinstance(reply, messages.ZoneDigest):
                if reply.revision > self._active_tables.revision:
                    self._pull_tables(peer)
                return reply
        return None
