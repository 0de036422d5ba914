"""Tests of `peridotcove.customer_slots`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.customer_slots import CustomerSlots
from peridotcove.models import Customer

LARGE = Customer("large", concurrency=1000)
SMALL = Customer("small", concurrency=1000)


class TestCustomerSlots(unittest.TestCase):
    """Fair shares, reserved slots and estimated waits."""

    def setUp(self):
        self.clock = FakeClock()
        self.slots = CustomerSlots(self.clock)
        self.slots.capacity = 100.0

    def test_only_customer_may_use_all_slots(self):
        self.slots.change_usage(LARGE, leases=99)
        self.assertTrue(self.slots.may_lease(LARGE, 99))

    def test_surge_leaves_reserved_slots_to_other_customers(self):
        self.slots.change_usage(SMALL, leases=5)
        self.slots.change_usage(LARGE, leases=75)
        self.assertFalse(self.slots.may_lease(LARGE, 80))
        self.assertTrue(self.slots.may_lease(SMALL, 80))
        self.assertTrue(self.slots.may_lease(LARGE, 79))

    def test_no_slots_are_held_back_that_become_free_at_once(self):
        self.slots.change_usage(SMALL, leases=5)
        self.slots.change_usage(LARGE, leases=95)
        for _ in range(20):
            self.clock.advance(5)
            self.slots.change_usage(LARGE, leases=-1)
        self.assertTrue(self.slots.may_lease(LARGE, 80))
        self.clock.advance(3_000)
        self.assertFalse(self.slots.may_lease(LARGE, 80))

    def test_concurrency_limit_is_kept(self):
        few = Customer("few", concurrency=2)
        self.slots.change_usage(few, leases=2)
        self.assertFalse(self.slots.may_lease(few, 2))
        self.slots.change_usage(few, leases=-1)
        self.assertTrue(self.slots.may_lease(few, 1))

    def test_wait_is_estimated_from_recent_releases(self):
        self.slots.change_usage(LARGE, leases=40)
        self.assertIsNone(self.slots.estimate_wait_ms(LARGE, 1))
        for _ in range(20):
            self.clock.advance(100)
            self.slots.change_usage(LARGE, leases=-1)
        self.slots.change_usage(LARGE, waiting=50)
        wait_ms = self.slots.estimate_wait_ms(LARGE, 50)
        self.assertAlmostEqual(wait_ms, 4_750, delta=500)
        self.assertFalse(self.slots.is_queue_full())
        self.slots.change_usage(LARGE, waiting=400)
        self.assertTrue(self.slots.is_queue_full())
