"""Engines come and leave, also while the registry is away."""

import hypothesis
from hypothesis import strategies

from samphirepost import roster


def engine(name, **fields):
    """Returns an engine of the pool `plants`."""
    return roster.Engine(name, "plants", "10.0.0.1:80", "a", 8, **fields)


def names(found, now_s):
    """Returns the ids of the usable engines."""
    return [one.id for one in found.usable("plants", now_s)]


def test_a_removed_engine_is_left_at_once():
    """While the registry answers, its word holds."""
    found = roster.Roster()
    found.replace([engine("one"), engine("two")], 0.0)
    found.remove("one", 1.0)
    assert names(found, 1.0) == ["two"]


def test_a_draining_engine_gets_no_new_work():
    """Draining is not gone: it still has to be known."""
    found = roster.Roster()
    found.replace([engine("one")], 0.0)
    found.put(engine("one", draining=True), 1.0)
    assert names(found, 1.0) == []
    assert found.get("one") is not None


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back():
    """They are kept for two seconds after the registry's return."""
    found = roster.Roster()
    found.replace([engine("one"), engine("two")], 0.0)
    found.failed()
    found.replace([], 10.0)
    assert names(found, 11.9) == ["one", "two"]
    found.put(engine("two"), 11.9)
    assert names(found, 10.0 + roster.RESTORE_S) == ["two"]


def test_entries_of_the_whole_list_that_are_missing_are_gone():
    """Lost history is no outage: the list that is read then holds."""
    found = roster.Roster()
    found.replace([engine("one"), engine("two")], 0.0)
    found.replace([engine("two")], 4.0)
    assert names(found, 4.0) == ["two"]


@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["put", "remove", "failed", "calm"]),
            strategies.sampled_from(["one", "two", "three"]),
            strategies.floats(0.01, 3.0),
        ),
        max_size=40,
    )
)
def test_what_is_removed_is_gone_soon_whatever_happens(steps):
    """A removal ends an engine within the time to come back."""
    found = roster.Roster()
    now_s = 0.0
    removed = {}
    for step, name, pause_s in steps:
        now_s += pause_s
        if step == "put":
            found.put(engine(name), now_s)
            removed.pop(name, None)
        elif step == "remove":
            found.remove(name, now_s)
            removed.setdefault(name, now_s)
        elif step == "failed":
            found.failed()
        else:
            found.calm(now_s)
    found.calm(now_s)
    later_s = now_s + roster.RESTORE_S + 0.01
    assert not set(names(found, later_s)) & set(removed)
