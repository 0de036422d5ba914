"""Tests of `peridotcove.clock`."""

import unittest

from peridotcove.clock import Clock, FakeClock


class ClockTest(unittest.TestCase):
    """The real and the fake clock are monotonic."""

    def test_never_goes_back(self):
        for clock in (Clock(), FakeClock()):
            with self.subTest(clock=type(clock).__name__):
                first = clock.now()
                self.assertGreaterEqual(clock.now(), first)

    def test_fake_advances_both_times(self):
        clock = FakeClock(5, 1000)
        clock.advance(20)
        self.assertEqual((clock.now(), clock.wall()), (25, 1020))

    def test_fake_rejects_negative_advance(self):
        with self.assertRaises(ValueError):
            FakeClock().advance(-1)
