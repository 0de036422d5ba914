"""Tests of `peridotcove.revision_fetcher`: when peers are asked for a revision."""

import random
import unittest

from peridotcove.clock import FakeClock
from peridotcove.nodes.configuration_messages import AskConfiguration
from peridotcove.revision_fetcher import MIN_GRACE_MS, RevisionFetcher


class PullsTest(unittest.TestCase):
    """A node with nothing asks at once, another one waits to be sent the revision."""

    def test_when_a_peer_is_asked(self):
        for held, waits in ((0, False), (4, True)):
            with self.subTest(held=held):
                clock = FakeClock()
                pulls = RevisionFetcher(clock, random.Random(1), lambda: ())
                pulls.record_peer_revision("n2", 5, held)
                asked = pulls.tick(held, held.__lt__)
                self.assertEqual(asked == [], waits)
                clock.advance(4 * MIN_GRACE_MS)
                asked += pulls.tick(held, held.__lt__)
                self.assertEqual(
                    [(one.peer, one.message) for one in asked],
                    [("n2", AskConfiguration(held))],
                )
