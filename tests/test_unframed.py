"""Streams that have no length and end with the engine's connection."""

import concurrent.futures
import threading

import pytest

from samphirepost import batchjob
from samphirepost import roster
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import engineclient
from samphirepost_daemon.entry import holdermessages
from samphirepost_daemon.entry import items
from tests import entryhelper

Fault = streamengine.Fault


@pytest.fixture
def fleet():
    """One daemon with two engines whose streams are unframed."""
    new_fleet = entryhelper.Fleet()
    for engine in new_fleet.engines:
        engine.unframed = True
    yield new_fleet
    new_fleet.stop()


def test_a_stream_that_ends_after_an_event_is_whole(fleet):
    for path in ("/notes/1", "/bills/1"):
        found = fleet.send_online(f"r{path}", path)
        assert (found.status, found.complete) == (200, True)
        assert found.text == fleet.engines[0].text(f"r{path}")


# The end of the connection could pass for the end of the stream.
def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.CUT_EVENT)
    fleet.engines[0].faults.clear()
    for number in range(4):
        found = fleet.send_online(f"r{number}")
        assert found.complete
        assert found.text == fleet.engines[0].text(f"r{number}")


def test_a_stream_that_ends_inside_an_event_is_cut(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.CUT_EVENT)
    found = fleet.send_online("r1", "/bills/1")
    assert not found.complete
    assert fleet.ran("r1") == 1


# A head and no event passed for a whole answer without events.
def test_a_stream_that_ends_after_its_head_is_no_answer(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.EMPTY)
    found = fleet.send_online("r1", "/bills/1")
    assert found.status == 502
    assert "Response-Seal" not in found.headers


def test_a_stream_that_ends_after_its_head_is_asked_for_elsewhere(fleet):
    for engine in fleet.engines:
        engine.faults.append(Fault.EMPTY)
    fleet.engines[0].faults.clear()
    for number in range(4):
        found = fleet.send_online(f"r{number}")
        assert (found.status, found.complete) == (200, True)
        assert found.text == fleet.engines[0].text(f"r{number}")


# The same for a whole job: parts of texts were listed as done.
def test_a_job_at_engines_that_cut_their_answers_between_events_is_whole(
    fleet,
):
    for engine in fleet.engines:
        engine.faults.extend([Fault.CUT] * 4)
    assert fleet.submit("job", 6).status == 202
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )
    for result in results:
        assert result["state"] == "done"
        assert result["text"] == fleet.engines[0].text(result["id"])


NO_REPORT = b"HTTP/1.1 404 Not Found\r\n\r\n"


class DyingServer(entryhelper.RawServer):
    """An engine that ends between two events of its answer, if it is told to.

    Its answers have no length. `report` is what it answers if it is asked for
    its report; None to close the connection. `resumed` has the id of the event
    after which each request asked, 0 for none.
    """

    def __init__(self, dies, report=NO_REPORT):
        super().__init__()
        self._dies = dies
        self._report = report
        self.resumed = []

    def serve(self, conn):
        """Sends what follows of two events and closes the connection.

        If it dies, it refuses connections from then on.
        """
        data = conn.recv(65_536)
        if data.startswith(b"GET /report "):
            if self._report is not None:
                conn.sendall(self._report)
            return
        if not data:
            # A test of the path.
            return
        request = data.partition(b"Request-Id: ")[2].partition(b"\r\n")[0]
        after = data.partition(b"Last-Event-Id: ")[2].partition(b"\r\n")[0]
        self.resumed.append(int(after or 0))
        body = b"".join(
            b"id: %d\ndata: %d\n\n" % (number, number)
            for number in range(self.resumed[-1] + 1, 3)
        )
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nResponse-Seal: s\r\n"
            b"Content-Type: text/event-stream\r\n\r\n" % request + body
        )
        if self._dies:
            self.stop()


PATHS = ["/notes/1", "/bills/1", "/slips/1", "/prints/1"]


@pytest.fixture
def lone_fleet():
    """A daemon without engines, with routes of all online kinds."""
    new_fleet = entryhelper.start_without_engines()
    yield new_fleet
    new_fleet.stop()


