"""Tests that leaving endpoints get no new requests, whichever source reports first.

This holds also after a pause of the process, whose view may be out of date.
"""

import random
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.clock import FakeClock
from peridotcove.endpoint_state_sync import EndpointStateSync
from peridotcove.endpoint_states import (
    CONFIRM_TIMEOUT_MS,
    LEAVING_HOLD_MS,
    EndpointStates,
)
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
    """View of one node."""

    def setUp(self):
        self.clock = FakeClock()
        self.states = EndpointStates(self.clock)
        self.states.set_configuration(configuration())
        self.states.set_instances(instances(), 0)

    def check_outcome(self, name="e1"):
        try:
            self.states.check_available(name)
        except RequestRefused as error:
            return error.code
        return "ok"

    def run_for(self, ms):
        for _ in range(ms // 250):
            self.clock.advance(250)
            self.states.tick()

    def test_each_source_stops_new_requests(self):
        now = self.clock.now()
        source_by_name = {
            "listed": lambda: self.states.set_instances(instances(["e1"]), now),
            "not listed": lambda: self.states.set_instances(
                instances(names=NAMES[1:]), now
            ),
            "reported by a node": lambda: self.states.handle_report(["e1"], None),
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
        for name, report in source_by_name.items():
            with self.subTest(name):
                self.setUp()
                self.assertEqual(self.check_outcome(), "ok")
                report()
                self.assertEqual(self.check_outcome(), "leaving")

    def test_a_lagging_list_does_not_clear_a_report(self):
        self.states.handle_report(["e1"], None)
        self.run_for(LEAVING_HOLD_MS - 1_000)
        self.states.set_instances(instances(), self.clock.now())
        self.assertEqual(self.check_outcome(), "leaving")
        self.run_for(1_000)
        self.assertEqual(self.check_outcome(), "leaving")
        self.states.set_instances(instances(), self.clock.now())
        self.assertEqual(self.check_outcome(), "ok")

    def test_an_endpoint_back_in_service_gets_requests_after_the_hold(self):
        self.states.set_instances(instances(["e1"]), self.clock.now())
        self.states.set_instances(instances(), self.clock.now())
        self.assertEqual(self.check_outcome(), "leaving")
        self.run_for(LEAVING_HOLD_MS)
        self.assertEqual((self.check_outcome(), self.states.leaving()), ("ok", []))

    def test_a_list_that_lacks_most_endpoints_is_not_trusted(self):
        self.states.set_instances([], 0)
        self.assertEqual(self.check_outcome(), "ok")

    def test_view_is_stale_after_a_pause_until_a_list_is_read(self):
        self.clock.advance(60_000)
        self.assertEqual(self.check_outcome(), "stale-view")
        self.states.set_instances(instances(), self.clock.now() - 1)
        self.assertEqual(self.check_outcome(), "stale-view")
        self.states.set_instances(instances(["e2"]), self.clock.now())
        self.assertEqual(
            (self.check_outcome(), self.check_outcome("e2")), ("ok", "leaving")
        )

    def test_view_is_fresh_after_a_timeout_without_other_sources(self):
        self.clock.advance(60_000)
        self.states.tick()
        self.run_for(CONFIRM_TIMEOUT_MS - 250)
        self.assertEqual(self.check_outcome(), "stale-view")
        self.run_for(250)
        self.assertEqual(
            (self.check_outcome(), self.states.unconfirmed_pauses), ("ok", 1)
        )

    def test_without_pause_detection_a_resumed_node_sends(self):
        with mock.patch("peridotcove.endpoint_states.PAUSE_THRESHOLD_MS", 1 << 40):
            self.clock.advance(60_000)
            self.assertEqual(self.check_outcome(), "ok")


class TestEndpointStateSync(unittest.TestCase):
    """Three nodes with lagging lists, lossy links and pauses."""

    @given(st.data())
    def test_no_new_requests_3_s_after_the_first_report(self, data):
        fleet = Nodes()
        fleet.draw = data.draw
        report_step = data.draw(st.integers(1, 20))
        list_steps = [report_step + data.draw(st.integers(0, 10)) for _ in NAMES]
        list_steps[0] = report_step
        for step in range(1, 300):
            fleet.clock.advance(STEP_MS)
            if step < 60 and data.draw(st.integers(0, 12)) == 12:
                fleet.pause(data.draw(st.integers(1, 2)))
            fleet.deliver()
            for index in fleet.running():
                fleet.tick(index)
                if step >= list_steps[index]:
                    fleet.read_list(index, ["e1"])
                    list_steps[index] = 1 << 30
                if step >= report_step + LIMIT_MS // STEP_MS:
                    with self.assertRaises(RequestRefused):
                        fleet.states[index].check_available("e1")


class Nodes:
    """Three nodes and their links; `draw` selects losses, delays and pauses."""

    draw = None

    def __init__(self):
        self.clock = FakeClock()
        self.states = [EndpointStates(self.clock) for _ in NAMES]
        rng = random.Random(0)
        self.nodes = [EndpointStateSync(one, self.clock, rng) for one in self.states]
        self.paused_until_ms = [0] * len(NAMES)
        self.in_flight = []
        for one in self.states:
            one.set_configuration(configuration())
            one.set_instances(instances(), 0)

    def running(self):
        now = self.clock.now()
        return [i for i, until in enumerate(self.paused_until_ms) if until <= now]

    def pause(self, index):
        ms = self.draw(st.sampled_from([1_500, 10_000, 60_000]))
        self.paused_until_ms[index] = self.clock.now() + ms

    def send(self, sender, outgoing):
        for item in outgoing:
            if self.is_lost(sender, int(item.peer)):
                continue
            due = self.clock.now() + self.delay_ms()
            self.in_flight.append(
                (due, sender, int(item.peer), encode(item.message, 1))
            )

    def is_lost(self, sender, to):
        return self.draw(st.integers(0, 9)) == 9

    def delay_ms(self):
        return self.draw(st.integers(0, 900))

    def deliver(self):
        now, running = self.clock.now(), self.running()
        due = [item for item in self.in_flight if item[0] <= now and item[2] in running]
        for item in due:
            self.in_flight.remove(item)
            _, sender, to, frame = item
            message, _ = decode(frame)
            self.send(to, self.nodes[to].receive(str(sender), message))

    def tick(self, index):
        self.send(index, self.nodes[index].tick(self.peers(index)))

    def read_list(self, index, leaving, names=NAMES):
        now, listed = self.clock.now(), instances(leaving, names)
        announcements = self.nodes[index].set_instances(listed, now, self.peers(index))
        self.send(index, announcements)

    def peers(self, index):
        return [str(other) for other in range(len(NAMES)) if other != index]
