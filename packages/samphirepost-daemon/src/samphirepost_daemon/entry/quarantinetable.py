"""Keeps what crashes engines in the store, and reads it there.

A row outlives the hub that decided and the daemons that know of it. All
instants are monotonic seconds, but for those in rows: store time (ms).
"""

import queue
import threading
import time

import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import quarantine
from samphirepost_daemon.entry import store

QUARANTINE_TABLE = "quarantine"
WRITE_RETRY_DELAY_S = 0.5
# Interval at which rows that are no longer needed are looked for (s).
FORGET_INTERVAL_S = 60.0


class StoredCause(msgspec.Struct, frozen=True):
    """A row of the table: until when a cause is quarantined (store ms)."""

    since_ms: int
    until_ms: int
    strikes: int


class QuarantineSink:
    """Passes the rows of the table to the daemon's Quarantine.

    A sink of watch.TableWatcher, called from its thread.
    """

    def __init__(self, parts, clock):
        self._quarantine = parts.quarantine
        self._state = parts.state
        self._log = parts.log
        self._clock = clock

    def replace(self, rows, store_ms):
        """Replaces all stored causes by those in `rows`."""
        self._clock.record(store_ms, time.monotonic())
        decoded = {row.key.key: self._decode(row) for row in rows}
        self._quarantine.replace(
            {cause: one for cause, one in decoded.items() if one is not None}
        )
        self._state.quarantine_read = True

    def apply_changes(self, rows, store_ms):
        """Applies the changed rows."""
        self._clock.record(store_ms, time.monotonic())
        for row in rows:
            cause = row.key.key
            found = None if row.deleted else self._decode(row)
            if found is None:
                self._quarantine.remove(cause)
            else:
                self._quarantine.put(cause, found)
            self._log.event(
                "cause.stored", cause=cause, quarantined=found is not None
            )

    def handle_failure(self):
        """Does nothing: the causes last read stay in quarantine."""

    def _decode(self, row):
        """Returns the Quarantined in a row; logs an invalid row."""
        stored = codec.read(row.value, StoredCause)
        if isinstance(stored, errors.Failure):
            self._log.failure(
                "quarantine.unusable", key=row.key.key, reason=stored.reason
            )
            return None
        return quarantine.Quarantined(
            self._clock.instant_s(stored.since_ms),
            self._clock.instant_s(stored.until_ms),
            stored.strikes,
        )


class QuarantineWriter(threading.Thread):
    """Writes the hub's decisions to the table, each until it is stored."""

    def __init__(self, client, parts, clock):
        super().__init__(daemon=True, name="quarantine")
        self._store = client
        self._quarantine = parts.quarantine
        self._log = parts.log
        self._clock = clock
        self._decisions = queue.SimpleQueue()

    def put(self, cause, quarantined):
        """Stores a Quarantined of a cause; returns at once."""
        self._decisions.put((cause, quarantined))

    def remove(self, cause):
        """Removes a cause from the table; returns at once."""
        self._decisions.put((cause, None))

    def run(self):
        """Writes decisions until the process exits."""
        while True:
            try:
                cause, decided = self._decisions.get(timeout=FORGET_INTERVAL_S)
            except queue.Empty:
                self._remove_forgotten()
                continue
            while not self._write(cause, decided):
                threading.Event().wait(WRITE_RETRY_DELAY_S)

    def _remove_forgotten(self):
        for cause in self._quarantine.forgotten(time.monotonic()):
            self.remove(cause)

    def _write(self, cause, decided):
        """Makes one attempt; returns whether the decision is stored."""
        if not self._clock.is_known:
            return False
        key = store.Key(QUARANTINE_TABLE, "", cause)
        transaction = store.Transaction({}, {}, (key,))
        if decided is not None:
            row = StoredCause(
                self._clock.store_ms(decided.since_s),
                self._clock.store_ms(decided.until_s),
                decided.strikes,
            )
            transaction = store.Transaction({}, {key: codec.pack(row)})
        result = self._store.commit(transaction)
        if isinstance(result, errors.Failure):
            self._log.failure(
                "quarantine.unwritten", cause=cause, reason=result.reason
            )
            return False
        return True
