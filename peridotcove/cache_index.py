"""Index of the expected contents of the prefix caches of a shard's engines.

The index is updated from grants, from the reuse that engines report, and from their
cache events. Each engine has a logical clock that counts the blocks which entered its
cache. An entry older than the engine's retention, which is counted in blocks too, is
assumed to be evicted. After a gap in the events, older entries are uncertain until the
engine sends a full list.
"""

from array import array
from bisect import bisect_right
from collections import deque

from attrs import define, field

from peridotcove.compact_table import CompactTable
from peridotcove.prefix_hashes import SHARED_DEPTHS, select_depths

CHARS_PER_TOKEN = 4
# Share of the blocks of an uncertain entry that is counted as cached.
UNCERTAIN_SHARE = 0.5
# Factors on the retention of an engine that reused less than half of the expected
# blocks, or more, and the bounds of the retention as multiples of the cache size.
RETENTION_MISS_FACTOR = 0.97
RETENTION_HIT_FACTOR = 1.01
MIN_RETENTION_FACTOR = 0.2
MAX_RETENTION_FACTOR = 1.5
# The retention is not adjusted when fewer blocks were expected.
MIN_EXPECTED_BLOCKS = 4
# Samples of an engine's logical clock, to find its value at the time of an event.
CLOCK_SAMPLE_MS = 1_000
MAX_CLOCK_SAMPLES = 16
# Limit of the prefixes recorded for several engines, and of those that one lookup
# evaluates.
MAX_SHARED_PREFIXES = 1024
SHARED_PREFIX_LOOKUPS = 1
# A lookup searches for further leaves up to this many blocks above the deepest one.
OLDER_LEAF_BLOCKS = 16
# One in four new chats adds an entry for a prefix that other chats may share.
SHARED_SAMPLE_MASK = 3
MIN_SLOTS = 4_096
MAX_SLOTS = 1 << 19
BLOCKS_PER_SLOT = 4

# An entry packs the clock (32 bits), depth (16), engine number (12) and two flags:
# whether it is a leaf, the deepest prefix of a chat, and a bit that is always set.
CLOCK_MASK = 0xFFFF_FFFF
MAX_AGE = 1 << 31
DEPTH_SHIFT = 32
DEPTH_MASK = 0xFFFF
ENGINE_SHIFT = 48
ENGINE_MASK = 0xFFF
LEAF_BIT = 1 << 60
SET_BIT = 1 << 61

SHARED_DEPTH_SET = frozenset(SHARED_DEPTHS)


@define
class _Cache:
    """Expected state of the cache of one engine; sizes and ages are in blocks."""

    number: int
    size: int
    retention: float
    clock: int = 1
    valid_since: int = 0
    uncertain_before: int = 0
    age_limit: float = 0.0
    sequence: int | None = None
    clock_samples: deque = field(factory=lambda: deque(maxlen=MAX_CLOCK_SAMPLES))


@define
class PrefixLookup:
    """Result of a lookup for one chat.

    Attributes
    ----------
    blocks : int
        Whole blocks of the chat.
    pairs : tuple
        Depths in blocks and prefix hashes, ascending.
    blocks_by_engine : dict
        Expected number of cached blocks by engine; engines without any are absent.
    """

    blocks: int
    pairs: tuple
    blocks_by_engine: dict
    _age_by_engine: dict
    _leaf_by_engine: dict
    _shared_entries: list


