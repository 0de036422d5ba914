"""What the prefix caches of a shard's engines are expected to hold.

The index learns from grants, from what engines say they reused, and from their cache
events. Each engine has a clock that counts the blocks which entered its cache; an entry
older than the engine's reach is taken as evicted. A gap in the events makes older
entries doubtful, and a full list brings them back.
"""

from array import array
from bisect import bisect_right
from collections import deque

from attrs import define, field

from peridotcove.compact_table import CompactTable
from peridotcove.prefix_hashes import LADDER, select_depths

CHARS_PER_TOKEN = 4
DOUBT_SHARE = 0.5
MISS_FACTOR = 0.97
HIT_FACTOR = 1.01
LOWEST_REACH = 0.2
HIGHEST_REACH = 1.5
LEAST_BLOCKS = 4
MARK_MS = 1_000
MAX_MARKS = 16
MAX_WIDE = 1024
WIDE_LOOKS = 1
OLDER_BLOCKS = 16
SAMPLE_MASK = 3
MIN_SLOTS = 4_096
MAX_SLOTS = 1 << 19
BLOCKS_PER_SLOT = 4

CLOCK_MASK = 0xFFFF_FFFF
MAX_AGE = 1 << 31
DEPTH_SHIFT = 32
DEPTH_MASK = 0xFFFF
ENGINE_SHIFT = 48
ENGINE_MASK = 0xFFF
LEAF_BIT = 1 << 60
SET_BIT = 1 << 61

RUNGS = frozenset(LADDER)


@define
class _Cache:
    number: int
    size: int
    reach: float
    clock: int = 1
    floor: int = 0
    doubt: int = 0
    horizon: float = 0.0
    sequence: int | None = None
    marks: deque = field(factory=lambda: deque(maxlen=MAX_MARKS))


@define
class Lookup:
    """What the index knows of one chat.

    Attributes
    ----------
    blocks : int
        Whole blocks of the chat.
    pairs : tuple
        Depths in blocks and prefix hashes, ascending.
    blocks_by_engine : dict
        Blocks expected in the cache of each engine that has any.
    """

    blocks: int
    pairs: tuple
    blocks_by_engine: dict
    _age_by_engine: dict
    _leaf_by_engine: dict
    _rungs: list


