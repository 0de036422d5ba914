"""Cuts engines into shards and ranks the nodes that may own a shard.

Both are pure functions: of the configuration, and of the nodes believed live.
"""

import math

from attrs import frozen

from peridotcove.models import InstanceState, LifecycleStatus
from peridotcove.rendezvous import hash_name, rank, score

FILL = 0.8
# Share of the best node's power from which a node counts as able.
ABLE_SHARE = 0.5


@frozen
class Shard:
    """Engines of one model and region that one node decides for.

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

    An engine keeps its shard when its status changes, since retired engines and those
    on order are placed too. Describing one engine more or less moves few others.

    Parameters
    ----------
    configuration : Configuration
        The accepted configuration.
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
        shards.extend(_shards_of_model(region, model, engines, size))
    return shards


def _shards_of_model(region, model, engines, size):
    count = 1 if len(engines) <= size else math.ceil(len(engines) / (FILL * size))
    names = [f"{region}/{model}/{number}" for number in range(count)]
    members = _place(sorted(engine.name for engine in engines), names, size)
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


def _place(engines, shards, size):
    seed_by_shard = {shard: hash_name(shard) for shard in shards}
    pairs = sorted(
        (
            (-score(hash_name(engine), seed), engine, shard)
            for engine in engines
            for shard, seed in seed_by_shard.items()
        ),
    )
    members = {shard: set() for shard in shards}
    placed = set()
    for _, engine, shard in pairs:
        if engine not in placed and len(members[shard]) < size:
            members[shard].add(engine)
            placed.add(engine)
    return members


def rank_shard_owners(shard_name, nodes):
    """Return the names of live nodes, the owner of a shard first.

    A shard's engines stand in several zones, and a lease crosses between zones once a
    request; the zone of a node does not count.

    Parameters
    ----------
    shard_name : str
        Name of the shard.
    nodes : iterable of Instance
        Nodes of the shard's region; those not live are left out.
    """
    live = {node.name: node.power for node in nodes if node.state is InstanceState.LIVE}
    return rank_capable_first(shard_name, live)


def rank_capable_first(key, power_by_name):
    """Return names of nodes in the order of a duty, able ones before all others.

    An owner takes a message for each request and news of each engine, a reader sends
    each change to its zone: beyond the links of the weakest machines in a large fleet.

    Parameters
    ----------
    key : str
        Names the duty.
    power_by_name : dict of float
        Power of each node.
    """
    least = ABLE_SHARE * max(power_by_name.values(), default=0.0)
    able = [name for name, power in power_by_name.items() if power >= least]
    rest = power_by_name.keys() - set(able)
    return [*rank(key, dict.fromkeys(able, 1.0)), *rank(key, dict.fromkeys(rest, 1.0))]
