"""Connections to sound engines that end at one moment, as on a bad network.

No engine crashes here, unless a test says so.
"""

import concurrent.futures
import socket
import threading
import time

import pytest

from samphirepost_bench import entryfleet
from samphirepost_bench import resets
from samphirepost_bench import streamengine
from tests import entryhelper

ENGINES = 6
PART = "5c41e0"
PROMPT = f"{PART}:300,own:9"
# More than the daemons report a crash and the hub settles on its cause (s).
DECISION_S = 1.0


class PrefillingHandler(streamengine.Handler):
    """Reads the prompt until the engines may answer."""

    may_answer = threading.Event()

    def send_stream(self, arrival, fault):
        """Answers with the stream once `may_answer` is set."""
        self.may_answer.wait(entryhelper.WAIT_S)
        return super().send_stream(arrival, fault)


class ProxiedFleet(entryhelper.Fleet):
    """A daemon that reaches its engines through proxies.

    Each engine is of a known incarnation, and waits before its answers.
    """

    def __init__(self):
        self.proxies = []
        self._opener = entryfleet.Proxies()
        super().__init__(engines=ENGINES)

    def add_engine(self, version="v1"):
        """Starts an engine, and lists it at the address of its proxy."""
        engine = streamengine.Engine(f"engine-{len(self.engines)}")
        engine.RequestHandlerClass = PrefillingHandler
        engine.born = int(time.time() * 1000)
        engine.start()
        self.engines.append(engine)
        self.proxies.append(self._opener.open_proxy(engine.address))
        self.list_engine(engine)
        return engine

    def list_engine(self, engine, state="ready"):
        """Writes an engine's entry in the registry."""
        proxy = self.proxies[self.engines.index(engine)]
        entry = engine.entry(entryfleet.POOL, state)
        entry["address"] = f"{proxy.host}:{proxy.port}"
        self.store.put_row("servers", engine.name, entry)

    def end_connections(self, is_reset):
        """Ends all open connections between the daemon and engines."""
        end = self._opener.reset if is_reset else self._opener.end
        for proxy in self.proxies:
            end(proxy)

    def wait_for_arrivals(self, count):
        """Waits until so many requests are at engines in all."""
        entryhelper.wait_until(
            lambda: sum(len(one.arrivals) for one in self.engines) >= count,
            f"{count} requests are at engines",
        )

    def send_streams(self, prefix, executor, path="/notes/1"):
        """Sends a stream for each engine; returns the futures of Replies."""
        return [
            executor.submit(
                self.send_online,
                f"{prefix}-{number}",
                path,
                body=f"{prefix} {number}".encode(),
                **{"Prompt-Prefix": f"{PART}:300,own{number}:9"},
            )
            for number in range(ENGINES)
        ]


def wait_for_decision():
    """Waits for the time in which the hub decides on a cause."""
    over_s = time.monotonic() + DECISION_S
    entryhelper.wait_until(
        lambda: time.monotonic() > over_s, "the hub has decided"
    )


@pytest.fixture
def fleet():
    """A daemon, and six engines behind proxies."""
    PrefillingHandler.may_answer = threading.Event()
    new_fleet = ProxiedFleet()
    yield new_fleet
    PrefillingHandler.may_answer.set()
    new_fleet.stop()


# review/12, LOST: a reset counted as a crash of each engine, and the part that
# the items share was quarantined for all of their retention.
@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "end"])
def test_items_run_again_after_connections_ended(fleet, is_reset):
    assert fleet.submit("job", ENGINES, prompt=PROMPT).status == 202
    fleet.wait_for_arrivals(ENGINES)
    fleet.end_connections(is_reset)
    PrefillingHandler.may_answer.set()
    results = entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )
    assert {one["state"] for one in results} == {"done"}
    assert fleet.daemons[0].parts.quarantine.get(PART) is None


# The same for callers: all requests with the first part got 503 for a minute.
@pytest.mark.parametrize("is_reset", [True, False], ids=["reset", "end"])
@pytest.mark.parametrize("path", ["/notes/1", "/bills/1"])
def test_callers_are_served_after_connections_ended(fleet, is_reset, path):
    with concurrent.futures.ThreadPoolExecutor(ENGINES) as executor:
        lost = fleet.send_streams("lost", executor, path)
        fleet.wait_for_arrivals(ENGINES)
        fleet.end_connections(is_reset)
        wait_for_decision()
        PrefillingHandler.may_answer.set()
        concurrent.futures.wait(lost)
        later = fleet.send_streams("later", executor, path)
        assert [one.result().status for one in later] == [200] * ENGINES


# A report that is asked for at the wrong time would hide a crash.
@pytest.mark.parametrize("is_silent", [False, True], ids=["ends", "hangs"])
def test_engines_that_crash_with_a_part_still_count(fleet, is_silent):
    """Their proxies accept connections, and end or hold them then."""
    PrefillingHandler.may_answer.set()
    silent = []
    for engine, proxy in zip(fleet.engines, fleet.proxies, strict=True):
        engine.crash_parts = frozenset((PART,))
        if is_silent:
            engine.on_crash = _hold_answers(proxy, silent)
    with concurrent.futures.ThreadPoolExecutor(ENGINES) as executor:
        for one in fleet.send_streams("lost", executor):
            assert one.result().status in (502, 503, 504)
    quarantine = fleet.daemons[0].parts.quarantine
    entryhelper.wait_until(
        lambda: quarantine.check((PART,), time.monotonic()),
        "the part is quarantined",
    )
    for sock in silent:
        sock.close()


def _hold_answers(proxy, silent):
    """Returns a function that lets a proxy accept and never answer.

    `silent` gets the socket to which the proxy connects then.
    """

    def hold(_):
        sock = socket.create_server(("127.0.0.1", 0))
        silent.append(sock)
        proxy.to_port = sock.getsockname()[1]

    return hold


# The seed has resets and ends, items and callers.
def test_nothing_is_lost_by_connections_that_end():
    assert resets.run([4], report=lambda _: None) == []
