"""A short upgrade of real nodes from the last release, and its roll-back begun."""

import asyncio
import pathlib
import tempfile
import unittest

from tests.soak.builds import BuildUnavailable, extract_build, read_release_commit
from tests.soak.processes import CURRENT_BUILD
from tests.soak.upgrade import run_upgrade

SEED = 1
NODES, SERVERS = 7, 5
# Nodes that get the earlier build back.
RETURNED = 2
MIN_SERVED_SHARE = 0.8


class UpgradeTest(unittest.TestCase):
    """Nodes of the last release and of this build keep all promises side by side."""

    def test_replacing_each_node_breaks_no_promise(self):
        """An unavailable release fails the test: a clone has to have its commit."""
        with tempfile.TemporaryDirectory() as folder:
            earlier = extract_build(read_release_commit(), pathlib.Path(folder))
            outcome = asyncio.run(
                run_upgrade(
                    SEED, (earlier, CURRENT_BUILD), NODES, SERVERS, returned=RETURNED
                )
            )
        stalls = f"clients and servers stalled for {outcome.stalled_ms} ms"
        self.assertEqual(outcome.violations, (), stalls)
        self.assertGreater(outcome.served, MIN_SERVED_SHARE * outcome.requests)
        self.assertGreater(outcome.taken_up, 0)

    def test_an_unknown_commit_is_named(self):
        with (
            tempfile.TemporaryDirectory() as folder,
            self.assertRaisesRegex(BuildUnavailable, "0123456.*whole history"),
        ):
            extract_build("0123456", pathlib.Path(folder))
