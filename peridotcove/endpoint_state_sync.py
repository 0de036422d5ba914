"""Tells other nodes which endpoints are leaving, and asks them after a pause."""

from peridotcove.nodes.network import Outgoing
from peridotcove.nodes.once_messages import AskLeaving, EndpointsLeaving

ASKED_PEERS = 3


class EndpointStateSync:
    """Spreads what `EndpointStates` learns.

    Parameters
    ----------
    states : EndpointStates
        This node's belief.
    clock : Clock
        Time in ms.
    rng : random.Random
        Picks the nodes that are asked.
    """

    def __init__(self, states, clock, rng):
        self.states = states
        self.clock = clock
        self._rng = rng

    def set_instances(self, instances, asked_ms, peers):
        """Take the platform's list and return the news for others.

        Parameters
        ----------
        instances : iterable of Instance
            The whole list.
        asked_ms : int
            Time in ms at which the list was asked for.
        peers : list of str
            Live nodes to tell.

        Returns
        -------
        list of Outgoing
        """
        news = self.states.set_instances(instances, asked_ms)
        if not news:
            return []
        return [Outgoing(peer, EndpointsLeaving(news)) for peer in peers]

    def receive(self, peer, message):
        """Take a message in and return the answer.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : AskLeaving or EndpointsLeaving
            The message.

        Returns
        -------
        list of Outgoing
        """
        if isinstance(message, AskLeaving):
            if not self.states.fresh():
                return []
            answer = EndpointsLeaving(self.states.leaving(), message.asked_ms)
            return [Outgoing(peer, answer)]
        asked_ms = message.asked_ms if message.asked_ms >= 0 else None
        self.states.hear(message.names, asked_ms)
        return []

    def tick(self, peers):
        """Return the questions that are due; call it each 250 ms.

        Parameters
        ----------
        peers : list of str
            Live nodes.

        Returns
        -------
        list of Outgoing
        """
        if not self.states.tick():
            return []
        asked = self._rng.sample(peers, min(ASKED_PEERS, len(peers)))
        question = AskLeaving(self.clock.now())
        return [Outgoing(peer, question) for peer in asked]
