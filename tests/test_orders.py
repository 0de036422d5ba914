"""Tests of orders to engines: fencing, late orders, rate limits and retry limits."""

import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.engine_orders import EngineState, Order, SendOrder, wanted_order
from peridotcove.models import Bounds, Configuration, Engine, LifecycleStatus, Model
from peridotcove.orders import (
    FENCED_READ_PERIOD_MS,
    MAX_ATTEMPTS,
    READ_PERIOD_MS,
    OrderIssuer,
)

STEP_MS = 250
GB = 1 << 30
RATE = GB


def describe(revision, model_by_engine, size=0, fenced=True, **status_by_name):
    engines = {
        name: Engine(
            name,
            f"http://10.0.0.1/{name}",
            "z",
            model,
            status=status_by_name.get(name, LifecycleStatus.IN_SERVICE),
            checks_fencing=fenced,
        )
        for name, model in model_by_engine.items()
    }
    models = {name: Model(name, weight_bytes=size) for name in ("a", "b")}
    bounds = Bounds(weight_store_bytes_per_second=RATE)
    return Configuration(revision, bounds, {}, models, engines)


class FakeEngine:
    """Accepts orders like an engine; loading other weights takes `load_ms`."""

    def __init__(self, clock, fenced, load_ms=0):
        self.clock = clock
        self.fenced = fenced
        self.load_ms = load_ms
        self.order = Order(0, "a", "1", (), "mixed")
        self.ready_at = 0
        self.orders = 0

    def read(self):
        return EngineState(self.order, self.clock.now() < self.ready_at)

    def apply_order(self, order):
        if self.fenced and order.fence < self.order.fence:
            return False
        if order.model != self.order.model:
            self.ready_at = self.clock.now() + self.load_ms
        self.order = order
        self.orders += 1
        return True


