"""Tests at which software version streams go on, without a network.

Load pattern: releases one after the other, while streams break off and are
taken up at daemons that learn of changes late.
"""

import random

import hypothesis
from hypothesis import strategies

from samphirepost import hashing
from samphirepost import roster
from samphirepost import streamversions

POOL = "plants"
# Callers give up this long after they sent a stream (s).
DEADLINE_S = 15.0
# Longest time after which a daemon reads a change of the base (s).
READ_LAG_S = 12.0
STEP_S = 0.5
# Steps after which the engines of a release have replaced all others.
LEAVE_STEPS = 6


def engine(name, version, slots=8):
    """Returns an engine of a version."""
    return roster.Engine(
        name, POOL, "10.0.0.1:80", "a", slots, version=version
    )


class Daemon:
    """What one daemon knows of the base and of the engines."""

    def __init__(self, base, engines, now_s):
        self.bases = streamversions.Bases()
        self.roster = roster.Roster()
        self.read(base, engines, now_s)

    def read(self, base, engines, now_s):
        """Reads the registry and the base of the pool."""
        self.roster.apply_full_read(engines, now_s)
        self.bases.replace({POOL: base} if base else {}, now_s)

    def begin(self, name, now_s):
        """Begins a stream; returns its version, and its record or None."""
        usable = self.roster.usable_engines(POOL, now_s)
        found = usable[hashing.score(name) % len(usable)]
        record = None
        if self.bases.needs_record(found, self.roster.listed_s(found.id)):
            record = streamversions.StreamRecord(POOL, found.version, 0)
        return found.version, record


class TestOneVersion:
    """Load pattern: the steady state; no request writes or waits."""

    def test_no_stream_is_recorded(self):
        """Nor once the engines were replaced by others."""
        engines = [engine("e1", "v1"), engine("e2", "v1")]
        base = streamversions.BaseMover().next_base(POOL, None, engines, 0, 0)
        assert base == streamversions.PoolBase("v1", 0)
        one = Daemon(base, engines, 1.0)
        assert one.begin("s1", 2.0) == ("v1", None)
        one.read(base, [engine("e3", "v1")], 3.0)
        assert one.begin("s2", 4.0) == ("v1", None)

    def test_a_stream_without_a_record_began_there(self):
        """Whatever daemon takes it up."""
        base = streamversions.PoolBase("v1", 0)
        found = streamversions.stream_version(POOL, None, base)
        assert found == streamversions.Known("v1", "base")

    def test_streams_go_on_while_the_store_is_out(self):
        """If no daemon knows of another version; some may reach the store."""
        base = streamversions.PoolBase("v1", 0)
        found = streamversions.version_without_store(base, {"v1"}, 5.0, True)
        assert found.version == "v1"
        found = streamversions.version_without_store(base, {"v1"}, 0.0, False)
        assert isinstance(found, streamversions.Unknown)


