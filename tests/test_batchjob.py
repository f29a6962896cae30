"""Batch jobs: durable before acknowledged, listed once, held by one."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from samphirepost import batchjob
from samphirepost import errors
from samphirepost import routing
from samphirepost_bench import memorystore
from samphirepost_daemon.entry import jobstore

HOST = "shop.example"
ROW_BYTES = 65536
ITEMS = 6
TOKENS = 100


def route(limit=0, **fields):
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


def record(job="job", count=ITEMS, body=b"body"):
    """Returns a job's record."""
    items = tuple(
        batchjob.Item(f"{job}-{i}", f"/evening/{i}", {}, body, TOKENS)
        for i in range(count)
    )
    return batchjob.Record(job, HOST, "evening", "/evening/x", items)


def work_of(made, accepted, now_s=0.0):
    """Returns the holder's state of an accepted job."""
    return batchjob.Work(
        made, accepted.progress, accepted.revision, 1000, now_s
    )


def finish(work, index, text=b"text"):
    """Ends an item with its output."""
    item = work.record.items[index]
    work.finish(index, batchjob.Result(item.id, batchjob.End.DONE, text))


@pytest.fixture
def rows():
    """An empty store."""
    return memorystore.MemoryStore()


def test_a_repeat_at_another_daemon_finds_the_job(rows):
    """However often a job comes, it is accepted once."""
    first = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(record(), route())
    second = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(
        record(), route()
    )
    assert first.is_new
    assert isinstance(second, jobstore.AcceptedJob)
    assert not second.is_new


def test_a_lost_answer_is_looked_up(rows):
    """A write that took effect without an answer is an acceptance."""
    rows.faults.append(memorystore.LOSE)
    found = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(record(), route())
    assert isinstance(found, jobstore.AcceptedJob)


def test_an_uncertain_job_is_not_called_refused(rows):
    """The write may take effect later: no promise can be given."""
    rows.faults.append(memorystore.LATE)
    found = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(record(), route())
    assert isinstance(found, errors.Failure)
    assert found.outcome is errors.Outcome.UNKNOWN
    rows.settle()
    again = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(record(), route())
    assert isinstance(again, jobstore.AcceptedJob)


def test_a_refused_write_promises_that_nothing_runs(rows):
    """The store said that it did nothing."""
    rows.faults.append(memorystore.REFUSE)
    found = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(record(), route())
    assert found.outcome is errors.Outcome.NOT_RUN
    assert not rows.rows


def test_a_read_without_an_answer_leaves_nothing_uncertain(rows):
    """Before its write, a job is known not to exist; reads change nothing."""
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    kept.submit(record("old"), route())
    fresh = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    rows.silent = True
    for found in (
        fresh.submit(record(), route()),
        fresh.read_results(HOST, "old", 0),
        fresh.read_record(HOST, "old"),
        kept.close_job(HOST, "old"),
    ):
        assert found.outcome is errors.Outcome.NOT_RUN


def test_the_limit_of_waiting_tokens_holds_across_daemons(rows):
    """Free tokens count once, and come back as results are listed."""
    limited = route(limit=ITEMS * TOKENS)
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    first = kept.submit(record("one"), limited)
    second = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(
        record("two"), limited
    )
    assert isinstance(second, jobstore.QuotaExceeded)
    work = work_of(record("one"), first)
    for index in range(ITEMS):
        finish(work, index)
    assert isinstance(
        kept.commit(work.record, work.next_commit(20, 10_000, 0.0)), int
    )
    third = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(
        record("two"), limited
    )
    assert isinstance(third, jobstore.AcceptedJob)


def test_two_admissions_at_once_do_not_both_fit(rows):
    """An admission between a count and its write makes it count again."""
    limited = route(limit=ITEMS * TOKENS)
    one = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    other = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    read = rows.read_rows

    def admit_between(table, part, start="", end=""):
        page = read(table, part, start, end)
        if table == "open":
            rows.read_rows = read
            assert isinstance(
                other.submit(record("two"), limited), jobstore.AcceptedJob
            )
        return page

    rows.read_rows = admit_between
    found = one.submit(record("one"), limited)
    assert isinstance(found, jobstore.QuotaExceeded)


