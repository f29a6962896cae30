"""Keeps the limits on requests that engines in need name in their answers.

A limit is a rate of requests from all daemons together. The hub counts its
grants against it; while no hub answers, each daemon takes its share. All
instants are monotonic seconds of the daemon that holds them.
"""

import heapq
import threading

import msgspec

from samphirepost import slotmessages

# A limit that no answer has confirmed for this long (s) is dropped.
MEMORY_S = 60.0
# What a daemon saw is reported for this long (s), as a report may be lost.
REPORT_S = 2.0
# Limits in one message.
LIMITS_MAX = 200
# Requests that an engine may get at once, in seconds of its limit; one at
# least.
BURST_S = 0.5
# An engine gets this many requests a second whatever it names: only an answer
# tells that a limit is over.
RATE_MIN_PER_S = 0.25


class TokenBucket:
    """Counts requests against a rate; a request takes one token."""

    __slots__ = ("_at_s", "_tokens", "per_s")

    def __init__(self, per_s, tokens, now_s):
        self.per_s = per_s
        self._tokens = tokens
        self._at_s = now_s

    def has_token(self, now_s):
        """Whether a request may be sent now."""
        self._refill(now_s)
        return self._tokens >= 1.0

    def token_s(self, now_s):
        """Returns the instant of the next token."""
        self._refill(now_s)
        return now_s + max(0.0, 1.0 - self._tokens) / self.per_s

    def take(self, now_s):
        """Counts a request that is sent, allowed or not."""
        self._refill(now_s)
        self._tokens = max(self._tokens - 1.0, -self._capacity)

    @property
    def _capacity(self):
        return max(1.0, BURST_S * self.per_s)

    def _refill(self, now_s):
        elapsed_s = max(0.0, now_s - self._at_s)
        self._at_s = now_s
        self._tokens = min(
            self._tokens + elapsed_s * self.per_s, self._capacity
        )


class EngineLimit:
    """The limit of one engine; `named_s` is when an answer last named it.

    `started_ms` tells incarnations of the engine apart.
    """

    __slots__ = ("bucket", "named_s", "started_ms")

    def __init__(self, started_ms, named_s, bucket):
        self.started_ms = started_ms
        self.named_s = named_s
        self.bucket = bucket


class HubLimits:
    """The limits as the hub knows them, from all daemons' reports."""

    __slots__ = ("_limits", "_lifted_s")

    def __init__(self):
        self._limits = {}
        self._lifted_s = {}

    def apply(self, named, now_s):
        """Applies a slotmessages.NamedLimit; the newest answer counts.

        Returns whether the engine's limit changed.
        """
        named_s = now_s - named.age_s
        known = self._limits.get(named.engine)
        last_s = self._lifted_s.get(named.engine, named_s)
        if known is not None:
            last_s = known.named_s
        if named_s < last_s:
            return False
        if named.per_s is None:
            self._lifted_s[named.engine] = named_s
            return self._limits.pop(named.engine, None) is not None
        per_s = max(named.per_s, RATE_MIN_PER_S)
        if known is not None and known.started_ms == named.started_ms:
            is_changed = known.bucket.per_s != per_s
            known.bucket.per_s = per_s
            known.named_s = named_s
            return is_changed
        bucket = TokenBucket(per_s, 0.0, now_s)
        self._limits[named.engine] = EngineLimit(
            named.started_ms, named_s, bucket
        )
        return True

    def allows(self, engine_id, now_s):
        """Whether an engine may get a request now."""
        known = self._limits.get(engine_id)
        return known is None or known.bucket.has_token(now_s)

    def take(self, engine_id, now_s):
        """Counts a request for an engine."""
        known = self._limits.get(engine_id)
        if known is not None:
            known.bucket.take(now_s)

    def wait_s(self, engine_ids, count, now_s):
        """Returns when limited engines have taken `count` requests (s).

        All of `engine_ids` must have a limit.
        """
        next_s = []
        for engine_id in engine_ids:
            bucket = self._limits[engine_id].bucket
            next_s.append((bucket.token_s(now_s), bucket.per_s))
        heapq.heapify(next_s)
        for _ in range(count - 1):
            token_s, per_s = next_s[0]
            heapq.heapreplace(next_s, (token_s + 1.0 / per_s, per_s))
        return next_s[0][0] - now_s

    def rates(self, engine_ids):
        """Returns the limits (requests a second) of those engines."""
        return {
            engine_id: known.bucket.per_s
            for engine_id, known in self._limits.items()
            if engine_id in engine_ids
        }

    def all_rates(self):
        """Returns LIMITS_MAX limits at most, by engine, to be announced."""
        return {
            engine_id: known.bucket.per_s
            for engine_id, known in list(self._limits.items())[:LIMITS_MAX]
        }

    def set_engines(self, engines):
        """Drops the limits of earlier incarnations of a pool's engines."""
        if not self._limits:
            return
        for engine in engines:
            known = self._limits.get(engine.id)
            if known is not None and known.started_ms < engine.started_ms:
                del self._limits[engine.id]

    def remove(self, engine_id):
        """Drops the limit of an engine that left its pool."""
        self._limits.pop(engine_id, None)
        self._lifted_s.pop(engine_id, None)

    def forget(self, now_s):
        """Drops what no answer has confirmed for MEMORY_S."""
        old_s = now_s - MEMORY_S
        for engine_id, known in list(self._limits.items()):
            if known.named_s < old_s:
                del self._limits[engine_id]
        for engine_id, lifted_s in list(self._lifted_s.items()):
            if lifted_s < old_s:
                del self._lifted_s[engine_id]


