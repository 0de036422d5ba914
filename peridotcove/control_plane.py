"""What one node exchanges with the others beside requests, in one place."""

from peridotcove.configuration_reader import ConfigurationReader
from peridotcove.membership import Membership
from peridotcove.nodes.membership_messages import Heartbeat
from peridotcove.revisions import Revisions


class ControlPlane:
    """Membership, configuration and reading of the service of one node.

    Parameters
    ----------
    node : Instance
        The node itself.
    region : str
        Its region.
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads requests over time and peers.
    read_policy : Pace or None
        How many nodes read the service, and how long they wait.

    Attributes
    ----------
    membership : Membership
        Which nodes are live.
    revisions : Revisions
        The configuration.
    reader : Reader
        Calls to the configuration service.
    """

    def __init__(self, node, region, clock, rng, read_policy=None):
        self.node = node
        self.membership = Membership(node, region, clock, rng)
        self.revisions = Revisions(clock, rng, self._push_to, self._neighbours)
        self.reader = ConfigurationReader(
            node.name,
            clock,
            rng,
            self.revisions,
            self.membership.reader_rank,
            self._reads_fail,
            self.membership.settled,
            self._unheard_ms,
            read_policy,
        )

    def tick(self):
        """Return the messages that are due; called each 250 ms."""
        self.membership.reads_fail = self.reader.reads_fail
        self.membership.heartbeats.refused = self.revisions.refused_revision
        self._confirm()
        self.membership.set_zones(self.revisions.current().zone_by_name)
        return self.membership.tick() + self.revisions.tick()

    def receive(self, peer, message, revision):
        """Take a frame of a peer in and return the answers.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            Its message.
        revision : int
            The revision that the frame carries.
        """
        self.revisions.record_peer_revision(peer, revision)
        refused = message.refused if isinstance(message, Heartbeat) else 0
        outgoing = self.membership.receive(peer, message)
        outgoing += self.revisions.receive(peer, message)
        outgoing += self.revisions.handle_peer_refusal(peer, refused)
        return outgoing

    def _push_to(self):
        if not self.reader.reads_for_zone():
            return []
        nodes = self.membership.live_nodes_in_zone()
        return [one.name for one in nodes if one.name != self.node.name]

    def _neighbours(self):
        if not self.membership.has_instance_list:
            return None
        layout = self.membership.layout
        return sorted((layout.neighbours | set(layout.far)) & layout.listed)

    def _reads_fail(self, name):
        return self.membership.heartbeats.peer(name).reads_fail

    def _unheard_ms(self, name):
        peer = self.membership.heartbeats.peer(name)
        return peer.unheard_for(self.membership.clock.now())

    def _confirm(self):
        first = self.membership.reader_rank()[0]
        if first == self.node.name or not self.membership.hears(first):
            return
        if not self._reads_fail(first):
            self.revisions.record_peer_confirmation()
