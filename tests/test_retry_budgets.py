"""Tests of `peridotcove.retry_budgets`: retries of a fleet under its bound."""

import random
import unittest
from collections import deque

from peridotcove.retry_budgets import RetryBudgets

RATIO, EXTRA, WINDOW_S = 0.2, 188, 10.0


class Fleet:
    """Nodes that take requests at random and retry those that fail."""

    def __init__(self, nodes, rng):
        self.rng = rng
        self.nodes = [RetryBudgets(RATIO, EXTRA) for _ in range(nodes)]
        for node in self.nodes:
            node.set_node_count(nodes)
        self.repeats = deque()
        self.asked = self.denied = self.failed = 0

    def ask(self, now_s, model, failing):
        """Send one request, which fails once with a probability."""
        budget = self.rng.choice(self.nodes).get(model)
        budget.deposit()
        self.asked += 1
        if self.rng.random() >= failing:
            return
        self.failed += 1
        if budget.withdraw():
            self.repeats.append(now_s)
        else:
            self.denied += 1

    def most_repeats(self):
        """Return the most repeats in any window."""
        window, most = deque(), 0
        for at in self.repeats:
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most


class RetryBudgetsTest(unittest.TestCase):
    """What callers get, and the bound that holds over all nodes."""

    def test_random_failures_are_retried(self):
        # 89 requests/s to a service of which a quarter fails 14 of 100, over 74 nodes.
        fleet = Fleet(74, random.Random(1))
        for number in range(89 * 60):
            fleet.ask(number / 89, "app", 0.14 if number % 4 == 0 else 0.0)
        self.assertLess(fleet.denied, 0.05 * fleet.failed)

    def test_retries_of_one_service_do_not_take_from_another(self):
        budgets = RetryBudgets(RATIO, EXTRA)
        budgets.set_node_count(200)
        self.assertTrue(budgets.get("llm").withdraw())
        self.assertFalse(budgets.get("llm").withdraw())
        self.assertTrue(budgets.get("app").withdraw())

    def test_the_bound_holds_though_all_fails(self):
        for nodes in (1, 9, 74):
            with self.subTest(nodes=nodes):
                fleet = Fleet(nodes, random.Random(2))
                per_s = 100
                for number in range(per_s * 60):
                    failing = 1.0 if number > per_s * 30 else 0.0
                    fleet.ask(number / per_s, "app", failing)
                bound = RATIO * per_s * WINDOW_S + EXTRA
                self.assertLessEqual(fleet.most_repeats(), bound)
                self.assertGreater(fleet.most_repeats(), 0.5 * RATIO * per_s * WINDOW_S)

    def test_a_node_that_sees_a_larger_fleet_gives_up_what_it_saved(self):
        budgets = RetryBudgets(RATIO, EXTRA)
        budget = budgets.get("app")
        for _ in range(1_000):
            budget.deposit()
        budgets.set_node_count(74)
        self.assertLessEqual(budget.balance * 74, EXTRA)
