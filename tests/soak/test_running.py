"""A short run of the fault soak, and replays of faults that broke a promise before."""

import asyncio
import unittest

from attrs import frozen

from tests.soak.running import run_seed

SEED = 1
FAULT_DURATION_S = 12.0


@frozen
class Case:
    """A sequence of faults that broke a promise before.

    Attributes
    ----------
    cause : str
        Why it broke.
    seed : int
        Seed of the run that showed it; it also draws what the faults affect.
    script : tuple of str
        Names of the faults that matter. They are listed, since the faults that a seed
        draws change with the registered faults.
    """

    cause: str
    seed: int
    script: tuple


CASES = (
    Case(
        "SIGHUP ended a serving node, which had no handler for it",
        1,
        ("reload", "reload"),
    ),
    Case(
        "SIGTERM killed a restarted node that did not serve yet, which is allowed",
        32,
        ("kill", "terminate", "terminate"),
    ),
    Case(
        "a stream went on at another software version of its servers",
        1,
        ("newer-software", "bad-server", "bad-server", "kill", "bad-server", "kill"),
    ),
)


class RunningTest(unittest.TestCase):
    """Injected faults break no promise."""

    def check_outcome(self, outcome, min_faults):
        self.assertEqual(outcome.violations, ())
        self.assertGreater(outcome.answer_counts["booking", 200], 0)
        self.assertGreaterEqual(len(outcome.faults), min_faults)

    def test_drawn_faults_break_no_promise(self):
        self.check_outcome(asyncio.run(run_seed(SEED, seconds=FAULT_DURATION_S)), 4)

    def test_earlier_failures_do_not_recur(self):
        for case in CASES:
            with self.subTest(cause=case.cause):
                run = run_seed(case.seed, seconds=FAULT_DURATION_S, script=case.script)
                self.check_outcome(asyncio.run(run), len(case.script))
