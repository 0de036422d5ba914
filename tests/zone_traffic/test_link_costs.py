"""Tests of `peridotcove.zone_traffic.link_costs`."""

import unittest

from peridotcove.zone_traffic.link_costs import OTHER_BYTES, LinkCosts


class LinkCostsTest(unittest.TestCase):
    """Cost of a crossing by the length of the prompt."""

    def test_cost_grows_with_the_prompt(self):
        costs = LinkCosts(4.0, 0.5)
        self.assertEqual(costs.estimate_ms(0), 4 + 0.5 * OTHER_BYTES / 1_000)
        self.assertAlmostEqual(costs.estimate_ms(1_000) - costs.estimate_ms(0), 2.0)

    def test_links_without_a_price_cost_their_delay(self):
        self.assertEqual(LinkCosts(4.0, 0.0).estimate_ms(9_000), 4.0)
