"""Control plane of one node: membership and configuration, without requests."""

from peridotcove.configuration_protocols import find_needed_protocol
from peridotcove.configuration_reader import ConfigurationReader
from peridotcove.membership import Membership
from peridotcove.nodes.configuration_messages import AskConfiguration, Offer
from peridotcove.nodes.membership_messages import Heartbeat
from peridotcove.nodes.messages import PROTOCOL
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.revisions import Revisions

# A node that did not run for this long, twice the time between two ticks, can't tell
# whether its peers were silent.
MAX_IDLE_MS = 500
# Time after a pause in which news that it delayed arrives.
CATCH_UP_MS = 1_000


class ControlPlane:
    """Combines membership, configuration and configuration reads of one node.

    Parameters
    ----------
    node : Instance
        The node itself.
    region : str
        Region of the node.
    clock : Clock
        Time in ms.
    rng : random.Random
        Spreads requests over time and peers.
    read_policy : ReadPolicy or None
        Number of nodes that read the configuration service, and their wait times.

    Attributes
    ----------
    membership : Membership
        View of which nodes are live.
    revisions : Revisions
        Configuration in force and later revisions.
    reader : ConfigurationReader
        Decides on calls to the configuration service.
    find_peer_protocol : callable
        Returns the protocol that another node, given by name, speaks.
    """

    def __init__(self, node, region, clock, rng, read_policy=None):
        self.node = node
        self._clock = clock
        self._last_run_ms = self._resumed_ms = clock.now()
        self.find_peer_protocol = lambda name: PROTOCOL
        self._checked_revision = 0
        self._needed_protocol = 0
        self.membership = Membership(node, region, clock, rng)
        self.membership.hides_reads = lambda name: not self.shares_configuration(name)
        self.revisions = Revisions(
            clock, rng, self._find_push_targets, self._find_startup_peers
        )
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
            self.membership.count_capable_readers,
        )

    def shares_configuration(self, name):
        """Return whether another node knows all keys of the configuration in force.

        One that doesn't would refuse the configuration, and what it sends lacks these
        keys. Each of both reads the service itself, or has it from others. Before its
        first read, a node can't tell what an older one leaves out; it takes that only
        if the read fails.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        protocol = self.find_peer_protocol(name)
        if protocol >= PROTOCOL:
            return True
        if not self.revisions.revision:
            return self.reader.reads_fail
        return protocol >= self._find_needed_protocol()

    def record_peer_revision(self, name, revision):
        """Record the revision that another node has in force.

        Parameters
        ----------
        name : str
            Name of the node.
        revision : int
            Its revision.
        """
        if self.shares_configuration(name):
            self.revisions.record_peer_revision(name, revision)

    def is_current(self):
        """Return whether this node would have heard of a revision of a moment ago.

        It would not if it is cut off, or did not run until now.
        """
        self._detect_pause()
        running_ms = self._clock.now() - self._resumed_ms
        return running_ms >= CATCH_UP_MS and self.membership.hears_most()

    def tick(self):
        """Return the messages that are due; call it every 250 ms."""
        self._detect_pause()
        self.membership.reads_fail = self.reader.reads_fail
        self.membership.heartbeats.refused_revision = self.revisions.refused_revision
        self._confirm_configuration()
        self.membership.set_zones(self.revisions.current().zone_by_name)
        return self.membership.tick() + self.revisions.tick()

    def receive(self, peer, message, revision):
        """Handle a message of a peer and return the answers.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            The message.
        revision : int
            Configuration revision in the frame of the message.

        Returns
        -------
        list of Outgoing
        """
        refused = message.refused if isinstance(message, Heartbeat) else 0
        outgoing = self.membership.receive(peer, message)
        if not self.shares_configuration(peer):
            self.revisions.ignore_peer(peer)
            if isinstance(message, AskConfiguration):
                outgoing.append(OutgoingMessage(peer, Offer(0, [])))
            return outgoing
        self.revisions.record_peer_revision(peer, revision)
        outgoing += self.revisions.receive(peer, message)
        outgoing += self.revisions.handle_peer_refusal(peer, refused)
        return outgoing

    def _find_push_targets(self):
        if not self.reader.reads_for_zone():
            return []
        nodes = self.membership.live_nodes_in_zone()
        names = [node.name for node in nodes if node.name != self.node.name]
        return [name for name in names if self.shares_configuration(name)]

    def _find_startup_peers(self):
        if not self.membership.has_instance_list:
            return None
        topology = self.membership.topology
        return sorted(
            (topology.neighbours | set(topology.remote_contacts)) & topology.listed
        )

    def _reads_fail(self, name):
        if not self.shares_configuration(name):
            return True
        return self.membership.heartbeats.get_peer(name).reads_fail

    def _find_needed_protocol(self):
        revision = self.revisions.revision
        if revision != self._checked_revision:
            self._checked_revision = revision
            self._needed_protocol = find_needed_protocol(self.revisions.parts)
        return self._needed_protocol

    def _unheard_ms(self, name):
        self._detect_pause()
        now = self._clock.now()
        unheard_ms = self.membership.heartbeats.get_peer(name).unheard_ms(now)
        return min(unheard_ms, now - self._resumed_ms)

    def _detect_pause(self):
        now = self._clock.now()
        if now - self._last_run_ms > MAX_IDLE_MS:
            self._resumed_ms = now
        self._last_run_ms = now

    def _confirm_configuration(self):
        first = self.membership.reader_rank()[0]
        if first == self.node.name or not self.membership.hears(first):
            return
        if not self._reads_fail(first):
            self.revisions.record_peer_confirmation()
