"""Tests of `peridotcove.connection_memory.turns`."""

import asyncio
import unittest

from peridotcove.connection_memory.turns import Turns

WORKERS = 5
ROUNDS = 20


class TurnsTest(unittest.IsolatedAsyncioTestCase):
    """Coroutines go on one by one, and other work of the loop runs between them."""

    async def test_turns_are_fair_and_alternate_with_other_work(self):
        turns, order, other = Turns(), [], []

        async def work(number):
            for _ in range(ROUNDS):
                await turns.wait()
                order.append(number)
                other.append(len(order))

        async def run_other_work():
            while len(order) < WORKERS * ROUNDS:
                seen.append(len(order))
                await asyncio.sleep(0)

        seen = []
        watching = asyncio.create_task(run_other_work())
        await asyncio.gather(*(work(number) for number in range(WORKERS)))
        await watching
        steps = [after - before for before, after in zip(seen, seen[1:], strict=False)]
        self.assertLessEqual(max(steps), 1)
        for begin in range(0, len(order), WORKERS):
            self.assertEqual(sorted(order[begin : begin + WORKERS]), list(range(5)))

    async def test_a_coroutine_that_was_cancelled_holds_nobody_up(self):
        turns = Turns()
        first, second = (asyncio.create_task(turns.wait()) for _ in range(2))
        await asyncio.sleep(0)
        first.cancel()
        async with asyncio.timeout(10):
            await second
            await turns.wait()
        self.assertTrue(first.cancelled())
