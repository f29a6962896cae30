"""Structured log of the entry daemon: JSON lines on standard output.

Logging never blocks the calling thread: lines go through a queue of limited
length to a writer thread. A line that finds the queue full is dropped and
counted; the count is logged once the writer catches up. Failures have a queue
of their own, so that other lines cannot crowd them out.
"""

import collections
import datetime
import os
import threading
import time

import msgspec

# Limit of each queue: about 0.3 MB, with about 300 bytes a line.
LINES_MAX = 1000
# Lines accepted per second and level: three for each request of a daemon
# that serves four times its share of today's peak.
LINES_PER_S = 200
FLUSH_INTERVAL_S = 0.05


class Log:
    """Writes log lines; `dropped` counts dropped lines not yet reported.

    Its methods may be called from any thread.
    """

    def __init__(self, vm, file_no=1):
        self._vm = vm
        self._file_no = file_no
        self._lines = collections.deque()
        self._failures = collections.deque()
        self.dropped = 0
        self._second = 0
        self._counts = {}
        self._wake = threading.Event()
        self._closed = False
        self._thread = threading.Thread(target=self._run, daemon=True)

    def start(self):
        """Starts the writer thread."""
        self._thread.start()

    def event(self, name, **fields):
        """Logs a decision or a change of state."""
        self._add(self._lines, "info", name, fields)

    def failure(self, name, **fields):
        """Logs a failure; not affected by how many events are logged."""
        self._add(self._failures, "error", name, fields)

    def close(self):
        """Writes the queued lines; returns after 0.5 s at the latest."""
        self._closed = True
        self._wake.set()
        self._thread.join(0.5)

    def _add(self, queue, level, name, fields):
        if len(queue) >= LINES_MAX or not self._admit(level):
            self.dropped += 1
            return
        timestamp = datetime.datetime.now(datetime.UTC).isoformat(
            "T", "milliseconds"
        )
        queue.append(
            {"at": timestamp, "level": level, "vm": self._vm, "event": name}
            | fields
        )
        self._wake.set()

    def _admit(self, level):
        second = int(time.monotonic())
        if second != self._second:
            self._second = second
            self._counts = {}
        count = self._counts.get(level, 0)
        self._counts[level] = count + 1
        return count < LINES_PER_S

    def _run(self):
        while True:
            self._wake.wait()
            self._wake.clear()
            self._drain()
            if self._closed:
                return
            threading.Event().wait(FLUSH_INTERVAL_S)

    def _drain(self):
        for queue in (self._failures, self._lines):
            while queue:
                batch = []
                while queue and len(batch) < 50:
                    batch.append(msgspec.json.encode(queue.popleft()))
                self._write(b"\n".join(batch) + b"\n")
        if self.dropped:
            dropped, self.dropped = self.dropped, 0
            line = {"level": "error", "vm": self._vm, "event": "log.dropped"}
            self._write(msgspec.json.encode(line | {"lines": dropped}) + b"\n")

    def _write(self, data):
        while data:
            try:
                data = data[os.write(self._file_no, data) :]
            except OSError:
                # The reader closed standard output; there is nowhere to
                # report this.
                return
