"""Tests of what calls with tickets leave on the time line."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.nodes.once_messages import RunTicketed, TicketedAnswer
from peridotcove.ticketed_call_events import TicketedCallEvents, read_request_id
from peridotcove.timeline import Timeline

REQUEST_ID = bytes(range(8))
HEADERS = [["X-Request-Id", REQUEST_ID.hex()]]


class OnceEventsTest(unittest.TestCase):
    """A moved call can be followed over both nodes."""

    def test_both_ends_name_the_request(self):
        moved = RunTicketed(b"call", 1, "t", "c", "POST", "s", "/", HEADERS, b"")
        answer = TicketedAnswer(b"call", "ran", "", 200, [], b"")
        timelines = [Timeline(FakeClock(), name) for name in ("n1", "n2")]
        entry, minter = map(TicketedCallEvents, timelines)
        entry.record_sent("n2", moved)
        minter.record_received("n1", moved)
        minter.record_sent("n1", answer)
        entry.record_received("n2", answer)
        kinds = [[event.kind for event in line.events()] for line in timelines]
        self.assertEqual(kinds[0], ["request-moved", "move-answer-received"])
        self.assertEqual(kinds[1], ["move-received", "move-answered"])
        for line in timelines:
            self.assertEqual({item.request_id for item in line.events()}, {REQUEST_ID})

    def test_ids_that_are_none(self):
        for value in ("", "xyz", "g" * 16, "00" * 9):
            with self.subTest(value=value):
                self.assertEqual(read_request_id([("x-request-id", value)]), b"")
