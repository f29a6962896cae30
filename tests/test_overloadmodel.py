"""Tests the order of new and returning callers by the bench's model."""

import itertools

import pytest

from samphirepost_bench import overloadmodel

RETURNING_FIRST, NEW_FIRST, CURRENT = overloadmodel.RULES
JUMPS = tuple(itertools.product(overloadmodel.FACTORS, overloadmodel.JUMPS_S))


def run(rule, factor, jump_s):
    """Returns the Result of a rule."""
    return overloadmodel.Model(rule, factor, jump_s).run()


@pytest.mark.parametrize(("factor", "jump_s"), JUMPS)
def test_more_callers_are_in_time_than_with_returning_ones_first(
    factor, jump_s
):
    """And nearly as many are served at all.

    Failures guarded against: under a lasting overload each slot goes to a
    caller that is late; returning callers are refused after a short wait,
    and slots stay free when the jump is over.
    """
    before = run(RETURNING_FIRST, factor, jump_s)
    now = run(CURRENT, factor, jump_s)
    assert now.callers == before.callers
    assert now.callers == now.served + now.refused_twice
    assert now.in_time >= before.in_time
    assert now.served >= 0.94 * before.served


@pytest.mark.parametrize("factor", [1.2, 1.5])
def test_a_small_jump_of_a_second_refuses_nobody_twice(factor):
    """No loss against the earlier order, where that lost nobody."""
    assert run(RETURNING_FIRST, factor, 1.0).refused_twice == 0
    assert run(CURRENT, factor, 1.0).refused_twice == 0


@pytest.mark.parametrize("factor", overloadmodel.FACTORS)
def test_in_a_lasting_overload_most_answers_are_in_time(factor):
    """Nine in ten of those served; with returning ones first, one in three."""
    before = run(RETURNING_FIRST, factor, 30.0)
    now = run(CURRENT, factor, 30.0)
    assert before.in_time < 0.4 * before.served
    assert now.in_time > 0.9 * now.served


@pytest.mark.parametrize(("factor", "jump_s"), JUMPS)
def test_a_longer_wait_serves_more_returning_callers(factor, jump_s):
    """Than the same order with the short wait."""
    short = run(NEW_FIRST, factor, jump_s)
    assert run(CURRENT, factor, jump_s).served >= short.served
