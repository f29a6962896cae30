"""What daemons without the store may know of the versions of a pool."""

import hypothesis
from hypothesis import strategies as st

from samphirepost import otherversions
from samphirepost import roster
from samphirepost import streamversions

VMS = ("vm1", "vm2", "vm3")
POOLS = ("plants", "notices")
told = st.none() | st.lists(st.sampled_from(POOLS), unique=True).map(tuple)


def engine(engine_id, version):
    """Returns an engine of the first pool."""
    return roster.Engine(
        engine_id, POOLS[0], "127.0.0.1:1", "a", 8, version=version
    )


@hypothesis.given(reports=st.dictionaries(st.sampled_from(VMS), told))
def test_a_pool_has_one_version_only_if_all_daemons_say_so(reports):
    """A daemon that did not tell may have begun streams at another one."""
    hub = otherversions.ReportedVersions()
    for vm, pools in reports.items():
        hub.apply(vm, pools)
    announced = otherversions.AnnouncedVersions()
    announced.record(hub.union(VMS), 0.0)
    for pool in POOLS:
        expected = all(
            reports.get(vm) is not None and pool not in reports[vm]
            for vm in VMS
        )
        assert announced.has_one_version(pool, 0.5) == expected


def test_an_announcement_is_not_relied_on_for_long():
    """A daemon that hears of no other may be cut off, or was suspended."""
    announced = otherversions.AnnouncedVersions()
    assert not announced.has_one_version(POOLS[0], 0.0)
    announced.record((), 1.0)
    late_s = 1.0 + otherversions.ANNOUNCEMENT_VALID_S
    assert announced.has_one_version(POOLS[0], late_s)
    assert not announced.has_one_version(POOLS[0], late_s + 0.1)


def test_a_daemon_that_left_is_not_relied_on():
    """It may run all the same."""
    hub = otherversions.ReportedVersions()
    hub.apply("vm1", ())
    hub.remove("vm1")
    assert hub.union(["vm1"]) is None
    assert hub.union([]) is None


def test_a_daemon_tells_when_it_learns_of_another_version():
    """From the base that it has read, and from engines of late, too."""
    engines, bases = roster.Roster(), streamversions.Bases()
    known = otherversions.KnownVersions(engines, bases)
    assert not known.refresh(POOLS, 0.0)
    assert known.pools is None
    engines.apply_full_read([engine("e1", "v1")], 0.0)
    bases.replace({POOLS[0]: streamversions.PoolBase("v1", 0)}, 0.0)
    assert known.refresh(POOLS, 0.0)
    assert known.pools == ()
    assert not known.refresh(POOLS, 0.1)
    engines.apply_entry(engine("e2", "v2"), 1.0)
    assert known.refresh(POOLS, 1.0)
    assert known.pools == (POOLS[0],)
    engines.apply_removal("e2", 2.0)
    assert not known.refresh(POOLS, 2.0)
    late_s = 2.0 + streamversions.VERSION_KEPT_S + 0.1
    assert known.refresh(POOLS, late_s)
    assert known.pools == ()
    bases.update({POOLS[0]: streamversions.PoolBase("v1", 0, True)}, late_s)
    assert known.refresh(POOLS, late_s)
    assert known.pools == (POOLS[0],)
