"""Tests that jobs are durable, have one holder and list results once."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
import pytest

from samphirepost import batchjob
from samphirepost import errors
from samphirepost import itemdurations
from samphirepost import jobobserver
from samphirepost import joboutline
from samphirepost import routing
from samphirepost_bench import memorystore
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import store

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


def make_held_job(job_record, accepted, now_s=0.0):
    """Returns the holder's state of an accepted job."""
    return batchjob.HeldJob(
        joboutline.outline_of(job_record),
        accepted.progress,
        accepted.revision,
        1000,
        now_s,
    )


def finish_item(held_job, index, text=b"text"):
    """Completes an item with an output."""
    item = held_job.outline.items[index]
    held_job.finish_item(
        index, batchjob.Result(item.id, batchjob.FinalStatus.DONE, text)
    )


@pytest.fixture
def rows():
    """An empty store."""
    return memorystore.MemoryStore()


def test_a_repeat_at_another_daemon_finds_the_job(rows):
    """A job submitted twice is accepted once."""
    first = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    second = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert first.is_new
    assert isinstance(second, jobstore.AcceptedJob)
    assert not second.is_new


def test_a_write_without_response_is_looked_up(rows):
    """A write that took effect but got no response is an acceptance."""
    rows.faults.append(memorystore.DROP_RESPONSE)
    found = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert isinstance(found, jobstore.AcceptedJob)


def test_an_uncertain_job_is_not_called_refused(rows):
    """A write without a response may still take effect later."""
    rows.faults.append(memorystore.APPLY_LATE)
    found = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert isinstance(found, errors.Failure)
    assert found.outcome is errors.Outcome.UNKNOWN
    rows.apply_late_writes()
    again = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert isinstance(again, jobstore.AcceptedJob)


def test_a_refused_write_promises_that_nothing_runs(rows):
    """The store rejected the write, so the job does not exist."""
    rows.faults.append(memorystore.REJECT)
    found = jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    assert found.outcome is errors.Outcome.NOT_RUN
    assert not rows.rows


def test_a_read_without_an_answer_leaves_nothing_uncertain(rows):
    """A failed read changes nothing, so the outcome is NOT_RUN."""
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    job_store.submit(make_record("old"), make_route())
    fresh = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    rows.reads_unanswered = True
    for found in (
        fresh.submit(make_record(), make_route()),
        fresh.read_results(HOST, "old", 0),
        fresh.read_record(HOST, "old"),
        job_store.close_job(HOST, "old"),
    ):
        assert found.outcome is errors.Outcome.NOT_RUN


def test_the_limit_of_waiting_tokens_holds_across_daemons(rows):
    """Tokens of listed results become free; others count in every daemon."""
    limited = make_route(limit=ITEMS * TOKENS)
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    first = job_store.submit(make_record("one"), limited)
    second = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(
        make_record("two"), limited
    )
    assert isinstance(second, jobstore.QuotaExceeded)
    held_job = make_held_job(make_record("one"), first)
    for index in range(ITEMS):
        finish_item(held_job, index)
    assert isinstance(
        job_store.commit(
            held_job.outline, held_job.next_commit(20, 10_000, 0.0)
        ),
        int,
    )
    third = jobstore.JobStore(rows, "vm2", ROW_BYTES).submit(
        make_record("two"), limited
    )
    assert isinstance(third, jobstore.AcceptedJob)


def test_two_admissions_at_once_do_not_both_fit(rows):
    """An admission between the count and the write forces a new count."""
    limited = make_route(limit=ITEMS * TOKENS)
    one = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    other = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    read = rows.read_rows

    def admit_between(table, part, start="", end=""):
        page = read(table, part, start, end)
        if table == "open":
            rows.read_rows = read
            assert isinstance(
                other.submit(make_record("two"), limited), jobstore.AcceptedJob
            )
        return page

    rows.read_rows = admit_between
    found = one.submit(make_record("one"), limited)
    assert isinstance(found, jobstore.QuotaExceeded)


