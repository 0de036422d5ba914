"""Tests of `peridotcove.platform.dialect`."""

import unittest

from tornado.httputil import HTTPHeaders

from peridotcove.platform.dialect import MAX_SLOWNESS, read_slowness


class ReadSlownessTest(unittest.TestCase):
    """The fourth figure of a server's load may be missing or false."""

    def test_figures(self):
        for value, expected in (
            ("3,0,24,100", 100),
            ("3, 0, 24, 250", 250),
            ("3,0,24,250,7", 250),
            ("3,0,24", 0),
            ("", 0),
            ("3,0,24,", 0),
            ("3,0,24,0", 0),
            ("3,0,24,-100", 0),
            ("3,0,24,1e3", 0),
            ("3,0,24,NaN", 0),
            ("3,0,24,slow", 0),
            ("3,0,24,\xb2", 0),
            ("3,0,24,1000000000", MAX_SLOWNESS),
            ("3,0,24," + "9" * 10_000, MAX_SLOWNESS),
        ):
            with self.subTest(value=value[:40]):
                headers = HTTPHeaders()
                headers.add("X-Server-Load", value)
                self.assertEqual(read_slowness(headers), expected)

    def test_answers_without_a_load(self):
        self.assertEqual(read_slowness(HTTPHeaders()), 0)
