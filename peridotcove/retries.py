"""The one layer that retries: a budget, the verdict, and backoff with jitter."""

import asyncio

from attrs import frozen

from peridotcove.exceptions import RequestError
from peridotcove.verdict import Verdict

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
DEFAULT_MAX_BALANCE = 20.0
MAX_TRIES = 3


class RetryBudget:
    """Allows retries as a share of first tries.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.
    max_balance : float
        Most retries that may be saved up.

    Attributes
    ----------
    balance : float
        Retries that may be made now; it starts at nothing.
    """

    def __init__(self, share, max_balance=DEFAULT_MAX_BALANCE):
        self.share = share
        self.max_balance = max_balance
        self.balance = 0.0

    def deposit(self):
        """Count a first try."""
        self.balance = min(self.max_balance, self.balance + self.share)

    def withdraw(self):
        """Take one retry from the budget; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


def ignore_denial(error):
    """Do nothing about a retry that the budget does not allow.

    Parameters
    ----------
    error : RequestError
        How the last try failed.
    """


def never_free(error):
    """Return that a retry takes from the budget, whatever the error.

    Parameters
    ----------
    error : RequestError
        How the last try failed.
    """
    return False


def draw_backoff_ms(tries, rng):
    """Return the wait in ms before a retry, with full jitter.

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
    """What decides whether one request is tried again.

    Attributes
    ----------
    budget : RetryBudget
        Retries that the node may make.
    rng : random.Random
        Source of the backoff's jitter.
    may_retry : callable
        Takes the `RequestError` of a try and the number of tries made; returns whether
        the request may be tried again.
    on_retry : callable
        Told of each retry: the error before it, and the number of tries made.
    is_free : callable
        Takes the `RequestError` of a try; returns whether the next try takes nothing
        from the budget, as after one that reached no endpoint.
    on_denied : callable
        Told of a retry that the budget does not allow: the error before it.
    delay_ms : callable
        Takes the number of tries made and `rng`; returns the wait in ms before the
        next one.
    """

    budget: RetryBudget
    rng: object
    may_retry: object
    on_retry: object
    is_free: object = never_free
    on_denied: object = ignore_denial
    delay_ms: object = draw_backoff_ms


async def run_tries(policy, attempt):
    """Run a request until a try succeeds or no further one is allowed.

    Parameters
    ----------
    policy : RetryPolicy
        Whether to try again.
    attempt : callable
        Takes the number of the try, from 1, and returns an awaitable result.

    Returns
    -------
    object
        The result of the try that succeeded.

    Raises
    ------
    RequestError
        Of the last try that may have run the request, else of the last try, so that
        the verdict "not run" holds for all tries together.
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
    """Return whether a failed request may be sent again.

    Parameters
    ----------
    error : RequestError
        How it failed.
    repeatable : bool
        Whether the request may run more than once.
    started : bool
        Whether the caller has got a part of the answer.
    """
    if started or error.status == 429:
        return False
    return repeatable or error.verdict is Verdict.NOT_RUN
