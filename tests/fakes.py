"""In-memory stand-ins that the tests share."""

import random

from peridotcove.clock import FakeClock
from peridotcove.standins.links import Faults, Links

__all__ = ["Faults", "Links", "make_links"]


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