# Users' days, MIXED: an engine that is killed ends its connections as after a
# whole answer, and callers got a part of one, framed as whole.
@pytest.mark.parametrize("path", PATHS)
def test_an_answer_whose_engine_is_gone_is_not_whole(lone_fleet, path):
    engine = DyingServer(dies=True)
    lone_fleet.list_address("e1", engine.address)
    found = lone_fleet.send_online("r1", path)
    assert engine.resumed == [0]
    if path in ("/slips/1", "/prints/1"):
        assert found.status == 502
        assert "Response-Seal" not in found.headers
    else:
        assert (found.status, found.complete) == (200, False)


@pytest.mark.parametrize("path", PATHS)
def test_an_answer_whose_engine_is_still_there_is_whole(lone_fleet, path):
    engine = DyingServer(dies=False)
    lone_fleet.list_address("e1", engine.address)
    found = lone_fleet.send_online("r1", path)
    engine.stop()
    # A stream that may be resumed is asked for again until its end is known.
    assert engine.resumed == ([0, 2, 1, 0] if path == "/notes/1" else [0])
    assert (found.status, found.complete) == (200, True)
    assert found.text == "1\n2"


def report(born):
    """Returns the report of an engine that started at `born` (ms)."""
    body = b'{"born":%d}' % born
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )


BORN_MS = 1_700_000_000_000
# What is answered at the engine's address after its answer has ended, and
# whether that shows that the engine has not been killed in it.
REPORTS = {
    "its own": (report(BORN_MS), True),
    "none": (NO_REPORT, True),
    "without a start": (report(0), True),
    "that of a later start": (report(BORN_MS + 1), False),
    "another engine": (b"HTTP/1.1 421 Misdirected\r\n\r\n", False),
    "closed": (None, False),
    "cut": (b"HTTP/1.1 200 O", False),
}


# An engine that has started again at its address, or a proxy before it, takes
# connections as the killed one did.
@pytest.mark.parametrize("kind", REPORTS)
def test_the_same_start_of_an_engine_has_to_run_after_its_answer(
    lone_fleet, kind
):
    answer, is_whole = REPORTS[kind]
    engine = DyingServer(False, answer)
    lone_fleet.list_address("e1", engine.address, BORN_MS)
    found = lone_fleet.send_online("r1", "/bills/1")
    engine.stop()
    assert (found.status, found.complete) == (200, is_whole)


# The end of a killed engine's stream is not that of the output: another
# engine goes on.
def test_a_stream_whose_engine_is_gone_goes_on_elsewhere(fleet):
    for engine in fleet.engines:
        engine.events, engine.event_interval_s = 20, 0.05
    with concurrent.futures.ThreadPoolExecutor(1) as executor:
        fut = executor.submit(fleet.send_online, "r1")
        engine = entryhelper.wait_until(
            lambda: next(
                (one for one in fleet.engines if one.ran("r1")), None
            ),
            "the request runs",
        )
        engine.crash()
        found = fut.result()
    assert (found.status, found.complete) == (200, True)
    assert found.text == fleet.engines[0].text("r1")
    assert engine.ran("r1") == 1
    (other,) = (one for one in fleet.engines if one is not engine)
    # It goes on there, and there are three questions about the end.
    asked = [one.resume_after for one in other.arrivals if one.has_run]
    assert asked[1:] == [20, 18, 16]


