"""Scans the open jobs in the store and takes over abandoned ones.

The holder calls this on the threads of its store executor.
"""

from samphirepost import batchjob
from samphirepost import errors
from samphirepost import joboutline
from samphirepost import memorybudget
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import store


class Takeovers:
    """Makes store requests and returns their results as holder messages."""

    def __init__(self, job_store, log, budget):
        self._job_store = job_store
        self._log = log
        self._budget = budget

    def scan(self, after):
        """Reads the changes `after` a revision, or all open jobs if None.

        Returns OpenJobsScan or ScanFailure.
        """
        if after is None:
            return self._scan_all()
        found = self._job_store.read_changes(after)
        if isinstance(found, store.HistoryCompacted):
            return holdermessages.ScanFailure(
                "the change history was compacted", history_compacted=True
            )
        if isinstance(found, errors.Failure):
            return holdermessages.ScanFailure(found.reason)
        open_jobs, closed_keys, revision = found
        return holdermessages.OpenJobsScan(
            open_jobs, closed_keys, revision, False
        )

    def _scan_all(self):
        found = self._job_store.list_open_jobs()
        if isinstance(found, errors.Failure):
            return holdermessages.ScanFailure(found.reason)
        open_jobs, revision = found
        return holdermessages.OpenJobsScan(open_jobs, [], revision, True)

    def take_over(self, open_job):
        """Makes this daemon the holder of an open job.

        Returns JobTakeover, or None if the job could not be taken over.
        """
        record = self._job_store.read_record(open_job.host, open_job.job_id)
        if not isinstance(record, batchjob.Record):
            self._log_not_taken_over(
                open_job, getattr(record, "reason", "no record")
            )
            return None
        outline = joboutline.outline_of(record)
        key = (open_job.host, open_job.job_id)
        account = self._budget.account(memorybudget.Kind.JOB, key)
        if not account.take(outline.kept_bytes):
            # It stays open for whoever has room.
            self._log_not_taken_over(open_job, "no memory is free for it")
            return None
        takeover = None
        try:
            takeover = self._take_over_outline(open_job, outline, account)
        finally:
            if takeover is None:
                account.close()
        return takeover

    def _take_over_outline(self, open_job, outline, account):
        """Returns what take_over() does; `account` has the outline's bytes."""
        found = self._make_holder(open_job)
        if found is None:
            return None
        partial_outputs = self._read_partial_outputs(open_job)
        return holdermessages.JobTakeover(
            found, outline, account, partial_outputs
        )

    def _make_holder(self, open_job):
        """Returns the OpenJob that this daemon now holds, or None."""
        found = self._job_store.take_over(open_job)
        if isinstance(found, jobstore.JobNotFound):
            self._log_not_taken_over(
                open_job, "taken over by another daemon, or closed"
            )
            return None
        if isinstance(found, errors.Failure):
            self._log_not_taken_over(open_job, found.reason)
            return None
        return found

    def _log_not_taken_over(self, open_job, reason):
        self._log.event("job.not_taken", job=open_job.job_id, reason=reason)

    def _read_partial_outputs(self, open_job):
        partial_outputs = self._job_store.read_partial_outputs(
            open_job.host, open_job.job_id
        )
        if not isinstance(partial_outputs, errors.Failure):
            return partial_outputs
        self._log.failure(
            "job.partial_lost",
            job=open_job.job_id,
            reason=partial_outputs.reason,
        )
        return {}