def run(clock, issuers, engine_by_name, ms, late=None):
    """Run issuers for a time; return the orders held back because `late` is true."""
    held_back = []
    for _ in range(ms // STEP_MS):
        clock.advance(STEP_MS)
        for issuer in issuers:
            for read in issuer.tick():
                engine = engine_by_name.get(read.engine)
                state = engine.read() if engine else None
                for item in issuer.handle_state(read.engine, state):
                    if late and late(item):
                        held_back.append(item)
                        issuer.handle_result(item.engine, None)
                    else:
                        issuer.handle_result(
                            item.engine, engine.apply_order(item.order)
                        )
    return held_back


class TestOrderIssuer(unittest.TestCase):
    """Decisions of one issuer, and of two that have different revisions."""

    def setUp(self):
        self.clock = FakeClock()

    def issuer(self, configuration, names=None):
        issuer = OrderIssuer(self.clock, random.Random(1))
        issuer.set_configuration(configuration, names or configuration.engine_by_name)
        return issuer

    def test_issuers_with_the_same_revision_send_the_same_order(self):
        one = wanted_order(describe(4, {"e1": "a", "e2": "b"}), "e2")
        other = wanted_order(describe(4, {"e2": "b"}), "e2")
        self.assertEqual(one, other)
        self.assertEqual(one.fence, 4)

    def test_two_issuers_send_one_order(self):
        for fenced in (True, False):
            with self.subTest(fenced=fenced):
                engine = FakeEngine(self.clock, fenced)
                issuers = [self.issuer(describe(3, {"e": "b"})) for _ in range(2)]
                run(self.clock, issuers, {"e": engine}, 20_000)
                self.assertEqual((engine.order.model, engine.orders), ("b", 1))

    def test_a_late_outdated_order_is_corrected(self):
        old = Order(2, "a", "1", (), "mixed")
        for fenced, limit in ((True, 0), (False, READ_PERIOD_MS + STEP_MS)):
            with self.subTest(fenced=fenced):
                engine = FakeEngine(self.clock, fenced)
                issuer = self.issuer(describe(3, {"e": "b"}, fenced=fenced))
                run(self.clock, [issuer], {"e": engine}, 20_000)
                worst = 0
                for start in range(0, READ_PERIOD_MS, 500):
                    run(self.clock, [issuer], {"e": engine}, READ_PERIOD_MS + start)
                    engine.apply_order(old)
                    began = self.clock.now()
                    while engine.order.model != "b":
                        run(self.clock, [issuer], {"e": engine}, STEP_MS)
                        self.assertLessEqual(self.clock.now() - began, limit)
                    worst = max(worst, self.clock.now() - began)
                if fenced:
                    self.assertEqual(issuer.record_by_engine["e"].corrections, 0)
                else:
                    self.assertEqual(issuer.record_by_engine["e"].corrections, 10)
                    self.assertGreater(worst, 0)

    def test_without_periodic_reads_a_late_order_stays_in_effect(self):
        engine = FakeEngine(self.clock, False)
        issuer = self.issuer(describe(3, {"e": "b"}, fenced=False))
        with mock.patch("peridotcove.orders.READ_PERIOD_MS", 1 << 40):
            run(self.clock, [issuer], {"e": engine}, 5_000)
            engine.apply_order(Order(2, "a", "1", (), "mixed"))
            run(self.clock, [issuer], {"e": engine}, 600_000)
        self.assertEqual(engine.order.model, "a")

    def test_an_issuer_with_an_older_revision_sends_nothing(self):
        for fenced in (True, False):
            with self.subTest(fenced=fenced):
                engine = FakeEngine(self.clock, fenced)
                new = self.issuer(describe(9, {"e": "b"}, fenced=fenced))
                run(self.clock, [new], {"e": engine}, 5_000)
                old = self.issuer(describe(8, {"e": "a"}, fenced=fenced))
                run(self.clock, [old], {"e": engine}, 60_000)
                self.assertEqual((engine.order.model, engine.orders), ("b", 1))
                self.assertTrue(old.behind)

    def test_fencing_numbers_are_updated(self):
        engine = FakeEngine(self.clock, True)
        issuer = self.issuer(describe(3, {"e": "b"}))
        run(self.clock, [issuer], {"e": engine}, 5_000)
        issuer.set_configuration(describe(7, {"e": "b"}), ["e"])
        run(self.clock, [issuer], {"e": engine}, 120_000)
        self.assertEqual((engine.order.fence, engine.orders), (7, 2))

    def test_a_paused_issuer_does_not_send(self):
        issuer = self.issuer(describe(3, {"e": "b"}))
        issuer.tick()
        state = FakeEngine(self.clock, False).read()
        (item,) = issuer.handle_state("e", state)
        self.assertTrue(issuer.may_send(item))
        self.clock.advance(60_000)
        self.assertFalse(issuer.may_send(item))
        fresh = SendOrder("e", item.order, self.clock.now())
        self.assertTrue(issuer.may_send(fresh))
        issuer.set_configuration(describe(4, {"e": "a"}), ["e"])
        self.assertFalse(issuer.may_send(fresh))

    def test_unresponsive_engines_are_not_retried_forever(self):
        names = {"absent": "b", "deaf": "b", "ordered": "b", "retired": "b"}
        status = {
            "ordered": LifecycleStatus.ON_ORDER,
            "retired": LifecycleStatus.RETIRED,
        }
        issuer = self.issuer(describe(3, names, **status))
        deaf = FakeEngine(self.clock, True)
        counts = {"absent": 0, "deaf": 0}
        deaf.apply_order = lambda order: True
        for _ in range(4 * 3_600_000 // 1_000):
            self.clock.advance(1_000)
            for read in issuer.tick():
                counts[read.engine] += 1
                state = deaf.read() if read.engine == "deaf" else None
                for item in issuer.handle_state(read.engine, state):
                    issuer.handle_result(item.engine, deaf.apply_order(item.order))
        self.assertEqual(issuer.parked_engines(), ["absent", "deaf"])
        self.assertEqual(counts, {"absent": MAX_ATTEMPTS, "deaf": MAX_ATTEMPTS + 1})
        issuer.set_listed(["absent"])
        engine = FakeEngine(self.clock, True)
        run(self.clock, [issuer], {"absent": engine}, 5_000)
        self.assertEqual(engine.order.model, "b")

    def test_loading_stays_within_the_rate_of_the_store(self):
        for owners in (1, 4):
            with self.subTest(owners=owners):
                names = {f"e{i}": "b" for i in range(16)}
                configuration = describe(3, names, size=16 * GB)
                engines = {
                    name: FakeEngine(self.clock, True, load_ms=16_000) for name in names
                }
                listed = sorted(names)
                issuers = [
                    self.issuer(configuration, listed[i::owners]) for i in range(owners)
                ]
                began = self.clock.now()
                loading, begun = 0, 0
                while any(item.order.model != "b" for item in engines.values()):
                    run(self.clock, issuers, engines, STEP_MS)
                    now = self.clock.now()
                    busy = [one for one in engines.values() if now < one.ready_at]
                    loading = max(loading, len(busy))
                    begun = sum(one.order.model == "b" for one in engines.values())
                    earned = (now - began) * RATE / 1000
                    self.assertLessEqual(begun * 16 * GB, earned + 1)
                self.assertLessEqual(loading, 4)
                total = self.clock.now() - began
                self.assertLess(total, 1.2 * 16 * 16_000 + 10_000)

    @given(st.data())
    def test_any_history_converges_to_the_newest_order(self, data):
        clock = FakeClock()
        names = ("e1", "e2")
        engines = {"e1": FakeEngine(clock, True), "e2": FakeEngine(clock, False)}
        issuers = [OrderIssuer(clock, random.Random(i)) for i in range(2)]
        held_back, newest = [], None
        for revision in range(1, 6):
            models = {name: data.draw(st.sampled_from("ab")) for name in names}
            newest = describe(revision, models, fenced=True)
            knows = [data.draw(st.booleans()) for _ in issuers]
            for issuer, receives in zip(issuers, knows, strict=True):
                if receives:
                    issuer.set_configuration(newest, names)
            ms = data.draw(st.integers(0, 40)) * STEP_MS
            fences = engines["e1"].order.fence
            held_back += run(
                clock, issuers, engines, ms, lambda _: data.draw(st.booleans())
            )
            if held_back and data.draw(st.booleans()):
                item = held_back.pop(data.draw(st.integers(0, len(held_back) - 1)))
                engines[item.engine].apply_order(item.order)
            self.assertGreaterEqual(engines["e1"].order.fence, fences)
        for issuer in issuers:
            issuer.set_configuration(newest, names)
        run(clock, issuers, engines, FENCED_READ_PERIOD_MS + 180_000)
        for item in held_back:
            engines[item.engine].apply_order(item.order)
        run(clock, issuers, engines, FENCED_READ_PERIOD_MS + 10_000)
        for name in names:
            expected = newest.engine_by_name[name].model
            self.assertEqual(engines[name].order.model, expected)
