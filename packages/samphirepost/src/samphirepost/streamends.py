"""What is asked about the end of a stream whose answers have no length.

The engine that answered is asked for what follows the last event, then for the
last events again; see `endings`. Used for streams that may be resumed.
"""

import msgspec

from samphirepost import endings

# Questions about one stream to one engine; each costs the caller a wait.
QUESTIONS_MAX = 8
# Answers that have to agree on the end of a stream of one or two events, of
# which there are not as many ways to ask as endings.WITNESSES_MIN.
REPEATS_MAX = 3
# Events that are asked for again: few, as the caller waits.
OVERLAPS = (2, 4, 1, 3)


class Question(msgspec.Struct, frozen=True):
    """Asks for the stream's events after the one with the id `after_id`.

    `resume_after` is the same, or None to ask for the stream as at first.
    `repeats` tells whether the stream has events after that one: they show
    the end only, as two runs need not put out the same.
    """

    after_id: int
    resume_after: int | None
    repeats: bool


class StreamEnd:
    """What the answers to one online request showed of its stream's end.

    Not safe for use by several threads.
    """

    __slots__ = ("_asked", "_before_id", "_evidence")

    def __init__(self):
        self._evidence = endings.EndEvidence(REPEATS_MAX, OVERLAPS)
        # The id before that of the first event; None if it is not known, as
        # in a stream that a caller has taken up.
        self._before_id = None
        self._asked = {}

    def begin(self, before_id):
        """Records the id before that of the stream's first event."""
        self._before_id = before_id

    def record_end(self, engine_id, after_id, last_id):
        """Records an answer that ended with its connection.

        It was asked for after the event `after_id`; `last_id` is its last
        event, the same if it had none.
        """
        first = self._before_id or 0
        self._evidence.record_end(engine_id, after_id - first, last_id - first)

    def refute(self):
        """Records that events follow those after which answers ended."""
        self._evidence.refute()

    @property
    def is_certain(self):
        """Whether the stream ends after the last event."""
        return self._evidence.is_certain

    def next_question(self, engine_id, last_id):
        """Returns the next Question to an engine, or None after too many.

        `last_id` is the last event that the caller has.
        """
        asked = self._asked.get(engine_id, 0)
        if asked >= QUESTIONS_MAX:
            return None
        self._asked[engine_id] = asked + 1
        first = self._before_id or 0
        start = self._evidence.next_start(engine_id, last_id - first)
        after_id = first + start
        is_whole = start == 0 and self._before_id is not None
        return Question(
            after_id, None if is_whole else after_id, after_id < last_id
        )
