"""Faults inside the entry daemon, and rows that cannot be read."""

import shutil
import subprocess
import sys
import threading

import msgspec
import pytest

from samphirepost import batchjob
from samphirepost import codec
from samphirepost import errors
from samphirepost import loadshare
from samphirepost_bench import entryfleet
from samphirepost_bench import streamengine
from samphirepost_daemon.entry import jobstore
from samphirepost_daemon.entry import log
from samphirepost_daemon.entry import members
from samphirepost_daemon.entry import store
from samphirepost_daemon.entry import takeovers
from samphirepost_daemon.entry import watch
from samphirepost_daemon.platform import client
from samphirepost_daemon.platform import wire
from tests import entryhelper


@pytest.fixture
def fleet():
    """One daemon with two engines."""
    new_fleet = entryhelper.Fleet()
    yield new_fleet
    new_fleet.stop()


@pytest.fixture
def pair():
    """Two daemons with two engines."""
    new_fleet = entryhelper.Fleet(daemons=2)
    yield new_fleet
    new_fleet.stop()


def raise_once(function):
    """Returns `function`, which raises an exception at its first call."""
    calls = []

    def wrapper(*args):
        calls.append(args)
        if len(calls) == 1:
            raise KeyError("a fault")
        return function(*args)

    return wrapper


def test_a_fault_in_a_commit_does_not_leave_it_pending(fleet, monkeypatch):
    """The commit is repeated; else the job would never be written again."""
    commit = raise_once(jobstore.JobStore.commit)
    monkeypatch.setattr(jobstore.JobStore, "commit", commit)
    assert fleet.submit("j1", 3).status == 202
    entryhelper.wait_until(
        lambda: len(fleet.results("j1")["results"]) == 3, "the job is done"
    )


def test_a_fault_in_a_scan_does_not_end_the_scans(fleet, monkeypatch):
    """Else this daemon would never take a job over."""
    scanned = threading.Event()
    scan = takeovers.Takeovers.scan

    def scan_and_tell(self, after):
        scanned.set()
        return scan(self, after)

    monkeypatch.setattr(takeovers.Takeovers, "scan", raise_once(scan_and_tell))
    assert scanned.wait(entryhelper.WAIT_S)


def fail_once(monkeypatch, owner, name):
    """Makes the first call of a method fail as in an outage of the store."""
    method = getattr(owner, name)
    failed = threading.Event()

    def wrapper(*args):
        if failed.is_set():
            return method(*args)
        failed.set()
        return errors.Failure(errors.Kind.PLATFORM_OUT, "503")

    monkeypatch.setattr(owner, name, wrapper)


@pytest.mark.parametrize("call", ["read_record", "take_over"])
def test_a_takeover_that_failed_in_an_outage_is_tried_again(
    pair, monkeypatch, call
):
    """Else the jobs of a lost daemon are never run, though the store is back.

    The failed attempt left a revision behind that no row has.
    """
    for engine in pair.engines:
        engine.faults.extend([streamengine.Fault.SILENT] * 3)
    assert pair.submit("j1", 3).status == 202
    entryhelper.wait_until(lambda: pair.ran("j1-0"), "an item runs")
    fail_once(monkeypatch, jobstore.JobStore, call)
    pair.daemons[0].actor.stop()
    entryhelper.wait_until(
        lambda: pair.complete_results("j1", daemon=1),
        "the other daemon completes the job",
    )


def test_a_job_lost_to_a_daemon_that_fails_at_once_is_taken_back(fleet):
    """Else nobody runs it, if this daemon is the only one left.

    The new holder, whose write came late, never writes again.
    """
    for engine in fleet.engines:
        engine.faults.extend([streamengine.Fault.SILENT] * 3)
    assert fleet.submit("j1", 3).status == 202
    entryhelper.wait_until(lambda: fleet.ran("j1-0"), "an item runs")
    rows = fleet.store.store
    key = store.Key("open", entryfleet.HOSTNAME, "j1")
    progress = codec.unpack(rows.rows[key][0], batchjob.Progress)
    lost = msgspec.structs.replace(progress, holder="vm-gone")
    rows.commit(store.Transaction({}, {key: codec.pack(lost)}))
    entryhelper.wait_until(
        lambda: fleet.complete_results("j1"), "the job is done"
    )


def test_a_fault_in_a_takeover_does_not_leave_it_pending(pair, monkeypatch):
    """Else this daemon would never try again to take the job over."""
    for engine in pair.engines:
        engine.faults.extend([streamengine.Fault.SILENT] * 3)
    assert pair.submit("j1", 3).status == 202
    entryhelper.wait_until(lambda: pair.ran("j1-0"), "an item runs")
    take_over = raise_once(jobstore.JobStore.take_over)
    monkeypatch.setattr(jobstore.JobStore, "take_over", take_over)
    pair.daemons[0].actor.stop()
    entryhelper.wait_until(
        lambda: pair.complete_results("j1", daemon=1),
        "the other daemon completes the job",
    )


