"""Plays loads in several zones, and checks what callers get and what crosses.

Each load is played with the decision and without it, by the load alone. With it a
caller's first event may come later only by what a crossing costs.
"""

import math
import unittest

from tests.zone_traffic.playing import Kind, Play

# What leaving costs a request by the default settings, beyond which it is better off
# elsewhere, and the time after which requests of its zone may leave.
CROSSING_MS, TOLERANCE_MS = 5, 20
QUANTILES = (0.5, 0.9, 0.99)
# A zone changes its mind at most once in so long, on average.
CHANGE_INTERVAL_S = 3


def play(engines_by_zone, rate, kind, seconds, prepare=None, tick_ms=20, **values):
    """Return the result of one load with the decision, and without it."""
    results = []
    for decides in (True, False):
        one = Play(engines_by_zone, rate, kind, zone_traffic=decides, **values)
        if prepare is not None:
            prepare(one)
        results.append(one.run(seconds, tick_ms))
    return results


class PlayedCase(unittest.TestCase):
    """Checks of two results."""

    def check_callers(self, decided, by_load, later_ms=CROSSING_MS):
        """Check that no quantile of the first events comes later than it may."""
        self.assertEqual(decided.refused, by_load.refused)
        for part in QUANTILES:
            limit_ms = by_load.quantile(part) + later_ms
            self.assertLessEqual(decided.quantile(part), limit_ms, part)

    def check_changes(self, decided, zones, seconds):
        """Check that the zones don't change their mind all the time."""
        self.assertLessEqual(len(decided.changes), zones * seconds / CHANGE_INTERVAL_S)


class UnevenZonesTest(PlayedCase):
    """Demand and engines that differ between zones."""

    def test_zone_with_few_engines_sends_what_it_cannot_serve(self):
        decided, by_load = play(
            {"a": 12, "b": 12, "c": 4}, lambda zone, ms: 60, Kind(), 30
        )
        self.check_callers(decided, by_load)
        self.check_changes(decided, 3, 30)
        self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 2)
        # The other two have room for their own.
        sent = decided.crossed_by_zone
        self.assertGreater(sent["c"], 2 * (sent["a"] + sent["b"]))

    def test_even_zones_with_room_keep_their_requests(self):
        decided, by_load = play(
            dict.fromkeys("abcd", 8), lambda zone, ms: 20, Kind(), 30
        )
        self.check_callers(decided, by_load, 0)
        self.assertEqual(decided.changes, [])
        self.assertLess(decided.crossed_share, 0.05)

    def test_two_short_zones_share_the_room_of_the_others(self):
        rate_by_zone = {"a": 72, "b": 72, "c": 25, "d": 25}
        decided, by_load = play(
            dict.fromkeys("abcd", 8), lambda zone, ms: rate_by_zone[zone], Kind(), 30
        )
        self.check_callers(decided, by_load)
        self.check_changes(decided, 4, 30)
        self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 2)
        times = decided.first_ms_by_zone
        late = [sorted(times[zone])[int(0.9 * len(times[zone]))] for zone in "ab"]
        self.assertLess(abs(late[0] - late[1]), TOLERANCE_MS)

    def test_two_zones_that_are_both_short_send_each_other_no_share(self):
        decided, by_load = play(dict.fromkeys("ab", 6), lambda zone, ms: 68, Kind(), 25)
        self.check_callers(decided, by_load)
        self.assertEqual(decided.changes, [])
        self.assertLess(decided.crossed_bytes, by_load.crossed_bytes)


