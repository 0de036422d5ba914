"""Tests of `peridotcove.engine_time.answer_times`."""

import unittest

from peridotcove.clock import FakeClock
from peridotcove.engine_time.answer_times import NO_TIMES, AnswerTimer, AnswerTimes


class AnswerTimerTest(unittest.TestCase):
    """Times of streams, of other answers and of requests without an answer."""

    def setUp(self):
        self.clock = FakeClock(5_000)
        self.timer = AnswerTimer(self.clock)

    def test_times_of_a_stream(self):
        self.timer.record_send()
        self.clock.advance(40)
        self.timer.record_slowness(130)
        self.timer.record_events(1)
        for count in (0, 2, 2):
            self.clock.advance(20)
            self.timer.record_events(count)
        self.clock.advance(7)
        self.assertEqual(self.timer.read(), AnswerTimes(40, 15, 130, 67))

    def test_times_of_an_answer_in_one_piece(self):
        self.timer.record_send()
        self.clock.advance(25)
        self.timer.record_end()
        self.assertEqual(self.timer.read(), AnswerTimes(25))

    def test_an_answer_within_the_same_ms_has_a_time(self):
        self.timer.record_send()
        self.timer.record_events(1)
        self.assertEqual(self.timer.read(), AnswerTimes(1))

    def test_nothing_is_measured_without_an_answer(self):
        self.assertEqual(self.timer.read(), NO_TIMES)
        self.timer.record_send()
        self.clock.advance(25)
        self.assertEqual(self.timer.read(), NO_TIMES)
