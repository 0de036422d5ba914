"""Tests of `tests.soak.faults`: no fault fails for want of a node to hit."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from tests.soak.faults import FAULTS, Scene
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
    """Faults overlap, so that all nodes may be hit already."""

    def test_no_node_is_left(self):
        fleet = SimpleNamespace(store_links=[], promises=PromiseChecker(0.2, 30))
        rng = random.Random(1)
        rng.uniform = lambda low, high: 0.0
        for name in NODE_FAULTS:
            with self.subTest(fault=name):
                asyncio.run(FAULTS.get(name)(Scene(fleet, rng)))
        self.assertEqual(fleet.promises.violations, [])
