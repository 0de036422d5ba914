"""Bounds the rate of requests to engines that have just started and are still cold.

The first owner of a shard grants leases on a cold engine at the rate that it bears. An
owner that stands in for it, or that has just become the first, may run beside others
that still grant; it uses a part of what the bound allows beyond that rate.

After its cold time the rate of an engine doubles in each `RAMP_DOUBLING_MS`, until it
could fill the engine in a second. Without that, the least loaded engine of the model
would get all new requests at once.
"""

from attrs import define, field

from peridotcove.clock import MS_PER_S

# Longer times are taken for a fault of the engine, which hurts only itself.
MAX_COLD_MS = 600_000
# Largest share of the rate by which requests of a second may bunch on their way.
BUNCHING_SHARE = 0.25
# Time for which a request may be on its way from the grant to the engine.
MAX_SEND_DELAY_MS = int(BUNCHING_SHARE * MS_PER_S)
# Time after the end of the cold time in which the rate of an engine doubles.
RAMP_DOUBLING_MS = 500
# By then the rate of any engine has grown beyond what it can take.
MAX_DOUBLINGS = 32
# Owners that may grant beside the first one.
MAX_OTHER_OWNERS = 2


@define
class _ColdSpell:
    """The time for which an engine is cold, its reports of it, and its tokens."""

    incarnation: int
    end_ms: int
    refilled_ms: int
    tokens: float
    reports: set = field(factory=set)
    # Whether the rate has grown to what the engine bears when it is warm.
    is_warm: bool = False

    def ramp_factor(self, now):
        """Return by how much the rate has grown since the end of the cold time."""
        doublings = max(0, now - self.end_ms) / RAMP_DOUBLING_MS
        return 2.0 ** min(doublings, MAX_DOUBLINGS)


class ColdEngines:
    """The engines of a shard that are cold, and which may get a request now.

    Parameters
    ----------
    clock : Clock
        Time in ms.

    Attributes
    ----------
    share : float
        Share of the rate of each cold engine that this owner may use.
    """

    def __init__(self, clock):
        self._clock = clock
        self._spell_by_engine = {}
        self._rate_by_engine = {}
        self._full_rate_by_engine = {}
        self._incarnation_by_engine = {}
        self._capacity = 1.0
        self._allowed_share = 1.0
        self.share = 0.0

    def set_engines(self, engines, model_by_name, bounds):
        """Set the engines of the shard.

        Parameters
        ----------
        engines : iterable of Engine
            The engines, as configured.
        model_by_name : dict of Model
            Their models.
        bounds : Bounds
            Bounds of the configuration.
        """
        self._refill()
        engines = list(engines)
        spells, rates = {}, {}
        for engine in engines:
            model = model_by_name.get(engine.model)
            if model is None or not model.cold_rate:
                continue
            spell = self._find_spell(engine, model.cold_rate)
            if spell is not None:
                spells[engine.name] = spell
                rates[engine.name] = model.cold_rate
        self._spell_by_engine, self._rate_by_engine = spells, rates
        # Requests a second with which an engine could be full within one.
        self._full_rate_by_engine = {
            one.name: one.capacity for one in engines if one.name in spells
        }
        self._incarnation_by_engine = {one.name: one.incarnation for one in engines}
        self._capacity = max(1.0, bounds.cold_rate_extra / (1 + MAX_OTHER_OWNERS))
        self._allowed_share = bounds.cold_rate_ratio / (1 + BUNCHING_SHARE)

    def _find_spell(self, engine, rate):
        """Return the spell of an engine, or None if it is warm."""
        now = self._clock.now()
        known = spell = self._spell_by_engine.get(engine.name)
        if known is not None and known.incarnation != engine.incarnation:
            spell = None
        if not engine.cold_ms:
            if spell is None or spell.is_warm:
                return None
            spell.end_ms = min(spell.end_ms, now)
            return spell
        if spell is not None and engine.cold_report in spell.reports:
            return spell
        end_ms = now + min(engine.cold_ms, MAX_COLD_MS)
        if spell is None or spell.end_ms <= now:
            tokens = 0.0 if known is None else min(0.0, known.tokens)
            if self._incarnation_by_engine.get(engine.name) == engine.incarnation:
                # Requests that were granted while it was warm are still on their way.
                tokens = -BUNCHING_SHARE * rate
            reports = set() if spell is None else spell.reports
            spell = _ColdSpell(engine.incarnation, end_ms, now, tokens, reports)
        spell.reports.add(engine.cold_report)
        spell.end_ms = max(spell.end_ms, end_ms)
        return spell

    def set_role(self, is_alone, is_owner):
        """Set which part of the rates this node may use.

        Parameters
        ----------
        is_alone : bool
            Whether this node is the first owner of the shard, and no earlier one may
            still grant leases.
        is_owner : bool
            Whether it may grant leases to other nodes at all.
        """
        self._refill()
        if is_alone:
            self.share = min(1.0, self._allowed_share)
        elif is_owner:
            self.share = max(0.0, self._allowed_share - 1) / MAX_OTHER_OWNERS
        else:
            self.share = 0.0

    def find_blocked(self):
        """Return the names of the engines that may get no request now.

        They are cold, or were until a moment ago.
        """
        if not self._spell_by_engine:
            return ()
        self._refill()
        now = self._clock.now()
        # A node that is no owner of the shard has no rate that could grow.
        return tuple(
            name
            for name, spell in self._spell_by_engine.items()
            if spell.tokens < 1
            and not spell.is_warm
            and (spell.end_ms > now or self.share)
        )

    def find_cold(self):
        """Return the names of the engines that are still cold."""
        now = self._clock.now()
        return {
            name for name, spell in self._spell_by_engine.items() if spell.end_ms > now
        }

    def is_cold(self, engine):
        """Return whether an engine is cold.

        Parameters
        ----------
        engine : str
            Name of the engine.
        """
        spell = self._spell_by_engine.get(engine)
        return spell is not None and spell.end_ms > self._clock.now()

    def record_grant(self, engine):
        """Record that a request was granted an engine.

        Parameters
        ----------
        engine : str
            Name of the engine.
        """
        spell = self._spell_by_engine.get(engine)
        if spell is not None and not spell.is_warm:
            spell.tokens -= 1

    def estimate_wait_ms(self, engines, waiting):
        """Return the time in ms until a further request can be granted an engine.

        Parameters
        ----------
        engines : iterable of str
            Engines that the request may use.
        waiting : int
            Number of requests that wait already.

        Returns
        -------
        float or None
            None if one of the engines isn't cold.
        """
        now = self._clock.now()
        rate, first_end_ms = 0.0, MAX_COLD_MS
        for name in engines:
            spell = self._spell_by_engine.get(name)
            if spell is None or spell.end_ms <= now:
                return None
            rate += self.share * self._rate_by_engine[name]
            first_end_ms = min(first_end_ms, spell.end_ms - now)
        if not rate:
            return first_end_ms
        return min(first_end_ms, MS_PER_S * (waiting + 1) / rate)

    def _refill(self):
        now = self._clock.now()
        for name, spell in self._spell_by_engine.items():
            if spell.is_warm:
                continue
            factor = spell.ramp_factor(now)
            rate = self.share * self._rate_by_engine[name] * factor
            if factor > 1 and rate >= self._full_rate_by_engine[name]:
                spell.is_warm = True
            gained = rate * (now - spell.refilled_ms) / MS_PER_S
            capacity = self._capacity
            if factor > 1:
                capacity = max(capacity, BUNCHING_SHARE * rate)
            spell.tokens = min(capacity, spell.tokens + gained)
            spell.refilled_ms = now
