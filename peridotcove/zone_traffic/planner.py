"""Plans for each request what an engine of another zone costs it."""

from collections import Counter

from attrs import frozen

from peridotcove.rendezvous import hash_name
from peridotcove.zone_traffic.figures import FiguresByZone, ZoneSample
from peridotcove.zone_traffic.link_costs import LinkCosts
from peridotcove.zone_traffic.paid_crossings import PaidCrossings
from peridotcove.zone_traffic.shares import LeavingShare, LeavingShares

UPDATE_INTERVAL_MS = 500
HASH_RANGE = 1 << 64
# Share of one lease in the mean time for which leases are held.
SERVICE_TIME_GAIN = 0.02
# Share of an update in the fractions of requests that left a zone.
LEFT_GAIN = 0.05

# Why a request left its zone.
NO_ENGINES = "no-engines"
EVACUATED = "evacuated"
COLD = "cold"
NO_ROOM = "no-room"
SHARE = "share"
PREFIX = "prefix"
WAIT = "wait"
REASONS = (NO_ENGINES, NO_ROOM, SHARE, PREFIX, WAIT)


@frozen
class ZonePlan:
    """What engines of other zones cost one request.

    Attributes
    ----------
    zone : str
        Zone in which the request arrived.
    stays : bool
        Whether a lower load elsewhere is no reason to leave, as long as an engine of
        the zone has room.
    crossing_blocks : float
        Cost of an engine in another zone, in blocks.
    """

    zone: str
    stays: bool
    crossing_blocks: float


