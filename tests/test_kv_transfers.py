"""Tests of `peridotcove.kv_transfers`."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.kv_transfers import CachedPrefix, TransferCosts, plan_transfers
from peridotcove.models import Engine

COSTS = TransferCosts(bytes_per_block=1_000_000, prefill_ms_per_block=8.0)


def make_engine(name, zone="z1", model="m"):
    return Engine(name, f"http://127.0.0.1/{name}", zone, model)


PREFIXES = st.lists(
    st.builds(CachedPrefix, st.integers(1, 99), st.integers(0, 60), st.floats(0, 3)),
    unique_by=lambda prefix: prefix.key,
)


class TestPlanTransfers(unittest.TestCase):
    """Planned transfers pay, and stay within the budget and the free cache."""

    @given(prefixes=PREFIXES, budget=st.integers(0, 10**8), free=st.integers(0, 80))
    def test_transfers_pay_and_fit(self, prefixes, budget, free):
        targets = [(make_engine("b"), free), (make_engine("c", "z2"), free)]
        transfers = plan_transfers(make_engine("a"), targets, prefixes, COSTS, budget)
        self.assertTrue(all(transfer.saved_ms > 0 for transfer in transfers))
        self.assertLessEqual(
            sum(transfer.transfer_bytes for transfer in transfers), budget
        )
        for name in "bc":
            size = sum(item.transfer_bytes for item in transfers if item.target == name)
            self.assertLessEqual(size, free * COSTS.bytes_per_block)
        self.assertEqual(len({transfer.key for transfer in transfers}), len(transfers))

    def test_selected_targets(self):
        near, far = make_engine("b"), make_engine("c", "z2")
        slow = TransferCosts(1_000_000, 8.0, cross_zone_bytes_per_second=1e8)
        cases = [
            ("near pays", [near], CachedPrefix(1, 10, 1.0), COSTS, ["b"]),
            ("near before far", [far, near], CachedPrefix(1, 10, 1.0), COSTS, ["b"]),
            ("far pays", [far], CachedPrefix(1, 10, 1.0), COSTS, ["c"]),
            ("far is too slow", [far], CachedPrefix(1, 10, 1.0), slow, []),
            ("unlikely to be used", [near], CachedPrefix(1, 10, 0.01), COSTS, []),
            (
                "another model",
                [make_engine("d", "z1", "n")],
                CachedPrefix(1, 9, 1),
                COSTS,
                [],
            ),
        ]
        for title, engines, prefix, costs, expected in cases:
            with self.subTest(title):
                targets = [(engine, 100) for engine in engines]
                transfers = plan_transfers(
                    make_engine("a"), targets, [prefix], costs, 10**9
                )
                self.assertEqual([transfer.target for transfer in transfers], expected)
