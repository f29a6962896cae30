"""State of one entry daemon, as shared by its threads."""

import time

from samphirepost import leaving
from samphirepost import roster
from samphirepost import routing


class State:
    """The active tables, the engines, and what a shutdown waits for.

    The tables and all times are None until known; times are monotonic (s).
    `quarantine_read` once the quarantined causes have been read. From the
    beginning of a stop on, all responses must be complete at `exit_s`.
    """

    __slots__ = (
        "exit_s",
        "held_jobs",
        "marks",
        "quarantine_read",
        "roster",
        "stop_began_s",
        "table",
        "table_read_s",
    )

    def __init__(self):
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
        return is_newer

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


def _age_s(now_s, read_s):
    return None if read_s is None else round(now_s - read_s, 3)
