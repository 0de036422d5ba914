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
        self._ranking = RendezvousRanking({item.name: item.weight for item in engines})

    def select(self, request, lookup, loads, backlogs=()):
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
        """
        mean = loads.mean_load()
        costs = self._costs(request, lookup, loads.open_engines, mean, backlogs)
        lowest_cost = min(costs)
        preferred = loads.open_engines[costs.index(lowest_cost)].name
        engine = ""
        selected_cost = 0.0
        per_weight = loads.load_bound_per_weight(mean)
        share = loads.capacity_share
        for load, cost in zip(loads.open_engines, costs, strict=True):
            if cost == EXCLUDED_COST or (engine and cost >= selected_cost):
                continue
            if load.total < per_weight * load.weight and load.has_free_slot(share):
                engine = load.name
                selected_cost = cost
        if not engine or selected_cost == lowest_cost:
            return EngineChoice(engine, engine or preferred, 0)
        weights = PART_WEIGHTS if request.part_ends else self.weights
        wait_ms = int((selected_cost - lowest_cost) * weights.wait_ms_per_block)
        return EngineChoice(engine, preferred, min(wait_ms, weights.max_wait_ms))

    def _costs(self, request, lookup, open_loads, mean, backlogs):
        weights = self.weights
        per_load = weights.load / mean
        zone_cost = weights.zone
        zone = request.zone
        hint = request.hint
        known = lookup.blocks_by_engine
        get = known.get
        rendezvous_engine = self._rendezvous_engine(request, lookup, open_loads)
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
            if name == rendezvous_engine:
                cost -= weights.rendezvous
            if name == hint and name not in known:
                cost -= weights.hint * lookup.blocks
            if name in request.avoid:
                cost += AVOIDED_ENGINE_BLOCKS
            costs.append(EXCLUDED_COST if name in request.excluded else cost)
        return costs

    def _rendezvous_engine(self, request, lookup, open_loads):
        allowed = None
        if len(open_loads) < len(self._ranking.names):
            allowed = {load.name for load in open_loads}
        return self._ranking.best(_placement_key(request, lookup), allowed)


def _placement_key(request, lookup):
    if request.chat_key:
        return request.chat_key
    if lookup.pairs:
        return lookup.pairs[0][1]
    return int.from_bytes(request.request_id, "big")
