"""The tables in force at this daemon, and their rows on the platform."""

import collections
import threading

import eliot
import msgspec

from samphirepost import codec
from samphirepost import errors
from samphirepost import messages
from samphirepost import tables
from samphirepost_daemon import metrics

HEAD_KEY = "control/head"
CURRENT_KEY = "tables/current"
AUDIT_PREFIX = "audit/"
STEPS_MAX = 64


class Head(msgspec.Struct, frozen=True):
    """The newest revision; coordinators read this row often."""

    revision: int = 0


class Current:
    """Holds the newest tables that this daemon has; never moves back."""

    __slots__ = ("_lock", "_steps", "callers", "tables")

    def __init__(self):
        self._lock = threading.Lock()
        self._steps = collections.deque(maxlen=STEPS_MAX)
        self.tables = tables.Tables()
        self.callers = {}

    @property
    def revision(self):
        """The revision in force here."""
        return self.tables.revision

    def offer(self, candidate):
        """Takes the tables if they are newer."""
        with self._lock:
            chosen = tables.newer(self.tables, candidate)
            if chosen is self.tables:
                return
            self._note_step(chosen)
            self.callers = {
                caller.token_sha256: name
                for name, caller in chosen.callers.items()
            }
            self.tables = chosen
        metrics.TABLES_REVISION.set(chosen.revision)
        eliot.log_message(
            message_type="tables:in-force", revision=chosen.revision
        )

    def _note_step(self, chosen):
        changes = tables.changes(self.tables, chosen)
        step = tables.Step(self.revision, chosen.revision, changes)
        self._steps.append(step)

    def answer(self, revision):
        """Returns the reply to a peer that has the tables at `revision`."""
        with self._lock:
            steps = [s for s in self._steps if s.previous >= revision]
            if steps and steps[0].previous == revision:
                return messages.TablesReply(None, tuple(steps))
            return messages.TablesReply(self.tables)

    def take(self, reply):
        """Takes a peer's reply, whole or in steps."""
        if reply.tables is not None:
            self.offer(reply.tables)
        elif reply.steps:
            self.offer(tables.apply_steps(self.tables, reply.steps))


def audit_key(revision):
    """Returns the key of a revision's audit row; keys sort by revision."""
    return f"{AUDIT_PREFIX}{revision:012d}"


def read_head(table):
    """Returns the newest revision's number, or a Failure."""
    row = table.read(HEAD_KEY)
    if isinstance(row, errors.Failure):
        return row
    return 0 if row is None else codec.unpack(row.value, Head).revision


def head_in(rows):
    """Returns the newest revision's number among control rows."""
    for row in rows:
        if row.key == HEAD_KEY:
            return codec.unpack(row.value, Head).revision
    return 0


def read_tables(table):
    """Returns the newest tables, or a Failure."""
    row = table.read(CURRENT_KEY)
    if row is None:
        return tables.Tables()
    if isinstance(row, errors.Failure):
        return row
    return codec.unpack(row.value, tables.Tables)
