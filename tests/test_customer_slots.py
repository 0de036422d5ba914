"""Tests of `peridotcove.customer_slots`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.customer_slots import CustomerSlots
from peridotcove.models import Customer

LARGE = Customer("large", concurrency=1000)
SMALL = Customer("small", concurrency=1000)


class TestPlaces(unittest.TestCase):
    """Fair shares, the reserve and foreseen waits."""

    def setUp(self):
        self.clock = FakeClock()
        self.places = CustomerSlots(self.clock)
        self.places.capacity = 100.0

    def test_alone_a_customer_may_take_all(self):
        self.places.change(LARGE, leases=99)
        self.assertTrue(self.places.may_take(LARGE, 99))

    def test_surge_leaves_the_reserve_to_others(self):
        self.places.change(SMALL, leases=5)
        self.places.change(LARGE, leases=75)
        self.assertFalse(self.places.may_take(LARGE, 80))
        self.assertTrue(self.places.may_take(SMALL, 80))
        self.assertTrue(self.places.may_take(LARGE, 79))

    def test_concurrency_holds(self):
        few = Customer("few", concurrency=2)
        self.places.change(few, leases=2)
        self.assertFalse(self.places.may_take(few, 2))
        self.places.change(few, leases=-1)
        self.assertTrue(self.places.may_take(few, 1))

    def test_wait_is_foreseen_from_releases(self):
        self.places.change(LARGE, leases=40)
        self.assertIsNone(self.places.foresee(LARGE))
        for _ in range(20):
            self.clock.advance(100)
            self.places.change(LARGE, leases=-1)
        self.places.change(LARGE, waiting=50)
        self.assertAlmostEqual(self.places.foresee(LARGE), 4_750, delta=500)
        self.assertFalse(self.places.overfull())
        self.places.change(LARGE, waiting=400)
        self.assertTrue(self.places.overfull())