class SeenLimit(msgspec.Struct, frozen=True):
    """What an engine's last answer here said; `per_s` is None for no limit."""

    started_ms: int
    per_s: float | None
    seen_s: float


class SeenLimits:
    """The limits that one daemon saw or heard of; thread-safe."""

    __slots__ = (
        "_announced",
        "_buckets",
        "_lock",
        "_report_all_until_s",
        "_seen",
    )

    def __init__(self):
        self._lock = threading.Lock()
        self._seen = {}
        self._announced = {}
        self._buckets = {}
        self._report_all_until_s = 0.0

    def record_answer(self, engine, per_s, now_s):
        """Records what an engine's answer said; None for no limit.

        Returns whether it differs from what was known here.
        """
        known = self._seen.get(engine.id)
        if per_s is None and known is None:
            if engine.id not in self._announced:
                return False
        with self._lock:
            self._seen[engine.id] = SeenLimit(engine.started_ms, per_s, now_s)
            self._forget(now_s)
        return known is None or known.per_s != per_s

    def _forget(self, now_s):
        for engine_id, one in list(self._seen.items()):
            if now_s - one.seen_s > MEMORY_S:
                del self._seen[engine_id]
        for engine_id in self._buckets.keys() - self._seen.keys():
            if engine_id not in self._announced:
                del self._buckets[engine_id]

    def report_again(self, now_s):
        """Has all limits reported once more, to a new hub."""
        self._report_all_until_s = now_s + REPORT_S

    def to_report(self, now_s):
        """Returns the slotmessages.NamedLimit entries to report."""
        if not self._seen:
            return ()
        is_all = now_s < self._report_all_until_s
        with self._lock:
            return tuple(
                slotmessages.NamedLimit(
                    engine_id,
                    one.started_ms,
                    one.per_s,
                    round(now_s - one.seen_s, 3),
                )
                for engine_id, one in self._seen.items()
                if is_all or now_s - one.seen_s < REPORT_S
            )[:LIMITS_MAX]

    def announce(self, rates):
        """Applies the limits (requests a second) that the hub announced.

        This daemon's shares begin anew when the hub falls silent.
        """
        self._announced = rates
        if self._buckets:
            with self._lock:
                self._buckets.clear()

    def is_limited(self, engine):
        """Whether an engine is known to have a limit."""
        return self._rate(engine) is not None

    def sendable(self, engines, daemon_count, now_s):
        """Returns the engines to which this daemon may send by itself.

        Engines without a limit go first: each of the `daemon_count` daemons
        has only its share of a limit.
        """
        unlimited = [
            engine for engine in engines if not self.is_limited(engine)
        ]
        if unlimited:
            return unlimited
        with self._lock:
            return [
                engine
                for engine in engines
                if self._bucket(engine, daemon_count, now_s).has_token(now_s)
            ]

    def take(self, engine, daemon_count, now_s):
        """Counts a request that this daemon sends by itself."""
        if not self.is_limited(engine):
            return
        with self._lock:
            self._bucket(engine, daemon_count, now_s).take(now_s)

    def _rate(self, engine):
        seen = self._seen.get(engine.id)
        if seen is not None and seen.started_ms == engine.started_ms:
            return seen.per_s
        return self._announced.get(engine.id)

    def _bucket(self, engine, daemon_count, now_s):
        """Returns a bucket that begins empty and holds one token at most."""
        rate = max(self._rate(engine) or 0.0, RATE_MIN_PER_S)
        share_per_s = rate / max(1, daemon_count)
        bucket = self._buckets.get(engine.id)
        if bucket is None:
            bucket = TokenBucket(share_per_s, 0.0, now_s)
            self._buckets[engine.id] = bucket
        bucket.per_s = share_per_s
        return bucket
