"""Tests of the fleet view, which is updated by revisions and live nodes."""

import unittest

from attrs import evolve

from peridotcove.configuration import parse_configuration
from peridotcove.fleet_view import FleetView
from peridotcove.models import (
    Customer,
    Engine,
    Instance,
    InstanceState,
    LifecycleStatus,
)
from tests.test_leases import RAW

DIGEST = "ab" * 32


class FleetViewTest(unittest.TestCase):
    """Changes of a revision take effect, and unchanged sections are kept."""

    def setUp(self):
        self.base = parse_configuration(RAW)
        self.fleet = FleetView("r")
        self.fleet.set_configuration(self.base)

    def test_each_kind_of_change_takes_effect(self):
        engine = Engine("e9", "http://127.0.0.1:9", "a", "m")
        engines = {**self.base.engine_by_name, "e9": engine}
        self.fleet.set_configuration(evolve(self.base, engine_by_name=engines))
        (shard,) = self.fleet.shards_by_model["m"]
        self.assertIn("e9", shard.engines)
        customers = {"new": Customer("new", (DIGEST,))}
        later = evolve(self.base, customer_by_name=customers)
        self.fleet.set_configuration(later)
        self.assertEqual(self.fleet.find_customer(DIGEST).name, "new")
        bounds = evolve(self.base.bounds, shard_engines=1)
        self.fleet.set_configuration(evolve(later, bounds=bounds))
        self.assertEqual(len(self.fleet.shards_by_model["m"]), 2)
        self.assertEqual(self.fleet.find_customer(DIGEST).name, "new")

    def test_engines_are_marked_as_leaving_until_they_no_longer_leave(self):
        self.assertTrue(self.fleet.set_leaving(["e1"]))
        marked = self.fleet.configuration.engine_by_name["e1"]
        self.assertIs(marked.status, LifecycleStatus.LEAVING)
        self.fleet.set_configuration(evolve(self.base, revision=2))
        marked = self.fleet.configuration.engine_by_name["e1"]
        self.assertIs(marked.status, LifecycleStatus.LEAVING)
        self.assertTrue(self.fleet.set_leaving([]))
        self.assertFalse(self.fleet.set_leaving([]))
        engines = self.fleet.configuration.engine_by_name
        self.assertIs(engines["e1"].status, LifecycleStatus.IN_SERVICE)

    def test_owners_change_with_the_live_nodes(self):
        nodes = [Instance(f"n{i}", "node", "", 1, "a") for i in range(5)]
        (shard,) = self.fleet.shards_by_model["m"]
        self.assertTrue(self.fleet.set_nodes(tuple(nodes)))
        before = self.fleet.rank_owners(shard.name)
        rest = tuple(node for node in nodes if node.name != before[0])
        self.fleet.set_nodes(rest)
        self.assertEqual(self.fleet.rank_owners(shard.name), before[1:])
        leaving = evolve(rest[0], state=InstanceState.LEAVING)
        self.fleet.set_nodes((leaving, *rest[1:]))
        self.assertNotIn(leaving.name, self.fleet.rank_owners(shard.name))
