"""Checks a completion stream: events of one request, in order, complete."""

import msgspec

from samphirepost import errors
from samphirepost import targetmessages

_event_decoder = msgspec.json.Decoder(targetmessages.StreamEvent)
DONE_DATA = b"[DONE]"
DATA_PREFIX = b"data: "


class StreamChecker:
    """Checks a stream event by event; counts accepted tokens in `emitted`."""

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
        """Checks one event's data; returns its text, or a Failure.

        The text of a repeated event is empty. An event of another request, or
        one after a gap, is a Failure.
        """
        if data == DONE_DATA:
            return self._accept_done()
        try:
            event = _event_decoder.decode(data)
        except msgspec.DecodeError as exc:
            return _broken(f"an event is not readable: {exc}")
        if event.id != self.work:
            reason = f"an event of another request arrived: {event.id}"
            return errors.Failure(
                errors.Kind.STREAM_CROSSED, reason, errors.Outcome.UNKNOWN
            )
        choice = event.choices[0]
        if choice.finish_reason is not None:
            return self._accept_finish(event, choice)
        if event.position < self.emitted:
            return ""
        if event.position > self.emitted:
            return _broken(f"token {self.emitted} is missing")
        self.emitted += 1
        self.texts.append(choice.text)
        return choice.text

    def _accept_finish(self, event, choice):
        if event.position != self.emitted:
            return _broken(f"token {self.emitted} is missing at the end")
        self.finish_reason = choice.finish_reason
        return ""

    def _accept_done(self):
        if self.finish_reason is None:
            return _broken("the stream ended without a finish reason")
        self.finished = True
        return ""


def split_events(buffer):
    """Returns the data of the complete events in a buffer, and the rest."""
    events = buffer.split(b"\n\n")
    rest = events.pop()
    return [
        event[len(DATA_PREFIX) :]
        for event in events
        if event.startswith(DATA_PREFIX)
    ], rest


def _broken(reason):
    return errors.Failure(
        errors.Kind.STREAM_BROKEN, reason, errors.Outcome.UNKNOWN
    )
