"""Tests the bounds of single answers of engines."""

import contextlib

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import answerbounds
from samphirepost import attempts
from samphirepost import batchjob
from samphirepost import errors
from samphirepost import events
from samphirepost import joboutline
from samphirepost import memorybudget
from samphirepost import roster
from samphirepost import slotmessages
from samphirepost_bench import entryfleet
from samphirepost_daemon.entry import answermemory
from samphirepost_daemon.entry import boundedhttp
from samphirepost_daemon.entry import engineattempt
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import enginestatus
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import items
from samphirepost_daemon.entry import log
from samphirepost_daemon.entry import metrics
from samphirepost_daemon.entry import storerelay
from samphirepost_daemon.platform import client
from tests import entryhelper
from tests import test_answermemory
from tests import test_itemanswers

TOTAL_BYTES = 10_000_000
EVENT_COUNTS = strategies.integers(0, 10**18)
OPERATIONS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(("receive", "keep", "count_events")),
        strategies.integers(0, 2_000_000),
    )
)


@hypothesis.given(EVENT_COUNTS, EVENT_COUNTS)
def test_more_tokens_allow_no_less(tokens, more):
    """Else a longer output is cut where a shorter one is not."""
    fewer, many = sorted((max(1, tokens), max(1, more)))
    low, high = map(answerbounds.bound_of, (fewer, many))
    assert low.bytes <= high.bytes <= answerbounds.UNKNOWN.bytes
    assert low.events <= high.events <= answerbounds.UNKNOWN.events


def test_an_answer_of_unknown_tokens_has_the_largest_bound():
    """Else sound answers to requests without a token count are cut."""
    assert answerbounds.bound_of(0) == answerbounds.UNKNOWN


@hypothesis.given(OPERATIONS)
def test_all_memory_of_an_answer_is_given_back(operations):
    """A count that is not given back would shrink the budget for ever."""
    budget = memorybudget.Budget(TOTAL_BYTES)
    kind = memorybudget.Kind.ENGINE
    answer = answermemory.AnswerMemory(budget.account(kind, "e"))
    for name, count in operations:
        getattr(answer, name)(count)
        assert 0 <= budget.held(kind) <= budget.size(kind)
    answer.close()
    assert budget.held(kind) == 0


def test_a_body_keeps_its_memory_after_its_call():
    """A body that waits to be passed on would not be counted."""
    budget = memorybudget.Budget(TOTAL_BYTES)
    kind = memorybudget.Kind.ENGINE
    answer = answermemory.AnswerMemory(budget.account(kind, "e"))
    assert answer.receive(100) is None
    assert answer.keep(1000) is None
    account = answer.hand_over()
    answer.close()
    assert budget.held(kind) == 1000
    account.close()
    assert budget.held(kind) == 0


class ItemRuns:
    """Runs items at a server, with a bound and a budget of items."""

    def __init__(self, server, total_bytes=TOTAL_BYTES, tokens=40):
        self.budget = memorybudget.Budget(total_bytes)
        self._engine = roster.Engine("e1", "plants", server.address, "a", 8)
        self._answers = answermemory.AnswerMemories(self.budget, None)
        self._bound = answerbounds.bound_of(tokens)
        self.partial = batchjob.PartialOutput(
            account=self.budget.account(memorybudget.Kind.ITEM, "job")
        )

    def _new_call(self):
        return engineclient.Call(self._answers.of("e1", self._bound))

    def run(self):
        """Runs the item; returns the outcome."""
        item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
        record = batchjob.Record("job", "h", "r", item.path, (item,))
        run = holdermessages.ItemRun(
            1,
            ("h", "job"),
            0,
            self._engine,
            self.partial,
            new_call=self._new_call,
        )
        return items.run_item(
            entryhelper.DirectPaths(),
            record,
            item,
            self._engine,
            run,
            lambda: False,
            items.RunObserver(),
        )


def answer_of(count, text=b"w"):
    """Returns an answer of some events without a length."""
    return (
        test_itemanswers.HEAD
        + b"\r\n"
        + b"".join(
            b"id: %d\ndata: %s\n\n" % (number, text)
            for number in range(1, count + 1)
        )
    )


