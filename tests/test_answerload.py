"""One run of the rig that loads daemons with answers without end."""

from samphirepost_bench import answerload

# Its draw has all four kinds at once.
SEED = 6


def test_daemons_stay_within_their_memory_under_mixed_load(tmp_path):
    """Bounds that hold for each kind of load alone may fail together."""
    report = answerload.run_seed(SEED, tmp_path)
    assert sorted(report.crowds) == ["items", "plain", "relay", "stream"]
    assert not report.violations
