"""Tests of `peridotcove.bench.routing`."""

import unittest

from attrs import evolve

from peridotcove.bench.policies import policies
from peridotcove.bench.routing import find_targets, plan_runs, to_json
from peridotcove.bench.routing_cases import Size, cases, make_plan
from peridotcove.bench.run_metrics import Measure
from peridotcove.bench.simulation import World
from peridotcove.bench.workload import Workload

SIZE = Size(3, 4, 2, pause_ms=5_000, warm_ms=10_000, end_ms=40_000)


def run(policy, seed=1, plan=None):
    plan = plan or make_plan(SIZE)
    measure = Measure(1.25)
    workload = Workload(plan.shape, seed)
    World(plan.setup, workload, policies.get(policy), measure, seed).run()
    row = measure.row("steady", policy, plan)
    return evolve(row, decision_us_p50=0.0, decision_us_p99=0.0)


class TestRoutingBench(unittest.TestCase):
    """The bench is a function of its seed, and tells policies apart."""

    def test_seed_sets_the_row(self):
        row = run("peridotcove")
        self.assertEqual(row, run("peridotcove"))
        self.assertNotEqual(row, run("peridotcove", seed=2))

    def test_policies_differ_as_they_must(self):
        rows = {name: run(name) for name in policies.by_name}
        self.assertEqual(rows["rendezvous"].moved, 0.0)
        self.assertEqual(rows["round-robin"].bytes_per_node_second, 0.0)
        self.assertGreater(rows["peridotcove"].bytes_per_node_second, 0.0)
        product, turns = rows["peridotcove"], rows["round-robin"]
        self.assertGreater(product.reuse, turns.reuse)
        self.assertLess(product.skew_p99, rows["rendezvous"].skew_p99)

    def test_each_case_makes_a_plan_and_is_run(self):
        for name, make in cases.by_name.items():
            with self.subTest(name):
                plan = make(SIZE)
                self.assertEqual(len(plan.setup.configuration.engine_by_name), 4)
                self.assertIn((name, "peridotcove", "stands"), plan_runs())

    def test_missed_target_is_told(self):
        row = run("peridotcove")
        best = evolve(row, policy="all-knowing", reuse=1.0)
        rows = {
            ("steady", "peridotcove", "stands"): row,
            ("steady", "all-knowing", "stands"): best,
        }
        met_by_name = {item.name: item.met for item in find_targets(rows, state=65.0)}
        self.assertEqual(
            met_by_name,
            {
                "reuse, 95% of all-knowing": row.reuse >= 0.95,
                "requests above the load bound": row.most_over == 0,
                "bytes per remembered chat": False,
            },
        )
        self.assertEqual(len(to_json(1, rows, [])["rows"]), 2)
