"""Sets engines aside for a while that fail their requests.

An engine is set aside after some failures in a row, at once when it can't be reached,
and when it fails far more of its requests than the others of its shard.
"""

import math

from attrs import define

FAILURES = 3
FIRST_ASIDE_MS = 1_000
MAX_ASIDE_MS = 30_000
MOST_ASIDE = 0.5
# Time in ms after which an outcome counts for a fraction 1/e: long enough for some
# requests, short against the time in which a fault comes and goes.
MEMORY_MS = 4_000
# An engine is grey with this share of failures, so many times that of the others, over
# outcomes that weigh at least as many as these.
GREY_SHARE = 0.25
GREY_FACTOR = 2.5
GREY_OUTCOMES = 8.0


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
    outcomes, failed : float
        Outcomes, and failures among them, that fade with time.
    at_ms : int
        Monotonic time in ms of the last outcome.
    """

    failures: int = 0
    aside_ms: int = 0
    until_ms: int = 0
    outcomes: float = 0.0
    failed: float = 0.0
    at_ms: int = 0

    def fade(self, now_ms):
        """Let what was counted fade until a time.

        Parameters
        ----------
        now_ms : int
            Monotonic time in ms.
        """
        share = math.exp(-max(0, now_ms - self.at_ms) / MEMORY_MS)
        self.outcomes *= share
        self.failed *= share
        self.at_ms = now_ms


class OutlierDetector:
    """Outcomes of requests by engine, at the owner of a shard.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._health_by_engine = {}

    def note(self, engine, outcome, engines):
        """Take the outcome of a request.

        Parameters
        ----------
        engine : str
            Name of the engine.
        outcome : str
            ``"done"``, ``"failed"`` or ``"unreachable"``.
        engines : iterable of str
            All engines of its shard.
        """
        now = self._clock.now()
        health = self._health_by_engine.setdefault(engine, Health(at_ms=now))
        health.fade(now)
        health.outcomes += 1
        if outcome == "done":
            health.failures = 0
            if now >= health.until_ms:
                health.aside_ms = 0
            return
        health.failed += 1
        health.failures += FAILURES if outcome == "unreachable" else 1
        on_trial = health.aside_ms and now >= health.until_ms
        in_row = health.failures >= FAILURES and not health.aside_ms
        if on_trial or in_row or self._is_grey(engine, engines, health, now):
            longer = max(FIRST_ASIDE_MS, 2 * health.aside_ms)
            health.aside_ms = min(MAX_ASIDE_MS, longer)
            health.until_ms = now + health.aside_ms
            health.outcomes = health.failed = 0.0

    def _is_grey(self, engine, engines, health, now):
        if now < health.until_ms or health.outcomes < GREY_OUTCOMES:
            return False
        share = health.failed / health.outcomes
        outcomes = failed = 0.0
        for name in engines:
            other = self._health_by_engine.get(name)
            if other is not None and name != engine:
                other.fade(now)
                outcomes += other.outcomes
                failed += other.failed
        usual = failed / outcomes if outcomes else 0.0
        return share >= GREY_SHARE and share >= GREY_FACTOR * usual

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
