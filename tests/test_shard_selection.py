"""Tests of `peridotcove.shard_selection`."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.ownership import Shard
from peridotcove.shard_selection import ShardLoad, ShardSelector

SHARDS = [Shard(f"r/m/{n}", "m", "r", (f"e{n}",)) for n in range(4)]
NAMES = [shard.name for shard in SHARDS]
KEYS = st.integers(0, 2**64 - 1)


def make_loads(first, rest=100.0):
    loads = [first, rest, rest, rest]
    return {n: ShardLoad(x, 10.0) for n, x in zip(NAMES, loads, strict=True)}


class TestShardSelector(unittest.TestCase):
    """Stable selection that avoids shards above their share of the load."""

    def setUp(self):
        self.selector = ShardSelector(SHARDS, dict.fromkeys(NAMES, 10.0))

    @given(key=KEYS, hint=st.sampled_from(["", "e0", "e3", "gone"]))
    def test_even_load_moves_no_chat(self, key, hint):
        usual = self.selector.select_shard(key, "", {})
        picked = self.selector.select_shard(key, hint, make_loads(100.0))
        hinted = {"e0": NAMES[0], "e3": NAMES[3]}.get(hint, usual)
        self.assertEqual(picked, hinted)

    @given(key=KEYS, load=st.floats(0, 1000))
    def test_only_a_shard_above_its_share_passes_chats_on(self, key, load):
        usual = self.selector.select_shard(key, "", {})
        picked = self.selector.select_shard(key, "", make_loads(load))
        if picked != usual:
            self.assertEqual((usual == NAMES[0]), load > 100.0)
            self.assertIn(picked, NAMES)

    def test_passed_on_part_grows_with_the_load(self):
        parts = []
        for load in (100.0, 118.0, 125.0, 400.0):
            loads = make_loads(load)
            keys = [number * 0x9E3779B97F4A7C15 % 2**64 for number in range(4000)]
            home = [
                k for k in keys if self.selector.select_shard(k, "", {}) == NAMES[0]
            ]
            stay = [
                k for k in home if self.selector.select_shard(k, "", loads) == NAMES[0]
            ]
            parts.append(len(stay) / len(home))
        self.assertEqual(parts[0], 1.0)
        self.assertEqual(parts[3], 0.0)
        self.assertTrue(parts[0] > parts[1] > parts[2] > parts[3])
