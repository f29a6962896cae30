"""OPERATIONS.md lists every setting and metric of the entry daemon."""

import re

from samphirepost_daemon.entry import metrics
from samphirepost_daemon.entry import settings
from tests import test_docs


def test_operations_page_has_every_setting_with_its_default():
    documented = dict(
        test_docs.SETTING.findall(test_docs.page("OPERATIONS.md"))
    )
    expected = dict(test_docs.code_settings(settings.EntrySettings))
    assert {name: documented.get(name) for name in expected} == expected


def test_operations_page_has_every_metric():
    text = test_docs.page("OPERATIONS.md")
    documented = set(re.findall(r"`(samphirepost_[a-z_]+)`", text))
    entry_metrics = metrics.Metrics()
    defined = {
        metric._name
        for metric in vars(entry_metrics).values()
        if hasattr(metric, "_name")
    }
    assert documented == defined
