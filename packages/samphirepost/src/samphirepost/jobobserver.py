"""Finds the open jobs whose holder has failed, for a takeover."""

import msgspec

from samphirepost import batchjob
from samphirepost import hashing

# A job whose holder is not a member is taken over after this time (s), not
# at once: a starting daemon may hold its first job before its members row is
# written.
NON_MEMBER_TAKEOVER_S = 1.0
# Pause between two attempts of one daemon to take the same job over (s).
TAKEOVER_RETRY_S = 1.5


class ObservedJob(msgspec.Struct):
    """The last observed state of an open job, and when it changed.

    While `is_taken_over`, an attempt of this daemon is in progress; after a
    failed one, none is made before `next_takeover_s`.
    """

    revision: int
    progress: batchjob.Progress
    changed_s: float
    is_taken_over: bool = False
    next_takeover_s: float = 0.0


class JobObserver:
    """Observes the open jobs, to find those whose holder has failed."""

    __slots__ = ("_jobs",)

    def __init__(self):
        self._jobs = {}

    def observe(self, key, revision, progress, now_s):
        """Records an open job's current revision and progress."""
        known = self._jobs.get(key)
        if known is None:
            self._jobs[key] = ObservedJob(revision, progress, now_s)
        elif known.revision != revision:
            known.revision = revision
            known.progress = progress
            known.changed_s = now_s
            known.next_takeover_s = now_s

    def begin_takeover(self, key):
        """Records that an attempt to take a job over begins.

        Returns the job's observed state, on which the attempt is based.
        """
        job = self._jobs[key]
        job.is_taken_over = True
        return job

    def end_takeover(self, key, now_s):
        """Records that an attempt has ended.

        If it failed, the next one follows after TAKEOVER_RETRY_S, so that it
        does not keep this daemon from other jobs.
        """
        job = self._jobs.get(key)
        if job is not None:
            job.is_taken_over = False
            job.next_takeover_s = now_s + TAKEOVER_RETRY_S

    def remove(self, key):
        """Removes a job that is no longer open."""
        self._jobs.pop(key, None)

    def restart_waits(self, now_s):
        """Restarts the wait for each job, as after a failed read.

        Progress written meanwhile could not be read.
        """
        for job in self._jobs.values():
            job.changed_s = now_s

    def keys(self):
        """Returns the keys of the open jobs."""
        return list(self._jobs)

    def jobs_to_take_over(self, now_s, held, members, me):
        """Returns the keys of jobs to take over, in an order of this daemon.

        Each daemon has another order, so that daemons do not all try the same
        job first. `held` has the keys of the jobs that this daemon holds,
        `members` the ids of the member daemons, or is None if they are not
        known. A holder that is not a member has stopped or was restarted
        under a new id.
        """
        found = [
            key
            for key, job in self._jobs.items()
            if key not in held and _is_abandoned(job, now_s, members)
        ]
        return hashing.ranked(me, found)


def _is_abandoned(job, now_s, members):
    if job.is_taken_over or now_s < job.next_takeover_s:
        return False
    holder = job.progress.holder
    unchanged_s = now_s - job.changed_s
    if not holder or unchanged_s >= batchjob.TAKEOVER_S:
        return True
    return (
        members is not None
        and holder not in members
        and unchanged_s >= NON_MEMBER_TAKEOVER_S
    )
