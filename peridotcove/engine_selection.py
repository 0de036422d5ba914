"""Chooses the engine of one request, below the bound on load.

The cost of an engine is counted in blocks of prompt that it would have to compute, to
which load, distance and rank add. Where the engine with the lowest cost is at its
bound, a request may wait a little for it, as long as that is worth the blocks saved.
"""

from attrs import frozen

from peridotcove.rendezvous import RendezvousRanking

# Above any difference in cached blocks: an engine that failed comes last.
AVOID_BLOCKS = 1e6


@frozen
class Weights:
    """What else counts, in blocks of prompt.

    Attributes
    ----------
    load : float
        Cost of an engine at the mean load against an idle one.
    zone : float
        Cost of an engine in another availability zone than the entry node.
    rank : float
        Advantage of the engine that the chat's key ranks first.
    hint : float
        Share of the chat that a hint is trusted to be cached, where the index knows
        nothing of the hinted engine.
    patience_ms : float
        Longest wait in ms for an engine at its bound, for each block saved.
    max_patience_ms : int
        Longest wait in ms for an engine at its bound.
    """

    load: float = 40.0
    zone: float = 1.0
    rank: float = 15.0
    hint: float = 0.75
    patience_ms: float = 8.0
    max_patience_ms: int = 800


# Where engines tell what they keep, a block that is missing costs the time to read it,
# about 1.3 ms, and a price of the same order; waits stay well below the time within
# which a first event is wanted.
PART_WEIGHTS = Weights(patience_ms=2.5, max_patience_ms=120)


@frozen
class Choice:
    """The outcome for one request.

    Attributes
    ----------
    engine : str
        Engine with the lowest cost among those below the bound, or empty.
    wanted : str
        Engine with the lowest cost, below the bound or not.
    patience_ms : int
        How long it is worth waiting for the wanted engine in ms.
    """

    engine: str
    wanted: str
    patience_ms: int


class EngineSelector:
    """Chooses engines.

    Parameters
    ----------
    engines : iterable of Engine
        All engines of the shard.
    weights : Weights
        What counts besides cached blocks.
    """

    def __init__(self, engines, weights=None):
        self.weights = weights or Weights()
        self._ranking = RendezvousRanking({item.name: item.weight for item in engines})

    def choose(self, request, lookup, loads, backlogs=()):
        """Return a `Choice`.

        Parameters
        ----------
        request : LeaseRequest
            What is asked for.
        lookup : Lookup
            What the caches are expected to hold of it.
        loads : Loads
            Loads of the engines; at least one is open.
        backlogs : sequence of float
            Blocks that each open engine still has to read; nothing when empty.
        """
        mean = loads.mean()
        costs = self._costs(request, lookup, loads.open, mean)
        if backlogs:
            pairs = zip(costs, backlogs, strict=True)
            costs = [cost + backlog for cost, backlog in pairs]
        least = min(costs)
        wanted = loads.open[costs.index(least)].name
        engine = ""
        lowest = 0.0
        per_weight = loads.bound(mean)
        share = loads.capacity_share
        for load, cost in zip(loads.open, costs, strict=True):
            if engine and cost >= lowest:
                continue
            if load.total < per_weight * load.weight and load.has_place(share):
                engine = load.name
                lowest = cost
        if not engine or lowest == least:
            return Choice(engine, engine or wanted, 0)
        weights = PART_WEIGHTS if request.part_ends else self.weights
        patience = int((lowest - least) * weights.patience_ms)
        return Choice(engine, wanted, min(patience, weights.max_patience_ms))

    def _costs(self, request, lookup, open_loads, mean):
        weights = self.weights
        per_load = weights.load / mean
        far = weights.zone
        zone = request.zone
        hint = request.hint
        known = lookup.blocks_by_engine
        get = known.get
        first = self._first(request, lookup, open_loads)
        costs = []
        for load in open_loads:
            name = load.name
            cost = per_load * load.total / load.weight - get(name, 0)
            if load.zone != zone:
                cost += far
            if name == first:
                cost -= weights.rank
            if name == hint and name not in known:
                cost -= weights.hint * lookup.blocks
            if name in request.avoid:
                cost += AVOID_BLOCKS
            costs.append(cost)
        return costs

    def _first(self, request, lookup, open_loads):
        allowed = None
        if len(open_loads) < len(self._ranking.names):
            allowed = {load.name for load in open_loads}
        return self._ranking.best(_key(request, lookup), allowed)


def _key(request, lookup):
    if request.chat_key:
        return request.chat_key
    if lookup.pairs:
        return lookup.pairs[0][1]
    return int.from_bytes(request.request_id, "big")
