"""Load of the engines of a shard, and the bound on it.

Load counts the leases that are out, and what an engine's own lagging report shows
beyond the leases that were out when it was taken.
"""

import math
from collections import deque

from peridotcove.models import LifecycleStatus

REPORT_LIFE_MS = 10_000
REPORT_SLACK_MS = 250
HISTORY_MS = 6_000
# Prompt tokens that an engine reads in a ms, by the sheets of the engines in use.
PREFILL_TOKENS_PER_MS = 50.0
# Longest time in ms that an engine is believed to read ahead.
MAX_BACKLOG_MS = 5_000.0
ROUNDING = 1e-9


class EngineLoad:
    """Load of one engine.

    Parameters
    ----------
    engine : Engine
        The engine, as configured.
    leases : int
        Leases that are out.

    Attributes
    ----------
    name, zone : str
        Name and zone of the engine.
    weight : float
        Its weight.
    capacity : int
        Requests that it can run at once.
    open : bool
        Whether it may get new work.
    total : int
        Requests believed in progress.
    """

    def __init__(self, engine, leases=0):
        self.set_engine(engine)
        self.total = leases
        self._leases = leases
        self._foreign = 0
        self._foreign_until_ms = 0
        self._history = deque()
        self._reading_until_ms = 0.0

    def set_engine(self, engine):
        """Take a new description of the engine.

        Parameters
        ----------
        engine : Engine
            The engine.
        """
        self.name = engine.name
        self.zone = engine.zone
        self.weight = engine.weight
        self.capacity = engine.capacity
        self.open = engine.status is LifecycleStatus.IN_SERVICE

    def read_prompt(self, tokens, wall_ms):
        """Take in that the engine is to read a part of a prompt.

        Parameters
        ----------
        tokens : float
            Tokens that it does not keep.
        wall_ms : int
            Wall time in ms.
        """
        # A clock that was set back must not make the engine look busy for long.
        begin_ms = wall_ms + self.backlog_ms(wall_ms)
        self._reading_until_ms = begin_ms + tokens / PREFILL_TOKENS_PER_MS

    def backlog_ms(self, wall_ms):
        """Return for how long in ms the engine still reads prompts that it was given.

        Parameters
        ----------
        wall_ms : int
            Wall time in ms.
        """
        left_ms = self._reading_until_ms - wall_ms
        return min(max(0.0, left_ms), MAX_BACKLOG_MS)

    def has_place(self, capacity_share):
        """Return whether the engine has a place that is free.

        Parameters
        ----------
        capacity_share : float
            Share of its capacity that may be used.
        """
        return self.total < max(1, int(self.capacity * capacity_share))

    def change(self, step, wall_ms):
        """Count leases up or down.

        Parameters
        ----------
        step : int
            Leases more, or fewer when negative.
        wall_ms : int
            Wall time in ms.
        """
        history = self._history
        history.append((wall_ms, self._leases))
        self._leases += step
        self.total += step
        while history[0][0] < wall_ms - HISTORY_MS:
            history.popleft()

    def apply_load_report(self, report, wall_ms):
        """Take the engine's own report.

        Parameters
        ----------
        report : LoadReport
            The report; it may be seconds old.
        wall_ms : int
            Wall time in ms.
        """
        seen = report.running + report.waiting
        self._set_foreign(max(0, seen - self._most_leases(report.at_ms)))
        self._foreign_until_ms = wall_ms + REPORT_LIFE_MS

    @property
    def foreign(self):
        """Requests beyond the leases that the last report showed."""
        return self._foreign

    def _set_foreign(self, foreign):
        self.total += foreign - self._foreign
        self._foreign = foreign

    def _most_leases(self, at_ms):
        # The history holds each count with the time until which it was true.
        most = 0
        since_ms = -math.inf
        for until_ms, count in self._history:
            if until_ms >= at_ms - REPORT_SLACK_MS and (
                since_ms <= at_ms + REPORT_SLACK_MS
            ):
                most = max(most, count)
            since_ms = until_ms
        if since_ms <= at_ms + REPORT_SLACK_MS:
            most = max(most, self._leases)
        return most

    def forget_report(self, wall_ms):
        """Drop what the last report showed once it is too old.

        Parameters
        ----------
        wall_ms : int
            Wall time in ms.
        """
        if self._foreign and wall_ms >= self._foreign_until_ms:
            self._set_foreign(0)


class Loads:
    """Load of all engines of a shard.

    Parameters
    ----------
    load_bound : float
        Highest load as a multiple of the mean; at least 1.

    Attributes
    ----------
    by_engine : dict
        `EngineLoad` by name of the engine.
    open : list of EngineLoad
        Those that may get new work.
    weight : float
        Summed weight of the open engines.
    capacity : int
        Summed capacity of the open engines.
    capacity_share : float
        Share of each engine's capacity that may be used.
    """

    def __init__(self, load_bound):
        self.load_bound = load_bound
        self.by_engine = {}
        self.open = []
        self.weight = 0.0
        self.capacity = 0
        self.capacity_share = 1.0
        self._other_total = 0.0
        self._other_weight = 0.0

    def set_engines(self, engines, leases_by_engine):
        """Set which engines there are.

        Parameters
        ----------
        engines : iterable of Engine
            All engines of the shard.
        leases_by_engine : collections.Counter
            Leases that are out.
        """
        known = self.by_engine
        self.by_engine = {}
        for engine in engines:
            load = known.get(engine.name)
            if load is None:
                load = EngineLoad(engine, leases_by_engine[engine.name])
            else:
                load.set_engine(engine)
            self.by_engine[engine.name] = load
        self.open = [load for load in self.by_engine.values() if load.open]
        self.weight = sum(load.weight for load in self.open)
        self.capacity = sum(load.capacity for load in self.open)

    def set_other_shards_load(self, total, weight):
        """Set the load of the model's other shards in the region.

        Parameters
        ----------
        total : float
            Requests in progress there.
        weight : float
            Summed weight of their engines that take work.
        """
        self._other_total = total
        self._other_weight = weight

    def total(self):
        """Return the requests in progress at open engines."""
        total = 0
        for load in self.open:
            total += load.total
        return total

    def change(self, engine, step, wall_ms):
        """Count leases on an engine up or down.

        Parameters
        ----------
        engine : str
            Name of the engine; one that is not known is ignored.
        step : int
            Leases more, or fewer when negative.
        wall_ms : int
            Wall time in ms.
        """
        load = self.by_engine.get(engine)
        if load is not None:
            load.change(step, wall_ms)

    def mean(self):
        """Return the load per unit of weight, with one request more."""
        total = self.total() + self._other_total + 1
        return total / (self.weight + self._other_weight)

    def bound(self, mean):
        """Return the load per unit of weight that an engine's load must be below.

        A whole number is below a bound if it is below the bound rounded up; what
        floating point adds is taken off.

        Parameters
        ----------
        mean : float
            Load per unit of weight, from `mean`.
        """
        return self.load_bound * mean * (1 - ROUNDING)

    def has_room(self, engine=None):
        """Return whether an engine may get the next request.

        Parameters
        ----------
        engine : str or None
            Name of the engine; any when None.
        """
        if not self.open:
            return False
        per_weight = self.bound(self.mean())
        for load in self.open:
            asked = engine is None or load.name == engine
            below = asked and load.total < per_weight * load.weight
            if below and load.has_place(self.capacity_share):
                return True
        return False
