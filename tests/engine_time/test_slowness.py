"""Tests of `peridotcove.engine_time.slowness` and of its use."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.engine_time.answer_times import MAX_TIME_MS, AnswerTimes
from peridotcove.engine_time.engine_times import EngineTimes
from peridotcove.engine_time.slowness import HALF_LIFE_MS, MAX_AGE_MS, Slowness
from peridotcove.models import Engine

NAMES = ("a", "b", "c")


class SlownessTest(unittest.TestCase):
    """A figure counts for a short time."""

    def setUp(self):
        self.clock = FakeClock(10_000)
        self.slowness = Slowness(self.clock)

    def test_a_figure_fades_to_the_mean(self):
        self.slowness.record("a", 250, 0)
        mean = self.slowness.get_mean("a")
        self.assertEqual(self.slowness.get_factor("a"), 2.5)
        self.clock.advance(HALF_LIFE_MS)
        self.assertAlmostEqual(self.slowness.get_factor("a"), (mean + 2.5) / 2)
        self.clock.advance(MAX_AGE_MS)
        self.assertEqual(self.slowness.get_factor("a"), mean)
        self.assertEqual(self.slowness.expire(), ["a"])
        self.assertLess(mean, 1.1)

    def test_an_old_figure_does_not_replace_a_newer_one(self):
        self.slowness.record("a", 100, 0)
        self.slowness.record("a", 250, 200)
        self.assertLess(self.slowness.get_factor("a"), 1.1)

    def test_figures_that_cannot_be_true_are_bounded(self):
        for percent, lowest, highest in ((0, 1, 1), (-5, 1, 1), (10**9, 1, 10)):
            with self.subTest(percent=percent):
                self.slowness = Slowness(self.clock)
                self.slowness.record("a", percent, 0)
                factor = self.slowness.get_factor("a")
                self.assertTrue(lowest <= factor <= highest, factor)


class EngineTimesTest(unittest.TestCase):
    """Figures in the times of all engines."""

    def setUp(self):
        self.clock = FakeClock(10_000)
        self.times = EngineTimes(self.clock)
        self.times.set_engines([Engine(name, "", "z", "m") for name in NAMES])

    def grant(self, name, tokens=0.0, backlog_ms=0.0):
        expected_ms = backlog_ms + self.times.get_usual_fixed_ms(name)
        expected_ms += tokens / self.times.get_usual_rate(name)
        return self.times.record_grant(name, tokens, backlog_ms, expected_ms)

    def record(self, name, first_ms, slowness, age_ms=0, tokens=0.0):
        estimate = self.grant(name, tokens)
        times = AnswerTimes(first_ms, 0, slowness, age_ms)
        return self.times.record(name, estimate, times)

    def test_a_good_figure_attracts_nothing(self):
        self.record("a", 30, 40)
        self.assertEqual(self.times.get_slowness("a"), 1.0)
        self.record("b", 30, 250)
        self.assertEqual(self.times.get_slowness("b"), 2.5)

    def test_figures_are_kept_apart_from_the_speed_for_good(self):
        for _ in range(30):
            for tokens in (100, 9_000):
                for name in NAMES:
                    percent = 200 if name == "a" else 100
                    first_ms = round((30 + tokens / 40) * percent / 100)
                    self.record(name, first_ms, percent, 500, tokens)
                    self.clock.advance(100)
        rates = [self.times.get_rate(name) for name in NAMES]
        for rate in rates:
            self.assertAlmostEqual(rate / 40, 1.0, delta=0.06)

    def test_a_node_that_reports_old_figures_changes_nothing(self):
        self.record("a", 30, 250, MAX_TIME_MS)
        self.assertLess(self.times.get_slowness("a"), 1.1)

    def test_invalid_times_are_ignored(self):
        for times in (
            AnswerTimes(-1, 0, 100, 0),
            AnswerTimes(10**12, 0, 100, 0),
            AnswerTimes(30, -4, 100, 0),
            AnswerTimes(30, 0, -100, 0),
            AnswerTimes(30, 0, 250, -1),
        ):
            with self.subTest(times=times):
                estimate = self.grant("a", 100.0)
                self.times.record("a", estimate, times)
                self.assertEqual(self.times.get_slowness("a"), 1.0)

    def test_an_unknown_engine_is_ignored(self):
        self.assertEqual(self.times.record("x", None, AnswerTimes(30)), (False, 0.0))

    def test_a_delay_is_corrected_once(self):
        for _ in range(20):
            self.record("a", 40, 0)
        grants = [self.grant("a", 1_000.0, 20.0 * i) for i in range(3)]
        corrections = []
        for estimate in grants:
            times = AnswerTimes(round(estimate.expected_ms) + 300)
            corrections.append(self.times.record("a", estimate, times)[1])
        self.assertAlmostEqual(corrections[0], 300, delta=2)
        self.assertEqual(corrections[1:], [0.0, 0.0])
