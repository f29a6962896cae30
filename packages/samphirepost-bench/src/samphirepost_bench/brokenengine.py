"""A process of an engine that breaks answers off, answers twice or dies.

Each answer is written after a Plan of answerfaults.py. What follows the last
event that a request names is its events from there on; after the last one that
is an answer without events.
"""

import collections
import json
import os
import pathlib
import random
import signal
import socket
import sys
import threading
import time

import msgspec

from samphirepost_bench import answerfaults
from samphirepost_bench import entryfleet
from samphirepost_bench import itemfaults
from samphirepost_bench import streamengine

ITEMS_PREFIX = "/evening/"
# Time for which a program that starts again is listed before it serves (s).
LISTED_S = 0.8


class Settings(msgspec.Struct, frozen=True):
    """What a process of an engine is started with.

    It appends a line to the file `journal` for each answer that it ended.
    With `is_swift` it does not end where a plan kills it: its program starts
    again with the next of `versions`, and connections wait until it has been
    listed for LISTED_S. Then `listener` is the open socket's descriptor, -1 at
    the first start.
    """

    name: str
    port: int
    born: int
    version: str
    seed: int
    mix: answerfaults.Mix
    journal: str
    events: int
    event_interval_s: float
    slots: int
    is_swift: bool = False
    versions: tuple[str, ...] = ()
    listener: int = -1

    @property
    def later(self):
        """The settings of the next start under its id and address."""
        index = self.versions.index(self.version) + 1
        return msgspec.structs.replace(
            self,
            born=self.born + 1,
            version=self.versions[index % len(self.versions)],
        )


class Answer(msgspec.Struct, frozen=True):
    """A line of the journal: how an engine ended an answer.

    With a `fault`, that was written in place of the plan.
    """

    request: str
    engine: str
    born: int
    start: int
    end: int
    ends_plainly: bool
    plan: answerfaults.Plan
    fault: itemfaults.Fault | None = None


class Engine(streamengine.Engine):
    """The engine of this process."""

    def __init__(self, settings):
        super().__init__(
            settings.name,
            settings.events,
            settings.event_interval_s,
            settings.version,
            settings.slots,
            settings.port if settings.listener < 0 else 0,
        )
        if settings.listener >= 0:
            self.socket.close()
            self.socket = socket.socket(fileno=settings.listener)
            self.server_address = self.socket.getsockname()
        self.RequestHandlerClass = Handler
        self.born = settings.born
        self._settings = settings
        self._lock = threading.Lock()
        self._counts = collections.Counter()
        self._journal = open(settings.journal, "ab", buffering=0)

    def next_plan(self, arrival):
        """Returns the Plan of the answer to an arrival, and its Fault.

        The second is None unless it replaces the first.
        """
        with self._lock:
            self._counts[arrival.id] += 1
            count = self._counts[arrival.id]
        one = self._settings
        rng = random.Random(
            f"{one.seed} {one.name} {one.born} {arrival.id} {count}"
        )
        is_item = arrival.path.startswith(ITEMS_PREFIX)
        plan = answerfaults.draw(
            rng, one.mix, is_item, max(0, one.events - arrival.resume_after)
        )
        if not is_item:
            return plan, None
        written = read_journal(pathlib.Path(one.journal))[arrival.id]
        fault = itemfaults.draw_stumble(one.seed, arrival.id, len(written))
        return plan, fault or itemfaults.draw(rng)

    def record_answer(self, arrival, plan, script):
        """Appends an answer to the journal."""
        self._record(
            arrival, plan, script.events, ends_plainly=script.ends_plainly
        )

    def record_fault(self, arrival, plan, fault):
        """Appends an answer that a Fault replaces to the journal."""
        self._record(arrival, plan, 0, fault=fault)

    def _record(self, arrival, plan, events, ends_plainly=False, fault=None):
        answer = Answer(
            arrival.id,
            self.name,
            self.born,
            arrival.resume_after,
            arrival.resume_after + events,
            ends_plainly,
            plan,
            fault,
        )
        self._journal.write(msgspec.json.encode(answer) + b"\n")

    def die(self):
        """Ends the program; the system closes its connections."""
        if not self._settings.is_swift:
            os.kill(os.getpid(), signal.SIGKILL)
        listener = self.socket.fileno()
        os.set_inheritable(listener, True)
        later = msgspec.structs.replace(
            self._settings.later, listener=listener
        )
        # Requests that arrive before it serves again wait in the socket.
        os.execv(sys.executable, argv(later))


class Handler(streamengine.Handler):
    """Writes each answer after its Plan."""

    def send_stream(self, arrival, _fault):
        """Answers one request."""
        engine = self.server
        plan, fault = engine.next_plan(arrival)
        if fault is not None:
            self._replace_answer(arrival, plan, fault)
            return
        numbers = range(arrival.resume_after + 1, engine.events + 1)
        script = answerfaults.compose(
            plan,
            (
                "HTTP/1.1 200 OK",
                f"Request-Id: {arrival.id}",
                f"Response-Seal: seal-{engine.name}",
                "Content-Type: text/event-stream",
            ),
            [self._event(arrival, number) for number in numbers],
        )
        self.close_connection = True
        pause = threading.Event()
        for piece in script.pieces:
            self.wfile.write(piece)
            pause.wait(engine.event_interval_s)
        if plan.place is answerfaults.Place.BEFORE_EVENTS:
            pause.wait(engine.event_interval_s * engine.events)
        engine.record_answer(arrival, plan, script)
        if plan.is_killed:
            engine.die()
        if script.extra:
            pause.wait(plan.late_s)
            self.wfile.write(script.extra)

    def _replace_answer(self, arrival, plan, fault):
        """Writes a Fault until it ends or the reader leaves.

        It is recorded first: what a reader has, the journal has too.
        """
        self.server.record_fault(arrival, plan, fault)
        self.send_fault(arrival, fault)

    def _event(self, arrival, number):
        data = answerfaults.event_data(arrival.id, number, self.server.version)
        return f"id: {number}\ndata: {data}\n\n".encode()


def read_journal(path):
    """Returns the Answers in a journal by request."""
    found = collections.defaultdict(list)
    for line in path.read_bytes().splitlines():
        answer = msgspec.json.decode(line, type=Answer)
        found[answer.request].append(answer)
    return found


def argv(settings):
    """Returns the command that starts the process of an engine."""
    data = json.dumps(msgspec.to_builtins(settings))
    return [sys.executable, "-m", __spec__.name, data]


def run(settings):
    """Serves until the process is killed; prints the engine's entry first."""
    engine = Engine(settings)
    print(json.dumps(engine.entry(entryfleet.POOL)), flush=True)
    if settings.listener >= 0:
        time.sleep(LISTED_S)
    engine.serve_forever()


if __name__ == "__main__":
    run(msgspec.json.decode(sys.argv[1], type=Settings))
