"""Scans open jobs and takes them over.

The holder calls this on a thread of its store executor.
"""

from samphirepost import batchjob
from samphirepost import errors
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import store


class Takeovers:
    """Store requests whose results are messages to the holder."""

    def __init__(self, job_store, log):
        self._job_store = job_store
        self._log = log

    def look(self, after):
        """Reads the changes `after` a revision, or all open jobs if None.

        Returns Seen or Unseen.
        """
        if after is None:
            return self._scan_all()
        found = self._job_store.changes(after)
        if isinstance(found, store.HistoryLost):
            return holdermessages.Unseen("history is gone", lost=True)
        if isinstance(found, errors.Failure):
            return holdermessages.Unseen(found.reason)
        opened, closed, revision = found
        return holdermessages.Seen(opened, closed, revision, False)

    def _scan_all(self):
        found = self._job_store.open_jobs()
        if isinstance(found, errors.Failure):
            return holdermessages.Unseen(found.reason)
        opened, revision = found
        return holdermessages.Seen(opened, [], revision, True)

    def take(self, opened):
        """Makes this daemon the holder of an open job.

        Returns Taken, or None if the job could not be taken over.
        """
        record = self._job_store.record(opened.host, opened.job)
        if not isinstance(record, batchjob.Record):
            self._log_not_taken_over(
                opened, getattr(record, "reason", "no record")
            )
            return None
        found = self._job_store.take(opened)
        if isinstance(found, jobstore.Missing):
            self._log_not_taken_over(
                opened, "another was faster, or it has ended"
            )
            return None
        if isinstance(found, errors.Failure):
            self._log_not_taken_over(opened, found.reason)
            return None
        return holdermessages.Taken(
            found, record, self._read_partial_outputs(opened)
        )

    def _log_not_taken_over(self, opened, reason):
        self._log.event("job.not_taken", job=opened.job, reason=reason)

    def _read_partial_outputs(self, opened):
        partial = self._job_store.partial(opened.host, opened.job)
        if not isinstance(partial, errors.Failure):
            return partial
        self._log.failure(
            "job.partial_lost", job=opened.job, reason=partial.reason
        )
        return {}
