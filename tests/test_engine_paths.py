"""Tests of `peridotcove.engine_paths`."""

import random
import unittest
from collections import Counter

from peridotcove.clock import FakeClock
from peridotcove.engine_paths import (
    AVOID_RELAY_MS,
    CONNECTED_LATELY_MS,
    CUT_OFF_ENGINES,
    EnginePaths,
    find_address,
)
from peridotcove.models import Instance

ADDRESSES = [f"10.0.0.{number}:80" for number in range(1, 5)]
DRAWS = 1_000


def make_peer(name, zone="a", power=1.0):
    return Instance(name, "node", "", 1, zone, power=power)


class EnginePathsTest(unittest.TestCase):
    """When a node connects to engines through its peers, and through which."""

    def setUp(self):
        self.clock = FakeClock()
        self.paths = EnginePaths(self.clock, random.Random(1), "a")

    def cut_off(self):
        for address in ADDRESSES[:CUT_OFF_ENGINES]:
            self.paths.record_unreached(address)

    def test_one_engine_that_is_not_reached_shows_nothing(self):
        for _ in range(5):
            self.paths.record_unreached(ADDRESSES[0])
        self.assertFalse(self.paths.uses_relays)
        self.paths.record_connected(ADDRESSES[1])
        self.paths.record_unreached(ADDRESSES[2])
        self.assertFalse(self.paths.uses_relays)

    def test_a_node_that_reaches_no_engine_needs_relays_for_all(self):
        self.cut_off()
        self.assertTrue(self.paths.is_cut_off)
        self.assertTrue(all(map(self.paths.needs_relay, ADDRESSES)))
        self.paths.record_connected(ADDRESSES[3])
        self.assertFalse(any(map(self.paths.needs_relay, ADDRESSES)))

    def test_an_engine_that_only_peers_reach_is_reached_through_them(self):
        self.paths.record_unreached(ADDRESSES[0])
        self.paths.record_relayed(ADDRESSES[0])
        self.paths.record_connected(ADDRESSES[1])
        needed = list(map(self.paths.needs_relay, ADDRESSES))
        self.assertEqual(needed, [True, False, False, False])
        self.assertEqual(self.paths.choose_probe(ADDRESSES), ADDRESSES[0])
        self.paths.record_connected(ADDRESSES[0])
        self.assertFalse(self.paths.uses_relays)

    def test_a_connection_shows_for_a_moment_that_the_links_are_sound(self):
        self.assertFalse(self.paths.has_connected_lately)
        self.paths.record_connected(ADDRESSES[0])
        self.clock.advance(CONNECTED_LATELY_MS)
        self.assertTrue(self.paths.has_connected_lately)
        self.clock.advance(1)
        self.assertFalse(self.paths.has_connected_lately)

    def test_engines_that_no_peer_reaches_show_nothing_of_this_node(self):
        for address in ADDRESSES:
            self.paths.record_unreached(address)
            self.paths.record_unreached_by_peer(address)
        self.assertFalse(self.paths.uses_relays)
        self.paths.record_relayed(ADDRESSES[0])
        self.paths.record_unreached_by_peer(ADDRESSES[0])
        self.assertFalse(self.paths.uses_relays)

    def test_engines_that_are_gone_are_not_probed(self):
        self.paths.record_relayed(ADDRESSES[0])
        self.assertEqual(self.paths.choose_probe(ADDRESSES[1:2]), ADDRESSES[1])
        self.assertFalse(self.paths.uses_relays)
        self.cut_off()
        self.assertIsNone(self.paths.choose_probe([]))

    def test_peers_of_the_zone_come_first_and_powerful_ones_more_often(self):
        peers = [make_peer("far", "b", 9.0), make_peer("weak"), make_peer("strong")]
        peers[2] = make_peer("strong", power=4.0)
        first = Counter()
        for _ in range(DRAWS):
            ranked = [one.name for one in self.paths.rank_relays(peers)]
            self.assertEqual(ranked[-1], "far")
            first[ranked[0]] += 1
        self.assertGreater(first["strong"], 2 * first["weak"])
        self.assertGreater(first["weak"], DRAWS / 10)

    def test_a_peer_that_could_not_help_comes_last_for_a_while(self):
        peers = [make_peer("near"), make_peer("far", "b")]
        self.paths.record_relay_failure("near")
        self.assertEqual(self.paths.rank_relays(peers)[0].name, "far")
        self.clock.advance(AVOID_RELAY_MS)
        self.assertEqual(self.paths.rank_relays(peers)[0].name, "near")

    def test_the_address_is_found_in_urls_with_and_without_a_path(self):
        for url in ("http://10.0.0.1:80", "http://10.0.0.1:80/a//b?c=d://e"):
            self.assertEqual(find_address(url), ADDRESSES[0])
