"""The software version at which one online request has to run."""

import concurrent.futures
import time

from samphirepost import routing
from samphirepost import streamversions
from samphirepost_daemon.entry import versiontable

# Wait (s) for the record of an attempt that failed: several times what a write
# takes.
RECORD_SETTLE_S = 0.05


class StreamVersion:
    """Which engines may run one request; used by its thread.

    `version` is the software version at which it has to run, or None. A new
    stream that begins where a record is needed has to be recorded before its
    first event goes out: an attempt calls attempt_sent(), then may_begin().
    """

    __slots__ = (
        "_bases",
        "_pool",
        "_recorded",
        "_recording",
        "_req",
        "_state",
        "_streams",
        "source",
        "tracked",
        "version",
    )

    def __init__(self, parts, req, route, pool):
        self._bases = parts.bases
        self._state = parts.state
        self._streams = parts.streams
        self._req = req
        self._pool = pool
        # Other requests never go on after their first event.
        self.tracked = route.kind is routing.Kind.STREAM and route.resumable
        self.version = None
        self.source = None
        self._recording = None
        self._recorded = None

    @property
    def _is_taken_up(self):
        return self._req.resume_after is not None

    def find(self):
        """Finds the version of a stream that a caller takes up.

        Returns the streamversions.Unknown if it is not known for certain.
        """
        if not self.tracked or not self._is_taken_up:
            return None
        found = self._streams.find(self._pool, self._req.resumes)
        if isinstance(found, streamversions.Unknown):
            self.source = "unknown"
            return found
        self.version = found.version
        self.source = found.source
        return None

    def required(self, engines):
        """Returns the version to which an attempt is restricted, or None.

        While no record can be written, a new stream begins at the base
        version if there are engines of it.
        """
        if self.version is not None or not self.tracked:
            return self.version
        if self._streams.is_available(time.monotonic()):
            return None
        for engine in engines:
            if not self._needs_record(engine):
                return engine.version
        return None

    def _needs_record(self, engine):
        if self._recorded not in (None, engine.version):
            return True
        listed_s = self._state.roster.listed_s(engine.id)
        return self._bases.needs_record(engine, listed_s)

    def attempt_sent(self, engine):
        """Starts to record where the stream begins, if that is needed."""
        if not self.tracked or self._is_taken_up or self.version is not None:
            return
        if not self._needs_record(engine):
            return
        is_available = self._streams.is_available(time.monotonic())
        if is_available or not self._is_only_version(engine):
            self._recording = self._streams.record(self._req.id, engine)

    def _is_only_version(self, engine):
        """Whether no other engine could take the stream up wrongly."""
        return all(
            one.version == engine.version
            for one in self._state.roster.listed_engines(self._pool)
        )

    def may_begin(self, engine):
        """Whether the first event of an attempt may go out; waits for it.

        The stream goes on at the engine's version from then on.
        """
        if self._recording is not None and not self._is_recorded(
            versiontable.RECORD_WAIT_S
        ):
            if not self._is_only_version(engine):
                return False
        if self.tracked:
            self.version = engine.version
        return True

    def _is_recorded(self, wait_s):
        try:
            return self._recording.result(wait_s)
        except concurrent.futures.TimeoutError:
            return False

    def attempt_failed(self, engine):
        """Ends an attempt that brought no event.

        A record that may still be written holds for all further attempts.
        """
        if self._recording is None or self.version is not None:
            return
        if self._is_recorded(RECORD_SETTLE_S):
            self._recorded = engine.version
        else:
            self.version = engine.version
        self._recording = None
