"""Tests of `peridotcove.bench.routing`."""

import unittest

from attrs import evolve

from peridotcove.bench.policies import policies
from peridotcove.bench.routing import evaluate_targets, plan_runs, to_json
from peridotcove.bench.routing_cases import FleetSize, cases, make_steady_plan
from peridotcove.bench.run_metrics import RunMetrics
from peridotcove.bench.simulation import Simulation
from peridotcove.bench.workload import Workload

SIZE = FleetSize(3, 4, 2, pause_ms=5_000, warmup_ms=10_000, end_ms=40_000)


def run(policy, seed=1, plan=None):
    plan = plan or make_steady_plan(SIZE)
    metrics = RunMetrics(1.25)
    workload = Workload(plan.parameters, seed)
    Simulation(plan.setup, workload, policies.get(policy), metrics, seed).run()
    row = metrics.make_row("steady", policy, plan)
    return evolve(row, decision_us_p50=0.0, decision_us_p99=0.0)


class TestRoutingBench(unittest.TestCase):
    """Results are determined by the seed and differ between policies."""

    def test_row_depends_on_the_seed_only(self):
        row = run("peridotcove")
        self.assertEqual(row, run("peridotcove"))
        self.assertNotEqual(row, run("peridotcove", seed=2))

    def test_policies_differ_as_expected(self):
        rows = {name: run(name) for name in policies.by_name}
        self.assertEqual(rows["rendezvous"].moved, 0.0)
        self.assertEqual(rows["round-robin"].bytes_per_node_second, 0.0)
        self.assertGreater(rows["peridotcove"].bytes_per_node_second, 0.0)
        product, round_robin = rows["peridotcove"], rows["round-robin"]
        self.assertGreater(product.reuse, round_robin.reuse)
        self.assertLess(product.skew_p99, rows["rendezvous"].skew_p99)

    def test_each_case_makes_a_plan_and_is_run(self):
        for name, make in cases.by_name.items():
            with self.subTest(name):
                plan = make(SIZE)
                self.assertEqual(len(plan.setup.configuration.engine_by_name), 4)
                self.assertIn((name, "peridotcove", "stands"), plan_runs())

    def test_missed_target_is_reported(self):
        row = run("peridotcove")
        oracle = evolve(row, policy="all-knowing", reuse=1.0)
        rows = {
            ("steady", "peridotcove", "stands"): row,
            ("steady", "all-knowing", "stands"): oracle,
        }
        met_by_name = {
            target.name: target.met
            for target in evaluate_targets(rows, bytes_per_chat=65.0)
        }
        self.assertEqual(
            met_by_name,
            {
                "reuse, 95% of all-knowing": row.reuse >= 0.95,
                "requests above the load bound": row.most_over == 0,
                "bytes per remembered chat": False,
            },
        )
        self.assertEqual(len(to_json(1, rows, [])["rows"]), 2)
