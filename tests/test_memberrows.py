"""Tests that the row of a daemon is gone from the members once it leaves."""

import threading

import pytest

from samphirepost_bench import memorystore
from samphirepost_daemon.entry import log
from samphirepost_daemon.entry import members
from samphirepost_daemon.entry import store
from tests import entryhelper

KEY = store.Key(members.MEMBERS_TABLE, "", "10.0.0.1:7720")


class SlowStore(memorystore.MemoryStore):
    """A store whose first commit waits until it may go on."""

    def __init__(self):
        super().__init__()
        self.has_first = threading.Event()
        self.may_go_on = threading.Event()

    def commit(self, transaction):
        """Commits; see MemoryStore."""
        if not self.has_first.is_set():
            self.has_first.set()
            assert self.may_go_on.wait(entryhelper.WAIT_S)
        return super().commit(transaction)


@pytest.fixture
def rows():
    """An empty store with a slow first commit."""
    return SlowStore()


def make_writer(rows):
    """Returns the writer of a daemon's row."""
    return members.MembershipWriter(
        rows, "vm-0", "10.0.0.1", 7720, log.Log("vm-0")
    )


@pytest.fixture
def writer(rows):
    """The writer of a daemon's row, whose first commit is under way."""
    new_writer = make_writer(rows)
    new_writer.start()
    assert rows.has_first.wait(entryhelper.WAIT_S)
    return new_writer


def leave(writer):
    """Has a daemon leave; returns the thread that does so."""
    thread = threading.Thread(target=writer.leave)
    thread.start()
    return thread


# soak --organisations --seed 9443: a daemon that was stopped just after its
# start was taken for the hub again while it stopped, and quotas began anew.
def test_a_row_that_is_being_written_is_removed(rows, writer):
    """The removal comes after the write, however long that takes."""
    thread = leave(writer)
    # Without an order of the two, the removal is done by now.
    thread.join(0.2)
    rows.may_go_on.set()
    thread.join(entryhelper.WAIT_S)
    writer.join(entryhelper.WAIT_S)
    assert KEY not in rows.rows


def test_a_row_is_not_written_after_the_daemon_has_left(rows, writer):
    """A write that failed is not tried again then."""
    rows.faults.append(memorystore.REJECT)
    thread = leave(writer)
    rows.may_go_on.set()
    thread.join(entryhelper.WAIT_S)
    writer.join(entryhelper.WAIT_S)
    assert KEY not in rows.rows


def test_a_daemon_that_has_left_does_not_begin_to_write():
    """Its thread may start late."""
    rows = memorystore.MemoryStore()
    writer = make_writer(rows)
    writer.leave()
    writer.start()
    writer.join(entryhelper.WAIT_S)
    assert KEY not in rows.rows


def test_a_daemon_is_a_member_until_it_leaves(rows, writer):
    """Its row names its VM."""
    rows.may_go_on.set()
    writer.join(entryhelper.WAIT_S)
    assert rows.rows[KEY][0] == b"vm-0"
    writer.leave()
    assert KEY not in rows.rows
