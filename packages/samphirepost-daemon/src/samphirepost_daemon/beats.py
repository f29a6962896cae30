"""Sends heartbeats, or reads the table service for the zone."""

from samphirepost import codec
from samphirepost import errors
from samphirepost import messages
from samphirepost_daemon import backing
from samphirepost_daemon import current as current_module
from samphirepost_daemon import members

WAIT_S = 0.4
ASKED_PER_ZONE = 2


class Beats:
    """Tells the coordinator that this daemon lives, or coordinates."""

    def __init__(self, actor, services, client, clock, current, cfg):
        self._actor = actor
        self._services = services
        self._client = client
        self._clock = clock
        self._current = current
        self._zone_key = members.ZONE_PREFIX + cfg.zone
        self._own_peer = ""

    def step(self):
        """Follows the coordinator, else reads the table service itself."""
        plan = self._actor.ask(members.Plan())
        self._own_peer = plan.member.peer
        if plan.coordinator and self._follow(plan.coordinator, plan):
            return
        observed = self._observe()
        if isinstance(observed, errors.Failure):
            self._do_without_table(plan)
            return
        write = self._actor.ask(observed)
        if write is not None:
            self._write_zone(write)

    def _follow(self, peer, plan):
        asked_s = self._clock.monotonic_s()
        heartbeat = messages.Heartbeat(plan.member, plan.version)
        reply = self._client.ask(peer, heartbeat, WAIT_S)
        if isinstance(reply, errors.Failure):
            self._actor.tell(members.Silent(peer))
            return False
        if reply.revision > self._current.revision:
            self._pull_tables(peer)
        self._actor.ask(members.Told(asked_s, reply))
        return reply.confirmed_age_s < float("inf")

    def _pull_tables(self, peer):
        pull = messages.TablesRequest(self._current.revision)
        reply = self._client.ask(peer, pull, WAIT_S)
        if isinstance(reply, messages.TablesReply):
            self._current.take(reply)

    def _observe(self):
        """Reads all control rows at once, and new tables if there are."""
        asked_s = self._clock.monotonic_s()
        rows = self._services.table.scan(members.CONTROL_PREFIX)
        if isinstance(rows, errors.Failure):
            return rows
        revision = current_module.head_in(rows)
        if revision > self._current.revision:
            found = current_module.read_tables(self._services.table)
            if isinstance(found, errors.Failure):
                return found
            self._current.offer(found)
        return members.Observed(asked_s, rows, self._leaving(), revision)

    def _leaving(self):
        """Returns the VMs that the platform lists as leaving."""
        vms = self._services.vms.read()
        if isinstance(vms, errors.Failure):
            return ()
        leaving = backing.VmState.LEAVING
        return tuple(vm.id for vm in vms if vm.state is leaving)

    def _write_zone(self, write):
        transaction = backing.Transaction(
            backing.write_id(),
            {self._zone_key: write.revision},
            {self._zone_key: codec.pack(write.row)},
        )
        outcome = backing.settle(self._services.table, transaction)
        ours = isinstance(outcome, backing.Written)
        if not isinstance(outcome, errors.Failure):
            self._actor.tell(members.ZoneWritten(ours))

    def _do_without_table(self, plan):
        """Hears from peers while the table service is out."""
        if not plan.coordinating:
            for peer in plan.neighbours or self._listed_peers():
                if peer != plan.coordinator and self._follow(peer, plan):
                    return
        asked_s = self._clock.monotonic_s()
        digests = []
        for peers in plan.others.values():
            digest = self._exchange(peers, plan.digest)
            if digest is not None:
                digests.append(digest)
        self._actor.ask(members.Out(asked_s, tuple(digests)))

    def _listed_peers(self):
        """Returns peers by the platform's list, for a daemon that starts."""
        if self._current.revision:
            return ()
        vms = self._services.vms.read()
        if isinstance(vms, errors.Failure):
            return ()
        return [
            vm.address
            for vm in vms
            if vm.address and vm.address != self._own_peer
        ]

    def _exchange(self, peers, digest):
        for peer in peers[:ASKED_PER_ZONE]:
            reply = self._client.ask(peer, digest, WAIT_S)
            if isinstance(reply, messages.ZoneDigest):
                if reply.revision > self._current.revision:
                    self._pull_tables(peer)
                return reply
        return None
