"""Tests that a result's text is one whole output, whoever held its job."""

import random

import pytest

from samphirepost import batchjob
from samphirepost import codec
from samphirepost import joboutline
from samphirepost import routing
from samphirepost_bench import memorystore
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import store

HOST = "shop.example"
ROW_BYTES = 65536
ITEMS = 2
EVENTS = 5
VMS = ("vm1", "vm2")
VERSIONS = ("v1", "v2")
STEPS = 80
SEEDS = 2000
FAULT_SHARE = 0.3
FAULTS = (
    memorystore.REJECT,
    memorystore.DROP_RESPONSE,
    memorystore.APPLY_LATE,
)


def make_record():
    """Returns a job's record."""
    return batchjob.Record(
        "job",
        HOST,
        "evening",
        "/evening/x",
        tuple(
            batchjob.Item(f"i{i}", f"/evening/{i}", {}, b"body", 10)
            for i in range(ITEMS)
        ),
    )


def make_route():
    """Returns a batch route."""
    shares = (routing.Share("plants", 1.0),)
    return routing.Route(
        "evening", HOST, "/evening/", routing.Kind.BATCH, shares
    )


def checkpoint_key(checkpoint):
    """Returns the key of a checkpoint's row."""
    name = f"job/{checkpoint.index:04d}/{checkpoint.number:04d}"
    return store.Key("partials", HOST, name)


@pytest.fixture
def rows():
    """An empty store."""
    return memorystore.MemoryStore()


# What began anew after a checkpoint that could not be taken over had no id, as
# that checkpoint's output: the rest of the former followed what was new.
def test_an_output_that_begins_anew_is_not_joined_to_a_former_one(rows):
    former = [
        batchjob.Checkpoint(0, 0, 3, (b"old 3", b"old 4")),
        batchjob.Checkpoint(0, 1, 5, (b"old 5", b"old 6")),
    ]
    rows.commit(
        store.Transaction(
            {}, {checkpoint_key(one): codec.pack(one) for one in former}
        )
    )
    job_store = jobstore.JobStore(rows, "vm1", ROW_BYTES)
    partial = job_store.read_partial_outputs(HOST, "job")[0]
    assert partial.texts == []
    for number in range(1, 5):
        assert partial.append_event(number, b"new %d" % number)
    first = partial.next_checkpoint(0, batchjob.CHECKPOINT_BYTES_MAX)
    rows.commit(
        store.Transaction({}, {checkpoint_key(first): codec.pack(first)})
    )
    restored = job_store.read_partial_outputs(HOST, "job")[0]
    assert restored.text == b"new 1\nnew 2\nnew 3\nnew 4"


