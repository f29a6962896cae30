"""Structured log lines on standard output, bounded and never blocking.

Lines go through a queue of limited length to a thread that writes them; a
line that finds the queue full is dropped and counted, and the count is
logged once there is room. Lines of failures have a queue of their own.
"""

import collections
import datetime
import os
import threading
import time

import msgspec

# Lines that may wait for the writer; at some 300 bytes a line this bounds
# the memory to 0.3 MB a queue.
LINES_MAX = 1000
# Lines of each kind that one second takes: three for each request of a
# daemon that serves four times its share of today's peak.
LINES_PER_S = 200
FLUSH_S = 0.05


class Log:
    """Writes typed lines as JSON; `dropped` lines are to be told of."""

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
        """Starts the writer."""
        self._thread.start()

    def event(self, name, **fields):
        """Logs a decision or a change of state."""
        self._add(self._lines, "info", name, fields)

    def failure(self, name, **fields):
        """Logs a failure; these are dropped last."""
        self._add(self._failures, "error", name, fields)

    def close(self):
        """Writes what waits, for a short while at most."""
        self._closed = True
        self._wake.set()
        self._thread.join(0.5)

    def _add(self, queue, level, name, fields):
        if len(queue) >= LINES_MAX or not self._admit(level):
            self.dropped += 1
            return
        stamp = datetime.datetime.now(datetime.UTC).isoformat(
            "T", "milliseconds"
        )
        queue.append(
            {"at": stamp, "level": level, "vm": self._vm, "event": name}
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
            threading.Event().wait(FLUSH_S)

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
                # The reader of standard output is gone: nobody to tell.
                return
