"""Tests of `peridotcove.cold_engines`, alone and at owners that change."""

import itertools
import unittest
import unittest.mock

from attrs import evolve
from hypothesis import given, strategies

from peridotcove.clock import FakeClock
from peridotcove.cold_engines import MAX_COLD_MS, RAMP_DOUBLING_MS, ColdEngines
from peridotcove.configuration import parse_configuration
from peridotcove.dispatch import Dispatcher
from peridotcove.models import Bounds, Engine, LeaseGrant, LeaseRequest, Model
from peridotcove.ownership import compute_shards

RATE, EXCESS, SLACK = 20.0, 1.5, 5
BOUNDS = Bounds(cold_rate_ratio=EXCESS, cold_rate_extra=SLACK)
LIMIT = RATE * EXCESS + SLACK
COLD_MS = 8_000
MODELS = {"m": Model("m", cold_rate=RATE)}
COLD = Engine("e", "", "", "m", incarnation=1, cold_ms=COLD_MS, cold_report=1)
CAPACITY = 80
# Four times the rate, which is the capacity a second.
RAMPED_MS = 2 * RAMP_DOUBLING_MS
STEP_MS = RAMP_DOUBLING_MS // 2
# More than any rate here grants; without a rate grants would never end.
MAX_GRANTS = 10_000
# Time that a request takes at most from its grant to the engine.
MAX_DELAY_MS = 250


def count_in_any_second(times_ms):
    """Return the largest number of times within any second."""
    return max(
        (sum(begin <= one < begin + 1_000 for one in times_ms) for begin in times_ms),
        default=0,
    )


def make_cold(clock, *engines, is_alone=True, is_owner=True):
    cold = ColdEngines(clock)
    cold.set_engines(engines or [COLD], MODELS, BOUNDS)
    cold.set_role(is_alone, is_owner)
    return cold


