"""Counts what crossings for one prompt have cost, until a copy of it pays.

Whether a prompt returns is not known when its first request crosses. Once the crossings
of a zone for it have cost as much as reading it again, it is read there. At worst this
costs twice as much as the better of the two ways known afterwards.
"""

from collections import OrderedDict

MAX_PROMPTS = 4_096


class PaidCrossings:
    """Cost of the crossings by zone and prompt; the oldest are forgotten."""

    def __init__(self):
        self._cost_by_key = OrderedDict()

    def __len__(self):
        return len(self._cost_by_key)

    def get(self, zone, prompt):
        """Return what the crossings of a zone for a prompt have cost.

        Parameters
        ----------
        zone : str
            Zone in which the requests arrived.
        prompt : int
            Key of the prompt; 0 if it has none.
        """
        return self._cost_by_key.get((zone, prompt), 0.0)

    def add(self, zone, prompt, cost):
        """Add the cost of one crossing.

        Parameters
        ----------
        zone : str
            Zone in which the request arrived.
        prompt : int
            Key of the prompt; 0 if it has none, which is ignored.
        cost : float
            Cost of the crossing.
        """
        if not prompt:
            return
        key = zone, prompt
        self._cost_by_key[key] = self._cost_by_key.get(key, 0.0) + cost
        self._cost_by_key.move_to_end(key)
        if len(self._cost_by_key) > MAX_PROMPTS:
            self._cost_by_key.popitem(last=False)

    def clear(self, zone, prompt):
        """Start anew, since the prompt is read in the zone.

        Parameters
        ----------
        zone : str
            Zone in which the request arrived.
        prompt : int
            Key of the prompt.
        """
        self._cost_by_key.pop((zone, prompt), None)
