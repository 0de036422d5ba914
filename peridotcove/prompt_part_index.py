"""What engines' prefix caches are expected to hold, for prompts given in parts.

Where requests name the parts of their prompts, the index is exact: an engine has a part
from the grant that made it read it, until its own news or newer parts say otherwise.
"""

from collections import OrderedDict

from attrs import define, field, frozen

# Share of an engine's memory that cached parts are expected to keep; running requests
# use the rest.
CACHE_SHARE = 0.7
# News of an engine say nothing of parts that were granted to it less than this long
# ago in ms: it may not have begun to read them, and its news lag.
NEWS_LAG_MS = 1_500
# Tokens by which a kept part may be smaller than the part: engines keep whole blocks.
ROUNDING_TOKENS = 32


@frozen
class PartLookup:
    """What the index knows of one prompt.

    Attributes
    ----------
    blocks : float
        Size of the prompt in blocks.
    pairs : tuple
        Hash of each part and its size in tokens, in order, each as ``(size, hash)``.
    blocks_by_engine : dict
        Blocks expected in the cache of each engine that has any.
    """

    blocks: float
    pairs: tuple
    blocks_by_engine: dict


@define
class _Part:
    tokens: int
    granted_ms: int


@define
class _Cache:
    size: float
    incarnation: int
    part_by_key: OrderedDict = field(factory=OrderedDict)
    held: int = 0


class PromptPartIndex:
    """Expected contents of the caches of a shard's engines.

    Parameters
    ----------
    block_tokens : int
        Tokens per block, in which sizes are told.
    """

    def __init__(self, block_tokens):
        self._block_tokens = block_tokens
        self._cache_by_engine = {}
        self._engines_by_key = {}

    def set_engines(self, engines):
        """Set which engines there are; one that was started anew holds nothing.

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
                cache.size = size
            else:
                cache = _Cache(size, engine.incarnation)
            self._cache_by_engine[engine.name] = cache
        for name, cache in known.items():
            for key in cache.part_by_key:
                self._forget(key, name)

    def look_up(self, keys, ends):
        """Return what is expected of a prompt.

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
            whole = set()
            for name in holders & self._engines_by_key.get(key, frozenset()):
                kept = self._cache_by_engine[name].part_by_key[key].tokens
                tokens_by_engine[name] = start + min(kept, size)
                if kept >= size - ROUNDING_TOKENS:
                    whole.add(name)
            holders = whole
            if not holders:
                break
        block = self._block_tokens
        return PartLookup(
            ends[-1] / block if ends else 0.0,
            tuple(zip(sizes, keys, strict=False)),
            {name: tokens / block for name, tokens in tokens_by_engine.items()},
        )

    def record(self, lookup, engine, now_ms):
        """Take in that a prompt goes to an engine.

        Parameters
        ----------
        lookup : PartLookup
            What `look` returned for the prompt.
        engine : str
            Name of the engine.
        now_ms : int
            Wall time in ms.
        """
        cache = self._cache_by_engine.get(engine)
        if cache is None:
            return
        # The first part is the newest, so that no part outlives those before it.
        for tokens, key in reversed(lookup.pairs):
            self._put(engine, cache, key, tokens, now_ms)
        self._make_room(engine, cache)

    def apply(self, event, now_ms):
        """Take an engine's news of its cache.

        Parameters
        ----------
        event : CacheEvent
            The news; stored pairs hold the hash of a part and the tokens kept.
        now_ms : int
            Wall time in ms.
        """
        cache = self._cache_by_engine.get(event.engine)
        if cache is None:
            return
        kept = {key for key, _ in event.stored}
        if event.full:
            removed = [key for key in cache.part_by_key if key not in kept]
        else:
            removed = [key for key in event.removed if key in cache.part_by_key]
        for key in removed:
            if now_ms - cache.part_by_key[key].granted_ms >= NEWS_LAG_MS:
                cache.held -= cache.part_by_key.pop(key).tokens
                self._forget(key, event.engine)
        for key, tokens in event.stored:
            part = cache.part_by_key.get(key)
            if part is None or now_ms - part.granted_ms >= NEWS_LAG_MS:
                self._put(event.engine, cache, key, tokens, 0)
        self._make_room(event.engine, cache)

    def _put(self, engine, cache, key, tokens, granted_ms):
        part = cache.part_by_key.get(key)
        if part is None:
            self._engines_by_key.setdefault(key, set()).add(engine)
        else:
            cache.held -= part.tokens
        cache.held += tokens
        cache.part_by_key[key] = _Part(tokens, granted_ms)
        cache.part_by_key.move_to_end(key)

    def _make_room(self, engine, cache):
        while cache.held > cache.size and cache.part_by_key:
            key, part = cache.part_by_key.popitem(last=False)
            cache.held -= part.tokens
            self._forget(key, engine)

    def _forget(self, key, engine):
        holders = self._engines_by_key[key]
        holders.discard(engine)
        if not holders:
            del self._engines_by_key[key]
