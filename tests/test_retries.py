"""Tests of retry budgets, backoff and the rules for repeating a request."""

import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from peridotcove.exceptions import EndpointFailed, RequestRefused
from peridotcove.retries import (
    MAX_BACKOFF_MS,
    RetryBudget,
    RetryPolicy,
    draw_backoff_ms,
    may_repeat,
    run_tries,
)
from peridotcove.verdict import Verdict
from tests.virtual import run


class RetryTest(unittest.TestCase):
    """Retries stay within their budget, and only allowed requests are repeated."""

    @given(st.lists(st.booleans(), max_size=300), st.sampled_from([0.0, 0.1, 0.5]))
    def test_retries_never_exceed_the_share(self, tries, share):
        budget, retried = RetryBudget(share), 0
        for first, failed in enumerate(tries, 1):
            budget.deposit()
            retried += failed and budget.withdraw()
            self.assertLessEqual(retried, share * first + 1e-6)

    def test_which_requests_may_be_repeated(self):
        cases = [
            # verdict, repeatable, started, expected
            (Verdict.NOT_RUN, False, False, True),
            (Verdict.NOT_RUN, True, False, True),
            (Verdict.MAY_HAVE_RUN, False, False, False),
            (Verdict.MAY_HAVE_RUN, True, False, True),
            (Verdict.RAN, False, False, False),
            (Verdict.NOT_RUN, True, True, False),
            (Verdict.MAY_HAVE_RUN, True, True, False),
        ]
        for verdict, repeatable, started, expected in cases:
            with self.subTest(verdict=verdict, repeatable=repeatable, started=started):
                error = EndpointFailed("x", "x", verdict)
                self.assertEqual(may_repeat(error, repeatable, started), expected)
        self.assertFalse(may_repeat(RequestRefused("rate", "x", 429), True, False))

    @given(st.integers(1, 10_000), st.integers())
    def test_backoff_is_bounded(self, tries, seed):
        wait = draw_backoff_ms(tries, random.Random(seed))
        self.assertTrue(0 <= wait <= MAX_BACKOFF_MS)

    def test_error_covers_all_tries(self):
        not_run = EndpointFailed("unreachable", "x", Verdict.NOT_RUN)
        may = EndpointFailed("cut", "x", Verdict.MAY_HAVE_RUN)
        cases = [
            # outcomes of tries, budget, result, tries made, balance left
            (["ok"], 0, "ok", 1, 0),
            ([may, "ok"], 1, "ok", 2, 0),
            ([may, "ok"], 0, may, 1, 0),
            ([may, not_run, not_run], 1, may, 3, 0),
            ([not_run, "ok"], 0, "ok", 2, 0),
            ([not_run, not_run, not_run, "ok"], 1, not_run, 3, 1),
        ]
        for script, balance, expected, tries, left in cases:
            with self.subTest(script=script, balance=balance):
                outcome, made, budget = run(self.run_script(script, balance))
                self.assertIs(outcome, expected)
                self.assertEqual((made, budget.balance), (tries, left))

    async def run_script(self, script, balance):
        budget = RetryBudget(0.0)
        budget.balance = balance
        made = []

        async def attempt(number):
            made.append(number)
            outcome = script[number - 1]
            if isinstance(outcome, Exception):
                raise outcome
            return outcome

        policy = RetryPolicy(
            budget,
            random.Random(1),
            lambda error, tries: tries < 3,
            lambda error, tries: None,
            lambda error: error.code == "unreachable",
        )
        try:
            return await run_tries(policy, attempt), len(made), budget
        except EndpointFailed as error:
            return error, len(made), budget
