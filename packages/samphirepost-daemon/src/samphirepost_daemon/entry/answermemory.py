"""What is kept of one answer of an engine, and how much it may have.

The budget is asked in steps of STEP_BYTES, so that a stream of small events
takes from it once and not with each event.
"""

import enum

from samphirepost import answerbounds
from samphirepost import memorybudget

STEP_BYTES = 8192
# Copies of the bytes read at a time: as received, in the parsers of HTTP and
# of events, and as events.
READ_COPIES = 4
# An event's objects beside the bytes of its line and its data.
EVENT_OBJECT_BYTES = 200


class Excess(enum.Enum):
    """Why no more of an answer is kept.

    BOUND: the answer exceeds its bound, which is the engine's failure.
    MEMORY: the process has no memory free for it.
    """

    BOUND = "bound"
    MEMORY = "memory"


class AnswerMemory:
    """Counts one answer; used by one thread.

    `account` is a memorybudget.Account, or None if nothing is counted there.
    """

    __slots__ = (
        "_account",
        "_bound",
        "_engine",
        "_events",
        "_kept",
        "_log",
        "_read",
        "_received",
    )

    def __init__(
        self, account=None, bound=answerbounds.UNKNOWN, engine="", log=None
    ):
        self._account = account
        self._bound = bound
        self._engine = engine
        self._log = log
        self._events = 0
        self._kept = 0
        self._read = 0
        self._received = 0

    def receive(self, count):
        """Counts received bytes; returns None, or an Excess."""
        self._received += count
        if self._received > self._bound.bytes:
            return self._refuse(Excess.BOUND)
        if count > self._read:
            self._read = count
            return self._cover()
        return None

    def announce(self, count):
        """Checks the length that an answer's head names.

        Returns None, or an Excess.
        """
        if count > self._bound.bytes:
            return self._refuse(Excess.BOUND, announced=count)
        return None

    def count_events(self, count):
        """Counts events; returns None, or an Excess."""
        self._events += count
        if self._events > self._bound.events:
            return self._refuse(Excess.BOUND)
        return None

    def keep(self, count):
        """Sets how many bytes are kept beside those read at a time.

        Returns None, or an Excess.
        """
        self._kept = count
        return self._cover()

    def _cover(self):
        account = self._account
        if account is None:
            return None
        missing = self._kept + READ_COPIES * self._read - account.held
        if missing <= 0:
            return None
        steps = -(-missing // STEP_BYTES)
        if account.take(steps * STEP_BYTES):
            return None
        return self._refuse(Excess.MEMORY)

    def _refuse(self, excess, announced=0):
        if self._log is not None:
            self._log.event(
                "answer.refused",
                engine=self._engine,
                excess=excess.value,
                bytes_max=self._bound.bytes,
                events_max=self._bound.events,
                received=self._received,
                events=self._events,
                announced=announced,
            )
        return excess

    def hand_over(self):
        """Returns the Account, which now has what is kept, or None.

        close() does not close it any more.
        """
        account, self._account = self._account, None
        if account is not None:
            account.give_back(account.held - self._kept)
        return account

    def close(self):
        """Gives everything back; may be called repeatedly."""
        if self._account is not None:
            self._account.close()


class AnswerMemories:
    """Returns the AnswerMemory of each answer of an engine."""

    def __init__(self, budget, log):
        self._budget = budget
        self._log = log

    def of(self, engine_id, bound):
        """Returns that of one answer of an engine, with its Bound."""
        account = self._budget.account(memorybudget.Kind.ENGINE, engine_id)
        return AnswerMemory(account, bound, engine_id, self._log)