def test_a_large_job_is_kept_whole(rows):
    """A record too large for one transaction is stored in an object."""
    job_record = make_record(count=40, body=b"x" * 20_000)
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    assert isinstance(
        job_store.submit(job_record, make_route()), jobstore.AcceptedJob
    )
    assert rows.objects
    assert (
        jobstore.JobStore(rows, "vm2", ROW_BYTES).read_record(HOST, "job")
        == job_record
    )


def test_a_long_result_is_read_whole(rows):
    """A result in several rows is joined again."""
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    held_job = make_held_job(
        make_record(), job_store.submit(make_record(), make_route())
    )
    text = b"y" * (2 * ROW_BYTES + 7)
    finish_item(held_job, 2, text)
    job_store.commit(
        held_job.outline, held_job.next_commit(20, 1_000_000, 0.0)
    )
    found = jobstore.JobStore(rows, "vm2", ROW_BYTES).read_results(
        HOST, "job", 0
    )
    assert found.total == ITEMS
    assert [one.text for one in found.results] == [text]


def test_a_job_resumes_after_a_full_power_outage(rows):
    """All memory is lost; a new daemon runs the items not yet listed."""
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    held_job = make_held_job(
        make_record(), job_store.submit(make_record(), make_route())
    )
    finish_item(held_job, 3)
    job_store.commit(held_job.outline, held_job.next_commit(20, 10_000, 0.0))
    fresh = jobstore.JobStore(rows, "vm9", ROW_BYTES)
    (opened,), _ = fresh.list_open_jobs()
    taken_over = fresh.take_over(opened)
    record = fresh.read_record(HOST, "job")
    assert record == make_record()
    again = batchjob.HeldJob(
        joboutline.outline_of(record),
        taken_over.progress,
        taken_over.revision,
        1000,
        0.0,
    )
    assert again.queued_indexes() == [0, 1, 2, 4, 5]
    assert again.outline == joboutline.outline_of(make_record())


def test_a_next_holder_resumes_from_the_checkpoint(rows):
    """Stored output is not generated again; the result deletes it."""
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    held_job = make_held_job(
        make_record(), job_store.submit(make_record(), make_route())
    )
    partial = held_job.partial_outputs.setdefault(1, batchjob.PartialOutput())
    for number in range(1, 6):
        assert partial.append_event(number, b"t%d" % number)
    held_job.apply_commit(
        job_store.commit(
            held_job.outline, held_job.next_commit(20, 10_000, 0.0)
        )
    )
    partial.append_event(6, b"t6")
    held_job.apply_commit(
        job_store.commit(
            held_job.outline, held_job.next_commit(20, 10_000, 1.0)
        )
    )
    partial.append_event(7, b"unsaved")
    other = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    found = other.read_partial_outputs(HOST, "job")[1]
    assert found.last_id == 6
    assert found.text == b"t1\nt2\nt3\nt4\nt5\nt6"
    finish_item(held_job, 1)
    held_job.apply_commit(
        job_store.commit(
            held_job.outline, held_job.next_commit(20, 10_000, 2.0)
        )
    )
    assert other.read_partial_outputs(HOST, "job") == {}


@pytest.mark.parametrize("text_bytes", [10, 5_000])
def test_every_commit_fits_a_transaction(rows, text_bytes):
    """Load pattern: items that were stopped many times all end at once.

    Each has many checkpoints to delete. The store refuses a transaction that
    is too large for good, so the job would never be written again.
    """
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    job_record = make_record(count=30)
    held_job = make_held_job(
        job_record, job_store.submit(job_record, make_route())
    )

    def commit():
        outcome = job_store.commit(
            held_job.outline,
            held_job.next_commit(
                jobstore.COMMIT_RESULTS_MAX, jobstore.COMMIT_BYTES_MAX, 0.0
            ),
        )
        assert isinstance(outcome, int), outcome
        held_job.apply_commit(outcome)

    for number in range(1, 60):
        for index in range(30):
            partial = held_job.partial_outputs.setdefault(
                index, batchjob.PartialOutput()
            )
            assert partial.append_event(number, b"x" * text_bytes)
        commit()
    for index in range(30):
        text = held_job.partial_outputs[index].text
        finish_item(held_job, index, text)
    while not held_job.is_complete:
        commit()
    assert job_store.read_partial_outputs(HOST, "job") == {}


