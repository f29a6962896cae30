"""What one daemon knows of its own paths to the engines.

A connection that fails may be the fault of the engine or of the path to it.
The engine is at fault if peers do not reach it either; a daemon that reaches
no engine at all has lost its paths. All instants are monotonic seconds.
"""

import enum
import threading

# A daemon that fails to reach this many engines, and reaches none meanwhile,
# counts as stranded: engines rarely end together.
STRANDED_ENGINES_MIN = 2
# Interval at which one engine that was not reached is tested again (s).
TEST_INTERVAL_S = 0.5


class Sight(enum.Enum):
    """What peers see of an engine; UNKNOWN if none of them can tell."""

    REACHED = "reached"
    UNREACHED = "unreached"
    UNKNOWN = "unknown"


class Fault(enum.Enum):
    """Why an engine is not reached; UNKNOWN if nothing tells."""

    PATH = "path"
    ENGINE = "engine"
    UNKNOWN = "unknown"


class UnreachedEngine:
    """An engine to which the last connection failed, at `failed_s`.

    `fault` tells whose fault that is, as far as it is known.
    """

    __slots__ = ("failed_s", "fault")

    def __init__(self, failed_s):
        self.failed_s = failed_s
        self.fault = Fault.UNKNOWN


class EnginePaths:
    """The engines that this daemon does not reach itself; thread-safe."""

    __slots__ = ("_lock", "_reached_s", "_unreached")

    def __init__(self):
        self._lock = threading.Lock()
        self._reached_s = 0.0
        self._unreached = {}

    def record_reached(self, engine_id, now_s):
        """Records a connection; returns whether the engine was unreached."""
        if not self._unreached:
            self._reached_s = now_s
            return False
        with self._lock:
            self._reached_s = now_s
            return self._unreached.pop(engine_id, None) is not None

    def record_unreached(self, engine_id, now_s):
        """Records that no connection to an engine could be opened."""
        with self._lock:
            found = self._unreached.get(engine_id)
            if found is None:
                self._unreached[engine_id] = UnreachedEngine(now_s)
            else:
                found.failed_s = now_s

    def judge(self, engine_id, reaches_others, sight):
        """Returns whose fault the failed connections to an engine are.

        `reaches_others` tells whether this daemon reaches other engines now,
        `sight` what peers see. A daemon that reaches others and hears of no
        peer that reaches this one holds the engine to be at fault.
        """
        fault = Fault.UNKNOWN
        if sight is Sight.REACHED:
            fault = Fault.PATH
        elif sight is Sight.UNREACHED or reaches_others:
            fault = Fault.ENGINE
        with self._lock:
            found = self._unreached.get(engine_id)
            if found is not None:
                found.fault = fault
        return fault

    def retain(self, engine_ids):
        """Forgets the engines that are no longer listed."""
        if not self._unreached:
            return
        with self._lock:
            for engine_id in self._unreached.keys() - set(engine_ids):
                del self._unreached[engine_id]

    def unreached(self):
        """Returns the ids of the engines that are not reached."""
        if not self._unreached:
            return ()
        with self._lock:
            return tuple(self._unreached)

    def is_unreached(self, engine_id):
        """Whether the last connection to an engine failed."""
        return engine_id in self._unreached

    def next_to_test(self, now_s):
        """Returns the engine to test again now, or None."""
        if not self._unreached:
            return None
        with self._lock:
            engine_id, oldest = min(
                self._unreached.items(), key=lambda pair: pair[1].failed_s
            )
        if now_s - oldest.failed_s < TEST_INTERVAL_S:
            return None
        return engine_id

    @property
    def is_doubtful(self):
        """Whether engines failed since one was reached.

        Those that are known to be at fault themselves do not count.
        """
        return self._failing_count() > 0

    def is_stranded(self, engine_count):
        """Whether this daemon reaches none of `engine_count` engines."""
        failing = self._failing_count()
        return 0 < min(STRANDED_ENGINES_MIN, engine_count) <= failing

    def _failing_count(self):
        """Returns how many engines failed since one was reached.

        Those at fault themselves are left out.
        """
        if not self._unreached:
            return 0
        with self._lock:
            return sum(
                one.failed_s > self._reached_s
                and one.fault is not Fault.ENGINE
                for one in self._unreached.values()
            )