server = test_itemanswers.server


def test_an_item_with_too_many_events_has_no_end(server):
    """Its engine is to blame once the item ends elsewhere: test_itemattempts.

    An interrupted run would let the item go on with that output.
    """
    runs = ItemRuns(server)
    server.answer = answer_of(1000)
    outcome = runs.run()
    assert isinstance(outcome, items.EndlessRun)
    assert items.engine_outcome(outcome) is slotmessages.Outcome.UNKNOWN
    assert len(runs.partial.texts) <= answerbounds.bound_of(40).events


def test_the_bound_holds_over_all_answers_to_an_item(server):
    """The bound of each answer alone lets an output grow with each run."""
    runs = ItemRuns(server)
    server.answer = answer_of(300) + b"id: 301\ndata: "
    assert isinstance(runs.run(), items.InterruptedRun)
    server.answer = answer_of(600)[
        : len(test_itemanswers.HEAD) + 2
    ] + b"".join(b"id: %d\ndata: w\n\n" % number for number in range(301, 600))
    assert isinstance(runs.run(), items.EndlessRun)


def test_an_announced_length_is_refused_at_the_head(server):
    """Else megabytes are read before the answer is refused."""
    runs = ItemRuns(server)
    length = answerbounds.bound_of(40).bytes + 1
    server.answer = (
        test_itemanswers.HEAD + b"Content-Length: %d\r\n\r\n" % length
    )
    assert isinstance(runs.run(), items.EndlessRun)


def test_an_item_without_memory_is_interrupted(server):
    """An engine must not count as failing where this process has no memory."""
    runs = ItemRuns(server, total_bytes=400_000, tokens=100_000)
    server.answer = answer_of(100, b"w" * 1000)
    outcome = runs.run()
    assert isinstance(outcome, items.InterruptedRun)
    assert outcome.is_without_memory
    assert items.engine_outcome(outcome) is slotmessages.Outcome.UNKNOWN
    runs.partial.close()
    assert runs.budget.held(memorybudget.Kind.ITEM) == 0
    assert runs.budget.held(memorybudget.Kind.ENGINE) == 0


def held_job(budget):
    """Returns a HeldJob of two items whose outputs the budget counts."""
    record = batchjob.Record(
        "j",
        "h",
        "r",
        "/evening/",
        tuple(batchjob.Item(f"i{i}", "/", {}, b"", 1) for i in range(2)),
    )
    progress = batchjob.Progress("r", "vm", 0, 2, 60_000, 90_000)
    return batchjob.HeldJob(
        joboutline.outline_of(record),
        progress,
        1,
        0,
        0.0,
        lambda: budget.account(memorybudget.Kind.ITEM, "j"),
    )


def test_an_outputs_memory_is_given_back_once_the_result_is_durable():
    """Results that wait for the store are kept, and have to be counted."""
    budget = memorybudget.Budget(TOTAL_BYTES)
    job = held_job(budget)
    partial = job.begin_output(0, "o")
    event = events.Event(b"", 1, b"text")
    assert partial.try_keep([event])
    partial.append_event(1, b"text")
    job.finish_item(
        0, batchjob.Result("i0", batchjob.FinalStatus.DONE, partial.text)
    )
    assert budget.held(memorybudget.Kind.ITEM) == len(b"text")
    job.next_commit(20, 10_000, 0.0)
    job.apply_commit(2)
    assert budget.held(memorybudget.Kind.ITEM) == 0


def test_an_item_given_up_gives_its_memory_back_after_its_run():
    """The thread of a run may still add to the output of an item given up."""
    budget = memorybudget.Budget(TOTAL_BYTES)
    job = held_job(budget)
    partial = job.begin_output(0, "o")
    job.running.add(0)
    event = events.Event(b"", 1, b"text")
    assert partial.try_keep([event])
    job.give_up_item(0)
    assert partial.try_keep([event])
    job.end_run(0, partial)
    assert budget.held(memorybudget.Kind.ITEM) == 0


