"""Tests of `peridotcove.zone_traffic.planner`, through a `Dispatcher`."""

import unittest

from attrs import evolve

from peridotcove.cache_events import CacheEvent
from peridotcove.clock import FakeClock
from peridotcove.dispatch import Dispatcher
from peridotcove.models import (
    Bounds,
    Configuration,
    Engine,
    LeaseRequest,
    LifecycleStatus,
    Zone,
)
from peridotcove.ownership import compute_shards
from peridotcove.prefix_hashes import hash_prompt_parts
from peridotcove.zone_traffic.figures import MAX_FIGURES_AGE_MS
from peridotcove.zone_traffic.planner import (
    NO_ENGINES,
    NO_ROOM,
    PREFIX,
    SHARE,
    UPDATE_INTERVAL_MS,
    WAIT,
)

LONG = ("long", 6_400)
SHORT = ("short", 320)


class PlannerCase(unittest.TestCase):
    """Dispatcher of three zones with two engines each."""

    BOUNDS = {
        "load_bound": 2.0,
        "zone_traffic": True,
        "zone_crossing_ms": 10.0,
        "zone_kilobyte_ms": 0.0,
    }

    def setUp(self):
        self.clock = FakeClock()
        self.engines = {
            f"{zone}{n}": Engine(
                f"{zone}{n}", f"http://127.0.0.1:{i}", zone, "m", 8, shares_cache=True
            )
            for i, (zone, n) in enumerate((z, n) for z in "abc" for n in (1, 2))
        }
        self.count = 0
        self.configure()
        self.clock.advance(2_000)

    def configure(self, **bounds):
        zones = {zone: Zone(zone, "north") for zone in "abc"}
        bounds = Bounds(**self.BOUNDS | bounds)
        self.configuration = Configuration(
            1, bounds, zones, engine_by_name=self.engines
        )
        shard = compute_shards(self.configuration, "north")[0]
        self.dispatcher = Dispatcher(shard, self.configuration, self.clock)

    def ask(self, zone, *parts, **values):
        self.count += 1
        keys, ends = hash_prompt_parts("m", (*parts, (f"own-{self.count}", 64)))
        values = {"part_ends": ends if parts else (), "chat_key": keys[0]} | values
        request = LeaseRequest(
            self.count.to_bytes(8, "big"),
            f"entry-{zone}",
            "",
            "m",
            keys if parts else (),
            zone=zone,
            **values,
        )
        return self.dispatcher.request_lease(request)

    def grant(self, zone, *parts, **values):
        (grant,) = self.ask(zone, *parts, **values)
        return grant

    def serve(self, zone, *parts, **values):
        """Grant a lease and release it; return the grant."""
        grant = self.grant(zone, *parts, **values)
        self.clock.advance(1_000)
        self.dispatcher.release(grant.request_id, "done")
        return grant

    def set_status(self, names, status):
        self.engines |= {
            name: evolve(self.engines[name], status=status) for name in names
        }
        self.dispatcher.set_engines(self.engines.values())

    def tick(self, count=1):
        for _ in range(count):
            self.clock.advance(UPDATE_INTERVAL_MS)
            self.dispatcher.tick()

    def left(self, zone):
        """Return the reasons for which recent requests left a zone."""
        self.tick()
        left = self.dispatcher.zones.describe()[zone]["left"]
        return {reason for reason, part in left.items() if part}


class StayTest(PlannerCase):
    """A request stays as long as an engine of its zone would do."""

    def test_busier_engines_of_the_zone_are_no_reason_to_leave(self):
        for parts in ((), (SHORT,)):
            with self.subTest(parts=parts):
                self.setUp()
                zones = [
                    self.grant(z, *parts, chat_key=n).engine[0]
                    for n, z in enumerate("aabcab")
                ]
                self.assertEqual("".join(zones), "aabcab")

    def test_without_the_decision_load_alone_counts(self):
        self.configure(zone_traffic=False)
        self.clock.advance(2_000)
        zones = {self.grant("a", chat_key=n).engine[0] for n in range(1, 7)}
        self.assertEqual(zones, set("abc"))

    def test_short_prompt_that_another_zone_has_is_read_again(self):
        self.serve("a", SHORT)
        self.assertEqual(self.serve("b", SHORT).engine[0], "b")

    def test_long_prompt_that_another_zone_has_is_worth_the_crossing(self):
        first = self.serve("a", LONG)
        second = self.serve("b", LONG)
        self.assertEqual(second.engine, first.engine)
        self.assertEqual(self.left("b"), {PREFIX})

    def test_engine_of_the_zone_goes_before_one_elsewhere_with_the_same_prompt(self):
        for name in ("a1", "b1"):
            others = tuple(one for one in self.engines if one != name)
            self.serve("a", LONG, excluded=others)
        self.assertEqual(self.serve("a", LONG).engine, "a1")
        self.assertEqual(self.serve("b", LONG).engine, "b1")

    def test_crossings_for_one_prompt_end_when_they_cost_as_much_as_reading_it(self):
        self.serve("a", LONG)
        engines = [self.serve("b", LONG).engine[0] for _ in range(40)]
        # Reading takes 128 ms, a crossing costs 10 ms.
        self.assertIn("".join(sorted(set(engines))), ("ab",))
        self.assertLessEqual(abs(engines.count("a") - 12), 2)
        self.assertEqual(engines, sorted(engines))

    def test_prompt_to_read_first_is_a_reason_to_leave(self):
        for n, zone in enumerate("bbccaa"):
            tokens = 40_000 if zone == "a" else 64
            self.grant(zone, (f"first-{n}", tokens), chat_key=n + 1)
        left = self.grant("a", SHORT)
        self.assertNotEqual(left.engine[0], "a")
        self.assertEqual(self.left("a"), {WAIT})

    def test_request_does_not_wait_in_order_to_stay(self):
        # Both engines of the zone are at their load bound.
        zones = [self.grant("a", chat_key=n).engine[0] for n in range(1, 13)]
        self.assertEqual(self.dispatcher.waiting, 0)
        self.assertGreater(len(set(zones)), 1)
        self.assertEqual(self.left("a"), {NO_ROOM})

    def test_request_does_not_wait_for_its_zone_when_it_has_prompts(self):
        for n in range(1, 13):
            self.assertEqual(len(self.ask("a", (f"p{n}", 640), chat_key=n)), 1)

    def test_excluded_and_failed_engines_are_no_reason_to_stay(self):
        for field in ("avoid", "excluded"):
            with self.subTest(field=field):
                grant = self.grant("a", **{field: ("a1", "a2")})
                self.assertNotEqual(grant.engine[0], "a")


