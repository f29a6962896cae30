"""Tests the platform's HTTP formats."""

import pytest

from samphirepost import batchjob
from samphirepost_daemon.platform import wire


def item_with(headers):
    """Returns a batch item with these headers."""
    return batchjob.Item("i1", "/evening/1", headers, b"body", 10)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        ("5c1e07a2:800,91bd3f06:410,e4402b7d:250", ("5c1e07a2", "91bd3f06")),
        (" 5C1E07A2:800 , e4402b7d:250", ("5c1e07a2",)),
        ("e4402b7d:250", ()),
        ("", ()),
        (",,", ()),
    ],
)
def test_the_last_part_of_a_prompt_is_not_shared(value, expected):
    """It belongs to one request; the parts before it are shared."""
    assert wire.shared_parts(item_with({"prompt-prefix": value})) == expected


def test_an_item_without_a_prompt_has_no_shared_parts():
    """The header is optional."""
    assert wire.shared_parts(item_with({"Model": "m"})) == ()
    record = batchjob.Record("j", "h", "r", "/evening/", ())
    assert wire.item_request(record, item_with({})).shared_parts == ()


def test_the_shared_parts_of_a_long_prompt_are_bounded():
    """They are kept, logged and sent to other daemons."""
    value = ",".join(f"{number:x}:1" for number in range(1000))
    found = wire.shared_parts(item_with({"Prompt-Prefix": value}))
    assert len(found) == wire.SHARED_PARTS_MAX
    value = "a" * 65 + ":1,b:1,c:1"
    found = wire.shared_parts(item_with({"Prompt-Prefix": value}))
    assert found == ("b",)
