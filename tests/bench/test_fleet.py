"""Tests of `peridotcove.bench.fleet`."""

import unittest

from peridotcove.bench.fleet import make_row, run


class BenchFleetTest(unittest.TestCase):
    """The bench runs at a small size and evaluates its targets."""

    def test_small_fleet_meets_the_targets(self):
        value_by_case = {}
        for row in run([9], 1, 50, 20, deaths=1):
            value_by_case[row.case] = row.value
            if row.target is not None and "heartbeats: ms" not in row.case:
                self.assertTrue(row.met, row)
        self.assertEqual(value_by_case["reads: all restart, ready after 12 s"], 9)
        self.assertGreater(value_by_case["bytes a second: in, median"], 100)
        self.assertGreaterEqual(value_by_case["detection: heartbeats"], 10_000)

    def test_missed_target_is_marked(self):
        self.assertFalse(make_row("case", "size", 3, 2).met)
        self.assertIsNone(make_row("case", "size", 3).met)