def test_a_large_job_is_kept_whole(rows):
    """A record over one transaction lies in an object."""
    made = record(count=40, body=b"x" * 20_000)
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    assert isinstance(kept.submit(made, route()), jobstore.AcceptedJob)
    assert rows.objects
    assert (
        jobstore.JobStore(rows, "vm2", ROW_BYTES).read_record(HOST, "job")
        == made
    )


def test_a_long_result_is_read_whole(rows):
    """A result over one row is put together again."""
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    work = work_of(record(), kept.submit(record(), route()))
    text = b"y" * (2 * ROW_BYTES + 7)
    finish(work, 2, text)
    kept.commit(work.record, work.next_commit(20, 1_000_000, 0.0))
    found = jobstore.JobStore(rows, "vm2", ROW_BYTES).read_results(
        HOST, "job", 0
    )
    assert found.total == ITEMS
    assert [one.text for one in found.results] == [text]


def test_a_job_goes_on_after_all_power_was_lost(rows):
    """The rows are all there is: a new daemon runs what is unlisted."""
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    work = work_of(record(), kept.submit(record(), route()))
    finish(work, 3)
    kept.commit(work.record, work.next_commit(20, 10_000, 0.0))
    fresh = jobstore.JobStore(rows, "vm9", ROW_BYTES)
    (opened,), _ = fresh.list_open_jobs()
    taken = fresh.take_over(opened)
    again = batchjob.Work(
        fresh.read_record(HOST, "job"),
        taken.progress,
        taken.revision,
        1000,
        0.0,
    )
    assert again.unfinished() == [0, 1, 2, 4, 5]
    assert again.record == record()


def test_a_next_holder_goes_on_from_the_checkpoint(rows):
    """Saved output is not run again, and ends with the item."""
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    work = work_of(record(), kept.submit(record(), route()))
    partial = work.partial.setdefault(1, batchjob.Partial())
    for number in range(1, 6):
        assert partial.take(number, b"t%d" % number)
    work.committed(kept.commit(work.record, work.next_commit(20, 10_000, 0.0)))
    partial.take(6, b"t6")
    work.committed(kept.commit(work.record, work.next_commit(20, 10_000, 1.0)))
    partial.take(7, b"unsaved")
    other = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    found = other.read_partials(HOST, "job")[1]
    assert found.last_id == 6
    assert found.text == b"t1\nt2\nt3\nt4\nt5\nt6"
    finish(work, 1)
    work.committed(kept.commit(work.record, work.next_commit(20, 10_000, 2.0)))
    assert other.read_partials(HOST, "job") == {}


def test_a_takeover_whose_answer_was_lost_is_known_again(rows):
    """The same write made again finds its own row, and the store's time."""
    jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(record(), route())
    other = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    (opened,), _ = other.list_open_jobs()
    rows.faults.append(memorystore.LOSE)
    assert isinstance(other.take_over(opened), errors.Failure)
    again = other.take_over(opened)
    assert again.progress.holder == "vm2"
    assert again.store_ms == opened.store_ms


def test_an_offered_job_is_taken_at_once():
    """A planned stop does not make others wait for a lapse."""
    watch = batchjob.Watch()
    progress = batchjob.Progress("evening", "", 1, 100, 0, 0)
    watch.see((HOST, "job"), 5, progress, 10.0)
    assert watch.abandoned(10.0, {}, None, "vm9") == [(HOST, "job")]


def test_a_job_is_taken_over_only_after_its_holder_fell_silent():
    """Each change of its progress starts the wait again."""
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


def test_a_holder_that_started_anew_has_lost_its_jobs():
    """After a loss of all power nobody waits for those that are gone."""
    watch = batchjob.Watch()
    progress = batchjob.Progress("evening", "vm1-old", 1, 100, 0, 0)
    watch.see((HOST, "job"), 5, progress, 0.0)
    soon_s = batchjob.ORPHAN_S
    assert watch.abandoned(soon_s, {}, {"vm1-old"}, "vm2") == []
    assert watch.abandoned(soon_s, {}, None, "vm2") == []
    found = watch.abandoned(soon_s, {}, {"vm1-new", "vm2"}, "vm2")
    assert found == [(HOST, "job")]


def test_a_holder_whose_writes_do_not_settle_starts_nothing(rows):
    """Others may hold the job by then: its runs would be in vain."""
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    work = work_of(record(), kept.submit(record(), route()))
    work.next_commit(20, 10_000, 0.0)
    assert work.runnable(1.0)
    assert work.runnable(batchjob.TAKEOVER_S) == []


