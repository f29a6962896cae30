"""Keeps what crashes engines away from engines.

Each engine that begins to answer a certain request, or a prompt with a certain
part, may crash. Such a cause is named by a text: the id of the part, or the
key of the request. Requests with a quarantined cause are refused; once the
quarantine is over, single requests probe it. crashes.py has what a daemon sees
of crashes, judge.py how the hub finds causes. All instants are monotonic
seconds of the daemon that holds them.
"""

import msgspec

# The ids of parts have no colon.
REQUEST_PREFIX = "request:"
ITEM_PREFIX = "item:"
# The first quarantine of a cause, and the second one, which is twice as long.
# A probe crashed an engine after each of them if a third one follows, and that
# lasts until an operator ends it: three probes are the most that a cause gets.
QUARANTINE_S = 60.0
PROBES_MAX = 2
QUARANTINE_MAX_S = 30 * 86_400.0
# Interval between probes of a cause whose quarantine is over (s).
PROBE_INTERVAL_S = 5.0
# A suspected cause that was never quarantined is forgotten after this time
# (s), a quarantined one once its quarantine has been over for the longer time.
SUSPECT_FORGET_S = 3600.0
FORGET_S = 30 * 86_400.0
# What the hub announced holds for this long (s) after the last announcement,
# until it is read from the store.
ANNOUNCED_S = 2.0


def request_key(digest):
    """Returns the cause that stands for requests with this digest."""
    return REQUEST_PREFIX + digest


def item_key(item_id):
    """Returns the key of a batch item, which is never a cause itself."""
    return ITEM_PREFIX + item_id


def is_request(cause):
    """Whether a cause is a request, and not a part of a prompt."""
    return cause.startswith(REQUEST_PREFIX)


def describe(cause):
    """Returns a cause as a caller is told of it."""
    if is_request(cause):
        return "the request crashes engines"
    return f"part {cause} of the prompt crashes engines"


def duration_s(strikes):
    """Returns how long the quarantine with this number lasts (s)."""
    if strikes > PROBES_MAX:
        return QUARANTINE_MAX_S
    return QUARANTINE_S * 2 ** (strikes - 1)


class Quarantined(msgspec.Struct, frozen=True):
    """A cause in quarantine until `until_s`, since `since_s`.

    Once it is over, one request at a time may probe the cause. With no
    `strikes`, the cause is only suspected and was never in quarantine.
    """

    since_s: float
    until_s: float
    strikes: int


class Blocked(msgspec.Struct, frozen=True):
    """No request with this cause may run before `left_s` have passed."""

    cause: str
    left_s: float


class Probation(msgspec.Struct, frozen=True):
    """The cause is not in quarantine; the hub decides who may probe it."""

    cause: str


class Quarantine:
    """The causes that one daemon keeps from engines.

    They are stored by the hub that decided, and announced by it meanwhile.
    """

    __slots__ = ("_announced", "_on_probation", "_stored")

    def __init__(self):
        self._announced = {}
        self._on_probation = {}
        self._stored = {}

    def replace(self, stored):
        """Replaces all stored causes, a dict of Quarantined by cause."""
        self._stored = dict(stored)

    def put(self, cause, quarantined):
        """Adds or replaces a stored cause."""
        self._stored = {**self._stored, cause: quarantined}

    def remove(self, cause):
        """Removes a stored cause."""
        self._stored = {k: v for k, v in self._stored.items() if k != cause}

    def announce(self, quarantined, on_probation, now_s):
        """Applies an announcement of the hub, two lists of causes."""
        self._announced = _extended(self._announced, quarantined, now_s)
        self._on_probation = _extended(self._on_probation, on_probation, now_s)

    def check(self, causes, now_s):
        """Returns Blocked, Probation, or None if a request may be sent.

        `causes` are the parts of its prompt and its own key.
        """
        if self.is_empty:
            return None
        on_probation = None
        for cause in causes:
            stored = self._stored.get(cause)
            if stored is not None and now_s < stored.until_s:
                return Blocked(cause, stored.until_s - now_s)
            if now_s < self._announced.get(cause, 0.0):
                return Blocked(cause, QUARANTINE_S)
            if stored is not None or now_s < self._on_probation.get(
                cause, 0.0
            ):
                on_probation = Probation(cause)
        return on_probation

    @property
    def is_empty(self):
        """Whether there is no cause."""
        return not (self._stored or self._announced or self._on_probation)

    def get(self, cause):
        """Returns the stored Quarantined of a cause, or None."""
        return self._stored.get(cause)

    def forgotten(self, now_s):
        """Returns the stored causes whose rows are no longer needed."""
        return [
            cause
            for cause, one in self._stored.items()
            if now_s
            > one.until_s + (FORGET_S if one.strikes else SUSPECT_FORGET_S)
        ]


def _extended(announced, causes, now_s):
    """Returns announced causes, by instant of expiry, with new ones."""
    if not announced and not causes:
        return announced
    current = {cause: one for cause, one in announced.items() if one > now_s}
    return current | dict.fromkeys(causes, now_s + ANNOUNCED_S)
