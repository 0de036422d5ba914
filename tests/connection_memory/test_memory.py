"""Tests of `peridotcove.connection_memory.memory`."""

import unittest

from hypothesis import given, strategies

from peridotcove.clock import FakeClock
from peridotcove.connection_memory.capacity import Capacity
from peridotcove.connection_memory.memory import (
    CHECK_INTERVAL_MS,
    FULL,
    SLOW,
    TOO_MANY,
    ConnectionMemory,
    Holder,
)

LIMIT_BYTES = 1_000
LEAST_BYTES_PER_S = 10
PATIENCE_MS = 5_000


class FakeHolder(Holder):
    """Holds as much as a test says."""

    def __init__(self, size=0, is_receiving=True):
        self.size = size
        self.moved_bytes = 0
        self.is_receiving = is_receiving
        self.is_running = False
        self.reasons = []

    @property
    def is_spared(self):
        return self.is_running

    def measure(self):
        return self.size

    def count_moved(self):
        return self.moved_bytes

    def give_up(self, reason):
        self.reasons.append(reason)
        self.size = 0


class MemoryCase(unittest.TestCase):
    """A memory on a fake clock; base class of the tests."""

    def setUp(self):
        self.make_memory()

    def make_memory(self):
        self.clock = FakeClock()
        half = LIMIT_BYTES // 2
        capacity = Capacity(LIMIT_BYTES, half, half, 1, 1, 1, 1)
        self.memory = ConnectionMemory(
            self.clock, capacity, LEAST_BYTES_PER_S, PATIENCE_MS
        )

    def hold(self, size, **fields):
        holder = FakeHolder(size, **fields)
        self.memory.update(holder)
        return holder

    def pass_time(self, ms):
        for _ in range(ms // CHECK_INTERVAL_MS):
            self.clock.advance(CHECK_INTERVAL_MS)
            self.memory.tick()


class FullMemoryTest(MemoryCase):
    """Who holds most for longest without progress is given up."""

    def test_who_stalls_is_given_up_for_one_who_progresses(self):
        stalled, moving = self.hold(400), self.hold(400)
        for _ in range(3):
            self.clock.advance(1_000)
            moving.moved_bytes += 100
            self.memory.tick()
        newcomer = self.hold(300)
        self.assertEqual(stalled.reasons, [FULL])
        self.assertEqual((moving.reasons, newcomer.reasons), ([], []))
        self.assertEqual(self.memory.total_bytes, 700)

    def test_who_holds_most_is_given_up_among_equals(self):
        small, large = self.hold(100), self.hold(800)
        newcomer = self.hold(150)
        self.assertEqual(large.reasons, [FULL])
        self.assertEqual((small.reasons, newcomer.reasons), ([], []))

    def test_a_small_request_is_not_given_up_for_large_ones(self):
        ordinary = self.hold(1)
        for _ in range(100):
            self.clock.advance(1_000)
            self.hold(300)
        self.assertEqual(ordinary.reasons, [])

    def test_a_running_request_is_spared(self):
        running = self.hold(900)
        running.is_running = True
        self.clock.advance(60_000)
        other = self.hold(200)
        self.assertEqual((running.reasons, other.reasons), ([], [FULL]))

    def test_a_trickle_is_no_progress(self):
        trickling, moving = self.hold(400), self.hold(400)
        for _ in range(4):
            self.clock.advance(1_000)
            trickling.moved_bytes += 1
            moving.moved_bytes += LEAST_BYTES_PER_S + 1
            self.memory.tick()
        self.hold(300)
        self.assertEqual((trickling.reasons, moving.reasons), ([FULL], []))

    def test_answers_take_the_room_of_callers(self):
        holder = self.hold(700)
        self.memory.set_answer_bytes(400)
        self.assertEqual(holder.reasons, [FULL])
        self.assertEqual(self.memory.total_bytes, 400)

    def test_what_was_sent_meanwhile_counts_no_more(self):
        first, second = self.hold(600), self.hold(300)
        first.size = 0
        third = self.hold(600)
        reasons = [first.reasons, second.reasons, third.reasons]
        self.assertEqual(reasons, [[], [], []])

    @given(
        strategies.lists(
            strategies.tuples(
                strategies.integers(0, 7),
                strategies.integers(0, 600),
                strategies.integers(0, 2_500),
            )
        )
    )
    def test_the_sum_is_bounded_whatever_happens(self, steps):
        self.make_memory()
        holders = [FakeHolder() for _ in range(8)]
        for index, size, passed_ms in steps:
            holder = holders[index]
            holder.size = size
            if size:
                self.memory.update(holder)
            else:
                self.memory.forget(holder)
            self.assertLessEqual(self.memory.total_bytes, LIMIT_BYTES)
            self.assertEqual(
                self.memory.total_bytes, sum(one.held_bytes for one in holders)
            )
            self.clock.advance(passed_ms)
            self.memory.tick()


class AdmissionTest(MemoryCase):
    """Bodies of running requests have a part of the memory of their own."""

    def test_bodies_are_admitted_up_to_their_part(self):
        first, second = FakeHolder(), FakeHolder()
        self.assertTrue(self.memory.admit(first, 400))
        self.assertFalse(self.memory.admit(second, 200))
        self.assertFalse(self.memory.has_room_for(101))
        self.assertTrue(self.memory.has_room_for(100))
        self.memory.dismiss(first)
        self.assertTrue(self.memory.admit(second, 200))

    def test_dismissing_twice_changes_nothing(self):
        first, second = FakeHolder(), FakeHolder()
        self.memory.admit(first, 100)
        self.memory.admit(second, 100)
        self.memory.dismiss(first)
        self.memory.dismiss(first)
        self.assertFalse(self.memory.has_room_for(401))


class PatienceTest(MemoryCase):
    """A connection without the least rate is given up after a time."""

    def test_a_body_that_stopped_is_given_up(self):
        stopped, without_byte = self.hold(10), self.hold(0)
        self.pass_time(PATIENCE_MS)
        self.assertEqual(stopped.reasons, [])
        self.pass_time(1_000)
        self.assertEqual((stopped.reasons, without_byte.reasons), ([SLOW], [SLOW]))

    def test_a_request_of_which_nothing_comes_is_given_up(self):
        holder = FakeHolder()
        holder.moved_bytes = 1_000
        self.memory.watch(holder)
        self.pass_time(PATIENCE_MS)
        self.assertEqual(holder.reasons, [])
        self.pass_time(2_000)
        self.assertEqual(holder.reasons, [SLOW])

    def test_the_least_rate_is_enough(self):
        holder = self.hold(10)
        for _ in range(60):
            holder.moved_bytes += LEAST_BYTES_PER_S + 1
            self.pass_time(1_000)
        self.assertEqual(holder.reasons, [])

    def test_a_running_request_may_wait(self):
        holder = self.hold(10, is_receiving=False)
        holder.is_running = True
        self.pass_time(10 * PATIENCE_MS)
        self.assertEqual(holder.reasons, [])

    def test_who_may_rest_is_given_up_only_for_room(self):
        holder = FakeHolder(10, is_receiving=False)
        holder.may_rest = True
        self.memory.update(holder)
        self.pass_time(10 * PATIENCE_MS)
        self.assertEqual(holder.reasons, [])
        self.hold(LIMIT_BYTES)
        self.assertEqual(len(holder.reasons), 0)
        holder.size = 600
        self.memory.update(holder)
        self.clock.advance(1_000)
        self.hold(500)
        self.assertEqual(holder.reasons, [FULL])

    def test_a_pause_of_the_process_counts_against_nobody(self):
        holder = self.hold(10)
        self.clock.advance(10 * PATIENCE_MS)
        self.memory.tick()
        self.assertEqual(holder.reasons, [])

    def test_who_holds_nothing_is_watched_no_more(self):
        holder = self.hold(10, is_receiving=False)
        holder.size = 0
        self.pass_time(1_000)
        self.assertEqual(len(self.memory), 0)
        self.assertEqual(holder.reasons, [])


class SlowestTest(MemoryCase):
    """If there are too many connections, the slowest request makes room."""

    def test_the_slowest_is_given_up(self):
        old = self.hold(1)
        self.clock.advance(1_000)
        new = self.hold(900)
        reading = self.hold(50, is_receiving=False)
        self.assertTrue(self.memory.give_up_slowest())
        self.assertEqual(old.reasons, [TOO_MANY])
        self.assertEqual((new.reasons, reading.reasons), ([], []))

    def test_nobody_is_given_up_if_no_request_arrives(self):
        holder = self.hold(50, is_receiving=False)
        self.assertFalse(self.memory.give_up_slowest())
        self.assertEqual(holder.reasons, [])
