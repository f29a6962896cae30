"""Submits batch jobs to entry daemons and waits for their results."""

import json
import time

from samphirepost_bench import soak

POLL_S = 0.1


class SubmittedJob:
    """A batch job; `accepted_s` is when it was accepted, or None."""

    __slots__ = ("accepted_s", "count", "id", "results")

    def __init__(self, job_id, count):
        self.id = job_id
        self.count = count
        self.accepted_s = None
        self.results = []

    def submit(self, daemon, path, prompt):
        """Submits the job to a daemon; returns whether it was accepted."""
        items = [
            {
                "id": f"{self.id}-{number}",
                "path": path,
                "headers": {"Model": "m", "Prompt-Prefix": prompt},
                "body": "Ym9keQ==",
                "tokens": 100,
            }
            for number in range(self.count)
        ]
        body = json.dumps({"requests": items}).encode()
        headers = {"Request-Id": self.id}
        found = soak.send_request(daemon, "POST", path, headers, body)
        if found.status == 202:
            self.accepted_s = time.monotonic()
        return found.status == 202

    def read(self, daemon):
        """Reads the results at a daemon; returns whether all are there."""
        found = soak.send_request(
            daemon, "GET", f"/lots/{self.id}?after=0", {}
        )
        if found.status == 200:
            self.results = json.loads(found.body)["results"]
        return len(self.results) >= self.count

    @property
    def done_count(self):
        """The number of items that are done."""
        return sum(one["state"] == "done" for one in self.results)


def find_incomplete(jobs, daemon, limit_s):
    """Returns the jobs not done within `limit_s` of their acceptance."""
    waiting = [job for job in jobs if job.accepted_s is not None]
    late = []
    while waiting:
        for job in list(waiting):
            is_complete = job.read(daemon)
            is_over = time.monotonic() > job.accepted_s + limit_s
            if is_complete or is_over:
                waiting.remove(job)
            if is_over or (is_complete and job.done_count < job.count):
                late.append(job)
        time.sleep(POLL_S)
    return late
