"""Which tables are the newest, by the reports of all daemons.

Instants are those of a clock that also runs while the VM is suspended.
"""

from samphirepost import slotmessages


class ReportedTables:
    """The newest revision that a daemon reported, kept by the hub."""

    __slots__ = ("_confirmed_s", "_revision")

    def __init__(self):
        self._revision = 0
        self._confirmed_s = None

    def apply(self, tables, now_s):
        """Applies the slotmessages.TablesAge of a report."""
        if tables.revision < self._revision or not tables.revision:
            return
        if tables.revision > self._revision:
            self._revision = tables.revision
            self._confirmed_s = None
        if tables.age_s is None:
            return
        confirmed_s = now_s - max(0.0, tables.age_s)
        if self._confirmed_s is None or confirmed_s > self._confirmed_s:
            self._confirmed_s = confirmed_s

    def newest(self, now_s):
        """Returns the TablesAge of the newest tables that are known."""
        if self._confirmed_s is None:
            return slotmessages.TablesAge(self._revision)
        age_s = round(now_s - self._confirmed_s, 3)
        return slotmessages.TablesAge(self._revision, age_s)
