"""Tests of `peridotcove.dispatch`."""

import math
import unittest
from collections import Counter

from attrs import evolve
from hypothesis import given
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from peridotcove.cache_events import CacheEvent
from peridotcove.clock import FakeClock
from peridotcove.dispatch import FIRST_LISTS_MS, Dispatcher
from peridotcove.engine_selection import PART_WEIGHTS
from peridotcove.engine_time.read_rates import START_TOKENS_PER_MS
from peridotcove.models import (
    Bounds,
    Configuration,
    Customer,
    Engine,
    LeaseGrant,
    LeaseRefusal,
    LeaseRequest,
    LifecycleStatus,
    LoadReport,
    Zone,
)
from peridotcove.ownership import compute_shards
from peridotcove.prefix_hashes import hash_prompt_parts

WEIGHTS = (1.0, 1.0, 2.0, 0.5)


def make_engines(weights=WEIGHTS, capacity=8):
    names = [f"engine-{number}" for number in range(len(weights))]
    return {
        name: Engine(name, f"http://127.0.0.1:{i}", "z1", "m", capacity, weights[i])
        for i, name in enumerate(names)
    }


def make_configuration(engines, **bounds):
    customers = {
        "large": Customer("large", concurrency=20, weight=2.0),
        "small": Customer("small", concurrency=3),
    }
    return Configuration(
        1,
        Bounds(**bounds),
        {"z1": Zone("z1", "north")},
        engine_by_name=engines,
        customer_by_name=customers,
    )


def make_dispatcher(engines=None, clock=None, entries=(), **bounds):
    configuration = make_configuration(engines or make_engines(), **bounds)
    shard = compute_shards(configuration, "north")[0]
    clock = clock or FakeClock()
    return Dispatcher(shard, configuration, clock, entries)


def make_request(number, customer="large", prefixes=(1, 2, 3), **values):
    request_id = number.to_bytes(8, "big")
    return LeaseRequest(request_id, "n1", customer, "m", prefixes, **values)


class DispatchMachine(RuleBasedStateMachine):
    """Load bound, one decision per request and no lost request, for any event order."""

    def __init__(self):
        super().__init__()
        self.clock = FakeClock()
        self.engines = make_engines()
        self.dispatcher = make_dispatcher(self.engines, self.clock)
        self.requests = {}
        self.decision_counts = Counter()
        self.engine_by_id = {}

    def record_decisions(self, decisions):
        for decision in decisions:
            self.decision_counts[decision.request_id] += 1
            if isinstance(decision, LeaseGrant):
                self.engine_by_id[decision.request_id] = decision.engine
                excluded = self.requests[decision.request_id].excluded
                assert decision.engine not in excluded
        grants = [item for item in decisions if isinstance(item, LeaseGrant)]
        if len(grants) == 1:
            self.check_bound(grants[0].engine)

    def check_bound(self, name):
        engine = self.engines[name]
        open_engines = [
            item
            for item in self.engines.values()
            if item.status is LifecycleStatus.IN_SERVICE
        ]
        assert engine in open_engines
        load = Counter(self.engine_by_id.values())
        total = sum(load[item.name] for item in open_engines)
        weight = sum(item.weight for item in open_engines)
        assert load[name] <= math.ceil(1.25 * total * engine.weight / weight)
        assert load[name] <= engine.capacity

    @rule(
        customer=st.sampled_from(["large", "small", "unknown"]),
        prefix=st.integers(0, 5),
        priority=st.integers(0, 2),
        hint=st.sampled_from(["", "engine-0", "engine-9"]),
        excluded=st.sampled_from(
            [(), (), ("engine-0",), ("engine-1", "engine-2", "engine-3")]
        ),
    )
    def ask(self, customer, prefix, priority, hint, excluded):
        request = make_request(
            len(self.requests) + 1,
            customer,
            (prefix,),
            hint=hint,
            priority=priority,
            excluded=excluded,
        )
        self.requests[request.request_id] = request
        self.record_decisions(self.dispatcher.request_lease(request))

    @rule(data=st.data())
    def ask_again(self, data):
        if not self.engine_by_id:
            return
        request_id = data.draw(st.sampled_from(sorted(self.engine_by_id)))
        grants = self.dispatcher.request_lease(self.requests[request_id])
        assert [item.engine for item in grants] == [self.engine_by_id[request_id]]

    @rule(data=st.data())
    def release(self, data):
        if not self.requests:
            return
        request_id = data.draw(st.sampled_from(sorted(self.requests)))
        self.engine_by_id.pop(request_id, None)
        self.record_decisions(self.dispatcher.release(request_id, "done"))

    @rule(ms=st.integers(0, 4000))
    def wait(self, ms):
        self.clock.advance(ms)
        self.record_decisions(self.dispatcher.tick())

    @rule(
        name=st.sampled_from(["engine-0", "engine-2"]),
        status=st.sampled_from(LifecycleStatus),
    )
    def change_status(self, name, status):
        self.engines[name] = evolve(self.engines[name], status=status)
        self.record_decisions(self.dispatcher.set_engines(self.engines.values()))

    @invariant()
    def one_decision_per_request(self):
        waiting = [item for item in self.requests if not self.decision_counts[item]]
        assert all(count == 1 for count in self.decision_counts.values())
        assert len(waiting) == self.dispatcher.waiting

    def teardown(self):
        self.clock.advance(10_001)
        self.record_decisions(self.dispatcher.tick())
        assert set(self.decision_counts) == set(self.requests)


