"""Learns how fast each engine reads prompts, from the times of its first events.

The time to the first event is fitted as a fixed part plus a time for each prompt token
that had to be read before, those of the prompts ahead included. Recent answers count
most. An engine without answers is taken to be like its peers.
"""

# Rate of engines of which nothing is known, by the data sheets of the engines in use.
START_TOKENS_PER_MS = 50.0
# Time to the first event beside the prompt's, while nothing is known.
START_FIXED_MS = 40.0
# Largest factor between the start rate and one that is learnt.
MAX_RATE_FACTOR = 10.0
# Share of what is known that is kept with each further answer.
MEMORY = 0.99
# Answers that the earlier ones count for when the engine is started again: it may run
# on another machine.
RESTART_ANSWERS = 2.0
# Answers that the values of the peers count for.
PEER_ANSWERS = 4.0
# Spread of prompts, in tokens, in which these answers are taken to differ.
PEER_SPREAD_TOKENS = 1_000.0
# Answers from which an engine's values count for its peers and for refusals.
MIN_ANSWERS = 12.0
# Answers of an engine, on average, between two computations of the peers' values.
PEERS_INTERVAL = 2
# Residuals are clipped at this multiple of their mean, so that a prompt that the engine
# had to read against expectation counts little.
MAX_RESIDUALS = 3.0
START_RESIDUAL_MS = 100.0
MIN_RESIDUAL_MS = 2.0
# Engines that differ by less are taken to be equally fast.
TOLERANCE = 0.05
# The same for engines without prompts to read, whose times vary with their load.
FIXED_TOLERANCE = 0.1
# Largest factor between the times of two engines that selection is based on.
MAX_TIME_FACTOR = 3.0


def find_median(values):
    """Return the median of numbers.

    The module ``statistics`` has one too, but takes some ms to import at each start.

    Parameters
    ----------
    values : iterable of float
        At least one number.
    """
    ordered = sorted(values)
    middle = len(ordered) // 2
    if len(ordered) % 2:
        return ordered[middle]
    return (ordered[middle - 1] + ordered[middle]) / 2


class _EngineFit:
    """Weighted linear fit of the time to the first event over the tokens to read."""

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.answers = 0.0
        self.event_ms = 0.0
        self.residual_ms = START_RESIDUAL_MS
        self.ms_per_token = 1 / START_TOKENS_PER_MS
        self.fixed_ms = START_FIXED_MS
        self._tokens = self._ms = 0.0
        self._spread = self._product = 0.0

    @property
    def reads_prompts(self):
        """Whether the prompts differed enough to tell the time that reading takes."""
        return self._spread >= PEER_SPREAD_TOKENS**2

    def forget(self, share):
        self.answers *= share
        self._spread *= share
        self._product *= share

    def restart(self):
        if self.answers > RESTART_ANSWERS:
            self.forget(RESTART_ANSWERS / self.answers)
        self.residual_ms = START_RESIDUAL_MS

    def add(self, tokens, first_ms):
        limit_ms = MAX_RESIDUALS * self.residual_ms
        residual_ms = first_ms - self.fixed_ms - tokens * self.ms_per_token
        if abs(residual_ms) > limit_ms:
            first_ms -= residual_ms - (limit_ms if residual_ms > 0 else -limit_ms)
        weight = 1 - MEMORY
        seen_ms = min(abs(residual_ms), 2 * limit_ms)
        self.residual_ms += max(weight, 1 / (self.answers + PEER_ANSWERS)) * (
            seen_ms - self.residual_ms
        )
        self.residual_ms = max(self.residual_ms, MIN_RESIDUAL_MS)
        self.forget(MEMORY)
        self.answers += 1.0
        token_step, ms_step = tokens - self._tokens, first_ms - self._ms
        self._tokens += token_step / self.answers
        self._ms += ms_step / self.answers
        self._spread += token_step * (tokens - self._tokens)
        self._product += token_step * (first_ms - self._ms)

    def fit(self, peer_ms_per_token, peer_fixed_ms):
        peer_spread = PEER_ANSWERS * PEER_SPREAD_TOKENS**2
        slope = (self._product + peer_spread * peer_ms_per_token) / (
            self._spread + peer_spread
        )
        lowest = 1 / (START_TOKENS_PER_MS * MAX_RATE_FACTOR)
        highest = MAX_RATE_FACTOR / START_TOKENS_PER_MS
        self.ms_per_token = min(max(slope, lowest), highest)
        fixed_ms = self._ms - self.ms_per_token * self._tokens
        self.fixed_ms = max(
            0.0,
            (self.answers * fixed_ms + PEER_ANSWERS * peer_fixed_ms)
            / (self.answers + PEER_ANSWERS),
        )


