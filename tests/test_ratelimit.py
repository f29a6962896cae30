"""Tests the limits that engines in need name, by load pattern; no network."""

import hypothesis
from hypothesis import strategies

from samphirepost import allocator
from samphirepost import ratelimit
from samphirepost import roster
from samphirepost import slotmessages
from tests import test_limits

POOL = "plants"
TICK_S = 0.05
RUN_S = 0.4


def make_engines(count):
    """Returns the engines of a pool."""
    return [
        roster.Engine(f"e{i}", POOL, f"10.0.0.{i}:80", "a", 8, False, 1)
        for i in range(count)
    ]


def allowed(per_s):
    """Returns how many requests an engine may get in WINDOW_S."""
    return (
        test_limits.EXCESS * per_s * test_limits.WINDOW_S
        + test_limits.MORE_MAX
    )


def most_in_a_window(times):
    """Returns the most of these instants that lie in WINDOW_S."""
    return max(
        (
            sum(began <= one < began + test_limits.WINDOW_S for one in times)
            for began in times
        ),
        default=0,
    )


class Hub:
    """An Allocator under load; `sent` has the grants' times by engine."""

    def __init__(self, limits, engines=4):
        self.engines = make_engines(engines)
        self.limits = limits
        self.now_s = 100.0
        self.seq = 0
        self.next_id = 0
        self.sent = {engine.id: [] for engine in self.engines}
        self.wanted = ()
        self.asked_s = {}
        self.denied = []
        self.running = {}
        self.change()

    def change(self):
        """Replaces the hub by a new one, to which the limits are reported."""
        self.allocator = allocator.Allocator("hub")
        self.report()

    def report(self):
        """Lets the daemon report its runs and limits."""
        self.seq += 1
        over = [
            key for key, one in self.running.items() if one[1] <= self.now_s
        ]
        ended = tuple(
            slotmessages.RunEnd(key, slotmessages.Outcome.OK) for key in over
        )
        for key in over:
            del self.running[key]
        runs = tuple(
            slotmessages.Run(key, one[0]) for key, one in self.running.items()
        )
        report = slotmessages.Report(
            "vm", self.seq, runs, ended, tuple(self.wanted)
        )
        for engine, per_s in self.limits.items():
            self.allocator.limits.apply(
                slotmessages.NamedLimit(engine, 1, per_s, 0.0), self.now_s
            )
        self.allocator.set_engines(POOL, self.engines, self.now_s)
        self._record(self.allocator.apply_report(report, "vm", self.now_s))

    def request(self, **fields):
        """Asks for a slot for an online request."""
        self.next_id += 1
        self.asked_s[self.next_id] = self.now_s
        req = slotmessages.SlotRequest(
            "vm", self.next_id, POOL, "a", 0, 0.165, **fields
        )
        self._record(self.allocator.request_slot(req, "vm", self.now_s))

    def tick(self):
        """Lets a tick pass: reports, then grants to what waits."""
        self.now_s += TICK_S
        self.report()
        self._record(self.allocator.allocate(POOL, self.now_s))

    def _record(self, messages):
        for _, message in messages:
            if isinstance(message, slotmessages.Grant):
                self.sent[message.engine].append(self.now_s)
                self.running[message.id] = (
                    message.engine,
                    self.now_s + RUN_S,
                )
            elif isinstance(message, slotmessages.Denial):
                waited_s = self.now_s - self.asked_s[message.id]
                self.denied.append((message, waited_s))

    def assert_kept(self):
        """Checks each limit in each window."""
        for engine, per_s in self.limits.items():
            assert most_in_a_window(self.sent[engine]) <= allowed(per_s)


class TestSomeEnginesInNeed:
    """Load pattern: steady requests while some engines name a limit."""

    def test_they_get_their_limit_and_the_others_the_rest(self):
        hub = Hub({"e0": 2.0, "e1": 3.0})
        for _ in range(400):
            hub.request()
            hub.tick()
        hub.assert_kept()
        # What they still take is used: 20 s long.
        assert len(hub.sent["e0"]) >= 0.8 * 2.0 * 20
        assert hub.denied == []

    def test_requests_that_are_never_denied_keep_it_too(self):
        """Load pattern: streams resumed from engines that were lost."""
        hub = Hub({f"e{i}": 2.0 for i in range(4)})
        for _ in range(400):
            hub.request(never_deny=True)
            hub.tick()
        hub.assert_kept()
        assert hub.denied

    def test_batch_items_keep_it_too(self):
        hub = Hub({"e0": 2.0}, engines=1)
        for number in range(400):
            hub.wanted = [
                slotmessages.WantedSlot(10_000 + number, POOL, False, 9.0)
            ]
            hub.tick()
        hub.assert_kept()
        assert hub.sent["e0"]


