"""Orders to engines: which model and adapters to load, and when.

Orders follow the reported state, not the edits of the tables: an order is
sent again while an engine's report differs from its pool's row. This corrects
an engine that ignores fencing numbers and applies an old order that arrives
late. The fencing number is the tables' revision, so equal numbers mean equal
orders.
"""

from samphirepost import target

AGAIN_S = 5.0


class Ordered:
    """The fencing number and the instant of the last order to an engine.

    The instant is in seconds of the monotonic clock.
    """

    __slots__ = ("at_s", "fencing")

    def __init__(self, fencing, at_s):
        self.fencing = fencing
        self.at_s = at_s


def wanted(pool, revision):
    """Returns the order for a pool's engines, or None without a model."""
    if not pool.model:
        return None
    return target.Order(pool.model, revision, pool.adapters)


def is_met(order, report):
    """Returns whether the engine reports the ordered model and adapters."""
    same_model = report.model == order.model
    return same_model and tuple(report.adapters) == tuple(order.adapters)


def may_load(pool, target_id, since_s, now_s):
    """Returns whether an engine may load its model now.

    The weight store's rate is limited, so the engines of a pool load one
    after another, `load_every_ms` apart. `since_s` is when this daemon first
    had the revision.
    """
    ids = sorted(row.id for row in pool.targets)
    turn_s = ids.index(target_id) * pool.load_every_ms / 1000
    return now_s - since_s >= turn_s


def is_due(order, ordered, now_s):
    """Returns whether to send the order.

    That is when it is newer than the last, or after `AGAIN_S`.
    """
    if ordered is None or ordered.fencing < order.fencing:
        return True
    return now_s - ordered.at_s >= AGAIN_S
