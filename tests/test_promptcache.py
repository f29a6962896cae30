"""Tests what the hub infers of the prompts that engines hold."""

import hypothesis
from hypothesis import strategies
import msgspec

from samphirepost import allocator
from samphirepost import poolview
from samphirepost import promptcache
from samphirepost import roster
from samphirepost import slotmessages

POOL = "plants"
SLOTS = 8
KV_TOKENS = 72_000


def make_prompt(*parts):
    """Returns PromptParts, of (id, tokens) pairs."""
    return tuple(slotmessages.PromptPart(*part) for part in parts)


SYSTEM = make_prompt(("system", 2000), ("tools", 2000))


class Hub:
    """An Allocator of idle engines, asked by one daemon."""

    def __init__(self, engines=4, kv_tokens=KV_TOKENS, zones="a"):
        self.engines = [
            roster.Engine(
                f"e{i}", POOL, f"10.0.0.{i}:80", zones[i % len(zones)], SLOTS
            )
            for i in range(engines)
        ]
        self.allocator = allocator.Allocator("hub")
        self.kv_tokens = kv_tokens
        self.seq = 0
        self.now_s = 0.0
        self.refresh()

    def refresh(self):
        """Reads the engines again."""
        self.now_s += allocator.REFRESH_INTERVAL_S
        self.allocator.set_engines(
            POOL, self.engines, self.now_s, self.kv_tokens
        )

    def request(self, run_id, prompt=(), **fields):
        """Asks for a slot; returns the engine granted, or the message."""
        fields = {"priority": 0, "wait_max_s": 0.12, "prompt": prompt} | fields
        req = slotmessages.SlotRequest("vm0", run_id, POOL, "a", **fields)
        ((_, message),) = self.allocator.request_slot(req, "vm0", self.now_s)
        return getattr(message, "engine", message)

    def end(self, *run_ids, **fields):
        """Reports that only these runs have ended."""
        ended = tuple(
            slotmessages.RunEnd(one, slotmessages.Outcome.OK, **fields)
            for one in run_ids
        )
        self.seq += 1
        report = slotmessages.Report("vm0", self.seq, (), ended)
        self.allocator.apply_report(report, "vm0", self.now_s)

    def want(self, run_id, prompt):
        """Wants a slot for an item; returns the engines granted by id."""
        wanted = slotmessages.WantedSlot(
            run_id, POOL, False, 10.0, prompt=prompt
        )
        self.seq += 1
        report = slotmessages.Report("vm0", self.seq, wanted=(wanted,))
        self.allocator.apply_report(report, "vm0", self.now_s)
        return {
            message.id: message.engine
            for _, message in self.allocator.allocate(POOL, self.now_s)
        }


def with_question(number):
    """Returns a prompt that begins like others and ends with its own part."""
    return SYSTEM + make_prompt((f"question{number}", 100))


def test_a_prompt_goes_where_its_beginning_was_read():
    """Any engine has a free slot; only one need not read 4,000 tokens."""
    hub = Hub()
    first = hub.request(0, with_question(0))
    hub.end(0)
    assert [hub.request(i, with_question(i)) for i in range(1, 4)] == [
        first
    ] * 3
    assert hub.allocator.prompts.reused_tokens == 3 * 4000
    assert hub.allocator.prompts.prompt_tokens == 4 * 4100


def test_saving_little_does_not_unbalance_the_engines():
    """Load pattern: prompts of 450 tokens, of which most are shared."""
    hub = Hub()
    prompt = make_prompt(("a", 250), ("b", 200))
    engines = [hub.request(i, prompt) for i in range(4 * SLOTS)]
    for i in range(0, 4 * SLOTS, 8):
        counts = {one: engines[: i + 8].count(one) for one in set(engines)}
        assert max(counts.values()) - min(counts.values()) <= 3


def test_a_popular_part_spreads_over_the_engines():
    """An engine that is full gets no more; the next ones read it too."""
    hub = Hub()
    prompt = make_prompt(("popular", 8000))
    for i in range(2 * SLOTS + 1):
        assert isinstance(hub.request(i, prompt), str)
    assert len(hub.allocator.prompts._indexes[POOL]) == 1
    ((_, holders),) = hub.allocator.prompts._indexes[POOL].items()
    assert len(holders) >= 2


def test_a_free_slot_now_is_better_than_a_wait():
    """The only engine that holds the prompt is full."""
    hub = Hub(2)
    prompt = make_prompt(("long", 8000))
    engines = [hub.request(i, prompt) for i in range(2 * SLOTS)]
    assert sorted(engines) == ["e0"] * SLOTS + ["e1"] * SLOTS


