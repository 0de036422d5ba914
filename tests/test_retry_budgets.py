"""Tests of `peridotcove.retry_budgets`: a fleet's retries stay below their bound."""

import random
import unittest
from collections import deque

from peridotcove.retry_budgets import RetryBudgets

RATIO, EXTRA, WINDOW_S = 0.2, 188, 10.0


class Fleet:
    """Simulated nodes that receive requests at random and retry those that fail."""

    def __init__(self, nodes, rng):
        self.rng = rng
        self.nodes = [RetryBudgets(RATIO, EXTRA) for _ in range(nodes)]
        for node in self.nodes:
            node.set_node_count(nodes)
        self.retried_at_s = deque()
        self.sent = self.denied = self.failed = 0

    def send(self, now_s, model, failing):
        """Send one request whose first try fails with the probability `failing`."""
        budget = self.rng.choice(self.nodes).get(model)
        budget.deposit()
        self.sent += 1
        if self.rng.random() >= failing:
            return
        self.failed += 1
        if budget.withdraw():
            self.retried_at_s.append(now_s)
        else:
            self.denied += 1

    def max_retries_in_window(self):
        """Return the largest number of retries in any window of `WINDOW_S`."""
        window, most = deque(), 0
        for at in self.retried_at_s:
            window.append(at)
            while window[0] <= at - WINDOW_S:
                window.popleft()
            most = max(most, len(window))
        return most


class RetryBudgetsTest(unittest.TestCase):
    """Random failures are retried, and the bound of the fleet holds."""

    def test_random_failures_are_retried(self):
        # 74 nodes send 89 requests/s to a service; a quarter of the requests goes to
        # endpoints that fail 14 of 100.
        fleet = Fleet(74, random.Random(1))
        for number in range(89 * 60):
            fleet.send(number / 89, "app", 0.14 if number % 4 == 0 else 0.0)
        self.assertLess(fleet.denied, 0.05 * fleet.failed)

    def test_retries_of_one_service_do_not_take_from_another(self):
        budgets = RetryBudgets(RATIO, EXTRA)
        budgets.set_node_count(200)
        self.assertTrue(budgets.get("llm").withdraw())
        self.assertFalse(budgets.get("llm").withdraw())
        self.assertTrue(budgets.get("app").withdraw())

    def test_bound_holds_if_all_requests_fail(self):
        for nodes in (1, 9, 74):
            with self.subTest(nodes=nodes):
                fleet = Fleet(nodes, random.Random(2))
                per_s = 100
                for number in range(per_s * 60):
                    failing = 1.0 if number > per_s * 30 else 0.0
                    fleet.send(number / per_s, "app", failing)
                bound = RATIO * per_s * WINDOW_S + EXTRA
                self.assertLessEqual(fleet.max_retries_in_window(), bound)
                self.assertGreater(
                    fleet.max_retries_in_window(), 0.5 * RATIO * per_s * WINDOW_S
                )

    def test_balance_is_reduced_when_the_fleet_grows(self):
        budgets = RetryBudgets(RATIO, EXTRA)
        budget = budgets.get("app")
        for _ in range(1_000):
            budget.deposit()
        budgets.set_node_count(74)
        self.assertLessEqual(budget.balance * 74, EXTRA)
