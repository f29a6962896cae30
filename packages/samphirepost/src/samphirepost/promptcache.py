"""Infers which parts of prompts the engines hold, and weighs their reuse.

An engine reuses a part of a prompt if it still holds it and all parts before
it. The hub infers what an engine holds from its own grants: the parts of
running requests, and those that were read last, as far as the engine's memory
goes. The knowledge is lost with the engine's incarnation.
"""

import collections
import hashlib

from samphirepost import slotmessages

# Parts of a prompt, from its beginning, that may be reused.
CHAIN_MAX = 16
# Longest id of a part in messages, in characters.
ID_LENGTH_MAX = 16
# Kept parts of one engine that are remembered.
KEPT_PARTS_MAX = 1024
# Holders of a part that are compared in one choice.
HOLDERS_COMPARED_MAX = 64
# Tokens of a prompt that an engine of median speed reads in a second.
READ_TOKENS_PER_S = 70_000.0
# Time (s) that one more free slot at the median speed is worth: the engine
# takes that much longer for a step with one request less than full.
ROOM_S = 0.004
# Time (s) that an engine of the request's own zone is worth.
ZONE_S = 0.001


class Prompt:
    """The prompt of a request, as far as engines may reuse it.

    `keys` stand for its parts, each together with all parts before it, and
    `tokens` has the tokens of each. A request holds `total` tokens: its prompt
    and its output.
    """

    __slots__ = ("keys", "prompt_total", "tokens", "total")

    def __init__(self, parts, output_tokens):
        self.prompt_total = sum(part.tokens for part in parts)
        self.total = self.prompt_total + output_tokens
        keys = []
        key = 0
        for part in parts[:CHAIN_MAX]:
            key = hash((key, part.id, part.tokens))
            keys.append(key)
        self.keys = tuple(keys)
        self.tokens = tuple(part.tokens for part in parts[:CHAIN_MAX])


def shortened(parts):
    """Returns the PromptParts as messages between daemons have them.

    A report with the prompts of many items has to fit into a datagram: long
    ids are replaced by digests, and the parts at the end are joined.
    """
    kept = [
        slotmessages.PromptPart(_short_id(part.id), part.tokens)
        for part in parts[: CHAIN_MAX - 1]
    ]
    rest = parts[CHAIN_MAX - 1 :]
    if rest:
        name = ",".join(part.id for part in rest)
        tokens = sum(part.tokens for part in rest)
        kept.append(slotmessages.PromptPart(_short_id(name), tokens))
    return tuple(kept)


