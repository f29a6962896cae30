"""A partition's ledger under pauses, lost answers and takeovers."""

import collections

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st

from samphirepost import errors
from samphirepost import jobs
from samphirepost import ledger
from samphirepost import messages
from samphirepost import records
from samphirepost_daemon import results
from tests import helper

NAMES = ("vm-a", "vm-b", "vm-c")
WORKS = ("req-000-a", "req-000-b")
ITEMS = 5


def decide(state, command, seconds=0, live=lambda name: True):
    """Decides and applies at once, as if all were durable."""
    now = helper.at(seconds)
    decision = ledger.decide(command, state, now, live)
    for position, record in enumerate(decision.appended):
        reference = records.Reference(f"s{seconds}", position)
        ledger.apply(record, state, reference, now)
    return decision.reply


def new_state():
    return ledger.State(helper.CLAIM_S, helper.BLAMES_MAX)


def test_second_attempt_of_a_started_request_is_not_sent():
    state = new_state()
    assert decide(state, helper.begin()).standing is messages.Standing.GO
    again = decide(state, helper.begin(attempt="2"))
    assert again.standing is messages.Standing.RUNNING
    lost = decide(state, helper.begin(attempt="2"), live=lambda name: False)
    assert lost.standing is messages.Standing.UNKNOWN


def test_attempt_that_was_not_sent_can_be_replaced_but_not_resumed():
    state = new_state()
    decide(state, helper.begin())
    decide(state, messages.NotSent("req-000-a", "1"))
    stale = decide(state, helper.begin())
    assert stale.kind is errors.Kind.CANCELLED
    fresh = decide(state, helper.begin(attempt="2"))
    assert fresh.standing is messages.Standing.GO
    late = decide(state, helper.finish(attempt="1"))
    assert late.kind is errors.Kind.CANCELLED


def test_first_result_wins():
    state = new_state()
    first = decide(state, helper.finish(idempotent=True))
    second = decide(state, helper.finish(attempt="2", idempotent=True), 1)
    assert first.kept
    assert not second.kept
    assert second.reference == records.Reference("s0", 0)


def test_key_with_another_body_is_refused():
    state = new_state()
    decide(state, helper.finish(idempotent=True))
    reply = decide(state, helper.begin(digest="other"))
    assert reply.kind is errors.Kind.KEY_REUSED


def test_results_are_read_by_their_caller_alone():
    state = new_state()
    decide(state, helper.finish(idempotent=True))
    reply = decide(state, messages.Fetch("req-000-a", "stranger"))
    assert reply.kind is errors.Kind.NOT_FOUND


def test_nothing_is_committed_after_a_cancel():
    state = new_state()
    decide(state, messages.Submit(helper.job()))
    grant = decide(state, helper.pull("c")).grants[0]
    decide(state, messages.Cancel("job-000-j", "caller"))
    late = messages.ItemFinish("job-000-j", grant.claim, (helper.done(0),))
    assert decide(state, late).kind is errors.Kind.CANCELLED
    renewal = messages.Renew(0, "vm-a", (grant.claim,))
    assert decide(state, renewal).lost == (grant.claim,)
    assert not decide(state, helper.pull("d")).grants


def test_started_item_of_a_lost_holder_is_unknown_and_never_sent_again():
    state = new_state()
    decide(state, messages.Submit(helper.job(2, idempotent=False)))
    claim = decide(state, helper.pull("c")).grants[0].claim
    start = messages.ItemStart("job-000-j", 0, claim)
    assert isinstance(decide(state, start), messages.Done)
    assert decide(state, start).outcome is errors.Outcome.UNKNOWN
    lapse(state, helper.CLAIM_S + 1)
    job = state.jobs["job-000-j"]
    assert job.states[0] == jobs.Item.UNKNOWN
    grant = decide(state, helper.pull("d", runner="vm-b"), 9).grants[0]
    assert grant.items == (1,)
    fenced = messages.ItemStart("job-000-j", 1, claim)
    assert decide(state, fenced, 9).kind is errors.Kind.STALE_EPOCH


