"""Tests of `peridotcove.outlier_detection`, with simulated failing engines."""

import random
import unittest

from peridotcove.clock import FakeClock
from peridotcove.outlier_detection import (
    BASE_EJECTION_MS,
    CONSECUTIVE_FAILURES,
    OutlierDetector,
)

ENGINES = ("a", "b", "c", "d")


def simulate(share_by_engine, seed, requests=600, gap_ms=20):
    """Send requests to engines not ejected; return failures and ejected engines."""
    clock, rng = FakeClock(), random.Random(seed)
    detector = OutlierDetector(clock)
    failed, ejected = 0, set()
    for number in range(requests):
        clock.advance(gap_ms)
        ejected_now = detector.ejected_engines(ENGINES)
        ejected |= ejected_now
        engine = [name for name in ENGINES if name not in ejected_now][number % 2]
        is_failure = rng.random() < share_by_engine.get(engine, 0.0)
        failed += is_failure
        detector.record_outcome(engine, "failed" if is_failure else "done", ENGINES)
    return failed, ejected


class OutlierDetectorTest(unittest.TestCase):
    """Ejection of engines, and failures seen by callers."""

    def setUp(self):
        self.clock = FakeClock()
        self.detector = OutlierDetector(self.clock)

    def ejected_engines(self):
        return set(self.detector.ejected_engines(ENGINES))

    def test_consecutive_failures_eject_an_engine(self):
        for _ in range(CONSECUTIVE_FAILURES - 1):
            self.detector.record_outcome("a", "failed", ENGINES)
        self.assertEqual(self.ejected_engines(), set())
        self.detector.record_outcome("a", "failed", ENGINES)
        self.assertEqual(self.ejected_engines(), {"a"})
        self.clock.advance(BASE_EJECTION_MS)
        self.assertEqual(self.ejected_engines(), set())

    def test_unreachable_engine_is_ejected_at_once_and_longer_each_time(self):
        self.detector.record_outcome("a", "unreachable", ENGINES)
        self.assertEqual(self.ejected_engines(), {"a"})
        self.clock.advance(BASE_EJECTION_MS)
        self.detector.record_outcome("a", "unreachable", ENGINES)
        self.clock.advance(BASE_EJECTION_MS)
        self.assertEqual(self.ejected_engines(), {"a"})
        self.clock.advance(BASE_EJECTION_MS)
        self.detector.record_outcome("a", "done", ENGINES)
        self.assertEqual(self.ejected_engines(), set())

    def test_success_does_not_end_the_ejection(self):
        self.detector.record_outcome("a", "unreachable", ENGINES)
        self.detector.record_outcome("a", "done", ENGINES)
        self.assertEqual(self.ejected_engines(), {"a"})

    def test_partly_failing_engine_affects_few_requests(self):
        for seed in range(20):
            with self.subTest(seed=seed):
                failed, ejected = simulate({"a": 0.45}, seed)
                # Without ejection it would fail 0.45 of 300 requests.
                self.assertLess(failed, 0.5 * 0.45 * 300)
                self.assertEqual(ejected, {"a"})

    def test_common_failure_rate_does_not_multiply_failures(self):
        shares = dict.fromkeys(ENGINES, 0.05)
        for seed in range(20):
            with self.subTest(seed=seed):
                failed, _ = simulate(shares, seed)
                self.assertLess(failed, 0.05 * 600 * 2)

    def test_majority_of_a_shard_is_never_ejected(self):
        for name in ("a", "b", "c"):
            self.detector.record_outcome(name, "unreachable", ENGINES)
        self.assertEqual(self.ejected_engines(), set())
