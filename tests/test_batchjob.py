"""Tests that jobs are durable, have one holder and list results once."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from samphirepost import batchjob
from samphirepost import errors
from samphirepost import routing
from samphirepost_bench import memorystore
from samphirepost_daemon.entry import jobs

HOST = "shop.example"
ROW_BYTES = 65536
ITEMS = 6
TOKENS = 100


def make_route(limit=0, **fields):
    """Returns a batch route."""
    shares = (routing.Share("plants", 1.0),)
    return routing.Route(
        "evening",
        HOST,
        "/evening/",
        routing.Kind.BATCH,
        shares,
        waiting_tokens_max=limit,
        **fields,
    )


def make_record(job="job", count=ITEMS, body=b"body"):
    """Returns a job's record."""
    items = tuple(
        batchjob.Item(f"{job}-{i}", f"/evening/{i}", {}, body, TOKENS)
        for i in range(count)
    )
    return batchjob.Record(job, HOST, "evening", "/evening/x", items)


def make_work(job_record, accepted, now_s=0.0):
    """Returns the holder's state of an accepted job."""
    return batchjob.Work(
        job_record, accepted.progress, accepted.revision, 1000, now_s
    )


def finish_item(work, index, text=b"text"):
    """Completes an item with an output."""
    item = work.record.items[index]
    work.finish(index, batchjob.Result(item.id, batchjob.End.DONE, text))


@pytest.fixture
def rows():
    """An empty store."""
    return memorystore.MemoryStore()


