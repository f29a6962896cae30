"""Checks that a stream is one request's, in order, and whole."""

import msgspec

from samphirepost import errors
from samphirepost import target

_event = msgspec.json.Decoder(target.Event)
DONE = b"[DONE]"
PREFIX = b"data: "


class Check:
    """Follows a stream's events; `emitted` tokens have been accepted."""

    __slots__ = ("emitted", "finished", "finish_reason", "texts", "work")

    def __init__(self, work):
        self.work = work
        self.emitted = 0
        self.texts = []
        self.finished = False
        self.finish_reason = None

    @property
    def text(self):
        """The text accepted so far."""
        return "".join(self.texts)

    def accept(self, data):
        """Takes one event's data; returns its text, or a Failure.

        A repeated event gives no text. An event of another request, or one
        after a gap, fails the stream.
        """
        if data == DONE:
            return self._end()
        try:
            event = _event.decode(data)
        except msgspec.DecodeError as exc:
            return _broken(f"an event is not readable: {exc}")
        if event.id != self.work:
            reason = f"an event of another request arrived: {event.id}"
            return errors.Failure(
                errors.Kind.STREAM_CROSSED, reason, errors.Outcome.UNKNOWN
            )
        choice = event.choices[0]
        if choice.finish_reason is not None:
            return self._finish(event, choice)
        if event.position < self.emitted:
            return ""
        if event.position > self.emitted:
            return _broken(f"token {self.emitted} is missing")
        self.emitted += 1
        self.texts.append(choice.text)
        return choice.text

    def _finish(self, event, choice):
        if event.position != self.emitted:
            return _broken(f"token {self.emitted} is missing at the end")
        self.finish_reason = choice.finish_reason
        return ""

    def _end(self):
        if self.finish_reason is None:
            return _broken("the stream ended without a finish reason")
        self.finished = True
        return ""


def split(buffer):
    """Returns the whole events' data in a buffer, and the rest of it."""
    events = buffer.split(b"\n\n")
    rest = events.pop()
    return [e[len(PREFIX) :] for e in events if e.startswith(PREFIX)], rest


def _broken(reason):
    return errors.Failure(
        errors.Kind.STREAM_BROKEN, reason, errors.Outcome.UNKNOWN
    )
