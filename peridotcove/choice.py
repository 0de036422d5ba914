"""Chooses the engine of one request among those below the bound.

The cost of an engine is counted in blocks of prompt that it would have to compute, to
which load, distance and rank add.
"""

from attrs import frozen

from peridotcove.ranking import Ranking


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
    """

    load: float = 4.0
    zone: float = 1.0
    rank: float = 4.0
    hint: float = 0.75


class Chooser:
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
        self._ranking = Ranking({item.name: item.weight for item in engines})

    def choose(self, request, lookup, candidates, mean):
        """Return the load of the chosen engine.

        Parameters
        ----------
        request : LeaseRequest
            What is asked for.
        lookup : Lookup
            What the caches are expected to hold of it.
        candidates : list of EngineLoad
            Engines that may get it; not empty.
        mean : float
            Load per unit of weight.
        """
        weights = self.weights
        best_name = self._best_name(request, lookup, candidates)
        per_load = weights.load / mean
        hint = request.hint
        blocks_by_engine = lookup.blocks_by_engine
        chosen = None
        lowest = 0.0
        for load in candidates:
            engine = load.engine
            name = engine.name
            cached = blocks_by_engine.get(name)
            if cached is None:
                cached = weights.hint * lookup.blocks if name == hint else 0
            cost = per_load * load.total / engine.weight - cached
            if engine.zone != request.zone:
                cost += weights.zone
            if name == best_name:
                cost -= weights.rank
            if chosen is None or cost < lowest:
                chosen = load
                lowest = cost
        return chosen

    def _best_name(self, request, lookup, candidates):
        names = {load.engine.name for load in candidates}
        key = request.chat_key
        if not key and lookup.pairs:
            key = lookup.pairs[0][1]
        if not key:
            key = int.from_bytes(request.request_id, "big")
        return self._ranking.best(key, names)