def lapse(state, seconds):
    now = helper.at(seconds)
    for record in ledger.lapse(state, now, results.ended_line):
        reference = records.Reference("lapse", 0)
        ledger.apply(record, state, reference, now)


def test_item_that_takes_its_holders_down_ends_and_the_job_completes():
    """The killer runs alone in the end; the others are not blamed."""
    state = new_state()
    decide(state, messages.Submit(helper.job(3)))
    seconds = 0
    for _ in range(10):
        grants = decide(state, helper.pull(f"c{seconds}"), seconds).grants
        if not grants:
            break
        if 0 in grants[0].items:
            seconds += helper.CLAIM_S + 1
            lapse(state, seconds)
            continue
        found = tuple(helper.done(item) for item in grants[0].items)
        finish = messages.ItemFinish("job-000-j", grants[0].claim, found)
        decide(state, finish, seconds)
    job = state.jobs["job-000-j"]
    assert list(job.states) == [
        jobs.Item.FAILED,
        jobs.Item.DONE,
        jobs.Item.DONE,
    ]
    assert ledger.completed(state) == [job]


def test_earliest_deadline_goes_first_and_callers_share():
    state = new_state()
    for name, caller, due in (
        ("job-000-a", "one", 300.0),
        ("job-000-b", "one", 100.0),
        ("job-000-c", "two", 900.0),
    ):
        accepted = helper.job(20, name, caller=caller, due=due)
        decide(state, messages.Submit(accepted))
    pulled = [
        decide(state, helper.pull(f"c{n}", room=4), n).grants[0]
        for n in range(6)
    ]
    works = [grant.accepted.work for grant in pulled]
    assert works[0] == "job-000-b"
    held = collections.Counter(g.accepted.caller for g in pulled)
    assert held == {"one": 3, "two": 3}


def test_snapshot_gives_the_same_state_as_replay():
    table, objects = helper.FakeTable(), helper.FakeObjects()
    found = helper.owner(table, objects)
    now = helper.at(0)
    found.handle(messages.Submit(helper.job()), "t", now)
    for number in range(7):
        work = f"req-000-{number}"
        found.handle(helper.finish(work, idempotent=True), "t", now)
        found.handle(helper.pull(f"c{number}", room=1), "t", now)
        found.run_to_end(now)
    assert helper.row(table).snapshot
    loaded = helper.load(table, objects, now)
    assert ledger.save(loaded) == ledger.save(found.held.state)


