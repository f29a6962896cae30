"""Records of jobs in memory, as far as the memory budget has room for them.

All bodies of waiting items that a daemon keeps are here; those of running
items are counted by their runs.
"""

import collections
import threading

from samphirepost import joboutline
from samphirepost import memorybudget

KIND = memorybudget.Kind.BODY
# The cache is one holder in the budget, so that runs find room beside it.
HOLDER = "record cache"


class RecordCache:
    """The most recently used records by their jobs' keys; thread-safe.

    `budget` is a memorybudget.Budget.
    """

    def __init__(self, budget):
        self._budget = budget
        self._records = collections.OrderedDict()
        self._lock = threading.Lock()

    def __contains__(self, key):
        with self._lock:
            return key in self._records

    def get(self, key):
        """Returns the record of a job, or None."""
        with self._lock:
            if key not in self._records:
                return None
            self._records.move_to_end(key)
            return self._records[key][0]

    def put(self, key, record):
        """Keeps a record in place of older ones, if there is room for it."""
        size = _kept_bytes(record)
        if size > self._budget.largest(KIND):
            return
        with self._lock:
            self._remove(key)
            while not self._budget.take(KIND, HOLDER, size):
                if not self._remove_oldest():
                    return
            self._records[key] = (record, size)

    def remove(self, key):
        """Drops the record of a job, if it is kept."""
        with self._lock:
            self._remove(key)

    def remove_oldest(self):
        """Drops the least recently used record; returns False if none is."""
        with self._lock:
            return self._remove_oldest()

    def _remove_oldest(self):
        if not self._records:
            return False
        self._remove(next(iter(self._records)))
        return True

    def _remove(self, key):
        _, size = self._records.pop(key, (None, 0))
        if size:
            self._budget.give_back(KIND, HOLDER, size)


def _kept_bytes(record):
    bodies = sum(len(item.body) for item in record.items)
    return bodies + joboutline.outline_of(record).kept_bytes
