"""Tests of `peridotcove.engine_time.read_rates`."""

import random
import unittest

from attrs import evolve

from peridotcove.engine_time.read_rates import (
    MAX_RATE_FACTOR,
    START_TOKENS_PER_MS,
    ReadRates,
)
from peridotcove.models import Engine

ENGINES = [Engine(name, "http://127.0.0.1:1", "z", "m") for name in "abcd"]


class ReadRatesTest(unittest.TestCase):
    """Rates of engines with noisy times."""

    def setUp(self):
        self.rng = random.Random(1)
        self.rates = ReadRates()
        self.rates.set_engines(ENGINES)

    def add(self, name, rate, count, fixed_ms=30):
        for _ in range(count):
            tokens = self.rng.choice((100, 600, 2_000, 9_000))
            first_ms = (fixed_ms + tokens / rate) * self.rng.uniform(0.8, 1.2)
            self.rates.add(name, tokens, first_ms)

    def test_rate_is_learnt(self):
        for name, rate in zip("abc", (38.4, 38.4, 29.5), strict=True):
            self.add(name, rate, 100)
            self.assertAlmostEqual(self.rates.get_rate(name) / rate, 1.0, delta=0.1)
        self.assertAlmostEqual(self.rates.tokens_per_ms / 38.4, 1.0, delta=0.1)

    def test_an_engine_without_answers_is_taken_to_be_like_its_peers(self):
        self.assertEqual(self.rates.get_rate("d"), START_TOKENS_PER_MS)
        for name in "abc":
            self.add(name, 20.0, 50)
        self.rates.set_engines([*ENGINES, evolve(ENGINES[0], name="new")])
        for name in ("d", "new"):
            if name == "d":
                self.rates.add(name, 600, 60)
            self.assertAlmostEqual(self.rates.get_rate(name) / 20, 1.0, delta=0.15)
            self.assertFalse(self.rates.is_known(name))

    def test_impossible_times_leave_a_sane_rate(self):
        for first_ms in (1, 60_000):
            for _ in range(300):
                self.rates.add("a", self.rng.choice((100, 9_000)), first_ms)
            factor = self.rates.get_rate("a") / START_TOKENS_PER_MS
            self.assertLessEqual(factor, MAX_RATE_FACTOR + 1e-9)
            self.assertGreaterEqual(factor, 1 / MAX_RATE_FACTOR - 1e-9)

    def test_a_few_prompts_that_were_not_cached_spoil_no_rate(self):
        for number in range(400):
            tokens = self.rng.choice((100, 600, 2_000, 9_000))
            read = 9_000 if number % 20 == 0 else tokens
            self.rates.add("a", tokens, 30 + read / 40)
        self.assertAlmostEqual(self.rates.get_rate("a") / 40, 1.0, delta=0.1)

    def test_a_restarted_engine_is_learnt_anew(self):
        self.add("a", 20.0, 200)
        engines = [evolve(one, incarnation=2) for one in ENGINES]
        self.rates.set_engines(engines)
        self.assertFalse(self.rates.is_known("a"))
        self.add("a", 50.0, 60)
        self.assertAlmostEqual(self.rates.get_rate("a") / 50, 1.0, delta=0.15)

    def test_time_factor_of_engines_without_prompts_follows_their_times(self):
        for name, first_ms in zip("abcd", (22, 23, 22, 33), strict=True):
            for _ in range(40):
                self.rates.add(name, 0, first_ms)
        factors = [self.rates.get_time_factor(name) for name in "abc"]
        self.assertEqual(factors, [1.0, 1.0, 1.0])
        self.assertGreater(self.rates.get_time_factor("d"), 1.3)
