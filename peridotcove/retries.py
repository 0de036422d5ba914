"""Retries of failed requests: retry budgets, retry policies and backoff with jitter."""

import asyncio

from attrs import frozen

from peridotcove.exceptions import RequestError
from peridotcove.verdict import Verdict

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
DEFAULT_MAX_BALANCE = 20.0
MAX_TRIES = 3


class RetryBudget:
    """Limits retries to a share of first tries.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.
    max_balance : float
        Upper bound of `balance`.

    Attributes
    ----------
    balance : float
        Retries that may be made now; initially 0.
    """

    def __init__(self, share, max_balance=DEFAULT_MAX_BALANCE):
        self.share = share
        self.max_balance = max_balance
        self.balance = 0.0

    def deposit(self):
        """Add `share` to the balance for a first try."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def withdraw(self):
        """Take one retry from the balance; return False if the balance is too low."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def ignore_denial(error):
    """Do nothing about a retry that the budget denied.

    Parameters
    ----------
    error : RequestError
        How the last try failed.
    """


def never_free(error):
    """Return False: every retry is taken from the budget.

    Parameters
    ----------
    error : RequestError
        How the last try failed.
    """
    return False


def draw_backoff_ms(tries, rng):
    """Return a random delay in ms before a retry: exponential, with full jitter.

    Parameters
    ----------
    tries : int
        Tries made so far; at least 1.
    rng : random.Random
        Source of the jitter.
    """
    top = min(MAX_BACKOFF_MS, FIRST_BACKOFF_MS << min(tries - 1, 10))
    return rng.uniform(0, top)


@frozen
class RetryPolicy:
    """Decides whether, and after which delay, one request is retried.

    Attributes
    ----------
    budget : RetryBudget
        Budget that retries are taken from.
    rng : random.Random
        Source of jitter.
    may_retry : callable
        Called with the `RequestError` of a try and the number of tries made; returns
        whether the request may be retried.
    on_retry : callable
        Called before each retry with the `RequestError` of the last try and the number
        of tries made.
    is_free : callable
        Called with the `RequestError` of a try; returns whether the next try takes
        nothing from the budget, for example because no endpoint was reached.
    on_denied : callable
        Called with the `RequestError` of the last try if the budget denies a retry.
    delay_ms : callable
        Called with the number of tries made and `rng`; returns the delay in ms before
        the next try.
    """

    budget: RetryBudget
    rng: object
    may_retry: object
    on_retry: object
    is_free: object = never_free
    on_denied: object = ignore_denial
    delay_ms: object = draw_backoff_ms


async def run_tries(policy, attempt):
    """Try a request until a try succeeds or no retry is allowed.

    Parameters
    ----------
    policy : RetryPolicy
        Decides on retries.
    attempt : callable
        Called with the number of the try, from 1; returns an awaitable result.

    Returns
    -------
    object
        The result of the try that succeeded.

    Raises
    ------
    RequestError
        Error of the last try that may have run the request, else of the last try.
        The verdict "not run" therefore means that no try ran the request.
    """
    policy.budget.deposit()
    tries, uncertain_error = 0, None
    while True:
        tries += 1
        try:
            return await attempt(tries)
        except RequestError as error:
            if error.verdict is not Verdict.NOT_RUN:
                uncertain_error = error
            if not policy.may_retry(error, tries):
                raise uncertain_error or error from None
            if not policy.is_free(error) and not policy.budget.withdraw():
                policy.on_denied(error)
                raise uncertain_error or error from None
            policy.on_retry(error, tries)
        await asyncio.sleep(policy.delay_ms(tries, policy.rng) / 1000)


def may_repeat(error, repeatable, started):
    """Return whether a failed request may be repeated.

    A request is not repeated once the caller got a part of the answer, nor after
    status 429.

    Parameters
    ----------
    error : RequestError
        Error of the last try.
    repeatable : bool
        Whether the request may run more than once.
    started : bool
        Whether a part of the answer was sent to the caller.
    """
    if started or error.status == 429:
        return False
    return repeatable or error.verdict is Verdict.NOT_RUN
