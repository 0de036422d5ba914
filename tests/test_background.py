"""Tests of `peridotcove.background`."""

import asyncio
import unittest

from peridotcove.background import RESTART_PAUSE_MS, restarting
from peridotcove.clock import MS_PER_S
from tests.virtual import run


class RestartingTest(unittest.TestCase):
    """A job goes on after an unexpected error, and ends when it is cancelled."""

    # The task that read the store ended by an error, and no line of the log said so.
    def test_job_that_fails_is_logged_and_starts_again(self):
        starts = []

        @restarting
        async def watch(name):
            starts.append(name)
            if len(starts) < 3:
                raise RecursionError("too deep")
            return "done"

        with self.assertLogs("peridotcove.background", "ERROR") as logged:
            self.assertEqual(run(watch("store")), "done")
        self.assertEqual(starts, ["store"] * 3)
        self.assertEqual(len(logged.output), 2)
        self.assertIn("watch", logged.output[0])
        self.assertIn("too deep", logged.output[0])

    def test_job_that_is_cancelled_ends(self):
        starts = []

        @restarting
        async def watch():
            starts.append(1)
            await asyncio.sleep(1_000)

        async def cancel_soon():
            task = asyncio.create_task(watch())
            await asyncio.sleep(2 * RESTART_PAUSE_MS / MS_PER_S)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return task.cancelled()

        self.assertTrue(run(cancel_soon()))
        self.assertEqual(starts, [1])
