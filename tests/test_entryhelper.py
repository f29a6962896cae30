"""Tests that the daemons of one test do not run during the next."""

import threading

from tests import entryhelper


# In whole runs of the tests, the threads of daemons that were lost or stopped
# took two thirds of the interpreter's time in the end, and tests failed by
# chance.
def test_no_thread_of_a_fleet_outlives_it():
    """Also of daemons that were replaced, and whose store is gone."""
    before = set(threading.enumerate())
    fleet = entryhelper.Fleet(daemons=2)
    fleet.submit("job", 4)
    entryhelper.wait_until(
        lambda: fleet.complete_results("job"), "the job is done"
    )
    assert fleet.send_online("request").status == 200
    fleet.restart_all()
    fleet.stop()
    entryhelper.wait_until(
        lambda: not set(threading.enumerate()) - before, "all have ended"
    )