class ZonePlanner:
    """Decides which requests of one shard stay in the zone in which they arrived.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    shares : LeavingShares
        Share of each zone's requests that may leave for its load.
    """

    def __init__(self, clock):
        self._clock = clock
        self._enabled = False
        self._costs = LinkCosts(0.0, 0.0)
        self._evacuated = frozenset()
        self._figures = FiguresByZone(clock)
        self._paid = PaidCrossings()
        self._next_update_ms = clock.now()
        self._service_ms = 0.0
        self._zone_by_entry = {}
        self._leases_by_entry = Counter()
        self._granted = Counter()
        self._left = Counter()
        self._left_by_zone = {}
        self._changes = []
        self.shares = LeavingShares(clock)

    def set_configuration(self, configuration):
        """Apply a new revision of the configuration.

        Parameters
        ----------
        configuration : Configuration
            Accepted configuration.
        """
        bounds = configuration.bounds
        self._enabled = bounds.zone_traffic
        self._costs = LinkCosts(bounds.zone_crossing_ms, bounds.zone_kilobyte_ms)
        self.shares.load_bound = bounds.load_bound
        self._evacuated = frozenset(
            zone.name for zone in configuration.zone_by_name.values() if zone.evacuated
        )
        if not self._enabled:
            self._changes += self.shares.reset()

    def change_leases(self, entry, delta):
        """Change the number of leases that an entry node holds.

        Parameters
        ----------
        entry : str
            Name of the node.
        delta : int
            Leases added, or removed when negative.
        """
        self._leases_by_entry[entry] += delta
        if not self._leases_by_entry[entry]:
            del self._leases_by_entry[entry]

    def record_service_time(self, held_ms):
        """Record for how long a lease was held.

        Parameters
        ----------
        held_ms : int
            Time in ms.
        """
        gain = SERVICE_TIME_GAIN if self._service_ms else 1.0
        self._service_ms += gain * (held_ms - self._service_ms)

    def plan(self, request, lookup, loads, block_ms):
        """Return the `ZonePlan` of a request, or None if its zone doesn't matter.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        lookup : PrefixLookup or PartLookup
            Expected cache contents for the request.
        loads : EngineLoads
            Loads of the engines.
        block_ms : float
            Time in ms in which an engine reads a block.
        """
        zone = request.zone
        local = loads.open_engines_by_zone.get(zone)
        if not self._enabled or not local or len(local) == len(loads.open_engines):
            return None
        tokens = request.part_ends[-1] if request.part_ends else 0
        crossing_blocks = self._costs.estimate_ms(tokens) / block_ms
        crossing_blocks += self._paid.get(zone, request.chat_key)
        share = self.shares.get(zone)
        stays = not share or hash_name(request.request_id.hex()) >= share * HASH_RANGE
        return ZonePlan(zone, stays, crossing_blocks)

    def record_grant(self, request, lookup, engine, plan, loads):
        """Record where a request was sent.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        lookup : PrefixLookup or PartLookup
            Expected cache contents for the request.
        engine : EngineLoad
            Engine that was granted.
        plan : ZonePlan or None
            Plan of the request.
        loads : EngineLoads
            Loads of the engines, before the grant counts.
        """
        zone = request.zone
        if not self._enabled or not zone:
            return
        self._zone_by_entry[request.entry] = zone
        self._granted[zone] += 1
        if engine.zone == zone:
            self._paid.clear(zone, request.chat_key)
            return
        reason = _find_reason(request, lookup, engine, plan, loads)
        self._left[zone, reason] += 1
        if reason == PREFIX:
            paid = self._paid.get(zone, request.chat_key)
            self._paid.add(zone, request.chat_key, plan.crossing_blocks - paid)

    def update(self, loads, wall_ms, cold=(), is_complete=True):
        """Update the shares, if that is due.

        Parameters
        ----------
        loads : EngineLoads
            Loads of the engines.
        wall_ms : int
            Wall time in ms.
        cold : container of str
            Names of the engines that are still cold.
        is_complete : bool
            Whether the loads include the leases of earlier owners.
        """
        now = self._clock.now()
        if not self._enabled or now < self._next_update_ms:
            return
        self._next_update_ms = now + UPDATE_INTERVAL_MS
        sample_by_zone = self._sample(loads, wall_ms, cold)
        self._update_left(sample_by_zone)
        is_fresh = self._figures.update(sample_by_zone)
        if not is_fresh or not is_complete or len(sample_by_zone) < 2:
            self._changes += self.shares.reset()
            return
        forced = {
            zone: self._find_forced_reason(zone, loads)
            for zone, sample in sample_by_zone.items()
            if not sample.engines
        }
        self._changes += self.shares.update(
            self._figures.figures_by_zone,
            self._service_ms,
            self._costs.crossing_ms,
            forced,
        )

    def pop_changes(self):
        """Return the `ShareChange` of each change since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def describe(self):
        """Return the shares that may leave and that left, by zone, as a dict."""
        share_by_zone, none = self.shares.share_by_zone, LeavingShare()
        described = {}
        for zone, parts in sorted(self._left_by_zone.items()):
            share = share_by_zone.get(zone, none)
            described[zone] = {
                "may_leave": round(share.share, 3),
                "reason": share.reason,
                "left": {reason: round(part, 3) for reason, part in parts.items()},
            }
        return described

    def _find_forced_reason(self, zone, loads):
        if zone in self._evacuated:
            return EVACUATED
        return COLD if zone in loads.open_engines_by_zone else NO_ENGINES

    def _sample(self, loads, wall_ms, cold):
        demand = Counter()
        for entry, count in self._leases_by_entry.items():
            demand[self._zone_by_entry.get(entry, "")] += count
        del demand[""]
        zones = {load.zone for load in loads.engine_load_by_name.values()}
        return {
            zone: _sample_zone(
                [
                    load
                    for load in loads.open_engines_by_zone.get(zone, ())
                    if load.name not in cold
                ],
                demand[zone],
                wall_ms,
            )
            for zone in zones | demand.keys()
        }

    def _update_left(self, sample_by_zone):
        known, self._left_by_zone = self._left_by_zone, {}
        for zone in sample_by_zone:
            parts = known.get(zone) or dict.fromkeys(REASONS, 0.0)
            self._left_by_zone[zone] = parts
            granted = self._granted[zone]
            for reason in REASONS if granted else ():
                part = self._left[zone, reason] / granted
                parts[reason] += LEFT_GAIN * (part - parts[reason])
        self._granted.clear()
        self._left.clear()


def _sample_zone(open_loads, demand, wall_ms):
    count = len(open_loads)
    backlog_ms = sum(load.prefill_backlog_ms(wall_ms) for load in open_loads)
    return ZoneSample(
        count,
        sum(load.weight for load in open_loads),
        sum(load.capacity for load in open_loads),
        sum(load.total for load in open_loads),
        backlog_ms / count if count else 0.0,
        demand,
    )


def _has_room(request, local, loads):
    """Return whether a request may be granted one of the engines of its zone."""
    bound = loads.load_bound_per_weight(loads.mean_load())
    return any(
        load.total < bound * load.weight
        and load.has_free_slot(loads.capacity_share)
        and load.name not in request.excluded
        and load.name not in request.avoid
        for load in local
    )


def _find_reason(request, lookup, engine, plan, loads):
    if plan is None:
        return NO_ENGINES
    local = loads.open_engines_by_zone[plan.zone]
    if not _has_room(request, local, loads):
        return NO_ROOM
    if not plan.stays:
        return SHARE
    get = lookup.blocks_by_engine.get
    best = max(get(load.name, 0) for load in local)
    return PREFIX if get(engine.name, 0) > best else WAIT
