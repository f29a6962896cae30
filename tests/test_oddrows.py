"""Rows of another writer, or of another build, that cannot be read.

An odd row names nothing; the other rows hold, and the table is followed on.
"""

import json

import hypothesis
from hypothesis import strategies as st
import pytest

from samphirepost import addresses
from samphirepost import codec
from samphirepost import errors
from samphirepost import roster
from samphirepost import slotmessages
from samphirepost_bench import entryfleet
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import store
from samphirepost_daemon.platform import registry
from tests import entryhelper

DEPTH = 100_000
ENTRY = {
    "service": entryfleet.POOL,
    "address": "10.1.0.7:80",
    "state": "ready",
}
# What another writer may have left; none of them names an engine.
ODD_ENTRIES = {
    "nested": b'{"load": ' + b"[" * DEPTH,
    "nested and whole": b'{"load": ' + b"[" * DEPTH + b"]" * DEPTH + b"}",
    "not UTF-8": json.dumps(ENTRY).encode().replace(b"ready", b"\xff\xfe"),
    "port over 65535": json.dumps(
        {**ENTRY, "address": "10.1.0.7:70000"}
    ).encode(),
    "port 0": json.dumps({**ENTRY, "address": "10.1.0.7:0"}).encode(),
    "port of many digits": json.dumps(
        {**ENTRY, "address": "10.1.0.7:" + "9" * 5000}
    ).encode(),
    "host name": json.dumps({**ENTRY, "address": "engine:80"}).encode(),
    "large slots": json.dumps({**ENTRY, "slots": 10**30}).encode(),
    "large start": json.dumps({**ENTRY, "born": 10**30}).encode(),
    "start of many digits": json.dumps(ENTRY)
    .encode()
    .replace(b"{", b'{"born": ' + b"9" * 10_000 + b", ", 1),
    "start of no number": json.dumps({**ENTRY, "born": "soon"}).encode(),
    "nothing": b"",
}


@pytest.fixture
def fleet():
    """Two daemons with two engines."""
    new_fleet = entryhelper.Fleet(daemons=2)
    yield new_fleet
    new_fleet.stop()


def put_raw(fleet, table, key, data, part=""):
    """Writes the bytes of a row."""
    name = store.Key(table, part, key)
    fleet.store.store.commit(store.Transaction({}, {name: data}))


@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_an_odd_entry_is_a_failure(kind):
    """Not an engine, and not an exception."""
    row = store.Row(store.Key("servers", "", "e1"), ODD_ENTRIES[kind], 1)
    assert isinstance(registry.decode_engine(row), errors.Failure)


# An operator's report, and review case 3: one entry of another writer ended
# the following of the list, so that engines that left were used on.
@pytest.mark.parametrize("kind", ODD_ENTRIES)
def test_an_odd_entry_does_not_hide_that_an_engine_leaves(fleet, kind):
    """A daemon that starts then becomes ready, too."""
    put_raw(fleet, "servers", "odd", ODD_ENTRIES[kind])
    leaving = fleet.engines[0]
    fleet.list_engine(leaving, "draining")
    fleet.daemons.append(fleet.start("vm-late"))
    for daemon in fleet.daemons:
        entryhelper.wait_until(
            lambda one=daemon: one.state.roster.get(leaving.name).draining,
            "the engine is known to drain",
        )
        assert daemon.state.roster.get("odd") is None
    for number in range(len(fleet.daemons)):
        assert fleet.send_online(f"r{number}", daemon=number).status == 200
    assert not leaving.arrivals


ODD_BYTES = {
    "nested": b"\x91" * DEPTH,
    "not UTF-8": b"\xff\xfe",
    "another type": codec.pack({"holder": 7}),
}


@pytest.mark.parametrize("kind", ODD_BYTES)
@pytest.mark.parametrize(
    "table", ["op", "members", "quarantine", "versions", "servers"]
)
def test_an_odd_row_does_not_end_the_following_of_a_table(fleet, table, kind):
    """Rows of all tables may come from another build."""
    put_raw(fleet, table, "odd", ODD_BYTES[kind])
    put_raw(fleet, table, "10.0.0.1:99999", b"vm")
    fleet.daemons.append(fleet.start("vm-late"))
    fleet.configure(7, entryfleet.ROUTES)
    for number, daemon in enumerate(fleet.daemons):
        entryhelper.wait_until(
            lambda one=daemon: one.state.table.revision == 7, "version 7"
        )
        entryhelper.wait_until(
            lambda one=daemon: len(one.slots.hub_selector.members) == 3,
            "all members are known, and no other one",
        )
        assert fleet.send_online(f"r{number}", daemon=number).status == 200


@pytest.mark.parametrize("kind", ODD_BYTES)
def test_an_odd_row_of_a_job_does_not_hide_the_others(fleet, kind):
    """Else no job of the same host is accepted or taken over any more."""
    for engine in fleet.engines:
        engine.faults.extend([streamengine.Fault.SILENT] * 3)
    host = entryfleet.HOSTNAME
    put_raw(fleet, "open", "odd", ODD_BYTES[kind], host)
    assert fleet.submit("j1", 3).status == 202
    entryhelper.wait_until(lambda: fleet.ran("j1-0"), "an item runs")
    put_raw(fleet, "partials", "j1/0000/0000", ODD_BYTES[kind], host)
    fleet.daemons[0].actor.stop()
    entryhelper.wait_until(
        lambda: fleet.complete_results("j1", daemon=1),
        "the other daemon completes the job",
    )


entries = st.dictionaries(
    st.sampled_from(
        ["service", "address", "state", "zone", "slots", "born", "version"]
    ),
    st.one_of(
        st.none(),
        st.booleans(),
        st.integers(),
        st.floats(),
        st.text(),
        st.sampled_from(
            ["ready", "draining", "10.1.0.7:80", "10.1.0.7:65536", "::1:80"]
        ),
        st.lists(st.integers()),
    ),
)


@hypothesis.given(entry=entries, raw=st.binary(), is_whole=st.booleans())
def test_what_an_entry_names_fits_the_messages_between_daemons(
    entry, raw, is_whole
):
    """Else an engine could not be reported, and nothing with it."""
    entry = {**ENTRY, **entry}
    data = json.dumps(entry).encode() if is_whole else raw
    row = store.Row(store.Key("servers", "", "e1"), data, 1)
    found = registry.decode_engine(row)
    if isinstance(found, errors.Failure):
        return
    assert isinstance(found, roster.Engine)
    assert not isinstance(addresses.parse(found.address), errors.Failure)
    crash = slotmessages.Crash(found.id, found.started_ms, (), False, 0.0)
    version = found.version
    wanted = slotmessages.WantedSlot(1, found.pool, False, 0, "", version)
    assert codec.pack((crash, wanted))


@hypothesis.given(text=st.text() | st.from_regex(r"[0-9.]{0,20}:[0-9]{0,7}"))
def test_an_address_is_an_ip_number_and_a_port(text):
    """Whatever else stands there is a failure, not an exception."""
    found = addresses.parse(text)
    if not isinstance(found, errors.Failure):
        host, port = found
        assert 0 < port <= addresses.PORT_MAX
        assert len(host.split(".")) == 4
