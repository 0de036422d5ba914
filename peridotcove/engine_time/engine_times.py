"""Times of the engines of one shard: how fast they read, and how slow they are now."""

from attrs import define

from peridotcove.engine_time.read_rates import ReadRates, find_median
from peridotcove.engine_time.slowness import USUAL_PERCENT, Slowness

# Largest factor by which a figure corrects a time: a false one must not spoil a rate.
MAX_CORRECTION = 4.0
# Smaller errors than a few steps of an engine are left alone.
MIN_CORRECTION_MS = 20.0


@define(eq=False)
class FirstEventEstimate:
    """Expected time to the first event of a request, and its inputs.

    Attributes
    ----------
    engine : str
        Name of the engine.
    granted_ms : float
        Monotonic time in ms of the grant.
    tokens : float
        Tokens of the prompt that the engine has to read.
    backlog_ms : float
        Time in ms that it needs for the prompts before.
    expected_ms : float
        Time in ms from the grant to the first event.
    previous : FirstEventEstimate or None
        Estimate of the request that was granted the engine before.
    correction_ms : float
        Sum of the corrections of the engine's backlog until the grant.
    seen_ms : float or None
        Monotonic time in ms of the first event, once that is known.
    """

    engine: str
    granted_ms: float
    tokens: float
    backlog_ms: float
    expected_ms: float
    previous: object = None
    correction_ms: float = 0.0
    seen_ms: float | None = None

    def forget_previous(self):
        """Drop the estimate before; otherwise each would keep all earlier ones."""
        self.previous = None


class EngineTimes:
    """What the owner of a shard has learnt of the times of its engines.

    A new owner starts without it and learns from the next answers.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    def __init__(self, clock):
        self._clock = clock
        self._rates = ReadRates()
        self._last_by_engine = {}
        self._correction_by_engine = {}
        self._slowness = Slowness(clock)
        self._names = frozenset()
        # Middle one of the engines' mean slownesses.
        self._usual_factor = 1.0

    @property
    def tokens_per_ms(self):
        """Rate of the middle one of the engines, in prompt tokens per ms."""
        return self._rates.tokens_per_ms

    @property
    def fixed_ms(self):
        """Time in ms to the first event beside the prompt's, of the middle engine."""
        return self._rates.fixed_ms * self._usual_factor

    def set_engines(self, engines):
        """Set the engines of the shard.

        Parameters
        ----------
        engines : list of Engine
            The engines.
        """
        self._names = frozenset(engine.name for engine in engines)
        self._rates.set_engines(engines)
        self._slowness.set_engines(self._names)
        for values in (self._last_by_engine, self._correction_by_engine):
            for name in values.keys() - self._names:
                del values[name]

    def record(self, engine, estimate, times):
        """Record the times of an answer.

        Parameters
        ----------
        engine : str
            Name of the engine.
        estimate : FirstEventEstimate or None
            What was expected; None if the lease was granted by another owner.
        times : AnswerTimes
            The times.

        Returns
        -------
        is_new_for_all : bool
            Whether values of all engines changed with it.
        correction_ms : float
            Time in ms by which the engine is behind what was expected of it, as far as
            earlier answers haven't shown it; negative if it is ahead.
        """
        if engine not in self._names or not times.is_valid():
            return False, 0.0
        self._slowness.record(engine, times.slowness, times.slowness_age_ms)
        if estimate is None or not times.first_ms:
            return False, 0.0
        estimate.seen_ms = estimate.granted_ms + times.first_ms
        read_ms = self._find_read_ms(estimate)
        estimate.forget_previous()
        is_new_for_all = False
        if read_ms is not None:
            # The speed for good is what remains without the machine's slowness.
            usual = USUAL_PERCENT / times.slowness if times.slowness else 1.0
            usual = min(max(usual, 1 / MAX_CORRECTION), MAX_CORRECTION)
            is_new_for_all = self._rates.add(
                engine, estimate.tokens, read_ms * usual, times.event_ms * usual
            )
        if is_new_for_all:
            means = [self._slowness.get_mean(name) for name in self._names]
            self._usual_factor = find_median(means)
        return is_new_for_all, self._correct(estimate)

    def _find_read_ms(self, estimate):
        """Return the time to the first event without the wait for earlier prompts.

        Returns None if that wait is not known.
        """
        fixed_ms = self._rates.get_fixed_ms(estimate.engine)
        previous = estimate.previous
        begin_ms = estimate.granted_ms
        if previous is not None and previous.seen_ms is not None:
            if previous.seen_ms > estimate.seen_ms:
                return None
            begin_ms = max(begin_ms, previous.seen_ms - fixed_ms)
        elif estimate.backlog_ms > fixed_ms:
            return None
        return estimate.seen_ms - begin_ms

    def _correct(self, estimate):
        engine = estimate.engine
        if not estimate.tokens:
            return 0.0
        known_ms = self._correction_by_engine.get(engine, 0.0)
        late_ms = estimate.seen_ms - estimate.granted_ms - estimate.expected_ms
        correction_ms = late_ms - (known_ms - estimate.correction_ms)
        if abs(correction_ms) < MIN_CORRECTION_MS or not self.is_known(engine):
            return 0.0
        self._correction_by_engine[engine] = known_ms + correction_ms
        return correction_ms

    def expire(self):
        """Return the engines whose factor has changed with the age of its figure."""
        return [*self._slowness.recent_engines, *self._slowness.expire()]

    def get_rate(self, engine):
        """Return the read rate of an engine, in tokens per ms, at its usual slowness.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._rates.get_rate(engine)

    def get_slowness(self, engine):
        """Return by how much longer work takes than on most engines; at least 1.

        An engine with a good figure isn't taken to be faster: all requests of the
        next moment would go there.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return max(1.0, self._slowness.get_factor(engine) / self._usual_factor)

    def get_time_factor(self, engine):
        """Return how long work usually takes, relative to the middle engine.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._rates.get_time_factor(engine)

    def get_usual_rate(self, engine):
        """Return the read rate of an engine on its machine, which it shares.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._rates.get_rate(engine) / self._usual_factor

    def is_known(self, engine):
        """Return whether an engine's own answers suffice for an estimate.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._rates.is_known(engine)

    def get_usual_fixed_ms(self, engine):
        """Return the time in ms to its first event beside the prompt's, on its machine.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._rates.get_fixed_ms(engine) * self._usual_factor

    def record_grant(self, engine, tokens, backlog_ms, expected_ms):
        """Record that a request was granted an engine; return its estimate.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        tokens : float
            Tokens of the prompt that the engine has to read.
        backlog_ms : float
            Time in ms that it needs for the prompts before.
        expected_ms : float
            Time in ms from the grant to the first event.

        Returns
        -------
        FirstEventEstimate
        """
        estimate = FirstEventEstimate(
            engine,
            self._clock.now(),
            tokens,
            backlog_ms,
            expected_ms,
            self._last_by_engine.get(engine),
            self._correction_by_engine.get(engine, 0.0),
        )
        self._last_by_engine[engine] = estimate
        return estimate

    def describe(self):
        """Return what is known of each engine, for operators."""
        return {
            name: {
                "tokens_per_ms": round(self._rates.get_rate(name), 1),
                "fixed_ms": round(self._rates.get_fixed_ms(name), 1),
                "event_ms": round(self._rates.get_event_ms(name), 1),
                "is_known": self._rates.is_known(name),
                "slowness": round(self._slowness.get_factor(name), 2),
                "figure_age_ms": self._slowness.get_age_ms(name),
            }
            for name in sorted(self._names)
        }
