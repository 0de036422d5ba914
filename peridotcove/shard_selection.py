"""Selection of the shard of a chat, for models with more than one shard.

Rendezvous hashing spreads chats over shards. A shard above its share of the load passes
a part of its chats on to the next shard in the ranking; the part grows with the excess
load. The key of a chat determines whether it is passed on, so that chats don't move
back and forth.
"""

from attrs import frozen

from peridotcove.rendezvous import RendezvousRanking

# Load of a shard, as a multiple of the mean, from which chats are passed on, and from
# which all are.
SPILL_START_SHARE = 1.1
SPILL_ALL_SHARE = 1.25
KEY_BITS = 64
GOLDEN_RATIO_64 = 0x9E3779B97F4A7C15
KEY_MASK = (1 << KEY_BITS) - 1


@frozen
class ShardLoad:
    """Load of a shard, as its owner last reported it.

    Attributes
    ----------
    total : float
        Requests in progress.
    weight : float
        Summed weight of the engines that accept work.
    """

    total: float
    weight: float


class ShardSelector:
    """Selects the shard of a chat.

    Parameters
    ----------
    shards : list of Shard
        All shards of one model and region.
    weight_by_shard : dict
        Summed weight of each shard's engines.
    """

    def __init__(self, shards, weight_by_shard):
        self._ranking = RendezvousRanking(weight_by_shard)
        self._shard_by_engine = {
            engine: shard.name for shard in shards for engine in shard.engines
        }

    def select_shard(self, chat_key, hint, load_by_shard, allowed=None):
        """Return the name of the shard whose owner is asked for a lease.

        Parameters
        ----------
        chat_key : int
            Key of the chat, 64 bits.
        hint : str
            Engine of the chat's last turn, or empty.
        load_by_shard : dict
            `ShardLoad` by name of the shard; missing shards count as having mean load.
        allowed : set of str or None
            Shards of which one is selected; None for all.
        """
        order = self._ranking.order(chat_key)
        if allowed is not None:
            order = [name for name in order if name in allowed]
        hinted = self._shard_by_engine.get(hint)
        if hinted in order:
            order.remove(hinted)
            order.insert(0, hinted)
        if len(order) == 1:
            return order[0]
        total = sum(load.total for load in load_by_shard.values())
        weight = sum(load.weight for load in load_by_shard.values())
        if not total or not weight:
            return order[0]
        mean = total / weight
        position = (chat_key * GOLDEN_RATIO_64 & KEY_MASK) / KEY_MASK
        for name in order:
            if position >= _spill_share(load_by_shard.get(name), mean):
                return name
        return order[0]


def _spill_share(load, mean):
    # Share of its chats that a shard passes on, 0 to 1.
    if load is None:
        return 0.0
    if not load.weight:
        return 1.0
    share = load.total / load.weight / mean
    return min(1.0, (share - SPILL_START_SHARE) / (SPILL_ALL_SHARE - SPILL_START_SHARE))
