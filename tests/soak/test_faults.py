"""Tests of `tests.soak.faults`: a fault must not fail when it finds no free node."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from tests.soak.faults import FAULTS, FaultContext
from tests.soak.promises import PromiseChecker

NODE_FAULTS = (
    "kill",
    "pause",
    "reload",
    "store-cut",
    "store-reset",
    "store-silent",
    "terminate",
    "terminate-twice",
)


class FaultsTest(unittest.TestCase):
    """Faults overlap, so that all nodes may be affected when a fault begins."""

    def test_faults_without_unaffected_nodes(self):
        fleet = SimpleNamespace(store_links=[], promises=PromiseChecker(0.2, 30))
        rng = random.Random(1)
        rng.uniform = lambda low, high: 0.0
        for name in NODE_FAULTS:
            with self.subTest(fault=name):
                asyncio.run(FAULTS.get(name)(FaultContext(fleet, rng)))
        self.assertEqual(fleet.promises.violations, [])
