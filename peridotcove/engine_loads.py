"""Load of the engines of a shard, and the bound on it.

The load of an engine is the number of leases granted on it, plus the requests in its
own, delayed report that exceed the leases at the time of that report.
"""

import math
from collections import deque

from peridotcove.engine_time.read_rates import START_FIXED_MS, START_TOKENS_PER_MS
from peridotcove.models import LifecycleStatus

REPORT_TTL_MS = 10_000
REPORT_TIME_SLACK_MS = 250
LEASE_HISTORY_MS = 6_000
# Upper limit of the estimated prefill backlog of an engine.
MAX_BACKLOG_MS = 5_000.0
ROUNDING_TOLERANCE = 1e-9


class EngineLoad:
    """Load of one engine.

    Parameters
    ----------
    engine : Engine
        The engine, as configured.
    leases : int
        Leases granted on it.
    on_change : callable
        Called when the number of its requests has changed.

    Attributes
    ----------
    name, zone : str
        Name and zone of the engine.
    weight : float
        Its weight.
    capacity : int
        Requests that it can run at once.
    is_open : bool
        Whether it accepts new work.
    total : int
        Requests in progress, as far as known.
    tokens_per_ms : float
        Prompt tokens that it reads in a ms at present.
    fixed_ms : float
        Time in ms to the first event beside the prompt's.
    time_factor : float
        How long work usually takes, relative to the middle one of the engines.
    slowness : float
        Factor by which work takes longer at present than usually.
    """

    def __init__(self, engine, leases=0, on_change=lambda: None):
        self.set_engine(engine)
        self._on_change = on_change
        self.total = leases
        self._leases = leases
        self._unleased_load = 0
        self._unleased_until_ms = 0
        self._history = deque()
        self._prefill_until_ms = 0.0
        self.tokens_per_ms = START_TOKENS_PER_MS
        self.fixed_ms = START_FIXED_MS
        self.time_factor = self.slowness = 1.0

    def set_engine(self, engine):
        """Set the engine's configuration.

        Parameters
        ----------
        engine : Engine
            The engine.
        """
        self.name = engine.name
        self.zone = engine.zone
        self.weight = engine.weight
        self.capacity = engine.capacity
        self.is_open = engine.status is LifecycleStatus.IN_SERVICE

    def add_prefill(self, tokens, wall_ms):
        """Add the prefill of a prompt to the engine's backlog.

        Parameters
        ----------
        tokens : float
            Prompt tokens that are not in its cache.
        wall_ms : int
            Wall time in ms.
        """
        # The backlog is capped, so that a wall clock that is set back can't make the
        # engine look busy for long.
        begin_ms = wall_ms + self.prefill_backlog_ms(wall_ms)
        self._prefill_until_ms = begin_ms + tokens / self.tokens_per_ms

    def expect_first_event_ms(self, tokens):
        """Return the time in ms to a first event, without the backlog.

        Parameters
        ----------
        tokens : float
            Tokens of the prompt that are not in the engine's cache.
        """
        return self.fixed_ms + tokens / self.tokens_per_ms

    def correct_prefill(self, late_ms, wall_ms):
        """Correct the engine's backlog by what an answer has shown.

        Parameters
        ----------
        late_ms : float
            Time in ms by which the engine is behind; negative if it is ahead.
        wall_ms : int
            Wall time in ms.
        """
        backlog_ms = self.prefill_backlog_ms(wall_ms)
        # The answer tells nothing of an engine that has read all its prompts.
        if backlog_ms:
            self._prefill_until_ms = wall_ms + backlog_ms + late_ms

    def prefill_backlog_ms(self, wall_ms):
        """Return the time in ms until the engine has read the prompts assigned to it.

        Parameters
        ----------
        wall_ms : int
            Wall time in ms.
        """
        left_ms = self._prefill_until_ms - wall_ms
        if left_ms <= 0.0:
            return 0.0
        return left_ms if left_ms < MAX_BACKLOG_MS else MAX_BACKLOG_MS

    def has_free_slot(self, capacity_share):
        """Return whether the engine has a free slot.

        Parameters
        ----------
        capacity_share : float
            Share of its capacity that may be used.
        """
        return self.total < max(1, int(self.capacity * capacity_share))

    def change_leases(self, delta, wall_ms):
        """Change the number of leases.

        Parameters
        ----------
        delta : int
            Leases added, or removed when negative.
        wall_ms : int
            Wall time in ms.
        """
        history = self._history
        history.append((wall_ms, self._leases))
        self._leases += delta
        self.total += delta
        self._on_change()
        while history[0][0] < wall_ms - LEASE_HISTORY_MS:
            history.popleft()

    def apply_load_report(self, report, wall_ms):
        """Apply the engine's own load report.

        Parameters
        ----------
        report : LoadReport
            The report; it may be seconds old.
        wall_ms : int
            Wall time in ms.
        """
        reported = report.running + report.waiting
        self._set_unleased_load(
            max(0, reported - self._max_leases_around(report.at_ms))
        )
        self._unleased_until_ms = wall_ms + REPORT_TTL_MS

    @property
    def unleased_load(self):
        """Requests in the last report that exceed the leases."""
        return self._unleased_load

    def _set_unleased_load(self, unleased_load):
        self.total += unleased_load - self._unleased_load
        self._unleased_load = unleased_load
        self._on_change()

    def _max_leases_around(self, at_ms):
        # The history holds each count of leases with the time until which it was valid.
        most = 0
        since_ms = -math.inf
        for until_ms, count in self._history:
            if until_ms >= at_ms - REPORT_TIME_SLACK_MS and (
                since_ms <= at_ms + REPORT_TIME_SLACK_MS
            ):
                most = max(most, count)
            since_ms = until_ms
        if since_ms <= at_ms + REPORT_TIME_SLACK_MS:
            most = max(most, self._leases)
        return most

    def expire_report(self, wall_ms):
        """Discard the last report's unleased load once it is too old.

        Parameters
        ----------
        wall_ms : int
            Wall time in ms.
        """
        if self._unleased_load and wall_ms >= self._unleased_until_ms:
            self._set_unleased_load(0)