def test_a_repeat_at_another_daemon_finds_the_job(rows):
    """A job submitted twice is accepted once."""
    first = jobs.Jobs(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    second = jobs.Jobs(rows, "vm2", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert first.fresh
    assert isinstance(second, jobs.Accepted)
    assert not second.fresh


def test_a_write_without_response_is_looked_up(rows):
    """A write that took effect but got no response is an acceptance."""
    rows.faults.append(memorystore.LOSE)
    found = jobs.Jobs(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert isinstance(found, jobs.Accepted)


def test_an_uncertain_job_is_not_called_refused(rows):
    """A write without a response may still take effect later."""
    rows.faults.append(memorystore.LATE)
    found = jobs.Jobs(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert isinstance(found, errors.Failure)
    assert found.outcome is errors.Outcome.UNKNOWN
    rows.settle()
    again = jobs.Jobs(rows, "vm2", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert isinstance(again, jobs.Accepted)


def test_a_refused_write_promises_that_nothing_runs(rows):
    """The store rejected the write, so the job does not exist."""
    rows.faults.append(memorystore.REFUSE)
    found = jobs.Jobs(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert found.outcome is errors.Outcome.NOT_RUN
    assert not rows.rows


def test_a_read_without_an_answer_leaves_nothing_uncertain(rows):
    """A failed read changes nothing, so the outcome is NOT_RUN."""
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    job_store.submit(make_record("old"), make_route())
    fresh = jobs.Jobs(rows, "vm2", ROW_BYTES)
    rows.silent = True
    for found in (
        fresh.submit(make_record(), make_route()),
        fresh.results(HOST, "old", 0),
        fresh.record(HOST, "old"),
        job_store.end(HOST, "old"),
    ):
        assert found.outcome is errors.Outcome.NOT_RUN


def test_the_limit_of_waiting_tokens_holds_across_daemons(rows):
    """Tokens of listed results become free; others count in every daemon."""
    limited = make_route(limit=ITEMS * TOKENS)
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    first = job_store.submit(make_record("one"), limited)
    second = jobs.Jobs(rows, "vm2", ROW_BYTES).submit(
        make_record("two"), limited
    )
    assert isinstance(second, jobs.OverQuota)
    work = make_work(make_record("one"), first)
    for index in range(ITEMS):
        finish_item(work, index)
    assert isinstance(
        job_store.commit(work.record, work.next_commit(20, 10_000, 0.0)), int
    )
    third = jobs.Jobs(rows, "vm2", ROW_BYTES).submit(
        make_record("two"), limited
    )
    assert isinstance(third, jobs.Accepted)


def test_two_admissions_at_once_do_not_both_fit(rows):
    """An admission between the count and the write forces a new count."""
    limited = make_route(limit=ITEMS * TOKENS)
    one = jobs.Jobs(rows, "vm1", ROW_BYTES)
    other = jobs.Jobs(rows, "vm2", ROW_BYTES)
    read = rows.read

    def admit_between(table, part, start="", end=""):
        page = read(table, part, start, end)
        if table == "open":
            rows.read = read
            assert isinstance(
                other.submit(make_record("two"), limited), jobs.Accepted
            )
        return page

    rows.read = admit_between
    found = one.submit(make_record("one"), limited)
    assert isinstance(found, jobs.OverQuota)


def test_a_large_job_is_kept_whole(rows):
    """A record too large for one transaction is stored in an object."""
    job_record = make_record(count=40, body=b"x" * 20_000)
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    assert isinstance(
        job_store.submit(job_record, make_route()), jobs.Accepted
    )
    assert rows.objects
    assert jobs.Jobs(rows, "vm2", ROW_BYTES).record(HOST, "job") == job_record


def test_a_long_result_is_read_whole(rows):
    """A result in several rows is joined again."""
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    work = make_work(
        make_record(), job_store.submit(make_record(), make_route())
    )
    text = b"y" * (2 * ROW_BYTES + 7)
    finish_item(work, 2, text)
    job_store.commit(work.record, work.next_commit(20, 1_000_000, 0.0))
    found = jobs.Jobs(rows, "vm2", ROW_BYTES).results(HOST, "job", 0)
    assert found.total == ITEMS
    assert [one.text for one in found.results] == [text]


def test_a_job_resumes_after_a_full_power_outage(rows):
    """Only the rows are left; a new daemon runs the items not listed yet."""
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    work = make_work(
        make_record(), job_store.submit(make_record(), make_route())
    )
    finish_item(work, 3)
    job_store.commit(work.record, work.next_commit(20, 10_000, 0.0))
    fresh = jobs.Jobs(rows, "vm9", ROW_BYTES)
    (opened,), _ = fresh.open_jobs()
    taken = fresh.take(opened)
    again = batchjob.Work(
        fresh.record(HOST, "job"), taken.progress, taken.revision, 1000, 0.0
    )
    assert again.unfinished() == [0, 1, 2, 4, 5]
    assert again.record == make_record()


def test_a_next_holder_resumes_from_the_checkpoint(rows):
    """Stored output is not generated again; the result deletes it."""
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    work = make_work(
        make_record(), job_store.submit(make_record(), make_route())
    )
    partial = work.partial.setdefault(1, batchjob.Partial())
    for number in range(1, 6):
        assert partial.take(number, b"t%d" % number)
    work.committed(
        job_store.commit(work.record, work.next_commit(20, 10_000, 0.0))
    )
    partial.take(6, b"t6")
    work.committed(
        job_store.commit(work.record, work.next_commit(20, 10_000, 1.0))
    )
    partial.take(7, b"unsaved")
    other = jobs.Jobs(rows, "vm2", ROW_BYTES)
    found = other.partial(HOST, "job")[1]
    assert found.last_id == 6
    assert found.text == b"t1\nt2\nt3\nt4\nt5\nt6"
    finish_item(work, 1)
    work.committed(
        job_store.commit(work.record, work.next_commit(20, 10_000, 2.0))
    )
    assert other.partial(HOST, "job") == {}


def test_a_takeover_without_response_is_recognized(rows):
    """The repeated write finds its own row, and returns the store's time."""
    jobs.Jobs(rows, "vm1", ROW_BYTES).submit(make_record(), make_route())
    other = jobs.Jobs(rows, "vm2", ROW_BYTES)
    (opened,), _ = other.open_jobs()
    rows.faults.append(memorystore.LOSE)
    assert isinstance(other.take(opened), errors.Failure)
    again = other.take(opened)
    assert again.progress.holder == "vm2"
    assert again.store_ms == opened.store_ms


def test_a_released_job_is_taken_over_at_once():
    """After a planned stop others need not wait for the timeout."""
    watch = batchjob.Watch()
    progress = batchjob.Progress("evening", "", 1, 100, 0, 0)
    watch.see((HOST, "job"), 5, progress, 10.0)
    assert watch.abandoned(10.0, {}, None, "vm9") == [(HOST, "job")]


def test_a_job_is_taken_over_only_after_its_holder_timed_out():
    """Each change of the progress, and each failed read, restarts the wait."""
    watch = batchjob.Watch()
    progress = batchjob.Progress("evening", "vm1", 1, 100, 0, 0)
    watch.see((HOST, "job"), 5, progress, 0.0)
    watch.see((HOST, "job"), 6, progress, 3.0)
    early_s = 3.0 + batchjob.TAKEOVER_S - 0.1
    assert watch.abandoned(early_s, {}, None, "vm9") == []
    watch.blind(early_s)
    assert watch.abandoned(3.0 + batchjob.TAKEOVER_S, {}, None, "vm9") == []
    late_s = early_s + batchjob.TAKEOVER_S
    assert watch.abandoned(late_s, {}, None, "vm9") == [(HOST, "job")]
    assert watch.abandoned(late_s, {(HOST, "job")}, None, "vm9") == []


def test_jobs_of_a_restarted_holder_are_taken_over():
    """After a restart of all daemons nobody waits for the old holders."""
    watch = batchjob.Watch()
    progress = batchjob.Progress("evening", "vm1-old", 1, 100, 0, 0)
    watch.see((HOST, "job"), 5, progress, 0.0)
    soon_s = batchjob.ORPHAN_S
    assert watch.abandoned(soon_s, {}, {"vm1-old"}, "vm2") == []
    assert watch.abandoned(soon_s, {}, None, "vm2") == []
    found = watch.abandoned(soon_s, {}, {"vm1-new", "vm2"}, "vm2")
    assert found == [(HOST, "job")]


def test_a_holder_with_an_unresolved_commit_starts_nothing(rows):
    """Another daemon may hold the job by then and run the same items."""
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    work = make_work(
        make_record(), job_store.submit(make_record(), make_route())
    )
    work.next_commit(20, 10_000, 0.0)
    assert work.runnable(1.0)
    assert work.runnable(batchjob.TAKEOVER_S) == []


def test_an_item_that_always_fails_is_given_up(rows):
    """Failures are counted durably, up to the route's maximum attempts."""
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    work = make_work(
        make_record(), job_store.submit(make_record(), make_route())
    )
    for _ in range(2):
        work.fail(0, 3)
        work.committed(
            job_store.commit(work.record, work.next_commit(20, 10_000, 0.0))
        )
    (opened,), _ = jobs.Jobs(rows, "vm2", ROW_BYTES).open_jobs()
    assert opened.progress.failures == {0: 2}
    work.fail(0, 3)
    assert work.ended[0].end is batchjob.End.GIVEN_UP


def test_an_item_that_ends_twice_is_listed_once(rows):
    """An attempt that seemed to have failed may still deliver its output."""
    job_store = jobs.Jobs(rows, "vm1", ROW_BYTES)
    work = make_work(
        make_record(), job_store.submit(make_record(), make_route())
    )
    for _ in range(2):
        finish_item(work, 0)
        commit = work.next_commit(20, 10_000, 0.0)
        work.committed(job_store.commit(work.record, commit))
    assert len(job_store.results(HOST, "job", 0).results) == 1


def test_an_item_that_cannot_end_in_time_is_known():
    """The remaining time is estimated from completed items."""
    pace = batchjob.Pace()
    assert pace.left_s(1000, 0) == 0.0
    pace.learn(1000, 200, 5.0)
    assert pace.left_s(1000, 0) == pytest.approx(5.0)
    assert pace.left_s(1000, 100) == pytest.approx(2.5)
    assert pace.left_s(2000, 0) == pytest.approx(10.0)


_faults = strategies.sampled_from(
    [
        None,
        None,
        None,
        None,
        memorystore.LOSE,
        memorystore.LATE,
        memorystore.REFUSE,
    ]
)


class HoldersMachine(stateful.RuleBasedStateMachine):
    """Three daemons, several of which may believe that they hold the job."""

    def __init__(self):
        super().__init__()
        self.rows = memorystore.MemoryStore()
        self.job_store = {
            vm: jobs.Jobs(self.rows, vm, ROW_BYTES)
            for vm in ("vm1", "vm2", "vm3")
        }
        job_record = make_record()
        accepted = self.job_store["vm1"].submit(job_record, make_route())
        self.works = {"vm1": make_work(job_record, accepted)}
        self.results_read = []
        self.ended = False

    @stateful.rule(
        vm=strategies.sampled_from(["vm1", "vm2", "vm3"]),
        index=strategies.integers(0, ITEMS - 1),
    )
    def finish_item(self, vm, index):
        """Completes an item at a daemon that runs it."""
        if vm in self.works:
            finish_item(self.works[vm], index, vm.encode())

    @stateful.rule(
        vm=strategies.sampled_from(["vm1", "vm2", "vm3"]), fault=_faults
    )
    def write(self, vm, fault):
        """A daemon commits, or repeats the same commit."""
        work = self.works.get(vm)
        if work is None:
            return
        if work.committing is None:
            work.next_commit(2, 10_000, 0.0)
        if fault:
            self.rows.faults.append(fault)
        found = self.job_store[vm].commit(work.record, work.committing)
        self.rows.faults.clear()
        if isinstance(found, int):
            work.committed(found)
            if work.complete:
                del self.works[vm]
        elif isinstance(found, jobs.Missing):
            del self.works[vm]

    @stateful.rule(vm=strategies.sampled_from(["vm1", "vm2", "vm3"]))
    def take_over(self, vm):
        """A daemon takes the job over from a running or failed holder."""
        opened, _ = self.job_store[vm].open_jobs()
        if vm in self.works or not opened:
            return
        taken = self.job_store[vm].take(opened[0])
        if isinstance(taken, jobs.Open):
            self.works[vm] = batchjob.Work(
                make_record(), taken.progress, taken.revision, 1000, 0.0
            )

    @stateful.rule()
    def late_writes(self):
        """Writes without a response take effect now, if still possible."""
        self.rows.settle()

    @stateful.precondition(lambda self: len(self.results_read) >= ITEMS - 2)
    @stateful.rule()
    def end_job(self):
        """The caller closes the job."""
        self.ended = self.job_store["vm3"].end(HOST, "job") is None

    @stateful.invariant()
    def results_are_listed_once_and_stay(self):
        """A result that was read at a position is read there again."""
        found = self.job_store["vm3"].results(HOST, "job", 0)
        listed = list(found.results)
        assert listed[: len(self.results_read)] == self.results_read
        names = [one.id for one in listed]
        assert len(names) == len(set(names))
        self.results_read = listed

    @stateful.invariant()
    def a_closed_job_is_complete_or_ended(self):
        """A job is closed only with all its results, or by its caller."""
        opened, _ = self.job_store["vm3"].open_jobs()
        if not opened and not self.ended:
            assert len(self.results_read) == ITEMS


HoldersMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
TestHolders = HoldersMachine.TestCase
