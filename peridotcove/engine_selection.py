"""Selects the engine of one request, below the bound on load.

The cost of an engine is the number of prompt blocks that it would have to compute, plus
terms for its load, its availability zone and its rendezvous rank. If the engine with
the lowest cost is at its load bound, the request may wait for it for a short time,
limited by the blocks that this saves. Blocks and load count for more on an engine on
which work takes longer than on its peers.
"""

from attrs import frozen

from peridotcove.rendezvous import RendezvousRanking

# Exceeds any difference in cached blocks, so that an engine that failed comes last.
EXCLUDED_COST = float("inf")
AVOIDED_ENGINE_BLOCKS = 1e6
# Requests beyond the load bound of an engine, for one that is limited to some regions.
# The engines that it may not use count for the mean; while only few requests run, an
# engine would be at its bound with one.
LIMITED_REQUEST_EXTRA = 2
# Time to the first event beside the prompt's, in blocks.
START_BLOCKS = 24.0
# Blocks that an engine reads in the time for which its slowness is known.
MAX_SLOW_BLOCKS = 200.0


@frozen
class SelectionWeights:
    """Weights of the terms of an engine's cost besides cached blocks, in blocks.

    Attributes
    ----------
    load : float
        Extra cost of an engine at the mean load over an idle one.
    zone : float
        Extra cost of an engine in another availability zone than the entry node.
    rendezvous : float
        Reduction of cost for the engine that rendezvous hashing ranks first for the
        key of the chat.
    hint : float
        Share of the chat assumed to be cached on the hinted engine, if the index has
        no entry for that engine.
    wait_ms_per_block : float
        Longest wait in ms for an engine at its bound, per block saved.
    max_wait_ms : int
        Longest wait in ms for an engine at its bound.
    """

    load: float = 40.0
    zone: float = 1.0
    rendezvous: float = 15.0
    hint: float = 0.75
    wait_ms_per_block: float = 8.0
    max_wait_ms: int = 800


# Engines that report their caches: a missing block costs about 1.3 ms of prefill and a
# price of the same order. Waits stay well below the target for the first event.
PART_WEIGHTS = SelectionWeights(wait_ms_per_block=2.5, max_wait_ms=120)


@frozen
class EngineChoice:
    """Result of the selection for one request.

    Attributes
    ----------
    engine : str
        Engine with the lowest cost among those below their bound, or empty.
    preferred_engine : str
        Engine with the lowest cost, whether or not it is below its bound.
    defer_ms : int
        Time in ms for which it pays to wait for the preferred engine, or 0.
    """

    engine: str
    preferred_engine: str
    defer_ms: int