def test_a_takeover_without_response_is_recognized(rows):
    """The repeated write finds its own row, and returns the store's time."""
    jobstore.JobStore(rows, "vm1", ROW_BYTES).submit(
        make_record(), make_route()
    )
    other = jobstore.JobStore(rows, "vm2", ROW_BYTES)
    (opened,), _ = other.list_open_jobs()
    rows.faults.append(memorystore.DROP_RESPONSE)
    assert isinstance(other.take_over(opened), errors.Failure)
    again = other.take_over(opened)
    assert again.progress.holder == "vm2"
    assert again.store_ms == opened.store_ms


def test_a_released_job_is_taken_over_at_once():
    """After a planned stop others need not wait for the timeout."""
    observer = jobobserver.JobObserver()
    progress = batchjob.Progress("evening", "", 1, 100, 0, 0)
    observer.observe((HOST, "job"), 5, progress, 10.0)
    assert observer.jobs_to_take_over(10.0, {}, None, "vm9") == [(HOST, "job")]


def test_a_job_is_taken_over_only_after_its_holder_timed_out():
    """Each change of the progress, and each failed read, restarts the wait."""
    observer = jobobserver.JobObserver()
    progress = batchjob.Progress("evening", "vm1", 1, 100, 0, 0)
    observer.observe((HOST, "job"), 5, progress, 0.0)
    observer.observe((HOST, "job"), 6, progress, 3.0)
    early_s = 3.0 + batchjob.TAKEOVER_S - 0.1
    assert observer.jobs_to_take_over(early_s, {}, None, "vm9") == []
    observer.restart_waits(early_s)
    assert (
        observer.jobs_to_take_over(3.0 + batchjob.TAKEOVER_S, {}, None, "vm9")
        == []
    )
    late_s = early_s + batchjob.TAKEOVER_S
    assert observer.jobs_to_take_over(late_s, {}, None, "vm9") == [
        (HOST, "job")
    ]
    assert (
        observer.jobs_to_take_over(late_s, {(HOST, "job")}, None, "vm9") == []
    )


def test_jobs_of_a_restarted_holder_are_taken_over():
    """The old holders are no members then, so nobody waits for them."""
    observer = jobobserver.JobObserver()
    progress = batchjob.Progress("evening", "vm1-old", 1, 100, 0, 0)
    observer.observe((HOST, "job"), 5, progress, 0.0)
    soon_s = jobobserver.NON_MEMBER_TAKEOVER_S
    assert observer.jobs_to_take_over(soon_s, {}, {"vm1-old"}, "vm2") == []
    assert observer.jobs_to_take_over(soon_s, {}, None, "vm2") == []
    found = observer.jobs_to_take_over(soon_s, {}, {"vm1-new", "vm2"}, "vm2")
    assert found == [(HOST, "job")]


def test_a_failed_takeover_is_tried_again_at_the_stored_revision():
    """Else a job whose first takeover fell into an outage is never run."""
    observer = jobobserver.JobObserver()
    progress = batchjob.Progress("evening", "vm1", 1, 100, 0, 0)
    key = (HOST, "job")
    observer.observe(key, 5, progress, 0.0)
    lost_s = batchjob.TAKEOVER_S
    assert observer.jobs_to_take_over(lost_s, {}, None, "vm2") == [key]
    assert observer.begin_takeover(key).revision == 5
    late_s = lost_s + 100.0
    assert observer.jobs_to_take_over(late_s, {}, None, "vm2") == []
    observer.end_takeover(key, late_s)
    assert observer.jobs_to_take_over(late_s, {}, None, "vm2") == []
    retry_s = late_s + jobobserver.TAKEOVER_RETRY_S
    assert observer.jobs_to_take_over(retry_s, {}, None, "vm2") == [key]
    assert observer.begin_takeover(key).revision == 5


def test_a_job_that_cannot_be_taken_over_does_not_hold_up_others():
    """A daemon takes few jobs over at a time, in an order that is fixed."""
    observer = jobobserver.JobObserver()
    progress = batchjob.Progress("evening", "", 1, 100, 0, 0)
    observer.observe((HOST, "one"), 5, progress, 0.0)
    observer.observe((HOST, "two"), 6, progress, 0.0)
    first, second = observer.jobs_to_take_over(0.0, {}, None, "vm2")
    observer.begin_takeover(first)
    observer.end_takeover(first, 0.0)
    assert observer.jobs_to_take_over(0.1, {}, None, "vm2") == [second]


