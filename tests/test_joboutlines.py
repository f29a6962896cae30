"""Faults: a daemon has no memory for what it keeps of a job."""

import pytest

from samphirepost import batchjob
from samphirepost import joboutline
from samphirepost import memorybudget
from samphirepost_bench import entryfleet
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import slots
from samphirepost_daemon.entry import state
from samphirepost_daemon.entry import store
from tests import entryhelper

HOLDERS = 40
STEP_BYTES = 20_000
TICKS = 5
KIND = memorybudget.Kind.JOB


def fill(daemon):
    """Takes all memory for held jobs; returns the accounts."""
    budget = daemon.parts.budget
    accounts = [budget.account(KIND, number) for number in range(HOLDERS)]
    for account in accounts:
        while account.take(STEP_BYTES):
            continue
        while account.take(1):
            continue
    return accounts


def give_back(accounts):
    """Gives the memory back."""
    for account in accounts:
        account.close()


@pytest.fixture
def pair():
    """Two daemons in this process with two engines."""
    found = entryhelper.Fleet(daemons=2)
    yield found
    found.stop()


def test_an_outline_has_all_but_the_bodies():
    """Its size must not depend on the bodies: they are read again."""
    sizes = set()
    for body in (b"", b"p" * 100_000):
        item = batchjob.Item("i", "/evening/x", {"Model": "m"}, body, 7)
        record = batchjob.Record("j", "h", "r", "/evening/x", (item,), "o")
        outline = joboutline.outline_of(record)
        assert outline.items == (
            joboutline.ItemOutline("i", "/evening/x", {"Model": "m"}, 7),
        )
        assert outline.organisation == "o"
        sizes.add(outline.kept_bytes)
    assert len(sizes) == 1


def test_a_job_without_room_is_refused_and_not_written(pair):
    """A daemon that cannot hold a job must not promise it (review/6)."""
    accounts = fill(pair.daemons[0])
    reply = pair.submit("j1", 3)
    assert reply.status == 503
    assert "Retry-After" in reply.headers
    key = store.Key("jobs", entryfleet.HOSTNAME, "j1")
    assert key not in pair.store.store.rows
    give_back(accounts)
    assert pair.submit("j1", 3).status == 202
    entryhelper.wait_until(
        lambda: pair.complete_results("j1"), "the job is done"
    )


def test_a_job_that_was_accepted_before_is_not_refused(pair):
    """The refusal would say that it does not exist."""
    assert pair.submit("j1", 3).status == 202
    accounts = fill(pair.daemons[0])
    assert pair.submit("j1", 3).status == 202
    give_back(accounts)


def test_a_job_without_room_is_taken_over_once_there_is_some(pair):
    """A job of a lost daemon is still owed (review/6)."""
    for engine in pair.engines:
        engine.faults.extend([streamengine.Fault.SILENT] * 3)
    assert pair.submit("j1", 3).status == 202
    entryhelper.wait_until(lambda: pair.ran("j1-0"), "an item runs")
    budget = pair.daemons[1].parts.budget
    accounts = fill(pair.daemons[1])
    refused = budget.refused[KIND]
    pair.daemons[0].actor.stop()
    entryhelper.wait_until(
        lambda: budget.refused[KIND] > refused, "a takeover finds no room"
    )
    assert pair.daemons[1].state.held_jobs == 0
    give_back(accounts)
    entryhelper.wait_until(
        lambda: pair.complete_results("j1", daemon=1), "the job is done"
    )


def test_a_released_job_gives_its_memory_back(pair):
    """Else each job would shrink the budget for ever."""
    for number in range(3):
        assert pair.submit(f"j{number}", 3).status == 202
    for number in range(3):
        entryhelper.wait_until(
            lambda job=f"j{number}": pair.complete_results(job), "it is done"
        )
    budget = pair.daemons[0].parts.budget
    kinds = (KIND, memorybudget.Kind.BODY, memorybudget.Kind.ITEM)
    entryhelper.wait_until(
        lambda: not any(map(budget.held, kinds)), "the memory is given back"
    )


def test_an_item_out_of_reach_asks_for_no_slot(pair, monkeypatch):
    """Its slot would wait for a store that does not answer."""
    lost = property(lambda _: True, lambda _, value: None)
    monkeypatch.setattr(state.State, "is_store_lost", lost)
    monkeypatch.setattr(jobstore.JobStore, "keeps_record", lambda *_: False)
    wanted = []
    want = slots.SlotExchange.want

    def record(exchange, found):
        wanted.append(found)
        want(exchange, found)

    assert pair.submit("j1", 3).status == 202
    daemon = pair.daemons[0]
    entryhelper.wait_until(lambda: daemon.state.held_jobs, "the job is held")
    monkeypatch.setattr(slots.SlotExchange, "want", record)
    entryhelper.wait_until(lambda: len(wanted) > TICKS, "some ticks pass")
    assert not any(wanted)
    assert not pair.ran("j1-0")
    monkeypatch.undo()
    entryhelper.wait_until(
        lambda: pair.complete_results("j1"), "the job is done"
    )
