"""Tests of the timeline events that record how a revision propagates."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.nodes.configuration_messages import AskConfiguration, Delta, Offer
from peridotcove.revision_events import RevisionEvents
from peridotcove.revisions import RefusedRevision
from peridotcove.timeline import Timeline


def record_events(*calls):
    """Return kind, revision and peer of the events that the calls record."""
    ring = Timeline(FakeClock(), "n1")
    events = RevisionEvents(ring)
    for name, *arguments in calls:
        getattr(events, name)(*arguments)
    return [(event.kind, event.revision, event.peer) for event in ring.events()]


CASES = (
    (
        [("record_in_force", 3)],
        [("revision-read", 3, ""), ("revision-in-force", 3, "")],
    ),
    (
        [("record_received", "n2", Delta(2, 3, [], [])), ("record_in_force", 3)],
        [("revision-received", 3, "n2"), ("revision-in-force", 3, "")],
    ),
    (
        [
            ("record_received", "n2", Offer(3, [])),
            ("record_received", "n3", Delta(2, 3, [], [])),
        ],
        [("revision-received", 3, "n2")],
    ),
    (
        [("record_sent", "n2", Delta(2, 3, [], [])), ("record_in_force", 3)],
        [
            ("revision-read", 3, ""),
            ("revision-sent", 3, "n2"),
            ("revision-in-force", 3, ""),
        ],
    ),
    (
        [
            ("record_sent", "n2", Offer(0, [])),
            ("record_sent", "n2", AskConfiguration(1)),
        ],
        [],
    ),
    (
        [
            ("record_refused", None),
            ("record_refused", RefusedRevision(4, ("x",))),
            ("record_refused", RefusedRevision(4, ())),
        ],
        [("revision-refused", 4, "")],
    ),
)


class RevisionEventsTest(unittest.TestCase):
    """Each step of a revision is recorded as one event."""

    def test_steps(self):
        for calls, expected in CASES:
            with self.subTest(calls=calls):
                self.assertEqual(record_events(*calls), expected)
