"""A short run of the fault soak, and faults that broke a promise once."""

import asyncio
import unittest

from attrs import frozen

from tests.soak.running import run_seed

SEED = 1
FAULT_DURATION_S = 12.0


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

    def check_outcome(self, outcome, min_faults):
        self.assertEqual(outcome.violations, ())
        self.assertGreater(outcome.counts["booking", 200], 0)
        self.assertGreaterEqual(len(outcome.faults), min_faults)

    def test_drawn_faults_break_no_promise(self):
        self.check_outcome(asyncio.run(run_seed(SEED, seconds=FAULT_DURATION_S)), 4)

    def test_earlier_failures_do_not_recur(self):
        for case in CASES:
            with self.subTest(cause=case.cause):
                run = run_seed(case.seed, seconds=FAULT_DURATION_S, script=case.script)
                self.check_outcome(asyncio.run(run), len(case.script))
