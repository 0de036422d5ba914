"""An entry node's choice of a shard, where a model has more than one.

Chats spread over shards by rendezvous. A shard above its share of the load passes on a
part of its chats that grows with the excess; which ones is set by the chat's key, so
that they stay where they go.
"""

from attrs import frozen

from peridotcove.rendezvous import RendezvousRanking

START_SHARE = 1.1
FULL_SHARE = 1.25
KEY_BITS = 64
GOLDEN = 0x9E3779B97F4A7C15
KEY_MASK = (1 << KEY_BITS) - 1


@frozen
class ShardLoad:
    """What the owner of a shard told last.

    Attributes
    ----------
    total : float
        Requests in progress.
    weight : float
        Summed weight of the engines that take work.
    """

    total: float
    weight: float


class ShardSelector:
    """Picks the shard of a chat.

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

    def select_shard(self, chat_key, hint, load_by_shard):
        """Return the name of the shard to ask.

        Parameters
        ----------
        chat_key : int
            Key of the chat, 64 bits.
        hint : str
            Engine of the chat's last turn, or empty.
        load_by_shard : dict
            `ShardLoad` by name of the shard; those missing count as at the mean.
        """
        order = self._ranking.order(chat_key)
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
        place = (chat_key * GOLDEN & KEY_MASK) / KEY_MASK
        for name in order:
            if place >= _excess(load_by_shard.get(name), mean):
                return name
        return order[0]


def _excess(load, mean):
    # Share of its chats that a shard passes on, 0 to 1.
    if load is None:
        return 0.0
    if not load.weight:
        return 1.0
    share = load.total / load.weight / mean
    return min(1.0, (share - START_SHARE) / (FULL_SHARE - START_SHARE))
