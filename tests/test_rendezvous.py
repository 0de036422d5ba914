"""Tests of `peridotcove.rendezvous`."""

import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.rendezvous import RendezvousRanking, rank

KEYS = st.integers(0, 2**64 - 1)
WEIGHTS = st.dictionaries(st.text(max_size=5), st.floats(0.1, 10), min_size=1)


class TestRank(unittest.TestCase):
    """Weighted rendezvous hashing."""

    @given(key=KEYS, weights=WEIGHTS, data=st.data())
    def test_ranking_depends_only_on_its_inputs(self, key, weights, data):
        shuffled = dict(data.draw(st.permutations(list(weights.items()))))
        order = rank(key, weights)
        self.assertEqual(order, rank(key, shuffled))
        self.assertEqual(order, RendezvousRanking(shuffled).order(key))
        self.assertCountEqual(order, weights)

    @given(key=KEYS, weights=WEIGHTS, data=st.data())
    def test_removed_name_keeps_the_order_of_the_rest(self, key, weights, data):
        gone = data.draw(st.sampled_from(sorted(weights)))
        rest = {name: weight for name, weight in weights.items() if name != gone}
        expected = [name for name in rank(key, weights) if name != gone]
        self.assertEqual(rank(key, rest), expected)

    def test_shares_follow_weights(self):
        ranking = RendezvousRanking({"a": 1.0, "b": 1.0, "c": 2.0})
        wins = Counter(ranking.order(key * 7919)[0] for key in range(8000))
        self.assertAlmostEqual(wins["c"] / 8000, 0.5, delta=0.03)
        self.assertAlmostEqual(wins["a"] / 8000, 0.25, delta=0.03)

    def test_added_or_removed_name_moves_at_most_a_fair_share(self):
        for count in (6, 9, 44):
            with self.subTest(count=count):
                names = {f"engine-{number}": 1.0 for number in range(count)}
                more = RendezvousRanking({**names, "engine-new": 1.0})
                fewer = RendezvousRanking(names)
                keys = [key * 104729 for key in range(20_000)]
                moved = sum(more.order(k)[0] != fewer.order(k)[0] for k in keys)
                self.assertLessEqual(moved / len(keys), 1.2 / (count + 1))

    @given(key=KEYS, weights=WEIGHTS, equal=st.booleans(), data=st.data())
    def test_best_is_the_first_allowed_name_of_the_ranking(
        self, key, weights, equal, data
    ):
        weights = dict.fromkeys(weights, 1.5) if equal else weights
        allowed = data.draw(st.sets(st.sampled_from(sorted(weights))))
        ranking = RendezvousRanking(weights)
        expected = [name for name in ranking.order(key) if name in allowed]
        self.assertEqual(ranking.best(key, allowed), (expected or [None])[0])
        self.assertEqual(ranking.best(key), ranking.order(key)[0])
