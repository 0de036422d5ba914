"""Tests of `peridotcove.outlier_detection`, with a load that meets a grey engine."""

import random
import unittest

from peridotcove.clock import FakeClock
from peridotcove.outlier_detection import FAILURES, FIRST_ASIDE_MS, OutlierDetector

ENGINES = ("a", "b", "c", "d")


def play(share_by_engine, seed, requests=600, gap_ms=20):
    """Send requests to engines not set aside; return failures and those set aside."""
    clock, rng = FakeClock(), random.Random(seed)
    health = OutlierDetector(clock)
    failed, aside = 0, set()
    for number in range(requests):
        clock.advance(gap_ms)
        out = health.aside(ENGINES)
        aside |= out
        engine = [name for name in ENGINES if name not in out][number % 2]
        fails = rng.random() < share_by_engine.get(engine, 0.0)
        failed += fails
        health.note(engine, "failed" if fails else "done", ENGINES)
    return failed, aside


class EngineHealthTest(unittest.TestCase):
    """What callers get while engines fail."""

    def setUp(self):
        self.clock = FakeClock()
        self.health = OutlierDetector(self.clock)

    def aside(self):
        return set(self.health.aside(ENGINES))

    def test_failures_in_a_row(self):
        for _ in range(FAILURES - 1):
            self.health.note("a", "failed", ENGINES)
        self.assertEqual(self.aside(), set())
        self.health.note("a", "failed", ENGINES)
        self.assertEqual(self.aside(), {"a"})
        self.clock.advance(FIRST_ASIDE_MS)
        self.assertEqual(self.aside(), set())

    def test_an_engine_out_of_reach_is_set_aside_at_once_and_for_longer(self):
        self.health.note("a", "unreachable", ENGINES)
        self.assertEqual(self.aside(), {"a"})
        self.clock.advance(FIRST_ASIDE_MS)
        self.health.note("a", "unreachable", ENGINES)
        self.clock.advance(FIRST_ASIDE_MS)
        self.assertEqual(self.aside(), {"a"})
        self.clock.advance(FIRST_ASIDE_MS)
        self.health.note("a", "done", ENGINES)
        self.assertEqual(self.aside(), set())

    def test_a_request_that_ends_well_does_not_end_the_time_aside(self):
        self.health.note("a", "unreachable", ENGINES)
        self.health.note("a", "done", ENGINES)
        self.assertEqual(self.aside(), {"a"})

    def test_a_grey_engine_costs_few_callers(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                failed, aside = play({"a": 0.45}, seed)
                # Without being set aside it would fail 0.45 of 300 requests.
                self.assertLess(failed, 0.5 * 0.45 * 300)
                self.assertEqual(aside, {"a"})

    def test_failures_that_all_engines_share_set_none_aside_for_being_grey(self):
        usual = dict.fromkeys(ENGINES, 0.05)
        for seed in range(20):
            with self.subTest(seed=seed):
                failed, _ = play(usual, seed)
                self.assertLess(failed, 0.05 * 600 * 2)

    def test_most_of_a_shard_is_never_set_aside(self):
        for name in ("a", "b", "c"):
            self.health.note(name, "unreachable", ENGINES)
        self.assertEqual(self.aside(), set())
