"""Tests of `peridotcove.answer_memory`."""

import unittest

from hypothesis import given, strategies

from peridotcove.answer_memory import AnswerMemory

LIMIT_BYTES = 100


class Holder:
    """Holds an answer until it is given up."""

    def __init__(self):
        self.size = 0

    def give_up_answer(self):
        """Drop the answer."""
        self.size = 0


class AnswerMemoryTest(unittest.TestCase):
    """The sum is bounded, and the largest answer is given up."""

    def test_the_largest_answer_is_given_up(self):
        memory = AnswerMemory(LIMIT_BYTES)
        small, large = Holder(), Holder()
        small.size, large.size = 20, 81
        memory.update(large, large.size)
        memory.update(small, small.size)
        self.assertEqual((small.size, large.size), (20, 0))
        self.assertEqual(memory.total_bytes, 20)

    @given(
        strategies.lists(
            strategies.tuples(strategies.integers(0, 5), strategies.integers(0, 70))
        )
    )
    def test_sum_is_that_of_the_answers_and_bounded(self, steps):
        memory = AnswerMemory(LIMIT_BYTES)
        holders = [Holder() for _ in range(6)]
        for index, growth in steps:
            holder = holders[index]
            if growth:
                holder.size += growth
                memory.update(holder, holder.size)
            else:
                memory.remove(holder)
                holder.size = 0
            total = sum(one.size for one in holders)
            self.assertEqual(memory.total_bytes, total)
            self.assertLessEqual(total, LIMIT_BYTES)
