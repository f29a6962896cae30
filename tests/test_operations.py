"""The on-call page says what the entry daemon does."""

import re

from samphirepost_daemon.entry import metrics
from samphirepost_daemon.entry import settings
from tests import test_docs


def test_operations_page_has_every_setting_with_its_default():
    written = dict(test_docs.SETTING.findall(test_docs.page("OPERATIONS.md")))
    expected = dict(test_docs.code_settings(settings.Entry))
    assert {name: written.get(name) for name in expected} == expected


def test_operations_page_has_every_metric():
    text = test_docs.page("OPERATIONS.md")
    written = set(re.findall(r"`(samphirepost_[a-z_]+)`", text))
    made = metrics.Metrics()
    found = {
        sample._name
        for sample in vars(made).values()
        if hasattr(sample, "_name")
    }
    assert written == found
