"""What this daemon believes: the tables in force and the engines."""

import time

from samphirepost import roster
from samphirepost import routing


class State:
    """The tables, the engines, and what a stop has to wait for."""

    __slots__ = ("held_jobs", "roster", "stopping_s", "table", "table_read_s")

    def __init__(self):
        self.table = None
        self.table_read_s = None
        self.roster = roster.Roster()
        self.stopping_s = None
        self.held_jobs = 0

    def adopt(self, table):
        """Takes a table if it is newer; returns whether it is."""
        newest = routing.newer_table(self.table, table)
        changed = newest is not self.table
        self.table = newest
        return changed

    @property
    def ready(self):
        """Whether callers may be sent here."""
        return (
            self.table is not None
            and self.roster.last_read_s is not None
            and self.stopping_s is None
        )

    def engines(self, pool):
        """Returns the pool's engines that take new work."""
        return self.roster.usable_engines(pool, time.monotonic())

    def pools(self):
        """Returns the names of the pools in force."""
        return list(self.table.pools) if self.table else []

    def ages(self):
        """Returns what is logged of the beliefs behind a decision."""
        now_s = time.monotonic()
        return {
            "revision": self.table.revision if self.table else None,
            "tables_age_s": _age(now_s, self.table_read_s),
            "engines_age_s": _age(now_s, self.roster.last_read_s),
        }


def _age(now_s, read_s):
    return None if read_s is None else round(now_s - read_s, 3)
