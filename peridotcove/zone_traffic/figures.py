"""Load of availability zones, smoothed over time, and the start they let expect."""

import math

from attrs import define, frozen

# Time over which the load of a zone is averaged. Requests come in bunches; a shorter
# time would follow them.
SMOOTHING_MS = 2_000
# Figures that were not updated for longer say nothing of the present.
MAX_FIGURES_AGE_MS = 10_000
# From this utilization on a queue has no mean length.
MAX_UTILIZATION = 0.99
MAX_WAIT_MS = 60_000.0


@frozen
class ZoneSample:
    """Figures of one zone at one moment.

    Attributes
    ----------
    engines : int
        Number of engines that accept work and aren't cold.
    weight, capacity : float
        Their summed weight and capacity.
    load : float
        Requests in progress on them.
    backlog_ms : float
        Mean time until they have read the prompts assigned to them.
    demand : float
        Requests in progress that arrived in the zone, wherever they run.
    """

    engines: int = 0
    weight: float = 0.0
    capacity: float = 0.0
    load: float = 0.0
    backlog_ms: float = 0.0
    demand: float = 0.0


@define
class ZoneFigures:
    """Figures of one zone; `load`, `backlog_ms` and `demand` are smoothed.

    Attributes
    ----------
    engines, weight, capacity, load, backlog_ms, demand : float
        As in `ZoneSample`.
    """

    engines: int
    weight: float
    capacity: float
    load: float
    backlog_ms: float
    demand: float

    def update(self, sample, gain):
        """Take in a sample.

        Parameters
        ----------
        sample : ZoneSample
            The sample.
        gain : float
            Its share in the smoothed figures.
        """
        self.engines = sample.engines
        self.weight = sample.weight
        self.capacity = sample.capacity
        self.load += gain * (sample.load - self.load)
        self.backlog_ms += gain * (sample.backlog_ms - self.backlog_ms)
        self.demand += gain * (sample.demand - self.demand)

    def estimate_start_ms(self, service_ms):
        """Return the time in ms after which a further request would start.

        Parameters
        ----------
        service_ms : float
            Mean time for which a request occupies an engine.
        """
        wait_ms = estimate_wait_ms(self.load, self.capacity, service_ms)
        return self.backlog_ms + wait_ms


def estimate_wait_ms(load, capacity, service_ms):
    """Return the mean wait for a slot, by Sakasegawa's approximation of M/M/c.

    Parameters
    ----------
    load : float
        Mean number of requests in progress.
    capacity : float
        Number of slots.
    service_ms : float
        Mean time for which a request occupies a slot.
    """
    if capacity <= 0:
        return MAX_WAIT_MS
    utilization = min(load / capacity, MAX_UTILIZATION)
    exponent = math.sqrt(2 * (capacity + 1)) - 1
    wait_ms = service_ms * utilization**exponent / (capacity * (1 - utilization))
    return min(wait_ms, MAX_WAIT_MS)


class FiguresByZone:
    """Smoothed figures of the zones of a shard.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    figures_by_zone : dict
        `ZoneFigures` by name of the zone.
    """

    def __init__(self, clock):
        self._clock = clock
        self._updated_ms = None
        self.figures_by_zone = {}

    def update(self, sample_by_zone):
        """Take in a sample of each zone; return whether earlier figures were fresh.

        Figures that are too old are replaced.

        Parameters
        ----------
        sample_by_zone : dict
            `ZoneSample` by name of the zone.
        """
        now = self._clock.now()
        age_ms = math.inf if self._updated_ms is None else now - self._updated_ms
        self._updated_ms = now
        is_fresh = age_ms <= MAX_FIGURES_AGE_MS
        gain = 1 - math.exp(-age_ms / SMOOTHING_MS) if is_fresh else 1.0
        known, self.figures_by_zone = self.figures_by_zone, {}
        for zone, sample in sample_by_zone.items():
            figures = known.get(zone)
            if figures is None or not is_fresh:
                figures = ZoneFigures(
                    sample.engines,
                    sample.weight,
                    sample.capacity,
                    sample.load,
                    sample.backlog_ms,
                    sample.demand,
                )
            else:
                figures.update(sample, gain)
            self.figures_by_zone[zone] = figures
        return is_fresh
