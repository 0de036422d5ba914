"""Tests of `peridotcove.engine_retention`."""

import unittest

from attrs import evolve

from peridotcove.clock import FakeClock
from peridotcove.engine_retention import RENEW_MS, EngineRetention
from peridotcove.models import Configuration, Engine, LifecycleStatus, Model, Zone


def make_configuration(**statuses):
    engines = {
        name: Engine(name, f"http://127.0.0.1/{name}", "z", "m", status=status)
        for name, status in statuses.items()
    }
    return Configuration(
        zone_by_name={"z": Zone("z", "r")},
        model_by_name={"m": Model("m")},
        engine_by_name=engines,
    )


IN, OUT = LifecycleStatus.IN_SERVICE, LifecycleStatus.LEAVING


class LapsesTest(unittest.TestCase):
    """Missing engines stay only around an outage, and only those that may live."""

    def setUp(self):
        self.clock = FakeClock()
        self.lapses = EngineRetention(self.clock)
        self.before = make_configuration(a=IN, b=IN, c=OUT)

    def held(self, current=None):
        current = current or make_configuration(a=IN)
        found = self.lapses.retain_engines(self.before, current)
        return set(found.engine_by_name)

    def test_without_an_outage_what_is_missing_is_gone(self):
        self.assertEqual(self.held(), {"a"})

    def test_around_an_outage(self):
        self.lapses.start_outage()
        self.clock.advance(60_000)
        self.lapses.end_outage()
        self.assertEqual(self.held(), {"a", "b"})
        self.clock.advance(RENEW_MS - 1)
        self.assertEqual(self.held(), {"a", "b"})
        self.clock.advance(1)
        self.assertEqual(self.held(), {"a"})

    def test_a_node_that_cannot_read_keeps_nothing_for_long(self):
        self.lapses.start_outage()
        self.clock.advance(60_000)
        self.assertEqual(self.held(), {"a", "b"})
        self.clock.advance(RENEW_MS)
        self.assertEqual(self.held(), {"a"})

    def test_a_single_engine_that_goes_has_left(self):
        names = "abcdefgh"
        self.before = make_configuration(**dict.fromkeys(names, IN))
        self.lapses.end_outage()
        some = make_configuration(**dict.fromkeys(names[:-1], IN))
        self.assertEqual(self.held(some), set(names[:-1]))
        few = make_configuration(**dict.fromkeys(names[:4], IN))
        self.assertEqual(self.held(few), set(names))

    def test_what_is_not_kept(self):
        self.lapses.start_outage()
        reused = make_configuration(a=IN)
        other = evolve(reused.engine_by_name["a"], name="n", url="http://127.0.0.1/b")
        reused.engine_by_name["n"] = other
        self.assertEqual(self.held(reused), {"a", "n"})
        self.assertEqual(self.held(evolve(reused, model_by_name={})), {"a", "n"})
        leaving = make_configuration(a=IN, b=OUT)
        found = self.lapses.retain_engines(self.before, leaving).engine_by_name["b"]
        self.assertIs(found.status, OUT)
