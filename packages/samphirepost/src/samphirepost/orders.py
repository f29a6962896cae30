"""Orders to engines: which model and adapters to load, and when.

Orders follow the reported state, not the edits of the tables: an order is
sent again while an engine's report differs from its pool's row. This corrects
an engine that ignores fencing numbers and applies an old order that arrives
late. The fencing number is the tables' revision, so equal numbers mean equal
orders.
"""

from samphirepost import targetmessages

RESEND_INTERVAL_S = 5.0


class LastOrder:
    """The fencing number and the instant of the last order to an engine.

    The instant is in seconds of the monotonic clock.
    """

    __slots__ = ("fencing", "sent_s")

    def __init__(self, fencing, sent_s):
        self.fencing = fencing
        self.sent_s = sent_s


def desired_order(pool, revision):
    """Returns the order for a pool's engines, or None without a model."""
    if not pool.model:
        return None
    return targetmessages.Order(pool.model, revision, pool.adapters)


def is_applied(order, report):
    """Returns whether the engine reports the ordered model and adapters."""
    same_model = report.model == order.model
    return same_model and tuple(report.adapters) == tuple(order.adapters)


def is_load_turn(pool, target_id, since_s, now_s):
    """Returns whether an engine may load its model now.

    The weight store's rate is limited, so the engines of a pool load one
    after another, `load_every_ms` apart. `since_s` is when this daemon first
    had the revision.
    """
    ids = sorted(row.id for row in pool.targets)
    turn_s = ids.index(target_id) * pool.load_every_ms / 1000
    return now_s - since_s >= turn_s


def is_due(order, last_order, now_s):
    """Returns whether to send the order.

    That is when it is newer than the last, or after `RESEND_INTERVAL_S`.
    """
    if last_order is None or last_order.fencing < order.fencing:
        return True
    return now_s - last_order.sent_s >= RESEND_INTERVAL_S
