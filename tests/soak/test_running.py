"""A short run of the fault soak, and faults that broke a promise once."""

import asyncio
import unittest

from attrs import frozen

from tests.soak.running import run_seed

SEED = 1
SECONDS = 12.0


@frozen
class Case:
    """A series of faults that broke a promise once.

    Attributes
    ----------
    cause : str
        Why it did.
    seed : int
        Seed of the run that showed it, and of what the faults hit.
    script : tuple of str
        The faults that matter; draws of a seed change with the list of faults.
    """

    cause: str
    seed: int
    script: tuple


CASES = (
    Case("SIGHUP had no handler and ended the node", 1, ("reload", "reload")),
    Case(
        "SIGTERM ends a process that does not serve yet, which is allowed",
        32,
        ("kill", "terminate", "terminate"),
    ),
)


class RunningTest(unittest.TestCase):
    """Faults break no promise."""

    def check(self, outcome, least_faults):
        self.assertEqual(outcome.violations, ())
        self.assertGreater(outcome.answer_counts["booking", 200], 0)
        self.assertGreaterEqual(len(outcome.faults), least_faults)

    def test_a_drawn_series(self):
        self.check(asyncio.run(run_seed(SEED, seconds=SECONDS)), 4)

    def test_what_broke_a_promise_once(self):
        for case in CASES:
            with self.subTest(cause=case.cause):
                run = run_seed(case.seed, seconds=SECONDS, script=case.script)
                self.check(asyncio.run(run), len(case.script))
