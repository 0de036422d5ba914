"""In-memory stand-ins that the tests share."""

import collections
import random
import sys

from peridotcove.clock import FakeClock
from peridotcove.standins.links import Faults, Links

__all__ = ["Faults", "Links", "count_history", "make_links"]

PROGRESS = 1_000
_histories = collections.Counter()


def make_links(seed=0, **faults):
    """Return links with a fresh fake clock.

    Parameters
    ----------
    seed : int
        Seed of the faults.
    **faults : object
        Attributes of `Faults` for all links.
    """
    return Links(FakeClock(), random.Random(seed), Faults(**faults))


def count_history(name):
    """Count a generated history, and print progress on a long run.

    Parameters
    ----------
    name : str
        Name of the property.
    """
    _histories[name] += 1
    if _histories[name] % PROGRESS == 0:
        print(f"{name}: {_histories[name]} histories", file=sys.__stderr__, flush=True)