def test_a_member_row_that_cannot_be_read_is_skipped():
    """The other members are still known."""
    selector = loadshare.HubSelector()
    sink = members.MembersSink(selector, log.Log("vm"))
    rows = [
        store.Row(store.Key("members", "", key), value, 1)
        for key, value in (
            ("10.0.0.1:7000", b"vm1"),
            ("no address", b"vm2"),
            ("10.0.0.3:7000", b"\xff"),
        )
    ]
    sink.replace(rows, 0)
    assert selector.members == {"vm1": ("10.0.0.1", 7000)}
    sink.apply_changes(rows, 0)
    assert selector.members == {"vm1": ("10.0.0.1", 7000)}


def test_a_value_that_is_no_base64_does_not_hide_other_rows():
    """It reads as an empty value, which its reader reports."""
    row = client._RowEntry("t", "", "k", "\u00e9", 1)
    assert client._decode_row(row).value == b""


def test_a_fault_in_a_sink_does_not_end_its_watch():
    """The table is read again as a whole."""
    reads = []
    third_read = threading.Event()

    class Store:
        """A store with one row."""

        def read_rows(self, table, part, start="", end=""):
            """Returns the row."""
            reads.append("rows")
            if len(reads) >= 3:
                third_read.set()
                raise SystemExit
            row = store.Row(store.Key(table, "", "k"), b"", 1)
            return store.Page((row,), 1, 0, False)

    class Sink:
        """A sink that fails."""

        def replace(self, rows):
            """Raises an exception."""
            raise KeyError("a fault")

    watcher = watch.TableWatcher(Store(), "t", Sink(), log.Log("vm"))
    watcher.start()
    assert third_read.wait(entryhelper.WAIT_S)


def test_an_end_without_an_answer_stays_unknown():
    """The next try is refused, but the first may still take effect."""
    answers = [
        errors.Failure(
            errors.Kind.PLATFORM_UNCERTAIN, "lost", errors.Outcome.UNKNOWN
        ),
        errors.Failure(errors.Kind.PLATFORM_OUT, "refused"),
    ]

    class Store:
        """A store that loses an answer, then refuses."""

        def read_rows(self, table, part, start="", end=""):
            """Returns the open row."""
            row = store.Row(store.Key(table, part, start), b"", 1)
            return store.Page((row,), 1, 0, False)

        def commit(self, transaction):
            """Returns the next answer."""
            return answers.pop(0) if len(answers) > 1 else answers[0]

    found = jobstore.JobStore(Store(), "vm", 1000).close_job("h", "j")
    assert found.outcome is errors.Outcome.UNKNOWN


def test_a_digit_that_is_no_number_is_a_bad_request(fleet):
    """str.isdigit() takes superscripts, which int() refuses."""
    environ = {"QUERY_STRING": "after=\u00b2", "HTTP_WAIT_MS": "\u00b2"}
    assert wire.parse_result_position(environ) == 0
    assert wire.parse_wait_s(environ) == 0.0
    found = fleet.send_online("r1", **{"Last-Event-Id": "\u00b2"})
    assert found.status == 400


def test_the_log_counts_the_run_that_answered(fleet):
    """A request that one engine ran must not look as if none had."""
    lines = []
    daemon = fleet.daemons[0]
    daemon.log.event = lambda name, **fields: lines.append((name, fields))
    assert fleet.send_online("r1").status == 200
    entryhelper.wait_until(
        lambda: [f for n, f in lines if n == "request.ended"],
        "the request is logged",
    )
    ended = [fields for name, fields in lines if name == "request.ended"]
    assert ended[0]["runs"] == 1


def test_a_sighup_during_the_start_does_not_end_the_daemon(tmp_path):
    """Found by the soak: the process was gone without a log line.

    The import of the daemon, which takes long, gets the signal here.
    """
    package = tmp_path / "packages/samphirepost-daemon/src"
    package = package / "samphirepost_daemon/entry"
    package.mkdir(parents=True)
    (package.parent / "__init__.py").touch()
    (package / "__init__.py").touch()
    (package / "core.py").write_text(
        "import os, signal\n"
        "os.kill(os.getpid(), signal.SIGHUP)\n"
        "main = print\n"
    )
    (tmp_path / "deploy").mkdir()
    program = shutil.copy(
        entryfleet.ENTRY_PROGRAM, tmp_path / "deploy/entry.py"
    )
    result = subprocess.run(
        [sys.executable, "-I", program, "settings.json"],
        capture_output=True,
        check=False,
    )
    assert (result.returncode, result.stdout) == (0, b"settings.json\n")


def test_a_read_that_the_store_answers_too_late_can_be_repeated(
    fleet, monkeypatch
):
    """A reader gets 503 and asks again; nothing of the job is lost."""
    fleet.submit("job", 2)
    entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is complete"
    )
    rows = fleet.store.store
    read_rows = rows.read_rows
    slow = threading.Event()

    def read_late(*args, **fields):
        if not slow.is_set():
            slow.set()
            threading.Event().wait(2 * client.READ_TIMEOUT_S)
        return read_rows(*args, **fields)

    monkeypatch.setattr(rows, "read_rows", read_late)
    reply = fleet.call("GET", "/lots/job?after=0")
    assert slow.is_set()
    assert reply.status == 503
    assert b"timed out" in reply.body
    assert len(fleet.results("job")["results"]) == 2
