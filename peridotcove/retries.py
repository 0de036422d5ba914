"""The one layer that retries: a budget, the verdict, and backoff with jitter."""

from peridotcove.verdict import Verdict

FIRST_BACKOFF_MS = 50
MAX_BACKOFF_MS = 1_000
MAX_BALANCE = 20.0


class RetryBudget:
    """Allows retries as a share of first tries.

    Parameters
    ----------
    share : float
        Retries allowed for each first try.

    Attributes
    ----------
    balance : float
        Retries that may be made now; it starts at nothing.
    """

    def __init__(self, share):
        self.share = share
        self.balance = 0.0

    def deposit(self):
        """Count a first try."""
        self.balance = min(MAX_BALANCE, self.balance + self.share)

    def withdraw(self):
        """Take one retry from the budget; return whether there was one."""
        if self.balance < 1:
            return False
        self.balance -= 1
        return True


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


def backoff(tries, rng):
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
