"""Start-time fair queueing: shares slots among the organisations that wait.

Each organisation has a finish tag: the virtual time up to which it has been
given slots. What it wants next gets a start tag, the later of the virtual time
and the finish tag, and the smallest start tag goes first. The cost of a run is
its expected slot-seconds, corrected when it ends. An organisation that wants
nothing gathers no credit, as the virtual time moves on without it, and is
dropped once it has nothing to pay back.
"""

import bisect
import heapq
import itertools
import math

# Initial estimate of the slot-seconds of a run, and the weight of each ended
# run in the moving averages of all runs and of one organisation's.
INITIAL_COST_S = 0.7
COST_SAMPLE_SHARE = 0.05
FLOW_COST_SAMPLE_SHARE = 0.2


class Flow:
    """One organisation: its finish tag, running count and places in line.

    `cost_s` is the expected cost of its runs: a correction at the end comes
    too late for those that start before. `places` has the sorted places, each
    a tuple of start tag, number, name and cost.
    """

    __slots__ = ("cost_s", "finish", "places", "running")

    def __init__(self, finish, cost_s):
        self.cost_s = cost_s
        self.finish = finish
        self.running = 0
        self.places = []

    @property
    def is_idle(self):
        """Whether the organisation neither waits nor runs."""
        return not self.running and not self.places


class Charge:
    """The expected cost of a run, to be settled when it ends."""

    __slots__ = ("_cost_s", "_name", "_queue")

    def __init__(self, queue, name, cost_s):
        self._queue = queue
        self._name = name
        self._cost_s = cost_s

    def settle(self, used_s):
        """Corrects the charge to the slot-seconds used; call it once."""
        self._queue.settle(self._name, self._cost_s, used_s)


class FairQueue:
    """Places in line of organisations that compete for the same slots.

    A place belongs to an organisation, not to a request: which of its requests
    takes its first place is the caller's choice. `virtual` is the virtual
    time, `cost_s` the expected slot-seconds of a run of any organisation.
    """

    __slots__ = (
        "_active",
        "_flows",
        "_idle",
        "_numbers",
        "_order",
        "cost_s",
        "virtual",
    )

    def __init__(self):
        self.virtual = 0.0
        self.cost_s = INITIAL_COST_S
        self._flows = {}
        self._order = []
        self._idle = []
        self._active = 0
        self._numbers = itertools.count()

    def __len__(self):
        return len(self._order)

    @property
    def flow_count(self):
        """The number of organisations of which something is kept."""
        return len(self._flows)

    def name_at(self, index):
        """Returns the organisation that has a place in line."""
        return self._order[index][2]

    def start_tag(self, name):
        """Returns the start tag of what an organisation wants next."""
        flow = self._flows.get(name)
        if flow is None:
            return self.virtual
        return max(self.virtual, flow.finish)

    def add(self, name):
        """Adds a place for an organisation."""
        flow = self._active_flow(name)
        tag = max(self.virtual, flow.finish)
        flow.finish = tag + flow.cost_s
        place = (tag, next(self._numbers), name, flow.cost_s)
        bisect.insort(flow.places, place)
        bisect.insort(self._order, place)

    def ahead(self, name, place):
        """Returns how many places come before one of an organisation."""
        return bisect.bisect_left(self._order, self._flows[name].places[place])

    def ahead_of_next(self, name):
        """Returns how many come before what an organisation adds next."""
        return bisect.bisect(self._order, (self.start_tag(name), math.inf))

    def remove(self, name):
        """Removes the last place of an organisation, which is not charged."""
        flow = self._flows[name]
        flow.finish -= self._remove_place(flow, -1)[3]
        self._drop_if_idle(name, flow)

    def start(self, name):
        """Takes the first place of an organisation; returns the Charge."""
        flow = self._flows[name]
        tag, _, _, cost_s = self._remove_place(flow, 0)
        flow.running += 1
        self._advance(tag)
        return Charge(self, name, cost_s)

    def start_at_once(self, name):
        """Charges a run that did not wait in line; returns the Charge."""
        flow = self._active_flow(name)
        tag = max(self.virtual, flow.finish)
        flow.finish = tag + flow.cost_s
        flow.running += 1
        self._advance(tag)
        return Charge(self, name, flow.cost_s)

    def settle(self, name, charged_s, used_s):
        """Corrects the charge of a run that ended."""
        flow = self._flows[name]
        flow.running -= 1
        flow.finish += used_s - charged_s
        if used_s:
            self.cost_s += COST_SAMPLE_SHARE * (used_s - self.cost_s)
            flow.cost_s += FLOW_COST_SAMPLE_SHARE * (used_s - flow.cost_s)
        self._drop_if_idle(name, flow)

    def in_turn(self, lines):
        """Yields the elements of each organisation's list by virtual time.

        `lines` has the lists by name, each in its own order. Tags move on as
        if each element yielded were started.
        """
        heap = [
            (self.start_tag(name), number, self._cost_s(name), iter(line))
            for number, (name, line) in enumerate(lines.items())
        ]
        heapq.heapify(heap)
        while heap:
            tag, number, cost_s, line = heap[0]
            found = next(line, None)
            if found is None:
                heapq.heappop(heap)
                continue
            heapq.heapreplace(heap, (tag + cost_s, number, cost_s, line))
            yield found

    def _cost_s(self, name):
        flow = self._flows.get(name)
        return self.cost_s if flow is None else flow.cost_s

    def _active_flow(self, name):
        flow = self._flows.get(name)
        if flow is None:
            flow = self._flows[name] = Flow(self.virtual, self.cost_s)
        if flow.is_idle:
            self._active += 1
        return flow

    def _remove_place(self, flow, index):
        place = flow.places.pop(index)
        del self._order[bisect.bisect_left(self._order, place)]
        return place

    def _advance(self, tag):
        """Moves the virtual time to that of a start.

        It stays behind those that wait: a start out of turn takes no claim
        from them.
        """
        if self._order:
            tag = min(tag, self._order[0][0])
        self.virtual = max(self.virtual, tag)
        while self._idle and self._idle[0][0] <= self.virtual:
            _, name = heapq.heappop(self._idle)
            flow = self._flows.get(name)
            if flow is not None and flow.is_idle:
                self._keep_or_drop(name, flow)

    def _drop_if_idle(self, name, flow):
        if not flow.is_idle:
            return
        self._active -= 1
        if self._active:
            self._keep_or_drop(name, flow)
            return
        self._flows.clear()
        self._idle.clear()

    def _keep_or_drop(self, name, flow):
        """Keeps an idle organisation while it has something to pay back."""
        if flow.finish <= self.virtual:
            del self._flows[name]
        else:
            heapq.heappush(self._idle, (flow.finish, name))