class ReadRates:
    """Read rates of the engines of a shard.

    Attributes
    ----------
    tokens_per_ms : float
        Rate of the middle one of the engines; the start rate while none is known.
    fixed_ms : float
        Time to the first event beside the prompt's, of the middle one of the engines.
    """

    def __init__(self):
        self._fit_by_engine = {}
        self._added = 0
        self.tokens_per_ms = START_TOKENS_PER_MS
        self.fixed_ms = START_FIXED_MS

    def set_engines(self, engines):
        """Set the engines of the shard.

        Parameters
        ----------
        engines : iterable of Engine
            The engines; what is known of an earlier incarnation counts little.
        """
        known = self._fit_by_engine
        self._fit_by_engine = {}
        for engine in engines:
            fit = known.get(engine.name)
            if fit is None:
                fit = _EngineFit(engine.incarnation)
                fit.fit(1 / self.tokens_per_ms, self.fixed_ms)
            elif fit.incarnation != engine.incarnation:
                fit.incarnation = engine.incarnation
                fit.restart()
                fit.fit(1 / self.tokens_per_ms, self.fixed_ms)
            self._fit_by_engine[engine.name] = fit

    def add(self, engine, tokens, first_ms, event_ms=0):
        """Add the times of an answer.

        Parameters
        ----------
        engine : str
            Name of the engine; an unknown one is ignored.
        tokens : float
            Prompt tokens that the engine had to read before the first event.
        first_ms : float
            Time in ms from sending the request to the first event.
        event_ms : float
            Mean time in ms between two events; 0 if there were none.

        Returns
        -------
        bool
            Whether the values of the peers changed with it.
        """
        fit = self._fit_by_engine.get(engine)
        if fit is None:
            return False
        fit.add(tokens, first_ms)
        fit.fit(1 / self.tokens_per_ms, self.fixed_ms)
        if event_ms:
            weight = max(1 - MEMORY, 1 / fit.answers)
            fit.event_ms += weight * (event_ms - fit.event_ms)
        self._added += 1
        if self._added < PEERS_INTERVAL * len(self._fit_by_engine):
            return False
        self._added = 0
        self._update_peers()
        return True

    def _update_peers(self):
        known = [
            fit for fit in self._fit_by_engine.values() if fit.answers >= MIN_ANSWERS
        ]
        if not known:
            return
        rate = 1 / find_median(fit.ms_per_token for fit in known)
        self.tokens_per_ms = _snap(rate, START_TOKENS_PER_MS)
        self.fixed_ms = find_median(fit.fixed_ms for fit in known)

    def get_rate(self, engine):
        """Return the read rate of an engine in tokens per ms.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        fit = self._fit_by_engine[engine]
        return _snap(1 / fit.ms_per_token, self.tokens_per_ms)

    def get_time_factor(self, engine):
        """Return how long work takes on an engine, relative to the middle one.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        fit = self._fit_by_engine[engine]
        if fit.answers < MIN_ANSWERS:
            return 1.0
        if fit.reads_prompts:
            factor = self.tokens_per_ms / self.get_rate(engine)
        elif self.fixed_ms:
            factor = _snap(fit.fixed_ms / self.fixed_ms, 1.0, FIXED_TOLERANCE)
        else:
            factor = 1.0
        return min(max(factor, 1 / MAX_TIME_FACTOR), MAX_TIME_FACTOR)

    def get_fixed_ms(self, engine):
        """Return the time in ms to the first event of an engine beside the prompt's.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._fit_by_engine[engine].fixed_ms

    def get_event_ms(self, engine):
        """Return the mean time in ms between two events; 0 if it is not known.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._fit_by_engine[engine].event_ms

    def is_known(self, engine):
        """Return whether an engine's own answers suffice for an estimate.

        Parameters
        ----------
        engine : str
            Name of an engine of the shard.
        """
        return self._fit_by_engine[engine].answers >= MIN_ANSWERS


def _snap(value, reference, tolerance=TOLERANCE):
    """Return the reference if the value differs from it by no more than a tolerance."""
    return reference if abs(value / reference - 1) <= tolerance else value
