"""Log lines never hold up a request, and failures are dropped last."""

import json
import os
import threading

import pytest

from samphirepost_daemon.entry import log as log_module
from tests import entryhelper


class Reader:
    """The far end of standard output; it reads only when it is told to."""

    def __init__(self):
        self._read_no, self.write_no = os.pipe()

    def lines(self, count):
        """Reads until there are `count` lines; returns them decoded."""
        data = b""
        while data.count(b"\n") < count:
            data += os.read(self._read_no, 65536)
        return [json.loads(line) for line in data.splitlines() if line]

    def drain(self, log):
        """Reads until the log tells what it dropped, and ends its writer."""
        found = []
        while not any(line.get("event") == "log.dropped" for line in found):
            found += self.lines(1)
        log.close()
        log._thread.join(entryhelper.WAIT_S)
        assert not log._thread.is_alive()
        return found

    def close(self):
        """Closes both ends."""
        os.close(self._read_no)
        os.close(self.write_no)


@pytest.fixture
def reader():
    """A pipe that nobody reads yet, full to the last byte."""
    made = Reader()
    os.set_blocking(made.write_no, False)
    with pytest.raises(BlockingIOError):
        while True:
            os.write(made.write_no, b"\n" * 1000)
    os.set_blocking(made.write_no, True)
    yield made
    made.close()


def test_a_reader_that_stops_reading_holds_up_nobody(reader):
    """Lines are queued up to a bound, then dropped and counted."""
    log = log_module.Log("vm", reader.write_no)
    log.start()

    def write():
        for number in range(3 * log_module.LINES_MAX):
            log.event("request.ended", request=str(number))
            log.failure("request.ended", request=str(number))

    writer = threading.Thread(target=write, daemon=True)
    writer.start()
    writer.join(entryhelper.WAIT_S)
    assert not writer.is_alive()
    assert log.dropped > 0
    reader.drain(log)


def test_failures_are_written_though_the_other_lines_are_dropped(reader):
    """Load pattern: a burst of decisions, and one request that failed."""
    log = log_module.Log("vm", reader.write_no)
    for number in range(2 * log_module.LINES_PER_S):
        log.event("request.ended", request=str(number))
    log.failure("request.ended", request="failed")
    dropped = log.dropped
    assert dropped > 0
    log.start()
    found = reader.drain(log)
    assert any(line.get("request") == "failed" for line in found)
    counts = [line["lines"] for line in found if "lines" in line]
    assert counts == [dropped]
