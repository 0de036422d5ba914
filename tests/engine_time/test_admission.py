"""Tests of `peridotcove.engine_time.admission`."""

import unittest

from attrs import evolve

from peridotcove.clock import FakeClock
from peridotcove.engine_time.admission import (
    MAX_KEYS,
    MIN_BACKLOG_SHARE,
    OVERLOAD_MS,
    RETURN_MS,
    Admission,
)
from peridotcove.models import LeaseRequest

REQUEST = LeaseRequest(b"1", "n", "c", "m", (1, 2), goal_ms=400, part_ends=(10, 20))


class AdmissionTest(unittest.TestCase):
    """The objective limits waits only where requests are refused anyway."""

    def setUp(self):
        self.clock = FakeClock(1_000)
        self.admission = Admission(self.clock)

    def test_the_deadline_limits_waits_until_a_request_was_refused(self):
        self.assertEqual(self.admission.find_limit_ms(REQUEST, 1_500, 90), 1_500)
        self.admission.record_refusal(REQUEST)
        self.assertEqual(self.admission.find_limit_ms(REQUEST, 1_500, 90), 310)
        self.assertEqual(self.admission.find_limit_ms(REQUEST, 200, 90), 200)
        self.clock.advance(OVERLOAD_MS)
        self.assertEqual(self.admission.find_limit_ms(REQUEST, 1_500, 90), 1_500)

    def test_others_are_not_limited(self):
        self.admission.record_refusal(REQUEST)
        for values in ({"customer": "d"}, {"priority": 0}, {"goal_ms": 0}):
            with self.subTest(**values):
                other = evolve(REQUEST, **values)
                limit_ms = self.admission.find_limit_ms(other, 1_500, 90)
                self.assertEqual(limit_ms, 1_500)

    def test_a_long_prompt_may_wait_for_a_part_of_its_objective(self):
        limit = self.admission.find_backlog_limit_ms
        self.assertEqual(limit(REQUEST, 3_000, 900), 2_100)
        self.admission.record_refusal(REQUEST)
        self.assertEqual(limit(REQUEST, 3_000, 900), 400 * MIN_BACKLOG_SHARE)
        self.assertEqual(limit(REQUEST, 3_000, 50), 350)
        self.assertEqual(limit(REQUEST, 910, 900), 10)

    def test_a_prompt_that_is_refused_again_is_noticed(self):
        self.assertFalse(self.admission.record_refusal(REQUEST))
        other = evolve(REQUEST, prefixes=(1, 3))
        self.assertFalse(self.admission.record_refusal(other))
        self.assertTrue(self.admission.record_refusal(REQUEST))
        self.clock.advance(RETURN_MS)
        self.assertFalse(self.admission.record_refusal(REQUEST))

    def test_what_is_kept_is_bounded(self):
        for number in range(3 * MAX_KEYS):
            self.clock.advance(20)
            request = evolve(REQUEST, customer=f"c{number}", prefixes=(number,))
            self.admission.record_refusal(request)
        for kept in vars(self.admission).values():
            if isinstance(kept, dict):
                self.assertLessEqual(len(kept), MAX_KEYS + 1)
