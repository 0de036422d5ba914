"""Leaving endpoints under each fault of nodes, links and lists, and each two."""

import itertools
import unittest
from unittest import mock

from peridotcove.endpoint_states import HOLD_MS
from peridotcove.exceptions import RequestRefused
from peridotcove.registry import Registry
from tests.test_endpoint_states import LIMIT_MS, STEP_MS, Nodes

SIGN_STEP = 40
LIST_LAG_STEPS = 8
NEVER = 1 << 30
BACK = "list of node 2 says live again"

faults = Registry("fault")
# With one of each, nothing tells node 1 of the sign, and no rule could.
DEAF = {"links of node 1 cut", "news lost"}
BLIND = {"list down at node 1"}


@faults.register("none")
def do_nothing(fleet):
    pass


@faults.register("news lost")
def lose(fleet):
    fleet.cut = {0, 1, 2}


@faults.register("news late")
def delay(fleet):
    fleet.delay = 900


@faults.register("links of node 1 cut")
def cut(fleet):
    fleet.cut.add(1)


@faults.register("list down at node 1")
def stop_list(fleet):
    fleet.seen[1] = NEVER


@faults.register("list broken at node 2")
def break_list(fleet):
    fleet.read_list(2, [], names=())


@faults.register(BACK)
def go_back(fleet):
    fleet.back_step = SIGN_STEP + LIST_LAG_STEPS + 2


@faults.register("node 1 paused for a moment")
def pause_briefly(fleet):
    fleet.asleep_until[1] = fleet.clock.now() + 1_500


@faults.register("node 1 paused for a minute")
def pause(fleet):
    fleet.asleep_until[1] = fleet.clock.now() + 60_000


@faults.register("node 2 paused for a minute")
def pause_other(fleet):
    fleet.asleep_until[2] = fleet.clock.now() + 60_000


@faults.register("all but node 0 paused")
def pause_both(fleet):
    pause(fleet)
    pause_other(fleet)


class Fleet(Nodes):
    """Three nodes whose faults are set by name."""

    def __init__(self):
        super().__init__()
        self.cut = set()
        self.delay = 100
        self.seen = [SIGN_STEP, SIGN_STEP + LIST_LAG_STEPS, SIGN_STEP + LIST_LAG_STEPS]
        self.back_step = NEVER

    def is_lost(self, sender, to):
        return bool({sender, to} & self.cut)

    def delay_ms(self):
        return self.delay

    def step(self, number):
        """Let a step pass; return the names of awake nodes that send to a leaver."""
        self.clock.advance(STEP_MS)
        self.deliver()
        awake = self.awake()
        sends = []
        for index in range(len(self.nodes)):
            if index not in awake:
                if self.seen[index] != NEVER:
                    self.seen[index] = number + LIST_LAG_STEPS
                continue
            if number == self.seen[index]:
                self.read_list(index, ["e1"])
            if number == self.back_step and index == 2:
                self.read_list(index, [])
            self.tick(index)
            try:
                self.states[index].check_available("e1")
                sends.append(index)
            except RequestRefused:
                continue
        return sends


def play(first, second):
    """Return the steps after the sign, past the limit, in which a node sent."""
    fleet = Fleet()
    late = []
    for number in range(1, SIGN_STEP + 280):
        if number == SIGN_STEP - 4:
            faults.get(first)(fleet)
        if number == SIGN_STEP + 1:
            faults.get(second)(fleet)
        sends = fleet.step(number)
        after_ms = (number - SIGN_STEP) * STEP_MS
        end_ms = HOLD_MS if BACK in (first, second) else NEVER
        if sends and LIMIT_MS <= after_ms < end_ms:
            late.append((after_ms, sends))
    return late


class TestLeavingFaults(unittest.TestCase):
    """No fault, alone or with another, sends new work 3 s after the first sign."""

    def test_alone_and_in_pairs(self):
        for first, second in itertools.product(faults.by_name, repeat=2):
            pair = {first, second}
            if pair & DEAF and pair & BLIND:
                continue
            with self.subTest(first=first, second=second):
                self.assertEqual(play(first, second), [])

    def test_naive_variant_fails(self):
        with mock.patch("peridotcove.endpoint_states.PAUSE_MS", 1 << 40):
            self.assertTrue(play("news lost", "node 1 paused for a minute"))
