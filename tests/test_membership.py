"""Tests of membership over faulty in-memory links."""

import unittest

from attrs import evolve

from peridotcove.membership_events import (
    LinkSilent,
    NodeJoined,
    NodeLost,
    ProcessResumed,
)
from peridotcove.models import InstanceState
from tests.test_control_plane import THREE_ZONES, start_fleet

ZONE = {"r": {"a": 15}}
TWO_REGIONS = {"r1": {"a": 9, "b": 9, "c": 3}, "r2": {"d": 3}}
LOSS = 0.02


def events_of(fleet, kind):
    """Return the time, observer and event of all events of a type."""
    return [entry for entry in fleet.node_events if isinstance(entry[2], kind)]


def observers_of_loss(fleet, name):
    """Return the names of the nodes that count a node as lost."""
    return {one for _, one, event in events_of(fleet, NodeLost) if event.node == name}


class FailureDetectionTest(unittest.TestCase):
    """Stopped nodes are detected, and live nodes are not counted as lost."""

    def test_no_false_alarm_in_10_000_heartbeats_at_2_percent_loss(self):
        fleet = start_fleet(ZONE, drop=LOSS)
        before = sum(node.network.frames_out for node in fleet.running_nodes())
        fleet.node_events.clear()
        fleet.links.run(50_000)
        sent = sum(node.network.frames_out for node in fleet.running_nodes()) - before
        self.assertGreater(sent, 10_000)
        self.assertEqual(events_of(fleet, NodeLost), [])

    def test_a_stopped_node_is_lost_by_its_zone_within_3_s(self):
        for seed in range(10):
            for loss in (0.0, LOSS):
                with self.subTest(seed=seed, loss=loss):
                    fleet = start_fleet(ZONE, seed, drop=loss)
                    fleet.stop("a-7")
                    fleet.links.run(3_000)
                    others = {node.name for node in fleet.running_nodes()}
                    self.assertEqual(observers_of_loss(fleet, "a-7"), others)

    def test_link_faults_are_not_reported_as_lost_nodes(self):
        def cut(fleet, *pairs):
            fleet.links.set_faults(pairs, drop=1.0)

        cases = {
            "silent both ways": lambda fleet: fleet.links.silence("a-0", "a-1"),
            "silent one way": lambda fleet: fleet.links.silence("a-0", "a-1", False),
            "cut for good": lambda fleet: cut(fleet, ("a-0", "a-1"), ("a-1", "a-0")),
            "cut one way": lambda fleet: cut(fleet, ("a-0", "a-1")),
            "all of one silent": lambda fleet: [
                fleet.links.silence("a-0", f"a-{number}") for number in range(1, 15)
            ],
            "duplicates": lambda fleet: fleet.links.set_faults(
                [("a-0", "a-1")], duplicate=1.0, delay_ms=(1, 900)
            ),
        }
        for name, fault in cases.items():
            for zones in (ZONE, {"r": {"a": 3}}):
                with self.subTest(fault=name, zones=zones):
                    fleet = start_fleet(zones)
                    fault(fleet)
                    fleet.links.run(10_000)
                    self.assertEqual(events_of(fleet, NodeLost), [])
                    self.assertLess(len(events_of(fleet, LinkSilent)), 100)

    def test_a_node_heard_only_by_others_is_lost_when_it_stops(self):
        fleet = start_fleet(ZONE)
        fleet.links.set_faults([("a-0", "a-1"), ("a-1", "a-0")], drop=1.0)
        fleet.links.run(40_000)
        membership = fleet.node_by_name["a-0"].control.membership
        self.assertFalse(membership.hears("a-1"))
        self.assertIn("a-1", fleet.node_by_name["a-0"].live_names())
        fleet.stop("a-1")
        fleet.links.run(3_250)
        others = {node.name for node in fleet.running_nodes()}
        self.assertEqual(observers_of_loss(fleet, "a-1"), others)

    def test_a_restart_is_seen_as_a_loss_and_a_join(self):
        fleet = start_fleet()
        fleet.node_events.clear()
        fleet.start("a-1")
        fleet.links.run(3_000)
        joined = {one for _, one, event in events_of(fleet, NodeJoined) if one != "a-1"}
        self.assertEqual(observers_of_loss(fleet, "a-1"), joined)
        self.assertEqual(len(joined), 8)

    def test_flapping_is_damped_and_ends(self):
        fleet = start_fleet()
        fleet.node_events.clear()
        for _ in range(6):
            fleet.links.pause("b-0")
            fleet.links.run(3_000)
            fleet.links.resume("b-0")
            fleet.links.run(3_000)
        losses = [one for one in events_of(fleet, NodeLost) if one[1] == "a-0"]
        # Hold-down times of 0, 2 and 4 s end while it runs or before it is overdue
        # again; the one of 8 s doesn't.
        self.assertEqual(len(losses), 4)
        fleet.links.run(35_000)
        self.assertEqual(len(fleet.node_by_name["a-0"].live_names()), 9)


