"""The demo asks for no more and no less than what was promised."""

from samphirepost_bench import demo


class Http:
    """Answers with what is listed, the last one again and again."""

    def __init__(self, *replies):
        self.replies = list(replies)

    def json(self, method, url, token):
        """Returns the next reply."""
        if len(self.replies) > 1:
            return self.replies.pop(0)
        return self.replies[0]


class Daemon:
    """A daemon that lives."""

    alive = True

    def url(self, kind):
        """Returns an address."""
        return "http://127.0.0.1:1"


class Fleet:
    """What the demo asks."""

    def __init__(self, *replies):
        self.http = Http(*replies)
        self.daemons = [Daemon()]


MISSING = (404, {"detail": "no such work"})
FOUND = (200, {"choices": [{"text": "lily"}]})


def answer(stored):
    """Returns a caller's answer."""
    made = demo.Answer("request-1")
    made.text = "lily"
    made.stored = stored
    return made


def no_pause(_):
    """Waits for nothing."""


def test_an_answer_that_was_not_stored_yet_may_take_its_time():
    """It was told so, and is held until its partition has an owner."""
    fleet = Fleet(MISSING, MISSING, FOUND)
    assert demo.is_readable(fleet, answer(False), no_pause)


def test_a_stored_answer_is_read_at_once():
    """It was told to be durable."""
    fleet = Fleet(MISSING, FOUND)
    assert not demo.is_readable(fleet, answer(True), no_pause)


def test_an_answer_that_never_comes_is_lost():
    """The wait is bounded."""
    assert not demo.is_readable(Fleet(MISSING), answer(False), no_pause)
