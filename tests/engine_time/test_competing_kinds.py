"""What callers get whose requests compete for the slots of a few servers.

An owner that estimates waits by the share of each customer among all refuses requests
although there is room, and more urgent ones as often as others. Callers that come back
find no room again, and wait for what can't be.
"""

import unittest
from functools import cache

from tests.engine_time.played_load import SEEDS, FakeEngine, Kind, Play, share_on_time

SERVERS, SLOTS, WORK_MS = 3, 6, 90
WARM_UP_MS, END_MS = 5_000, 30_000
# Many customers, a few of them large.
SKEWED = tuple(1 / (place + 1) ** 1.2 for place in range(24))
# One that sends as much as all others together.
ONE_LARGE = (24.0,) + (1.0,) * 24


@cache
def play(load, urgent_share, seed, weights=SKEWED):
    """Return the results of a load, as a multiple of what the servers can do."""
    per_s = SERVERS * SLOTS / WORK_MS * 1000 * load
    kinds = [
        Kind("urgent", per_s * urgent_share, 0, 415, 3_113, 0, 1),
        Kind("other", per_s * (1 - urgent_share), 0, 414, 3_103, 0, 5),
    ]
    servers = {
        f"e{number}": FakeEngine(50.0, fixed_ms=WORK_MS) for number in range(SERVERS)
    }
    one = Play(servers, kinds, seed, capacity=SLOTS, weights=weights, returns=1)
    return [item for item in one.run(END_MS) if item.asked_ms >= WARM_UP_MS]


def choose(results, kind):
    """Return the results of a kind."""
    return [item for item in results if item.kind.name == kind]


def share_served(results):
    """Return the share of requests that were answered."""
    return sum(item.first_ms is not None for item in results) / len(results)


def share_refused(results, times):
    """Return the share of requests that were refused at least so often."""
    return sum(len(item.refusals) >= times for item in results) / len(results)


def held_ms(results):
    """Return the mean time in ms for which refused requests were kept waiting."""
    times = [item.refusals[0][0] - item.asked_ms for item in results if item.refusals]
    return sum(times) / max(1, len(times))


class CompetingKindsTest(unittest.TestCase):
    """Two kinds of different urgency, and callers that come back once."""

    def test_a_load_that_fits_is_served_on_time(self):
        for urgent_share in (0.3, 0.7):
            for seed in SEEDS:
                with self.subTest(urgent_share=urgent_share, seed=seed):
                    results = play(0.9, urgent_share, seed)
                    self.assertEqual(share_refused(results, 1), 0)
                    for kind in ("urgent", "other"):
                        on_time = share_on_time(results, kind)
                        self.assertGreaterEqual(on_time, 0.95)

    def test_urgent_requests_that_fit_do_not_suffer_from_others(self):
        for load, urgent_share in ((1.1, 0.3), (1.4, 0.3), (2.0, 0.3), (1.1, 0.7)):
            for seed in SEEDS:
                with self.subTest(load=load, urgent_share=urgent_share, seed=seed):
                    urgent = choose(play(load, urgent_share, seed), "urgent")
                    self.assertGreaterEqual(share_on_time(urgent), 0.95)
                    self.assertLessEqual(share_refused(urgent, 1), 0.01)

    def test_a_share_is_kept_for_less_urgent_requests(self):
        for load in (1.4, 2.0):
            for seed in SEEDS:
                with self.subTest(load=load, seed=seed):
                    results = play(load, 0.7, seed)
                    other = choose(results, "other")
                    # An eighth of all turns, and a tenth less for what is on its way.
                    kept = 0.9 / 8 / (0.3 * load)
                    self.assertGreaterEqual(share_served(other), kept)

    def test_all_room_is_used(self):
        for load in (1.1, 1.4, 2.0):
            for urgent_share in (0.3, 0.7):
                for seed in SEEDS:
                    with self.subTest(load=load, share=urgent_share, seed=seed):
                        served = share_served(play(load, urgent_share, seed))
                        self.assertGreaterEqual(served, 0.95 / load)

    def test_those_that_come_back_fit_unless_there_is_no_room_at_all(self):
        for load in (1.1, 1.4):
            for urgent_share in (0.3, 0.7):
                for seed in SEEDS:
                    with self.subTest(load=load, share=urgent_share, seed=seed):
                        again = share_refused(play(load, urgent_share, seed), 2)
                        self.assertLessEqual(again, 1 - 1 / load + 0.02)

    def test_refusals_come_at_once(self):
        for load in (1.1, 1.4, 2.0):
            for urgent_share in (0.3, 0.7):
                for seed in SEEDS:
                    with self.subTest(load=load, share=urgent_share, seed=seed):
                        results = play(load, urgent_share, seed)
                        self.assertLessEqual(held_ms(results), 415 / 8)


class LargeCustomerTest(unittest.TestCase):
    """A customer that sends more than its share pays for it alone."""

    def test_other_customers_are_served_on_time(self):
        for seed in SEEDS:
            with self.subTest(seed=seed):
                results = play(1.3, 0.3, seed, ONE_LARGE)
                others = [item for item in results if item.customer != "c0"]
                large = [item for item in results if item.customer == "c0"]
                self.assertGreaterEqual(share_on_time(others), 0.95)
                self.assertLessEqual(share_refused(others, 1), 0.01)
                self.assertGreaterEqual(share_served(large), 0.9 * 0.35 / 0.65)