def test_a_job_that_is_released_gives_its_memory_back():
    """Each takeover would leave bytes counted for ever."""
    budget = memorybudget.Budget(TOTAL_BYTES)
    job = held_job(budget)
    event = events.Event(b"", 1, b"text")
    for index in range(2):
        assert job.begin_output(index, "o").try_keep([event])
    job.running.add(1)
    job.close()
    # The thread that runs an item may still add to its output.
    running = job.partial_outputs[1]
    assert budget.held(memorybudget.Kind.ITEM) == running.account.held > 0
    running.close()
    assert budget.held(memorybudget.Kind.ITEM) == 0


def test_stored_outputs_are_taken_over_as_far_as_memory_is_free():
    """A takeover must not exceed the budget; other outputs begin again."""
    budget = memorybudget.Budget(10_000)
    job = held_job(budget)
    stored = {index: batchjob.PartialOutput(f"o{index}") for index in (0, 1)}
    for partial, size in zip(stored.values(), (100, 100_000), strict=True):
        partial.append_event(1, b"w" * size)
    job.take_over_outputs(stored, lambda: "new")
    assert [job.partial_outputs[i].output_id for i in (0, 1)] == ["o0", "new"]
    job.close()
    assert budget.held(memorybudget.Kind.ITEM) == 0


class ReportParts:
    """What a question for an engine's report needs, without a daemon."""

    def __init__(self, total_bytes):
        budget = memorybudget.Budget(total_bytes)
        self.answers = answermemory.AnswerMemories(budget, None)
        self.paths = self
        self.load_tracker = self
        self.slots = self
        self.failed = []

    @staticmethod
    def open(*args):
        """Sends a request; see PathMonitor.open()."""
        return entryhelper.DirectPaths.open(*args)

    @staticmethod
    def choose_peer(_excluded):
        """Returns "", as there are no peers."""
        return ""

    def record_failure(self, engine_id, _now_s):
        """Records that an engine failed."""
        self.failed.append(engine_id)

    def record_engine_failure(self, engine_id):
        """Reports that an engine failed."""
        self.failed.append(engine_id)


def ask_report(server, total_bytes):
    """Asks a server for its report; returns the way to it and who failed."""
    parts = ReportParts(total_bytes)
    engine = roster.Engine("e1", "plants", server.address, "a", 8)
    way = enginestatus.find_way(parts, engine, "", entryhelper.WAIT_S)
    return way, set(parts.failed)


def test_a_report_without_end_is_the_engines_failure(server):
    """An engine that does not stop was taken for one that is not seen."""
    length = enginestatus.REPORT_BYTES_MAX + 1
    server.request_end = b"\r\n\r\n"
    server.answer = test_itemanswers.HEAD + b"\r\n" + b"x" * length
    assert ask_report(server, 100_000_000) == (None, {"e1"})
    server.answer = (
        test_itemanswers.HEAD + b"Content-Length: %d\r\n\r\n" % length
    )
    assert ask_report(server, 100_000_000) == (None, {"e1"})


def test_a_report_without_memory_tells_nothing_of_the_engine(server):
    """A sound engine would be avoided, as this process has no memory."""
    server.request_end = b"\r\n\r\n"
    server.answer = test_itemanswers.HEAD + b"\r\n" + b"x" * 500_000
    assert ask_report(server, 1_000_000) == (None, set())


def test_an_attempt_without_memory_tells_nothing_of_the_engine():
    """An engine must not be avoided where this process has no memory."""
    attempt = engineattempt.FailedAttempt(
        attempts.AttemptFailure.NO_MEMORY, "reason"
    )
    assert attempt.outcome is slotmessages.Outcome.UNKNOWN
    history = attempts.History(True, 3)
    history.record_failure("e1", attempt.seen)
    assert history.next_action(1.0) is attempts.NextAction.FAIL


@pytest.fixture
def fleet():
    """One daemon with one engine."""
    new_fleet = entryhelper.Fleet(engines=1)
    yield new_fleet
    new_fleet.stop()


def list_in_place(fleet, server):
    """Lists a server in place of the fleet's engine."""
    name = fleet.engines[0].name
    entry = fleet.engines[0].entry(entryfleet.POOL)
    fleet.store.put_row("servers", name, entry | {"address": server.address})
    entryhelper.wait_until(
        lambda: (
            fleet.daemons[0].state.roster.get(name).address == server.address
        ),
        "the server is listed",
    )


