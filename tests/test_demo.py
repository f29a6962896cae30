"""Tests the demo's check that another daemon can return an answer."""

from samphirepost_bench import demo


class Http:
    """HTTP client stub that returns the given replies, then the last."""

    def __init__(self, *replies):
        self.replies = list(replies)

    def json(self, method, url, token):
        """Returns the next reply."""
        if len(self.replies) > 1:
            return self.replies.pop(0)
        return self.replies[0]


class Daemon:
    """Stub of a live daemon."""

    alive = True

    def url(self, kind):
        """Returns a fixed address."""
        return "http://127.0.0.1:1"


class Fleet:
    """Stub of a fleet with one daemon."""

    def __init__(self, *replies):
        self.http = Http(*replies)
        self.daemons = [Daemon()]


MISSING = (404, {"detail": "no such work"})
FOUND = (200, {"choices": [{"text": "lily"}]})


def answer(stored):
    """Returns an answer as the demo recorded it from a stream."""
    recorded = demo.Answer("request-1")
    recorded.text = "lily"
    recorded.stored = stored
    return recorded


def no_pause(_):
    """Returns at once, in place of the pause between two reads."""


def test_an_answer_that_was_not_stored_yet_may_take_its_time():
    """An answer not reported as stored is read again until it is found.

    It stays in memory until its partition has an owner again, so a first
    404 is no loss and must not fail the demo.
    """
    fleet = Fleet(MISSING, MISSING, FOUND)
    assert demo.is_readable(fleet, answer(False), no_pause)


def test_a_stored_answer_is_read_at_once():
    """An answer reported as stored fails the check at the first 404.

    The daemon had reported it as durable, so retries would hide a loss.
    """
    fleet = Fleet(MISSING, FOUND)
    assert not demo.is_readable(fleet, answer(True), no_pause)


def test_an_answer_that_never_comes_is_lost():
    """Guards against a demo that reads a lost answer without end.

    The reads of an answer not reported as stored are bounded.
    """
    assert not demo.is_readable(Fleet(MISSING), answer(False), no_pause)