TestDispatchMachine = DispatchMachine.TestCase


class TestDispatcher(unittest.TestCase):
    """Decisions of a dispatcher in single cases."""

    def test_release_grants_the_next_waiting_request(self):
        dispatcher = make_dispatcher(make_engines((1.0,), capacity=1))
        self.assertIsInstance(dispatcher.request_lease(make_request(1))[0], LeaseGrant)
        self.assertEqual(dispatcher.request_lease(make_request(2)), [])
        released = dispatcher.release(make_request(1).request_id, "done")
        self.assertEqual([item.request_id for item in released], [b"\0" * 7 + b"\2"])

    def test_waiting_request_gets_no_engine_of_another_version_that_joins(self):
        """A stream is taken up while all engines of its version are busy.

        The owner granted it the new engine, and took that one's version for the
        stream's from then on.
        """
        engines = {
            name: evolve(engine, software_version="v1")
            for name, engine in make_engines((1.0,), capacity=1).items()
        }
        dispatcher = make_dispatcher(engines)
        (first,) = dispatcher.request_lease(make_request(1))
        resumed = make_request(2, is_resumed=True, software_versions=("v1",))
        self.assertEqual(dispatcher.request_lease(resumed), [])
        engines["newer"] = Engine(
            "newer", "http://127.0.0.1:9", "z1", "m", 8, software_version="v2"
        )
        configuration = make_configuration(engines)
        dispatcher.shard = compute_shards(configuration, "north")[0]
        self.assertEqual(dispatcher.set_configuration(configuration), [])
        self.assertEqual(dispatcher.tick(), [])
        (grant,) = dispatcher.release(first.request_id, "done")
        self.assertEqual(
            (grant.request_id, grant.engine), (resumed.request_id, "engine-0")
        )

    def test_customer_at_its_concurrency_waits_without_blocking_another(self):
        dispatcher = make_dispatcher()
        kinds = [dispatcher.request_lease(make_request(n, "small")) for n in range(4)]
        self.assertEqual([len(kind) for kind in kinds], [1, 1, 1, 0])
        self.assertEqual(len(dispatcher.request_lease(make_request(9, "large"))), 1)

    def test_without_open_engine_requests_are_refused_at_once(self):
        dispatcher = make_dispatcher()
        engines = [
            evolve(item, status=LifecycleStatus.LEAVING)
            for item in make_engines().values()
        ]
        dispatcher.set_engines(engines)
        self.assertEqual(dispatcher.request_lease(make_request(1))[0].code, "no_engine")

    def test_new_owner_grants_a_share_until_all_entries_have_reported(self):
        for reported in (True, False):
            with self.subTest(reported=reported):
                clock = FakeClock()
                engines = make_engines((1.0,), capacity=8)
                dispatcher = make_dispatcher(engines, clock, entries=("n1", "n2"))
                grants = [dispatcher.request_lease(make_request(n)) for n in range(8)]
                self.assertEqual(sum(map(len, grants)), 4)
                dispatcher.set_held_leases("n1", [(b"other", "engine-0", "large")])
                if reported:
                    later = dispatcher.set_held_leases("n2", [])
                else:
                    clock.advance(3_000)
                    later = dispatcher.tick()
                self.assertEqual(len(later), 3)
                self.assertEqual(dispatcher.load, 8)

    def test_dropped_entry_frees_its_leases_and_requests(self):
        dispatcher = make_dispatcher(make_engines((1.0,), capacity=1))
        dispatcher.request_lease(make_request(1))
        dispatcher.request_lease(make_request(2))
        decisions = dispatcher.drop_entry("n1")
        self.assertEqual(decisions, [LeaseRefusal(b"\0" * 7 + b"\2", "cancelled", 0)])
        self.assertEqual((dispatcher.load, dispatcher.waiting), (0, 0))

    def test_load_report_adds_only_requests_without_a_lease(self):
        clock = FakeClock()
        dispatcher = make_dispatcher(make_engines((1.0, 1.0), capacity=50), clock)
        for number in range(8):
            dispatcher.request_lease(make_request(number))
        clock.advance(2_000)
        at_ms = clock.wall() - 2_000
        dispatcher.apply_load_report(LoadReport("engine-0", 9, 1, at_ms))
        load = dispatcher.load_by_engine()["engine-0"]
        self.assertEqual(load, 10)
        clock.advance(10_000)
        dispatcher.tick()
        self.assertLess(dispatcher.load_by_engine()["engine-0"], 10)

    @given(sides=st.lists(st.booleans(), min_size=1, max_size=60), told=st.booleans())
    def test_two_owners_hold_a_weaker_bound_until_one_knows_all_leases(
        self, sides, told
    ):
        clock = FakeClock()
        engines = make_engines((1.0, 1.0, 2.0), capacity=1000)
        owners = [
            make_dispatcher(engines, clock, entry_names)
            for entry_names in ((), ("n2",))
        ]
        out = []
        for number, side in enumerate(sides):
            request = make_request(number, f"customer-{number}")
            out.extend((side, item) for item in owners[side].request_lease(request))
            out.extend((side, item) for item in owners[side].tick())
        load = Counter(item.engine for _, item in out)
        for engine in engines.values():
            share = 1.25 * len(out) * engine.weight / 4.0
            self.assertLessEqual(load[engine.name], share + len(owners))
        owner = owners[0]
        leases = [(i.request_id, i.engine, "x") for side, i in out if side]
        owner.set_held_leases("n2", leases)
        self.assertEqual(owner.load_by_engine(), {**dict.fromkeys(engines, 0), **load})
        for number in range(100, 120):
            for item in owner.request_lease(make_request(number, f"customer-{number}")):
                load[item.engine] += 1
                weight = engines[item.engine].weight
                bound = math.ceil(1.25 * sum(load.values()) * weight / 4.0)
                self.assertLessEqual(load[item.engine], bound)

    def test_request_that_cannot_start_in_time_is_refused_at_once(self):
        clock = FakeClock()
        dispatcher = make_dispatcher(make_engines((1.0,), capacity=10), clock)
        for number in range(30):
            dispatcher.request_lease(make_request(number, f"customer-{number}"))
        for number in range(10):
            clock.advance(400)
            dispatcher.release(make_request(number).request_id, "done")
        refusals = dispatcher.request_lease(make_request(99, "late", deadline_ms=500))
        self.assertEqual([item.code for item in refusals], ["overloaded"])
        self.assertGreater(refusals[0].retry_after_ms, 0)

    def test_request_waits_briefly_for_the_engine_with_its_prefix(self):
        clock = FakeClock()
        dispatcher = make_dispatcher(make_engines((1.0, 1.0), capacity=50), clock)
        prefixes = tuple(range(1, 101))
        first = dispatcher.request_lease(make_request(1, prefixes=prefixes[:96]))[0]
        second = dispatcher.request_lease(
            make_request(2, prefixes=prefixes, chat_key=5)
        )[0]
        self.assertEqual(second.engine, first.engine)
        deferred = make_request(4, prefixes=prefixes, chat_key=5)
        self.assertEqual(dispatcher.request_lease(deferred), [])
        clock.advance(100)
        grants = dispatcher.release(first.request_id, "done", 0)
        self.assertEqual([item.engine for item in grants], [first.engine])
        again = make_request(3, prefixes=prefixes, chat_key=5)
        self.assertEqual(dispatcher.request_lease(again), [])
        clock.advance(800)
        grants = dispatcher.tick()
        self.assertNotEqual([item.engine for item in grants], [first.engine])
        self.assertEqual(len(grants), 1)


