"""Index of the expected contents of engines' prefix caches, for prompts in parts.

Requests that name the parts of their prompts allow an exact index: an engine holds a
part from the grant that makes it prefill the part, until a cache event of the engine or
newer parts evict it.
"""

from collections import OrderedDict

from attrs import define, field, frozen

# Share of an engine's cache memory that is available to cached parts; running requests
# use the rest.
CACHE_SHARE = 0.7
# Cache events are ignored for parts granted less than this time ago: the engine may not
# have begun to prefill them, and its events arrive with a delay.
EVENT_LAG_MS = 1_500
# Tokens that may be missing from a part that counts as fully cached, because engines
# cache whole blocks.
BLOCK_ROUNDING_TOKENS = 32


@frozen
class PartLookup:
    """Result of a lookup for one prompt.

    Attributes
    ----------
    blocks : float
        Size of the prompt in blocks.
    pairs : tuple
        Size in tokens and hash of each part, in the order of the prompt.
    blocks_by_engine : dict
        Expected number of cached blocks by engine; engines without any are absent.
    """

    blocks: float
    pairs: tuple
    blocks_by_engine: dict


@define
class _CachedPart:
    tokens: int
    granted_ms: int


@define
class _Cache:
    capacity_tokens: float
    incarnation: int
    part_by_key: OrderedDict = field(factory=OrderedDict)
    cached_tokens: int = 0


class PromptPartIndex:
    """Expected contents of the caches of a shard's engines.

    Parameters
    ----------
    block_tokens : int
        Tokens per block, the unit of the sizes in a `PartLookup`.
    """

    def __init__(self, block_tokens):
        self._block_tokens = block_tokens
        self._cache_by_engine = {}
        self._engines_by_key = {}

    def set_engines(self, engines):
        """Set the engines; an engine that was restarted starts with an empty cache.

        Parameters
        ----------
        engines : iterable of Engine
            The engines.
        """
        known, self._cache_by_engine = self._cache_by_engine, {}
        for engine in engines:
            size = engine.cache_tokens * CACHE_SHARE
            cache = known.get(engine.name)
            if cache is not None and cache.incarnation == engine.incarnation:
                del known[engine.name]
                cache.capacity_tokens = size
            else:
                cache = _Cache(size, engine.incarnation)
            self._cache_by_engine[engine.name] = cache
        for name, cache in known.items():
            for key in cache.part_by_key:
                self._remove_engine(key, name)

    def look_up(self, keys, ends):
        """Return the expected cache contents for a prompt.

        Parameters
        ----------
        keys : tuple of int
            Hash of each part.
        ends : tuple of int
            Tokens from the start of the prompt to the end of each part.
        """
        starts = (0, *ends)
        sizes = [end - start for start, end in zip(starts, ends, strict=False)]
        tokens_by_engine = {}
        holders = self._cache_by_engine.keys()
        for key, start, size in zip(keys, starts, sizes, strict=False):
            fully_cached = set()
            for name in holders & self._engines_by_key.get(key, frozenset()):
                cached = self._cache_by_engine[name].part_by_key[key].tokens
                tokens_by_engine[name] = start + min(cached, size)
                if cached >= size - BLOCK_ROUNDING_TOKENS:
                    fully_cached.add(name)
            holders = fully_cached
            if not holders:
                break
        block = self._block_tokens
        return PartLookup(
            ends[-1] / block if ends else 0.0,
            tuple(zip(sizes, keys, strict=False)),
            {name: tokens / block for name, tokens in tokens_by_engine.items()},
        )

    def record(self, lookup, engine, now_ms):
        """Record that a prompt is sent to an engine.

        Parameters
        ----------
        lookup : PartLookup
            Result of the lookup for the prompt.
        engine : str
            Name of the engine.
        now_ms : int
            Wall time in ms.
        """
        cache = self._cache_by_engine.get(engine)
        if cache is None:
            return
        # The first part becomes the most recent, so that no part stays in the index
        # longer than the parts before it: without these it can't be reused.
        for tokens, key in reversed(lookup.pairs):
            self._put_part(engine, cache, key, tokens, now_ms)
        self._evict(engine, cache)

    def apply_event(self, event, now_ms):
        """Apply an engine's cache event.

        Parameters
        ----------
        event : CacheEvent
            The event; its stored pairs are the hash of a part and the cached tokens.
        now_ms : int
            Wall time in ms.
        """
        cache = self._cache_by_engine.get(event.engine)
        if cache is None:
            return
        cached = {key for key, _ in event.stored}
        if event.full:
            removed = [key for key in cache.part_by_key if key not in cached]
        else:
            removed = [key for key in event.removed if key in cache.part_by_key]
        for key in removed:
            if now_ms - cache.part_by_key[key].granted_ms >= EVENT_LAG_MS:
                cache.cached_tokens -= cache.part_by_key.pop(key).tokens
                self._remove_engine(key, event.engine)
        for key, tokens in event.stored:
            part = cache.part_by_key.get(key)
            if part is None or now_ms - part.granted_ms >= EVENT_LAG_MS:
                self._put_part(event.engine, cache, key, tokens, 0)
        self._evict(event.engine, cache)

    def _put_part(self, engine, cache, key, tokens, granted_ms):
        part = cache.part_by_key.get(key)
        if part is None:
            self._engines_by_key.setdefault(key, set()).add(engine)
        else:
            cache.cached_tokens -= part.tokens
        cache.cached_tokens += tokens
        cache.part_by_key[key] = _CachedPart(tokens, granted_ms)
        cache.part_by_key.move_to_end(key)

    def _evict(self, engine, cache):
        while cache.cached_tokens > cache.capacity_tokens and cache.part_by_key:
            key, part = cache.part_by_key.popitem(last=False)
            cache.cached_tokens -= part.tokens
            self._remove_engine(key, engine)

    def _remove_engine(self, key, engine):
        holders = self._engines_by_key[key]
        holders.discard(engine)
        if not holders:
            del self._engines_by_key[key]