class Daemons:
    """Daemons that run items at engines of two versions, and lose the job.

    Several may believe that they hold it. The data of an event names its
    run, the version of its engine, and the run of the event after which this
    run went on: a text that is joined otherwise shows it.
    """

    def __init__(self, seed):
        self.random = random.Random(seed)
        self.rows = memorystore.MemoryStore()
        self.rows.page_rows_max = 2
        self.job_stores = {
            vm: jobstore.JobStore(self.rows, vm, ROW_BYTES) for vm in VMS
        }
        accepted = self.job_stores["vm1"].submit(make_record(), make_route())
        self.held_jobs = {"vm1": self.hold(accepted)}
        # Also runs of daemons that dropped the job, or hold it anew.
        self.runs = []
        self.run_count = 0
        self.id_count = 0

    @staticmethod
    def hold(found):
        """Returns the state of a job that was accepted or taken over."""
        return batchjob.HeldJob(
            joboutline.outline_of(make_record()),
            found.progress,
            found.revision,
            1000,
            0.0,
        )

    def new_id(self):
        """Returns the id of a new output."""
        self.id_count += 1
        return f"o{self.id_count}"

    def step(self):
        """Does one thing, drawn at random."""
        actions = {
            self.run_item: 8,
            self.go_on: 6,
            self.interrupt: 3,
            self.write: 12,
            self.take_over: 2,
            self.apply_late_writes: 2,
            self.lose_a_version: 1,
            self.hold_at_older_build: 1,
        }
        (action,) = self.random.choices(list(actions), actions.values())
        action()

    def holder(self):
        """Returns a daemon that believes that it holds the job, or None."""
        return self.random.choice([*sorted(self.held_jobs), None])

    def run_item(self):
        """A daemon starts an item, as the holder does."""
        held_job = self.held_jobs.get(self.holder())
        if held_job is None or not held_job.runnable_indexes(0.0):
            return
        index = self.random.choice(held_job.runnable_indexes(0.0))
        version = self.random.choice(VERSIONS)
        partial = held_job.partial_outputs.get(index)
        if partial is None:
            partial = batchjob.PartialOutput(self.new_id())
            held_job.partial_outputs[index] = partial
        if not partial.can_go_on(version, "plants"):
            return
        if not partial.texts:
            partial.version = version
            partial.pool = "plants"
        held_job.running.add(index)
        self.run_count += 1
        self.runs.append((held_job, index, partial, version, self.run_count))

    def go_on(self):
        """A run brings events; it ends with the last one."""
        if not self.runs:
            return
        run = self.random.choice(self.runs)
        held_job, index, partial, version, number = run
        source = "start"
        if partial.texts:
            last_run = partial.texts[-1].split()[1].decode()
            source = "same" if last_run == str(number) else last_run
        count = self.random.randint(0, EVENTS)
        for event_id in range(len(partial.texts) + 1, EVENTS + 1)[:count]:
            text = f"{event_id} {number} {version} {source}"
            assert partial.append_event(event_id, text.encode())
            source = "same"
        if len(partial.texts) == EVENTS:
            self.runs.remove(run)
            if held_job.partial_outputs.get(index) is partial:
                item = held_job.outline.items[index]
                held_job.finish_item(
                    index,
                    batchjob.Result(
                        item.id, batchjob.FinalStatus.DONE, partial.text
                    ),
                )

    def interrupt(self):
        """A run is interrupted."""
        if not self.runs:
            return
        run = self.random.choice(self.runs)
        self.runs.remove(run)
        held_job, index, partial, _, _ = run
        if held_job.partial_outputs.get(index) is partial:
            held_job.running.discard(index)

    def lose_a_version(self):
        """A daemon knows engines of one version only."""
        held_job = self.held_jobs.get(self.holder())
        if held_job is not None:
            version = self.random.choice(VERSIONS)
            held_job.restart_items({(version, "plants")}, self.new_id)

    def write(self):
        """A daemon commits, or repeats the same commit."""
        vm = self.holder()
        held_job = self.held_jobs.get(vm)
        if held_job is None:
            return
        if held_job.pending_commit is None:
            held_job.next_commit(2, 10_000, 0.0)
        if self.random.random() < FAULT_SHARE:
            self.rows.faults.append(self.random.choice(FAULTS))
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

    def take_over(self):
        """A daemon takes the job over, also from itself after it lost it."""
        vm = self.random.choice(VMS)
        self.held_jobs.pop(vm, None)
        opened, _ = self.job_stores[vm].list_open_jobs()
        if not opened:
            return
        taken_over = self.job_stores[vm].take_over(opened[0])
        if isinstance(taken_over, jobstore.OpenJob):
            held_job = self.hold(taken_over)
            held_job.partial_outputs.update(
                self.job_stores[vm].read_partial_outputs(HOST, "job")
            )
            self.held_jobs[vm] = held_job

    def apply_late_writes(self):
        """Writes without a response take effect now, if still possible."""
        self.rows.apply_late_writes()

    def hold_at_older_build(self):
        """A daemon of an older build holds the job, writes and is lost.

        Its checkpoints name no output, and may begin after the first event.
        """
        opened, _ = self.job_stores["vm2"].list_open_jobs()
        index = self.random.randrange(ITEMS)
        if not opened or index in opened[0].progress.listed:
            return
        older = jobstore.JobStore(self.rows, "older", ROW_BYTES)
        taken_over = older.take_over(opened[0])
        if not isinstance(taken_over, jobstore.OpenJob):
            return
        self.run_count += 1
        first_id = self.random.randint(1, 3)
        puts = {}
        for number in range(2):
            ids = range(first_id + number, first_id + number + 1)
            texts = tuple(
                b"%d %d older start" % (event_id, self.run_count)
                for event_id in ids
            )
            checkpoint = batchjob.Checkpoint(index, number, ids[0], texts)
            puts[checkpoint_key(checkpoint)] = codec.pack(checkpoint)
        self.rows.commit(store.Transaction({}, puts))

    def read_results(self):
        """Returns all results, as a caller reads them page by page."""
        results = []
        while True:
            found = self.job_stores["vm2"].read_results(
                HOST, "job", len(results)
            )
            if not found.results:
                return results
            results.extend(found.results)


def check_whole(text):
    """Checks that a text has all events of one output, each once."""
    lines = [line.split() for line in text.decode().split("\n")]
    ids = [int(line[0]) for line in lines]
    assert ids == list(range(1, EVENTS + 1)), lines
    assert len({line[2] for line in lines}) == 1, lines
    last_run = "start"
    for _, run, _, source in lines:
        assert source == ("same" if run == last_run else last_run), lines
        last_run = run


# Users' days, MIXED: ways to a text that is not whole beside answers whose end
# proves nothing.
@pytest.mark.parametrize("first_seed", range(0, SEEDS, SEEDS // 4))
def test_each_text_is_one_whole_output_whoever_held_the_job(first_seed):
    for seed in range(first_seed, first_seed + SEEDS // 4):
        daemons = Daemons(seed)
        for _ in range(STEPS):
            daemons.step()
        for result in daemons.read_results():
            check_whole(result.text)