def test_a_part_without_those_before_it_is_not_reused():
    """Engines reuse prompts from their beginning on."""
    hub = Hub()
    hub.request(0, make_prompt(("first", 5000), ("second", 5000)))
    hub.end(0)
    hub.request(1, make_prompt(("other", 5000), ("second", 5000)))
    assert hub.allocator.prompts.reused_tokens == 0
    hub.request(2, make_prompt(("first", 5000), ("third", 5000)))
    assert hub.allocator.prompts.reused_tokens == 5000


def test_a_hit_gives_way_to_health():
    """The engine that holds the prompt fails its requests."""
    hub = Hub()
    holder = hub.request(0, SYSTEM)
    hub.end(0)
    for vm in ("vm1", "vm2", "vm3"):
        hub.allocator.health.record_failure(holder, vm, hub.now_s)
    assert hub.request(1, SYSTEM) != holder


def test_a_hit_gives_way_to_a_faster_engine():
    """The time saved is less than what a slow engine takes longer."""
    hub = Hub()
    prompt = make_prompt(("short", 300))
    holder = hub.request(0, prompt)
    hub.end(0)
    for engine in hub.engines:
        pace_s = 0.03 if engine.id == holder else 0.02
        end = slotmessages.RunEnd(9, slotmessages.Outcome.OK, pace_s)
        for _ in range(3):
            hub.allocator.times.record_end(engine.id, end, hub.now_s)
    hub.refresh()
    assert hub.request(1, prompt) != holder


def test_a_small_saving_gives_way_to_the_zone():
    """Few tokens take less time to read than a way to another zone."""
    hub = Hub(2, zones="ba")
    tiny = make_prompt(("tiny", 30))
    assert hub.request(0, tiny, excluded=("e1",)) == "e0"
    hub.end(0)
    assert hub.request(1, tiny) == "e1"


def test_nothing_is_granted_beyond_the_memory():
    """Running requests hold their prompts and outputs, up to the end."""
    hub = Hub(2, kv_tokens=10_000)
    prompt = make_prompt(("big", 3000))
    found = [hub.request(i, prompt, output_tokens=2000) for i in range(4)]
    assert sorted(found) == ["e0", "e0", "e1", "e1"]
    assert isinstance(
        hub.request(4, prompt, output_tokens=2000), slotmessages.Queued
    )
    hub.request(5, prompt, output_tokens=2000, never_deny=True)
    hub.end(0)
    assert hub.request(6) in ("e0", "e1") or hub.allocator.waiting_count
    ((_, message), *_) = hub.allocator.allocate(POOL, hub.now_s)
    assert message.engine == found[0]


def test_a_new_hub_counts_what_runs_hold_already():
    """Reports may arrive before it reads the engines of the pool."""
    hub = Hub(1, kv_tokens=10_000)
    other = allocator.Allocator("new")
    runs = (slotmessages.Run(1, "e0", tokens=6000),)
    report = slotmessages.Report("vm1", 1, runs)
    for found in (other, hub.allocator):
        found.apply_report(report, "vm1", hub.now_s)
    other.set_engines(POOL, hub.engines, hub.now_s, hub.kv_tokens)
    hub.allocator = other
    big = make_prompt(("big", 4001))
    assert isinstance(hub.request(2, big), slotmessages.Queued)
    assert hub.request(3, make_prompt(("fits", 4000)), never_deny=True) == "e0"
    assert not other.prompts.fits("e0", 1)
    report = slotmessages.Report("vm1", 2)
    other.apply_report(report, "vm1", hub.now_s)
    assert other.prompts.fits("e0", 6000)


def test_what_no_engine_can_hold_does_not_wait():
    """The daemon sends it to an engine, which tells why it cannot run."""
    hub = Hub(2, kv_tokens=1000)
    found = hub.request(1, make_prompt(("huge", 1001)))
    assert found == slotmessages.Denial("hub", 1, None)


def test_an_item_that_no_engine_can_hold_holds_up_no_others():
    """Items behind one that never fits would wait for ever."""
    hub = Hub(2, kv_tokens=1000)
    assert hub.want(1, make_prompt(("huge", 1001))) == {}
    assert list(hub.want(2, make_prompt(("small", 10)))) == [2]


def test_items_go_where_their_prompts_were_read():
    """Else the items of a job read their shared prompt at every engine."""
    hub = Hub()
    holder = hub.request(0, SYSTEM)
    hub.end(0)
    assert hub.want(1, with_question(1)) == {1: holder}


def test_a_restarted_engine_holds_nothing():
    """It has the same id and address."""
    hub = Hub()
    hub.request(0, SYSTEM)
    hub.end(0)
    hub.request(1, SYSTEM)
    hub.engines = [
        msgspec.structs.replace(one, started_ms=1) for one in hub.engines
    ]
    hub.refresh()
    assert not hub.allocator.prompts._indexes[POOL]
    before = hub.allocator.prompts.reused_tokens
    hub.end(1)
    hub.request(2, SYSTEM)
    assert hub.allocator.prompts.reused_tokens == before