def make_part_request(number, *parts, **values):
    """Return a request whose prompt parts are given as names and token counts."""
    keys, ends = hash_prompt_parts("m", parts)
    return make_request(number, prefixes=keys, part_ends=ends, **values)


class PromptPartDispatchTest(unittest.TestCase):
    """Selection of engines, and of fetch sources, for prompts given in parts."""

    SHARED = (("system", 2_560), ("subject", 6_400))

    def setUp(self):
        engines = {
            name: evolve(one, shares_cache=True, weight=1.0)
            for name, one in make_engines(capacity=64).items()
        }
        self.engines = engines
        self.clock = FakeClock()
        self.dispatcher = make_dispatcher(engines, self.clock, load_bound=2.0)
        self.list_caches()

    def list_caches(self, stored_by_engine=None):
        """Deliver the first list of each engine's cache; return the decisions."""
        decisions = []
        for name in self.engines:
            stored = (stored_by_engine or {}).get(name, ())
            event = CacheEvent(name, 1, self.clock.wall(), stored, full=True)
            decisions += self.dispatcher.apply_part_event(event)
        return decisions

    def grant(self, number, *parts, **values):
        (decision,) = self.dispatcher.request_lease(
            make_part_request(number, *parts, **values)
        )
        return decision

    def test_shared_parts_return_to_their_engine(self):
        first = self.grant(1, *self.SHARED, ("own-1", 640))
        self.dispatcher.release(b"\0" * 7 + b"\1", "done")
        again = self.grant(2, *self.SHARED, ("own-2", 640))
        self.assertEqual(again.engine, first.engine)
        self.assertEqual((again.cached_blocks, again.source), (140, ""))

    def test_missing_parts_are_fetched_from_an_engine_that_caches_them(self):
        for status in (
            LifecycleStatus.IN_SERVICE,
            LifecycleStatus.LEAVING,
            LifecycleStatus.ON_ORDER,
        ):
            with self.subTest(status=status):
                self.setUp()
                first = self.grant(1, *self.SHARED)
                engines = self.engines | {
                    first.engine: evolve(self.engines[first.engine], status=status)
                }
                self.dispatcher.set_engines(engines.values())
                other = self.grant(2, *self.SHARED, avoid=(first.engine,))
                self.assertNotEqual(other.engine, first.engine)
                is_source = status is not LifecycleStatus.ON_ORDER
                self.assertEqual(other.source == first.engine, is_source)

    def test_simultaneous_long_prompts_are_spread(self):
        engines = [
            self.grant(number, (f"prompt-{number}", 8_000)).engine
            for number in range(1, 5)
        ]
        self.assertEqual(len(set(engines)), 4)

    def test_failed_engine_is_avoided_while_another_can_serve(self):
        first = self.grant(1, *self.SHARED)
        second = self.grant(2, *self.SHARED, avoid=(first.engine,))
        self.assertNotEqual(second.engine, first.engine)

    def test_excluded_engine_is_not_used_although_its_cache_is_the_best(self):
        first = self.grant(1, *self.SHARED)
        self.dispatcher.release(b"\0" * 7 + b"\1", "done")
        second = self.grant(2, *self.SHARED, excluded=(first.engine,))
        self.assertNotEqual(second.engine, first.engine)

    def test_request_waits_for_an_engine_that_it_may_use(self):
        names = sorted(self.engines)
        busy, free = names[0], names[1:]
        grants = []
        for number in range(1, 100):
            request = make_part_request(number, *self.SHARED, excluded=tuple(free))
            granted = self.dispatcher.request_lease(request)
            if not granted:
                break
            grants += granted
        self.assertEqual({grant.engine for grant in grants}, {busy})
        self.assertEqual(self.dispatcher.tick(), [])
        (waiting,) = self.dispatcher.release(grants[0].request_id, "done")
        self.assertEqual(
            (waiting.request_id, waiting.engine), (request.request_id, busy)
        )

    def test_request_that_may_use_no_engine_is_refused_at_once(self):
        request = make_part_request(1, *self.SHARED, excluded=tuple(self.engines))
        (refusal,) = self.dispatcher.request_lease(request)
        self.assertEqual(refusal.code, "all-paused")

    def test_wait_for_an_engine_at_its_bound_is_limited(self):
        first = self.grant(1, *self.SHARED)
        others = tuple(name for name in self.engines if name != first.engine)
        request = make_part_request(2, *self.SHARED, avoid=others)
        self.assertEqual(self.dispatcher.request_lease(request), [])
        self.clock.advance(PART_WEIGHTS.max_wait_ms - 1)
        self.assertEqual(self.dispatcher.tick(), [])
        self.clock.advance(1)
        (decision,) = self.dispatcher.tick()
        self.assertIn(decision.engine, others)