class CacheIndex:
    """Expected contents of the prefix caches of a shard's engines.

    Parameters
    ----------
    block_chars : int
        Characters per block.
    """

    def __init__(self, block_chars):
        self._block_chars = block_chars
        self._cache_by_engine = {}
        self._engine_by_number = []
        self._stamps_by_shared_key = {}
        self._table = CompactTable(MIN_SLOTS, self._age)

    def set_engines(self, engines):
        """Set the engines; entries of an engine that is removed and returns are kept.

        Parameters
        ----------
        engines : iterable of Engine
            The engines.
        """
        for engine in engines:
            size = engine.cache_tokens * CHARS_PER_TOKEN // self._block_chars
            cache = self._cache_by_engine.get(engine.name)
            if cache is None:
                self._reset_if_full()
                number = len(self._engine_by_number)
                cache = _Cache(number, size, float(size))
                _update_age_limits(cache)
                self._cache_by_engine[engine.name] = cache
                self._engine_by_number.append((engine.name, cache))
            elif cache.size != size:
                cache.size = size
                cache.retention = float(size)
                _update_age_limits(cache)
        total = sum(cache.size for cache in self._cache_by_engine.values())
        slots = max(MIN_SLOTS, min(MAX_SLOTS, total // BLOCKS_PER_SLOT))
        self._table.set_max_slots(slots)

    def _reset_if_full(self):
        if len(self._engine_by_number) > ENGINE_MASK:
            self._cache_by_engine.clear()
            self._engine_by_number.clear()
            self._stamps_by_shared_key.clear()
            self._table = CompactTable(MIN_SLOTS, self._age)

    def __len__(self):
        return sum(1 for value in self._table.values() if value & LEAF_BIT)

    @property
    def slots(self):
        """Allocated slots of `peridotcove.compact_table.SLOT_BYTES` each."""
        return self._table.slots

    def _age(self, value):
        _, cache = self._engine_by_number[(value >> ENGINE_SHIFT) & ENGINE_MASK]
        age = (cache.clock - value) & CLOCK_MASK
        return age / (cache.retention + 1)

    def look_up(self, prefixes, blocks=0):
        """Return the expected cache contents for a chat.

        Parameters
        ----------
        prefixes : tuple of int
            Hashes of the chat's prefixes, shortest first.
        blocks : int
            Whole blocks of the chat, if `prefixes` was reduced by
            `peridotcove.prefix_hashes.sample_prefixes`; 0 if it holds all.
        """
        if blocks:
            pairs = tuple(zip(select_depths(blocks), prefixes, strict=False))
        else:
            blocks = len(prefixes)
            depths = select_depths(blocks)
            pairs = tuple([(depth, prefixes[depth - 1]) for depth in depths])
        lookup = PrefixLookup(blocks, pairs, {}, {}, {}, [])
        shared_entries = lookup._shared_entries
        stamps_by_shared_key = self._stamps_by_shared_key
        get = self._table.get
        lookups_left = SHARED_PREFIX_LOOKUPS
        min_depth = 0
        for depth, key in reversed(pairs):
            stamp_by_number = stamps_by_shared_key.get(key)
            if stamp_by_number is not None:
                shared_entries.append((depth, key, 0))
                if lookups_left:
                    lookups_left -= 1
                    self._match_shared(lookup, depth, key, stamp_by_number)
                continue
            if depth < min_depth and depth not in SHARED_DEPTH_SET:
                continue
            value = get(key)
            if not value:
                continue
            self._match(lookup, depth, key, value)
            if value & LEAF_BIT:
                min_depth = min_depth or depth - OLDER_LEAF_BLOCKS
            elif depth in SHARED_DEPTH_SET:
                shared_entries.append((depth, key, value))
        return lookup

    def _match_shared(self, lookup, depth, key, stamp_by_number):
        found = lookup.blocks_by_engine
        engines = self._engine_by_number
        for number, stamp in enumerate(stamp_by_number):
            name, cache = engines[number]
            age = (cache.clock - stamp) & CLOCK_MASK
            if stamp and age < cache.age_limit and name not in found:
                self._add_match(lookup, depth, key, name, cache, age)

    def _match(self, lookup, depth, key, value):
        number = (value >> ENGINE_SHIFT) & ENGINE_MASK
        name, cache = self._engine_by_number[number]
        age = (cache.clock - value) & CLOCK_MASK
        if age < cache.age_limit and name not in lookup.blocks_by_engine:
            self._add_match(lookup, depth, key, name, cache, age)
            lookup._leaf_by_engine[name] = key if value & LEAF_BIT else 0

    def _add_match(self, lookup, depth, key, name, cache, age):
        uncertain = age >= (cache.clock - cache.uncertain_before) & CLOCK_MASK
        lookup.blocks_by_engine[name] = depth * UNCERTAIN_SHARE if uncertain else depth
        lookup._age_by_engine[name] = age

    def record(self, lookup, engine, wall_ms):
        """Record that a chat is sent to an engine.

        Parameters
        ----------
        lookup : PrefixLookup
            Result of the lookup for the chat.
        engine : str
            Name of the engine.
        wall_ms : int
            Wall time in ms.
        """
        cache = self._cache_by_engine.get(engine)
        if cache is None or not lookup.pairs:
            return
        self._advance_clock(cache, lookup, engine, wall_ms)
        old_leaf = lookup._leaf_by_engine.get(engine, 0)
        leaf_depth, leaf = lookup.pairs[-1]
        if old_leaf and old_leaf != leaf:
            self._table.remove(old_leaf)
        stamp = _pack(cache, leaf_depth) | LEAF_BIT
        known = self._table.get(leaf)
        if known and not known & LEAF_BIT or leaf in self._stamps_by_shared_key:
            self._refresh_entry(leaf, known, cache, leaf_depth)
        else:
            self._table.put(leaf, stamp)
        number, clock = cache.number, cache.clock
        for depth, key, value in lookup._shared_entries:
            stamps = self._stamps_by_shared_key.get(key)
            if stamps is not None:
                _set_stamp(stamps, number, clock)
            elif key != leaf:
                self._refresh_entry(key, value, cache, depth)
        if not old_leaf and not leaf & SHARED_SAMPLE_MASK:
            self._add_shared_entry(lookup, cache)

    def _advance_clock(self, cache, lookup, engine, wall_ms):
        cached = int(lookup.blocks_by_engine.get(engine, 0))
        entered = lookup.blocks - cached
        if cached:
            age = lookup._age_by_engine[engine]
            entered += int(cached * age / (cache.retention + 1))
        if (
            not cache.clock_samples
            or wall_ms - cache.clock_samples[-1][0] >= CLOCK_SAMPLE_MS
        ):
            cache.clock_samples.append((wall_ms, cache.clock))
        cache.clock = (cache.clock + max(1, entered)) & CLOCK_MASK
        _update_age_limits(cache)

    def _refresh_entry(self, key, value, cache, depth):
        stamp_by_number = self._stamps_by_shared_key.get(key)
        if stamp_by_number is not None:
            _set_stamp(stamp_by_number, cache.number, cache.clock)
            return
        number = (value >> ENGINE_SHIFT) & ENGINE_MASK
        if number == cache.number:
            self._table.put(key, _pack(cache, depth) | (value & LEAF_BIT))
            return
        self._table.remove(key)
        if len(self._stamps_by_shared_key) >= MAX_SHARED_PREFIXES:
            del self._stamps_by_shared_key[next(iter(self._stamps_by_shared_key))]
        stamps = array("Q")
        _set_stamp(stamps, number, value & CLOCK_MASK)
        _set_stamp(stamps, cache.number, cache.clock)
        self._stamps_by_shared_key[key] = stamps

    def _add_shared_entry(self, lookup, cache):
        deepest = lookup._shared_entries[0][0] if lookup._shared_entries else 0
        for depth, key in lookup.pairs[:-1]:
            if depth > deepest and depth in SHARED_DEPTH_SET:
                self._table.put(key, _pack(cache, depth))
                return

    def record_reuse(self, engine, expected, reused):
        """Adjust the retention of an engine by what it reused.

        Parameters
        ----------
        engine : str
            Name of the engine.
        expected, reused : int
            Blocks expected in its cache, and blocks that it reported as reused.
        """
        cache = self._cache_by_engine.get(engine)
        if cache is None or expected < MIN_EXPECTED_BLOCKS:
            return
        if reused < expected / 2:
            cache.retention = max(
                cache.retention * RETENTION_MISS_FACTOR,
                cache.size * MIN_RETENTION_FACTOR,
            )
        else:
            cache.retention = min(
                cache.retention * RETENTION_HIT_FACTOR,
                cache.size * MAX_RETENTION_FACTOR,
            )
        _update_age_limits(cache)

    def apply_event(self, event):
        """Apply an engine's cache event, which may be late or follow a gap.

        Parameters
        ----------
        event : CacheEvent
            The event; an old or repeated one is ignored.
        """
        cache = self._cache_by_engine.get(event.engine)
        if cache is None:
            return
        if cache.sequence is not None and event.sequence <= cache.sequence:
            return
        is_gap = cache.sequence is not None and event.sequence != cache.sequence + 1
        cache.sequence = event.sequence
        event_clock = self._clock_at(cache, event.at_ms)
        cache.clock = (cache.clock + 1) & CLOCK_MASK
        if event.full:
            cache.valid_since = cache.uncertain_before = event_clock
        elif is_gap:
            cache.uncertain_before = event_clock
        _update_age_limits(cache)
        for key in event.removed:
            self._remove(key, cache, event_clock)
        for key, depth in event.stored:
            self._store(key, depth, cache)

    def _clock_at(self, cache, at_ms):
        index = bisect_right(cache.clock_samples, at_ms, key=lambda sample: sample[0])
        if index == len(cache.clock_samples):
            return cache.clock
        return cache.clock_samples[index][1]

    def _remove(self, key, cache, event_clock):
        value = self._table.get(key)
        number = (value >> ENGINE_SHIFT) & ENGINE_MASK
        if (
            value
            and number == cache.number
            and _is_not_newer(value, event_clock, cache)
        ):
            self._table.remove(key)
        stamps = self._stamps_by_shared_key.get(key, ())
        known = cache.number < len(stamps) and stamps[cache.number]
        if known and _is_not_newer(known, event_clock, cache):
            stamps[cache.number] = 0

    def _store(self, key, depth, cache):
        value = self._table.get(key)
        if value or key in self._stamps_by_shared_key:
            self._refresh_entry(key, value, cache, depth)
        else:
            self._table.put(key, _pack(cache, depth) | LEAF_BIT)


def _update_age_limits(cache):
    # Keeps both clock values within half the range of the clock, which wraps around.
    oldest = (cache.clock - MAX_AGE) & CLOCK_MASK
    if (cache.clock - cache.valid_since) & CLOCK_MASK > MAX_AGE:
        cache.valid_since = oldest
    if (cache.clock - cache.uncertain_before) & CLOCK_MASK > MAX_AGE:
        cache.uncertain_before = oldest
    # Entries of this age or older are assumed to be evicted.
    cache.age_limit = min(
        cache.retention + 1, (cache.clock - cache.valid_since) & CLOCK_MASK
    )


def _pack(cache, depth):
    depth = min(depth, DEPTH_MASK)
    engine = cache.number << ENGINE_SHIFT
    return SET_BIT | engine | depth << DEPTH_SHIFT | cache.clock


def _set_stamp(stamp_by_number, number, clock):
    missing = number + 1 - len(stamp_by_number)
    if missing > 0:
        stamp_by_number.extend([0] * missing)
    stamp_by_number[number] = SET_BIT | clock


def _is_not_newer(stamp, event_clock, cache):
    return (cache.clock - stamp) & CLOCK_MASK >= (
        cache.clock - event_clock
    ) & CLOCK_MASK