def test_a_holder_with_an_unresolved_commit_starts_nothing(rows):
    """Another daemon may hold the job by then and run the same items."""
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    held_job = make_held_job(
        make_record(), job_store.submit(make_record(), make_route())
    )
    held_job.next_commit(20, 10_000, 0.0)
    assert held_job.runnable_indexes(1.0)
    assert held_job.runnable_indexes(batchjob.TAKEOVER_S) == []


def test_an_item_that_always_fails_is_given_up(rows):
    """Failures are counted durably, up to the route's maximum attempts."""
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    held_job = make_held_job(
        make_record(), job_store.submit(make_record(), make_route())
    )
    for _ in range(2):
        held_job.fail_item(0, 3)
        held_job.apply_commit(
            job_store.commit(
                held_job.outline, held_job.next_commit(20, 10_000, 0.0)
            )
        )
    (opened,), _ = jobstore.JobStore(rows, "vm2", ROW_BYTES).list_open_jobs()
    assert opened.progress.error_answers == {0: 2}
    held_job.fail_item(0, 3)
    assert held_job.unlisted_results[0].end is batchjob.FinalStatus.GIVEN_UP


def test_an_item_that_ends_twice_is_listed_once(rows):
    """An attempt that seemed to have failed may still deliver its output."""
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    held_job = make_held_job(
        make_record(), job_store.submit(make_record(), make_route())
    )
    for _ in range(2):
        finish_item(held_job, 0)
        commit = held_job.next_commit(20, 10_000, 0.0)
        held_job.apply_commit(job_store.commit(held_job.outline, commit))
    assert len(job_store.read_results(HOST, "job", 0).results) == 1


def test_an_item_that_cannot_end_in_time_is_known():
    """The remaining time is estimated from completed items."""
    estimator = itemdurations.DurationEstimator()
    assert estimator.remaining_s(1000, 0) == 0.0
    estimator.add_sample(1000, 200, 5.0)
    assert estimator.remaining_s(1000, 0) == pytest.approx(5.0)
    assert estimator.remaining_s(1000, 100) == pytest.approx(2.5)
    assert estimator.remaining_s(2000, 0) == pytest.approx(10.0)


_faults = strategies.sampled_from(
    [
        None,
        None,
        None,
        None,
        memorystore.DROP_RESPONSE,
        memorystore.APPLY_LATE,
        memorystore.REJECT,
    ]
)


