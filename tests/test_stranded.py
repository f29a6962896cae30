"""Some daemons lose the path to all engines; callers and peers reach them.

The daemons run in this process, with emulated store and engines. A cut daemon
cannot open connections to engines; those that are open fall silent, are reset
or go on.
"""

import concurrent.futures
import time

import h11
import pytest

from samphirepost import codec
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import tunnel
from tests import cutnetwork
from tests import entryhelper

DAEMONS = 4
# The users' bounds: from CONTACT_S after the cut, first tries at stranded
# daemons are served at least SERVED_SHARE_MIN times as often as at others.
CONTACT_S = 3.0
SERVED_SHARE_MIN = 2 / 3
TRIES = 30


class StrandedFleet(entryhelper.Fleet):
    """A fleet whose daemons reach the engines through networks of their own.

    `networks` has a cutnetwork.Network for each daemon. `maybe_sent` has the
    ids of requests that a peer was asked to send and gave no answer about.
    """

    def __init__(self, engines=3, daemons=DAEMONS):
        super().__init__(engines=engines, daemons=daemons)
        self.networks = []
        self.maybe_sent = []
        for daemon in self.daemons:
            network = cutnetwork.Network()
            daemon.parts.dialer = network.dial
            self.networks.append(network)
            daemon.paths.open = self._recorded(daemon.paths.open)

    def _recorded(self, open_call):
        """Returns a PathMonitor.open() that fills `maybe_sent`."""

        def open_and_record(call, engine, through, order, request):
            failure = open_call(call, engine, through, order, request)
            if through and request and failure is not None and failure.sent:
                self.maybe_sent.append(dict(request[2])["Request-Id"])
            return failure

        return open_and_record

    def hub(self):
        """Returns the number of the daemon that all take for the hub."""

        def find():
            hubs = {daemon.slots.hub_vm for daemon in self.daemons}
            answer = all(daemon.slots.hub_answers for daemon in self.daemons)
            return hubs if len(hubs) == 1 and answer else None

        (hub,) = entryhelper.wait_until(find, "all know the hub")
        return [daemon.parts.me for daemon in self.daemons].index(hub)

    def strand(self, numbers, new="hang", opened="silent"):
        """Cuts the paths of some daemons to all engines."""
        for number in numbers:
            self.networks[number].cut(new, opened)


@pytest.fixture
def fleet():
    """Daemons and engines whose connections can be cut."""
    new_fleet = StrandedFleet()
    yield new_fleet
    new_fleet.stop()


def wait_until_contact():
    """Waits for the time in which daemons may learn of the cut."""
    over_s = time.monotonic() + CONTACT_S
    entryhelper.wait_until(
        lambda: time.monotonic() > over_s, "daemons were in contact"
    )


def try_each(fleet, numbers, name):
    """Sends first tries to daemons in turn; returns the share served."""
    served = 0
    for count in range(TRIES):
        daemon = numbers[count % len(numbers)]
        request = f"{name}-{count}"
        reply = fleet.send_online(request, daemon=daemon)
        if reply.status == 200 and reply.complete:
            assert reply.text == fleet.engines[0].text(request)
            served += 1
    return served / TRIES


def choose(fleet, count, with_hub):
    """Returns the numbers of `count` daemons and those of the others."""
    hub = fleet.hub()
    others = [number for number in range(DAEMONS) if number != hub]
    ordered = [hub, *others] if with_hub else [*others, hub]
    return ordered[:count], ordered[count:]


# Incident stranded of issue 31: daemons without a path to the engines served
# nobody, and made the engines suspect for the others.
@pytest.mark.parametrize("with_hub", [False, True])
@pytest.mark.parametrize("new", ["hang", "refuse"])
def test_callers_of_stranded_daemons_are_served_like_others(
    fleet, new, with_hub
):
    stranded, others = choose(fleet, 3, with_hub)
    fleet.strand(stranded, new)
    try_each(fleet, stranded, "early")
    wait_until_contact()
    at_stranded = try_each(fleet, stranded, "stranded")
    at_others = try_each(fleet, others, "other")
    assert at_others == 1.0
    assert at_stranded >= SERVED_SHARE_MIN * at_others


