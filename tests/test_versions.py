"""Engines of two software versions serve side by side.

What two versions write does not fit together, and engines do not check it: a
stream may go on only at the version that began it. The daemons run in this
process, with emulated store and engines.
"""

import itertools

import pytest

from samphirepost_bench import entryfleet
from samphirepost_bench import fleet as fleet_module
from samphirepost_bench import streamengine
from tests import entryhelper

OLD, NEW = "v1", "v2"
DAEMONS = 3
EVENTS = 8


@pytest.fixture
def fleet():
    """Three daemons with two engines of the old version."""
    new_fleet = entryhelper.Fleet(engines=2, daemons=DAEMONS, versions=(OLD,))
    new_fleet.numbers = itertools.count()
    yield new_fleet
    new_fleet.stop()


def add_new_engines(fleet, count=2):
    """Adds engines of the new version; waits until all daemons know them."""
    for _ in range(count):
        engine = fleet.add_engine(NEW)
        for daemon in fleet.daemons:
            entryhelper.wait_until(
                lambda one=daemon, engine=engine: one.state.roster.get(
                    engine.name
                ),
                f"{engine.name} is listed",
            )


def versions_of(fleet, request):
    """Returns the versions of the engines that ran a request."""
    return {
        engine.version
        for engine in fleet.engines
        for one in list(engine.arrivals)
        if one.id == request and one.has_run
    }


class Stream:
    """A caller's stream, which breaks off and is taken up elsewhere."""

    def __init__(self, fleet, name, path="/drafts/1"):
        self._fleet = fleet
        self._path = path
        self.name = name
        self.text = ""
        self.tries = 0

    @property
    def count(self):
        """The number of events received."""
        return len(self.text.splitlines())

    def send(self, daemon):
        """Sends the first try, or one that takes the stream up."""
        request = f"{self.name}.{self.tries}"
        headers = {}
        if self.tries:
            headers["Resumes"] = f"{self.name}.0"
            headers["Last-Event-Id"] = str(self.count)
        self.tries += 1
        reply = self._fleet.send_online(
            request, self._path, daemon % DAEMONS, **headers
        )
        if reply.status == 200:
            lines = [*self.text.splitlines(), *reply.text.splitlines()]
            self.text = "\n".join(lines)
        return reply

    @property
    def versions(self):
        """The versions of the engines that ran any of its tries."""
        return set().union(
            *(
                versions_of(self._fleet, f"{self.name}.{number}")
                for number in range(self.tries)
            )
        )


def begin_stream(fleet, number):
    """Returns a Stream and its first Reply, or None if it was refused.

    Engines that broke off answers at two daemons get no request for a while.
    """
    stream = Stream(fleet, f"stream-{number}-{next(fleet.numbers)}")
    reply = stream.send(number)
    return (stream, reply) if reply.status == 200 else None


def begin_streams(fleet, count):
    """Returns streams that broke off in the middle, of both versions."""
    streams = []
    for number in range(count):
        for engine in fleet.engines:
            engine.faults.clear()
            engine.faults.append(streamengine.Fault.CUT)
        stream, reply = entryhelper.wait_until(
            lambda number=number: begin_stream(fleet, number),
            "a stream has begun",
        )
        assert not reply.complete
        streams.append(stream)
    for engine in fleet.engines:
        engine.faults.clear()
    return streams


def take_up(streams):
    """Takes streams up at the next daemon; returns those that completed."""
    done = []
    for number, stream in enumerate(streams):
        reply = stream.send(number + 1)
        assert len(stream.versions) == 1
        if reply.status == 200 and reply.complete:
            assert stream.count == EVENTS
            done.append(stream)
        else:
            assert reply.status == 503
    return done


# Incident second1 of issue 28: a daemon that resumed a stream within its
# answer took any engine of the pool.
def test_a_stream_goes_on_within_its_answer_at_its_version_only(fleet):
    add_new_engines(fleet)
    for number in range(12):
        for engine in fleet.engines:
            engine.faults.clear()
        fleet.engines[number % 4].faults.append(streamengine.Fault.CUT)
        fleet.send_online(f"notes-{number}", "/notes/1", number % DAEMONS)
        assert len(versions_of(fleet, f"notes-{number}")) == 1


# Incident second1 of issue 28: callers that took a stream up at another
# daemon got any engine.
def test_a_stream_is_taken_up_at_its_version(fleet):
    add_new_engines(fleet)
    streams = begin_streams(fleet, 12)
    assert set().union(*(one.versions for one in streams)) == {OLD, NEW}
    assert len(take_up(streams)) == len(streams)


# The report on rejoined: all daemons were killed between the two tries.
def test_a_stream_is_taken_up_after_all_daemons_were_lost(fleet):
    add_new_engines(fleet)
    streams = begin_streams(fleet, 12)
    fleet.restart_all()
    assert len(take_up(streams)) == len(streams)


# A stream whose version has left cannot go on, whatever else serves.
def test_a_stream_whose_version_is_gone_is_refused(fleet):
    streams = begin_streams(fleet, 4)
    add_new_engines(fleet)
    for engine in fleet.engines[:2]:
        fleet.remove_engine(engine)
    for number, stream in enumerate(streams):
        reply = stream.send(number)
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0
        assert stream.versions == {OLD}


