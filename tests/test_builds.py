"""Messages of the build before this one, and of this one at that build.

While a release goes on, daemons of two builds run side by side. The classes
here are the messages of the older build, as far as they have changed since.
"""

import msgspec

from samphirepost import codec
from samphirepost import leaving
from samphirepost import otherversions
from samphirepost import roster
from samphirepost import slotmessages

ADDRESS = ("10.0.0.1", 1)


class OldReport(msgspec.Struct, frozen=True, array_like=True, tag=11):
    """A Report without versions and engines that leave."""

    vm: str
    seq: int
    runs: tuple[slotmessages.Run, ...] = ()
    ended: tuple[slotmessages.RunEnd, ...] = ()
    wanted: tuple[slotmessages.WantedSlot, ...] = ()
    crashes: tuple[slotmessages.Crash, ...] = ()
    begun: tuple[slotmessages.Begun, ...] = ()
    limits: tuple[slotmessages.NamedLimit, ...] = ()
    paths: slotmessages.Paths = slotmessages.NO_PATHS
    failed: tuple[str, ...] = ()


class LeavingReport(OldReport, frozen=True, array_like=True, tag=11):
    """A Report without stale entries, of a build after that."""

    other_versions: tuple[str, ...] | None = None
    leaving_engines: tuple[leaving.Incarnation, ...] = ()


class OldTotals(msgspec.Struct, frozen=True, array_like=True, tag=17):
    """Totals without versions and engines that leave."""

    vm: str
    counts: dict[str, slotmessages.Count]
    quarantined: tuple[str, ...] = ()
    suspects: tuple[str, ...] = ()
    limits: dict[str, float] = {}
    on_probation: tuple[str, ...] = ()


class LeavingTotals(OldTotals, frozen=True, array_like=True, tag=17):
    """Totals without stale entries, of a build after that."""

    other_versions: tuple[str, ...] | None = None
    leaving_engines: tuple[leaving.Incarnation, ...] = ()


ONE = leaving.Incarnation("e1", 5)
ENGINE = roster.Engine("e2", "p", "10.0.0.2:1", "a", 8, started_ms=6)
STALE = leaving.StaleEntry(leaving.entry(ENGINE), 3.5)


def test_an_older_daemon_reads_a_report():
    """What it does not know of is left out."""
    report = slotmessages.Report(
        "vm1", 3, failed=("e1",), other_versions=("p",), leaving_engines=(ONE,)
    )
    found = codec.unpack(codec.pack(report), OldReport)
    assert (found.vm, found.seq, found.failed) == ("vm1", 3, ("e1",))


def test_an_older_daemon_reads_totals():
    """What it does not know of is left out."""
    counts = {"e1": slotmessages.Count(2, 1)}
    totals = slotmessages.Totals(
        "hub", counts, on_probation=("c",), leaving_engines=(ONE,)
    )
    found = codec.unpack(codec.pack(totals), OldTotals)
    assert (found.counts, found.on_probation) == (counts, ("c",))


def test_a_report_of_an_older_daemon_tells_no_versions():
    """So that no stream is joined without the store on its word."""
    data = codec.pack(OldReport("vm1", 3, failed=("e1",)))
    found = codec.unpack(data, slotmessages.Message)
    assert isinstance(found, slotmessages.Report)
    assert (found.failed, found.leaving_engines) == (("e1",), ())
    hub = otherversions.ReportedVersions()
    hub.apply("vm1", found.other_versions)
    hub.apply("vm2", ())
    assert hub.union(["vm1", "vm2"]) is None


def test_totals_of_an_older_hub_announce_no_versions():
    """A daemon with such a hub refuses to join streams without the store."""
    data = codec.pack(OldTotals("hub", {}, on_probation=("c",)))
    found = codec.unpack(data, slotmessages.Message)
    assert isinstance(found, slotmessages.Totals)
    assert found.on_probation == ("c",)
    announced = otherversions.AnnouncedVersions()
    announced.record(found.other_versions, 0.0)
    assert not announced.has_one_version("p", 0.0)


def test_a_daemon_that_knows_no_stale_entries_reads_a_report():
    """It keeps what it knows; a stale entry must not count as leaving."""
    report = slotmessages.Report(
        "vm1",
        3,
        other_versions=(),
        leaving_engines=(ONE,),
        stale_entries=(STALE,),
    )
    found = codec.unpack(codec.pack(report), LeavingReport)
    assert (found.other_versions, found.leaving_engines) == ((), (ONE,))
    assert codec.unpack(codec.pack(report), slotmessages.Message) == report


def test_a_daemon_that_knows_no_stale_entries_reads_totals():
    """The same of what a hub announces."""
    totals = slotmessages.Totals(
        "hub", {}, leaving_engines=(ONE,), stale_entries=(STALE,)
    )
    found = codec.unpack(codec.pack(totals), LeavingTotals)
    assert (found.vm, found.leaving_engines) == ("hub", (ONE,))
    assert codec.unpack(codec.pack(totals), slotmessages.Message) == totals


def test_a_report_of_such_a_daemon_names_no_stale_entries():
    """The hub marks none, and knows who leaves."""
    data = codec.pack(LeavingReport("vm1", 3, leaving_engines=(ONE,)))
    found = codec.unpack(data, slotmessages.Message)
    hub = leaving.ReportedMarks()
    assert hub.apply(found.leaving_engines, 0.0, found.stale_entries)
    assert (hub.known(0.0), hub.known_stale(0.0)) == ((ONE,), ())


def test_totals_of_such_a_hub_leave_a_daemons_own_marks():
    """What it was told itself holds beside them."""
    data = codec.pack(LeavingTotals("hub", {}, leaving_engines=(ONE,)))
    found = codec.unpack(data, slotmessages.Message)
    known = leaving.EngineMarks()
    known.record_told(ENGINE, 0.0, leaving.Reason.STALE)
    known.announce(found.leaving_engines, 0.0, found.stale_entries)
    assert known.is_marked(ENGINE, 0.0)
    leaving_one = roster.Engine("e1", "p", "10.0.0.1:1", "a", 8, started_ms=5)
    assert known.is_marked(leaving_one, 0.0)