class Takeovers(stateful.RuleBasedStateMachine):
    """Three daemons, one partition, any order of steps and faults.

    What was said to callers is compared with what the platform holds in
    the end, as a fresh owner would load it.
    """

    def __init__(self):
        super().__init__()
        self.table = helper.FakeTable()
        self.objects = helper.FakeObjects()
        ids = helper.Ids()
        self.owners = {
            name: helper.Owner(name, self.table, self.objects, ids)
            for name in NAMES
        }
        self.seconds = 0.0
        self.count = 0
        self.attempts = []
        self.claims = []
        self.dead = set()

    def ticket(self, command):
        self.count += 1
        return (self.count, command)

    def tell(self, name, command):
        owner = self.owners[name]
        owner.handle(command, self.ticket(command), self.now, self.live)

    @property
    def now(self):
        return helper.at(self.seconds)

    def live(self, name):
        return name not in self.dead

    @stateful.rule(seconds=st.sampled_from([0.1, 1.0, 4.0, 6.0]))
    def pass_time(self, seconds):
        self.seconds += seconds

    @stateful.rule(name=st.sampled_from(NAMES))
    def take(self, name):
        owner = self.owners[name]
        if owner.held is None and owner.taking is None:
            owner.take(self.now)

    @stateful.rule(name=st.sampled_from(NAMES))
    def settle_take(self, name):
        if self.owners[name].taking is not None:
            self.owners[name].settle_take()

    @stateful.rule(fault=st.sampled_from(["refuse", "lose", "late"]))
    def strike(self, fault):
        self.table.faults.append(fault)

    @stateful.rule(index=st.integers(0, 5))
    def deliver(self, index):
        self.table.deliver(index)

    @stateful.rule(out=st.booleans())
    def objects_out(self, out):
        self.objects.out = out

    @stateful.rule(out=st.booleans())
    def reads_out(self, out):
        self.table.reads_out = out

    @stateful.rule(
        name=st.sampled_from(NAMES),
        work=st.sampled_from(WORKS),
        daemon=st.sampled_from(NAMES),
    )
    def begin(self, name, work, daemon):
        attempt = f"attempt-{self.count}"
        self.attempts.append((work, attempt))
        command = messages.Begin(
            work, "caller", "d", attempt, daemon, False, 2000.0
        )
        self.tell(name, command)

    @stateful.rule(
        name=st.sampled_from(NAMES), index=st.integers(0, 9)
    )
    def not_sent(self, name, index):
        """An attempt that never got its GO says that it was not sent."""
        if not self.attempts:
            return
        work, attempt = self.attempts[index % len(self.attempts)]
        if (work, attempt) not in self.gone():
            self.tell(name, messages.NotSent(work, attempt))
            self.attempts.remove((work, attempt))

    @stateful.rule(
        name=st.sampled_from(NAMES), index=st.integers(0, 9)
    )
    def finish(self, name, index):
        gone = self.gone()
        if gone:
            work, attempt = gone[index % len(gone)]
            body = attempt.encode()
            self.tell(name, helper.finish(work, attempt, body=body))

    @stateful.rule(name=st.sampled_from(NAMES), dead=st.booleans())
    def lose(self, name, dead):
        (self.dead.add if dead else self.dead.discard)(name)

    @stateful.rule(
        name=st.sampled_from(NAMES), idempotent=st.booleans()
    )
    def submit(self, name, idempotent):
        work = "job-000-i" if idempotent else "job-000-n"
        accepted = helper.job(ITEMS, work, idempotent)
        self.tell(name, messages.Submit(accepted))

    @stateful.rule(
        name=st.sampled_from(NAMES),
        runner=st.sampled_from(NAMES),
        room=st.integers(1, ITEMS),
    )
    def pull(self, name, runner, room):
        self.tell(name, helper.pull(f"c{self.count}", room, runner))

    @stateful.rule(
        name=st.sampled_from(NAMES),
        index=st.integers(0, 9),
        pick=st.integers(0, ITEMS),
    )
    def item_start(self, name, index, pick):
        grants = self.grants()
        if grants:
            grant = grants[index % len(grants)]
            item = grant.items[pick % len(grant.items)]
            if not grant.accepted.idempotent:
                command = messages.ItemStart(
                    grant.accepted.work, item, grant.claim
                )
                self.tell(name, command)

    @stateful.rule(
        name=st.sampled_from(NAMES), index=st.integers(0, 9)
    )
    def item_finish(self, name, index):
        grants = self.grants()
        if grants:
            grant = grants[index % len(grants)]
            sent = self.sent_items()
            items = [
                item
                for item in grant.items
                if grant.accepted.idempotent
                or (grant.accepted.work, item, grant.claim) in sent
            ]
            line = grant.claim.encode()
            found = tuple(helper.done(item, line) for item in items)
            self.tell(
                name,
                messages.ItemFinish(grant.accepted.work, grant.claim, found),
            )

    @stateful.rule(name=st.sampled_from(NAMES))
    def cancel(self, name):
        self.tell(name, messages.Cancel("job-000-i", "caller"))

    @stateful.rule(name=st.sampled_from(NAMES))
    def lapse(self, name):
        owner = self.owners[name]
        if owner.held is not None:
            owner.held.lapse(self.now, results.ended_line)

    @stateful.rule(name=st.sampled_from(NAMES))
    def release(self, name):
        if self.owners[name].held is not None:
            self.owners[name].held.releasing = True

    @stateful.rule(name=st.sampled_from(NAMES))
    def close(self, name):
        self.owners[name].close(self.now)

    @stateful.rule(name=st.sampled_from(NAMES))
    def commit(self, name):
        owner = self.owners[name]
        if owner.closing is not None:
            owner.commit(self.now)
            if owner.held is not None and owner.held.row.owner == "":
                owner.said.extend(owner.held.dropped(False))
                owner.held = None

    def said(self):
        return [due for owner in self.owners.values() for due in owner.said]

    def gone(self):
        """Returns the attempts that were told to go."""
        return [
            (command.work, command.attempt)
            for _, command, reply in self.replies()
            if isinstance(reply, messages.BeginReply)
            and reply.standing is messages.Standing.GO
        ]

    def replies(self):
        return [(*due.ticket, due.reply) for due in self.said()]

    def grants(self):
        return [
            grant
            for _, _, reply in self.replies()
            if isinstance(reply, messages.PullReply)
            for grant in reply.grants
        ]

    def sent_items(self):
        return [
            (command.work, command.item, command.claim)
            for _, command, reply in self.replies()
            if isinstance(command, messages.ItemStart)
            and isinstance(reply, messages.Done)
        ]

    @stateful.invariant()
    def a_request_is_sent_once_at_most(self):
        works = [work for work, _ in set(self.gone())]
        assert len(works) == len(set(works))

    @stateful.invariant()
    def an_item_that_may_not_repeat_is_sent_once_at_most(self):
        items = [(work, item) for work, item, _ in self.sent_items()]
        assert len(items) == len(set(items))

    def teardown(self):
        self.table.reads_out = False
        self.objects.out = False
        now = helper.at(self.seconds)
        state = helper.load(self.table, self.objects, now)
        for _, command, reply in self.replies():
            self.check(command, reply, state)

    def check(self, command, reply, state):
        """What was said must be what a fresh owner finds."""
        if isinstance(reply, messages.FinishReply) and reply.kept:
            entry = state.entries[command.work]
            assert entry.attempt == command.attempt
            assert entry.reference.segment in self.objects.held
        if isinstance(reply, messages.SubmitReply):
            assert reply.work in state.jobs
        if isinstance(command, messages.ItemFinish) and isinstance(
            reply, messages.Done
        ):
            job = state.jobs[command.work]
            for result in command.results:
                assert job.states[result.item] not in jobs.OPEN_STATES
        if isinstance(reply, messages.JobStatus):
            job = state.jobs[reply.work]
            assert job.phase is jobs.Phase.CANCELLED


