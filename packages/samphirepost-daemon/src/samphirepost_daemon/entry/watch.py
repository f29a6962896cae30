"""Follows tables of the store and passes their rows to sinks.

A sink has three methods, called from the thread of its TableWatcher:
replace(rows, store_ms) with all rows, apply_changes(rows, store_ms) with the
rows changed since, and handle_failure() for each request that the store does
not answer. `store_ms` is the store's time of its answer. Sinks are TablesSink,
EnginesSink, members.MembersSink, quarantinetable.QuarantineSink and
versiontable.BasesSink.
"""

import threading
import time

from samphirepost import errors
from samphirepost_daemon.entry import store
from samphirepost_daemon.platform import registry

# Longest wait of one feed (a request for changes). A feed that stalls is
# retried after this plus client.FEED_TIMEOUT_MARGIN_S; a configuration change
# must be applied within 2 s.
FEED_WAIT_MAX_S = 1.0
# Pause after a failed request.
RETRY_DELAY_S = 0.25


class TableWatcher(threading.Thread):
    """Reads one table, then follows its changes.

    Reads the whole table again when the change history was compacted.
    """

    def __init__(self, client, table, sink, log, wait_s=FEED_WAIT_MAX_S):
        super().__init__(daemon=True, name=f"watch-{table}")
        self._wait_s = wait_s
        self._client = client
        self._table = table
        self._sink = sink
        self._log = log
        self._revision = None
        self._in_outage = False

    def run(self):
        """Follows the table until the process exits."""
        while True:
            try:
                answered = self.poll_once()
            except Exception as exc:
                # The next read is one of all rows, as some may be missed.
                self._log.failure(
                    "fault", where=f"watch-{self._table}", error=repr(exc)
                )
                self._revision = None
                answered = False
            if not answered:
                threading.Event().wait(RETRY_DELAY_S)

    def poll_once(self):
        """Makes one store request; returns whether the store answered."""
        if self._revision is None:
            answer = registry.read_table(self._client, self._table)
        else:
            answer = self._client.read_changes(
                self._table, self._revision, self._wait_s
            )
        if isinstance(answer, errors.Failure):
            self._record_failure(answer)
            return False
        if isinstance(answer, store.HistoryCompacted):
            self._log.event("watch.history_lost", table=self._table)
            self._revision = None
            return True
        if self._in_outage:
            self._log.event("store.regained", table=self._table)
            self._in_outage = False
        if isinstance(answer, store.Page):
            self._sink.replace(answer.rows, answer.store_ms)
        else:
            self._sink.apply_changes(answer.rows, answer.store_ms)
        self._revision = answer.revision
        return True

    def _record_failure(self, failure):
        self._sink.handle_failure()
        if not self._in_outage:
            self._log.failure(
                "store.lost", table=self._table, reason=failure.reason
            )
            self._in_outage = True


class TablesSink:
    """Applies new configuration tables."""

    def __init__(self, state, log):
        self._state = state
        self._log = log

    def replace(self, rows, store_ms):
        """Applies all rows."""
        self.apply_changes(rows, store_ms)

    def apply_changes(self, rows, _store_ms):
        """Applies the tables in the changed rows; logs invalid ones."""
        for row in rows:
            table = registry.decode_routing_table(row)
            if isinstance(table, errors.Failure):
                self._log.failure("tables.refused", reason=table.reason)
            elif table is not None:
                self._apply(table)
        self._state.record_table_read()

    def handle_failure(self):
        """Records the failure: the active tables stay in use in an outage."""
        self._state.record_table_failure()

    def _apply(self, table):
        if self._state.apply_table(table):
            self._log.event(
                "tables.in_force",
                revision=table.revision,
                routes=len(table.routes),
            )


class EnginesSink:
    """Keeps the roster of engines up to date."""

    def __init__(self, state, log):
        self._roster = state.roster
        self._log = log

    def replace(self, rows, _store_ms):
        """Replaces the roster by the engines in `rows`."""
        engines = [
            engine for engine in map(self._decode, rows) if engine is not None
        ]
        self._roster.apply_full_read(engines, time.monotonic())
        self._log.event("engines.read", engines=len(engines))

    def apply_changes(self, rows, _store_ms):
        """Applies changed and removed engines."""
        now_s = time.monotonic()
        self._roster.record_read(now_s)
        for row in rows:
            if row.deleted:
                self._roster.apply_removal(row.key.key, now_s)
                self._log.event("engine.gone", engine=row.key.key)
                continue
            engine = self._decode(row)
            if engine is not None:
                self._update(engine, now_s)

    def handle_failure(self):
        """Records that the registry is unavailable."""
        self._roster.record_outage()

    def _update(self, engine, now_s):
        known = self._roster.get(engine.id)
        self._roster.apply_entry(engine, now_s)
        if known != engine:
            self._log.event(
                "engine.listed",
                engine=engine.id,
                pool=engine.pool,
                draining=engine.draining,
                version=engine.version,
            )

    def _decode(self, row):
        """Returns the engine in a row; logs an invalid row, returns None."""
        engine = registry.decode_engine(row)
        if isinstance(engine, errors.Failure):
            self._log.failure("engine.unusable", reason=engine.reason)
            return None
        return engine
