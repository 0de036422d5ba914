"""Tests of `peridotcove.engine_time.grant_history`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.engine_time.grant_history import MAX_GRANTS, WINDOW_MS, GrantHistory
from peridotcove.models import LeaseRequest


class GrantHistoryTest(unittest.TestCase):
    """Shares and intervals of the grants of the last seconds."""

    def setUp(self):
        self.clock = FakeClock(1_000)
        self.history = GrantHistory(self.clock)

    def record(self, count, priority, customer="c", step_ms=10):
        for _ in range(count):
            self.history.record(
                LeaseRequest(b"1", "n", customer, "m", (), priority=priority)
            )
            self.clock.advance(step_ms)

    def test_shares(self):
        self.assertEqual(self.history.share_above(5), 0.0)
        self.record(30, 1)
        self.record(10, 5)
        shares = [self.history.share_above(priority) for priority in (0, 1, 2, 5)]
        self.assertEqual(shares, [0.0, 0.0, 0.75, 0.75])

    def test_intervals_of_customers(self):
        self.record(10, 1, "a")
        self.record(30, 1, "b")
        self.assertEqual(self.history.find_interval_ms(1, "a"), 40)
        self.assertEqual(self.history.find_interval_ms(1, "x"), 0.0)

    def test_old_grants_are_forgotten(self):
        self.record(10, 1)
        self.clock.advance(WINDOW_MS)
        self.assertEqual(self.history.share_above(5), 0.0)
        self.assertEqual(self.history.find_interval_ms(1, "c"), 0.0)

    def test_their_number_is_bounded(self):
        self.record(MAX_GRANTS, 1, step_ms=0)
        self.record(MAX_GRANTS, 5, step_ms=0)
        self.assertEqual(self.history.share_above(5), 0.0)
