"""Tests which records of jobs are kept in memory, and what gives way."""

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import errors
from samphirepost import memorybudget
from samphirepost_bench import memorystore
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import recordcache
from tests import test_batchjob

BODY = memorybudget.Kind.BODY
SMALLEST_VM_MB = 128.0
BODY_BYTES = 150_000
JOBS = 40
STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["put", "get", "remove", "give way"]),
        strategies.integers(0, 5),
        strategies.integers(1, 400_000),
    ),
    max_size=40,
)


def new_budget():
    """Returns an unused budget of the smallest VM."""
    return memorybudget.Budget(memorybudget.budget_bytes(SMALLEST_VM_MB))


def new_record(job, body_bytes=BODY_BYTES):
    """Returns the record of a job with large bodies."""
    return test_batchjob.make_record(job, body=b"p" * body_bytes)


def fill(budget):
    """Takes the bytes of BODY that are free, for many jobs."""
    for number in range(JOBS):
        account = budget.account(BODY, f"other{number}")
        while account.take(BODY_BYTES):
            continue


@pytest.fixture
def budget():
    """An unused budget."""
    return new_budget()


@pytest.fixture
def rows():
    """A store in memory with one large job."""
    found = memorystore.MemoryStore()
    store = jobstore.JobStore(found, "vm1", test_batchjob.ROW_BYTES)
    store.submit(new_record("job"), test_batchjob.make_route())
    return found


def new_store(rows, budget):
    """Returns the JobStore of another daemon."""
    return jobstore.JobStore(
        rows, "vm2", test_batchjob.ROW_BYTES, budget=budget
    )


@hypothesis.given(STEPS)
def test_the_budget_has_what_the_cache_keeps(steps):
    """Bytes that are lost would shrink the budget for ever."""
    budget = new_budget()
    cache = recordcache.RecordCache(budget)
    for action, number, size in steps:
        if action == "put":
            cache.put(number, new_record("job", size))
        elif action == "get":
            cache.get(number)
        elif action == "remove":
            cache.remove(number)
        else:
            cache.remove_oldest()
        kept = [cache.get(one) for one in range(6) if one in cache]
        bodies = sum(len(item.body) for one in kept for item in one.items)
        assert bodies <= budget.held(BODY) <= budget.size(BODY)
    while cache.remove_oldest():
        continue
    assert budget.held(BODY) == 0


def test_the_least_recently_used_record_gives_way(budget):
    """Load pattern: the jobs of a burst are larger than the memory."""
    cache = recordcache.RecordCache(budget)
    count = 0
    while budget.refused[BODY] == 0:
        cache.put(count, new_record(f"job{count}"))
        cache.get(0)
        count += 1
    assert 0 in cache
    assert 1 not in cache
    assert count - 1 in cache


def test_a_record_larger_than_the_cache_leaves_the_others(budget):
    """Else one record after the other would be read again for nothing."""
    cache = recordcache.RecordCache(budget)
    cache.put("small", new_record("small"))
    cache.put("large", new_record("large", budget.size(BODY)))
    assert "small" in cache
    assert "large" not in cache


def test_a_running_item_has_its_body_counted(rows, budget):
    """Guards review/6: bodies of items were outside of the budget."""
    store = new_store(rows, budget)
    account = budget.account(BODY, "job")
    item = store.read_item(test_batchjob.HOST, "job", 2, account)
    assert item == new_record("job").items[2]
    assert account.held == BODY_BYTES
    assert store.keeps_record(test_batchjob.HOST, "job")


def test_records_in_memory_give_way_to_running_items(rows, budget):
    """Else an item would wait for room that only records have."""
    store = new_store(rows, budget)
    store.read_record(test_batchjob.HOST, "job")
    fill(budget)
    account = budget.account(BODY, "job")
    found = store.read_item(test_batchjob.HOST, "job", 0, account)
    assert not isinstance(found, errors.Failure)
    assert not store.keeps_record(test_batchjob.HOST, "job")


def test_an_item_without_room_is_not_read_into_memory(rows, budget):
    """The run is interrupted then, and the item waits."""
    store = new_store(rows, budget)
    fill(budget)
    account = budget.account(BODY, "job")
    found = store.read_item(test_batchjob.HOST, "job", 0, account)
    assert found.kind is errors.Kind.NO_MEMORY
    assert account.held == 0


def test_another_read_of_a_record_is_not_waited_for_long(rows, budget):
    """An item's slot must not wait for a store that does not answer."""
    store = new_store(rows, budget)
    store._record_lock.acquire()
    found = store.read_record(test_batchjob.HOST, "job")
    assert found.kind is errors.Kind.OVERLOADED


def test_a_job_that_callers_may_send_has_an_item_that_can_run(budget):
    """Else a job could be accepted of which no item ever runs.

    Three bytes of an item are four of the body that brings it, which is
    counted twice.
    """
    body_bytes = budget.largest(memorybudget.Kind.CALLER) // 2
    assert body_bytes * 3 // 4 <= budget.largest(BODY)
