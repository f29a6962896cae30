"""Which order an engine needs, from its report and its pool's row.

Orders follow the state, not the edits: as long as an engine's report differs
from its pool's row, it is ordered again. So an old order that arrives late
at an engine that ignores fencing numbers is put right. The fencing number is
the tables' revision: equal numbers mean equal orders.
"""

from samphirepost import target

AGAIN_S = 5.0


class Ordered:
    """What one engine was last ordered, and when (monotonic, s)."""

    __slots__ = ("at_s", "fencing")

    def __init__(self, fencing, at_s):
        self.fencing = fencing
        self.at_s = at_s


def wanted(pool, revision):
    """Returns the order that the pool's row stands for, or None."""
    if not pool.model:
        return None
    return target.Order(pool.model, revision, pool.adapters)


def is_met(order, report):
    """Whether the engine reports what the order asks for."""
    same_model = report.model == order.model
    return same_model and tuple(report.adapters) == tuple(order.adapters)


def may_load(pool, target_id, since_s, now_s):
    """Whether it is this engine's turn: the weight store has a rate.

    The engines of a pool load one after another, `load_every_ms` apart,
    counted from when the revision was first seen.
    """
    ids = sorted(row.id for row in pool.targets)
    turn_s = ids.index(target_id) * pool.load_every_ms / 1000
    return now_s - since_s >= turn_s


def is_due(order, ordered, now_s):
    """Whether to send the order: a new one, or again after a while."""
    if ordered is None or ordered.fencing < order.fencing:
        return True
    return now_s - ordered.at_s >= AGAIN_S
