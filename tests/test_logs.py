"""Tests of `peridotcove.logs`: bounded, never blocking, failures first."""

import json
import logging
import os
import unittest

from pythonjsonlogger.json import JsonFormatter

from peridotcove.clock import FakeClock
from peridotcove.logs import (
    FIELDS,
    INFO_LINES_PER_S,
    MAX_WAITING_BYTES,
    WARNING_LINES_PER_S,
    BoundedHandler,
)


class LogsTest(unittest.TestCase):
    """What a reader gets that is fast, slow, or gone."""

    def setUp(self):
        self.reading, writing = os.pipe()
        self.clock = FakeClock()
        self.handler = BoundedHandler(writing, self.clock)
        self.handler.setFormatter(JsonFormatter(FIELDS))
        self.logger = logging.Logger("test")
        self.logger.addHandler(self.handler)
        self.addCleanup(os.close, writing)

    def read(self):
        os.set_blocking(self.reading, False)
        data = b""
        while True:
            try:
                part = os.read(self.reading, 1 << 16)
            except BlockingIOError:
                self.handler._flush()
                try:
                    part = os.read(self.reading, 1 << 16)
                except BlockingIOError:
                    break
            data += part
        return [json.loads(line) for line in data.splitlines()]

    def test_lines_are_json_with_their_fields(self):
        self.logger.info("sent", extra={"request": "r1", "left_ms": 7})
        (line,) = self.read()
        self.assertEqual((line["message"], line["request"]), ("sent", "r1"))
        self.assertEqual(line["left_ms"], 7)
        os.close(self.reading)

    def test_a_reader_that_never_reads_costs_bounded_memory(self):
        for second in range(20):
            self.clock.advance(1_000)
            for _ in range(INFO_LINES_PER_S):
                self.logger.info("x" * 200)
            self.logger.warning("failure %d", second)
            self.assertLessEqual(self.handler.waiting_bytes, MAX_WAITING_BYTES + 4096)
        self.assertGreater(self.handler.dropped, 0)
        lines = [line["message"] for line in self.read()]
        failures = [text for text in lines if text.startswith("failure")]
        self.assertEqual(len(failures), 20)
        self.assertTrue(any("lines dropped" in text for text in lines))
        os.close(self.reading)

    def test_the_rate_is_bounded_and_failures_have_their_own(self):
        for _ in range(10 * INFO_LINES_PER_S):
            self.logger.info("ok")
        for _ in range(10 * WARNING_LINES_PER_S):
            self.logger.warning("failure")
        lines = [line["message"] for line in self.read()]
        self.assertEqual(lines.count("ok"), INFO_LINES_PER_S)
        self.assertEqual(lines.count("failure"), WARNING_LINES_PER_S)
        self.clock.advance(1_000)
        self.logger.info("ok again")
        texts = [line["message"] for line in self.read()]
        self.assertIn("ok again", texts)
        os.close(self.reading)

    def test_a_closed_reader_stops_nothing(self):
        os.close(self.reading)
        for _ in range(10):
            self.logger.warning("failure")
        self.assertEqual(self.handler.dropped, 10)
        self.assertEqual(self.handler.waiting_bytes, 0)