def test_an_item_that_always_fails_is_given_up(rows):
    """After the route's attempts, durably counted."""
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    work = work_of(record(), kept.submit(record(), route()))
    for _ in range(2):
        work.fail(0, 3)
        work.committed(
            kept.commit(work.record, work.next_commit(20, 10_000, 0.0))
        )
    (opened,), _ = jobstore.JobStore(rows, "vm2", ROW_BYTES).list_open_jobs()
    assert opened.progress.failures == {0: 2}
    work.fail(0, 3)
    assert work.ended[0].end is batchjob.End.GIVEN_UP


def test_an_item_that_ends_twice_is_listed_once(rows):
    """A run that was thought dead may still bring its output."""
    kept = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    work = work_of(record(), kept.submit(record(), route()))
    for _ in range(2):
        finish(work, 0)
        commit = work.next_commit(20, 10_000, 0.0)
        work.committed(kept.commit(work.record, commit))
    assert len(kept.read_results(HOST, "job", 0).results) == 1


def test_an_item_that_cannot_end_in_time_is_known():
    """The pace of whole runs tells how long the rest takes."""
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
    """Two daemons that both believe at times that they hold the job."""

    def __init__(self):
        super().__init__()
        self.rows = memorystore.MemoryStore()
        self.kept = {
            vm: jobstore.JobStore(self.rows, vm, ROW_BYTES)
            for vm in ("vm1", "vm2", "vm3")
        }
        made = record()
        found = self.kept["vm1"].submit(made, route())
        self.works = {"vm1": work_of(made, found)}
        self.seen = []
        self.ended = False

    @stateful.rule(
        vm=strategies.sampled_from(["vm1", "vm2", "vm3"]),
        index=strategies.integers(0, ITEMS - 1),
    )
    def finish_item(self, vm, index):
        """An item ends at a daemon that runs it."""
        if vm in self.works:
            finish(self.works[vm], index, vm.encode())

    @stateful.rule(
        vm=strategies.sampled_from(["vm1", "vm2", "vm3"]), fault=_faults
    )
    def write(self, vm, fault):
        """A daemon writes, or tries the same write again."""
        work = self.works.get(vm)
        if work is None:
            return
        if work.committing is None:
            work.next_commit(2, 10_000, 0.0)
        if fault:
            self.rows.faults.append(fault)
        found = self.kept[vm].commit(work.record, work.committing)
        self.rows.faults.clear()
        if isinstance(found, int):
            work.committed(found)
            if work.complete:
                del self.works[vm]
        elif isinstance(found, jobstore.JobNotFound):
            del self.works[vm]

    @stateful.rule(vm=strategies.sampled_from(["vm1", "vm2", "vm3"]))
    def take(self, vm):
        """A daemon takes the job over, whether its holder lives or not."""
        opened, _ = self.kept[vm].list_open_jobs()
        if vm in self.works or not opened:
            return
        taken = self.kept[vm].take_over(opened[0])
        if isinstance(taken, jobstore.OpenJob):
            self.works[vm] = batchjob.Work(
                record(), taken.progress, taken.revision, 1000, 0.0
            )

    @stateful.rule()
    def late_writes(self):
        """What was not answered takes effect now, if it can."""
        self.rows.settle()

    @stateful.precondition(lambda self: len(self.seen) >= ITEMS - 2)
    @stateful.rule()
    def end(self):
        """The job's caller ends it."""
        self.ended = self.kept["vm3"].close_job(HOST, "job") is None

    @stateful.invariant()
    def results_are_listed_once_and_stay(self):
        """What was read at a position is read there again."""
        found = self.kept["vm3"].read_results(HOST, "job", 0)
        listed = list(found.results)
        assert listed[: len(self.seen)] == self.seen
        names = [one.id for one in listed]
        assert len(names) == len(set(names))
        self.seen = listed

    @stateful.invariant()
    def a_closed_job_is_whole_or_ended(self):
        """A job only closes with all its results, or by its caller."""
        opened, _ = self.kept["vm3"].list_open_jobs()
        if not opened and not self.ended:
            assert len(self.seen) == ITEMS


HoldersMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
TestHolders = HoldersMachine.TestCase
