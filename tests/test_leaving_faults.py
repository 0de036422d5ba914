"""Tests of leaving endpoints under faults of nodes, links and lists, also in pairs."""

import itertools
import unittest
from unittest import mock

from peridotcove.endpoint_states import LEAVING_HOLD_MS
from peridotcove.exceptions import RequestRefused
from peridotcove.registry import Registry
from tests.test_endpoint_states import LIMIT_MS, STEP_MS, Nodes

REPORT_STEP = 40
LIST_LAG_STEPS = 8
NEVER = 1 << 30
BACK_IN_LIST = "list of node 2 says live again"

faults = Registry("fault")
# With a fault of each set, no source can report the leaving endpoint to node 1.
NO_NODE_REPORTS = {"links of node 1 cut", "news lost"}
NO_LIST = {"list down at node 1"}


@faults.register("none")
def do_nothing(fleet):
    pass


@faults.register("news lost")
def cut_all_links(fleet):
    fleet.cut = {0, 1, 2}


@faults.register("news late")
def delay_messages(fleet):
    fleet.delay = 900


@faults.register("links of node 1 cut")
def cut_links(fleet):
    fleet.cut.add(1)


@faults.register("list down at node 1")
def stop_list(fleet):
    fleet.list_steps[1] = NEVER


@faults.register("list broken at node 2")
def break_list(fleet):
    fleet.read_list(2, [], names=())


@faults.register(BACK_IN_LIST)
def list_as_live(fleet):
    fleet.back_in_list_step = REPORT_STEP + LIST_LAG_STEPS + 2


@faults.register("node 1 paused for a moment")
def pause_briefly(fleet):
    fleet.paused_until_ms[1] = fleet.clock.now() + 1_500


@faults.register("node 1 paused for a minute")
def pause_node(fleet):
    fleet.paused_until_ms[1] = fleet.clock.now() + 60_000


@faults.register("node 2 paused for a minute")
def pause_other_node(fleet):
    fleet.paused_until_ms[2] = fleet.clock.now() + 60_000


@faults.register("all but node 0 paused")
def pause_both_nodes(fleet):
    pause_node(fleet)
    pause_other_node(fleet)


class FaultyNodes(Nodes):
    """Three nodes with faults that are set by attribute."""

    def __init__(self):
        super().__init__()
        self.cut = set()
        self.delay = 100
        self.list_steps = [
            REPORT_STEP,
            REPORT_STEP + LIST_LAG_STEPS,
            REPORT_STEP + LIST_LAG_STEPS,
        ]
        self.back_in_list_step = NEVER

    def is_lost(self, sender, to):
        return bool({sender, to} & self.cut)

    def delay_ms(self):
        return self.delay

    def step(self, number):
        """Run one step; return the indexes of nodes that send to the endpoint."""
        self.clock.advance(STEP_MS)
        self.deliver()
        running = self.running()
        senders = []
        for index in range(len(self.nodes)):
            if index not in running:
                if self.list_steps[index] != NEVER:
                    self.list_steps[index] = number + LIST_LAG_STEPS
                continue
            if number == self.list_steps[index]:
                self.read_list(index, ["e1"])
            if number == self.back_in_list_step and index == 2:
                self.read_list(index, [])
            self.tick(index)
            try:
                self.states[index].check_available("e1")
                senders.append(index)
            except RequestRefused:
                continue
        return senders


def run_faults(first, second):
    """Return the times after the first report, past the limit, at which nodes sent.

    A list that shows the endpoint as live again ends the check after the hold time.
    """
    fleet = FaultyNodes()
    late = []
    for number in range(1, REPORT_STEP + 280):
        if number == REPORT_STEP - 4:
            faults.get(first)(fleet)
        if number == REPORT_STEP + 1:
            faults.get(second)(fleet)
        senders = fleet.step(number)
        after_ms = (number - REPORT_STEP) * STEP_MS
        end_ms = LEAVING_HOLD_MS if BACK_IN_LIST in (first, second) else NEVER
        if senders and LIMIT_MS <= after_ms < end_ms:
            late.append((after_ms, senders))
    return late


class TestLeavingFaults(unittest.TestCase):
    """No new requests are sent 3 s after the first report, with any two faults."""

    def test_single_faults_and_pairs(self):
        for first, second in itertools.product(faults.by_name, repeat=2):
            pair = {first, second}
            if pair & NO_NODE_REPORTS and pair & NO_LIST:
                continue
            with self.subTest(first=first, second=second):
                self.assertEqual(run_faults(first, second), [])

    def test_faults_are_found_without_pause_detection(self):
        with mock.patch("peridotcove.endpoint_states.PAUSE_THRESHOLD_MS", 1 << 40):
            self.assertTrue(run_faults("news lost", "node 1 paused for a minute"))