class ChangingZonesTest(PlayedCase):
    """Loads that move, and zones that lose engines."""

    def test_wave_that_moves_over_the_zones(self):
        phase_by_zone = {"a": 0.1, "b": 0.3, "c": 0.55, "d": 0.8}

        def rate(zone, ms):
            turns = ms / 17_000 + phase_by_zone[zone]
            return 50 * (1 + 0.55 * math.sin(2 * math.pi * turns))

        decided, by_load = play(dict.fromkeys("abcd", 8), rate, Kind(), 51)
        self.check_callers(decided, by_load)
        self.check_changes(decided, 4, 51)
        self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 2)

    def test_zone_that_loses_half_of_its_engines(self):
        lost = [f"a{number}" for number in range(4)]

        def prepare(one):
            one.at(10_000, one.lose, *lost)
            one.at(25_000, one.regain, *lost)

        decided, by_load = play(
            dict.fromkeys("abc", 8), lambda zone, ms: 60, Kind(), 40, prepare
        )
        self.check_callers(decided, by_load)
        self.check_changes(decided, 3, 40)
        self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 2)
        sent = decided.crossed_by_zone
        self.assertGreater(sent["a"], max(sent["b"], sent["c"]))

    def test_zone_that_loses_all_engines_and_gets_them_back_empty(self):
        lost = [f"a{number}" for number in range(8)]

        def prepare(one):
            one.at(10_000, one.lose, *lost)
            one.at(20_000, one.regain, *lost)

        decided, by_load = play(
            dict.fromkeys("abc", 8), lambda zone, ms: 50, Kind(), 40, prepare
        )
        self.check_callers(decided, by_load)
        self.check_changes(decided, 3, 40)
        reasons = [one.reason for one in decided.changes if one.zone == "a"]
        self.assertEqual(reasons[0], "no-engines")
        self.assertEqual(reasons[-1], "")


class PromptsTest(PlayedCase):
    """Prompts that return, and calls without a prompt."""

    def test_long_prompts_cross_and_are_hardly_read_more_often(self):
        decided, by_load = play(
            dict.fromkeys("abcd", 8), lambda zone, ms: 40, Kind(subjects=300), 30
        )
        self.check_callers(decided, by_load)
        self.assertLess(decided.crossed_bytes, 0.8 * by_load.crossed_bytes)
        # A copy pays after some 18 crossings of a zone; on average a prompt has 4.
        self.assertLess(decided.read_tokens, 1.25 * by_load.read_tokens)

    def test_calls_without_a_prompt_stay(self):
        decided, by_load = play(
            dict.fromkeys("abc", 1),
            lambda zone, ms: 18,
            Kind(prompt_tokens=0, work_ms=90),
            40,
            capacity=6,
        )
        self.check_callers(decided, by_load, 0)
        self.check_changes(decided, 3, 40)
        self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 4)


class OwnersTest(PlayedCase):
    """Figures that are missing, late, or differ between owners."""

    def test_owner_that_is_replaced_in_the_middle(self):
        lost = [f"a{number}" for number in range(4)]

        def prepare(one):
            one.at(8_000, one.lose, *lost)
            one.at(14_000, one.replace_owner)

        decided, by_load = play(
            dict.fromkeys("abc", 8), lambda zone, ms: 50, Kind(), 30, prepare
        )
        self.check_callers(decided, by_load)
        self.check_changes(decided, 3, 30)
        self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 2)

    def test_figures_of_up_to_10_s(self):
        for age_ms in (20, 1_000, 5_000, 10_000, 10_500):
            with self.subTest(age_ms=age_ms):
                decided, by_load = play(
                    {"a": 12, "b": 12, "c": 5},
                    lambda zone, ms: 50,
                    Kind(),
                    30,
                    tick_ms=age_ms,
                )
                self.check_callers(decided, by_load)
                self.check_changes(decided, 3, 30)
                self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 2)

    def test_partition_in_which_each_side_has_its_owner(self):
        for age_ms in (500, 5_000, 10_000):
            with self.subTest(age_ms=age_ms):

                def prepare(one, age_ms=age_ms):
                    one.at(8_000, one.split, "b")
                    one.at(8_000, one.report, age_ms)
                    one.at(20_000, one.join)

                decided, by_load = play(
                    dict.fromkeys("abc", 8), lambda zone, ms: 45, Kind(), 30, prepare
                )
                self.check_callers(decided, by_load)
                self.check_changes(decided, 3, 30)
                self.assertLess(decided.crossed_bytes, by_load.crossed_bytes / 2)

    def test_same_load_gives_the_same_decisions(self):
        first, _ = play({"a": 4, "b": 2}, lambda zone, ms: 30, Kind(), 10)
        second, _ = play({"a": 4, "b": 2}, lambda zone, ms: 30, Kind(), 10)
        self.assertEqual(first.first_ms, second.first_ms)
