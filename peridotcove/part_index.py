"""What engines' prefix caches are expected to hold, for prompts given in parts.

Where requests name the parts of their prompts, the index is exact: an engine has a part
from the grant that made it read it, until newer parts have taken its memory.
"""

from collections import OrderedDict

from attrs import define, field, frozen

# Share of an engine's memory that cached parts are expected to keep; running requests
# use the rest.
CACHE_SHARE = 0.7


@frozen
class PartLookup:
    """What the index knows of one prompt.

    Attributes
    ----------
    blocks : float
        Size of the prompt in blocks.
    pairs : tuple
        End in blocks and hash of each prefix of whole parts, ascending.
    blocks_by_engine : dict
        Blocks expected in the cache of each engine that has any.
    """

    blocks: float
    pairs: tuple
    blocks_by_engine: dict


@define
class _Cache:
    size: float
    incarnation: int
    blocks_by_key: OrderedDict = field(factory=OrderedDict)
    held: float = 0.0


class PartIndex:
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
            size = engine.cache_tokens * CACHE_SHARE / self._block_tokens
            cache = known.pop(engine.name, None)
            if cache is not None and cache.incarnation != engine.incarnation:
                known[engine.name] = cache
                cache = None
            if cache is None:
                cache = _Cache(size, engine.incarnation)
            cache.size = size
            self._cache_by_engine[engine.name] = cache
        for name, cache in known.items():
            for key in cache.blocks_by_key:
                self._forget(key, name)

    def look(self, keys, ends):
        """Return what is expected of a prompt.

        Parameters
        ----------
        keys : tuple of int
            Hash of each prefix of whole parts, shortest first.
        ends : tuple of int
            Tokens of each of these prefixes.
        """
        pairs = tuple(
            (end / self._block_tokens, key)
            for end, key in zip(ends, keys, strict=False)
        )
        blocks_by_engine = {}
        holders = self._cache_by_engine.keys()
        for depth, key in pairs:
            holders = holders & self._engines_by_key.get(key, frozenset())
            if not holders:
                break
            for name in holders:
                blocks_by_engine[name] = depth
        return PartLookup(pairs[-1][0] if pairs else 0.0, pairs, blocks_by_engine)

    def record(self, lookup, engine, wall_ms):
        """Take in that a prompt goes to an engine.

        Parameters
        ----------
        lookup : PartLookup
            What `look` returned for the prompt.
        engine : str
            Name of the engine.
        wall_ms : int
            Not used; as of `peridotcove.cache_index.CacheIndex`.
        """
        cache = self._cache_by_engine.get(engine)
        if cache is None:
            return
        starts = (0.0, *(depth for depth, _ in lookup.pairs))
        sized = [
            (key, depth - start)
            for (depth, key), start in zip(lookup.pairs, starts, strict=False)
        ]
        # The first part is the newest, so that no part outlives those before it.
        for key, blocks in reversed(sized):
            if key not in cache.blocks_by_key:
                cache.held += blocks
                self._engines_by_key.setdefault(key, set()).add(engine)
            cache.blocks_by_key[key] = blocks
            cache.blocks_by_key.move_to_end(key)
        while cache.held > cache.size and cache.blocks_by_key:
            key, blocks = cache.blocks_by_key.popitem(last=False)
            cache.held -= blocks
            self._forget(key, engine)

    def _forget(self, key, engine):
        holders = self._engines_by_key[key]
        holders.discard(engine)
        if not holders:
            del self._engines_by_key[key]