class EngineSelector:
    """Selects an engine for each request.

    Parameters
    ----------
    engines : iterable of Engine
        All engines of the shard.
    weights : SelectionWeights or None
        Weights of the cost terms; defaults when None.
    """

    def __init__(self, engines, weights=None):
        self.weights = weights or SelectionWeights()
        engines = list(engines)
        self._ranking = RendezvousRanking({item.name: item.weight for item in engines})
        self._ranking_by_zone = {
            zone: RendezvousRanking(
                {item.name: item.weight for item in engines if item.zone == zone}
            )
            for zone in {item.zone for item in engines}
        }

    def select(self, request, lookup, loads, backlogs=(), plan=None):
        """Return the `EngineChoice` of a request.

        Parameters
        ----------
        request : LeaseRequest
            The request.
        lookup : PrefixLookup or PartLookup
            Expected cache contents for the request.
        loads : EngineLoads
            Loads of the engines; at least one accepts work.
        backlogs : sequence of float
            Blocks that each open engine still has to prefill; ignored when empty.
        plan : ZonePlan or None
            What engines of other zones cost the request; a fixed cost when None.
        """
        mean = loads.mean_load()
        ranked = self._find_ranked(request, lookup, loads, plan)
        base_costs = self._costs(
            request, lookup, loads.open_engines, mean, plan, ranked, backlogs
        )
        bound = loads.load_bound_per_weight(mean)
        costs = base_costs
        if plan is not None:
            costs = self._add_zone_costs(base_costs, loads, mean, plan, ranked)
        lowest_cost = min(costs)
        selected = None
        selected_cost = 0.0
        share = loads.capacity_share
        extra = LIMITED_REQUEST_EXTRA if request.regions else 0
        for index, (load, cost) in enumerate(
            zip(loads.open_engines, costs, strict=True)
        ):
            if cost == EXCLUDED_COST or (
                selected is not None and cost >= selected_cost
            ):
                continue
            is_below = load.total < bound * load.weight + extra
            if is_below and load.has_free_slot(share):
                selected = index
                selected_cost = cost
        preferred = costs.index(lowest_cost)
        preferred_name = loads.open_engines[preferred].name
        if selected is None:
            return EngineChoice("", preferred_name, 0)
        name = loads.open_engines[selected].name
        if selected_cost == lowest_cost:
            return EngineChoice(name, name, 0)
        # A request doesn't wait in order to stay in its zone.
        saved_blocks = min(
            selected_cost - lowest_cost, base_costs[selected] - base_costs[preferred]
        )
        weights = PART_WEIGHTS if request.part_ends else self.weights
        wait_ms = max(0, int(saved_blocks * weights.wait_ms_per_block))
        return EngineChoice(name, preferred_name, min(wait_ms, weights.max_wait_ms))

    def _add_zone_costs(self, costs, loads, mean, plan, ranked):
        """Return the costs with those of engines in other zones.

        For a request that stays, the load of such an engine counts as at least that of
        the engine that it would get in its zone. The bonus of rank, which decides
        between the engines of one zone, is no reason to stay there.
        """
        zone, zone_cost, level = plan.zone, plan.crossing_blocks, 0.0
        best = _find_best(costs, loads, mean, zone) if plan.stays else None
        if best is not None:
            level = best.total / best.weight
            if best.name == ranked:
                zone_cost -= self.weights.rendezvous
        per_load = self.weights.load / mean
        costs = costs.copy()
        for position, load in enumerate(loads.open_engines):
            if load.zone != zone:
                costs[position] += zone_cost
                missing_level = level - load.total / load.weight
                if missing_level > 0:
                    costs[position] += per_load * missing_level
        return costs

    def _costs(self, request, lookup, open_loads, mean, plan, ranked, backlogs):
        weights = self.weights
        per_load = weights.load / mean
        zone_cost = weights.zone if plan is None else 0.0
        zone = request.zone
        hint = request.hint
        known = lookup.blocks_by_engine
        get = known.get
        costs = []
        if not backlogs:
            backlogs = [0.0] * len(open_loads)
        for load, backlog in zip(open_loads, backlogs, strict=True):
            name = load.name
            cost = per_load * load.total / load.weight - get(name, 0)
            if load.time_factor != 1.0:
                cost = load.time_factor * (cost + lookup.blocks) - lookup.blocks
            if load.slowness != 1.0:
                # The engine is slow for a short time only, however long the work takes.
                blocks = START_BLOCKS + backlog + lookup.blocks - get(name, 0)
                cost += (load.slowness - 1.0) * min(blocks, MAX_SLOW_BLOCKS)
            cost += backlog
            if load.zone != zone:
                cost += zone_cost
            if name == ranked:
                cost -= weights.rendezvous
            if name == hint and name not in known:
                cost -= weights.hint * lookup.blocks
            if name in request.avoid:
                cost += AVOIDED_ENGINE_BLOCKS
            costs.append(EXCLUDED_COST if name in request.excluded else cost)
        return costs

    def _find_ranked(self, request, lookup, loads, plan):
        """Return the engine that rendezvous hashing ranks first."""
        ranking, open_loads = self._ranking, loads.open_engines
        if plan is not None and plan.stays:
            ranking = self._ranking_by_zone[plan.zone]
            open_loads = loads.open_engines_by_zone[plan.zone]
        allowed = None
        if len(open_loads) < len(ranking.names):
            allowed = {load.name for load in open_loads}
        return ranking.best(_placement_key(request, lookup), allowed)


def _find_best(costs, loads, mean, zone):
    """Return the engine of a zone with the lowest cost and with room, or None."""
    bound = loads.load_bound_per_weight(mean)
    best, lowest_cost = None, EXCLUDED_COST
    for position in loads.open_positions_by_zone[zone]:
        cost = costs[position]
        if cost >= lowest_cost or cost >= AVOIDED_ENGINE_BLOCKS / 2:
            continue
        load = loads.open_engines[position]
        is_below = load.total < bound * load.weight
        if is_below and load.has_free_slot(loads.capacity_share):
            best, lowest_cost = load, cost
    return best


def _placement_key(request, lookup):
    if request.chat_key:
        return request.chat_key
    if lookup.pairs:
        return lookup.pairs[0][1]
    return int.from_bytes(request.request_id, "big")
