"""Tests of `peridotcove.engine_time.return_schedule`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.engine_time.return_schedule import (
    MAX_DELAY_MS,
    RETURN_SHARE,
    ReturnSchedule,
)


class ReturnScheduleTest(unittest.TestCase):
    """Callers return in the order of urgency, no faster than there is room."""

    def setUp(self):
        self.clock = FakeClock(1_000)
        self.schedule = ReturnSchedule(self.clock)

    def test_callers_are_spread_by_the_room_that_becomes_free(self):
        times = [self.schedule.add(1, 300, 5, 0.0) for _ in range(4)]
        step_ms = 5 / RETURN_SHARE
        self.assertEqual(times, [300 + step_ms * place for place in range(4)])

    def test_less_urgent_callers_return_after_more_urgent_ones(self):
        urgent = [self.schedule.add(1, 300, 5, 0.5) for _ in range(4)]
        others = [self.schedule.add(5, 0, 5, 0.5) for _ in range(4)]
        self.assertGreater(min(others), max(urgent))
        self.assertLess(self.schedule.add(1, 300, 5, 0.5), max(others))

    def test_times_are_bounded(self):
        for _ in range(1_000):
            delay_ms = self.schedule.add(1, 300, 50, 1.0)
        self.assertLessEqual(delay_ms, MAX_DELAY_MS + 50 / RETURN_SHARE)
        self.assertGreaterEqual(delay_ms, MAX_DELAY_MS)

    def test_a_time_that_has_passed_delays_nobody(self):
        self.schedule.add(1, 300, 5, 0.0)
        self.clock.advance(60_000)
        self.assertEqual(self.schedule.add(1, 300, 5, 0.0), 300)
