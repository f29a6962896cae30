"""Tests the organisations of a configuration and their keys."""

import json
import math

import hypothesis
from hypothesis import strategies
import pytest

from samphirepost import errors
from samphirepost import organisations
from samphirepost_daemon.entry import store
from samphirepost_daemon.platform import registry


def build(*entries):
    """Returns the Directory of (name, keys) pairs, or a Failure."""
    return organisations.build(
        (organisations.Organisation(name), keys) for name, keys in entries
    )


def decode(tenants):
    """Returns the routing table of a configuration with these tenants."""
    document = {"version": 3, "routes": [], "tenants": tenants}
    key = store.Key(registry.CONFIG_TABLE, "", registry.CONFIG_KEY)
    row = store.Row(key, json.dumps(document).encode(), 1)
    return registry.decode_routing_table(row)


def test_a_key_finds_its_organisation_and_no_other():
    """A wrong match would serve one organisation in the name of another."""
    found = build(("a", ["k1", "k2"]), ("b", ["k3"]))
    for key, name in (("k1", "a"), ("k2", "a"), ("k3", "b")):
        digest = organisations.key_digest(key.encode())
        assert found.find(digest).name == name
    assert found.find(organisations.key_digest(b"k4")) is None
    assert found.find(organisations.key_digest(b"")) is None
    assert found.find("") is None


@pytest.mark.parametrize(
    "entries",
    [
        (("a", ["k1"]), ("a", ["k2"])),
        (("a", ["k1"]), ("b", ["k1"])),
        (("", ["k1"]),),
        (("a\r\nTenant: b", ["k1"]),),
        ((" a", ["k1"]),),
        (("a", [""]),),
        (("a", ["k" * (organisations.KEY_BYTES_MAX + 1)]),),
        (("a", [f"k{number}" for number in range(100_000)]),),
    ],
)
def test_inconsistent_organisations_are_refused_whole(entries):
    """A part of them in force would refuse sound keys, or mix callers up."""
    found = build(*entries)
    assert isinstance(found, errors.Failure)
    assert "k1" not in found.reason


@pytest.mark.parametrize("value", [-1.0, math.inf, math.nan])
@pytest.mark.parametrize("field", ["rate_per_s", "burst"])
def test_a_quota_that_is_no_number_from_0_on_is_refused(field, value):
    """No bucket can be filled at such a rate."""
    found = organisations.build(
        [(organisations.Organisation("a", **{field: value}), [])]
    )
    assert isinstance(found, errors.Failure)
    assert field in found.reason


@hypothesis.given(strategies.binary())
def test_any_bytes_may_come_as_a_key(key):
    """A caller sends what it likes; only a known key is accepted."""
    found = build(("a", ["k1"])).find(organisations.key_digest(key))
    assert (found is not None) == (key == b"k1")


def test_a_configuration_with_organisations_is_decoded():
    """Names on the wire are those of the platform."""
    table = decode(
        [
            {
                "name": "a",
                "apiKeys": ["k1"],
                "priority": 1,
                "ratePerS": 104,
                "burst": 10,
            },
            {"name": "b"},
        ]
    )
    assert table.directory.get("a") == organisations.Organisation(
        "a", 1, 104.0, 10.0
    )
    assert not table.directory.get("b").has_quota


def test_a_refused_configuration_names_its_version_and_no_key():
    """The reason is logged."""
    tenants = [{"name": "a", "apiKeys": ["secret-key"]}] * 2
    found = decode(tenants)
    assert isinstance(found, errors.Failure)
    assert "configuration 3" in found.reason
    assert "secret-key" not in found.reason
