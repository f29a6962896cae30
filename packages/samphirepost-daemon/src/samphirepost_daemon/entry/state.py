"""State of one entry daemon, as shared by its threads."""

import time

from samphirepost import leaving
from samphirepost import roster
from samphirepost import routing
from samphirepost import slotmessages
from samphirepost_daemon.entry import settings

# Tables that were confirmed within this time (s) are taken for the newest:
# changes are read within one wait of a feed, and a feed that stalls is retried
# after 1.4 s.
TABLE_FRESH_S = 2.5


class State:
    """The active tables, the engines, and what a shutdown waits for.

    The tables and all times are None until known; times are monotonic (s).
    `quarantine_read` once the quarantined causes have been read. From the
    beginning of a stop on, all responses must be complete at `exit_s`.

    `newest_revision` is that of the newest tables known to exist, and
    `table_confirmed_s` when this daemon's were last known to be the newest, on
    the clock that also runs while the VM is suspended. `is_store_lost` while
    the store does not answer this daemon's reads of the tables.
    """

    __slots__ = (
        "exit_s",
        "_revocation",
        "held_jobs",
        "is_store_lost",
        "marks",
        "newest_revision",
        "quarantine_read",
        "roster",
        "stop_began_s",
        "table",
        "table_confirmed_s",
        "table_read_s",
    )

    def __init__(self, revocation=None):
        self._revocation = revocation or settings.RevocationSettings()
        self.newest_revision = 0
        self.table_confirmed_s = None
        self.is_store_lost = False
        self.table = None
        self.table_read_s = None
        self.roster = roster.Roster()
        self.marks = leaving.EngineMarks()
        self.stop_began_s = None
        self.exit_s = None
        self.held_jobs = 0
        self.quarantine_read = False

    def apply_table(self, table):
        """Activates a table if it is newer; returns whether it is."""
        newest = routing.newer_table(self.table, table)
        is_newer = newest is not self.table
        self.table = newest
        self.newest_revision = max(self.newest_revision, newest.revision)
        return is_newer

    def record_table_read(self):
        """Records that the store answered with all changes of the tables."""
        self.table_read_s = time.monotonic()
        self.table_confirmed_s = boottime_s()
        self.is_store_lost = False

    def record_table_failure(self):
        """Records that the store did not answer a read of the tables."""
        self.is_store_lost = True

    def record_peer_tables(self, tables):
        """Records the newest tables of any daemon, by the hub's word.

        `tables` is a slotmessages.TablesAge.
        """
        self.newest_revision = max(self.newest_revision, tables.revision)
        own = self.table
        if own is None or own.revision != tables.revision:
            return
        if tables.age_s is None or self.is_behind:
            return
        confirmed_s = boottime_s() - tables.age_s
        if confirmed_s > (self.table_confirmed_s or 0.0):
            self.table_confirmed_s = confirmed_s

    def table_age_s(self):
        """Returns how long ago the tables were known to be the newest (s).

        Returns None if they never were.
        """
        if self.table_confirmed_s is None:
            return None
        return boottime_s() - self.table_confirmed_s

    def knows_tables_since(self, since_s, now_s):
        """Whether these are the newest tables of some instant after another.

        `since_s` is that other instant and `now_s` the present one, both
        monotonic. An answer of the store may be as old as its request.
        """
        age_s = self.table_age_s()
        if self.is_behind or age_s is None:
            return False
        return age_s + TABLE_FRESH_S < now_s - since_s

    def tables_age(self):
        """Returns the slotmessages.TablesAge of this daemon."""
        if self.table is None:
            return slotmessages.UNKNOWN_TABLES
        age_s = None if self.is_behind else self.table_age_s()
        return slotmessages.TablesAge(self.table.revision, age_s)

    @property
    def is_behind(self):
        """Whether tables are known to exist that are newer than these."""
        return self.table is None or (
            self.table.revision < self.newest_revision
        )

    def may_be_outdated(self):
        """Whether newer tables than these may exist."""
        age_s = self.table_age_s()
        return self.is_behind or age_s is None or age_s > TABLE_FRESH_S

    def may_have_lost_keys(self):
        """Whether a key may have been withdrawn for too long to accept it.

        While the store does not answer, the keys that are known stay in use,
        unless the settings are strict: most likely no operator can withdraw
        one then. Without an outage, this VM was suspended.
        """
        age_s = self.table_age_s()
        if age_s is not None and age_s <= self._revocation.bound_s:
            return False
        return self._revocation.is_strict or not self.is_store_lost

    @property
    def ready(self):
        """Whether the load balancer may send callers to this daemon."""
        return (
            self.table is not None
            and self.roster.last_read_s is not None
            and self.quarantine_read
            and self.stop_began_s is None
        )

    def admits(self, now_s, needed_s):
        """Whether a request that takes up to `needed_s` ends before the exit.

        One that is not admitted has to be refused: the exit might cut it off.
        """
        return self.exit_s is None or now_s + needed_s <= self.exit_s

    def engines(self, pool):
        """Returns the pool's engines that accept new work."""
        now_s = time.monotonic()
        return [
            engine
            for engine in self.roster.usable_engines(pool, now_s)
            if not self.marks.is_marked(engine, now_s)
        ]

    def is_usable(self, engine):
        """Whether this incarnation of an engine still accepts new work."""
        now_s = time.monotonic()
        listed = self.roster.usable_engine(engine.id, now_s)
        return (
            listed is not None
            and listed.started_ms == engine.started_ms
            and not self.marks.is_marked(engine, now_s)
        )

    def pools(self):
        """Returns the names of the pools in the active tables."""
        return list(self.table.pools) if self.table else []

    def registry_age_s(self, now_s):
        """Returns the age of the list of engines (s); None before it."""
        read_s = self.roster.last_read_s
        return None if read_s is None else now_s - read_s

    def age_fields(self):
        """Returns log fields: the tables' revision and age, the roster's age.

        Logged with decisions, to show which data they were based on.
        """
        now_s = time.monotonic()
        return {
            "revision": self.table.revision if self.table else None,
            "tables_age_s": _age_s(now_s, self.table_read_s),
            "engines_age_s": _age_s(now_s, self.roster.last_read_s),
        }


def boottime_s():
    """Returns the time of a clock that runs while the VM is suspended (s)."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def _age_s(now_s, read_s):
    return None if read_s is None else round(now_s - read_s, 3)