class TestAllEnginesInNeed:
    """Load pattern: twice the requests that the engines still take."""

    def test_the_wait_is_reckoned_from_the_limits(self):
        """A request that cannot be served in time is denied at once."""
        hub = Hub({f"e{i}": 2.0 for i in range(4)})
        for _ in range(400):
            hub.request()
            hub.tick()
        hub.assert_kept()
        assert hub.denied
        assert {waited_s for _, waited_s in hub.denied} == {0.0}


@hypothesis.settings(max_examples=40)
@hypothesis.given(
    per_s=strategies.floats(0.0, 12.0),
    per_tick=strategies.lists(
        strategies.integers(0, 6), min_size=150, max_size=150
    ),
    changes=strategies.sets(strategies.integers(80, 149), max_size=2),
)
def test_no_engine_gets_more_than_it_named(per_s, per_tick, changes):
    """Whatever the load, and whenever the hub changes."""
    hub = Hub({"e0": per_s, "e1": per_s / 2})
    for number, count in enumerate(per_tick):
        if number in changes:
            hub.change()
        for at in range(count):
            hub.request(never_deny=at % 3 == 0)
        hub.tick()
    hub.assert_kept()


class TestWithoutAHub:
    """Each daemon chooses by itself."""

    def test_all_daemons_together_keep_the_limit(self):
        """Load pattern: 200 daemons lose the hub in one instant."""
        engine = make_engines(1)[0]
        daemons = [ratelimit.SeenLimits() for _ in range(200)]
        for one in daemons:
            one.record_answer(engine, 2.0, 0.0)
        times = []
        for tick in range(400):
            now_s = tick * TICK_S
            for one in daemons:
                if one.sendable([engine], len(daemons), now_s):
                    one.take(engine, len(daemons), now_s)
                    times.append(now_s)
        assert most_in_a_window(times) <= allowed(2.0)

    def test_engines_without_a_limit_go_first(self):
        one = ratelimit.SeenLimits()
        engines = make_engines(3)
        one.record_answer(engines[0], 2.0, 0.0)
        one.announce({"e1": 5.0})
        assert one.sendable(engines, 3, 0.0) == engines[2:]


class TestWhatLimitsHold:
    """The newest answer counts, of the engine that runs now."""

    def apply(self, limits, per_s, age_s=0.0, started_ms=1):
        """Applies what e0 named to a HubLimits at 100 s."""
        return limits.apply(
            slotmessages.NamedLimit("e0", started_ms, per_s, age_s), 100.0
        )

    def test_an_answer_without_a_limit_lifts_it(self):
        limits = ratelimit.HubLimits()
        assert self.apply(limits, 2.0, age_s=1.0)
        assert self.apply(limits, None)
        assert limits.all_rates() == {}

    def test_an_older_answer_changes_nothing(self):
        """Reports of two daemons may cross."""
        limits = ratelimit.HubLimits()
        self.apply(limits, None, age_s=1.0)
        self.apply(limits, 2.0, age_s=2.0)
        assert limits.all_rates() == {}
        self.apply(limits, 3.0)
        self.apply(limits, None, age_s=0.5)
        assert limits.all_rates() == {"e0": 3.0}

    def test_a_restarted_engine_has_no_limit(self):
        """It may keep its id."""
        limits = ratelimit.HubLimits()
        self.apply(limits, 2.0)
        limits.set_engines(
            [roster.Engine("e0", POOL, "10.0.0.1:80", "a", 8, False, 2)]
        )
        assert limits.all_rates() == {}

    def test_a_limit_that_nobody_confirms_is_dropped(self):
        """An engine that gets no request could not lift it."""
        limits = ratelimit.HubLimits()
        self.apply(limits, 0.0)
        limits.forget(101.0 + ratelimit.MEMORY_S)
        assert limits.all_rates() == {}

    def test_an_engine_that_takes_nothing_is_still_asked(self):
        """Only its answers tell that its need is over."""
        limits = ratelimit.HubLimits()
        self.apply(limits, 0.0)
        assert not limits.allows("e0", 101.0)
        assert limits.allows("e0", 105.0)

    def test_a_new_hub_gets_all_limits_reported(self):
        """Also those that no answer has confirmed of late."""
        one = ratelimit.SeenLimits()
        one.record_answer(make_engines(1)[0], 2.0, 0.0)
        assert one.to_report(10.0) == ()
        one.report_again(10.0)
        found = one.to_report(10.1)
        assert found == (slotmessages.NamedLimit("e0", 1, 2.0, 10.1),)
