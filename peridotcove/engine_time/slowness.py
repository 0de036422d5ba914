"""How slow the machines of engines are at the moment, by what their answers say.

A figure says how long work takes in percent of the usual time. It changes many times a
second, so it is faded to the mean of its engine with its age. The speed that an engine
has for good is kept apart from it.
"""

import math

USUAL_PERCENT = 100
# Figures beyond these say nothing but that a machine is very slow or very fast.
MIN_PERCENT = 25
MAX_PERCENT = 1_000
# Age at which a figure counts for half.
HALF_LIFE_MS = 250
# Figures older than this count for nothing.
MAX_AGE_MS = 4 * HALF_LIFE_MS
# Share of a new figure in the mean of its engine.
MEAN_SHARE = 0.02


class Slowness:
    """Slowness of the engines of a shard.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._mean_by_engine = {}
        # Factor and time of the newest figure.
        self._figure_by_engine = {}

    @property
    def recent_engines(self):
        """Names of the engines of which a figure still counts."""
        return self._figure_by_engine.keys()

    def set_engines(self, names):
        """Forget the figures of engines that aren't in the shard.

        Parameters
        ----------
        names : collection of str
            Names of the engines of the shard.
        """
        for factors in (self._mean_by_engine, self._figure_by_engine):
            for name in factors.keys() - set(names):
                del factors[name]

    def record(self, engine, percent, age_ms):
        """Record a figure.

        Parameters
        ----------
        engine : str
            Name of the engine.
        percent : int
            How long work takes, in percent of the usual time; not positive for none.
        age_ms : int
            Age of the figure in ms.
        """
        if percent <= 0:
            return
        factor = min(max(percent, MIN_PERCENT), MAX_PERCENT) / USUAL_PERCENT
        mean = self._mean_by_engine.get(engine, 1.0)
        self._mean_by_engine[engine] = mean + MEAN_SHARE * (factor - mean)
        at_ms = self._clock.now() - max(0, age_ms)
        known = self._figure_by_engine.get(engine)
        if known is None or known[1] <= at_ms:
            self._figure_by_engine[engine] = factor, at_ms

    def expire(self):
        """Forget the figures that count for nothing; return their engines."""
        limit_ms = self._clock.now() - MAX_AGE_MS
        expired = [
            name
            for name, (_, at_ms) in self._figure_by_engine.items()
            if at_ms <= limit_ms
        ]
        for name in expired:
            del self._figure_by_engine[name]
        return expired

    def get_mean(self, engine):
        """Return the mean factor of an engine; 1 if it names no figures.

        Parameters
        ----------
        engine : str
            Name of the engine.
        """
        return self._mean_by_engine.get(engine, 1.0)

    def get_factor(self, engine):
        """Return the factor by which work takes longer than usual.

        Parameters
        ----------
        engine : str
            Name of the engine.
        """
        mean = self._mean_by_engine.get(engine, 1.0)
        figure = self._figure_by_engine.get(engine)
        if figure is None:
            return mean
        factor, at_ms = figure
        age_ms = self._clock.now() - at_ms
        if age_ms >= MAX_AGE_MS:
            return mean
        return mean + (factor - mean) * math.exp2(-age_ms / HALF_LIFE_MS)

    def get_age_ms(self, engine):
        """Return the age of the newest figure of an engine, or -1 without one.

        Parameters
        ----------
        engine : str
            Name of the engine.
        """
        figure = self._figure_by_engine.get(engine)
        return -1 if figure is None else self._clock.now() - figure[1]