Takeovers.TestCase.settings = hypothesis.settings(
    max_examples=150, stateful_step_count=50
)
TestTakeovers = Takeovers.TestCase


def test_write_that_took_effect_unheard_is_read_back():
    """A lost answer neither fences the owner nor doubles the segment."""
    table, objects = helper.FakeTable(), helper.FakeObjects()
    found = helper.owner(table, objects)
    now = helper.at(0)
    found.handle(helper.finish(idempotent=True), "t", now)
    table.faults = ["lose"]
    found.close(now)
    found.commit(now)
    assert found.said[0].reply.kept
    assert len(helper.row(table).segments) == 1


def test_paused_owner_that_wakes_commits_nothing():
    table, objects = helper.FakeTable(), helper.FakeObjects()
    old = helper.owner(table, objects, "vm-a")
    now = helper.at(0)
    old.handle(helper.finish(body=b"old", idempotent=True), "t", now)
    old.close(now)
    new = helper.owner(table, objects, "vm-b", seconds=10)
    later = helper.at(11)
    new.handle(helper.finish(attempt="2", idempotent=True), "n", later)
    new.run_to_end(later)
    old.commit(later)
    assert old.said[0].reply.kind is errors.Kind.NOT_OWNER
    entry = helper.load(table, objects, later).entries["req-000-a"]
    assert entry.attempt == "2"


def test_stale_owner_answers_no_status():
    """Its lease has lapsed by its own clock; another may have moved on."""
    table, objects = helper.FakeTable(), helper.FakeObjects()
    old = helper.owner(table, objects)
    old.handle(messages.Submit(helper.job()), "t", helper.at(0))
    old.run_to_end(helper.at(0))
    late = helper.at(helper.LEASE_S)
    old.handle(messages.Status("job-000-j", "caller"), "s", late)
    assert old.said[-1].reply.kind is errors.Kind.NOT_OWNER
