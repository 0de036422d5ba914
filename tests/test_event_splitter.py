"""Tests of `event_splitter`: whole events, however the stream is cut into reads."""

import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.event_splitter import MAX_EVENT_BYTES, EventCutter


def make_event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


class EventCutterTest(unittest.TestCase):
    """Nothing is lost, nothing is passed on in part."""

    @given(st.integers(0, 12), st.lists(st.integers(0, 300), max_size=20))
    def test_reads_of_any_size(self, count, cuts):
        stream = b"".join(map(make_event, range(1, count + 1))) + b"id: 99\nda"
        places = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
        cutter, passed = EventCutter(), b""
        for begin, end in zip(places, places[1:], strict=False):
            whole = cutter.feed(stream[begin:end])
            self.assertTrue(not whole or whole.endswith(b"\n\n"))
            passed += whole
        self.assertEqual(passed, b"".join(map(make_event, range(1, count + 1))))
        self.assertEqual(cutter.last_id, str(count) if count else "")
        self.assertEqual(cutter.take_rest(), b"id: 99\nda")

    def test_another_engine_goes_on(self):
        cutter = EventCutter()
        cutter.feed(make_event(1) + b"id: 2\nda")
        cutter.restart()
        self.assertEqual(cutter.feed(make_event(2)), make_event(2))
        self.assertEqual((cutter.last_id, cutter.count), ("2", 2))

    def test_an_event_without_end_is_an_error(self):
        cutter = EventCutter()
        with self.assertRaises(ValueError):
            cutter.feed(b"x" * (MAX_EVENT_BYTES + 1))
