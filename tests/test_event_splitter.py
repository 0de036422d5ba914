"""Tests of `peridotcove.event_splitter`: complete events, for reads of any size."""

import itertools
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.event_splitter import MAX_EVENT_BYTES, EventSplitter


def make_event(number):
    return b"id: %d\ndata: token %d\n\n" % (number, number)


HEAD = [b"HTTP/1.1 200 OK\r\n", b"X-Request-Id: 7f\r\n", b"Server-Load: 1,0,8\r\n"]


class EventSplitterTest(unittest.TestCase):
    """No event is lost, and no partial event is passed on."""

    @given(st.integers(0, 12), st.lists(st.integers(0, 300), max_size=20))
    def test_reads_of_any_size(self, count, cuts):
        stream = b"".join(map(make_event, range(1, count + 1))) + b"id: 99\nda"
        bounds = sorted({min(cut, len(stream)) for cut in cuts} | {0, len(stream)})
        splitter, passed = EventSplitter(), b""
        for begin, end in zip(bounds, bounds[1:], strict=False):
            complete = splitter.feed(stream[begin:end])
            self.assertTrue(not complete or complete.endswith(b"\n\n"))
            passed += complete
        self.assertEqual(passed, b"".join(map(make_event, range(1, count + 1))))
        self.assertEqual(splitter.last_id, str(count) if count else "")
        self.assertEqual(splitter.flush(), b"id: 99\nda")

    def test_stream_is_resumed_by_another_engine(self):
        splitter = EventSplitter()
        splitter.feed(make_event(1) + b"id: 2\nda")
        splitter.discard_partial()
        self.assertEqual(splitter.feed(make_event(2)), make_event(2))
        self.assertEqual((splitter.last_id, splitter.count), ("2", 2))

    def test_event_of_which_a_part_came_is_lacking_until_it_is_whole(self):
        splitter = EventSplitter()
        splitter.feed(make_event(1) + b"id: 2\nda")
        splitter.discard_partial()
        self.assertTrue(splitter.lacks_event)
        splitter.feed(make_event(2))
        splitter.discard_partial()
        self.assertFalse(splitter.lacks_event)

    def test_event_ids_that_do_not_increase_are_an_error(self):
        for number in (1, 2, 9, 10):
            splitter = EventSplitter()
            splitter.feed(make_event(10))
            with self.subTest(number=number), self.assertRaises(ValueError):
                splitter.feed(make_event(number))

    def test_ids_that_are_no_numbers_have_no_order(self):
        splitter = EventSplitter()
        for name in (b"b", b"a", b"a"):
            splitter.feed(b"id: " + name + b"\n\n")
        self.assertEqual(splitter.count, 3)

    def test_an_event_without_end_is_an_error(self):
        splitter = EventSplitter()
        with self.assertRaises(ValueError):
            splitter.feed(b"x" * (MAX_EVENT_BYTES + 1))

    # Bytes that may be the begin of a second copy were discarded as if they were one.
    @given(st.integers(1, 3), st.data())
    def test_events_end_where_the_whole_head_of_a_copy_came(self, count, data):
        events = b"".join(map(make_event, range(1, count + 1)))
        head = b"".join(HEAD) + b"\r\n"
        copy = head + events
        length = data.draw(st.integers(1, len(copy)))
        stream = events + copy[:length]
        cuts = data.draw(st.lists(st.integers(0, len(stream)), max_size=8))
        splitter, passed = EventSplitter(), b""
        splitter.head_lines = HEAD
        for begin, end in itertools.pairwise(sorted({0, *cuts, len(stream)})):
            passed += splitter.feed(stream[begin:end])
        self.assertEqual(passed, events)
        self.assertEqual(splitter.ended, length >= len(head))
        self.assertEqual(splitter.flush(), b"" if splitter.ended else copy[:length])

    def test_other_heads_in_place_of_events_are_an_error(self):
        for text in (b"HTTP/1.1 503 x\r\n", HEAD[0] + b"More: 1\r\n", b"HTTP/2\n\n"):
            splitter = EventSplitter()
            splitter.head_lines = HEAD
            splitter.feed(make_event(1))
            with self.subTest(text=text), self.assertRaises(ValueError):
                splitter.feed(text)
