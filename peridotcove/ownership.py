"""Partitions engines into shards, and ranks the nodes that may own a shard.

Pure functions: shards follow from the configuration, ranks from the live nodes, so that
all nodes with the same view get the same result.
"""

import math

from attrs import frozen

from peridotcove.models import InstanceState, LifecycleStatus
from peridotcove.rendezvous import hash_name, rank, score

# Share of the maximum shard size that is used on average when engines are divided.
FILL_RATIO = 0.8
# Share of the most powerful node's power from which a node counts as capable.
CAPABLE_POWER_RATIO = 0.5


@frozen
class Shard:
    """Engines of one model and region that have the same owner.

    Attributes
    ----------
    name : str
        ``REGION/MODEL/NUMBER``.
    model : str
        Name of the model.
    region : str
        Region of the engines.
    engines : tuple of str
        Names of the engines that are not retired, sorted.
    """

    name: str
    model: str
    region: str
    engines: tuple[str, ...]


def compute_shards(configuration, region):
    """Return the shards of a region, sorted by name.

    All configured engines are assigned, also retired ones and those on order, so that
    an engine keeps its shard when its status changes. Adding or removing an engine
    moves few others. Retired engines are left out of the result.

    Parameters
    ----------
    configuration : Configuration
        Accepted configuration.
    region : str
        Name of the region.
    """
    engines_by_model = {}
    for engine in configuration.engine_by_name.values():
        zone = configuration.zone_by_name.get(engine.zone)
        if zone is not None and zone.region == region:
            engines_by_model.setdefault(engine.model, []).append(engine)
    shards = []
    for model in sorted(engines_by_model):
        engines = engines_by_model[model]
        size = configuration.bounds.shard_engines
        shards.extend(_compute_model_shards(region, model, engines, size))
    return shards


def _compute_model_shards(region, model, engines, size):
    count = 1 if len(engines) <= size else math.ceil(len(engines) / (FILL_RATIO * size))
    names = [f"{region}/{model}/{number}" for number in range(count)]
    members = _assign_engines(sorted(engine.name for engine in engines), names, size)
    shards = []
    for name in names:
        kept = [
            engine.name
            for engine in engines
            if engine.name in members[name]
            and engine.status is not LifecycleStatus.RETIRED
        ]
        if kept:
            shards.append(Shard(name, model, region, tuple(sorted(kept))))
    return shards


def _assign_engines(engines, shards, size):
    seed_by_shard = {shard: hash_name(shard) for shard in shards}
    pairs = sorted(
        (
            (-score(hash_name(engine), seed), engine, shard)
            for engine in engines
            for shard, seed in seed_by_shard.items()
        ),
    )
    members = {shard: set() for shard in shards}
    assigned = set()
    for _, engine, shard in pairs:
        if engine not in assigned and len(members[shard]) < size:
            members[shard].add(engine)
            assigned.add(engine)
    return members


def rank_shard_owners(shard_name, nodes):
    """Return the names of live nodes by rank; the first owns the shard.

    The zones of the nodes don't matter: a shard has engines in several zones, and a
    lease crosses between zones only once per request.

    Parameters
    ----------
    shard_name : str
        Name of the shard.
    nodes : iterable of Instance
        Nodes of the shard's region; those that are not live are ignored.
    """
    powers = {
        node.name: node.power for node in nodes if node.state is InstanceState.LIVE
    }
    return rank_capable_first(shard_name, powers)


def find_capable(power_by_name):
    """Return the names of the nodes that have enough power for a role.

    Parameters
    ----------
    power_by_name : dict of float
        Power of each node by name.
    """
    min_power = CAPABLE_POWER_RATIO * max(power_by_name.values(), default=0.0)
    return [name for name, power in power_by_name.items() if power >= min_power]


def rank_capable_first(key, power_by_name):
    """Return the names of nodes by rank for a role, capable nodes before all others.

    The owner of a shard receives a message for each request and the reports of each
    engine, and a reader sends each change to its zone. In a large fleet this is more
    than the links of the weakest nodes can carry.

    Parameters
    ----------
    key : str
        Name of the role; each role has its own order.
    power_by_name : dict of float
        Power of each node by name.
    """
    capable = find_capable(power_by_name)
    rest = power_by_name.keys() - set(capable)
    return [
        *rank(key, dict.fromkeys(capable, 1.0)),
        *rank(key, dict.fromkeys(rest, 1.0)),
    ]
