"""Tests of `peridotcove.kv_transfers`."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.kv_transfers import Prefix, Rates, plan_moves
from peridotcove.models import Engine

RATES = Rates(bytes_per_block=1_000_000, prefill_ms_per_block=8.0)


def make_engine(name, zone="z1", model="m"):
    return Engine(name, f"http://127.0.0.1/{name}", zone, model)


PREFIXES = st.lists(
    st.builds(Prefix, st.integers(1, 99), st.integers(0, 60), st.floats(0, 3)),
    unique_by=lambda prefix: prefix.key,
)


class TestPlanMoves(unittest.TestCase):
    """Moves pay, and stay within the budget and the free cache."""

    @given(prefixes=PREFIXES, budget=st.integers(0, 10**8), free=st.integers(0, 80))
    def test_moves_pay_and_fit(self, prefixes, budget, free):
        targets = [(make_engine("b"), free), (make_engine("c", "z2"), free)]
        moves = plan_moves(make_engine("a"), targets, prefixes, RATES, budget)
        self.assertTrue(all(move.saved_ms > 0 for move in moves))
        self.assertLessEqual(sum(move.moved_bytes for move in moves), budget)
        for name in "bc":
            size = sum(item.moved_bytes for item in moves if item.target == name)
            self.assertLessEqual(size, free * RATES.bytes_per_block)
        self.assertEqual(len({move.key for move in moves}), len(moves))

    def test_table(self):
        near, far = make_engine("b"), make_engine("c", "z2")
        slow = Rates(1_000_000, 8.0, cross_bytes_per_second=1e8)
        cases = [
            ("near pays", [near], Prefix(1, 10, 1.0), RATES, ["b"]),
            ("near before far", [far, near], Prefix(1, 10, 1.0), RATES, ["b"]),
            ("far pays", [far], Prefix(1, 10, 1.0), RATES, ["c"]),
            ("far is too slow", [far], Prefix(1, 10, 1.0), slow, []),
            ("unlikely to be used", [near], Prefix(1, 10, 0.01), RATES, []),
            (
                "another model",
                [make_engine("d", "z1", "n")],
                Prefix(1, 9, 1),
                RATES,
                [],
            ),
        ]
        for title, engines, prefix, rates, expected in cases:
            with self.subTest(title):
                targets = [(engine, 100) for engine in engines]
                moves = plan_moves(make_engine("a"), targets, [prefix], rates, 10**9)
                self.assertEqual([move.target for move in moves], expected)
