"""Tests of when a node requests a revision from a peer."""

import random
import unittest

from peridotcove.clock import FakeClock
from peridotcove.nodes.configuration_messages import AskConfiguration
from peridotcove.revision_fetcher import MIN_GRACE_MS, RETRY_MS, RevisionFetcher


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

    # Each push that a node could not apply asked again for a large revision on its way,
    # so that a thin link carried copies of it for seconds.
    def test_a_revision_is_not_requested_again_while_its_answer_is_on_its_way(self):
        clock = FakeClock()
        fetcher = RevisionFetcher(clock, random.Random(1), lambda: ())
        fetcher.record_peer_revision("n2", 5, 4)
        asked = fetcher.request_now("n2", 4)
        for _ in range(RETRY_MS // 100 - 1):
            clock.advance(100)
            asked += fetcher.request_now("n2", 4)
            asked += fetcher.request_now("n3", 4)
        self.assertEqual(len(asked), 1)
        clock.advance(100)
        self.assertEqual(len(fetcher.request_now("n3", 4)), 1)

    def test_the_next_revision_is_requested_soon_after_one_came(self):
        clock = FakeClock()
        fetcher = RevisionFetcher(clock, random.Random(1), lambda: ())
        fetcher.request_now("n2", 4)
        fetcher.record_progress()
        clock.advance(MIN_GRACE_MS)
        self.assertEqual(len(fetcher.request_now("n2", 5)), 1)