class RegionDispatchTest(unittest.TestCase):
    """Limits of regions: engine-0 is in the region west, all others are in east."""

    def setUp(self):
        self.clock = FakeClock()
        self.engines = make_engines(capacity=1)
        self.engines["engine-0"] = evolve(self.engines["engine-0"], zone="z2")
        self.configuration = self.configure(self.engines)
        shard = compute_shards(self.configuration, "north")[0]
        self.dispatcher = Dispatcher(shard, self.configuration, self.clock)

    def configure(self, engines, **bounds):
        zones = {
            "z1": Zone("z1", "north", residency_region="east"),
            "z2": Zone("z2", "north", residency_region="west"),
        }
        found = make_configuration(engines, **{"load_bound": 50.0} | bounds)
        return evolve(found, zone_by_name=zones)

    def ask(self, number, *regions, **values):
        request = make_request(number, regions=regions, **values)
        return self.dispatcher.request_lease(request)

    # With twice the mean of all engines as the bound, each got one request and no more.
    def test_engines_of_a_small_region_take_more_than_one_request(self):
        engines = make_engines((1.0,) * 9, capacity=64)
        west = {f"engine-{number}" for number in range(3)}
        engines = {
            name: evolve(engine, zone="z2" if name in west else "z1")
            for name, engine in engines.items()
        }
        configuration = self.configure(engines, load_bound=2.0)
        shard = compute_shards(configuration, "north")[0]
        self.dispatcher = Dispatcher(shard, configuration, self.clock)
        decisions = [self.ask(number, "west", prefixes=()) for number in range(1, 40)]
        granted = Counter(one.engine for item in decisions for one in item)
        self.assertEqual(granted.keys(), west)
        total = sum(granted.values())
        self.assertGreater(total, 3 * 5)
        self.assertLessEqual(max(granted.values()), 2.0 * total / 9 + 3)

    # The queue is served in order: its first request would hold up all others.
    def test_a_full_region_holds_up_no_request_of_another(self):
        self.assertEqual(self.ask(1, "west")[0].engine, "engine-0")
        self.assertEqual([self.ask(n, "west") for n in (2, 3)], [[], []])
        granted = [self.ask(n, *regions) for n, regions in ((4, ("east",)), (5, ()))]
        self.assertEqual([len(one) for one in granted], [1, 1])
        self.assertNotIn("engine-0", {one.engine for (one,) in granted})
        released = self.dispatcher.release((1).to_bytes(8, "big"), "done")
        self.assertEqual([one.engine for one in released], ["engine-0"])
        self.assertEqual(self.dispatcher.waiting, 1)

    def test_a_region_without_engines_in_service_is_refused_at_once(self):
        self.assertEqual(self.ask(1, "south")[0].code, "no-region")
        self.ask(2, "west")
        self.assertEqual(self.ask(3, "west"), [])
        leaving = evolve(self.engines["engine-0"], status=LifecycleStatus.LEAVING)
        configuration = self.configure(self.engines | {"engine-0": leaving})
        decisions = self.dispatcher.set_configuration(configuration)
        self.assertEqual([one.code for one in decisions], ["no-region"])
        self.assertEqual(self.dispatcher.waiting, 0)

    def test_engines_of_the_region_that_want_no_requests_are_no_choice(self):
        (refusal,) = self.ask(1, "west", excluded=("engine-0",))
        self.assertEqual(refusal.code, "all-paused")

    def test_prefixes_are_fetched_from_the_regions_only(self):
        sharing = {
            name: evolve(one, shares_cache=True) for name, one in self.engines.items()
        }
        self.dispatcher.set_configuration(self.configure(sharing))
        parts = ([("one", 4_000)], [("two", 200)])
        keys, ends = hash_prompt_parts("m", [*parts[0], *parts[1]])
        values = {"prefixes": keys, "part_ends": ends}
        self.assertEqual(self.ask(1, "west", **values)[0].engine, "engine-0")
        (limited,) = self.ask(2, "east", **values)
        (free,) = self.ask(3, excluded=(limited.engine,), **values)
        self.assertEqual(limited.source, "")
        self.assertNotEqual(free.source, "")


