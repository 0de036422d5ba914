"""Tests of `peridotcove.zone_traffic.paid_crossings`."""

import unittest

from peridotcove.zone_traffic.paid_crossings import MAX_PROMPTS, PaidCrossings


class PaidCrossingsTest(unittest.TestCase):
    """Sums by zone and prompt, in bounded memory."""

    def test_sums_are_kept_by_zone_and_prompt(self):
        paid = PaidCrossings()
        paid.add("a", 1, 3.0)
        paid.add("a", 1, 2.0)
        paid.add("b", 1, 7.0)
        self.assertEqual((paid.get("a", 1), paid.get("b", 1)), (5.0, 7.0))
        self.assertEqual(paid.get("a", 2), 0.0)
        paid.clear("a", 1)
        self.assertEqual((paid.get("a", 1), paid.get("b", 1)), (0.0, 7.0))

    def test_requests_without_a_prompt_are_not_counted(self):
        paid = PaidCrossings()
        paid.add("a", 0, 3.0)
        self.assertEqual((paid.get("a", 0), len(paid)), (0.0, 0))

    def test_the_oldest_prompts_are_forgotten(self):
        paid = PaidCrossings()
        for prompt in range(1, MAX_PROMPTS + 2):
            paid.add("a", prompt, 1.0)
        self.assertEqual(len(paid), MAX_PROMPTS)
        self.assertEqual((paid.get("a", 1), paid.get("a", 2)), (0.0, 1.0))