class HeadServer(entryhelper.RawServer):
    """An engine that closes each connection after the head of an answer."""

    def __init__(self):
        super().__init__()
        self.requests = 0

    def serve(self, conn):
        """Sends a head without a length."""
        conn.recv(65_536)
        self.requests += 1
        conn.sendall(b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\n\r\n")


# An item that was resumed there passed for complete, with part of its text.
def test_an_item_whose_engine_ends_after_the_head_is_interrupted():
    server = HeadServer()
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    partial = batchjob.PartialOutput()
    assert partial.append_event(1, b"text")
    engine = roster.Engine("e1", "plants", server.address, "a", 8)
    outcome = entryhelper.run_item(item, engine, partial)
    server.stop()
    assert isinstance(outcome, items.InterruptedRun)
    assert (outcome.lost, outcome.has_head) == (True, True)
    assert server.requests == 1


ITEM_EVENTS = 6


class ShortServer(entryhelper.RawServer):
    """An engine that ends its answers after some events of an item.

    `counts` has the number of events of each next answer, None for all that
    follow up to ITEM_EVENTS; answers have no
    length if `unframed` has a true value for them, or is empty. Once `counts`
    is used up, the engine is gone. `resumed` lists the event after which each
    request asked.
    """

    def __init__(self, counts, unframed=()):
        super().__init__()
        self.counts = list(counts)
        self.unframed = list(unframed)
        self.resumed = []

    def serve(self, conn):
        """Answers one request; the last one ends the engine."""
        lines = conn.recv(65_536).lower().split(b"\r\n")
        after = [one for one in lines if one.startswith(b"last-event-id:")]
        first = int(after[0].split(b":")[1]) + 1 if after else 1
        self.resumed.append(first - 1)
        count = self.counts.pop(0)
        if count is None:
            count = ITEM_EVENTS + 1 - first
        is_unframed = not self.unframed or self.unframed.pop(0)
        if not self.counts:
            self.stop()
        body = b"".join(
            b"id: %d\ndata: %d\n\n" % (number, number)
            for number in range(first, first + count)
        )
        length = b"" if is_unframed else b"Content-Length: %d\r\n" % len(body)
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nResponse-Seal: s\r\n"
            + length
            + b"\r\n"
            + body
        )


def run_short_item(server, partial, observer=None):
    """Runs an item at a ShortServer; returns the outcome."""
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    engine = roster.Engine("e1", "plants", server.address, "a", 8)
    return entryhelper.run_item(item, engine, partial, observer)


@pytest.fixture
def short_server():
    """Returns a function that starts a ShortServer."""
    servers = []

    def start(*args):
        servers.append(ShortServer(*args))
        return servers[-1]

    yield start
    for server in servers:
        server.stop()


# Days of the users, MIXED: an engine that is killed writes whole events and
# its connection ends as after a whole answer, so part of a text was done.
def test_an_item_whose_engine_is_killed_between_events_is_not_complete(
    short_server,
):
    partial = batchjob.PartialOutput()
    outcome = run_short_item(short_server([3]), partial)
    assert isinstance(outcome, items.InterruptedRun)
    assert outcome.may_be_path
    assert partial.text == b"1\n2\n3"


# The same if the engine lives on: it is asked for what follows.
def test_an_item_whose_answer_ends_early_goes_on_at_the_same_engine(
    short_server,
):
    partial = batchjob.PartialOutput()
    server = short_server([3, 2, 1, 0], [True, True, True, False])
    outcome = run_short_item(server, partial)
    assert outcome == items.CompletedRun(framed=True)
    assert partial.text == b"1\n2\n3\n4\n5\n6"
    assert server.resumed == [0, 3, 5, 6]


def test_an_item_is_complete_once_its_engine_says_that_nothing_follows(
    short_server,
):
    partial = batchjob.PartialOutput()
    server = short_server([ITEM_EVENTS, 0], [True, False])
    outcome = run_short_item(server, partial)
    assert outcome == items.CompletedRun(framed=True)
    assert server.resumed == [0, ITEM_EVENTS]


# Items of engines whose answers never have a length have to be done as well.
def test_an_item_is_complete_once_answers_without_a_length_agree(short_server):
    partial = batchjob.PartialOutput()
    server = short_server([None] * 4)
    outcome = run_short_item(server, partial)
    assert outcome == items.CompletedRun(framed=False)
    assert partial.text == b"1\n2\n3\n4\n5\n6"
    assert server.resumed == [0, 6, 2, 4]


