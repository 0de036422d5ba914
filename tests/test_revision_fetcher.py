"""Tests of when a node requests a revision from a peer."""

import random
import unittest

from peridotcove.clock import FakeClock
from peridotcove.nodes.configuration_messages import AskConfiguration
from peridotcove.revision_fetcher import MIN_GRACE_MS, RevisionFetcher


class RevisionFetcherTest(unittest.TestCase):
    """A node without a revision requests one at once; others first wait for a push."""

    def test_when_a_peer_is_queried(self):
        for held, waits in ((0, False), (4, True)):
            with self.subTest(held=held):
                clock = FakeClock()
                fetcher = RevisionFetcher(clock, random.Random(1), lambda: ())
                fetcher.record_peer_revision("n2", 5, held)
                asked = fetcher.tick(held, held.__lt__)
                self.assertEqual(asked == [], waits)
                clock.advance(4 * MIN_GRACE_MS)
                asked += fetcher.tick(held, held.__lt__)
                self.assertEqual(
                    [(one.peer, one.message) for one in asked],
                    [("n2", AskConfiguration(held))],
                )
