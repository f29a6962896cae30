"""Follows the members table, and writes this daemon's row in it."""

import threading

from samphirepost import addresses
from samphirepost import errors
from samphirepost_daemon.entry import store

MEMBERS_TABLE = "members"
WRITE_RETRY_DELAY_S = 1.0


class MembersSink:
    """Passes the members in the members table to the HubSelector.

    A sink of watch.TableWatcher, called from its thread.
    """

    def __init__(self, hub_selector, log):
        self._hub_selector = hub_selector
        self._log = log

    def replace(self, rows, _store_ms):
        """Replaces all members by those in `rows`."""
        self._hub_selector.members = dict(
            member for member in map(self._decode, rows) if member is not None
        )

    def apply_changes(self, rows, _store_ms):
        """Applies the changed rows.

        A new member replaces the member that had its address before.
        """
        members = dict(self._hub_selector.members)
        for row in rows:
            member = self._decode(row)
            if member is None:
                continue
            new_vm, address = member
            for vm in [v for v, a in members.items() if a == address]:
                del members[vm]
            if not row.deleted:
                members[new_vm] = address
        self._hub_selector.members = members
        if rows:
            self._log.event("members.changed", members=len(members))

    def handle_failure(self):
        """Does nothing: the members last read stay in use during an outage."""

    def _decode(self, row):
        """Returns the VM id and address in a row; logs a malformed row."""
        address = addresses.parse(row.key.key)
        if isinstance(address, errors.Failure):
            return self._log_unusable(row, address.reason)
        try:
            return row.value.decode(), address
        except UnicodeDecodeError as exc:
            return self._log_unusable(row, str(exc))

    def _log_unusable(self, row, reason):
        self._log.failure("member.unusable", key=row.key.key, reason=reason)


class MembershipWriter(threading.Thread):
    """Writes this daemon's row at its start; leave() removes it.

    Only one of the two threads calls the store at a time, so that a write
    that is under way, or is tried again, can't follow the removal.
    """

    def __init__(self, client, me, address, port, log):
        super().__init__(daemon=True, name="membership")
        self._store = client
        self._me = me
        self._key = store.Key(MEMBERS_TABLE, "", f"{address}:{port}")
        self._log = log
        self._lock = threading.Lock()
        self._leaving = threading.Event()

    def run(self):
        """Writes the row; retries after WRITE_RETRY_DELAY_S until written."""
        while not self._write():
            if self._leaving.wait(WRITE_RETRY_DELAY_S):
                return

    def _write(self):
        """Makes one attempt, unless the daemon leaves; returns its success."""
        transaction = store.Transaction({}, {self._key: self._me.encode()})
        with self._lock:
            if self._leaving.is_set():
                return False
            result = self._store.commit(transaction)
        if isinstance(result, store.CommitReceipt):
            return True
        reason = getattr(result, "reason", "conflict")
        self._log.failure("member.unwritten", reason=reason)
        return False

    def leave(self):
        """Removes the row, with one attempt.

        Waits for a write that is under way. If the row remains, peers stop
        choosing this daemon as their hub once they receive nothing from it.
        """
        self._leaving.set()
        with self._lock:
            result = self._store.commit(
                store.Transaction({}, {}, (self._key,))
            )
        if isinstance(result, errors.Failure):
            self._log.failure("member.unremoved", reason=result.reason)
