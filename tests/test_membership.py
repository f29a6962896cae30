"""Tests live members, coordinators, and when a daemon may serve."""

import hypothesis
from hypothesis import strategies as st

from samphirepost import membership
from samphirepost import messages
from samphirepost import placement
from samphirepost import settings
from samphirepost_daemon import activetables
from samphirepost_daemon import clock
from samphirepost_daemon import directory
from samphirepost_daemon import members
from tests import helper

LIMIT_S = 3.0
names = st.lists(
    st.text("abcdef", min_size=1, max_size=4),
    unique=True,
    min_size=2,
    max_size=20,
)


class ManualClock(clock.Clock):
    """A clock that a test sets."""

    def __init__(self):
        self.seconds = 100.0

    def monotonic_s(self):
        return self.seconds


def member(name, zone="a", revision=0):
    return messages.Member(name, name, zone, f"tcp://{name}", revision, True)


def actor(name="vm-1", zone="a"):
    """Returns an unstarted members actor with its clock and directory."""
    cfg = settings.Daemon(
        name, zone, settings.Platform("http://t", "http://o", "http://v")
    )
    manual_clock = ManualClock()
    actor_directory = directory.Directory(cfg.confirm_ms / 1000)
    active = activetables.ActiveTables()
    members_actor = members.MembersActor(
        member(name, zone), cfg, manual_clock, actor_directory, active
    )
    return members_actor, manual_clock, actor_directory


@hypothesis.given(
    st.lists(st.tuples(st.floats(0, 50), st.floats(0, 10))),
    st.floats(0, 100),
)
def test_stale_confirmation_never_lets_a_daemon_serve(confirmations, now_s):
    """Confirmations arrive in any order; only a recent one counts."""
    confirmation = membership.Confirmation(LIMIT_S)
    for requested_s, age_s in confirmations:
        confirmation.confirm(requested_s, age_s)
    newest_s = max(
        (requested_s - age_s for requested_s, age_s in confirmations),
        default=None,
    )
    fresh = newest_s is not None and now_s - newest_s < LIMIT_S
    assert confirmation.is_fresh(now_s) == fresh


@hypothesis.given(st.sets(st.integers(0, 10)), st.sets(st.integers(0, 10)))
def test_two_halves_cannot_both_do_without_the_table_service(known, one):
    """Else both halves of a split network would confirm their tables."""
    other = known - one
    both = membership.majority_confirms(
        known, one
    ) and membership.majority_confirms(known, other)
    assert not both


def test_daemon_without_confirmation_stops_serving():
    """Its tables may be outdated once the last confirmation is too old."""
    members_actor, manual_clock, actor_directory = actor()
    members_actor.on_receive(
        members.ControlRows(manual_clock.seconds, (), (), 0)
    )
    assert actor_directory.confirmation.is_fresh(manual_clock.seconds)
    manual_clock.seconds += LIMIT_S
    assert not actor_directory.confirmation.is_fresh(manual_clock.seconds)


def test_daemon_behind_the_newest_revision_is_not_confirmed():
    """Neither the rows nor the coordinator confirm older tables."""
    members_actor, manual_clock, actor_directory = actor()
    members_actor.on_receive(
        members.ControlRows(manual_clock.seconds, (), (), 5)
    )
    assert not actor_directory.confirmation.is_fresh(manual_clock.seconds)
    reply = messages.HeartbeatReply(0.0, 5, None)
    members_actor.on_receive(members.PeerReply(manual_clock.seconds, reply))
    assert not actor_directory.confirmation.is_fresh(manual_clock.seconds)


def test_unresponsive_member_is_removed_from_the_zone():
    """Its last heartbeat is older than the timeout."""
    zone = membership.ZoneMembers(LIMIT_S)
    zone.record_heartbeat(member("vm-1"), 0.0)
    zone.record_heartbeat(member("vm-2"), 2.0)
    zone.remove_unresponsive(LIMIT_S + 0.1)
    assert [m.name for m in zone.live_members()] == ["vm-2"]


def test_revision_is_active_when_every_member_has_it():
    """A member with older tables still serves with them."""
    found = (member("vm-1", revision=4), member("vm-2", revision=3))
    assert membership.members_behind(4, found) == ("vm-2",)
    assert membership.members_behind(3, found) == ()


def test_first_daemon_of_a_zone_coordinates_it():
    """Without a row for the zone there is no coordinator to wait for."""
    members_actor, manual_clock, _ = actor()
    write = members_actor.on_receive(
        members.ControlRows(manual_clock.seconds, (), (), 0)
    )
    assert write.row.coordinator == "vm-1"
    assert write.revision == 0


def test_live_coordinator_is_followed_and_a_dead_one_replaced():
    """It is replaced once its row stays unchanged for too long."""
    table = helper.FakeTable()
    members_actor, manual_clock, _ = actor()
    row = membership.ZoneRow("vm-2", "tcp://vm-2", 1, (member("vm-2"),))
    helper.put(table, members.ZONE_PREFIX + "a", row)
    rows = table.scan(members.ZONE_PREFIX)
    control_rows = members.ControlRows(manual_clock.seconds, rows, (), 0)
    assert members_actor.on_receive(control_rows) is None
    manual_clock.seconds += (
        2 * LIMIT_S + members.RANK_MAX * members.RANK_DELAY_S
    )
    write = members_actor.on_receive(control_rows)
    assert write.row.coordinator == "vm-1"
    assert write.row.epoch == 2


@hypothesis.given(names, st.integers(0, 64))
def test_loss_of_a_member_moves_only_its_partitions(found, partition):
    """Other partitions must not be interrupted by a takeover."""
    owner = placement.partition_owner(partition, found)
    removed = found[0]
    remaining = found[1:]
    new_owner = placement.partition_owner(partition, remaining)
    assert new_owner == owner or owner == removed
