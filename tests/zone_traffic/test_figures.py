"""Tests of `peridotcove.zone_traffic.figures`."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.zone_traffic.figures import (
    MAX_FIGURES_AGE_MS,
    MAX_WAIT_MS,
    FiguresByZone,
    ZoneSample,
    estimate_wait_ms,
)


class WaitTest(unittest.TestCase):
    """Expected wait for a slot."""

    def test_no_slots_means_the_longest_wait(self):
        self.assertEqual(estimate_wait_ms(0, 0, 100), MAX_WAIT_MS)

    def test_one_slot_waits_as_in_a_queue_of_one_server(self):
        # M/M/1 at half load: as long as one request takes.
        self.assertAlmostEqual(estimate_wait_ms(0.5, 1, 100), 100.0)

    @given(
        load=st.floats(0, 500),
        more=st.floats(0, 100),
        capacity=st.integers(1, 500),
        service_ms=st.floats(0, 10_000),
    )
    def test_wait_grows_with_load_and_is_bounded(
        self, load, more, capacity, service_ms
    ):
        wait_ms = estimate_wait_ms(load, capacity, service_ms)
        self.assertLessEqual(0, wait_ms)
        self.assertLessEqual(
            wait_ms, estimate_wait_ms(load + more, capacity, service_ms)
        )
        self.assertLessEqual(
            estimate_wait_ms(load + more, capacity, service_ms), MAX_WAIT_MS
        )


class FiguresByZoneTest(unittest.TestCase):
    """Smoothing, and figures that are too old."""

    def setUp(self):
        self.clock = FakeClock()
        self.figures = FiguresByZone(self.clock)

    def update(self, load, zones="a"):
        sample = ZoneSample(2, 2.0, 48, load, 10.0, load)
        return self.figures.update(dict.fromkeys(zones, sample))

    def test_first_figures_are_not_fresh_and_taken_whole(self):
        self.assertFalse(self.update(8))
        self.assertEqual(self.figures.figures_by_zone["a"].load, 8)

    def test_later_figures_approach_the_load(self):
        self.update(0)
        loads = []
        for _ in range(20):
            self.clock.advance(500)
            self.assertTrue(self.update(10))
            loads.append(self.figures.figures_by_zone["a"].load)
        self.assertEqual(loads, sorted(loads))
        self.assertLess(loads[0], 3)
        self.assertGreater(loads[-1], 9.9)

    def test_figures_of_the_limit_are_kept_and_older_ones_replaced(self):
        for late_ms, is_fresh in ((0, True), (1, False)):
            with self.subTest(late_ms=late_ms):
                self.setUp()
                self.update(0)
                self.clock.advance(MAX_FIGURES_AGE_MS + late_ms)
                self.assertEqual(self.update(10), is_fresh)
                load = self.figures.figures_by_zone["a"].load
                self.assertEqual(load == 10, not is_fresh)

    def test_zones_that_are_gone_are_forgotten(self):
        self.update(4, "ab")
        self.clock.advance(500)
        self.update(4, "b")
        self.assertEqual(list(self.figures.figures_by_zone), ["b"])
