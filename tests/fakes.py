"""Helpers shared by the tests: simulated links and progress output."""

import collections
import random
import sys

from peridotcove.clock import FakeClock
from peridotcove.standins.links import Faults, Links

__all__ = ["Faults", "Links", "count_history", "make_links"]

PROGRESS_INTERVAL = 1_000
_histories = collections.Counter()


def make_links(seed=0, **faults):
    """Return simulated links with a new fake clock.

    Parameters
    ----------
    seed : int
        Random seed of the faults.
    **faults : object
        Attributes of `Faults`, applied to all links.
    """
    return Links(FakeClock(), random.Random(seed), Faults(**faults))


def count_history(name):
    """Count a generated history; print the count every `PROGRESS_INTERVAL` histories.

    Parameters
    ----------
    name : str
        Name of the property under test.
    """
    _histories[name] += 1
    if _histories[name] % PROGRESS_INTERVAL == 0:
        print(f"{name}: {_histories[name]} histories", file=sys.__stderr__, flush=True)
