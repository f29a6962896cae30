"""The pages under docs/ match the settings, metrics and tests."""

import pathlib
import re

import msgspec

from samphirepost import settings
from samphirepost_daemon import metrics

ROOT = pathlib.Path(__file__).parent.parent
SETTING = re.compile(r"^\| `([a-z_.]+)` \|[^|]*\| *([^|]*?) *\|", re.M)
PROOF = re.compile(r"`(tests/[a-z_]+\.py::[A-Za-z_0-9]+)")


def page(name):
    return (ROOT / "docs" / name).read_text(encoding="utf-8")


def code_settings(kind, path=""):
    """Yields the name and default of every setting in the code."""
    for field in msgspec.structs.fields(kind):
        name = path + field.name
        inner = msgspec.inspect.type_info(field.type)
        if isinstance(inner, msgspec.inspect.StructType):
            yield from code_settings(inner.cls, name + ".")
        elif field.default is msgspec.NODEFAULT:
            yield name, "required"
        else:
            yield name, str(field.default) or "empty"


def test_settings_page_has_every_setting_with_its_default():
    documented = dict(SETTING.findall(page("SETTINGS.md")))
    assert documented == dict(code_settings(settings.Daemon))


def test_metrics_page_has_every_metric():
    documented = set(
        re.findall(r"`(samphirepost_[a-z_]+)`", page("METRICS.md"))
    )
    found = {
        metric._name
        for metric in vars(metrics).values()
        if hasattr(metric, "_name")
    }
    assert documented == found


def test_every_proof_names_a_test_that_exists():
    proofs = PROOF.findall(page("PROOFS.md"))
    assert proofs
    for proof in proofs:
        path, name = proof.split("::")
        text = (ROOT / path).read_text(encoding="utf-8")
        definition = rf"(def {name}\(|^class {name}:|^{name} = )"
        assert re.search(definition, text, re.M), proof