class EngineLoads:
    """Load of all engines of a shard.

    Parameters
    ----------
    load_bound : float
        Highest load as a multiple of the mean; at least 1.

    Attributes
    ----------
    engine_load_by_name : dict
        `EngineLoad` by name of the engine.
    open_engines : list of EngineLoad
        Engines that accept new work.
    open_engines_by_zone : dict of list
        The same by zone; zones without any are absent.
    open_positions_by_zone : dict of list
        Positions of the zone's engines in `open_engines`.
    weight : float
        Summed weight of the open engines.
    capacity : int
        Summed capacity of the open engines.
    capacity_share : float
        Share of each engine's capacity that may be used.
    """

    def __init__(self, load_bound):
        self.load_bound = load_bound
        self.engine_load_by_name = {}
        self.open_engines = []
        self.open_engines_by_zone = {}
        self.open_positions_by_zone = {}
        self.weight = 0.0
        self.capacity = 0
        self.capacity_share = 1.0
        self._other_total = 0.0
        self._other_weight = 0.0
        # Sum of the engines' requests, or None once one of them has changed.
        self._total = None

    def set_engines(self, engines, leases_by_engine):
        """Set the engines of the shard.

        Parameters
        ----------
        engines : iterable of Engine
            All engines of the shard.
        leases_by_engine : collections.Counter
            Number of leases by engine.
        """
        known = self.engine_load_by_name
        self.engine_load_by_name = {}
        for engine in engines:
            load = known.get(engine.name)
            if load is None:
                leases = leases_by_engine[engine.name]
                load = EngineLoad(engine, leases, self._forget_total)
            else:
                load.set_engine(engine)
            self.engine_load_by_name[engine.name] = load
        self.open_engines = [
            load for load in self.engine_load_by_name.values() if load.is_open
        ]
        self.open_engines_by_zone, self.open_positions_by_zone = {}, {}
        for position, load in enumerate(self.open_engines):
            self.open_engines_by_zone.setdefault(load.zone, []).append(load)
            self.open_positions_by_zone.setdefault(load.zone, []).append(position)
        self._total = None
        self.weight = sum(load.weight for load in self.open_engines)
        self.capacity = sum(load.capacity for load in self.open_engines)

    def set_other_shards_load(self, total, weight):
        """Set the load of the model's other shards in the region.

        Parameters
        ----------
        total : float
            Requests in progress there.
        weight : float
            Summed weight of their engines that accept work.
        """
        self._other_total = total
        self._other_weight = weight

    def total(self):
        """Return the number of requests in progress on the open engines."""
        if self._total is None:
            self._total = sum([load.total for load in self.open_engines])
        return self._total

    def _forget_total(self):
        self._total = None

    def change_leases(self, engine, delta, wall_ms):
        """Change the number of leases on an engine.

        Parameters
        ----------
        engine : str
            Name of the engine; an unknown one is ignored.
        delta : int
            Leases added, or removed when negative.
        wall_ms : int
            Wall time in ms.
        """
        load = self.engine_load_by_name.get(engine)
        if load is not None:
            load.change_leases(delta, wall_ms)

    def mean_load(self):
        """Return the mean load per unit of weight, counting one more request."""
        total = self.total() + self._other_total + 1
        return total / (self.weight + self._other_weight)

    def load_bound_per_weight(self, mean_load):
        """Return the bound that an engine's load per unit of weight must be below.

        A whole number is below a bound exactly if it is below the bound rounded up. The
        bound is lowered by the rounding error of floating point.

        Parameters
        ----------
        mean_load : float
            Mean load per unit of weight, from `mean_load`.
        """
        return self.load_bound * mean_load * (1 - ROUNDING_TOLERANCE)

    def has_room(self, engine=None, extra=0):
        """Return whether an engine can accept the next request.

        Parameters
        ----------
        engine : str or None
            Name of the engine; any engine when None.
        extra : int
            Requests beyond the load bound that are allowed.
        """
        if not self.open_engines:
            return False
        per_weight = self.load_bound_per_weight(self.mean_load())
        loads = self.open_engines
        if engine is not None:
            load = self.engine_load_by_name.get(engine)
            loads = [load] if load is not None and load.is_open else []
        for load in loads:
            below = load.total < per_weight * load.weight + extra
            if below and load.has_free_slot(self.capacity_share):
                return True
        return False
