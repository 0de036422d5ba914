"""Decides which share of each zone's requests may leave it for its load.

A share rises step by step while the zone's engines have more than their part of the
load, or would start a request later than another zone, and falls later and at a lower
load than it rose. It takes from the other zones no more than they have to spare beside
their own demand.
"""

from attrs import frozen

# A share rises and falls by at most so much in one update.
MAX_RISE = 0.1
MAX_FALL = 0.05
# Part of the excess that an update removes. The smoothed load shows the effect of a
# step after about as many updates as this takes.
GAIN = 0.25
# Time after a rise for which a share doesn't fall.
HOLD_MS = 3_000
MIN_SHARE = 0.02
# Later start than in another zone, beyond the crossing, for which requests may leave.
START_TOLERANCE_MS = 20.0
# Requests above a zone's part of the load that count as chance, for each engine.
SLACK_PER_ENGINE = 0.5
# Parts of the way from the mean load to the load bound: below the first a share falls,
# above the last it rises, and a rise aims at the one between them.
LOW_PART, TARGET_PART, HIGH_PART = 1 / 6, 1 / 4, 1 / 3

LOAD = "load"
START = "start"


@frozen
class LeavingShare:
    """Share of one zone's requests that may leave it.

    Attributes
    ----------
    share : float
        The share, 0 to 1.
    reason : str
        Why requests may leave; empty if none may.
    raised_ms : int
        Time of the last rise.
    """

    share: float = 0.0
    reason: str = ""
    raised_ms: int = 0


@frozen
class ShareChange:
    """A zone's requests began to leave, stopped, or leave for another reason.

    Attributes
    ----------
    zone : str
        Name of the zone.
    share : float
        Share that may leave now.
    reason, previous_reason : str
        Why, and why before; empty if none may leave.
    """

    zone: str
    share: float
    reason: str
    previous_reason: str


@frozen
class _Excess:
    """What one zone has too much of."""

    requests: float = 0.0
    reason: str = ""
    may_fall: bool = False


class LeavingShares:
    """Shares of the requests that may leave each zone of a shard.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    load_bound : float
        Highest load of an engine as a multiple of the mean.
    share_by_zone : dict
        `LeavingShare` by name of the zone.
    """

    def __init__(self, clock):
        self._clock = clock
        self.load_bound = 1.0
        self.share_by_zone = {}

    def get(self, zone):
        """Return the share of a zone's requests that may leave.

        Parameters
        ----------
        zone : str
            Name of the zone.
        """
        found = self.share_by_zone.get(zone)
        return found.share if found is not None else 0.0

    def reset(self):
        """Let all requests stay, since the earlier figures are unknown or too old."""
        return self._apply({})

    def update(self, figures_by_zone, service_ms, crossing_ms, forced_by_zone):
        """Update the shares; return the `ShareChange` of each zone that has one.

        Parameters
        ----------
        figures_by_zone : dict
            `ZoneFigures` by name of the zone.
        service_ms : float
            Mean time for which a request occupies an engine.
        crossing_ms : float
            Cost of a crossing.
        forced_by_zone : dict
            Reason of each zone whose engines can't serve at all.
        """
        usable = {
            zone: one
            for zone, one in figures_by_zone.items()
            if one.weight and zone not in forced_by_zone
        }
        now = self._clock.now()
        shares = self._update_usable(usable, service_ms, crossing_ms)
        for zone, reason in forced_by_zone.items():
            shares[zone] = LeavingShare(1.0, reason, now)
        return self._apply(shares)

    def _update_usable(self, usable, service_ms, crossing_ms):
        weight = sum(one.weight for one in usable.values())
        mean = sum(one.load for one in usable.values()) / weight if weight else 0.0
        start_by_zone = {
            zone: one.estimate_start_ms(service_ms) for zone, one in usable.items()
        }
        excess_by_zone = {}
        for zone, one in usable.items():
            others = [start for name, start in start_by_zone.items() if name != zone]
            gain_ms = start_by_zone[zone] - min(others, default=0.0) - crossing_ms
            excess_by_zone[zone] = self._find_excess(one, mean, gain_ms, bool(others))
        total = sum(one.requests for one in excess_by_zone.values())
        spare = sum(
            self._find_spare(one, mean)
            for zone, one in usable.items()
            if not excess_by_zone[zone].requests
        )
        part = min(1.0, spare / total) if total else 0.0
        return {
            zone: self._step(zone, excess, part, usable[zone].demand)
            for zone, excess in excess_by_zone.items()
        }

    def _level(self, part):
        return 1 + (self.load_bound - 1) * part

    def _find_excess(self, figures, mean, gain_ms, has_others):
        if not has_others:
            return _Excess(may_fall=True)
        part = mean * figures.weight
        slack = SLACK_PER_ENGINE * figures.engines
        if figures.load > part * self._level(HIGH_PART) + slack:
            return _Excess(figures.load - part * self._level(TARGET_PART), LOAD)
        if gain_ms > START_TOLERANCE_MS:
            return _Excess(max(1.0, figures.demand * MAX_RISE / GAIN), START)
        is_low = figures.load <= part * self._level(LOW_PART) + slack / 2
        return _Excess(may_fall=is_low and gain_ms <= 0)

    def _find_spare(self, figures, mean):
        target = min(mean * figures.weight * self._level(TARGET_PART), figures.capacity)
        # Demand that this zone sends elsewhere for prompts comes back later.
        return max(0.0, target - max(figures.load, figures.demand))

    def _step(self, zone, excess, part, demand):
        """Return the new `LeavingShare` of a zone."""
        now = self._clock.now()
        known = self.share_by_zone.get(zone, LeavingShare())
        if excess.requests * part > 0:
            rise = min(MAX_RISE, GAIN * excess.requests * part / max(1.0, demand))
            return LeavingShare(min(1.0, known.share + rise), excess.reason, now)
        held = now - known.raised_ms < HOLD_MS
        if not known.share or held or not excess.may_fall:
            return known
        share = known.share - MAX_FALL
        if share < MIN_SHARE:
            return LeavingShare()
        return LeavingShare(share, known.reason, known.raised_ms)

    def _apply(self, shares):
        none = LeavingShare()
        changes = []
        for zone in sorted(shares.keys() | self.share_by_zone.keys()):
            reason = self.share_by_zone.get(zone, none).reason
            new = shares.get(zone, none)
            if new.reason != reason:
                changes.append(ShareChange(zone, new.share, new.reason, reason))
        self.share_by_zone = shares
        return changes