# What an answer adds to the events that it was to repeat shows that the output
# goes on; it is asked for after the last event.
def test_an_item_goes_on_after_ends_that_prove_wrong(short_server):
    partial = batchjob.PartialOutput()
    server = short_server([3, 0, None, None, 0], [True] * 4 + [False])
    outcome = run_short_item(server, partial)
    assert outcome == items.CompletedRun(framed=True)
    assert partial.text == b"1\n2\n3\n4\n5\n6"
    assert server.resumed == [0, 3, 1, 3, 6]


# An answer with a length that lacks events of the output states nothing.
def test_a_repeat_that_lacks_events_completes_nothing(short_server):
    partial = batchjob.PartialOutput()
    server = short_server([3, 0, 1], [True, True, False])
    outcome = run_short_item(server, partial)
    assert isinstance(outcome, items.InterruptedRun)
    assert server.resumed == [0, 3, 1]


def test_an_answer_with_a_length_is_not_asked_for_again(short_server):
    partial = batchjob.PartialOutput()
    server = short_server([ITEM_EVENTS, 0], [False])
    outcome = run_short_item(server, partial)
    assert isinstance(outcome, items.CompletedRun)
    assert server.resumed == [0]


class OnceObserver(items.RunObserver):
    """An engine that must not be asked again in a run: it leaves, say."""

    __slots__ = ()

    def may_ask_again(self):
        """Returns False."""
        return False


# An engine that leaves, or that names a limit, gets no second request: the
# item waits for its next runs, and is not run without an end.
def test_an_item_that_may_not_ask_again_is_complete_at_its_next_runs(
    short_server,
):
    partial = batchjob.PartialOutput()
    server = short_server([None] * 4)
    outcomes = [
        run_short_item(server, partial, OnceObserver()) for _ in range(4)
    ]
    for outcome in outcomes[:3]:
        assert isinstance(outcome, items.InterruptedRun)
        assert not outcome.is_engine_failure
    assert outcomes[3] == items.CompletedRun(framed=False)
    assert server.resumed == [0, 6, 2, 4]


class LateStopObserver(items.RunObserver):
    """Stops a run once it is clear that it may ask again."""

    __slots__ = ("_run",)

    def __init__(self, run):
        self._run = run

    def may_ask_again(self):
        """Stops the run and returns True."""
        self._run.stop()
        return True


class RecordingPaths(entryhelper.DirectPaths):
    """Records what became of each request: None, or CallFailure."""

    def __init__(self):
        self.opened = []

    def open(self, *args):
        """Sends a request; see PathMonitor.open()."""
        self.opened.append(super().open(*args))
        return self.opened[-1]


# A run that lost its slot between two answers still sent its next request.
def test_a_run_that_is_stopped_between_two_answers_asks_no_more(short_server):
    server = short_server([3, None, None])
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    record = batchjob.Record("job", "h", "r", item.path, (item,))
    engine = roster.Engine("e1", "plants", server.address, "a", 8)
    partial = batchjob.PartialOutput()
    run = holdermessages.ItemRun(1, ("h", "job"), 0, engine, partial)
    paths = RecordingPaths()
    outcome = items.run_item(
        paths,
        record,
        item,
        engine,
        run,
        lambda: run.stop_requested,
        LateStopObserver(run),
    )
    assert outcome == items.InterruptedRun("stopped", False)
    first, second = paths.opened
    assert first is None
    assert not second.sent
    assert partial.text == b"1\n2\n3"


class HeadsServer(entryhelper.RawServer):
    """An engine that lives on and ends each answer after a sealed head."""

    def serve(self, conn):
        """Sends a head without a length."""
        conn.recv(65_536)
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\nResponse-Seal: s\r\n\r\n"
        )


RUNS = 20


# Users' days, MIXED: an engine that breaks off before its first event was
# taken to say that nothing follows, so a resumed item was done with the part
# that it had.
def test_heads_without_events_never_complete_a_resumed_item():
    server = HeadsServer()
    partial = batchjob.PartialOutput()
    assert partial.append_event(1, b"text")
    outcomes = [run_short_item(server, partial) for _ in range(RUNS)]
    server.stop()
    for outcome in outcomes:
        assert isinstance(outcome, items.InterruptedRun)
    assert partial.text == b"text"