class HoldersMachine(stateful.RuleBasedStateMachine):
    """Three daemons, several of which may believe that they hold the job."""

    def __init__(self):
        super().__init__()
        self.rows = memorystore.MemoryStore()
        self.job_stores = {
            vm: jobstore.JobStore(self.rows, vm, ROW_BYTES)
            for vm in ("vm1", "vm2", "vm3")
        }
        job_record = make_record()
        accepted = self.job_stores["vm1"].submit(job_record, make_route())
        self.held_jobs = {"vm1": make_held_job(job_record, accepted)}
        self.results_read = []
        self.closed_by_caller = False

    @stateful.rule(
        vm=strategies.sampled_from(["vm1", "vm2", "vm3"]),
        index=strategies.integers(0, ITEMS - 1),
    )
    def finish_item(self, vm, index):
        """Completes an item at a daemon that runs it."""
        if vm in self.held_jobs:
            finish_item(self.held_jobs[vm], index, vm.encode())

    @stateful.rule(
        vm=strategies.sampled_from(["vm1", "vm2", "vm3"]), fault=_faults
    )
    def write(self, vm, fault):
        """A daemon commits, or repeats the same commit."""
        held_job = self.held_jobs.get(vm)
        if held_job is None:
            return
        if held_job.pending_commit is None:
            held_job.next_commit(2, 10_000, 0.0)
        if fault:
            self.rows.faults.append(fault)
        found = self.job_stores[vm].commit(
            held_job.outline, held_job.pending_commit
        )
        self.rows.faults.clear()
        if isinstance(found, int):
            held_job.apply_commit(found)
            if held_job.is_complete:
                del self.held_jobs[vm]
        elif isinstance(found, jobstore.JobNotFound):
            del self.held_jobs[vm]

    @stateful.rule(vm=strategies.sampled_from(["vm1", "vm2", "vm3"]))
    def take_over(self, vm):
        """A daemon takes the job over from a running or failed holder."""
        opened, _ = self.job_stores[vm].list_open_jobs()
        if vm in self.held_jobs or not opened:
            return
        taken_over = self.job_stores[vm].take_over(opened[0])
        if isinstance(taken_over, jobstore.OpenJob):
            self.held_jobs[vm] = batchjob.HeldJob(
                joboutline.outline_of(make_record()),
                taken_over.progress,
                taken_over.revision,
                1000,
                0.0,
            )

    @stateful.rule()
    def late_writes(self):
        """Writes without a response take effect now, if still possible."""
        self.rows.apply_late_writes()

    @stateful.precondition(lambda self: len(self.results_read) >= ITEMS - 2)
    @stateful.rule()
    def end_job(self):
        """The caller closes the job."""
        self.closed_by_caller = (
            self.job_stores["vm3"].close_job(HOST, "job") is None
        )

    @stateful.invariant()
    def results_are_listed_once_and_stay(self):
        """A result that was read at a position is read there again."""
        found = self.job_stores["vm3"].read_results(HOST, "job", 0)
        listed = list(found.results)
        assert listed[: len(self.results_read)] == self.results_read
        names = [one.id for one in listed]
        assert len(names) == len(set(names))
        self.results_read = listed

    @stateful.invariant()
    def a_closed_job_is_complete_or_ended(self):
        """A job is closed only with all its results, or by its caller."""
        opened, _ = self.job_stores["vm3"].list_open_jobs()
        if not opened and not self.closed_by_caller:
            assert len(self.results_read) == ITEMS


HoldersMachine.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=30, derandomize=True, deadline=None
)
TestHolders = HoldersMachine.TestCase


class TestAnItemThatCrashesEngines:
    """Load pattern: each run of an item ends an engine at once."""

    def held_job(self, rows):
        """Returns the state of a job with one item."""
        store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
        record = make_record(count=1)
        accepted = store.submit(record, make_route(retention_s=60.0))
        return make_held_job(record, accepted)

    def runs_in(self, held_job, seconds):
        """Returns how often the item is started if each run is lost."""
        count = 0
        for tick in range(int(seconds * 20)):
            now_s = tick / 20
            if held_job.runnable_indexes(now_s):
                count += 1
                held_job.postpone_item(0, batchjob.Setback.LOST, now_s)
        return count

    # It was started every 0.3 s until its retention was over.
    def test_it_is_started_less_and_less_often(self, rows):
        assert self.runs_in(self.held_job(rows), 60.0) <= 10

    def test_a_run_that_got_further_starts_the_count_anew(self, rows):
        held_job = self.held_job(rows)
        self.runs_in(held_job, 10.0)
        held_job.postpone_item(0, None, 10.0)
        assert held_job.runnable_indexes(10.0 + batchjob.RETRY_DELAY_S) == [0]