class OverloadTest(unittest.TestCase):
    """Owners under more requests than their engines can serve."""

    def setUp(self):
        self.clock = FakeClock()
        engines = make_engines((1.0,), capacity=10)
        self.engines = engines
        self.dispatcher = make_dispatcher(engines, self.clock)
        for number in range(40):
            self.dispatcher.request_lease(make_request(number, "unknown"))
        for number in range(10):
            self.clock.advance(20)
            self.dispatcher.release(make_request(number).request_id, "done")

    def test_requests_that_wait_for_engines_that_are_gone_end_in_time(self):
        gone = [
            evolve(one, status=LifecycleStatus.LEAVING) for one in self.engines.values()
        ]
        self.dispatcher.set_engines(gone)
        waiting, refusals = self.dispatcher.waiting, []
        self.assertGreater(waiting, 10)
        while self.clock.now() < 12_000:
            self.clock.advance(100)
            refusals += self.dispatcher.tick()
        self.assertEqual((len(refusals), self.dispatcher.waiting), (waiting, 0))

    def test_estimates_of_answers_without_times_are_not_kept(self):
        dispatcher = make_dispatcher(make_engines((1.0,)), self.clock)
        estimates = []
        for number in range(50):
            dispatcher.request_lease(make_request(number))
            lease = dispatcher._leases.get(make_request(number).request_id)
            estimates.append(lease.estimate)
            dispatcher.release(lease.request_id, "cancelled")
        self.assertEqual([one.previous for one in estimates], [None] * 50)


