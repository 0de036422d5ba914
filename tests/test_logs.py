"""Tests of `peridotcove.logs`: bounded, non-blocking, warnings before other lines."""

import json
import logging
import os
import unittest

from pythonjsonlogger.json import JsonFormatter

from peridotcove.clock import FakeClock
from peridotcove.logs import (
    INFO_LINES_PER_S,
    LOG_FORMAT,
    MAX_PENDING_BYTES,
    WARNING_LINES_PER_S,
    BoundedHandler,
)


class LogsTest(unittest.TestCase):
    """Output for a fast reader, a stalled reader and a closed one."""

    def setUp(self):
        self.reading, writing = os.pipe()
        self.clock = FakeClock()
        self.handler = BoundedHandler(writing, self.clock)
        self.handler.setFormatter(JsonFormatter(LOG_FORMAT))
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

    def test_memory_is_bounded_for_stalled_reader(self):
        for second in range(20):
            self.clock.advance(1_000)
            for _ in range(INFO_LINES_PER_S):
                self.logger.info("x" * 200)
            self.logger.warning("failure %d", second)
            self.assertLessEqual(self.handler.pending_bytes, MAX_PENDING_BYTES + 4096)
        self.assertGreater(self.handler.dropped, 0)
        lines = [line["message"] for line in self.read()]
        failures = [text for text in lines if text.startswith("failure")]
        self.assertEqual(len(failures), 20)
        self.assertTrue(any("lines dropped" in text for text in lines))
        os.close(self.reading)

    def test_info_and_warning_rates_are_limited_separately(self):
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

    def test_closed_reader_drops_lines(self):
        os.close(self.reading)
        for _ in range(10):
            self.logger.warning("failure")
        self.assertEqual(self.handler.dropped, 10)
        self.assertEqual(self.handler.pending_bytes, 0)
