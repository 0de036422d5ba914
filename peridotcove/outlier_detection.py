"""Outlier detection: ejects engines that fail their requests, for a limited time.

An engine is ejected after several consecutive failures, at once when it can't be
reached, and when its share of failed requests is far above that of the other engines of
its shard.
"""

import math

from attrs import define

CONSECUTIVE_FAILURES = 3
BASE_EJECTION_MS = 1_000
MAX_EJECTION_MS = 30_000
MAX_EJECTED_SHARE = 0.5
# Time after which the weight of an outcome has decayed to 1/e: long enough to cover
# some requests, and short against the duration of a typical fault.
OUTCOME_DECAY_MS = 4_000
# An engine is an outlier if its share of failures reaches the first value, and the
# second value times the share of the other engines, over outcomes with a weight of at
# least the third.
OUTLIER_FAILURE_SHARE = 0.25
OUTLIER_FACTOR = 2.5
OUTLIER_MIN_OUTCOMES = 8.0


@define
class EngineRecord:
    """Recent outcomes of one engine's requests, and the state of its ejection.

    Attributes
    ----------
    consecutive_failures : int
        Number of failures since the last success.
    ejection_ms : int
        Length in ms of the last ejection; 0 after a success.
    ejected_until_ms : int
        Monotonic time in ms at which the ejection ends.
    outcomes, failed : float
        Decayed number of outcomes, and of failures among them.
    at_ms : int
        Monotonic time in ms of the last outcome.
    """

    consecutive_failures: int = 0
    ejection_ms: int = 0
    ejected_until_ms: int = 0
    outcomes: float = 0.0
    failed: float = 0.0
    at_ms: int = 0

    def decay(self, now_ms):
        """Decay the counts of outcomes up to a time.

        Parameters
        ----------
        now_ms : int
            Monotonic time in ms.
        """
        share = math.exp(-max(0, now_ms - self.at_ms) / OUTCOME_DECAY_MS)
        self.outcomes *= share
        self.failed *= share
        self.at_ms = now_ms


class OutlierDetector:
    """Detects engines that fail requests, at the owner of a shard.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._record_by_engine = {}

    def record_outcome(self, engine, outcome, engines):
        """Record the outcome of a request.

        Parameters
        ----------
        engine : str
            Name of the engine.
        outcome : str
            ``"done"``, ``"failed"`` or ``"unreachable"``.
        engines : iterable of str
            All engines of the shard of that engine.
        """
        now = self._clock.now()
        record = self._record_by_engine.setdefault(engine, EngineRecord(at_ms=now))
        record.decay(now)
        record.outcomes += 1
        if outcome == "done":
            record.consecutive_failures = 0
            if now >= record.ejected_until_ms:
                record.ejection_ms = 0
            return
        record.failed += 1
        record.consecutive_failures += (
            CONSECUTIVE_FAILURES if outcome == "unreachable" else 1
        )
        failed_on_trial = record.ejection_ms and now >= record.ejected_until_ms
        is_repeated_failure = (
            record.consecutive_failures >= CONSECUTIVE_FAILURES
            and not record.ejection_ms
        )
        if (
            failed_on_trial
            or is_repeated_failure
            or self._is_outlier(engine, engines, record, now)
        ):
            next_ejection_ms = max(BASE_EJECTION_MS, 2 * record.ejection_ms)
            record.ejection_ms = min(MAX_EJECTION_MS, next_ejection_ms)
            record.ejected_until_ms = now + record.ejection_ms
            record.outcomes = record.failed = 0.0

    def _is_outlier(self, engine, engines, record, now):
        if now < record.ejected_until_ms or record.outcomes < OUTLIER_MIN_OUTCOMES:
            return False
        share = record.failed / record.outcomes
        outcomes = failed = 0.0
        for name in engines:
            other = self._record_by_engine.get(name)
            if other is not None and name != engine:
                other.decay(now)
                outcomes += other.outcomes
                failed += other.failed
        baseline = failed / outcomes if outcomes else 0.0
        return share >= OUTLIER_FAILURE_SHARE and share >= OUTLIER_FACTOR * baseline

    def ejected_engines(self, engines):
        """Return the engines of a shard that are ejected now.

        If more than `MAX_EJECTED_SHARE` of the engines fail, the fault is likely
        elsewhere, and none is ejected.

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
        ejected = {
            name
            for name, record in self._record_by_engine.items()
            if name in names and now < record.ejected_until_ms
        }
        return frozenset(
            ejected if len(ejected) <= MAX_EJECTED_SHARE * len(names) else ()
        )
