"""Tests that logging does not block and that events displace no failures."""

import json
import os
import threading

import pytest

from samphirepost_daemon.entry import log as log_module
from tests import entryhelper


class Reader:
    """Reader of the log's output; it reads only when a test calls it."""

    def __init__(self):
        self._read_no, self.write_no = os.pipe()
        self._rest = b""

    def lines(self, count):
        """Reads at least `count` lines; returns those that are not empty.

        A read may end inside a line, whose rest comes with the next one.
        """
        data = self._rest
        while data.count(b"\n") < count:
            data += os.read(self._read_no, 65536)
        whole, _, self._rest = data.rpartition(b"\n")
        return [json.loads(line) for line in whole.splitlines() if line]

    def drain(self, log):
        """Reads until the log reports its drops; stops its writer thread.

        Returns all decoded lines.
        """
        lines = []
        while not any(line.get("event") == "log.dropped" for line in lines):
            lines += self.lines(1)
        log.close()
        log._thread.join(entryhelper.WAIT_S)
        assert not log._thread.is_alive()
        return lines

    def close(self):
        """Closes both ends of the pipe."""
        os.close(self._read_no)
        os.close(self.write_no)


@pytest.fixture
def reader():
    """A pipe that is full, so that a write to it blocks until it is read."""
    pipe = Reader()
    os.set_blocking(pipe.write_no, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(pipe.write_no, b"\n" * 1000)
    os.set_blocking(pipe.write_no, True)
    yield pipe
    pipe.close()


# A CI run failed when a read of the test ended inside a line.
def test_a_line_that_is_read_in_two_parts_is_whole():
    pipe = Reader()
    os.write(pipe.write_no, b'{"event":1}\n{"eve')
    assert pipe.lines(1) == [{"event": 1}]
    os.write(pipe.write_no, b'nt":2}\n')
    assert pipe.lines(1) == [{"event": 2}]
    pipe.close()


def test_a_reader_that_stops_reading_holds_up_nobody(reader):
    """A stalled reader of standard output must not block those who log.

    Lines are queued up to a limit, then dropped and counted.
    """
    log = log_module.Log("vm", reader.write_no)
    log.start()

    def write_lines():
        for number in range(3 * log_module.LINES_MAX):
            log.event("request.ended", request=str(number))
            log.failure("request.ended", request=str(number))

    writer = threading.Thread(target=write_lines, daemon=True)
    writer.start()
    writer.join(entryhelper.WAIT_S)
    assert not writer.is_alive()
    assert log.dropped > 0
    reader.drain(log)


def test_failures_are_written_though_the_other_lines_are_dropped(reader):
    """A burst of events must not displace the line of a failed request."""
    log = log_module.Log("vm", reader.write_no)
    for number in range(2 * log_module.LINES_PER_S):
        log.event("request.ended", request=str(number))
    log.failure("request.ended", request="failed")
    dropped = log.dropped
    assert dropped > 0
    log.start()
    lines = reader.drain(log)
    assert any(line.get("request") == "failed" for line in lines)
    counts = [line["lines"] for line in lines if "lines" in line]
    assert counts == [dropped]
