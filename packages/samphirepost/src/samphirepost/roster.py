"""Which engines exist and take work, as the registry and outages tell.

All instants are monotonic seconds.
"""

import msgspec

# A registry that was away restores the entries of live engines within two
# seconds of its return (the users' letter); a little more for our own read.
RESTORE_S = 2.2
# A read counts as calm when the registry answered for this long before it;
# the platform's pages call a store stable after three seconds.
CALM_S = 3.0


class Engine(msgspec.Struct, frozen=True):
    """One incarnation of an engine; `started_ms` tells incarnations apart."""

    id: str
    pool: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    started_ms: int = 0


class Roster:
    """Engines by id; entries that vanish after an outage are kept a while."""

    __slots__ = ("_away", "_doomed", "_engines", "_restored_s", "read_s")

    def __init__(self):
        self._engines = {}
        self._doomed = {}
        self._away = False
        self._restored_s = None
        self.read_s = None

    def failed(self):
        """Notes that the registry did not answer."""
        self._away = True

    def replace(self, engines, now_s):
        """Takes the whole registry."""
        self._answered(now_s)
        listed = {engine.id: engine for engine in engines}
        for name in list(self._engines):
            if name not in listed:
                self._vanished(name, now_s)
        for engine in listed.values():
            self.put(engine, now_s)

    def put(self, engine, now_s):
        """Takes one entry that is new or has changed."""
        self._answered(now_s)
        self._engines[engine.id] = engine
        self._doomed.pop(engine.id, None)

    def remove(self, name, now_s):
        """Takes the removal of one entry."""
        self._answered(now_s)
        self._vanished(name, now_s)

    def calm(self, now_s):
        """Notes an answer without changes."""
        self._answered(now_s)

    def usable(self, pool, now_s):
        """Returns the pool's engines that may get new work."""
        self._expire(now_s)
        return [
            engine
            for engine in list(self._engines.values())
            if engine.pool == pool and not engine.draining
        ]

    def get(self, name):
        """Returns an engine by id, or None."""
        return self._engines.get(name)

    def __len__(self):
        return len(self._engines)

    def _answered(self, now_s):
        self.read_s = now_s
        if self._away:
            self._away = False
            self._restored_s = now_s

    def _vanished(self, name, now_s):
        if name not in self._engines:
            return
        if self._restored_s is None or now_s - self._restored_s > CALM_S:
            self._engines.pop(name)
            self._doomed.pop(name, None)
            return
        self._doomed.setdefault(name, self._restored_s + RESTORE_S)

    def _expire(self, now_s):
        for name, until_s in list(self._doomed.items()):
            if now_s >= until_s:
                self._engines.pop(name, None)
                self._doomed.pop(name, None)
