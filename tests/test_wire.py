"""Tests the platform's HTTP formats."""

import json

import pytest

from samphirepost import batchjob
from samphirepost import codec
from samphirepost import errors
from samphirepost import itemwindow
from samphirepost import promptcache
from samphirepost import quotas
from samphirepost import slotmessages
from samphirepost_daemon.entry import itemdemand
from samphirepost_daemon.entry import slots
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


def test_a_report_with_the_prompts_of_many_items_fits_a_datagram():
    """One that does not is lost, and its daemon with all runs at the hub."""
    parts = ",".join(f"{number:064x}:1000" for number in range(65))
    item = item_with({"Prompt-Prefix": parts, "Token-Count": "65000,10"})
    prompt = wire.prompt_of(item)
    assert sum(part.tokens for part in prompt) == 65_000
    wanted = tuple(
        slotmessages.WantedSlot(
            run_id,
            "p" * 200,
            False,
            1.0,
            "",
            None,
            "o" * 100,
            prompt,
            10,
            avoided=("e" * 40,) * itemdemand.AVOIDED_MAX,
        )
        for run_id in range(itemwindow.WANTED_MAX)
    )
    sent = {f"{number:0100d}": 1 for number in range(quotas.SENT_MAX)}
    report = slotmessages.Report("vm", 1, wanted=wanted, sent=sent)
    assert len(codec.pack(report)) < slots.DATAGRAM_BYTES_MAX / 2


def test_equal_prompts_are_equal_in_messages():
    """The hub tells by them which engine holds a part."""
    value = "a" * 64 + ":1,b:2,c:3"
    first, second = (
        wire.prompt_of(item_with({"Prompt-Prefix": value})) for _ in range(2)
    )
    assert first == second
    assert [part.tokens for part in first] == [1, 2, 3]
    assert [part.id for part in first][1:] == ["b", "c"]


# review/8, LOST: the sum of a prompt's tokens did not fit into a report, so
# that its daemon ended no run any more.
@pytest.mark.parametrize(
    "headers",
    [
        {"Prompt-Prefix": ",".join(f"{n}:{'9' * 18}" for n in range(19))},
        {"Prompt-Prefix": f"a:{'9' * 18}", "Token-Count": f"1,{'9' * 18}"},
        {"Prompt-Prefix": "a:1", "Token-Count": f"1,{'9' * 18}"},
    ],
)
def test_tokens_of_a_request_have_a_range(headers):
    """A report adds them up, and bears whole numbers of 64 bits."""
    item = item_with(headers)
    prompt, output = wire.prompt_of(item), wire.output_tokens_of(item)
    tokens = promptcache.tokens_held(prompt, output)
    assert tokens <= 2 * 10**9
    run = slotmessages.Run(1, "e1", tokens=tokens)
    report = slotmessages.Report("vm", 1, runs=(run,) * 1000)
    assert codec.unpack(codec.pack(report), slotmessages.Report) == report
    total = sum(one.tokens for one in report.runs)
    assert total < 2**63


@pytest.mark.parametrize("tokens", [-1, 10**9 + 1, 2**64])
def test_tokens_of_an_item_have_a_range(tokens):
    """The row of a job has their sum; one below 0 would hide others."""
    job = {"requests": [{"id": "i", "path": "/", "tokens": tokens}]}
    req = wire.Request("j", "POST", "/", "h", (), json.dumps(job).encode())
    found = wire.parse_submission(req, "h", None)
    assert isinstance(found, errors.Failure)
    assert found.kind is errors.Kind.BAD_JSON
