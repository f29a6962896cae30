"""Exchanges loads with the other daemons over UDP."""

import socket
import threading
import time

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import loadshare
from samphirepost_daemon.entry import store

# Shortest time between two messages to one peer (s): in it some three
# requests arrive at the whole fleet at its peak, fewer than slots are spare.
FLUSH_S = 0.04
# Longest time between two messages (s).
BEAT_S = 0.2
DATAGRAM_BYTES_MAX = 65_000
TABLE = "members"
WRITE_RETRY_S = 1.0

_decoder = msgspec.msgpack.Decoder(loadshare.Report | loadshare.Totals)


class Peers(threading.Thread):
    """Reports to the hub, and is a hub for those that report here."""

    def __init__(self, me, address, port, board, log):
        super().__init__(daemon=True, name="peers")
        self._me = me
        self._address = (address, port)
        self._board = board
        self._log = log
        self._hub = loadshare.Hub()
        self.ranking = loadshare.Ranking()
        self._sock = None
        self._sent = {}
        self._current = None

    def alive(self):
        """Returns the ids of the members, or None if they are not known."""
        return set(self.ranking.members) or None

    def run(self):
        """Exchanges loads for as long as the process lives."""
        self._sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._sock.bind(self._address)
        self._sock.settimeout(FLUSH_S)
        flush_s = 0.0
        while True:
            self._receive()
            now_s = time.monotonic()
            if now_s >= flush_s:
                self._flush(now_s)
                flush_s = now_s + FLUSH_S

    def _receive(self):
        try:
            data, address = self._sock.recvfrom(DATAGRAM_BYTES_MAX)
        except TimeoutError:
            return
        except OSError as exc:
            self._log.event("peer.receive", reason=repr(exc))
            return
        try:
            message = _decoder.decode(data)
        except msgspec.DecodeError as exc:
            self._log.event("peer.unreadable", reason=str(exc))
            return
        now_s = time.monotonic()
        if isinstance(message, loadshare.Report):
            self._hub.take(message, address, now_s)
        elif message.vm == self._current:
            self.ranking.heard(message.vm, now_s)
            self._board.take_others(message.counts, now_s)

    def _flush(self, now_s):
        hub = self.ranking.hub(self._me, now_s)
        if hub != self._current:
            self._log.event("hub.changed", hub=hub, before=self._current)
            self._current = hub
        own = loadshare.Report(self._me, self._board.own())
        self._hub.take(own, self._address, now_s)
        if hub is not None and hub != self._me:
            self._send(self.ranking.members[hub], own, now_s)
        for vm, others in self._hub.others(now_s).items():
            if vm != self._me:
                totals = loadshare.Totals(self._me, others)
                self._send(self._hub.address(vm), totals, now_s)
            elif hub == self._me:
                self._board.take_others(others, now_s)

    def _send(self, address, message, now_s):
        data = codec.pack(message)
        sent_s, last = self._sent.get(address, (0.0, b""))
        if data == last and now_s - sent_s < BEAT_S:
            return
        self._sent[address] = (now_s, data)
        try:
            self._sock.sendto(data, address)
        except OSError as exc:
            self._log.event("peer.send", reason=repr(exc))


class Members:
    """Follows the members table for the ranking of hubs."""

    def __init__(self, ranking, log):
        self._ranking = ranking
        self._log = log

    def replace(self, rows):
        """Takes all rows."""
        self._ranking.members = {
            row.value.decode(): _address(row.key.key) for row in rows
        }

    def change(self, rows):
        """Takes changed rows."""
        members = dict(self._ranking.members)
        for row in rows:
            address = _address(row.key.key)
            for vm in [v for v, a in members.items() if a == address]:
                del members[vm]
            if not row.deleted:
                members[row.value.decode()] = address
        self._ranking.members = members
        if rows:
            self._log.event("members.changed", members=len(members))

    def failed(self):
        """Keeps the members as they are."""


class Membership(threading.Thread):
    """Writes this daemon's row when it starts, and removes it at the end."""

    def __init__(self, client, me, address, port, log):
        super().__init__(daemon=True, name="membership")
        self._store = client
        self._me = me
        self._key = store.Key(TABLE, "", f"{address}:{port}")
        self._log = log

    def run(self):
        """Writes the row, until the store has it."""
        row = store.Transaction({}, {self._key: self._me.encode()})
        while True:
            found = self._store.commit(row)
            if isinstance(found, store.CommitReceipt):
                return
            reason = getattr(found, "reason", "conflict")
            self._log.failure("member.unwritten", reason=reason)
            threading.Event().wait(WRITE_RETRY_S)

    def leave(self):
        """Removes the row; peers pass a row that stays over."""
        found = self._store.commit(store.Transaction({}, {}, (self._key,)))
        if isinstance(found, errors.Failure):
            self._log.failure("member.unremoved", reason=found.reason)


def _address(key):
    host, _, port = key.rpartition(":")
    return host, int(port)