class TestTwoVersions:
    """Load pattern: engines of two versions serve for long."""

    def test_streams_of_the_other_version_are_recorded(self):
        """Those of the base are not."""
        base = streamversions.PoolBase("v1", 0)
        one = Daemon(base, [engine("e1", "v1"), engine("e2", "v2")], 1.0)
        found = dict(one.begin(f"s{i}", 2.0) for i in range(50))
        assert found["v1"] is None
        assert found["v2"].version == "v2"

    def test_the_base_stays_while_an_engine_of_it_is_listed(self):
        """It may be draining, or all but one may have left."""
        mover = streamversions.BaseMover()
        base = streamversions.PoolBase("v1", 0)
        engines = [engine("e1", "v1", 1), engine("e2", "v2", 64)]
        for now_s in range(100):
            assert (
                mover.next_base(POOL, base, engines, now_s * 1000, now_s)
                is None
            )

    def test_nothing_is_guessed_while_the_store_is_out(self):
        """The daemon may have missed a record."""
        base = streamversions.PoolBase("v1", 0)
        for base_read, versions, age_s in (
            (base, {"v1", "v2"}, 1.0),
            (base, {"v2"}, 1.0),
            (base, {"v1"}, 60.0),
            (base, {"v1"}, None),
            (streamversions.PoolBase("v1", 0, True), {"v1"}, 1.0),
            (None, {"v1"}, 1.0),
        ):
            found = streamversions.version_without_store(
                base_read, versions, age_s, True
            )
            assert isinstance(found, streamversions.Unknown)

    def test_a_stream_of_another_pool_does_not_go_on(self):
        """Its route may lead elsewhere now."""
        record = streamversions.StreamRecord("other", "v1", 0)
        base = streamversions.PoolBase("v1", 0)
        found = streamversions.stream_version(POOL, record, base)
        assert isinstance(found, streamversions.Unknown)

    def test_a_base_that_was_read_before_an_engine_came_is_not_trusted(self):
        """It may have been given up, as there was no engine of it."""
        base = streamversions.PoolBase("v1", 0)
        one = Daemon(base, [engine("e1", "v1")], 1.0)
        one.roster.apply_entry(engine("e2", "v1"), 2.0)
        listed_s = one.roster.listed_s("e2")
        assert one.bases.needs_record(engine("e2", "v1"), listed_s)
        one.bases.update({}, 3.0)
        assert not one.bases.needs_record(engine("e2", "v1"), listed_s)

    def test_an_engine_that_starts_again_under_its_id_is_a_new_one(self):
        """Its software may be another one."""
        engines = roster.Roster()
        engines.apply_entry(engine("e1", "v1"), 1.0)
        engines.apply_entry(engine("e1", "v2"), 5.0)
        assert engines.listed_s("e1") == 5.0
        assert engines.recent_versions(POOL, 6.0) == {"v1", "v2"}
        later_s = 6.0 + streamversions.VERSION_KEPT_S
        assert engines.recent_versions(POOL, later_s) == {"v2"}


def _listed_by_step(releases):
    """Returns the engines that the registry lists, by step."""
    starts = [0]
    for _, steps in releases:
        starts.append(starts[-1] + steps)
    versions = ["v1", *(version for version, _ in releases)]
    step_count = starts[-1] + 200
    ends = [start + LEAVE_STEPS for start in starts[1:]] + [step_count]
    return [
        [
            engine(f"e{number}", version)
            for number, version in enumerate(versions)
            if starts[number] <= step < ends[number]
        ]
        for step in range(step_count)
    ]


@hypothesis.settings(max_examples=60)
@hypothesis.given(
    seed=strategies.integers(0, 2**32),
    releases=strategies.lists(
        strategies.tuples(
            strategies.sampled_from(("v1", "v2", "v3")),
            strategies.integers(1, 90),
        ),
        min_size=1,
        max_size=5,
    ),
)
def test_a_stream_goes_on_at_the_version_that_began_it(seed, releases):
    """Whatever versions come and go, back too, and whoever knows it late.

    A release starts one engine of its version and removes all others within
    some seconds; `releases` has the versions and the steps between them. Each
    daemon reads the registry at once and the base within READ_LAG_S.
    """
    rng = random.Random(seed)
    mover = streamversions.BaseMover()
    base = streamversions.PoolBase("v1", 0)
    listed = _listed_by_step(releases)
    daemons = [Daemon(base, listed[0], 0.0) for _ in range(3)]
    next_read_s = [0.0, 0.0, 0.0]
    streams = {}
    for step, engines in enumerate(listed):
        now_s = step * STEP_S
        moved = mover.next_base(POOL, base, engines, int(now_s * 1000), now_s)
        base = moved or base
        for index, daemon in enumerate(daemons):
            daemon.roster.apply_full_read(engines, now_s)
            if now_s >= next_read_s[index]:
                next_read_s[index] = now_s + rng.uniform(0, READ_LAG_S)
                daemon.bases.replace({POOL: base}, now_s)
            name = f"{step}-{index}"
            streams[name] = (now_s, *daemon.begin(name, now_s))
        for name, (began_s, version, record) in list(streams.items()):
            if now_s - began_s > DEADLINE_S:
                del streams[name]
                continue
            found = streamversions.stream_version(POOL, record, base)
            assert found.version == version
