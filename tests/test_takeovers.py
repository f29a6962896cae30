"""Tests what a takeover of a job keeps in the memory budget."""

import pytest

from samphirepost import batchjob
from samphirepost import memorybudget
from samphirepost_bench import memorystore
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import log
from samphirepost_daemon.entry import takeovers
from tests import test_batchjob

JOB = memorybudget.Kind.JOB


@pytest.fixture
def budget():
    """An unused budget."""
    return memorybudget.Budget(memorybudget.budget_bytes(0))


@pytest.fixture
def job_store(budget):
    """A daemon's view of a store that has the job of another daemon."""
    rows = memorystore.MemoryStore()
    other = jobstore.JobStore(rows, "vm1", test_batchjob.ROW_BYTES)
    other.submit(test_batchjob.make_record("job"), test_batchjob.make_route())
    return jobstore.JobStore(
        rows, "vm2", test_batchjob.ROW_BYTES, budget=budget
    )


@pytest.fixture
def daemon(job_store, budget):
    """The Takeovers of that daemon."""
    return takeovers.Takeovers(job_store, log.Log("vm2"), budget)


def open_job_of(job_store):
    """Returns the one OpenJob in the store."""
    (open_job,), _ = job_store.list_open_jobs()
    return open_job


def test_a_takeover_takes_the_bytes_of_the_outline(daemon, job_store, budget):
    """They are given back with the job."""
    takeover = daemon.take_over(open_job_of(job_store))
    assert isinstance(takeover.open_job.progress, batchjob.Progress)
    assert budget.held(JOB) == takeover.outline.kept_bytes
    takeover.account.close()
    assert not budget.held(JOB)


# Seen by reading: the bytes of the outline were lost, again with each attempt.
def test_a_takeover_that_fails_gives_its_bytes_back(
    daemon, job_store, budget, monkeypatch
):
    """Also if it fails after this daemon has become the job's holder."""

    def fail(*_):
        raise MemoryError

    monkeypatch.setattr(job_store, "read_partial_outputs", fail)
    with pytest.raises(MemoryError):
        daemon.take_over(open_job_of(job_store))
    assert not budget.held(JOB)
