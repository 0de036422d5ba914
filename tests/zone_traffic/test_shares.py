"""Tests of `peridotcove.zone_traffic.shares`."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.zone_traffic.figures import ZoneFigures
from peridotcove.zone_traffic.shares import (
    HOLD_MS,
    LOAD,
    MAX_FALL,
    MAX_RISE,
    START,
    LeavingShares,
)

STEP_MS = 500


def make_figures(load, backlog_ms=0.0, demand=None, engines=4):
    demand = load if demand is None else demand
    return ZoneFigures(
        engines, float(engines), 24.0 * engines, load, backlog_ms, demand
    )


class LeavingSharesTest(unittest.TestCase):
    """When a share rises, holds and falls, and what it takes from others."""

    def setUp(self):
        self.clock = FakeClock()
        self.shares = LeavingShares(self.clock)
        self.shares.load_bound = 2.0

    def update(self, steps=1, forced=None, **figures_by_zone):
        changes = []
        for _ in range(steps):
            self.clock.advance(STEP_MS)
            changes += self.shares.update(figures_by_zone, 200.0, 4.0, forced or {})
        return changes

    def test_even_load_stays(self):
        calm = make_figures(16)
        self.assertEqual(self.update(20, a=calm, b=calm, c=calm), [])
        self.assertEqual(self.shares.get("a"), 0.0)

    def test_uneven_load_leaves_step_by_step(self):
        high, low = make_figures(40), make_figures(10)
        changes = self.update(1, a=high, b=low, c=low)
        self.assertEqual([(one.zone, one.reason) for one in changes], [("a", LOAD)])
        self.assertLessEqual(self.shares.get("a"), MAX_RISE)
        self.update(5, a=high, b=low, c=low)
        self.assertGreater(self.shares.get("a"), MAX_RISE)
        self.assertEqual(self.shares.get("b"), 0.0)

    def test_few_requests_more_than_the_others_are_chance(self):
        self.update(20, a=make_figures(3), b=make_figures(1), c=make_figures(1))
        self.assertEqual(self.shares.get("a"), 0.0)

    def test_later_start_leaves_only_beyond_crossing_and_tolerance(self):
        for backlog_ms, leaves in ((23.0, False), (26.0, True)):
            with self.subTest(backlog_ms=backlog_ms):
                self.setUp()
                late, calm = make_figures(16, backlog_ms), make_figures(16)
                self.update(a=late, b=calm, c=calm)
                self.assertEqual(bool(self.shares.get("a")), leaves)
                reason = START if leaves else ""
                self.assertEqual(self.shares.share_by_zone["a"].reason, reason)

    def test_share_holds_between_the_limits_and_falls_after_the_hold(self):
        high, low, even = make_figures(40), make_figures(10), make_figures(16)
        self.update(4, a=high, b=low, c=low)
        share = self.shares.get("a")
        between = make_figures(24.5), make_figures(16), make_figures(16)
        names = dict(zip("abc", between, strict=True))
        self.update(20, **names)
        self.assertEqual(self.shares.get("a"), share)
        self.setUp()
        self.update(4, a=high, b=low, c=low)
        self.update(HOLD_MS // STEP_MS - 1, a=even, b=even, c=even)
        self.assertEqual(self.shares.get("a"), share)
        changes = self.update(1, a=even, b=even, c=even)
        self.assertAlmostEqual(self.shares.get("a"), share - MAX_FALL)
        changes += self.update(20, a=even, b=even, c=even)
        self.assertEqual(self.shares.get("a"), 0.0)
        self.assertEqual([one.reason for one in changes], [""])

    def test_two_short_zones_take_no_more_than_the_third_has_to_spare(self):
        short = make_figures(60, 200.0)
        full = make_figures(16, 0.0, demand=80)
        self.update(10, a=short, b=short, c=full)
        self.assertEqual((self.shares.get("a"), self.shares.get("b")), (0.0, 0.0))
        self.update(10, a=short, b=short, c=make_figures(16))
        self.assertAlmostEqual(self.shares.get("a"), self.shares.get("b"))
        self.assertGreater(self.shares.get("a"), 0.0)

    def test_all_short_zones_stay(self):
        short = make_figures(95, 900.0)
        self.update(20, a=short, b=short)
        self.assertEqual((self.shares.get("a"), self.shares.get("b")), (0.0, 0.0))

    def test_zone_that_cannot_serve_leaves_at_once_and_returns_slowly(self):
        even = make_figures(16)
        changes = self.update(1, {"a": "evacuated"}, a=make_figures(0), b=even, c=even)
        self.assertEqual((self.shares.get("a"), changes[0].reason), (1.0, "evacuated"))
        self.update(1, a=even, b=even, c=even)
        self.assertEqual(self.shares.get("a"), 1.0)
        self.update(HOLD_MS // STEP_MS + 1, a=even, b=even, c=even)
        self.assertLess(self.shares.get("a"), 1.0)
        self.assertGreater(self.shares.get("a"), 0.8)

    def test_reset_lets_all_stay(self):
        self.update(4, a=make_figures(40), b=make_figures(10))
        changes = self.shares.reset()
        self.assertEqual(self.shares.get("a"), 0.0)
        self.assertEqual([one.previous_reason for one in changes], [LOAD])

    @given(
        steps=st.lists(
            st.tuples(*[st.floats(0, 96)] * 3, st.floats(0, 500)), max_size=30
        )
    )
    def test_any_figures_keep_shares_in_range_and_steps_small(self, steps):
        self.setUp()
        for *loads, backlog_ms in steps:
            before = [self.shares.get(zone) for zone in "abc"]
            figures = [make_figures(load, backlog_ms) for load in loads]
            changes = self.update(1, **dict(zip("abc", figures, strict=True)))
            after = [self.shares.get(zone) for zone in "abc"]
            for old, new in zip(before, after, strict=True):
                self.assertTrue(0 <= new <= 1)
                self.assertLessEqual(new - old, MAX_RISE + 1e-9)
            self.assertLessEqual(len(changes), 3)