class MembershipViewTest(unittest.TestCase):
    """Listed, live and leaving are separate; a pause makes the view stale."""

    def test_partition_and_healing(self):
        fleet = start_fleet()
        sides = [["a-0", "a-1", "a-2", "b-0"], ["b-1", "b-2", "c-0", "c-1", "c-2"]]
        fleet.links.partition(sides[0])
        fleet.links.run(4_000)
        for side in sides:
            for name in side:
                self.assertEqual(fleet.node_by_name[name].live_names(), side)
                listed = fleet.node_by_name[name].control.membership.listed_names()
                self.assertEqual(len(listed), 8)
        fleet.links.heal()
        fleet.links.run(6_000)
        self.assertEqual(
            [len(node.live_names()) for node in fleet.running_nodes()], [9] * 9
        )

    def test_lists_that_differ_between_nodes(self):
        fleet = start_fleet()
        one = fleet.node_by_name["a-0"].control.membership
        instances = list(fleet.instance_by_name.values())
        one.set_instances(item for item in instances if item.name != "b-0")
        fleet.links.run(5_000)
        self.assertIn("b-0", fleet.node_by_name["a-0"].live_names())
        self.assertNotIn("b-0", one.listed_names())
        fleet.stop("b-0")
        fleet.links.run(70_000)
        self.assertNotIn("b-0", one.topology.instance_by_name)

    def test_a_node_leaving_by_announcement_or_list_is_not_live(self):
        fleet = start_fleet()
        one = fleet.node_by_name["a-0"]
        one.send(one.control.membership.leave())
        fleet.links.run(250)
        for node in fleet.running_nodes():
            self.assertNotIn("a-0", node.live_names())
        self.assertEqual(events_of(fleet, NodeLost), [])
        leaving = evolve(fleet.instance_by_name["b-0"], state=InstanceState.LEAVING)
        fleet.instance_by_name["b-0"] = leaving
        fleet.update_instances("c-0", "b-0")
        self.assertNotIn("b-0", fleet.node_by_name["c-0"].live_names())
        fleet.links.run(1_250)
        for node in fleet.running_nodes():
            self.assertNotIn("b-0", node.live_names())

    def test_view_is_stale_after_a_pause_until_list_or_most_neighbours(self):
        fleet = start_fleet()
        node = fleet.node_by_name["a-0"]
        fleet.links.pause("a-0")
        fleet.links.run(60_000)
        asked_before_ms = fleet.links.clock.now() - 30_000
        membership = node.control.membership
        self.assertFalse(membership.fresh())
        instances = fleet.instance_by_name.values()
        membership.set_instances(instances, asked_before_ms)
        self.assertFalse(membership.fresh())
        fleet.links.resume("a-0")
        fleet.links.run(0)
        self.assertFalse(membership.fresh())
        fleet.links.run(1_000)
        self.assertTrue(membership.fresh())
        (resumed,) = [
            event for event in node.events if isinstance(event, ProcessResumed)
        ]
        self.assertGreaterEqual(resumed.paused_ms, 60_000)
        fleet.links.pause("b-0")
        fleet.links.run(10_000)
        other = fleet.node_by_name["b-0"].control.membership
        other.set_instances(instances)
        self.assertTrue(other.fresh())

    def test_other_zones_and_regions(self):
        fleet = start_fleet(TWO_REGIONS)
        for node in fleet.running_nodes():
            expected = 3 if node.name.startswith("d") else 21
            self.assertEqual(len(node.live_names()), expected)
        fleet.node_by_name["a-1"].control.membership.set_own_shard_loads({"shard": 7})
        fleet.node_events.clear()
        fleet.stop("b-1")
        fleet.links.run(8_000)
        observers = observers_of_loss(fleet, "b-1")
        self.assertEqual(len(observers), 20)
        shards = fleet.node_by_name["c-0"].control.membership.shard_loads()
        self.assertEqual(shards, {"shard": 7})
        for number in range(9):
            fleet.stop(f"b-{number}")
        fleet.links.run(10_000)
        self.assertEqual(len(fleet.node_by_name["a-0"].live_names()), 12)

    def test_views_of_a_node_cut_off_from_its_zone_are_not_used(self):
        for number in range(9):
            fleet = start_fleet(TWO_REGIONS)
            isolated = f"b-{number}"
            others = [name for name in fleet.node_by_name if name[0] == "b"]
            pairs = [(isolated, name) for name in others]
            pairs += [(name, isolated) for name in others]
            fleet.links.set_faults(pairs, drop=1.0)
            fleet.node_events.clear()
            fleet.links.run(10_000)
            losses = events_of(fleet, NodeLost)
            lost = {event.node for _, one, event in losses if one[0] != "b"}
            self.assertLessEqual(lost, {isolated})


class FullMeshTest(unittest.TestCase):
    """Nodes of a small region form a full mesh."""

    def test_all_nodes_of_a_small_region_are_neighbours(self):
        fleet = start_fleet(THREE_ZONES)
        for node in fleet.running_nodes():
            self.assertEqual(len(node.control.membership.topology.neighbours), 8)