class CacheIndex:
    """Expected contents of the caches of a shard's engines.

    Parameters
    ----------
    block_chars : int
        Characters per block.
    """

    def __init__(self, block_chars):
        self._block_chars = block_chars
        self._cache_by_engine = {}
        self._engine_by_number = []
        self._wide = {}
        self._table = CompactTable(MIN_SLOTS, self._age)

    def set_engines(self, engines):
        """Set which engines there are; what is known of one that returns is kept.

        Parameters
        ----------
        engines : iterable of Engine
            The engines.
        """
        for engine in engines:
            size = engine.cache_tokens * CHARS_PER_TOKEN // self._block_chars
            cache = self._cache_by_engine.get(engine.name)
            if cache is None:
                self._forget_if_full()
                number = len(self._engine_by_number)
                cache = _Cache(number, size, float(size))
                _follow(cache)
                self._cache_by_engine[engine.name] = cache
                self._engine_by_number.append((engine.name, cache))
            elif cache.size != size:
                cache.size = size
                cache.reach = float(size)
                _follow(cache)
        total = sum(cache.size for cache in self._cache_by_engine.values())
        slots = max(MIN_SLOTS, min(MAX_SLOTS, total // BLOCKS_PER_SLOT))
        self._table.limit(slots)

    def _forget_if_full(self):
        if len(self._engine_by_number) > ENGINE_MASK:
            self._cache_by_engine.clear()
            self._engine_by_number.clear()
            self._wide.clear()
            self._table = CompactTable(MIN_SLOTS, self._age)

    def __len__(self):
        return sum(1 for value in self._table.values() if value & LEAF_BIT)

    @property
    def slots(self):
        """Slots of memory allotted; see `peridotcove.compact_table.SLOT_BYTES`."""
        return self._table.slots

    def _age(self, value):
        _, cache = self._engine_by_number[(value >> ENGINE_SHIFT) & ENGINE_MASK]
        age = (cache.clock - value) & CLOCK_MASK
        return age / (cache.reach + 1)

    def look_up(self, prefixes, blocks=0):
        """Return what is expected of a chat.

        Parameters
        ----------
        prefixes : tuple of int
            Hashes of the chat's prefixes, shortest first.
        blocks : int
            Whole blocks of the chat; 0 if `prefixes` holds all.
        """
        if blocks:
            pairs = tuple(zip(select_depths(blocks), prefixes, strict=False))
        else:
            blocks = len(prefixes)
            depths = select_depths(blocks)
            pairs = tuple([(depth, prefixes[depth - 1]) for depth in depths])
        lookup = Lookup(blocks, pairs, {}, {}, {}, [])
        rungs = lookup._rungs
        wide = self._wide
        get = self._table.get
        left = WIDE_LOOKS
        lowest = 0
        for depth, key in reversed(pairs):
            stamp_by_number = wide.get(key)
            if stamp_by_number is not None:
                rungs.append((depth, key, 0))
                if left:
                    left -= 1
                    self._match_wide(lookup, depth, key, stamp_by_number)
                continue
            if depth < lowest and depth not in RUNGS:
                continue
            value = get(key)
            if not value:
                continue
            self._match(lookup, depth, key, value)
            if value & LEAF_BIT:
                lowest = lowest or depth - OLDER_BLOCKS
            elif depth in RUNGS:
                rungs.append((depth, key, value))
        return lookup

    def _match_wide(self, lookup, depth, key, stamp_by_number):
        found = lookup.blocks_by_engine
        engines = self._engine_by_number
        for number, stamp in enumerate(stamp_by_number):
            name, cache = engines[number]
            age = (cache.clock - stamp) & CLOCK_MASK
            if stamp and age < cache.horizon and name not in found:
                self._enter(lookup, depth, key, name, cache, age)

    def _match(self, lookup, depth, key, value):
        number = (value >> ENGINE_SHIFT) & ENGINE_MASK
        name, cache = self._engine_by_number[number]
        age = (cache.clock - value) & CLOCK_MASK
        if age < cache.horizon and name not in lookup.blocks_by_engine:
            self._enter(lookup, depth, key, name, cache, age)
            lookup._leaf_by_engine[name] = key if value & LEAF_BIT else 0

    def _enter(self, lookup, depth, key, name, cache, age):
        doubtful = age >= (cache.clock - cache.doubt) & CLOCK_MASK
        lookup.blocks_by_engine[name] = depth * DOUBT_SHARE if doubtful else depth
        lookup._age_by_engine[name] = age

    def record(self, lookup, engine, wall_ms):
        """Take in that a chat goes to an engine.

        Parameters
        ----------
        lookup : Lookup
            What `look` returned for the chat.
        engine : str
            Name of the engine.
        wall_ms : int
            Wall time in ms.
        """
        cache = self._cache_by_engine.get(engine)
        if cache is None or not lookup.pairs:
            return
        self._advance(cache, lookup, engine, wall_ms)
        old_leaf = lookup._leaf_by_engine.get(engine, 0)
        leaf_depth, leaf = lookup.pairs[-1]
        if old_leaf and old_leaf != leaf:
            self._table.remove(old_leaf)
        stamp = _pack(cache, leaf_depth) | LEAF_BIT
        known = self._table.get(leaf)
        if known and not known & LEAF_BIT or leaf in self._wide:
            self._touch(leaf, known, cache, leaf_depth)
        else:
            self._table.put(leaf, stamp)
        number, clock = cache.number, cache.clock
        for depth, key, value in lookup._rungs:
            stamps = self._wide.get(key)
            if stamps is not None:
                _stamp(stamps, number, clock)
            elif key != leaf:
                self._touch(key, value, cache, depth)
        if not old_leaf and not leaf & SAMPLE_MASK:
            self._extend(lookup, cache)

    def _advance(self, cache, lookup, engine, wall_ms):
        cached = int(lookup.blocks_by_engine.get(engine, 0))
        entered = lookup.blocks - cached
        if cached:
            age = lookup._age_by_engine[engine]
            entered += int(cached * age / (cache.reach + 1))
        if not cache.marks or wall_ms - cache.marks[-1][0] >= MARK_MS:
            cache.marks.append((wall_ms, cache.clock))
        cache.clock = (cache.clock + max(1, entered)) & CLOCK_MASK
        _follow(cache)

    def _touch(self, key, value, cache, depth):
        stamp_by_number = self._wide.get(key)
        if stamp_by_number is not None:
            _stamp(stamp_by_number, cache.number, cache.clock)
            return
        number = (value >> ENGINE_SHIFT) & ENGINE_MASK
        if number == cache.number:
            self._table.put(key, _pack(cache, depth) | (value & LEAF_BIT))
            return
        self._table.remove(key)
        if len(self._wide) >= MAX_WIDE:
            del self._wide[next(iter(self._wide))]
        stamps = array("Q")
        _stamp(stamps, number, value & CLOCK_MASK)
        _stamp(stamps, cache.number, cache.clock)
        self._wide[key] = stamps

    def _extend(self, lookup, cache):
        deepest = lookup._rungs[0][0] if lookup._rungs else 0
        for depth, key in lookup.pairs[:-1]:
            if depth > deepest and depth in RUNGS:
                self._table.put(key, _pack(cache, depth))
                return

    def confirm(self, engine, expected, reused):
        """Compare what an engine reused with what was expected.

        Parameters
        ----------
        engine : str
            Name of the engine.
        expected, reused : int
            Blocks.
        """
        cache = self._cache_by_engine.get(engine)
        if cache is None or expected < LEAST_BLOCKS:
            return
        if reused < expected / 2:
            cache.reach = max(cache.reach * MISS_FACTOR, cache.size * LOWEST_REACH)
        else:
            cache.reach = min(cache.reach * HIT_FACTOR, cache.size * HIGHEST_REACH)
        _follow(cache)

    def apply(self, event):
        """Take an engine's cache event, which may be late or follow a gap.

        Parameters
        ----------
        event : CacheEvent
            The event; an old or doubled one is ignored.
        """
        cache = self._cache_by_engine.get(event.engine)
        if cache is None:
            return
        if cache.sequence is not None and event.sequence <= cache.sequence:
            return
        gap = cache.sequence is not None and event.sequence != cache.sequence + 1
        cache.sequence = event.sequence
        then = self._clock_at(cache, event.at_ms)
        cache.clock = (cache.clock + 1) & CLOCK_MASK
        if event.full:
            cache.floor = cache.doubt = then
        elif gap:
            cache.doubt = then
        _follow(cache)
        for key in event.removed:
            self._remove(key, cache, then)
        for key, depth in event.stored:
            self._store(key, depth, cache)

    def _clock_at(self, cache, at_ms):
        place = bisect_right(cache.marks, at_ms, key=lambda mark: mark[0])
        if place == len(cache.marks):
            return cache.clock
        return cache.marks[place][1]

    def _remove(self, key, cache, then):
        value = self._table.get(key)
        number = (value >> ENGINE_SHIFT) & ENGINE_MASK
        if value and number == cache.number and _not_after(value, then, cache):
            self._table.remove(key)
        stamps = self._wide.get(key, ())
        known = cache.number < len(stamps) and stamps[cache.number]
        if known and _not_after(known, then, cache):
            stamps[cache.number] = 0

    def _store(self, key, depth, cache):
        value = self._table.get(key)
        if value or key in self._wide:
            self._touch(key, value, cache, depth)
        else:
            self._table.put(key, _pack(cache, depth) | LEAF_BIT)


def _follow(cache):
    # Keeps the floor and the doubt within half a turn of the clock.
    oldest = (cache.clock - MAX_AGE) & CLOCK_MASK
    if (cache.clock - cache.floor) & CLOCK_MASK > MAX_AGE:
        cache.floor = oldest
    if (cache.clock - cache.doubt) & CLOCK_MASK > MAX_AGE:
        cache.doubt = oldest
    # Entries of this age or older are not expected in the cache any more.
    cache.horizon = min(cache.reach + 1, (cache.clock - cache.floor) & CLOCK_MASK)


def _pack(cache, depth):
    depth = min(depth, DEPTH_MASK)
    engine = cache.number << ENGINE_SHIFT
    return SET_BIT | engine | depth << DEPTH_SHIFT | cache.clock


def _stamp(stamp_by_number, number, clock):
    missing = number + 1 - len(stamp_by_number)
    if missing > 0:
        stamp_by_number.extend([0] * missing)
    stamp_by_number[number] = SET_BIT | clock


def _not_after(stamp, then, cache):
    return (cache.clock - stamp) & CLOCK_MASK >= (cache.clock - then) & CLOCK_MASK
