"""Tests the list of engines, also across outages of the registry."""

import hypothesis
from hypothesis import strategies

from samphirepost import roster


def engine(name, **fields):
    """Returns an engine of the pool `plants`."""
    return roster.Engine(name, "plants", "10.0.0.1:80", "a", 8, **fields)


def usable_ids(engines, now_s):
    """Returns the ids of the usable engines."""
    return [one.id for one in engines.usable_engines("plants", now_s)]


def test_a_removed_engine_is_unusable_at_once():
    """While the registry is available, a removal applies immediately."""
    engines = roster.Roster()
    engines.apply_full_read([engine("one"), engine("two")], 0.0)
    engines.apply_removal("one", 1.0)
    assert usable_ids(engines, 1.0) == ["two"]


def test_a_draining_engine_gets_no_new_work():
    """A draining engine is still listed."""
    engines = roster.Roster()
    engines.apply_full_read([engine("one")], 0.0)
    engines.apply_entry(engine("one", draining=True), 1.0)
    assert usable_ids(engines, 1.0) == []
    assert engines.get("one") is not None


def test_entries_that_expired_in_an_outage_may_be_restored():
    """They stay usable for RESTORE_GRACE_S after the end of the outage."""
    engines = roster.Roster()
    engines.apply_full_read([engine("one"), engine("two")], 0.0)
    engines.record_outage()
    engines.apply_full_read([], 10.0)
    assert usable_ids(engines, 11.9) == ["one", "two"]
    engines.apply_entry(engine("two"), 11.9)
    assert usable_ids(engines, 10.0 + roster.RESTORE_GRACE_S) == ["two"]


def test_entries_missing_from_a_full_read_are_removed():
    """After the change history was compacted, the full read applies."""
    engines = roster.Roster()
    engines.apply_full_read([engine("one"), engine("two")], 0.0)
    engines.apply_full_read([engine("two")], 4.0)
    assert usable_ids(engines, 4.0) == ["two"]


def test_a_removal_after_a_short_outage_applies_at_once():
    """The registry expires no entry in less than ENTRY_EXPIRY_S.

    One feed that breaks off or stalls would else keep an engine in use for
    longer than `drainMs`.
    """
    engines = roster.Roster()
    engines.apply_full_read([engine("one"), engine("two")], 0.0)
    engines.record_outage()
    engines.record_read(1.6)
    engines.apply_removal("one", 1.7)
    assert usable_ids(engines, 1.7) == ["two"]


def test_entries_removed_after_a_long_outage_may_be_restored():
    """They may expire before their engines' first write after it."""
    engines = roster.Roster()
    engines.apply_full_read([engine("one"), engine("two")], 0.0)
    engines.record_outage()
    engines.record_read(roster.ENTRY_EXPIRY_S)
    later_s = roster.ENTRY_EXPIRY_S + 0.5
    engines.apply_removal("one", later_s)
    assert usable_ids(engines, later_s) == ["one", "two"]


def test_engines_that_left_are_told_until_they_are_listed_again():
    """The hub tells daemons whose own registry is slow to answer."""
    engines = roster.Roster()
    engines.apply_full_read([engine("one"), engine("two")], 0.0)
    engines.apply_entry(engine("one", draining=True), 1.0)
    engines.apply_removal("two", 1.0)
    assert {one.id for one in engines.left_engines(1.0)} == {"one", "two"}
    engines.apply_entry(engine("two"), 2.0)
    assert [one.id for one in engines.left_engines(2.0)] == ["one"]
    engines.apply_removal("two", 3.0)
    late_s = 3.1 + roster.LEFT_TOLD_S
    assert [one.id for one in engines.left_engines(late_s)] == ["one"]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["put", "remove", "outage", "read"]),
            strategies.sampled_from(["one", "two", "three"]),
            strategies.floats(0.01, 3.0),
        ),
        max_size=40,
    )
)
def test_a_removed_engine_is_always_unusable_soon(events):
    """A removed engine is unusable after RESTORE_GRACE_S at the latest."""
    engines = roster.Roster()
    now_s = 0.0
    removed = {}
    for event, name, pause_s in events:
        now_s += pause_s
        if event == "put":
            engines.apply_entry(engine(name), now_s)
            removed.pop(name, None)
        elif event == "remove":
            engines.apply_removal(name, now_s)
            removed.setdefault(name, now_s)
        elif event == "outage":
            engines.record_outage()
        else:
            engines.record_read(now_s)
    engines.record_read(now_s)
    later_s = now_s + roster.RESTORE_GRACE_S + 0.01
    assert not set(usable_ids(engines, later_s)) & set(removed)