def wait_given_back(fleet):
    """Waits until a daemon keeps nothing of engines and items."""
    budget = fleet.daemons[0].parts.budget
    kinds = (memorybudget.Kind.ENGINE, memorybudget.Kind.ITEM)
    entryhelper.wait_until(
        lambda: not any(map(budget.held, kinds)), "the memory is given back"
    )


def test_a_stream_over_its_bound_is_broken_off(fleet):
    """A stream for 40 tokens was passed on up to 16 MiB."""
    endless = test_answermemory.EndlessEngine(
        test_answermemory.numbered_events
    )
    list_in_place(fleet, endless)
    reply = fleet.send_online("r1", "/bills/1", **{"Token-Count": "10,40"})
    # The first bytes that are read may be over the bound already.
    assert (reply.status, reply.complete) in ((200, False), (502, True))
    assert reply.body.count(b"\n\n") <= answerbounds.bound_of(40).events
    wait_given_back(fleet)
    endless.stop()


class GivingUpEngine(entryhelper.RawServer):
    """Breaks its first answer off after an event; then answers 422."""

    def __init__(self):
        self.answers = 0
        super().__init__()

    def serve(self, conn):
        """Answers one request."""
        data = entryhelper.read_head(conn)
        if data is None:
            return
        found = test_answermemory.REQUEST_ID.search(data)
        head = b"Request-Id: %s\r\nResponse-Seal: s\r\n" % found[1]
        self.answers += 1
        if self.answers == 1:
            conn.sendall(
                b"HTTP/1.1 200 OK\r\nContent-Length: 100\r\n%s\r\n"
                b"id: 1\ndata: w\n\n" % head
            )
        else:
            conn.sendall(
                b"HTTP/1.1 422 X\r\nContent-Length: 0\r\n%s\r\n" % head
            )


def test_an_item_that_no_attempt_can_complete_gives_its_memory_back(fleet):
    """What an item has put out was counted for ever."""
    engine = GivingUpEngine()
    list_in_place(fleet, engine)
    assert fleet.submit("j", 1).status == 202
    entryhelper.wait_until(
        lambda: fleet.complete_results("j"), "the item is given up"
    )
    assert engine.answers == 2
    wait_given_back(fleet)
    engine.stop()


class LargeStore(entryhelper.RawServer):
    """A store whose answers have `size` bytes; counts the requests."""

    def __init__(self, size):
        self._size = size
        self.requests = 0
        super().__init__()

    def serve(self, conn):
        """Answers one request."""
        conn.recv(65_536)
        self.requests += 1
        head = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % self._size
        with contextlib.suppress(OSError):
            conn.sendall(head + b"x" * self._size)


def test_an_object_without_memory_fails_alone():
    """The store would count as out, and all other requests go to peers."""
    budget = memorybudget.Budget(TOTAL_BYTES)
    large = LargeStore(TOTAL_BYTES)
    count = metrics.Metrics()
    guard = boundedhttp.Watchdog(log.Log("vm"))
    direct = client.StoreClient(large.address, count, guard, budget)
    failover = storerelay.FailoverStore(
        "me", direct, dict, log.Log("me"), count, guard, budget
    )
    assert failover.get_object("o").kind is errors.Kind.NO_MEMORY
    found = failover.request_directly(storerelay.GetObject("o"))
    assert found.kind is errors.Kind.NO_MEMORY
    assert large.requests == 2
    assert budget.held(memorybudget.Kind.STORE) == 0
    large.stop()


def test_what_is_held_and_refused_is_shown():
    """Refusals for lack of memory could not be told from other failures."""
    budget = memorybudget.Budget(TOTAL_BYTES)
    shown = metrics.Metrics()
    shown.show_budget(budget)
    account = budget.account(memorybudget.Kind.RELAY, "peer")
    assert account.take(100)
    assert not account.take(TOTAL_BYTES)
    text = shown.render().decode()
    assert 'samphirepost_memory_held_bytes{kind="relay"} 100.0' in text
    assert 'samphirepost_memory_refusals{kind="relay"} 1.0' in text
