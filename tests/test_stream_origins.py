"""Tests of `peridotcove.stream_origins`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.software_versions import STREAM_LIFE_MS
from peridotcove.stream_origins import (
    MAX_ORIGINS,
    StreamOrigin,
    StreamOrigins,
    hash_stream_id,
)

ONE, TWO = StreamOrigin("m", "v1"), StreamOrigin("m", "v2")


class StreamOriginsTest(unittest.TestCase):
    """Origins are found for as long as a stream may be taken up."""

    def setUp(self):
        self.clock = FakeClock()
        self.origins = StreamOrigins(self.clock)

    def test_the_newest_origin_counts(self):
        self.origins.record(1, ONE)
        self.origins.record(1, TWO)
        self.assertEqual(self.origins.find(1), TWO)
        self.origins.merge([1, 2], ONE)
        self.assertEqual((self.origins.find(1), self.origins.find(2)), (ONE, ONE))
        self.assertIsNone(self.origins.find(3))

    def test_origins_are_forgotten_after_the_life_of_a_stream(self):
        self.origins.record(1, ONE)
        self.clock.advance(STREAM_LIFE_MS - 1)
        self.origins.record(2, ONE)
        self.assertEqual(self.origins.find(1), ONE)
        self.clock.advance(1)
        self.assertIsNone(self.origins.find(1))
        self.assertEqual(len(self.origins), 1)

    def test_a_stream_that_goes_on_is_remembered_longer(self):
        for stream in (1, 2):
            self.origins.record(stream, ONE)
        self.clock.advance(STREAM_LIFE_MS - 1)
        self.origins.record(1, ONE)
        self.clock.advance(1)
        self.assertEqual((self.origins.find(1), self.origins.find(2)), (ONE, None))

    def test_the_number_of_origins_is_bounded(self):
        for stream in range(2 * MAX_ORIGINS):
            self.origins.record(stream, ONE)
        self.assertEqual(len(self.origins), MAX_ORIGINS)
        self.assertIsNone(self.origins.find(MAX_ORIGINS - 1))
        self.assertEqual(self.origins.find(MAX_ORIGINS), ONE)
        (streams,) = self.origins.pop_unshared("m").values()
        self.assertEqual(len(streams), MAX_ORIGINS)

    def test_origins_are_shared_once_and_by_model(self):
        other = StreamOrigin("other", "v1")
        for stream, origin in ((1, ONE), (2, TWO), (3, ONE), (4, other)):
            self.origins.record(stream, origin)
        self.origins.merge([5], ONE)
        shared = self.origins.pop_unshared("m")
        self.assertEqual(shared, {ONE: [1, 3], TWO: [2]})
        self.assertEqual(self.origins.pop_unshared("m"), {})
        self.assertEqual(self.origins.pop_unshared("other"), {other: [4]})
        self.assertEqual(self.origins.find_all("m"), {ONE: [1, 3, 5], TWO: [2]})

    def test_ids_of_any_text_have_a_hash_that_fits_into_a_message(self):
        for text in ("", "r1", "\u00fc", "\ud800", "x" * 10_000):
            with self.subTest(text=text[:10]):
                self.assertLess(hash_stream_id(text), 1 << 64)
