"""Tests by which peer a daemon without a path reaches an engine."""

from samphirepost import allocator
from samphirepost import relays
from samphirepost import roster
from samphirepost import slotmessages

ENGINE = roster.Engine("e0", "plants", "10.1.0.1:1", "a", 8)
OTHER = roster.Engine("e1", "plants", "10.1.0.2:1", "a", 8)


def address(number):
    """Returns the address of a daemon."""
    return (f"10.0.0.{number}", 7)


def known(*paths):
    """Returns Relays that know daemons vm-0, vm-1, ... with these Paths."""
    found = relays.Relays()
    for number, one in enumerate(paths):
        found.apply(f"vm-{number}", address(number), one)
    return found


def test_the_own_zone_goes_first_unless_it_has_much_more_to_do():
    found = known(
        slotmessages.Paths("a", relays=True),
        slotmessages.Paths("b", relays=True),
    )
    assert found.choose("vm-9", "b", "e0").vm == "vm-1"
    for _ in range(relays.ZONE_RUNS):
        found.record_start("vm-1")
    assert found.choose("vm-9", "b", "e0").vm == "vm-0"


def test_a_daemon_that_does_not_reach_the_engine_does_not_relay_to_it():
    found = known(slotmessages.Paths("a", relays=True, unreached=("e0",)))
    assert found.choose("vm-9", "a", "e0") is None
    assert found.choose("vm-9", "a", "e1").vm == "vm-0"


def test_no_daemon_relays_for_itself_beyond_its_limit_or_after_a_failure():
    found = known(slotmessages.Paths("a", relays=True))
    assert found.choose("vm-0", "a", "e0") is None
    assert found.choose("vm-9", "a", "e0", ("10.0.0.0:7",)) is None
    for _ in range(relays.RUNS_MAX):
        found.record_start("vm-0")
    assert found.choose("vm-9", "a", "e0") is None
    found.record_end("vm-0")
    assert found.choose("vm-9", "a", "e0").vm == "vm-0"


def test_a_daemon_that_stops_or_doubts_its_paths_no_longer_relays():
    found = known(slotmessages.Paths("a", relays=True))
    found.apply("vm-0", address(0), slotmessages.Paths("a"))
    assert found.choose("vm-9", "a", "e0") is None


def hub(*paths):
    """Returns an Allocator with two engines and daemons with these Paths."""
    found = allocator.Allocator("vm-0")
    found.set_engines("plants", [ENGINE, OTHER], 0.0)
    for number, one in enumerate(paths):
        report = slotmessages.Report(f"vm-{number}", 1, paths=one)
        found.apply_report(report, address(number), 0.0)
    return found


def grant(found, vm, **fields):
    """Requests a slot for a daemon and returns the Grant."""
    req = slotmessages.SlotRequest(vm, 1, "plants", "a", 0, 1.0, **fields)
    ((_, message),) = found.request_slot(req, ("10.0.0.9", 7), 0.0)
    return message


# stranded of issue 31: slots went to attempts that could not connect.
def test_a_daemon_in_doubt_gets_a_peer_with_its_slot():
    found = hub(
        slotmessages.Paths("a", unreached=("e0", "e1"), doubtful=True),
        slotmessages.Paths("b", relays=True),
    )
    assert grant(found, "vm-0", relay=True).through == "10.0.0.1:7"


def test_an_engine_that_the_daemon_reaches_itself_goes_first():
    found = hub(
        slotmessages.Paths("a", relays=True, unreached=("e0",)),
        slotmessages.Paths("b", relays=True),
    )
    for run_id in range(OTHER.slots):
        req = slotmessages.SlotRequest("vm-0", run_id, "plants", "a", 0, 1.0)
        ((_, message),) = found.request_slot(req, address(0), 0.0)
        assert (message.engine, message.through) == ("e1", "")
    req = slotmessages.SlotRequest("vm-0", 99, "plants", "a", 0, 1.0)
    ((_, message),) = found.request_slot(req, address(0), 0.0)
    assert (message.engine, message.through) == ("e0", "10.0.0.1:7")


def test_items_of_a_daemon_without_any_peer_wait_for_one():
    found = hub(slotmessages.Paths("a", doubtful=True))
    wanted = slotmessages.WantedSlot(5, "plants", False, 10.0)
    report = slotmessages.Report(
        "vm-0",
        2,
        wanted=(wanted,),
        paths=slotmessages.Paths("a", doubtful=True),
    )
    found.apply_report(report, address(0), 0.0)
    assert found.allocate("plants", 0.0) == []
    helper = slotmessages.Report(
        "vm-1", 1, paths=slotmessages.Paths("b", relays=True)
    )
    found.apply_report(helper, address(1), 0.0)
    ((_, message),) = found.allocate("plants", 0.0)
    assert message.through == "10.0.0.1:7"


# All daemons suspected all engines by the word of stranded ones.
def test_an_engine_is_blamed_only_when_its_fault_was_found_out():
    found = hub(slotmessages.Paths("a"), slotmessages.Paths("a"))
    for vm in ("vm-0", "vm-1"):
        for run_id in range(2, 6):
            report = slotmessages.Report(
                vm,
                run_id,
                ended=(
                    slotmessages.RunEnd(run_id, slotmessages.Outcome.UNKNOWN),
                ),
            )
            found.apply_report(report, address(0), 0.0)
    assert not found.health.suspects
    for vm in ("vm-0", "vm-1"):
        report = slotmessages.Report(vm, 9, failed=("e0", "e0"))
        found.apply_report(report, address(0), 0.0)
    assert found.health.suspects == {"e0"}
