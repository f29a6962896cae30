"""Tests which items a daemon asks for, with many kinds of waiting work."""

import collections

import hypothesis
from hypothesis import strategies

from samphirepost import itemwindow

NEEDS = strategies.builds(
    itemwindow.Need,
    strategies.sampled_from(["a", "b", "c", "d"]),
    strategies.sampled_from(["", "1.1"]),
    strategies.sampled_from(["", "part"]),
    strategies.booleans(),
)
# Runs of items with equal needs; fewer needs than places.
WAITING = strategies.lists(
    strategies.tuples(NEEDS, strategies.integers(1, 30)), max_size=12
).map(lambda runs: [need for need, count in runs for _ in range(count)])


def window_of(waiting, running=None):
    """Returns a window with the items of a list of needs, by number."""
    window = itemwindow.ItemWindow(running or {})
    for number, need in enumerate(waiting):
        window.add(need, number)
    return window


def chosen_by_need(window, turn=0):
    """Returns the numbers that a window chooses, by need."""
    found = collections.defaultdict(list)
    for need, number in window.choose(turn):
        found[need].append(number)
    return found


@hypothesis.given(waiting=WAITING, turn=strategies.integers(0, 1000))
def test_items_of_one_need_are_chosen_in_order(waiting, turn):
    """Deadlines are kept among items that compete."""
    for need, found in chosen_by_need(window_of(waiting), turn).items():
        expected = [n for n, one in enumerate(waiting) if one == need]
        assert found == expected[: len(found)]


@hypothesis.given(waiting=WAITING, turn=strategies.integers(0, 1000))
def test_each_need_is_asked_for(waiting, turn):
    """No need hides another one, in whatever order their items come."""
    assert chosen_by_need(window_of(waiting), turn).keys() == set(waiting)


@hypothesis.given(
    others=WAITING,
    count=strategies.integers(1, 30),
)
def test_another_need_takes_half_of_the_places_at_most(others, count):
    """So an item that cannot run costs others some places, never all."""
    own = itemwindow.Need("own")
    alone = window_of([own] * count)
    beside = window_of([*others, *[own] * count])
    expected = len(chosen_by_need(alone)[own])
    needs = len(set(others)) + 1
    share = itemwindow.WANTED_MAX // needs
    assert len(chosen_by_need(beside)[own]) >= min(expected, share)


def test_more_needs_than_places_take_turns():
    """A daemon may hold jobs of more pools than a report has places."""
    count = 3 * itemwindow.WANTED_MAX
    waiting = [itemwindow.Need(f"pool-{n:03}") for n in range(count)]
    seen = set()
    for turn in range(count):
        found = chosen_by_need(window_of(waiting), turn)
        assert len(found) == itemwindow.WANTED_MAX
        seen |= found.keys()
    assert seen == set(waiting)


@hypothesis.given(
    waiting=WAITING,
    running=strategies.dictionaries(
        strategies.sampled_from(["a", "b", "c", "x"]),
        strategies.integers(0, 16),
    ),
)
def test_the_places_of_runs_are_not_exceeded(waiting, running):
    """Each run takes a thread."""
    found = window_of(waiting, running).choose(0)
    left = itemwindow.CONCURRENT_RUNS_MAX - sum(running.values())
    assert len(found) <= left


def test_long_runs_of_one_pool_leave_places_to_others():
    """They fill what they may while they are alone, and more pools come."""
    running = collections.Counter()
    for pool in ("a", "b", "c", "d"):
        while running.total() < itemwindow.CONCURRENT_RUNS_MAX:
            window = window_of([itemwindow.Need(pool)] * 40, running)
            found = window.choose(0)
            if not found:
                break
            running[pool] += len(found)
    assert running == {"a": 32, "b": 16, "c": 8, "d": 4}
