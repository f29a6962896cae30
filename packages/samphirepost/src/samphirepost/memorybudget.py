"""One budget of bytes for all that a process keeps for others.

Every reader takes from the budget before it keeps data, and gives back what
it drops. Each kind of data has a part of the budget of its own. Within a kind,
dynamic thresholds (Choudhury and Hahne, 1998) bound each holder: it may have
as much as it leaves free, so that one holder gets half of the kind at most and
two get a third each if they grow together. Holders that come one after the
other halve what is free each time; a reserve for small holders is therefore
never given to large ones.
"""

import enum
import threading

# Part of a VM's memory that is kept for others; the rest is for the process
# itself and for what an allocator cannot return.
BUDGET_SHARE = 0.6
# A VM of unknown size counts as the smallest one (MB).
MEMORY_DEFAULT_MB = 160.0
BYTES_PER_MB = 1_000_000
# Part of each kind that only holders of up to SMALL_BYTES get.
RESERVE_SHARE = 1 / 16
SMALL_BYTES = 65_536


class Kind(enum.Enum):
    """What data is kept for; see SHARES.

    BODY: bodies of a job's items. JOB: the rest of a job that is held. ITEM:
    outputs of items.
    """

    BODY = "body"
    CALLER = "caller"
    ENGINE = "engine"
    ITEM = "item"
    JOB = "job"
    RELAY = "relay"
    STORE = "store"


# Part of the budget for each kind. On the smallest VM, the part of callers has
# room for two bodies of the largest legal size with a copy each, that of
# relays for one order with such a body, and that of bodies for the item of any
# job that callers may send.
SHARES = {
    Kind.BODY: 0.11,
    Kind.CALLER: 0.292,
    Kind.ENGINE: 0.208,
    Kind.ITEM: 0.108,
    Kind.JOB: 0.055,
    Kind.RELAY: 0.1,
    Kind.STORE: 0.125,
}


class _Part:
    """The bytes of one kind, by holder."""

    __slots__ = ("free", "held", "reserve", "size")

    def __init__(self, size):
        self.size = size
        self.free = size
        self.held = {}
        self.reserve = int(RESERVE_SHARE * size)

    def admits(self, held, left):
        """Whether a holder may have `held` bytes, which leaves `left` free."""
        if held > SMALL_BYTES:
            left -= self.reserve
        return held <= left


class Budget:
    """The bytes that the process keeps, by kind and holder; thread-safe.

    `refused` counts refusals by kind since the start.
    """

    __slots__ = ("_lock", "_parts", "refused")

    def __init__(self, total_bytes):
        self._lock = threading.Lock()
        self._parts = {
            kind: _Part(int(share * total_bytes))
            for kind, share in SHARES.items()
        }
        self.refused = dict.fromkeys(Kind, 0)

    def account(self, kind, holder):
        """Returns a new Account of a holder, such as a caller's address."""
        return Account(self, kind, holder)

    def take(self, kind, holder, count):
        """Takes bytes for a holder; returns whether they were free."""
        if not count:
            return True
        part = self._parts[kind]
        with self._lock:
            held = part.held.get(holder, 0) + count
            if not part.admits(held, part.free - count):
                self.refused[kind] += 1
                return False
            part.free -= count
            part.held[holder] = held
        return True

    def give_back(self, kind, holder, count):
        """Gives bytes of a holder back."""
        part = self._parts[kind]
        with self._lock:
            part.free += count
            held = part.held[holder] - count
            if held:
                part.held[holder] = held
            else:
                del part.held[holder]

    def size(self, kind):
        """Returns all bytes of a kind, free or not."""
        return self._parts[kind].size

    def largest(self, kind):
        """Returns the most that one holder gets while there is no other."""
        part = self._parts[kind]
        return max((part.size - part.reserve) // 2, SMALL_BYTES)

    def held(self, kind):
        """Returns the bytes of a kind that are kept."""
        part = self._parts[kind]
        return part.size - part.free

    def held_by(self, kind, holder):
        """Returns the bytes of a kind that one holder keeps."""
        return self._parts[kind].held.get(holder, 0)


class Account:
    """What one reader keeps; close() gives everything back.

    Used by one thread at a time.
    """

    __slots__ = ("_budget", "_holder", "_kind", "held")

    def __init__(self, budget, kind, holder):
        self._budget = budget
        self._kind = kind
        self._holder = holder
        self.held = 0

    def take(self, count):
        """Takes bytes; returns whether they were free."""
        if not self._budget.take(self._kind, self._holder, count):
            return False
        self.held += count
        return True

    def give_back(self, count):
        """Gives bytes back that are no longer kept."""
        count = min(count, self.held)
        if count:
            self.held -= count
            self._budget.give_back(self._kind, self._holder, count)

    def close(self):
        """Gives all bytes back; may be called repeatedly."""
        self.give_back(self.held)


def budget_bytes(memory_mb):
    """Returns the bytes that a VM of `memory_mb` keeps for others."""
    size_mb = memory_mb or MEMORY_DEFAULT_MB
    return int(BUDGET_SHARE * size_mb * BYTES_PER_MB)
