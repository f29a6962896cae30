"""Tests the defaults and the checks of a daemon's settings."""

import pytest

from samphirepost import errors
from samphirepost import settings

GOOD = """
// One daemon.
{
  "id": "vm-1", "zone": "krakow-a",
  "platform": {"table_url": "t", "object_url": "o", "vms_url": "v"},
  %s
}
"""


def read(tmp_path, more):
    path = tmp_path / "vm.json"
    path.write_text(GOOD % more)
    return settings.read(str(path))


def test_good_settings_take_defaults(tmp_path):
    found = read(tmp_path, '"heartbeat_ms": 250')
    assert found.heartbeat_ms == 250
    assert found.ledger.partitions == settings.Ledger().partitions


@pytest.mark.parametrize(
    ("more", "expected"),
    [
        ('"colour": 1', "colour"),
        ('"listen": {"online_port": "x"}', "$.listen.online_port"),
        ('"ledger": {"partitions": 0}', "$.ledger.partitions"),
        ('"ledger": {"lease_ms": 500}', "$.ledger.lease_ms"),
        ("{", "vm.json"),
    ],
)
def test_bad_settings_are_reported_with_file_path_and_reason(
    tmp_path, more, expected
):
    found = read(tmp_path, more)
    assert found.kind is errors.Kind.BAD_SETTINGS
    assert "vm.json" in found.reason
    assert expected in found.reason
