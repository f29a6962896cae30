"""Keeps the quotas of organisations over all daemons.

The hub charges each request with the grant of its slot. While no hub answers,
each daemon charges what it sends by itself. All instants are monotonic
seconds of the process that holds them.
"""

import collections
import copy
import math
import random
import threading

import msgspec

# Part of the excess (see Bounds.excess) by which a bucket may be fuller than
# the burst: grants come later than the requests, and not evenly.
JITTER_SHARE = 0.25
# Part of the excess that a hub may grant before it knows what was sent before.
BEGINNING_SHARE = 0.5
# A hub that hears this share of the members or more takes itself for the only
# one; one that hears so few that another hub may do so grants next to nothing.
# In between, each of two hubs grants in proportion.
WHOLE_SHARE = 0.8
MINOR_SHARE = 0.2
# Part of the excess that a hub may grant in a window, whatever it hears.
FLOOR_SHARE = 0.2
# An organisation is told to the daemons as constrained while its bucket is
# below this part of its capacity.
CONSTRAINED_SHARE = 0.25
# Organisations told as constrained in one message.
CONSTRAINED_MAX = 64
# Organisations whose requests one daemon reports to a new hub.
SENT_MAX = 128


class Bounds(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """How exactly the quotas are kept.

    In each `window_s`, all daemons together send at most (rate x window +
    burst) x (1 + `overshoot`) + `slack` requests of an organisation.
    """

    window_s: float = 5.0
    overshoot: float = 0.1
    slack: float = 20.0

    def expected(self, organisation):
        """Returns the requests that its quota allows in a window."""
        return organisation.rate_per_s * self.window_s + organisation.burst

    def excess(self, organisation):
        """Returns the requests that may be sent above that in a window."""
        return self.overshoot * self.expected(organisation) + self.slack


class Bucket:
    """A token bucket; its level may be negative after forced charges."""

    __slots__ = ("_at_s", "capacity", "level", "per_s")

    def __init__(self, per_s, capacity, level, now_s):
        self.per_s = per_s
        self.capacity = capacity
        self.level = min(level, capacity)
        self._at_s = now_s

    def refill(self, now_s):
        """Adds the tokens of the time since the last refill."""
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self.level = min(self.level + elapsed_s * self.per_s, self.capacity)

    def resize(self, per_s, capacity, now_s):
        """Changes rate and capacity; a level above the capacity is cut."""
        self.refill(now_s)
        self.per_s = per_s
        self.capacity = capacity
        self.level = min(self.level, capacity)

    def wait_s(self, now_s):
        """Returns the time to the next token (s), 0 if there is one."""
        self.refill(now_s)
        if self.level >= 1.0:
            return 0.0
        if self.per_s <= 0:
            return math.inf
        return (1.0 - self.level) / self.per_s

    def take(self, now_s):
        """Takes a token, whether there is one or not.

        Forced charges lower the level to -capacity at most, so that the time
        to the next token stays bounded.
        """
        self.refill(now_s)
        self.level = max(self.level - 1.0, -self.capacity)

    def give_back(self):
        """Gives a token back."""
        self.level = min(self.level + 1.0, self.capacity)


class HubQuotas:
    """The buckets of all organisations, kept by the hub.

    `refused` counts refusals since the start.
    """

    __slots__ = (
        "_began_s",
        "_bounds",
        "_buckets",
        "_directory",
        "_has_buckets",
        "_sent_by_vm",
        "_share",
        "refused",
    )

    def __init__(self, bounds):
        self._bounds = bounds
        self._began_s = 0.0
        self._buckets = {}
        self._directory = None
        self._share = 1.0
        self._sent_by_vm = {}
        self._has_buckets = False
        self.refused = 0

    def reset(self, now_s):
        """Forgets all buckets: this daemon begins to be the hub."""
        self._began_s = now_s
        self._buckets.clear()
        self._sent_by_vm.clear()
        self._has_buckets = False
        self._share = 1.0

    def dry_copy(self, name):
        """Returns a copy in which the organisation `name` may be charged.

        Its other buckets are shared.
        """
        dry = copy.copy(self)
        dry._buckets = dict(self._buckets)
        if name in dry._buckets:
            dry._buckets[name] = copy.copy(dry._buckets[name])
        return dry

    def apply_sent(self, vm, sent):
        """Applies what a daemon sent by organisation within a window.

        `sent` is None if the daemon does not know. What is told after the
        first bucket was made is ignored.
        """
        if not self._has_buckets:
            self._sent_by_vm[vm] = sent

    def set_members(self, heard, members, now_s):
        """Sets how many of the members report to this hub."""
        share = min(1.0, heard / members) if members else 1.0
        share = 1.0 if share >= WHOLE_SHARE else share
        if share != self._share:
            self._share = share
            self._resize(now_s)

    def set_directory(self, directory, now_s):
        """Sets the organisations.Directory of the newest tables."""
        if directory is self._directory:
            return
        self._directory = directory
        self._resize(now_s)

    def _resize(self, now_s):
        for name, bucket in list(self._buckets.items()):
            organisation = self._limited(name)
            if organisation is None:
                del self._buckets[name]
            else:
                bucket.resize(*self._size(organisation), now_s)

    def _limited(self, name):
        """Returns the organisation if it has a quota, or None."""
        organisation = self._directory.get(name) if self._directory else None
        if organisation is None or not organisation.has_quota:
            return None
        return organisation

    def _size(self, organisation):
        """Returns the rate and the capacity of an organisation's bucket."""
        excess = self._bounds.excess(organisation)
        floor = FLOOR_SHARE * excess
        share = self._share
        if share <= MINOR_SHARE:
            share = 0.0
        per_s = max(
            share * organisation.rate_per_s,
            min(organisation.rate_per_s, floor / self._bounds.window_s),
        )
        burst = max(share * organisation.burst, min(organisation.burst, floor))
        return per_s, max(1.0, burst + JITTER_SHARE * excess * share)

    def _bucket(self, organisation, now_s):
        bucket = self._buckets.get(organisation.name)
        if bucket is None:
            self._has_buckets = True
            per_s, capacity = self._size(organisation)
            level = self._first_level(organisation)
            # It was filled since this daemon became the hub.
            bucket = Bucket(per_s, capacity, level, self._began_s)
            self._buckets[organisation.name] = bucket
        return bucket

    def _first_level(self, organisation):
        """Returns the level of a new bucket.

        If all daemons told what they sent within the last window, it is what
        the quota leaves of that.
        """
        careful = BEGINNING_SHARE * self._bounds.excess(organisation)
        careful = max(1.0, careful * self._share)
        told = list(self._sent_by_vm.values())
        if not told or any(sent is None for sent in told):
            return min(careful, max(1.0, organisation.burst))
        total = sum(sent.get(organisation.name, 0) for sent in told)
        left = self._bounds.expected(organisation) - total
        return max(careful, left) if left > 0 else 0.0

    def wait_s(self, name, now_s):
        """Returns when an organisation has a token (s from now).

        Returns 0 if it has one, or no quota.
        """
        organisation = self._limited(name)
        if organisation is None:
            return 0.0
        return self._bucket(organisation, now_s).wait_s(now_s)

    def charge_reported(self, name, now_s):
        """Charges a request that a daemon sent without a grant.

        Before the first decision, it is among those that apply_sent() has.
        """
        if self._has_buckets:
            self.charge(name, now_s)

    def charge(self, name, now_s):
        """Charges a request that is granted, or was sent without a grant."""
        organisation = self._limited(name)
        if organisation is not None:
            self._bucket(organisation, now_s).take(now_s)

    def refund(self, name):
        """Gives back the charge of a request that no engine ran."""
        bucket = self._buckets.get(name)
        if bucket is not None:
            bucket.give_back()

    def constrained(self, now_s):
        """Returns the names of organisations whose buckets are low."""
        found = []
        for name, bucket in self._buckets.items():
            bucket.refill(now_s)
            if bucket.level < CONSTRAINED_SHARE * bucket.capacity:
                found.append(name)
        return tuple(found[:CONSTRAINED_MAX])


class _Sent:
    """When the requests of one organisation were sent, within a window."""

    __slots__ = ("bucket", "times")

    def __init__(self):
        self.times = collections.deque()
        self.bucket = None

    def count(self, since_s):
        """Returns how many were sent since an instant; drops older ones."""
        while self.times and self.times[0] < since_s:
            self.times.popleft()
        return len(self.times)


class LocalQuotas:
    """What this daemon sent by organisation; charges it without a hub.

    A daemon that loses its hub goes on at the pace at which it sent before:
    over all daemons that is what the hub had granted. Thread-safe.
    """

    __slots__ = (
        "_bounds",
        "_constrained",
        "_draw",
        "_is_alone",
        "_lock",
        "_sent",
        "_started_s",
    )

    def __init__(self, bounds, now_s, draw=random.random):
        self._bounds = bounds
        self._started_s = now_s
        self._draw = draw
        self._lock = threading.Lock()
        self._sent = {}
        self._constrained = frozenset()
        self._is_alone = False

    @property
    def bounds(self):
        """The Bounds of the quotas."""
        return self._bounds

    def announce_constrained(self, names):
        """Records the organisations that the hub told to be constrained."""
        self._constrained = frozenset(names)

    def is_constrained(self, name):
        """Whether the hub told that an organisation is constrained."""
        return name in self._constrained

    def local_wait_s(self, name, now_s):
        """Returns the time (s) to the next token of its local bucket, or 0.

        There is a bucket once this daemon charged a request without a hub.
        """
        with self._lock:
            one = self._sent.get(name)
            if one is None or one.bucket is None:
                return 0.0
            return one.bucket.wait_s(now_s)

    def record_sent(self, name, now_s):
        """Records a request that the hub granted."""
        with self._lock:
            if self._is_alone:
                self._is_alone = False
                for one in self._sent.values():
                    one.bucket = None
            self._append(name, now_s)

    def _append(self, name, now_s):
        one = self._sent.setdefault(name, _Sent())
        one.count(now_s - self._bounds.window_s)
        one.times.append(now_s)

    def sent(self, now_s):
        """Returns the counts of a window by organisation, for a new hub.

        Returns None while this daemon has not run for a whole window: what an
        earlier process sent is not known.
        """
        since_s = now_s - self._bounds.window_s
        if self._started_s > since_s:
            return None
        with self._lock:
            counts = {
                name: one.count(since_s) for name, one in self._sent.items()
            }
            for name in [name for name, count in counts.items() if not count]:
                del self._sent[name]
                del counts[name]
        largest = sorted(counts, key=counts.get, reverse=True)[:SENT_MAX]
        return {name: counts[name] for name in largest}

    def charge(self, organisation, daemon_count, now_s):
        """Charges a request that is sent without a hub.

        Returns 0, or the time to the next token (s) if it must not be sent.
        """
        if not organisation.has_quota:
            return 0.0
        with self._lock:
            self._is_alone = True
            one = self._sent.setdefault(organisation.name, _Sent())
            if one.bucket is None:
                one.bucket = self._new_bucket(
                    one, organisation, daemon_count, now_s
                )
            wait_s = one.bucket.wait_s(now_s)
            if wait_s > 0:
                return wait_s
            one.bucket.take(now_s)
            self._append(organisation.name, now_s)
        return 0.0

    def refund(self, name):
        """Gives back the charge of a request that no engine ran."""
        with self._lock:
            one = self._sent.get(name)
            if one is not None and one.bucket is not None:
                one.bucket.give_back()

    def _new_bucket(self, one, organisation, daemon_count, now_s):
        """Returns the bucket with which this daemon begins without a hub.

        The first request of an organisation that was below its quota passes.
        One at its quota begins with a random part of a token, so that all
        daemons together send what their rates add up to, though the share of
        each is less than a request.
        """
        window_s = self._bounds.window_s
        recent_per_s = one.count(now_s - window_s) / window_s
        share = 1 / max(1, daemon_count)
        per_s = max(recent_per_s, share * organisation.rate_per_s)
        level = 1.0 + recent_per_s
        if organisation.name in self._constrained:
            level = self._draw() + BEGINNING_SHARE * share * (
                self._bounds.excess(organisation)
            )
        return Bucket(per_s, max(1.0, per_s * window_s / 2), level, now_s)
