"""Load of the engines of a shard, and the bound on it.

Load counts the leases that are out, and what an engine's own lagging report shows
beyond the leases that were out when it was taken.
"""

import math
from collections import deque

from peridotcove.models import Status

REPORT_LIFE_MS = 10_000
REPORT_SLACK_MS = 250
HISTORY_MS = 6_000


class EngineLoad:
    """Load of one engine.

    Parameters
    ----------
    engine : Engine
        The engine, as configured.

    Attributes
    ----------
    leases : int
        Leases that are out.
    foreign : int
        Requests of others that its last report showed.
    """

    def __init__(self, engine):
        self.engine = engine
        self.leases = 0
        self.foreign = 0
        self._foreign_until_ms = 0
        self._history = deque()

    @property
    def total(self):
        """Requests believed in progress."""
        return self.leases + self.foreign

    @property
    def open(self):
        """Whether the engine may get new work."""
        return self.engine.status is Status.IN_SERVICE

    def change(self, step, wall_ms):
        """Count leases up or down.

        Parameters
        ----------
        step : int
            Leases more, or fewer when negative.
        wall_ms : int
            Wall time in ms.
        """
        self._history.append((wall_ms, self.leases))
        self.leases += step
        while self._history[0][0] < wall_ms - HISTORY_MS:
            self._history.popleft()

    def report(self, report, wall_ms):
        """Take the engine's own report.

        Parameters
        ----------
        report : LoadReport
            The report; it may be seconds old.
        wall_ms : int
            Wall time in ms.
        """
        seen = report.running + report.waiting
        self.foreign = max(0, seen - self._most_leases(report.at_ms))
        self._foreign_until_ms = wall_ms + REPORT_LIFE_MS

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
            most = max(most, self.leases)
        return most

    def forget_report(self, wall_ms):
        """Drop what the last report showed once it is too old.

        Parameters
        ----------
        wall_ms : int
            Wall time in ms.
        """
        if self.foreign and wall_ms >= self._foreign_until_ms:
            self.foreign = 0


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
    other_total, other_weight : float
        Load and weight of the model's other shards in the region.
    """

    def __init__(self, load_bound):
        self.load_bound = load_bound
        self.by_engine = {}
        self.other_total = 0.0
        self.other_weight = 0.0

    def set_engines(self, engines, leases_by_engine):
        """Set which engines there are.

        Parameters
        ----------
        engines : iterable of Engine
            All engines of the shard.
        leases_by_engine : collections.Counter
            Leases that are out.
        """
        engine_by_name = {engine.name: engine for engine in engines}
        for name in [name for name in self.by_engine if name not in engine_by_name]:
            del self.by_engine[name]
        for name, engine in engine_by_name.items():
            load = self.by_engine.get(name)
            if load is None:
                load = self.by_engine[name] = EngineLoad(engine)
                load.leases = leases_by_engine[name]
            else:
                load.engine = engine

    def open_loads(self):
        """Return the loads of the engines that may get new work."""
        return [load for load in self.by_engine.values() if load.open]

    def total(self):
        """Return the requests in progress at engines that may get new work."""
        return sum(load.total for load in self.by_engine.values() if load.open)

    def weight(self):
        """Return the summed weight of the engines that may get new work."""
        loads = self.by_engine.values()
        return sum(load.engine.weight for load in loads if load.open)

    def capacity(self):
        """Return the summed capacity of the engines that may get new work."""
        loads = self.by_engine.values()
        return sum(load.engine.capacity for load in loads if load.open)

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
        total = self.total() + self.other_total + 1
        return total / (self.weight() + self.other_weight)

    def bound(self, engine, mean):
        """Return the most requests that an engine may have after a grant.

        Parameters
        ----------
        engine : Engine
            The engine.
        mean : float
            Load per unit of weight, from `mean`.
        """
        return math.ceil(self.load_bound * mean * engine.weight)

    def candidates(self, capacity_share=1.0):
        """Return the loads of the engines that may get the next request.

        Parameters
        ----------
        capacity_share : float
            Share of each engine's capacity that may be used.
        """
        loads = self.open_loads()
        if not loads:
            return []
        mean = self.mean()
        return [
            load
            for load in loads
            if load.total < self.bound(load.engine, mean)
            and load.total < max(1, load.engine.capacity * capacity_share)
        ]