class TestItemsOfTwoSoftwareVersions:
    """Load pattern: a release while items run and daemons are lost."""

    def output(self, output_id, version, first, last):
        """Returns an output with events from `first` to `last`."""
        partial = batchjob.PartialOutput(output_id)
        partial.version = version
        partial.pool = "plants"
        for number in range(first, last + 1):
            assert partial.append_event(number, b"%d" % number)
        return partial

    def test_an_output_goes_on_at_its_version(self):
        partial = self.output("a", "v1", 1, 2)
        assert partial.can_go_on("v1", "plants")
        assert not partial.can_go_on("v2", "plants")
        assert not partial.can_go_on("v1", "meadows")
        assert batchjob.PartialOutput("b").can_go_on("v2", "meadows")

    def test_a_checkpoint_names_its_pool(self):
        first = self.output("a", "v1", 1, 2).next_checkpoint(0, 10)
        restored = batchjob.PartialOutput()
        assert restored.restore(first)
        assert not restored.can_go_on("v1", "meadows")

    # A daemon of an older build may have written it.
    def test_a_checkpoint_without_a_pool_goes_on_at_its_version(self):
        restored = batchjob.PartialOutput()
        assert restored.restore(
            batchjob.Checkpoint(0, 0, 1, (b"1",), "a", "v1")
        )
        assert restored.can_go_on("v1", "plants")
        assert not restored.can_go_on("v2", "plants")

    # The second checkpoint of the old output would follow the first one of
    # the new output.
    def test_checkpoints_of_a_former_output_are_not_joined(self):
        old, new = self.output("a", "v1", 1, 4), self.output("b", "v2", 1, 2)
        first = new.next_checkpoint(0, 10)
        former = batchjob.Checkpoint(0, 1, 3, (b"3", b"4"), "a", "v1")
        restored = batchjob.PartialOutput()
        assert restored.restore(first)
        assert not restored.restore(former)
        assert (restored.text, restored.version) == (b"1\n2", "v2")
        assert restored.row_count == 2
        assert old.output_id != restored.output_id

    def test_an_item_starts_again_when_its_version_is_gone(self, rows):
        store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
        record = make_record(count=2)
        accepted = store.submit(record, make_route(retention_s=60.0))
        held_job = make_held_job(record, accepted)
        held_job.partial_outputs[0] = self.output("a", "v1", 1, 3)
        held_job.partial_outputs[0].row_count = 2
        both = {("v1", "plants"), ("v2", "plants")}
        assert held_job.restart_items(both, lambda: "b") == []
        only = {("v2", "plants"), ("v1", "meadows")}
        assert held_job.restart_items(only, lambda: "b") == [0]
        assert held_job.partial_outputs[0].texts == []
        held_job.finish_item(
            0, batchjob.Result("i", batchjob.FinalStatus.DONE, b"x")
        )
        assert held_job.stale_checkpoints == {0: 2}

    # The write of a checkpoint was under way when the item started again.
    def test_a_late_checkpoint_does_not_count_for_a_new_output(self, rows):
        store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
        record = make_record(count=1)
        accepted = store.submit(record, make_route(retention_s=60.0))
        held_job = make_held_job(record, accepted)
        held_job.partial_outputs[0] = self.output("a", "v1", 1, 3)
        commit = held_job.next_commit(10, 1000, 0.0)
        assert commit.checkpoints
        held_job.restart_items({("v2", "plants")}, lambda: "b")
        held_job.apply_commit(2)
        partial = held_job.partial_outputs[0]
        assert (partial.checkpoint_count, partial.durable_count) == (0, 0)
        assert partial.row_count == 1

    # The rows of a former output were left in the store for good.
    def test_a_late_checkpoint_does_not_hide_those_of_a_former_output(
        self, rows
    ):
        store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
        record = make_record(count=1)
        accepted = store.submit(record, make_route(retention_s=60.0))
        held_job = make_held_job(record, accepted)
        held_job.partial_outputs[0] = self.output("b", "v2", 1, 3)
        held_job.partial_outputs[0].row_count = 5
        commit = held_job.next_commit(10, 1000, 0.0)
        assert len(commit.checkpoints) == 1
        finish_item(held_job, 0)
        held_job.apply_commit(2)
        assert held_job.stale_checkpoints == {0: 5}


def test_a_change_between_two_pages_of_a_read_is_not_missed(rows):
    """A long table is read in pages; it is followed from the first one on."""
    for number in range(4):
        key = store.Key("t", "", f"k{number}")
        rows.commit(store.Transaction({}, {key: b"v"}))
    rows.page_rows_max = 2
    read_rows = rows.read_rows

    def read_then_change(*args):
        page = read_rows(*args)
        rows.read_rows = read_rows
        key = store.Key("t", "", "k0")
        rows.commit(store.Transaction({}, {key: b"changed"}))
        return page

    rows.read_rows = read_then_change
    page = store.read_all(rows, "t", "")
    assert len(page.rows) == 4
    changes = rows.read_changes("t", page.revision, 0.0)
    assert [row.value for row in changes.rows] == [b"changed"]
