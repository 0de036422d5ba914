"""Sets engines aside for a while that fail one request after the other."""

from attrs import define

FAILURES = 3
FIRST_ASIDE_MS = 1_000
MAX_ASIDE_MS = 30_000
MOST_ASIDE = 0.5


@define
class Health:
    """What one engine's last requests say.

    Attributes
    ----------
    failures : int
        Failures since the last success.
    aside_ms : int
        Length in ms of the last time aside; 0 after a success.
    until_ms : int
        Monotonic time in ms at which the time aside ends.
    """

    failures: int = 0
    aside_ms: int = 0
    until_ms: int = 0


class EngineHealth:
    """Outcomes of requests by engine, at the owner of a shard.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._health_by_engine = {}

    def note(self, engine, failed):
        """Take the outcome of a request.

        Parameters
        ----------
        engine : str
            Name of the engine.
        failed : bool
            Whether the engine failed.
        """
        if not failed:
            self._health_by_engine.pop(engine, None)
            return
        health = self._health_by_engine.setdefault(engine, Health())
        health.failures += 1
        now = self._clock.now()
        on_trial = health.aside_ms and now >= health.until_ms
        if on_trial or (health.failures >= FAILURES and not health.aside_ms):
            longer = max(FIRST_ASIDE_MS, 2 * health.aside_ms)
            health.aside_ms = min(MAX_ASIDE_MS, longer)
            health.until_ms = now + health.aside_ms

    def aside(self, engines):
        """Return which engines of a shard are to get no work now.

        When most of them fail, the fault is likely elsewhere, and none is set aside.

        Parameters
        ----------
        engines : iterable of str
            Engines of the shard.

        Returns
        -------
        frozenset of str
        """
        names = set(engines)
        now = self._clock.now()
        bad = {
            name
            for name, health in self._health_by_engine.items()
            if name in names and now < health.until_ms
        }
        return frozenset(bad if len(bad) <= MOST_ASIDE * len(names) else ())
