"""Tests of `peridotcove.bench.capacity` and its probes."""

import json
import unittest

from cleo.testers.command_tester import CommandTester
from hypothesis import given
from hypothesis import strategies as st

from peridotcove.bench import capacity_fleet, capacity_target
from peridotcove.bench.capacity import GROUPS, BenchCapacityCommand, select_probes
from peridotcove.bench.slopes import (
    Probe,
    estimate,
    fit_line,
    measure_allocated_bytes,
    run_probe,
)

MEGABYTE = 1 << 20


class SlopesTest(unittest.TestCase):
    """Least-squares lines and estimates match the measured points."""

    @given(st.integers(-50, 50), st.integers(-50, 50), st.integers(10, 99))
    def test_a_line_is_found_again(self, slope, base, size):
        points = [(x, base + slope * x) for x in (1, 4, 9)]
        found = fit_line(points)
        self.assertAlmostEqual(found[0], slope)
        self.assertAlmostEqual(found[1], base)
        self.assertAlmostEqual(estimate(points, *found, size), base + slope * size)

    def test_estimate_interpolates_between_points(self):
        points = [(0, 0), (10, 100), (20, 100)]
        self.assertEqual(estimate(points, 99, 99, 15), 100)
        self.assertEqual(estimate(points, 99, 99, 5), 50)

    def test_sizes_above_the_largest_are_skipped(self):
        item = Probe("p", "role", "us", "nodes", (1, 2, 3), 30, lambda size: 2.0 * size)
        slope = run_probe(item, largest=2)
        self.assertEqual([size for size, _ in slope.points], [1, 2])
        self.assertEqual((slope.slope, slope.at_target), (2.0, 60.0))

    def test_temporary_objects_are_not_counted(self):
        def make():
            bytearray(3 * MEGABYTE)
            return bytearray(MEGABYTE)

        self.assertAlmostEqual(
            measure_allocated_bytes(make), MEGABYTE, delta=MEGABYTE // 10
        )


class CapacityTest(unittest.TestCase):
    """Every probe runs at its smallest size, and the target sizes are consistent."""

    def test_every_probe_gives_a_positive_value(self):
        for name in GROUPS:
            items = select_probes([name])
            self.assertTrue(items, name)
            for item in items:
                with self.subTest(probe=item.name):
                    self.assertGreater(run_probe(item, item.sizes[0]).points[0][1], 0)

    def test_command_prints_slopes_and_rejects_unknown_groups(self):
        tester = CommandTester(BenchCapacityCommand())
        line = "--json --only fleet --largest 3 --no-scenes"
        self.assertEqual(tester.execute(line), 0)
        printed = json.loads(tester.io.fetch_output())
        names = {slope["name"] for slope in printed["slopes"]}
        self.assertEqual(names, {item.name for item in select_probes(["fleet"])})
        self.assertEqual(tester.execute("--only everything"), 2)

    def test_target_fleet_has_all_nodes_and_zones(self):
        zones = capacity_fleet.make_target_fleet()
        counts = [count for region in zones.values() for count in region.values()]
        self.assertEqual(
            (len(counts), sum(counts)), (capacity_target.ZONES, capacity_target.NODES)
        )
        self.assertEqual(len(zones), capacity_target.REGIONS)