class UnknownCachesTest(unittest.TestCase):
    """A new owner waits for the lists of the caches rather than compute prompts again.

    After a power loss all callers return at once and the engines still have their
    prompts; an owner that grants without their lists has them computed elsewhere.
    """

    SHARED = PromptPartDispatchTest.SHARED
    PROMPT_MS = 8_960 / START_TOKENS_PER_MS

    def setUp(self):
        self.engines = {
            name: evolve(one, shares_cache=True, weight=1.0)
            for name, one in make_engines(capacity=64).items()
        }
        self.clock = FakeClock()
        self.dispatcher = make_dispatcher(self.engines, self.clock, load_bound=2.0)

    list_caches = PromptPartDispatchTest.list_caches

    def ask(self, number, *parts):
        return self.dispatcher.request_lease(make_part_request(number, *parts))

    def test_callers_that_return_at_once_find_their_prompts(self):
        for number in range(8):
            self.assertEqual(self.ask(number, *self.SHARED), [])
        keys, _ = hash_prompt_parts("m", self.SHARED)
        sizes = [size for _, size in self.SHARED]
        stored = tuple(zip(keys, sizes, strict=True))
        grants = self.list_caches({"engine-1": stored, "engine-3": stored})
        self.assertEqual(len(grants), 8)
        self.assertEqual({one.engine for one in grants}, {"engine-1", "engine-3"})
        self.assertEqual({one.cached_blocks for one in grants}, {140})

    def test_a_request_waits_no_longer_than_its_prompt_takes(self):
        self.assertEqual(self.ask(1, *self.SHARED), [])
        self.clock.advance(int(self.PROMPT_MS) - 1)
        self.assertEqual(self.dispatcher.tick(), [])
        self.clock.advance(2)
        (grant,) = self.dispatcher.tick()
        self.assertEqual(grant.cached_blocks, 0)

    def test_lists_that_do_not_come_delay_only_the_first_requests(self):
        self.clock.advance(FIRST_LISTS_MS)
        self.assertEqual(len(self.ask(1, *self.SHARED)), 1)

    def test_requests_without_a_prompt_do_not_wait(self):
        request = make_request(1, prefixes=())
        self.assertEqual(len(self.dispatcher.request_lease(request)), 1)

    def test_a_waiting_request_can_be_cancelled(self):
        self.assertEqual(self.ask(1, *self.SHARED), [])
        request_id = make_part_request(1, *self.SHARED).request_id
        self.assertEqual(len(self.dispatcher.release(request_id, "cancelled")), 1)
        self.assertEqual(self.list_caches(), [])
        self.assertEqual(self.dispatcher.waiting, 0)
