"""Follows the tables and the engines in the store."""

import threading
import time

from samphirepost import errors
from samphirepost_daemon.entry import store
from samphirepost_daemon.platform import registry

# Longest wait of one feed call (s). A feed that hangs is asked again after
# this and the client's slack, which leaves time to be within the 2 s that
# the users allow for a change.
FEED_WAIT_S = 1.0
# Pause after a failed call (s).
RETRY_S = 0.25


class Watch(threading.Thread):
    """Reads one table of the registry, then follows its changes."""

    def __init__(self, client, table, sink, log, wait_s=FEED_WAIT_S):
        super().__init__(daemon=True, name=f"watch-{table}")
        self._wait_s = wait_s
        self._client = client
        self._table = table
        self._sink = sink
        self._log = log
        self._after = None
        self._lost = False

    def run(self):
        """Follows the table for as long as the process lives."""
        while True:
            if not self.step():
                threading.Event().wait(RETRY_S)

    def step(self):
        """Makes one call; returns whether the store answered."""
        if self._after is None:
            found = registry.read_table(self._client, self._table)
        else:
            found = self._client.read_changes(
                self._table, self._after, self._wait_s
            )
        if isinstance(found, errors.Failure):
            self._failed(found)
            return False
        if isinstance(found, store.HistoryCompacted):
            self._log.event("watch.history_lost", table=self._table)
            self._after = None
            return True
        if self._lost:
            self._log.event("store.regained", table=self._table)
            self._lost = False
        if isinstance(found, store.Page):
            self._sink.replace(found.rows)
        else:
            self._sink.change(found.rows)
        self._after = found.revision
        return True

    def _failed(self, failure):
        self._sink.failed()
        if not self._lost:
            self._log.failure(
                "store.lost", table=self._table, reason=failure.reason
            )
            self._lost = True


class Tables:
    """Puts new tables in force."""

    def __init__(self, state, log):
        self._state = state
        self._log = log

    def replace(self, rows):
        """Takes all rows."""
        self.change(rows)

    def change(self, rows):
        """Takes changed rows."""
        self._state.table_read_s = time.monotonic()
        for row in rows:
            found = registry.decode_routing_table(row)
            if isinstance(found, errors.Failure):
                self._log.failure("tables.refused", reason=found.reason)
            elif found is not None:
                self._adopt(found)

    def failed(self):
        """Keeps the tables in force."""

    def _adopt(self, table):
        if self._state.adopt(table):
            self._log.event(
                "tables.in_force",
                revision=table.revision,
                routes=len(table.routes),
            )


class Engines:
    """Keeps the roster of engines."""

    def __init__(self, state, log):
        self._roster = state.roster
        self._log = log

    def replace(self, rows):
        """Takes the whole registry."""
        engines = [one for one in map(self._engine, rows) if one is not None]
        self._roster.replace(engines, time.monotonic())
        self._log.event("engines.read", engines=len(engines))

    def change(self, rows):
        """Takes changed entries."""
        now_s = time.monotonic()
        self._roster.calm(now_s)
        for row in rows:
            if row.deleted:
                self._roster.remove(row.key.key, now_s)
                self._log.event("engine.gone", engine=row.key.key)
                continue
            engine = self._engine(row)
            if engine is not None:
                self._put(engine, now_s)

    def failed(self):
        """Notes an outage."""
        self._roster.failed()

    def _put(self, engine, now_s):
        known = self._roster.get(engine.id)
        self._roster.put(engine, now_s)
        if known != engine:
            self._log.event(
                "engine.listed",
                engine=engine.id,
                pool=engine.pool,
                draining=engine.draining,
            )

    def _engine(self, row):
        found = registry.decode_engine(row)
        if isinstance(found, errors.Failure):
            self._log.failure("engine.unusable", reason=found.reason)
            return None
        return found
