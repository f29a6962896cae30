"""The tables active at this daemon, and their rows on the platform."""

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
# Steps retained for peers that lack a few revisions.
STEPS_MAX = 64


class Head(msgspec.Struct, frozen=True):
    """The newest revision, in a row of its own that is cheap to read often."""

    revision: int = 0


class ActiveTables:
    """Holds the newest tables known here; never replaces them by older ones.

    `callers` maps a token's SHA-256 to the caller's name.
    """

    __slots__ = ("_lock", "_steps", "callers", "tables")

    def __init__(self):
        self._lock = threading.Lock()
        self._steps = collections.deque(maxlen=STEPS_MAX)
        self.tables = tables.Tables()
        self.callers = {}

    @property
    def revision(self):
        """The active revision."""
        return self.tables.revision

    def apply_if_newer(self, candidate):
        """Applies the candidate tables if they are newer."""
        with self._lock:
            chosen = tables.newer(self.tables, candidate)
            if chosen is self.tables:
                return
            self._record_step(chosen)
            self.callers = {
                caller.token_sha256: name
                for name, caller in chosen.callers.items()
            }
            self.tables = chosen
        metrics.TABLES_REVISION.set(chosen.revision)
        eliot.log_message(
            message_type="tables:in-force", revision=chosen.revision
        )

    def _record_step(self, chosen):
        changes = tables.changes(self.tables, chosen)
        step = tables.Step(self.revision, chosen.revision, changes)
        self._steps.append(step)

    def reply_since(self, revision):
        """Returns the steps since `revision` if retained, else all tables."""
        with self._lock:
            steps = [s for s in self._steps if s.previous >= revision]
            if steps and steps[0].previous == revision:
                return messages.TablesReply(None, tuple(steps))
            return messages.TablesReply(self.tables)

    def apply_reply(self, reply):
        """Applies a peer's reply: all tables, or the steps to newer ones."""
        if reply.tables is not None:
            self.apply_if_newer(reply.tables)
        elif reply.steps:
            self.apply_if_newer(tables.apply_steps(self.tables, reply.steps))


def audit_key(revision):
    """Returns the key of a revision's audit row.

    The number is padded, so that keys sort by revision.
    """
    return f"{AUDIT_PREFIX}{revision:012d}"


def read_newest_revision(table):
    """Returns the newest revision, 0 if there is none, or a Failure."""
    row = table.read(HEAD_KEY)
    if isinstance(row, errors.Failure):
        return row
    return 0 if row is None else codec.unpack(row.value, Head).revision


def newest_revision_in(rows):
    """Returns the newest revision in the control rows, 0 if none."""
    for row in rows:
        if row.key == HEAD_KEY:
            return codec.unpack(row.value, Head).revision
    return 0


def read_tables(table):
    """Returns the newest tables, empty ones at first, or a Failure."""
    row = table.read(CURRENT_KEY)
    if row is None:
        return tables.Tables()
    if isinstance(row, errors.Failure):
        return row
    return codec.unpack(row.value, tables.Tables)
