"""Finds open jobs and takes them over; called beside the holder's actor."""

from samphirepost import batchjob
from samphirepost import errors
from samphirepost_daemon.entry import jobs
from samphirepost_daemon.entry import messages
from samphirepost_daemon.entry import store


class Takeovers:
    """Calls of the store whose answers are messages to the holder."""

    def __init__(self, kept, log):
        self._jobs = kept
        self._log = log

    def look(self, after):
        """Returns Seen or Unseen: all open jobs, or the changes `after`."""
        if after is None:
            return self._look_at_all()
        found = self._jobs.changes(after)
        if isinstance(found, store.HistoryLost):
            return messages.Unseen("history is gone", lost=True)
        if isinstance(found, errors.Failure):
            return messages.Unseen(found.reason)
        opened, closed, revision = found
        return messages.Seen(opened, closed, revision, False)

    def _look_at_all(self):
        found = self._jobs.open_jobs()
        if isinstance(found, errors.Failure):
            return messages.Unseen(found.reason)
        opened, revision = found
        return messages.Seen(opened, [], revision, True)

    def take(self, opened):
        """Makes this daemon an open job's holder; returns Taken or None."""
        record = self._jobs.record(opened.host, opened.job)
        if not isinstance(record, batchjob.Record):
            self._not_taken(opened, getattr(record, "reason", "no record"))
            return None
        found = self._jobs.take(opened)
        if isinstance(found, jobs.Missing):
            self._not_taken(opened, "another was faster, or it has ended")
            return None
        if isinstance(found, errors.Failure):
            self._not_taken(opened, found.reason)
            return None
        return messages.Taken(found, record, self._partial(opened))

    def _not_taken(self, opened, reason):
        self._log.event("job.not_taken", job=opened.job, reason=reason)

    def _partial(self, opened):
        partial = self._jobs.partial(opened.host, opened.job)
        if not isinstance(partial, errors.Failure):
            return partial
        self._log.failure(
            "job.partial_lost", job=opened.job, reason=partial.reason
        )
        return {}