def send_all(fleet, daemons, names, path):
    """Sends a request to each daemon at a time; returns the started Futures.

    Returns once all of them have reached engines.
    """
    executor = concurrent.futures.ThreadPoolExecutor(len(names))
    futures = {
        name: executor.submit(
            fleet.send_online, name, path, daemons[i % len(daemons)]
        )
        for i, name in enumerate(names)
    }
    entryhelper.wait_until(
        lambda: all(fleet.ran(name) for name in names), "all have begun"
    )
    return futures


# Streams under way at the cut were given up late, as the daemon took the
# silence of all its engines for that of each.
@pytest.mark.parametrize("opened", ["silent", "reset"])
def test_streams_under_way_at_the_cut_go_on_through_peers(fleet, opened):
    for engine in fleet.engines:
        engine.events, engine.event_interval_s = 20, 0.05
    stranded, _ = choose(fleet, 2, False)
    names = [f"r{number}" for number in range(6)]
    futures = send_all(fleet, stranded, names, "/notes/1")
    fleet.strand(stranded, "hang", opened)
    for name, fut in futures.items():
        reply = fut.result()
        assert (reply.status, reply.complete) == (200, True)
        assert reply.text == fleet.engines[0].text(name)


# Connections that live on while new ones are refused are left to end. Peers
# tell whether the engine still runs if an answer has no length, and relay the
# questions about the end of one that may be resumed.
@pytest.mark.parametrize(
    ("path", "unframed", "runs"),
    [("/bills/1", False, 1), ("/bills/1", True, 1), ("/drafts/1", True, 4)],
)
def test_streams_that_live_on_are_left_to_end(fleet, path, unframed, runs):
    for engine in fleet.engines:
        engine.events, engine.event_interval_s = 20, 0.05
        engine.unframed = unframed
    stranded, _ = choose(fleet, 2, False)
    names = [f"r{number}" for number in range(6)]
    futures = send_all(fleet, stranded, names, path)
    fleet.strand(stranded, "refuse", "live")
    for name, fut in futures.items():
        assert fut.result().complete
        assert fleet.ran(name) == runs


# A request that runs at most once must not run again, nor be called not run.
def test_a_request_that_was_cut_while_it_ran_is_not_run_again(fleet):
    for engine in fleet.engines:
        engine.faults.append(streamengine.Fault.SILENT)
    stranded, _ = choose(fleet, 2, False)
    futures = send_all(fleet, stranded, ["r0", "r1"], "/bills/1")
    fleet.strand(stranded, "hang", "reset")
    for name, fut in futures.items():
        assert fut.result().status in (502, 504)
        assert fleet.ran(name) == 1


def test_stranded_daemons_make_no_engine_suspect(fleet):
    stranded, _ = choose(fleet, 3, False)
    hub = fleet.daemons[fleet.hub()]
    health = hub.slots.hub_server._allocator.health
    blamed = []
    record = health.record_failure
    health_class = type(health)

    def record_and_tell(self, engine_id, vm, now_s):
        blamed.append(engine_id)
        record(engine_id, vm, now_s)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(health_class, "record_failure", record_and_tell)
        fleet.strand(stranded)
        try_each(fleet, stranded, "early")
        wait_until_contact()
    assert blamed == []


def test_items_of_a_stranded_holder_are_done(fleet):
    stranded, _ = choose(fleet, 3, True)
    fleet.strand(stranded)
    assert fleet.submit("job", 20, stranded[0]).status == 202
    entryhelper.wait_until(
        lambda: fleet.complete_results("job", stranded[1]), "the job is done"
    )


def assert_refused_truthfully(fleet, reply, request):
    """Checks the answer to a request that reached no engine.

    It is 503 unless a peer may have sent the request.
    """
    assert fleet.ran(request) == 0
    if request in fleet.maybe_sent:
        assert reply.status in (502, 504)
        assert "Retry-After" not in reply.headers
    else:
        assert reply.status == 503
        assert float(reply.headers["Retry-After"]) > 0


# What cannot be served is refused at once, and truthfully.
def test_with_all_daemons_stranded_nothing_is_sent_until_a_path_is_back(
    fleet,
):
    everyone = list(range(DAEMONS))
    fleet.strand(everyone)
    try_each(fleet, everyone, "early")
    wait_until_contact()
    for number in everyone:
        reply = fleet.send_online(f"late-{number}", daemon=number)
        assert_refused_truthfully(fleet, reply, f"late-{number}")
    fleet.networks[0].heal()
    entryhelper.wait_until(
        lambda: not fleet.daemons[0].paths.is_doubtful, "a path is back"
    )
    for number in everyone:
        entryhelper.wait_until(
            lambda one=number: (
                fleet.send_online(
                    f"back-{one}-{time.monotonic()}", daemon=one
                ).status
                == 200
            ),
            "served through the one that is back",
        )