def test_an_engine_of_another_version_holds_nothing():
    """Prompts would be sent to an engine that has to read them again."""
    hub = Hub()
    hub.request(0, SYSTEM)
    hub.end(0)
    hub.engines = [
        msgspec.structs.replace(one, version="v2") for one in hub.engines
    ]
    hub.refresh()
    assert not hub.allocator.prompts._indexes[POOL]


def test_an_engine_that_leaves_is_forgotten():
    """Memory of the hub would grow with each engine that was listed."""
    hub = Hub()
    for i in range(3 * SLOTS):
        hub.request(i, SYSTEM)
    hub.engines = []
    hub.refresh()
    assert not hub.allocator.prompts._indexes[POOL]
    assert not hub.allocator.prompts._caches
    hub.end(*range(3 * SLOTS))


def test_a_grant_that_was_not_used_leaves_nothing():
    """Parts that no engine has read would count as held."""
    hub = Hub()
    hub.request(0, SYSTEM)
    hub.end(0, is_unused=True)
    assert not hub.allocator.prompts._indexes[POOL]


def test_with_unknown_memory_only_running_requests_count():
    """How long an engine keeps a part is not known then."""
    hub = Hub(kv_tokens=0)
    first = hub.request(0, SYSTEM)
    assert hub.request(1, SYSTEM) == first
    hub.end(0)
    hub.end(1)
    assert not hub.allocator.prompts._indexes[POOL]
    huge = make_prompt(("huge", 10**9))
    assert isinstance(hub.request(2, huge), str)


def test_requests_without_a_prompt_are_served_as_before():
    """A small memory must not keep them from any slot."""
    hub = Hub(2, kv_tokens=10)
    found = [hub.request(i, output_tokens=99) for i in range(2 * SLOTS)]
    assert sorted(found) == ["e0"] * SLOTS + ["e1"] * SLOTS


def test_the_work_of_a_choice_does_not_grow_with_the_engines(monkeypatch):
    """Load pattern: the planned size, and a part that all engines hold."""
    looked_at = []
    reused_tokens = promptcache.EngineCache.reused_tokens
    is_eligible = poolview.PoolView.is_eligible

    def count_reused(self, prompt):
        looked_at[-1] += 1
        return reused_tokens(self, prompt)

    def count_eligible(self, engine_id, req):
        looked_at[-1] += 1
        return is_eligible(self, engine_id, req)

    monkeypatch.setattr(promptcache.EngineCache, "reused_tokens", count_reused)
    monkeypatch.setattr(poolview.PoolView, "is_eligible", count_eligible)
    for engines in (100, 3000):
        hub = Hub(engines)
        looked_at.append(0)
        for engine in hub.engines:
            req = slotmessages.SlotRequest(
                "vm0", 1, POOL, "a", 0, 0.1, prompt=SYSTEM
            )
            hub.allocator.prompts.start(engine.id, req)
        looked_at[-1] = 0
        for i in range(50):
            hub.request(i, with_question(i))
    assert looked_at[1] <= 1.5 * looked_at[0]
    assert looked_at[1] < 50 * 4 * promptcache.HOLDERS_COMPARED_MAX


_PARTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from("abcd"), strategies.integers(0, 40)
    ),
    min_size=1,
    max_size=5,
)


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["start", "end", "unused", "resize"]),
            _PARTS,
            strategies.integers(0, 30),
        ),
        max_size=60,
    )
)
def test_what_is_kept_fits_the_memory_and_begins_with_its_beginning(steps):
    """A part whose beginning was evicted would be counted on in vain."""
    index = {}
    engine = roster.Engine("e0", POOL, "10.0.0.1:80", "a", SLOTS)
    cache = promptcache.EngineCache(engine, index, 100)
    parents = {}
    holds = []
    for step, parts, number in steps:
        if step == "start":
            prompt = promptcache.Prompt(make_prompt(*parts), number)
            parents.update(zip(prompt.keys, (0, *prompt.keys), strict=False))
            if cache.fits(prompt.total):
                holds.append(promptcache.Hold(cache, prompt))
        elif step == "resize":
            cache.resize(3 * number + 10)
        elif holds:
            hold = holds.pop(number % len(holds))
            hold.is_unused = step == "unused"
            hold.release()
        known = cache._held.keys() | cache._kept.keys()
        assert not cache._held.keys() & cache._kept.keys()
        assert index.keys() == known
        assert {parents[key] for key in known} <= known | {0}
        assert cache.running_tokens >= 0
        assert cache._kept_tokens == sum(
            part.tokens for part in cache._kept.values()
        )
        assert not cache._kept or cache.tokens <= cache.kv_tokens
        running = sum(hold._prompt.total for hold in holds)
        assert cache.running_tokens == running
    cache.drop()
    assert not index