class ZoneStateTest(PlannerCase):
    """Zones whose engines can't serve, and figures that are missing or old."""

    def test_zone_without_engines_leaves_and_returns(self):
        self.set_status(("a1", "a2"), LifecycleStatus.LEAVING)
        self.tick(2)
        self.assertNotEqual(self.grant("a").engine[0], "a")
        self.assertEqual(self.left("a"), {NO_ENGINES})
        self.assertEqual(self.dispatcher.zones.shares.get("a"), 1.0)
        self.set_status(("a1", "a2"), LifecycleStatus.IN_SERVICE)
        self.tick(60)
        self.assertEqual(self.dispatcher.zones.shares.get("a"), 0.0)
        reasons = [one.reason for one in self.dispatcher.zones.pop_changes()]
        self.assertEqual(reasons, [NO_ENGINES, ""])

    def test_evacuated_zone_is_named_as_such(self):
        zones = self.configuration.zone_by_name | {"a": Zone("a", "north", True)}
        self.set_status(("a1", "a2"), LifecycleStatus.LEAVING)
        self.dispatcher.set_configuration(
            evolve(self.configuration, zone_by_name=zones, engine_by_name=self.engines)
        )
        self.tick(2)
        (change,) = self.dispatcher.zones.pop_changes()
        self.assertEqual((change.zone, change.reason), ("a", "evacuated"))

    def test_share_that_may_leave_goes_to_idle_engines(self):
        self.dispatcher.zones.shares.get = lambda zone: 1.0
        zones = {self.grant("a", chat_key=n).engine[0] for n in range(1, 7)}
        self.assertEqual(zones, set("abc"))
        self.assertEqual(self.left("a"), {SHARE})

    def test_figures_that_are_too_old_let_requests_stay(self):
        self.set_status(("a1", "a2"), LifecycleStatus.LEAVING)
        self.tick(2)
        self.clock.advance(MAX_FIGURES_AGE_MS + 1)
        self.dispatcher.tick()
        self.assertEqual(self.dispatcher.zones.shares.get("a"), 0.0)

    def test_owner_that_does_not_know_all_leases_lets_requests_stay(self):
        self.dispatcher.start_recovery(["entry-b"])
        self.set_status(("a1", "a2"), LifecycleStatus.LEAVING)
        self.tick(2)
        self.assertEqual(self.dispatcher.zones.shares.get("a"), 0.0)
        self.assertNotEqual(self.grant("a").engine[0], "a")
        self.dispatcher.set_held_leases("entry-b", [])
        self.tick(1)
        self.assertEqual(self.dispatcher.zones.shares.get("a"), 1.0)

    def test_fleet_of_one_zone_decides_nothing(self):
        self.engines = {
            name: one for name, one in self.engines.items() if one.zone == "a"
        }
        self.configure()
        self.clock.advance(2_000)
        self.tick(4)
        self.assertEqual(self.serve("a", LONG).engine[0], "a")
        self.assertEqual(self.serve("b", LONG).engine[0], "a")
        self.assertEqual(self.dispatcher.zones.pop_changes(), [])


class SourceTest(PlannerCase):
    """Sources of missing prompts."""

    def list_caches(self, *names):
        keys, _ = hash_prompt_parts("m", (LONG,))
        stored = ((keys[0], LONG[1]),)
        for name in names:
            event = CacheEvent(name, 1, self.clock.wall(), stored, full=True)
            self.dispatcher.apply_part_event(event)

    def test_source_in_the_zone_goes_before_another_that_holds_as_much(self):
        for target, source in (("a2", "a1"), ("c1", "c2"), ("b2", "b1")):
            with self.subTest(target=target):
                self.setUp()
                self.list_caches("a1", "b1", "c2")
                others = tuple(one for one in self.engines if one != target)
                grant = self.grant(target[0], LONG, excluded=others)
                self.assertEqual((grant.engine, grant.source), (target, source))

    def test_source_elsewhere_is_used_if_the_zone_has_none(self):
        self.list_caches("c2")
        others = tuple(one for one in self.engines if one != "a1")
        self.assertEqual(self.grant("a", LONG, excluded=others).source, "c2")