# A daemon that cannot read how a stream began must not guess.
def test_no_stream_is_joined_while_the_store_is_out(fleet):
    add_new_engines(fleet)
    streams = begin_streams(fleet, 12)
    fleet.store.unavailable = True
    take_up(streams)


def isolate(fleet, daemon):
    """Cuts a daemon off from the store and from the other daemons."""
    others = [one for one in fleet.daemons if one is not daemon]
    entryhelper.wait_until(
        lambda: daemon.parts.bases.get(entryfleet.POOL), "the base is known"
    )
    daemon.store._client._port = fleet_module.free_port()
    daemon.store._members = dict
    daemon.slots._send = lambda *_: None
    daemon.slots._apply_datagram = lambda *_: None
    entryhelper.wait_until(
        lambda: all(one._in_outage for one in daemon.watchers),
        "no feed is open",
    )
    return others


# An operator's report: a release began while one VM was cut off for seconds.
# It took the version that it had read last for the only one, and streams that
# had begun elsewhere at the new version went on there at the old one.
def test_a_daemon_that_is_cut_off_joins_no_streams_of_two_versions(fleet):
    hub = entryhelper.wait_until(
        lambda: fleet.common_hub(), "all daemons have the same hub"
    )
    fleet.daemons.sort(key=lambda one: one.parts.me != hub)
    cut_off = fleet.daemons[-1]
    add_engines_unseen(fleet, isolate(fleet, cut_off))
    streams = []
    for number in range(12):
        for engine in fleet.engines:
            engine.faults.clear()
            engine.faults.append(streamengine.Fault.CUT)
        stream, _ = entryhelper.wait_until(
            lambda number=number: begin_stream(fleet, number % 2),
            "a stream has begun",
        )
        streams.append(stream)
    for engine in fleet.engines:
        engine.faults.clear()
    assert set().union(*(one.versions for one in streams)) == {OLD, NEW}
    for stream in streams:
        reply = stream.send(DAEMONS - 1)
        assert len(stream.versions) == 1
        if reply.status != 200:
            assert reply.status == 503


def add_engines_unseen(fleet, daemons):
    """Adds engines of the new version that only some daemons learn of."""
    for _ in range(2):
        engine = fleet.add_engine(NEW)
        for daemon in daemons:
            entryhelper.wait_until(
                lambda one=daemon, engine=engine: one.state.roster.get(
                    engine.name
                ),
                f"{engine.name} is listed",
            )


# Refusing all of them would be no way out.
def test_streams_go_on_while_the_store_is_out_for_all(fleet):
    streams = begin_streams(fleet, 6)
    for daemon in fleet.daemons:
        entryhelper.wait_until(
            lambda one=daemon: one.slots.has_one_version(entryfleet.POOL),
            "all daemons told their versions",
        )
    fleet.store.unavailable = True
    assert len(take_up(streams)) == len(streams)


# An item's output so far was kept without the version that wrote it.
def test_an_item_is_not_joined_from_two_versions(fleet):
    for engine in fleet.engines:
        engine.faults.extend([streamengine.Fault.CUT] * 40)
    fleet.submit("job", 4)
    entryhelper.wait_until(
        lambda: all(one.arrivals for one in fleet.engines),
        "the items run at the old version",
    )
    add_new_engines(fleet)
    for engine in fleet.engines[:2]:
        fleet.remove_engine(engine)
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is complete"
    )
    assert {one["state"] for one in results} == {"done"}
    arrivals = [one for engine in fleet.engines[2:] for one in engine.arrivals]
    first = {}
    for one in sorted(arrivals, key=lambda one: one.at_s):
        first.setdefault(one.id, one.resume_after)
    assert set(first.values()) <= {0}


def arrivals(engine):
    """Returns the events after which an engine was asked, by item."""
    return [one.resume_after for one in list(engine.arrivals)]


# An output went on at engines of the service that its route was moved to, if
# their version had the same name.
def test_an_item_is_not_joined_from_two_services(fleet):
    old = fleet.engines[0]
    for engine in fleet.engines:
        engine.faults.extend([streamengine.Fault.CUT] * 40)
    fleet.submit("job", 4)
    entryhelper.wait_until(
        lambda: any(arrivals(old)), "an output goes on at the old service"
    )
    new = streamengine.Engine("engine-meadows", version=old.version)
    new.start()
    fleet.engines.append(new)
    document = entryfleet.tables(
        2,
        [
            {**route, "service": "meadows"}
            if "evening" in route["name"]
            else route
            for route in entryfleet.ROUTES
        ],
    )
    document["services"].append({"name": "meadows", "healthPath": "/health"})
    fleet.store.put_row("servers", new.name, new.entry("meadows"))
    fleet.store.put_row("op", "config", document)
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is complete"
    )
    assert [one["text"] for one in results] == [
        old.text(one["id"]) for one in results
    ]
    assert arrivals(new)
    assert not any(arrivals(new))
