"""Tests of a node's ring of events."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.timeline import Timeline, event_kinds


class TimelineTest(unittest.TestCase):
    """The ring is bounded and numbers its events without gaps."""

    @given(st.integers(1, 8), st.integers(0, 30), st.integers(0, 40))
    def test_keeps_the_last_events(self, capacity, count, after):
        ring = Timeline(FakeClock(), "n1", capacity)
        for _ in range(count):
            ring.record("request-arrived", request_id=b"\1" * 8)
        export = json.loads(json.dumps(ring.export(after)))
        kept = range(max(1, count - capacity + 1), count + 1)
        sequences = [event[0] for event in export["events"]]
        self.assertEqual(sequences, [number for number in kept if number > after])
        self.assertEqual(export["lost"], max(0, kept.start - 1 - after))

    def test_limit_gives_the_oldest_first(self):
        ring = Timeline(FakeClock(), "n1")
        for _ in range(5):
            ring.record("peer-up", peer="n2")
        self.assertEqual([event.sequence for event in ring.events(1, 2)], [2, 3])

    def test_refuses_an_unknown_kind_or_field(self):
        ring = Timeline(FakeClock(), "n1")
        for error, kind, fields in (
            (KeyError, "lease-lost", {}),
            (TypeError, "peer-up", {"color": 1}),
        ):
            with self.subTest(kind=kind), self.assertRaises(error):
                ring.record(kind, **fields)
        self.assertEqual(ring.record("peer-up"), 1)

    def test_kinds_follow_registered_kinds(self):
        for kind in event_kinds.by_name.values():
            for earlier in kind.after:
                self.assertIn(earlier, event_kinds.by_name)
