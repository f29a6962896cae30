"""The settings file of the entry daemon is checked before it starts."""

import json

import pytest

from samphirepost import errors
from samphirepost_daemon.entry import settings

SOUND = {
    "id": "vm-1",
    "zone": "a",
    "listen": {"callers": "10.1.0.7:80", "readiness": "10.1.0.7:81"},
    "store": {"address": "10.2.0.1:82"},
    "peer_address": "10.1.0.7",
    "peer_port": 83,
}


def read(tmp_path, document):
    """Returns what is read from a file with a document."""
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(document))
    return settings.read(path)


def test_sound_settings_are_read(tmp_path):
    """With the defaults for what is not set."""
    cfg = read(tmp_path, SOUND)
    assert isinstance(cfg, settings.EntrySettings)
    assert cfg.store.address == "10.2.0.1:82"
    assert cfg.stop_s == 8.0


@pytest.mark.parametrize("address", ["", "10.2.0.1", ":82", "10.2.0.1:70000"])
def test_an_address_that_cannot_be_used_is_refused(tmp_path, address):
    """The failure names the field."""
    found = read(tmp_path, {**SOUND, "store": {"address": address}})
    assert isinstance(found, errors.Failure)
    assert found.kind is errors.Kind.BAD_SETTINGS
    assert "store.address" in found.reason


@pytest.mark.parametrize("name", ["connections", "head_s", "head_bytes"])
@pytest.mark.parametrize("number", [0, -1])
def test_a_limit_that_refuses_all_callers_is_refused(tmp_path, name, number):
    """A daemon with it would look ready and serve nobody."""
    listen = SOUND["listen"] | {name: number}
    found = read(tmp_path, {**SOUND, "listen": listen})
    assert isinstance(found, errors.Failure)
    assert f"listen.{name}" in found.reason


def test_a_field_that_is_not_known_is_refused(tmp_path):
    """It may be a misspelt one."""
    found = read(tmp_path, {**SOUND, "stop": 3})
    assert isinstance(found, errors.Failure)
