"""Tests of `peridotcove.discovery`: nodes find each other despite stale seeds."""

import random
import unittest

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.discovery import (
    EXCHANGE_PERIOD_MS,
    FORGET_NODE_MS,
    ISOLATED_SEED_PERIOD_MS,
    ISOLATED_START_MS,
    MAX_SHARED_NODES,
    PRESUMED_LIVE_MS,
    PRESUMED_ZONE_MS,
    SEED_PERIOD_MS,
    SEED_REFRESH_MS,
    Discovery,
)
from peridotcove.exceptions import ProtocolError
from peridotcove.models import Instance
from peridotcove.nodes.membership_messages import ShareNodes

STEP_MS = 50


def name_of(number):
    return f"10.0.0.{number}:7000"


class DiscoveryFleet:
    """Nodes whose messages arrive at once; some nodes may be down."""

    def __init__(self, count, seeds, seed=1):
        self.clock = FakeClock()
        self.rng = random.Random(seed)
        self.down = set()
        self.hears_heartbeats = True
        self.received = 0
        self.node_by_name = {}
        for number in range(count):
            self.add(number, seeds)

    def add(self, number, seeds, zone="z"):
        name = name_of(number)
        instance = Instance(name, "node", f"10.0.0.{number}", 7000, zone)
        node = Discovery(instance, self.clock, self.rng)
        node.set_seeds(seeds)
        self.node_by_name[name] = node

    def reaches(self, name):
        return name in self.node_by_name and name not in self.down

    def deliver(self, sender, outgoing):
        for item in outgoing:
            if self.reaches(item.peer) and self.reaches(sender):
                node = self.node_by_name[item.peer]
                self.received += 1
                _, answers = node.receive(sender, item.message)
                self.deliver(item.peer, answers)

    def run(self, ms):
        for _ in range(ms // STEP_MS):
            self.clock.advance(STEP_MS)
            for name, node in list(self.node_by_name.items()):
                if name not in self.down:
                    heard = set(node.known_by_name) - self.down
                    heard = heard if self.hears_heartbeats else set()
                    self.deliver(name, node.tick(heard.__contains__))

    def views(self):
        return {
            frozenset(one.name for one in node.instances())
            for name, node in self.node_by_name.items()
            if name not in self.down
        }


class DiscoveryTest(unittest.TestCase):
    """All live nodes reach the same view, with any seeds."""

    @given(st.integers(2, 30), st.integers(0, 2), st.integers(0, 99))
    def test_one_live_seed_is_enough(self, count, stale, seed):
        seeds = [name_of(200 + number) for number in range(stale)] + [name_of(0)]
        fleet = DiscoveryFleet(count, seeds, seed)
        fleet.run(8_000)
        self.assertEqual(fleet.views(), {frozenset(fleet.node_by_name)})

    def test_a_large_fleet(self):
        fleet = DiscoveryFleet(4 * MAX_SHARED_NODES, [name_of(0), name_of(1)])
        fleet.run(20_000)
        self.assertEqual(fleet.views(), {frozenset(fleet.node_by_name)})

    def test_seeds_that_send_no_heartbeats_get_few_introductions(self):
        fleet = DiscoveryFleet(70, [name_of(0), name_of(1), name_of(2)])
        fleet.hears_heartbeats = False
        fleet.run(20_000)
        fleet.received = 0
        fleet.run(20_000)
        # Introductions and exchanges, each with its answer.
        most = 70 * 20_000 * 2 * (3 / SEED_REFRESH_MS + 1 / EXCHANGE_PERIOD_MS)
        self.assertLessEqual(fleet.received, most)

    def test_a_seed_that_restarts_without_state_is_found(self):
        fleet = DiscoveryFleet(8, [name_of(0)])
        fleet.hears_heartbeats = False
        fleet.run(8_000)
        fleet.add(0, [name_of(0)])
        fleet.run(SEED_REFRESH_MS + SEED_PERIOD_MS)
        self.assertEqual(fleet.views(), {frozenset(fleet.node_by_name)})

    def test_nodes_that_start_together_find_each_other_soon(self):
        fleet = DiscoveryFleet(8, [name_of(0), name_of(1)])
        fleet.down = {name_of(0), name_of(1)}
        fleet.run(STEP_MS)
        fleet.down = set()
        fleet.run(ISOLATED_SEED_PERIOD_MS)
        self.assertEqual(fleet.views(), {frozenset(fleet.node_by_name)})

    def test_a_starting_node_presumes_recently_heard_nodes_live(self):
        fleet = DiscoveryFleet(5, [name_of(0)])
        fleet.run(8_000)
        fleet.down = {name_of(4)}
        fleet.run(2 * PRESUMED_LIVE_MS)
        fleet.add(5, [name_of(0)])
        fleet.run(STEP_MS)
        node = fleet.node_by_name[name_of(5)]
        presumed = {one.name for one in node.presumed_live_nodes(lambda zone: True)}
        self.assertEqual(presumed, {name_of(number) for number in range(4)})
        fleet.run(PRESUMED_LIVE_MS)
        self.assertEqual(node.presumed_live_nodes(lambda zone: True), [])

    def test_nodes_of_a_zone_are_presumed_live_until_the_zone_is_reported(self):
        """Else a fleet that starts at once falls apart into zones after a while."""
        fleet = DiscoveryFleet(5, [name_of(0)])
        node = fleet.node_by_name[name_of(1)]
        fleet.run(2 * PRESUMED_LIVE_MS)
        reported = set()
        self.assertEqual(len(node.presumed_live_nodes(reported.__contains__)), 4)
        reported.add("z")
        self.assertEqual(node.presumed_live_nodes(reported.__contains__), [])
        reported.clear()
        fleet.run(PRESUMED_ZONE_MS)
        self.assertEqual(node.presumed_live_nodes(reported.__contains__), [])

    def test_the_power_of_nodes_is_passed_on(self):
        fleet = DiscoveryFleet(3, [name_of(0)])
        strong = fleet.node_by_name[name_of(1)]
        strong.node = evolve(strong.node, power=4.0)
        fleet.run(8_000)
        known = fleet.node_by_name[name_of(2)].known_by_name[name_of(1)]
        self.assertEqual(known.instance.power, 4.0)

    def test_two_groups_join_when_one_node_gets_a_seed_of_the_other(self):
        fleet = DiscoveryFleet(3, [name_of(0)])
        for number in (10, 11, 12):
            fleet.add(number, [name_of(10)])
        fleet.run(4_000)
        self.assertEqual(len(fleet.views()), 2)
        fleet.node_by_name[name_of(2)].set_seeds([name_of(11)])
        fleet.run(8_000)
        self.assertEqual(len(fleet.views()), 1)

    def test_a_seed_that_is_up_later_is_found(self):
        fleet = DiscoveryFleet(3, [name_of(0)])
        fleet.down = {name_of(0)}
        fleet.run(2_000)
        self.assertEqual(len(fleet.views()), 2)
        fleet.down = set()
        fleet.run(2_000)
        self.assertEqual(len(fleet.views()), 1)

    def test_nodes_that_are_gone_are_forgotten(self):
        fleet = DiscoveryFleet(3, [name_of(0)])
        fleet.run(2_000)
        fleet.down = {name_of(2)}
        fleet.run(FORGET_NODE_MS + 10_000)
        self.assertEqual(fleet.views(), {frozenset((name_of(0), name_of(1)))})

    def test_malformed_records_are_refused(self):
        node = DiscoveryFleet(1, []).node_by_name[name_of(0)]
        for record in (7, [], ["n", "h", "7", "z", 0], ["n", "h", 7, "z"], [1] * 5):
            with self.subTest(record=record), self.assertRaises(ProtocolError):
                node.receive("x", ShareNodes([record], True))

    def test_a_node_is_isolated_until_it_hears_of_another(self):
        fleet = DiscoveryFleet(2, [name_of(0), name_of(1)])
        fleet.down = {name_of(1)}
        node = fleet.node_by_name[name_of(0)]
        self.assertTrue(node.is_isolated())
        fleet.down = set()
        fleet.run(1_000)
        self.assertFalse(node.is_isolated())

    def test_a_fleet_of_one_node_is_not_isolated(self):
        alone = DiscoveryFleet(1, [name_of(0)]).node_by_name[name_of(0)]
        self.assertFalse(alone.is_isolated())
        stale = DiscoveryFleet(1, [name_of(9)])
        stale.run(ISOLATED_START_MS)
        self.assertFalse(stale.node_by_name[name_of(0)].is_isolated())

    def test_a_large_fleet_that_starts_at_once_knows_itself_soon_with_few_messages(
        self,
    ):
        """A link between each two nodes would take processor time from callers."""
        seeds = [name_of(number) for number in range(3)]
        fleet = DiscoveryFleet(0, seeds)
        for number in range(200):
            fleet.add(number, seeds, zone=f"z{number % 6}")
        fleet.run(3_000)
        least = min(len(node.instances()) for node in fleet.node_by_name.values())
        self.assertEqual(least, 200)
        # A neighbour of the zone introduces itself once and is told of once.
        self.assertLess(fleet.received / 200, 2 * 200 / 6 + 20)
