"""Decides at which software version a stream that broke off may go on.

What engines of two versions write does not fit together. A caller that takes
a stream up at any daemon names the request that began it. Of each pool one
version is the base: a stream that begins at another one is recorded before its
first event goes out, so that a stream without a record began at the base. With
a single version nothing is recorded. To change the base, all streams are
recorded until the last one without a record can no longer be taken up. All
instants are monotonic seconds.
"""

import collections

import msgspec

# The base is given up once no engine of it has been listed for this time (s):
# engines that crashed are back sooner.
BASE_ABSENT_S = 5.0
# Time (s) from then until another version is the base. No stream without a
# record can be taken up any more: engines that leave serve up to some ten
# seconds longer, and callers give up within 15 s.
RECORD_ALL_S = 30.0
# A record is kept for this long (s).
RECORD_KEPT_S = 60.0
# A version is remembered for this long (s) after its last engine has left.
VERSION_KEPT_S = 60.0
# Without an answer of the registry for this long (s), the base may have
# changed unseen.
REGISTRY_STALE_S = 20.0


class PoolBase(msgspec.Struct, frozen=True):
    """The base version of a pool, since `since_ms` of the store's clock.

    Streams without a record began at `version`. With `record_all`, streams
    that begin at it now are recorded as well.
    """

    version: str
    since_ms: int
    record_all: bool = False


class StreamRecord(msgspec.Struct, frozen=True):
    """The pool and version at which a stream began.

    The record is needed until `until_ms` of the store's clock.
    """

    pool: str
    version: str
    until_ms: int


class Known(msgspec.Struct, frozen=True):
    """The version of a stream; `source` tells how it is known."""

    version: str
    source: str


class Unknown(msgspec.Struct, frozen=True):
    """The version of a stream is not known, and why."""

    reason: str


class Bases:
    """What a daemon knows of the base versions, last read at `read_s`.

    `change_count` counts the changes.
    """

    __slots__ = ("_by_pool", "change_count", "read_s")

    def __init__(self):
        self._by_pool = {}
        self.change_count = 0
        self.read_s = None

    def replace(self, by_pool, now_s):
        """Replaces all bases, a dict of PoolBase by pool."""
        self._by_pool = dict(by_pool)
        self.change_count += 1
        self.read_s = now_s

    def update(self, changes, now_s):
        """Applies changed bases; None removes one."""
        merged = self._by_pool | changes
        self._by_pool = {
            pool: base for pool, base in merged.items() if base is not None
        }
        self.change_count += bool(changes)
        self.read_s = now_s

    def get(self, pool):
        """Returns the PoolBase of a pool, or None."""
        return self._by_pool.get(pool)

    def needs_record(self, engine, listed_s):
        """Whether a stream that begins at an engine has to be recorded.

        `listed_s` is the instant since which the engine is listed. A base that
        was read before may have been given up for want of such engines.
        """
        base = self._by_pool.get(engine.pool)
        if base is None or base.record_all or listed_s is None:
            return True
        return base.version != engine.version or self.read_s < listed_s


def stream_version(pool, record, base):
    """Returns Known or Unknown for a stream that is taken up.

    `record` and `base` are what was read of it and of its pool, in this order,
    or None.
    """
    if record is not None and record.pool != pool:
        return Unknown("the stream began in another pool")
    if record is not None:
        return Known(record.version, "record")
    if base is None:
        return Unknown("the pool has no base version")
    return Known(base.version, "base")


def version_without_store(
    base, recent_versions, registry_age_s, has_one_version
):
    """Returns Known or Unknown for a stream while the store is out here.

    Known if no daemon knows of engines of a version other than the base.
    `base` is the PoolBase last read, or None; `recent_versions` are those of
    the pool's engines that this daemon knows. `has_one_version` tells whether
    all daemons know no other one either: they may still reach the store.
    """
    if base is None or base.record_all:
        return Unknown("the store is out")
    if set(recent_versions) != {base.version}:
        return Unknown("the store is out and the pool has several versions")
    if registry_age_s is None or registry_age_s > REGISTRY_STALE_S:
        return Unknown("the store is out for long")
    if not has_one_version:
        return Unknown("other daemons may know of another version")
    return Known(base.version, "single version")


class BaseMover:
    """Decides at the hub what the base versions are to be.

    Its methods are called with the engines that the registry lists.
    """

    __slots__ = ("_absent_since_s",)

    def __init__(self):
        self._absent_since_s = {}

    def next_base(self, pool, base, engines, store_ms, now_s):
        """Returns the PoolBase to write in place of `base`, or None.

        `base` is None if the pool has none; `engines` are those of the pool,
        draining ones too; `store_ms` is the store's present time.
        """
        slots = collections.Counter()
        for engine in engines:
            slots[engine.version] += engine.slots
        if not slots:
            return None
        largest = max(slots, key=lambda version: (slots[version], version))
        if base is None:
            return PoolBase(largest, store_ms)
        if base.record_all:
            if store_ms - base.since_ms < RECORD_ALL_S * 1000:
                return None
            return PoolBase(largest, store_ms)
        if base.version in slots:
            self._absent_since_s.pop(pool, None)
            return None
        absent_s = now_s - self._absent_since_s.setdefault(pool, now_s)
        if absent_s < BASE_ABSENT_S:
            return None
        del self._absent_since_s[pool]
        return PoolBase(base.version, store_ms, record_all=True)
