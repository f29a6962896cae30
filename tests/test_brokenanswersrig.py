"""Real daemons at engines that break answers off, answer twice and die."""

import pytest

from samphirepost_bench import brokenanswers
from samphirepost_bench import entryfleet

# All answers of this seed lack a length, those of items too.
SEED = 2
KILLS = 2
DAEMONS = 2


@pytest.fixture(scope="module")
def rig_run():
    """One run of the rig."""
    programs = [entryfleet.ENTRY_PROGRAM] * DAEMONS
    (found,) = brokenanswers.run([SEED], KILLS, programs, lambda _: None)
    return found


# Users' days, MIXED: items were done whose texts were not whole.
def test_every_item_done_is_whole_and_every_job_ends(rig_run):
    lines = "\n".join(rig_run.violations)
    assert rig_run.done > 0
    assert not rig_run.has_item_violations, lines


# The same of streams that may be resumed.
def test_every_online_answer_that_can_be_told_is_whole(rig_run):
    lines = "\n".join(rig_run.violations)
    assert rig_run.answered > 0
    assert not rig_run.has_online_violations, lines