def _short_id(part_id):
    if len(part_id) <= ID_LENGTH_MAX:
        return part_id
    data = part_id.encode(errors="surrogateescape")
    return hashlib.blake2b(data, digest_size=ID_LENGTH_MAX // 2).hexdigest()


def tokens_needed(req):
    """Returns the tokens that a request holds while it runs.

    `req` is a slotmessages.SlotRequest or WantedSlot. Returns 0 for one
    without a prompt, whose tokens are unknown.
    """
    return tokens_held(req.prompt, req.output_tokens)


def tokens_held(parts, output_tokens):
    """Returns the tokens of a prompt's parts and its output; 0 if unknown."""
    if not parts:
        return 0
    return sum(part.tokens for part in parts) + output_tokens


class _Part:
    """A part that an engine holds.

    `refs` counts the running requests that have it. It `was_read` once a
    request with it has ended that was sent to the engine.
    """

    __slots__ = ("refs", "tokens", "was_read")

    def __init__(self, tokens):
        self.tokens = tokens
        self.refs = 0
        self.was_read = False


class EngineCache:
    """What one incarnation of an engine holds.

    `kv_tokens` is the size of its memory, 0 if unknown: then only the parts
    of running requests count. `index` has the ids of the engines that hold a
    part, by its key.
    """

    __slots__ = (
        "_engine",
        "_held",
        "_index",
        "_is_dropped",
        "_kept",
        "_kept_tokens",
        "engine_id",
        "kv_tokens",
        "running_tokens",
    )

    def __init__(self, engine, index, kv_tokens):
        self.engine_id = engine.id
        self._engine = engine
        self.kv_tokens = kv_tokens
        self.running_tokens = 0
        self._index = index
        self._is_dropped = False
        self._held = {}
        # Parts that no running request has, the least recently used first. A
        # part comes after those that follow it, so that these go first.
        self._kept = collections.OrderedDict()
        self._kept_tokens = 0

    def is_of(self, engine):
        """Whether a roster.Engine is the incarnation, and may hold this."""
        known = self._engine
        return known is engine or (
            known.started_ms == engine.started_ms
            and known.version == engine.version
            and known.pool == engine.pool
        )

    @property
    def tokens(self):
        """The tokens of running requests and of kept parts."""
        return self.running_tokens + self._kept_tokens

    def fits(self, needed):
        """Whether a request with so many tokens fits beside those running."""
        if not needed or not self.kv_tokens:
            return True
        return self.running_tokens + needed <= self.kv_tokens

    def reused_tokens(self, prompt):
        """Returns the tokens of a Prompt that need not be read again."""
        found = 0
        for key, tokens in zip(prompt.keys, prompt.tokens, strict=True):
            if key not in self._held and key not in self._kept:
                break
            found += tokens
        return found

    def hold(self, prompt):
        """Adds the Prompt of a request that starts."""
        self.running_tokens += prompt.total
        for key, tokens in zip(prompt.keys, prompt.tokens, strict=True):
            part = self._held.get(key)
            if part is None:
                part = self._take_kept(key) or self._new_part(key, tokens)
                self._held[key] = part
            part.refs += 1
        self._evict()

    def _take_kept(self, key):
        part = self._kept.pop(key, None)
        if part is not None:
            self._kept_tokens -= part.tokens
        return part

    def _new_part(self, key, tokens):
        self._index.setdefault(key, set()).add(self.engine_id)
        return _Part(tokens)

    def release(self, prompt, is_unused):
        """Keeps the parts of a request that ends.

        If `is_unused`, it was never sent to the engine.
        """
        if self._is_dropped:
            return
        self.running_tokens -= prompt.total
        for key in reversed(prompt.keys):
            part = self._held[key]
            part.refs -= 1
            part.was_read |= not is_unused
            if part.refs:
                continue
            del self._held[key]
            if part.was_read and self.kv_tokens:
                self._kept[key] = part
                self._kept_tokens += part.tokens
            else:
                self._forget(key)
        self._evict()

    def resize(self, kv_tokens):
        """Sets the size of the memory."""
        if kv_tokens != self.kv_tokens:
            self.kv_tokens = kv_tokens
            self._evict()

    def drop(self):
        """Drops all knowledge, as the incarnation has ended."""
        for key in (*self._held, *self._kept):
            self._forget(key)
        self._is_dropped = True

    def _evict(self):
        while self._kept and (
            self.tokens > self.kv_tokens or len(self._kept) > KEPT_PARTS_MAX
        ):
            key, part = self._kept.popitem(last=False)
            self._kept_tokens -= part.tokens
            self._forget(key)

    def _forget(self, key):
        holders = self._index[key]
        holders.discard(self.engine_id)
        if not holders:
            del self._index[key]


class Hold:
    """The Prompt of one running request at an EngineCache.

    `is_unused` if its grant was given back.
    """

    __slots__ = ("_cache", "_prompt", "is_unused")

    def __init__(self, cache, prompt):
        self._cache = cache
        self._prompt = prompt
        self.is_unused = False
        cache.hold(prompt)

    def release(self):
        """Records the end of the request."""
        self._cache.release(self._prompt, self.is_unused)


class PromptCaches:
    """What all engines hold, kept by the hub.

    `prompt_tokens` counts the tokens of granted prompts, `reused_tokens` those
    of them that the engine was expected to hold.
    """

    __slots__ = (
        "_caches",
        "_indexes",
        "_kv_tokens",
        "prompt_tokens",
        "reused_tokens",
    )

    def __init__(self):
        self._caches = {}
        self._indexes = collections.defaultdict(dict)
        self._kv_tokens = {}
        self.prompt_tokens = 0
        self.reused_tokens = 0

    def set_engines(self, pool, engines, kv_tokens):
        """Sets the engines of a pool, each with a memory of `kv_tokens`.

        What ended incarnations held is dropped; remove() drops engines that
        are no longer listed.
        """
        self._kv_tokens[pool] = kv_tokens
        for engine in engines:
            cache = self._caches.get(engine.id)
            if cache is not None and cache.is_of(engine):
                cache.resize(kv_tokens)
                continue
            self.remove(engine.id)
            self._caches[engine.id] = EngineCache(
                engine, self._indexes[pool], kv_tokens
            )

    def remove(self, engine_id):
        """Drops what an engine held that left its pool."""
        cache = self._caches.pop(engine_id, None)
        if cache is not None:
            cache.drop()

    def may_fit(self, pool, needed):
        """Whether a request fits into the memory of an idle engine."""
        kv_tokens = self._kv_tokens.get(pool, 0)
        return not kv_tokens or needed <= kv_tokens

    def fits(self, engine_id, needed):
        """Whether a request fits beside those that run at an engine."""
        cache = self._caches.get(engine_id)
        return cache is None or cache.fits(needed)

    def start(self, engine_id, req):
        """Records a grant; returns its Hold, or None without a prompt."""
        cache = self._caches.get(engine_id)
        if cache is None or not req.prompt:
            return None
        prompt = Prompt(req.prompt, req.output_tokens)
        self.prompt_tokens += prompt.prompt_total
        self.reused_tokens += cache.reused_tokens(prompt)
        return Hold(cache, prompt)

    def start_reported(self, engine_id, tokens):
        """Records a run that this hub has not granted; returns its Hold.

        It holds so many tokens, of parts that are not known. Returns None if
        the tokens or the engine are not known.
        """
        cache = self._caches.get(engine_id)
        if cache is None or not tokens:
            return None
        return Hold(cache, Prompt((), tokens))

    def choose(self, req, engine, view, is_allowed, zone):
        """Returns an engine for a request, by what it holds of its prompt.

        `engine` is the one with the most room of a poolview.PoolView; another
        one must be allowed and have a free slot too. It is chosen only if the
        time that it saves is worth more than what it has less of room, and
        another zone.
        """
        index = self._indexes[engine.pool]
        if not req.prompt or not index:
            return engine
        prompt = Prompt(req.prompt, req.output_tokens)
        best = engine
        best_s = self._worth_s(engine, prompt, view, zone)
        for engine_id in _holders(index, prompt, view, is_allowed, zone):
            other = view.engines.get(engine_id)
            if other is None or not view.free(engine_id):
                continue
            other_s = self._worth_s(other, prompt, view, zone)
            if other_s > best_s and is_allowed(engine_id):
                best, best_s = other, other_s
        return best

    def _worth_s(self, engine, prompt, view, zone):
        """Returns what an engine is worth to a request, as time (s)."""
        cache = self._caches.get(engine.id)
        reused = cache.reused_tokens(prompt) if cache else 0
        unread = prompt.prompt_total - reused
        read_s = unread / (READ_TOKENS_PER_S * view.speeds.of(engine.id))
        zone_s = ZONE_S if engine.zone == zone else 0.0
        return view.room(engine.id) * ROOM_S + zone_s - read_s


def _holders(index, prompt, view, is_allowed, zone):
    """Yields engines that hold parts of a Prompt, the most parts first.

    There are HOLDERS_COMPARED_MAX at most; of a part that more engines hold,
    only the one with the most room.
    """
    count = 0
    seen = set()
    for key in reversed(prompt.keys):
        holders = index.get(key, ())
        if len(holders) > HOLDERS_COMPARED_MAX:
            found = _roomiest(holders, view, is_allowed, zone)
            if found is not None:
                yield found.id
            return
        for engine_id in holders:
            if engine_id in seen:
                continue
            if count >= HOLDERS_COMPARED_MAX:
                return
            count += 1
            seen.add(engine_id)
            yield engine_id


def _roomiest(holders, view, is_allowed, zone):
    return view.most_free(
        lambda engine_id: engine_id in holders and is_allowed(engine_id), zone
    )