# The same after an answer that ended between two events.
def test_a_head_without_events_does_not_confirm_an_end(short_server):
    partial = batchjob.PartialOutput()
    server = short_server([3] + [0] * RUNS)
    while server.counts:
        outcome = run_short_item(server, partial)
        assert isinstance(outcome, items.InterruptedRun)
    assert partial.text == b"1\n2\n3"


# The same at an engine that leaves or names a limit: one head was enough, if
# an earlier run had ended there.
def test_a_head_without_events_confirms_no_end_of_an_earlier_run(
    short_server,
):
    partial = batchjob.PartialOutput()
    server = short_server([3, 0])
    for _ in range(2):
        outcome = run_short_item(server, partial, OnceObserver())
        assert isinstance(outcome, items.InterruptedRun)


# The same for a whole job.
def test_a_job_at_engines_that_end_after_the_head_is_whole(fleet):
    for engine in fleet.engines:
        engine.faults.extend([Fault.CUT, Fault.EMPTY, Fault.EMPTY] * 3)
    assert fleet.submit("job", 6).status == 202
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )
    for result in results:
        assert result["state"] == "done"
        assert result["text"] == fleet.engines[0].text(result["id"])


class EventServer(entryhelper.RawServer):
    """An engine whose answer has no length; it ends when the caller leaves.

    `sent` is set once an event has been sent.
    """

    def __init__(self):
        super().__init__()
        self.sent = threading.Event()

    def serve(self, conn):
        """Sends a head and one event, then waits for the caller."""
        conn.recv(65_536)
        conn.sendall(
            b"HTTP/1.1 200 OK\r\nRequest-Id: i1\r\n"
            b"Response-Seal: s\r\n\r\nid: 1\ndata: a\n\n"
        )
        self.sent.set()
        conn.recv(65_536)


class StoppingObserver(items.RunObserver):
    """Stops a run as its head arrives, as if it lost its slot then."""

    __slots__ = ("_run",)

    def __init__(self, run):
        self._run = run

    def head_received(self, _head):
        """Stops the run once an event is on its way."""
        self._run.stop()


@pytest.fixture
def event_server():
    """An EventServer."""
    server = EventServer()
    yield server
    server.stop()


# The end of the connection that the daemon had closed itself passed for the
# engine's, so the item was listed as done with part of its text.
def test_an_item_that_loses_its_slot_is_not_complete(event_server):
    item = batchjob.Item("i1", "/evening/1", {}, b"body", 10)
    record = batchjob.Record("job", "h", "r", item.path, (item,))
    engine = roster.Engine("e1", "plants", event_server.address, "a", 8)
    partial = batchjob.PartialOutput()
    run = holdermessages.ItemRun(1, ("h", "job"), 0, engine, partial)
    outcome = items.run_item(
        entryhelper.DirectPaths(),
        record,
        item,
        engine,
        run,
        # The connection ends before the flag is looked at again.
        lambda: False,
        StoppingObserver(run),
    )
    assert isinstance(outcome, items.InterruptedRun)
    assert not outcome.lost


# The same for whoever reads the answer, and however its bytes come.
def test_an_aborted_call_has_no_end_of_response(event_server):
    call = engineclient.Call()
    engine = roster.Engine("e1", "plants", event_server.address, "a", 8)
    call.connect(lambda one: engineclient.dial(one.address, 1.0), engine)
    headers = [("Host", "h"), ("Content-Length", "0")]
    assert call.send("POST", "/evening/1", headers, b"") is None
    assert event_server.sent.wait(entryhelper.WAIT_S)
    assert isinstance(call.read(entryhelper.WAIT_S), engineclient.ResponseHead)
    call.abort()
    parts = []
    while not (parts and isinstance(parts[-1], engineclient.CallFailure)):
        parts.append(call.read(entryhelper.WAIT_S))
        assert not isinstance(parts[-1], engineclient.EndOfResponse)
    call.close()
    assert not parts[-1].lost
