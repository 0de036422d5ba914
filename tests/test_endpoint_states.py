"""Leaving endpoints get no new work, whoever says so first, also after a pause."""

import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st
from peridotcove.endpoint_state_sync import EndpointStateSync

from peridotcove.clock import FakeClock
from peridotcove.endpoint_states import ALONE_MS, HOLD_MS, EndpointStates
from peridotcove.exceptions import RequestRefused
from peridotcove.models import (
    Configuration,
    Engine,
    Instance,
    InstanceState,
    LifecycleStatus,
)
from peridotcove.nodes.messages import decode, encode

LIMIT_MS = 3_000
STEP_MS = 250
NAMES = ("e1", "e2", "e3")


def instances(leaving=(), names=NAMES):
    return [
        Instance(
            name,
            "engine",
            "10.0.0.1",
            1,
            "z",
            InstanceState.LEAVING if name in leaving else InstanceState.LIVE,
        )
        for name in names
    ]


def configuration(**status_by_name):
    engines = {
        name: Engine(name, name, "z", "m", status=status_by_name.get(name, default))
        for name, default in ((name, LifecycleStatus.IN_SERVICE) for name in NAMES)
    }
    return Configuration(1, engine_by_name=engines)


class TestEndpointStates(unittest.TestCase):
    """One node's belief."""

    def setUp(self):
        self.clock = FakeClock()
        self.states = EndpointStates(self.clock)
        self.states.set_configuration(configuration())
        self.states.set_instances(instances(), 0)

    def check_available(self, name="e1"):
        try:
            self.states.check_available(name)
        except RequestRefused as error:
            return error.code
        return "ok"

    def run_for(self, ms):
        for _ in range(ms // 250):
            self.clock.advance(250)
            self.states.tick()

    def test_each_sign_stops_new_work(self):
        now = self.clock.now()
        signs = {
            "listed": lambda: self.states.set_instances(instances(["e1"]), now),
            "not listed": lambda: self.states.set_instances(
                instances(names=NAMES[1:]), now
            ),
            "told": lambda: self.states.hear(["e1"], None),
            "described": lambda: self.states.set_configuration(
                configuration(e1=LifecycleStatus.LEAVING)
            ),
            "retired": lambda: self.states.set_configuration(
                configuration(e1=LifecycleStatus.RETIRED)
            ),
            "on order": lambda: self.states.set_configuration(
                configuration(e1=LifecycleStatus.ON_ORDER)
            ),
            "not described": lambda: self.states.set_configuration(Configuration(2)),
        }
        for name, sign in signs.items():
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.check_available(), "ok")
                sign()
                self.assertEqual(self.check_available(), "leaving")

    def test_a_lagging_list_takes_nothing_back(self):
        self.states.hear(["e1"], None)
        self.run_for(HOLD_MS - 1_000)
        self.states.set_instances(instances(), self.clock.now())
        self.assertEqual(self.check_available(), "leaving")
        self.run_for(1_000)
        self.assertEqual(self.check_available(), "leaving")
        self.states.set_instances(instances(), self.clock.now())
        self.assertEqual(self.check_available(), "ok")

    def test_back_in_service(self):
        self.states.set_instances(instances(["e1"]), self.clock.now())
        self.states.set_instances(instances(), self.clock.now())
        self.assertEqual(self.check_available(), "leaving")
        self.run_for(HOLD_MS)
        self.assertEqual((self.check_available(), self.states.leaving()), ("ok", []))

    def test_a_list_that_lost_most_is_doubted(self):
        self.states.set_instances([], 0)
        self.assertEqual(self.check_available(), "ok")

    def test_pause_needs_news(self):
        self.clock.advance(60_000)
        self.assertEqual(self.check_available(), "stale-view")
        self.states.set_instances(instances(), self.clock.now() - 1)
        self.assertEqual(self.check_available(), "stale-view")
        self.states.set_instances(instances(["e2"]), self.clock.now())
        self.assertEqual(
            (self.check_available(), self.check_available("e2")), ("ok", "leaving")
        )

    def test_alone_after_a_pause(self):
        self.clock.advance(60_000)
        self.states.tick()
        self.run_for(ALONE_MS - 250)
        self.assertEqual(self.check_available(), "stale-view")
        self.run_for(250)
        self.assertEqual((self.check_available(), self.states.unheard), ("ok", 1))

    def test_without_the_freshness_rule_a_woken_node_sends(self):
        with mock.patch("peridotcove.endpoint_states.PAUSE_MS", 1 << 40):
            self.clock.advance(60_000)
            self.assertEqual(self.check_available(), "ok")


class TestLeavingNews(unittest.TestCase):
    """Three nodes with lagging lists, lossy links and pauses."""

    @given(st.data())
    def test_no_work_three_seconds_after_the_first_sign(self, data):
        fleet = Nodes()
        fleet.draw = data.draw
        sign_step = data.draw(st.integers(1, 20))
        seen = [sign_step + data.draw(st.integers(0, 10)) for _ in NAMES]
        seen[0] = sign_step
        for step in range(1, 300):
            fleet.clock.advance(STEP_MS)
            if step < 60 and data.draw(st.integers(0, 12)) == 12:
                fleet.pause(data.draw(st.integers(1, 2)))
            fleet.deliver()
            for index in fleet.awake():
                fleet.tick(index)
                if step >= seen[index]:
                    fleet.read_list(index, ["e1"])
                    seen[index] = 1 << 30
                if step >= sign_step + LIMIT_MS // STEP_MS:
                    with self.assertRaises(RequestRefused):
                        fleet.states[index].check_available("e1")


class Nodes:
    """Three nodes and their links; `draw` decides on loss, delay and pauses."""

    draw = None

    def __init__(self):
        self.clock = FakeClock()
        self.states = [EndpointStates(self.clock) for _ in NAMES]
        rng = random.Random(0)
        self.nodes = [EndpointStateSync(one, self.clock, rng) for one in self.states]
        self.asleep_until = [0] * len(NAMES)
        self.links = []
        for one in self.states:
            one.set_configuration(configuration())
            one.set_instances(instances(), 0)

    def awake(self):
        now = self.clock.now()
        return [i for i, until in enumerate(self.asleep_until) if until <= now]

    def pause(self, index):
        ms = self.draw(st.sampled_from([1_500, 10_000, 60_000]))
        self.asleep_until[index] = self.clock.now() + ms

    def send(self, sender, outgoing):
        for item in outgoing:
            if self.is_lost(sender, int(item.peer)):
                continue
            due = self.clock.now() + self.delay_ms()
            self.links.append((due, sender, int(item.peer), encode(item.message, 1)))

    def is_lost(self, sender, to):
        return self.draw(st.integers(0, 9)) == 9

    def delay_ms(self):
        return self.draw(st.integers(0, 900))

    def deliver(self):
        now, awake = self.clock.now(), self.awake()
        due = [item for item in self.links if item[0] <= now and item[2] in awake]
        for item in due:
            self.links.remove(item)
            _, sender, to, frame = item
            message, _ = decode(frame)
            self.send(to, self.nodes[to].receive(str(sender), message))

    def tick(self, index):
        self.send(index, self.nodes[index].tick(self.peers(index)))

    def read_list(self, index, leaving, names=NAMES):
        now, listed = self.clock.now(), instances(leaving, names)
        news = self.nodes[index].set_instances(listed, now, self.peers(index))
        self.send(index, news)

    def peers(self, index):
        return [str(other) for other in range(len(NAMES)) if other != index]
