"""What callers get under a load that engines hardly bear.

An owner that counts requests takes all engines to be equally fast, and a prompt of
20,000 tokens to be as much work as one of 100: short prompts wait behind long ones, and
engines that are slow, for good or at the moment, get as much as the others.
"""

import random
import unittest
from functools import cache

from tests.engine_time.played_load import (
    SEEDS,
    FakeEngine,
    Kind,
    Play,
    find_quantile,
    share_on_time,
)

ENGINES = 12
WARM_UP_MS, END_MS = 10_000, 40_000
KINDS = (("long", 20_000, 1_235, 0.1), ("middle", 1_000, 519, 0.4))
KINDS += (("short", 100, 415, 0.5),)
NOISE_FACTOR = 1 + 0.15 * 1.5


def make_engines(seed, rate=38.4, slow_factor=1.3, noise=0.15):
    """Return engines of which a third are slower for good, and all at times."""
    return {
        f"e{i:02}": FakeEngine(
            rate / (slow_factor if i % 3 == 2 else 1.0),
            noise,
            rng=random.Random(f"{seed} {i}"),
        )
        for i in range(ENGINES)
    }


def make_kinds(use, rate=38.4, slow_factor=1.3, noise_factor=NOISE_FACTOR):
    """Return the kinds of a load that takes a share of the engines' time."""
    speed = rate * (2 / 3 + 1 / 3 / slow_factor) / noise_factor
    mean_tokens = sum(tokens * share for _, tokens, _, share in KINDS)
    per_s = ENGINES * speed * 1000 * use / mean_tokens
    return [
        Kind(name, per_s * share, tokens, goal_ms)
        for name, tokens, goal_ms, share in KINDS
    ]


@cache
def play(use, seed, learns, knows_all=False):
    """Return the results of a play after its warm-up."""
    kinds = make_kinds(use)
    one = Play(make_engines(seed), kinds, seed, learns, knows_all)
    return [item for item in one.run(END_MS) if item.asked_ms >= WARM_UP_MS]


def share_late(results, name=None):
    """Return the share of requests that were late, of one kind or of all."""
    return 1 - share_on_time(results, name)


class UnevenEnginesTest(unittest.TestCase):
    """Three speeds, machines shared with others, and prompts of very different size."""

    def test_late_requests_are_at_most_half_of_those_by_count(self):
        for use in (0.7, 0.85):
            for seed in SEEDS:
                by_count = play(use, seed, False)
                learnt = play(use, seed, True)
                best = play(use, seed, False, knows_all=True)
                for kind in (None, *(kind[0] for kind in KINDS)):
                    with self.subTest(use=use, seed=seed, kind=kind):
                        lowest = share_late(best, kind)
                        gap = share_late(by_count, kind) - lowest
                        self.assertGreater(gap, 0.05)
                        self.assertLessEqual(share_late(learnt, kind) - lowest, gap / 2)

    def test_no_quantile_is_worse_than_by_count(self):
        for seed in SEEDS:
            for share in (0.5, 0.9, 0.99):
                with self.subTest(seed=seed, share=share):
                    by_count = find_quantile(play(0.85, seed, False), share)
                    learnt = find_quantile(play(0.85, seed, True), share)
                    self.assertLess(learnt, by_count)

    def test_a_new_owner_learns_again(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                one = Play(make_engines(seed), make_kinds(0.85), seed)
                one.at(END_MS // 2, one.replace_owner)
                results = one.run(END_MS)
                end = [item for item in results if item.asked_ms >= 0.75 * END_MS]
                by_count = [
                    item
                    for item in play(0.85, seed, False)
                    if item.asked_ms >= 0.75 * END_MS
                ]
                self.assertLessEqual(share_late(end), share_late(by_count) / 2)


class DeadlineTest(unittest.TestCase):
    """Prompts that take half again as long to read as there is time."""

    LOAD, LIMIT_MS = 1.5, 3_114

    @classmethod
    def setUpClass(cls):
        cls.results_by_seed = {}
        for seed in SEEDS:
            kinds = make_kinds(cls.LOAD)
            for kind in kinds:
                kind.limit_ms = cls.LIMIT_MS
            one = Play(make_engines(seed), kinds, seed, returns=1)
            results = one.run(END_MS)
            cls.results_by_seed[seed] = [
                item for item in results if item.asked_ms >= WARM_UP_MS
            ]

    def test_room_goes_to_requests_that_meet_their_deadline(self):
        for seed, results in self.results_by_seed.items():
            with self.subTest(seed=seed):
                tokens = sum(item.kind.tokens for item in results)
                answered = sum(
                    item.kind.tokens
                    for item in results
                    if item.first_ms is not None and item.first_ms <= self.LIMIT_MS
                )
                self.assertGreaterEqual(answered / tokens, 0.8 / self.LOAD)

    def test_what_cannot_be_is_refused_at_once(self):
        for seed, results in self.results_by_seed.items():
            with self.subTest(seed=seed):
                refused = [item for item in results if item.refusals]
                held_ms = [item.refusals[0][0] - item.asked_ms for item in refused]
                self.assertGreater(len(refused), 100)
                self.assertLessEqual(sum(held_ms) / len(held_ms), 415 / 8)
                late = [
                    item
                    for item in results
                    if item.first_ms is not None and item.first_ms > self.LIMIT_MS
                ]
                self.assertLessEqual(len(late), 0.05 * len(results))


class EvenEnginesTest(unittest.TestCase):
    """Engines that read as fast as is assumed of unknown ones."""

    def test_requests_go_where_they_went_by_count(self):
        kinds = make_kinds(0.5, 50.0, 1.0, 1.0)
        first_by_learning = {}
        for learns in (False, True):
            engines = make_engines(1, 50.0, 1.0, 0.0)
            results = Play(engines, kinds, 1, learns).run(20_000)
            first_by_learning[learns] = [item.first_ms for item in results]
        self.assertEqual(first_by_learning[False], first_by_learning[True])
