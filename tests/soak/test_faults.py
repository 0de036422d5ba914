"""Tests of `tests.soak.faults`: no fault fails for want of a node to hit."""

import asyncio
import random
import unittest
from types import SimpleNamespace

from tests.soak.faults import FAULTS, FaultContext
from tests.soak.promises import Promises

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

    def test_no_unaffected_node_remains(self):
        world = SimpleNamespace(ways=[], promises=Promises(0.2, 30))
        rng = random.Random(1)
        rng.uniform = lambda low, high: 0.0
        for name in NODE_FAULTS:
            with self.subTest(fault=name):
                asyncio.run(FAULTS.get(name)(FaultContext(world, rng)))
        self.assertEqual(world.promises.violations, [])