class Peer(entryhelper.RawServer):
    """A peer that answers relay orders with `answer`, or is silent without.

    It sends the orders' requests to those of `engines`, by id, before.
    """

    def __init__(self, engines=(), answer=b""):
        self._engines = {engine.name: engine for engine in engines}
        self._answer = answer
        super().__init__()

    def serve(self, conn):
        """Serves one order until the daemon closes the connection."""
        order = self._read_order(conn)
        engine = self._engines.get(order.engine)
        sock = None
        if engine is not None and order.data:
            sock = engineclient.dial(engine.address, 1.0)
            sock.sendall(order.data)
        if self._answer:
            conn.sendall(self._answer)
        while conn.recv(cutnetwork.READ_BYTES):
            pass
        if sock is not None:
            sock.close()

    def _read_order(self, conn):
        parser = h11.Connection(h11.SERVER)
        body = b""
        while True:
            event = parser.next_event()
            if event is h11.NEED_DATA:
                parser.receive_data(conn.recv(cutnetwork.READ_BYTES))
            elif isinstance(event, h11.Data):
                body += event.data
            elif isinstance(event, h11.EndOfMessage):
                return codec.unpack(body, tunnel.RelayOrder)


@pytest.fixture
def lone_fleet():
    """One daemon that reaches no engine itself and knows no hub."""
    new_fleet = StrandedFleet(daemons=1)
    slots = new_fleet.daemons[0].slots
    slots._select_hub = lambda _: None
    slots._hub.address = None
    new_fleet.strand([0], "refuse")
    yield new_fleet
    new_fleet.stop()


def send_beside(fleet, peer, path):
    """Sends r1 to the daemon, whose only peer is `peer`; returns the Reply."""
    host, port = peer.address.split(":")
    daemon = fleet.daemons[0]
    daemon.paths._peer_addresses = lambda: {"peer": (host, int(port))}
    return fleet.send_online("r1", path)


# A peer that is silent for its time may have sent the request: that it has
# not run would be untrue, and so a request may run once more than allowed.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
@pytest.mark.parametrize("sends", [False, True])
def test_a_request_that_a_silent_peer_may_have_sent_is_not_called_not_run(
    lone_fleet, sends, path
):
    peer = Peer(lone_fleet.engines if sends else ())
    reply = send_beside(lone_fleet, peer, path)
    assert reply.status == 502
    assert "Retry-After" not in reply.headers
    assert lone_fleet.ran("r1") == sends
    assert lone_fleet.maybe_sent == ["r1"]
    peer.stop()


# A peer that says that it has sent nothing is believed.
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
@pytest.mark.parametrize("status", [502, 503])
def test_a_request_that_the_peer_refused_is_called_not_run(
    lone_fleet, status, path
):
    answer = b"HTTP/1.1 %d No\r\nContent-Length: 0\r\n\r\n" % status
    peer = Peer(answer=answer)
    reply = send_beside(lone_fleet, peer, path)
    assert lone_fleet.maybe_sent == []
    assert_refused_truthfully(lone_fleet, reply, "r1")
    peer.stop()


# The peer that helps is stranded next.
def test_another_peer_helps_when_the_first_is_stranded_too(fleet):
    stranded, others = choose(fleet, 2, False)
    fleet.strand(stranded)
    wait_until_contact()
    try_each(fleet, stranded, "first")
    fleet.strand(others[:1])
    wait_until_contact()
    assert try_each(fleet, stranded, "second") >= SERVED_SHARE_MIN


def test_the_engine_is_left_when_a_relayed_caller_leaves(fleet):
    stranded, _ = choose(fleet, 3, False)
    fleet.strand(stranded)
    try_each(fleet, stranded, "early")
    for engine in fleet.engines:
        engine.faults.append(streamengine.Fault.SILENT)
    fleet.send_and_leave("r1", stranded[0])
    entryhelper.wait_until(
        lambda: any(engine.disconnected.is_set() for engine in fleet.engines),
        "the engine sees the connection closed",
    )
    helpers = [daemon.engine_relay for daemon in fleet.daemons]
    entryhelper.wait_until(
        lambda: all(one.is_idle for one in helpers), "no relayed run is left"
    )