class ColdEnginesTest(unittest.TestCase):
    """One owner's view of cold engines."""

    def setUp(self):
        self.clock = FakeClock()

    def grant_all(self, cold, for_ms):
        """Grant whenever that is allowed; return the times."""
        times = []
        for _ in range(for_ms // 10):
            self.clock.advance(10)
            while not cold.find_blocked():
                cold.record_grant("e")
                times.append(self.clock.now())
                self.assertLess(len(times), MAX_GRANTS)
        return times

    def test_grants_keep_the_rate(self):
        times = self.grant_all(make_cold(self.clock), 5_000)
        self.assertLessEqual(count_in_any_second(times), LIMIT)
        self.assertGreater(len(times), 5 * RATE - 2)

    def test_first_second_of_an_owner_is_no_burst(self):
        times = self.grant_all(make_cold(self.clock), 1_000)
        self.assertLessEqual(len(times), RATE)

    def test_an_owner_beside_another_uses_what_is_left(self):
        alone, beside = make_cold(self.clock), make_cold(self.clock, is_alone=False)
        times = []
        for _ in range(500):
            self.clock.advance(10)
            for cold in (alone, beside):
                while not cold.find_blocked():
                    cold.record_grant("e")
                    times.append(self.clock.now())
        self.assertLessEqual(count_in_any_second(times), LIMIT)

    def test_a_node_that_is_no_owner_grants_nothing(self):
        cold = make_cold(self.clock, is_alone=False, is_owner=False)
        self.assertEqual(self.grant_all(cold, 3_000), [])
        self.clock.advance(1_000 * COLD_MS)
        self.assertEqual(cold.find_blocked(), ())

    # It got all at once at the end of its cold time: more than it could take.
    def test_an_engine_grows_into_its_load_after_its_time(self):
        engine = evolve(COLD, capacity=CAPACITY)
        cold = make_cold(self.clock, engine)
        times = self.grant_all(cold, COLD_MS + RAMPED_MS - 10)
        counts = [
            sum(0 <= one - COLD_MS - step * STEP_MS < STEP_MS for one in times)
            for step in range(-2, RAMPED_MS // STEP_MS - 1)
        ]
        for before, after in itertools.pairwise(counts):
            self.assertLessEqual(before - 1, after)
            self.assertLessEqual(after, before * 2 ** (STEP_MS / RAMP_DOUBLING_MS) + 2)
        self.assertGreater(counts[-1], CAPACITY * STEP_MS / 1_000 / 2)

    def test_an_engine_is_warm_after_its_time(self):
        cold = make_cold(self.clock, evolve(COLD, capacity=CAPACITY))
        self.clock.advance(COLD_MS + RAMPED_MS)
        self.assertEqual(cold.find_blocked(), ())
        for _ in range(100):
            cold.record_grant("e")
        self.assertEqual(cold.find_blocked(), ())

    def test_an_engine_that_turns_cold_gets_none_beside_those_on_their_way(self):
        warm = evolve(COLD, cold_ms=0, cold_report=0)
        cold = make_cold(self.clock, warm)
        self.assertEqual(cold.find_blocked(), ())
        cold.set_engines([COLD], MODELS, BOUNDS)
        self.assertEqual(self.grant_all(cold, MAX_DELAY_MS), [])
        times = self.grant_all(cold, 3_000)
        self.assertGreater(len(times), 3 * RATE - 2)

    def test_an_earlier_end_is_taken_from_the_configuration_alone(self):
        cold = make_cold(self.clock)
        self.grant_all(cold, 1_000)
        shorter = evolve(COLD, cold_ms=10, cold_report=2)
        cold.set_engines([shorter], MODELS, BOUNDS)
        times = self.grant_all(cold, COLD_MS - 1_000)
        self.assertLessEqual(count_in_any_second(times), LIMIT)
        cold.set_engines([evolve(COLD, cold_ms=0, cold_report=0)], MODELS, BOUNDS)
        self.clock.advance(RAMPED_MS)
        self.assertEqual(cold.find_blocked(), ())

    def test_the_same_report_does_not_begin_again(self):
        cold = make_cold(self.clock)
        self.clock.advance(COLD_MS - 1)
        cold.set_engines([COLD], MODELS, BOUNDS)
        while not cold.find_blocked():
            cold.record_grant("e")
        self.assertEqual(cold.find_blocked(), ("e",))
        self.clock.advance(1 + RAMPED_MS)
        for _ in range(100):
            cold.record_grant("e")
        self.assertEqual(cold.find_blocked(), ())

    # Every later revision made the engine cold again, if its entry stayed as it was.
    def test_a_report_of_before_does_not_begin_again(self):
        cold = make_cold(self.clock)
        noticed = evolve(COLD, cold_report=7)
        cold.set_engines([noticed], MODELS, BOUNDS)
        self.clock.advance(COLD_MS + RAMPED_MS)
        self.assertEqual(cold.find_blocked(), ())
        for engine in (COLD, noticed, COLD):
            cold.set_engines([engine], MODELS, BOUNDS)
            for _ in range(100):
                cold.record_grant("e")
            self.assertEqual(cold.find_blocked(), ())

    def test_a_new_start_or_report_begins_again(self):
        for change in ({"incarnation": 2}, {"cold_report": 2}):
            with self.subTest(change=change):
                cold = make_cold(self.clock)
                self.clock.advance(COLD_MS)
                cold.set_engines([evolve(COLD, **change)], MODELS, BOUNDS)
                self.assertEqual(cold.find_blocked(), ("e",))

    def test_odd_reports(self):
        cases = [
            # engine, models, whether it is bounded
            (evolve(COLD, cold_ms=0), MODELS, False),
            (COLD, {"m": Model("m")}, False),
            (COLD, {}, False),
            (evolve(COLD, cold_ms=10**15), MODELS, True),
        ]
        for engine, models, is_bounded in cases:
            with self.subTest(engine=engine, models=models):
                cold = ColdEngines(self.clock)
                cold.set_engines([engine], models, BOUNDS)
                self.assertEqual(cold.find_blocked(), ("e",) if is_bounded else ())
                self.clock.advance(MAX_COLD_MS)
                self.assertEqual(cold.find_blocked(), ())

    def test_the_wait_for_cold_engines(self):
        cold = make_cold(self.clock)
        self.assertAlmostEqual(cold.estimate_wait_ms(["e"], 9), 500)
        self.assertEqual(cold.estimate_wait_ms(["e"], 9_999), COLD_MS)
        self.assertIsNone(cold.estimate_wait_ms(["e", "other"], 9))
        cold.set_role(False, False)
        self.assertEqual(cold.estimate_wait_ms(["e"], 0), COLD_MS)


OWNERS = ("o1", "o2", "o3")
RAW = {
    "revision": 1,
    "bounds": {"cold_rate_ratio": EXCESS, "cold_rate_extra": SLACK, "load_bound": 4.0},
    "zones": {"a": {"region": "r"}},
    "models": {"m": {"cold_rate": RATE}},
    "engines": {
        name: {"url": f"http://127.0.0.1:{port}", "zone": "a", "model": "m"}
        | {"capacity": 10_000, "cold_ms": cold_ms}
        for name, port, cold_ms in (("e", 1, COLD_MS), ("f", 2, COLD_MS), ("w", 3, 0))
    },
    "customers": {"c": {"concurrency": 100_000}},
}


def play_history(steps, role=lambda first, owner: (owner == first, True)):
    """Return the arrivals by engine while owners change and requests crowd.

    Parameters
    ----------
    steps : list of tuple
        Number of requests, delay of each, first owner, owner that is asked, ms passed.
    role : callable
        Returns whether an owner believes to be the first, and whether to be one.
    """
    clock = FakeClock()
    configuration = parse_configuration(RAW)
    (shard,) = compute_shards(configuration, "r")
    dispatchers, first = {}, None
    arrivals = {name: [] for name in configuration.engine_by_name}
    number = 0
    for count, delay_ms, new_first, asked, passed_ms in steps:
        if asked not in dispatchers:
            dispatchers[asked] = Dispatcher(shard, configuration, clock, OWNERS)
        if new_first != first:
            first = new_first
            if first in dispatchers:
                dispatchers[first].start_recovery(OWNERS)
        dispatcher = dispatchers[asked]
        decisions = []
        for _ in range(count):
            number += 1
            request = LeaseRequest(number.to_bytes(8), "n", "c", "m", ())
            dispatcher.set_role(*role(first, asked))
            decisions += dispatcher.request_lease(request)
        for other in dispatchers.values():
            decisions += other.tick()
        for decision in decisions:
            if isinstance(decision, LeaseGrant):
                arrivals[decision.engine].append(clock.now() + delay_ms)
        clock.advance(passed_ms)
    return arrivals


steps = strategies.lists(
    strategies.tuples(
        strategies.sampled_from([0, 1, 5, 60]),
        strategies.integers(0, MAX_DELAY_MS),
        strategies.sampled_from(OWNERS),
        strategies.sampled_from(OWNERS),
        strategies.sampled_from([0, 10, 100, 900]),
    ),
    min_size=10,
    max_size=60,
)


class ColdHistoriesTest(unittest.TestCase):
    """Owners that change grant no more in any second than a cold engine bears."""

    @given(steps)
    def test_no_second_has_more_than_the_bound(self, history):
        arrivals = play_history(history)
        for name in ("e", "f"):
            early = [one for one in arrivals[name] if one < COLD_MS]
            self.assertLessEqual(count_in_any_second(early), LIMIT, arrivals)

    def test_histories_find_faults(self):
        crowd = [(6, 0, "o1", owner, 10) for owner in OWNERS * 200]
        faults = {
            "every owner uses the whole rate": lambda first, owner: (True, True),
        }
        for name, role in faults.items():
            with self.subTest(fault=name):
                arrivals = play_history(crowd, role)
                self.assertGreater(count_in_any_second(arrivals["e"]), LIMIT)
        with (
            self.subTest(fault="no limit"),
            unittest.mock.patch.object(ColdEngines, "find_blocked", lambda self: ()),
        ):
            arrivals = play_history(crowd)
            self.assertGreater(count_in_any_second(arrivals["e"]), LIMIT)
        with (
            self.subTest(fault="tokens are not used up"),
            unittest.mock.patch.object(
                ColdEngines, "record_grant", lambda self, name: None
            ),
        ):
            arrivals = play_history(crowd)
            self.assertGreater(count_in_any_second(arrivals["e"]), LIMIT)

    def test_what_cold_engines_can_not_serve_in_time_is_refused_at_once(self):
        engines = {name: RAW["engines"][name] for name in ("e", "f")}
        configuration = parse_configuration(RAW | {"engines": engines})
        (shard,) = compute_shards(configuration, "r")
        clock = FakeClock()
        dispatcher = Dispatcher(shard, configuration, clock)
        dispatcher.set_role(True, True)
        waits = {"granted": [], "waiting": [], "cold": []}
        for number in range(200):
            request = LeaseRequest(
                number.to_bytes(8), "n", "c", "m", (), "", "a", 1_000
            )
            decisions = dispatcher.request_lease(request)
            if not decisions:
                waits["waiting"].append(number)
            elif isinstance(decisions[0], LeaseGrant):
                waits["granted"].append(number)
            else:
                self.assertEqual(decisions[0].code, "cold")
                waits["cold"].append(decisions[0].retry_after_ms)
        # Two engines bear 40 requests in the second that each may wait.
        self.assertLessEqual(len(waits["waiting"]), 2 * RATE)
        self.assertGreater(len(waits["waiting"]), 2 * RATE - 5)
        self.assertGreater(max(waits["cold"]), 2 * min(waits["cold"]))
        granted = 0
        for _ in range(100):
            clock.advance(10)
            granted += sum(isinstance(one, LeaseGrant) for one in dispatcher.tick())
        self.assertGreaterEqual(granted, len(waits["waiting"]) - 2)

    def test_a_crowd_is_served_by_warm_engines(self):
        crowd = [(6, 0, "o1", "o1", 10) for _ in range(300)]
        arrivals = play_history(crowd)
        self.assertGreater(len(arrivals["w"]), len(arrivals["e"]) + len(arrivals["f"]))
