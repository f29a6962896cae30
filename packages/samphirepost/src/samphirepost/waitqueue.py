"""The online requests of one pool that wait for a slot, in order.

The order is by priority, then by the virtual time of organisations. Within an
organisation, new callers go before returning ones: a caller that returns is
past its latency objective already and waits longer instead. If returning ones
went first, under lasting overload each slot would go to a late caller.
"""

import bisect
import collections
import heapq
import itertools

import msgspec

from samphirepost import fairqueue

# Waiting requests that are passed over in one look for free slots, as none
# will do for them, and those of them that are tried with equal needs: what all
# others of these need is not free either.
PASSED_MAX = 256
TRIED_MAX = 4


class WaitingRequest:
    """An online request that waits for a slot until `expires_s`.

    `has_left` once it does not wait any more.
    """

    __slots__ = ("address", "expires_s", "has_left", "number", "req")

    def __init__(self, req, address, expires_s):
        self.req = req
        self.address = address
        self.expires_s = expires_s
        self.number = 0
        self.has_left = False

    @property
    def urgency(self):
        """The sort key within an organisation, the most urgent first.

        What must not be denied was attempted before, or resumes a stream.
        """
        req = self.req
        return (not req.never_deny, req.returns, self.expires_s, self.number)

    @property
    def key(self):
        """Identifies the request among those of all daemons."""
        return (self.req.vm, self.req.id)


class Refused:
    """A request that gets no slot; it would wait `wait_s` if it returned."""

    __slots__ = ("wait_s", "waiting")

    def __init__(self, waiting, wait_s):
        self.waiting = waiting
        self.wait_s = wait_s

    @property
    def req(self):
        """The slotmessages.SlotRequest."""
        return self.waiting.req


class WaitQueue:
    """The waiting requests of a pool, and what organisations have used."""

    __slots__ = ("_expiries", "_levels", "_lines", "_numbers", "_waiting")

    def __init__(self):
        self._levels = {}
        self._lines = {}
        self._waiting = {}
        self._expiries = []
        self._numbers = itertools.count()

    def __len__(self):
        return len(self._waiting)

    def has(self, req):
        """Whether a slotmessages.SlotRequest waits already."""
        return (req.vm, req.id) in self._waiting

    def admit(self, waiting, now_s, wait_of):
        """Adds a WaitingRequest unless it would wait too long.

        `wait_of` returns the time to wait (s) behind a number of others.
        Returns the Refused: the request itself, or those at the end that
        would now wait too long.
        """
        ahead = self.add(waiting)
        if wait_of(ahead) > waiting.req.wait_max_s:
            return [self._refuse(waiting, wait_of)]
        refused = []
        while self._waiting:
            last = self.last()
            if now_s + wait_of(len(self) - 1) <= last.expires_s:
                break
            refused.append(self._refuse(last, wait_of))
        return refused

    def _refuse(self, waiting, wait_of):
        self.remove(waiting)
        return Refused(waiting, wait_of(self._ahead_if_returning(waiting.req)))

    def add(self, waiting):
        """Adds a WaitingRequest; returns how many are ahead of it."""
        req = waiting.req
        waiting.number = next(self._numbers)
        self._waiting[waiting.key] = waiting
        line = self._lines.setdefault((req.priority, req.organisation), [])
        place = bisect.bisect(line, waiting.urgency, key=_urgency)
        line.insert(place, waiting)
        level = self._level(req.priority)
        level.add(req.organisation)
        heapq.heappush(
            self._expiries, (waiting.expires_s, waiting.number, waiting)
        )
        return self._more_urgent(req.priority) + level.ahead(
            req.organisation, place
        )

    def ahead_of(self, req):
        """Returns how many are ahead of a SlotRequest that waits."""
        line = self._lines[req.priority, req.organisation]
        place = line.index(self._waiting[req.vm, req.id])
        return self._more_urgent(req.priority) + self._level(
            req.priority
        ).ahead(req.organisation, place)

    def _ahead_if_returning(self, req):
        level = self._level(req.priority)
        return self._more_urgent(req.priority) + level.ahead_of_next(
            req.organisation
        )

    def remove(self, waiting):
        """Removes a request that gets no slot."""
        self._leave(waiting)
        self._levels[waiting.req.priority].remove(waiting.req.organisation)

    def start(self, req):
        """Charges a request that gets a slot, whether it waited or not.

        Returns the fairqueue.Charge.
        """
        level = self._level(req.priority)
        waiting = self._waiting.get((req.vm, req.id))
        if waiting is None:
            return level.start_at_once(req.organisation)
        self._leave(waiting)
        return level.start(req.organisation)

    def in_order(self):
        """Yields the waiting requests that are worth a try, in order.

        Each may be started or removed before the next one is asked for; else
        it is taken to have failed.
        """
        failures = collections.Counter()
        for priority in sorted(self._levels):
            level = self._levels[priority]
            passed = {}
            index = 0
            while index < len(level):
                name = level.name_at(index)
                waiting = self._lines[priority, name][passed.get(name, 0)]
                needs = _needs_of(waiting.req)
                if failures[needs] < TRIED_MAX:
                    yield waiting
                if waiting.has_left:
                    continue
                failures[needs] += 1
                if failures.total() >= PASSED_MAX:
                    return
                passed[name] = passed.get(name, 0) + 1
                index += 1

    def last(self):
        """Returns the request that gets a slot last, or None."""
        for priority in sorted(self._levels, reverse=True):
            level = self._levels[priority]
            if level:
                name = level.name_at(-1)
                return self._lines[priority, name][-1]
        return None

    def of_organisation(self, priority, name):
        """Returns the waiting requests of an organisation."""
        return list(self._lines.get((priority, name), ()))

    def expired(self, now_s, wait_of):
        """Removes those whose time to wait is over; returns the Refused."""
        found = []
        while self._expiries and self._expiries[0][0] <= now_s:
            _, _, waiting = heapq.heappop(self._expiries)
            if not waiting.has_left:
                found.append(self._refuse(waiting, wait_of))
        return found

    def _leave(self, waiting):
        req = waiting.req
        waiting.has_left = True
        del self._waiting[waiting.key]
        key = (req.priority, req.organisation)
        line = self._lines[key]
        del line[bisect.bisect_left(line, waiting.urgency, key=_urgency)]
        if not line:
            del self._lines[key]

    def _level(self, priority):
        level = self._levels.get(priority)
        if level is None:
            level = self._levels[priority] = fairqueue.FairQueue()
        return level

    def _more_urgent(self, priority):
        return sum(
            len(level)
            for other, level in self._levels.items()
            if other < priority
        )


def _needs_of(req):
    """Returns what limits the engines that a SlotRequest may get.

    One that may not be repeated gets no engine that is to be probed.
    """
    return (req.version, req.excluded, req.is_repeatable)


def _urgency(waiting):
    return waiting.urgency


class WaitingItem(msgspec.Struct, frozen=True, order=True):
    """A slot that is wanted for a batch item, ordered by urgency."""

    late: bool
    deadline_s: float
    vm: str
    id: int
    organisation: str


def most_urgent_items(items, shares, count):
    """Returns the `count` WaitingItems to serve first.

    Late ones come last; organisations take turns by a FairQueue `shares`.
    """
    in_time, late = {}, {}
    for item in items:
        lines = late if item.late else in_time
        lines.setdefault(item.organisation, []).append(item)
    found = []
    for lines in (in_time, late):
        left = count - len(found)
        shortened = {
            name: heapq.nsmallest(left, line) for name, line in lines.items()
        }
        found += itertools.islice(shares.in_turn(shortened), left)
    return found
