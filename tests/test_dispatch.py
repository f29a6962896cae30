"""The outcome reported for work after its attempts on targets."""

import pytest

from samphirepost import errors
from samphirepost import records
from samphirepost import tables
from samphirepost_daemon import activetables
from samphirepost_daemon import clock
from samphirepost_daemon import dispatch
from samphirepost_daemon import loadtracker
from samphirepost_daemon import online
from samphirepost_daemon import requestserver
from samphirepost_daemon import targetclient
from samphirepost_daemon import workitem
from tests import helper

UNREACHABLE = errors.Failure(errors.Kind.TARGET_UNREACHABLE, "refused")
SILENT = errors.Failure(
    errors.Kind.STREAM_SILENT, "silent", errors.Outcome.UNKNOWN
)
REFUSED = errors.Failure(errors.Kind.REFUSED_BY_TARGET, "never")
ANSWER = targetclient.ServiceResponse(200, "application/json", b"{}")


class ScriptedClient:
    """A client with scripted answers; counts the requests that were sent."""

    def __init__(self, answers):
        self.answers = list(answers)
        self.sent = 0

    def call_service(self, destination, path, body, headers, wait_s):
        answer = self.answers.pop(0)
        self.sent += answer is not UNREACHABLE
        return answer


def run_call(answers, idempotent):
    """Runs one call; returns its outcome and how often it was sent."""
    pool_targets = tuple(
        tables.Target(f"service-{n}", "http://127.0.0.1:1", "zone-1")
        for n in range(3)
    )
    row = tables.Route("billing", ("umoja",), idempotent=idempotent)
    active_tables = activetables.ActiveTables()
    active_tables.apply_if_newer(
        tables.Tables(
            1, {}, {"bill": row}, {"billing": tables.Pool(pool_targets)}
        )
    )
    real_clock = clock.Clock()
    client = ScriptedClient(answers)
    dispatcher = dispatch.Dispatcher(
        real_clock, loadtracker.LoadTracker(real_clock), client, active_tables
    )
    payload = workitem.ServicePayload(b"{}", "application/json")
    item = workitem.WorkItem("req-000-a", "umoja", "bill", row, payload, "d")
    item.deadline_s = real_clock.monotonic_s() + 60
    return online.discard_chunks(dispatcher.run(item)), client.sent


@pytest.mark.parametrize(
    ("answers", "outcome", "sent"),
    [
        ([UNREACHABLE, UNREACHABLE, ANSWER], None, 1),
        ([UNREACHABLE] * 4, errors.Outcome.NOT_RUN, 0),
        ([SILENT], errors.Outcome.UNKNOWN, 1),
        ([UNREACHABLE, SILENT], errors.Outcome.UNKNOWN, 1),
        ([REFUSED], errors.Outcome.NOT_RUN, 1),
    ],
)
def test_non_idempotent_call_is_sent_once(answers, outcome, sent):
    found, count = run_call(answers, idempotent=False)
    assert count == sent
    assert getattr(found, "outcome", None) is outcome


@pytest.mark.parametrize(
    "answers",
    [[SILENT, REFUSED], [SILENT, *[UNREACHABLE] * 3], [SILENT] * 4],
)
def test_sent_work_is_never_reported_not_run(answers):
    """The first attempt may have run; later ones on other targets did not.

    Guards against reporting only the outcome of the last attempt.
    """
    found, _ = run_call(answers, idempotent=True)
    assert found.outcome is errors.Outcome.UNKNOWN


def test_finished_work_whose_answer_cannot_be_read_is_done():
    """The object store is unavailable when a finished request is read.

    Guards against reporting that the request was not run.
    """
    objects = helper.FakeObjects()
    objects.out = True
    server = requestserver.RequestServer(
        "vm", None, None, None, objects, None, helper.Limits
    )
    found = server.read_answer(records.Reference("segments/000/x", 0))
    assert found.outcome is errors.Outcome.DONE
