"""Synchronizes between nodes which endpoints are leaving."""

from peridotcove.nodes.leaving_messages import AskLeaving, EndpointsLeaving
from peridotcove.nodes.network import OutgoingMessage

# Nodes that are asked after a pause of this process.
QUERIED_PEERS = 3


class EndpointStateSync:
    """Announces leaving endpoints to other nodes, and asks them after a pause.

    Parameters
    ----------
    states : EndpointStates
        Endpoint states of this node.
    clock : Clock
        Time in ms.
    rng : random.Random
        Selects the nodes that are asked.
    reported_names : callable
        Returns the names of engines that are reported with their incarnation instead.
    """

    def __init__(self, states, clock, rng, reported_names=tuple):
        self.states = states
        self.clock = clock
        self._rng = rng
        self._reported_names = reported_names

    def set_instances(self, instances, asked_ms, peers):
        """Set the platform's list; return announcements of newly leaving endpoints.

        Parameters
        ----------
        instances : iterable of Instance
            The whole list.
        asked_ms : int
            Time in ms at which the list was requested.
        peers : list of str
            Names of the live nodes that get the announcements.

        Returns
        -------
        list of Outgoing
        """
        new_names = self.states.set_instances(instances, asked_ms)
        if not new_names:
            return []
        return [OutgoingMessage(peer, EndpointsLeaving(new_names)) for peer in peers]

    def receive(self, peer, message):
        """Handle a message and return the answers.

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
            reported = set(self._reported_names())
            names = [name for name in self.states.leaving() if name not in reported]
            response = EndpointsLeaving(names, message.asked_ms)
            return [OutgoingMessage(peer, response)]
        asked_ms = message.asked_ms if message.asked_ms >= 0 else None
        self.states.handle_report(message.names, asked_ms)
        return []

    def tick(self, peers):
        """Return the requests that are due; call it every 250 ms.

        Parameters
        ----------
        peers : list of str
            Names of the live nodes.

        Returns
        -------
        list of Outgoing
        """
        if not self.states.tick():
            return []
        queried = self._rng.sample(peers, min(QUERIED_PEERS, len(peers)))
        request = AskLeaving(self.clock.now())
        return [OutgoingMessage(peer, request) for peer in queried]
