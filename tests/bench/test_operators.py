"""Tests of `peridotcove.bench.operators`."""

import json
import unittest

from cleo.testers.command_tester import CommandTester

from peridotcove.bench.operators import TARGET_S, BenchOperatorsCommand
from peridotcove.bench.synthetic_configuration import make_configuration_json
from peridotcove.configuration import parse_configuration


class BenchOperatorsTest(unittest.TestCase):
    """Every case with a target is timed, at the requested size."""

    def test_small_run_times_every_target(self):
        tester = CommandTester(BenchOperatorsCommand())
        sizes = "--customers 20 --engines 6 --nodes 3 --events 20"
        self.assertEqual(tester.execute(f"--json {sizes}"), 0)
        printed = json.loads(tester.io.fetch_output())
        size_by_case = {row["case"]: row["size"] for row in printed["rows"]}
        self.assertLessEqual(TARGET_S.keys(), size_by_case.keys())
        self.assertEqual(size_by_case["check"], "20 customers, 6 engines")
        self.assertEqual(size_by_case["timeline"], "3 nodes x 20 events")
        self.assertGreater(printed["parts"]["count"], 3)

    def test_synthetic_configurations_are_valid(self):
        for customers, engines in ((0, 0), (3, 6), (50, 700)):
            with self.subTest(customers=customers, engines=engines):
                raw = make_configuration_json(customers, engines)
                made = parse_configuration(raw)
                sizes = (len(made.customer_by_name), len(made.engine_by_name))
                self.assertEqual(sizes, (customers, engines))
