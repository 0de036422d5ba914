"""Tests of the control planes of in-memory nodes: membership and configuration."""

import unittest

from peridotcove.membership_events import LinkSilent, NodeLost
from peridotcove.standins.fleet import MemoryFleet, describe_zones
from tests.fakes import make_links

# Time in which the users' pages want no more requests at a server that leaves.
DRAIN_MS = 2_000
# Time in which the next node in rank notices that a reader fails.
CASCADE_MS = 4_000
THREE_ZONES = {"r1": {"a": 3, "b": 3, "c": 3}}


def start_fleet(zones_by_region=THREE_ZONES, seed=1, **faults):
    """Return a fleet that has run for ten seconds."""
    fleet = MemoryFleet(make_links(seed, **faults), zones_by_region)
    zones = {"zones": describe_zones(fleet.region_by_zone)}
    fleet.service.publish({"zones": zones})
    fleet.start()
    fleet.links.run(10_000)
    return fleet


class ControlPlaneTest(unittest.TestCase):
    """Nine nodes in three zones."""

    def test_a_fleet_starts_and_applies_a_change(self):
        fleet = start_fleet()
        for node in fleet.running_nodes():
            self.assertEqual(len(node.live_names()), 9)
            self.assertTrue(node.control.revisions.ready())
            self.assertTrue(node.control.membership.fresh())
        fleet.service.publish({"customers": {"customers": {"one": {}}}})
        fleet.links.run(2_000)
        for node in fleet.running_nodes():
            self.assertIn("one", node.control.revisions.current().customer_by_name)

    # Two successive readers that the service turned away left a zone without any.
    def test_a_change_reaches_a_zone_whose_first_readers_are_turned_away(self):
        for count in (1, 2, 3, 5):
            with self.subTest(turned_away=count):
                fleet = start_fleet({"r": {"a": 6}})
                rank = fleet.node_by_name["a-0"].control.membership.reader_rank()
                fleet.turned_away.update(rank[:count])
                fleet.links.run(CASCADE_MS * count)
                fleet.service.publish({"customers": {"customers": {"one": {}}}})
                fleet.links.run(DRAIN_MS)
                for node in fleet.running_nodes():
                    current = node.control.revisions.current()
                    self.assertIn("one", current.customer_by_name)

    # After a pause of its own a node took the readers of its zone for silent.
    def test_a_node_that_stood_still_does_not_read_in_place_of_its_readers(self):
        for still_ms in (600, 1_200, 2_000):
            with self.subTest(still_ms=still_ms):
                fleet = start_fleet({"r": {"a": 6}})
                name = fleet.node_by_name["a-0"].control.membership.reader_rank()[-1]
                control = fleet.node_by_name[name].control
                for _ in range(20):
                    fleet.links.pause(name)
                    fleet.links.run(still_ms)
                    self.assertFalse(control.reader.reads_for_zone())
                    fleet.links.resume(name)
                    fleet.links.run(250)

    def test_a_stopped_node_is_lost_within_3_s_but_not_on_a_silent_link(self):
        fleet = start_fleet()
        fleet.node_events.clear()
        fleet.links.silence("a-0", "b-0")
        fleet.links.run(10_000)
        kinds = {type(event) for _, _, event in fleet.node_events}
        self.assertEqual(kinds, {LinkSilent})
        fleet.node_events.clear()
        fleet.stop("a-1")
        fleet.links.run(3_000)
        lost = [
            name for _, name, event in fleet.node_events if isinstance(event, NodeLost)
        ]
        self.assertEqual(
            sorted(lost), sorted(node.name for node in fleet.running_nodes())
        )
