"""Tests of `peridotcove.timeline`."""

import json
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.timeline import Timeline, event_kinds


class TimelineTest(unittest.TestCase):
    """The event buffer is bounded and its sequence numbers have no gaps."""

    @given(st.integers(1, 8), st.integers(0, 30), st.integers(0, 40))
    def test_keeps_latest_events(self, capacity, count, after):
        timeline = Timeline(FakeClock(), "n1", capacity)
        for _ in range(count):
            timeline.record("request-arrived", request_id=b"\1" * 8)
        export = json.loads(json.dumps(timeline.export(after)))
        kept = range(max(1, count - capacity + 1), count + 1)
        sequences = [event[0] for event in export["events"]]
        self.assertEqual(sequences, [number for number in kept if number > after])
        self.assertEqual(export["lost"], max(0, kept.start - 1 - after))

    def test_limit_returns_oldest_events(self):
        timeline = Timeline(FakeClock(), "n1")
        for _ in range(5):
            timeline.record("peer-up", peer="n2")
        self.assertEqual([event.sequence for event in timeline.events(1, 2)], [2, 3])

    def test_unknown_kind_or_field_is_rejected(self):
        timeline = Timeline(FakeClock(), "n1")
        for error, kind, fields in (
            (KeyError, "lease-lost", {}),
            (TypeError, "peer-up", {"color": 1}),
        ):
            with self.subTest(kind=kind), self.assertRaises(error):
                timeline.record(kind, **fields)
        self.assertEqual(timeline.record("peer-up"), 1)

    def test_cause_kinds_are_registered(self):
        for kind in event_kinds.by_name.values():
            for cause_kind in kind.cause_kinds:
                self.assertIn(cause_kind, event_kinds.by_name)
