"""Control plane of one node: membership and configuration, without requests."""

from peridotcove.configuration_reader import ConfigurationReader
from peridotcove.membership import Membership
from peridotcove.nodes.membership_messages import Heartbeat
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
    """

    def __init__(self, node, region, clock, rng, read_policy=None):
        self.node = node
        self._clock = clock
        self._last_run_ms = self._resumed_ms = clock.now()
        self.membership = Membership(node, region, clock, rng)
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
        self.revisions.record_peer_revision(peer, revision)
        refused = message.refused if isinstance(message, Heartbeat) else 0
        outgoing = self.membership.receive(peer, message)
        outgoing += self.revisions.receive(peer, message)
        outgoing += self.revisions.handle_peer_refusal(peer, refused)
        return outgoing

    def _find_push_targets(self):
        if not self.reader.reads_for_zone():
            return []
        nodes = self.membership.live_nodes_in_zone()
        return [node.name for node in nodes if node.name != self.node.name]

    def _find_startup_peers(self):
        if not self.membership.has_instance_list:
            return None
        topology = self.membership.topology
        return sorted(
            (topology.neighbours | set(topology.remote_contacts)) & topology.listed
        )

    def _reads_fail(self, name):
        return self.membership.heartbeats.get_peer(name).reads_fail

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
