"""Tests of the timeline events of ticketed calls."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.nodes.ticketed_call_messages import RunTicketed, TicketedAnswer
from peridotcove.ticketed_call_events import TicketedCallEvents, read_request_id
from peridotcove.timeline import Timeline

REQUEST_ID = bytes(range(8))
HEADERS = [["X-Request-Id", REQUEST_ID.hex()]]


class TicketedCallEventsTest(unittest.TestCase):
    """A forwarded call can be traced on both nodes by its request id."""

    def test_both_nodes_record_the_request_id(self):
        moved = RunTicketed(b"call", 1, "t", "c", "POST", "s", "/", HEADERS, b"")
        answer = TicketedAnswer(b"call", "ran", "", 200, [], b"")
        timelines = [Timeline(FakeClock(), name) for name in ("n1", "n2")]
        entry, minter = map(TicketedCallEvents, timelines)
        entry.record_sent("n2", moved)
        minter.record_received("n1", moved)
        minter.record_sent("n1", answer)
        entry.record_received("n2", answer)
        kinds = [[event.kind for event in timeline.events()] for timeline in timelines]
        self.assertEqual(kinds[0], ["request-moved", "move-answer-received"])
        self.assertEqual(kinds[1], ["move-received", "move-answered"])
        for timeline in timelines:
            self.assertEqual(
                {item.request_id for item in timeline.events()}, {REQUEST_ID}
            )

    def test_invalid_request_ids_are_ignored(self):
        for value in ("", "xyz", "g" * 16, "00" * 9):
            with self.subTest(value=value):
                self.assertEqual(read_request_id([("x-request-id", value)]), b"")
