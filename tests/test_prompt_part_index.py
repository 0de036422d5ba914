"""Tests of `peridotcove.prompt_part_index`."""

import math
import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from peridotcove.cache_events import CacheEvent
from peridotcove.models import Engine
from peridotcove.prefix_hashes import hash_prompt_parts
from peridotcove.prompt_part_index import CACHE_SHARE, EVENT_LAG_MS, PromptPartIndex

BLOCK_TOKENS = 64


def make_index(blocks=100, names="ab"):
    index = PromptPartIndex(BLOCK_TOKENS)
    tokens = math.ceil(blocks * BLOCK_TOKENS / CACHE_SHARE)
    engines = [Engine(n, "", "z1", "m", cache_tokens=tokens) for n in names]
    index.set_engines(engines)
    return index, engines


def make_prompt(*parts):
    """Return the keys and ends of a prompt; each part is a name and its blocks."""
    sized = [(name, blocks * BLOCK_TOKENS) for name, blocks in parts]
    return hash_prompt_parts("m", sized)


def put(index, engine, *parts):
    index.record(index.look_up(*make_prompt(*parts)), engine, 0)


def expect(index, *parts):
    return index.look_up(*make_prompt(*parts)).blocks_by_engine


class PromptPartIndexTest(unittest.TestCase):
    """Engines are expected to cache what they prefilled, within their capacity."""

    def test_shared_parts_are_found_after_the_first_request(self):
        index, _ = make_index()
        put(index, "a", ("system", 20), ("subject", 30), ("own-1", 5))
        found = expect(index, ("system", 20), ("subject", 30), ("own-2", 7))
        self.assertEqual(found, {"a": 50})
        put(index, "b", ("system", 20), ("other", 30))
        found = expect(index, ("system", 20), ("subject", 30))
        self.assertEqual(found, {"a": 50, "b": 20})

    def test_part_counts_only_if_all_earlier_parts_are_cached(self):
        index, _ = make_index()
        put(index, "a", ("x", 20), ("y", 30))
        self.assertEqual(expect(index, ("z", 20), ("y", 30)), {})
        self.assertEqual(expect(index, ("x", 20), ("z", 9), ("y", 30)), {"a": 20})

    def test_least_recently_used_part_is_evicted(self):
        index, _ = make_index(blocks=100)
        put(index, "a", ("x", 40))
        put(index, "a", ("y", 40))
        put(index, "a", ("x", 40))
        put(index, "a", ("z", 40))
        self.assertEqual(expect(index, ("x", 40)), {"a": 40})
        self.assertEqual(expect(index, ("y", 40)), {})

    def test_restarted_engine_has_an_empty_cache(self):
        index, (first, second) = make_index()
        put(index, "a", ("x", 40))
        put(index, "b", ("x", 40))
        index.set_engines([evolve(first, incarnation=7), second])
        self.assertEqual(expect(index, ("x", 40)), {"b": 40})
        index.set_engines([first])
        self.assertEqual(expect(index, ("x", 40)), {})

    def test_cache_events_of_the_engine(self):
        key = make_prompt(("x", 40))[0][0]
        other = make_prompt(("y", 10))[0][0]
        late = EVENT_LAG_MS
        cases = [
            # event, time after the grant, expected blocks of x and y on engine a
            (CacheEvent("a", 1, 0, removed=(key,)), late, (0, 0)),
            (CacheEvent("a", 1, 0, removed=(key,)), late - 1, (40, 0)),
            (CacheEvent("a", 1, 0, full=True), late, (0, 0)),
            (CacheEvent("a", 1, 0, full=True), late - 1, (40, 0)),
            (CacheEvent("a", 1, 0, ((key, 20 * BLOCK_TOKENS),)), late, (20, 0)),
            (CacheEvent("a", 1, 0, ((other, 640),)), 0, (40, 10)),
            (CacheEvent("a", 1, 0, ((other, 640),), full=True), late, (0, 10)),
            (CacheEvent("z", 1, 0, full=True), late, (40, 0)),
        ]
        for event, after_ms, expected in cases:
            with self.subTest(event=event, after_ms=after_ms):
                index, _ = make_index()
                index.record(index.look_up(*make_prompt(("x", 40))), "a", 1_000)
                index.apply_event(event, 1_000 + after_ms)
                found = (expect(index, ("x", 40)), expect(index, ("y", 10)))
                self.assertEqual(tuple(one.get("a", 0) for one in found), expected)

    def test_partly_cached_part_ends_the_prefix(self):
        index, _ = make_index()
        put(index, "a", ("x", 40), ("y", 20))
        key = make_prompt(("x", 40))[0][0]
        index.apply_event(
            CacheEvent("a", 1, 0, ((key, 10 * BLOCK_TOKENS),)), EVENT_LAG_MS
        )
        self.assertEqual(expect(index, ("x", 40), ("y", 20)), {"a": 10})

    @given(
        st.lists(
            st.tuples(
                st.sampled_from("ab"),
                st.lists(st.tuples(st.sampled_from("pqr"), st.integers(1, 40))),
            ),
            max_size=40,
        )
    )
    def test_index_stays_within_capacity_and_is_consistent(self, puts):
        index, _ = make_index(blocks=100)
        for engine, parts in puts:
            put(index, engine, *parts)
            for name, cache in index._cache_by_engine.items():
                held = sum(part.tokens for part in cache.part_by_key.values())
                self.assertEqual(held, cache.cached_tokens)
                self.assertLessEqual(held, 100 * BLOCK_TOKENS + 1)
                for key in cache.part_by_key:
                    self.assertIn(name, index._engines_by_key[key])
            keys, ends = make_prompt(*parts)
            found = index.look_up(keys, ends).blocks_by_engine
            self.assertLessEqual(found.get(engine, 0), sum(b for _, b in parts))
