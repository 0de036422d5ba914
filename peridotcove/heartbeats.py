"""Heartbeat-based failure detection of neighbours and contacts.

A neighbour whose heartbeat is overdue is probed, then its link is reported as silent.
It counts as lost only if most other neighbours do not hear it either.
"""

import logging

from peridotcove.flap_damping import FlapDamper
from peridotcove.nodes.membership_messages import REPLY_WANTED, Heartbeat
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.peer_state import (
    CONTACT_HEARTBEAT_PERIOD_MS,
    HEARTBEAT_PERIOD_MS,
    REMOTE_HEARTBEAT_PERIOD_MS,
    PeerState,
)

# An unlisted node that was not heard for this long is dropped.
FORGET_PEER_MS = 60_000
# Heartbeats name a neighbour as not heard until it has been silent for this long.
UNHEARD_REPORT_MS = 30_000
# For this long after a live neighbour falls silent, each tick sends a heartbeat to all
# neighbours, so that they soon learn who hears it.
SILENCE_BURST_MS = 500

log = logging.getLogger("peridotcove.membership")


class HeartbeatMonitor:
    """Failure detector of one node, with its heartbeat state of the other nodes.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    topology : Topology
        Neighbours and contacts.
    incarnation : int
        Wall time in ms at which this process started.

    Attributes
    ----------
    peer_by_name : dict of PeerState
        State of each other node by name.
    silent_peers : list of str
        Names of the nodes whose links were found silent; the caller clears it.
    refused_revision : int
        Configuration revision that this node has refused, sent in every heartbeat; 0
        if none.
    """

    def __init__(self, clock, topology, incarnation):
        self.clock = clock
        self.topology = topology
        self.incarnation = incarnation
        self.peer_by_name = {}
        self.silent_peers = []
        self.refused_revision = 0
        self._damper = FlapDamper(clock)
        self._topology_version = None
        self._neighbours = []
        self._monitored = []

    def get_peer(self, name):
        """Return the state of a node; it is created if there is none.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        peer = self.peer_by_name.get(name)
        if peer is None:
            peer = self.peer_by_name[name] = PeerState(name, self.clock.now())
        return peer

    def neighbours(self):
        """Return the state of each neighbour, sorted by name."""
        self._update_groups()
        return self._neighbours

    def monitored(self):
        """Return the state of each neighbour and contact."""
        self._update_groups()
        return self._monitored

    def hears(self, name):
        """Return whether a node was heard within its loss timeout.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        peer = self.peer_by_name.get(name)
        return peer is not None and peer.is_heard(self.clock.now())

    def is_unresponsive(self, name):
        """Return whether a node is tried but was not heard within its loss timeout.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        peer = self.peer_by_name.get(name)
        return (
            peer is not None
            and peer.unheard_ms(self.clock.now()) >= peer.loss_timeout_ms
        )

    def handle_heartbeat(self, name, message):
        """Handle a received heartbeat.

        Parameters
        ----------
        name : str
            Name of the sender.
        message : Heartbeat
            The heartbeat.

        Returns
        -------
        is_new : bool
            Whether the heartbeat is newer than those before.
        answer : bool
            Whether to answer it.
        """
        now = self.clock.now()
        peer = self.get_peer(name)
        is_new = peer.apply_heartbeat(message, now)
        if is_new and name in self.topology.neighbours:
            self._update_liveness(peer, now)
        if not message.flags & REPLY_WANTED:
            return is_new, peer.is_answer_due(now)
        if peer.shows_loss(message, now) and peer.start_report(now):
            self.silent_peers.append(name)
        return is_new, True

    def make_heartbeat(self, peer, flags, shards, view, answer=False):
        """Return a heartbeat to a node.

        Parameters
        ----------
        peer : PeerState
            State of the node.
        flags : int
            Flags of this node's state.
        shards : dict
            Load total by shard.
        view : bytes
            Digest of the zone's live nodes, or empty.
        answer : bool
            Whether the heartbeat is an answer; an answer requests no reply.

        Returns
        -------
        Outgoing
        """
        now = self.clock.now()
        if not answer and peer.is_overdue(now):
            flags += REPLY_WANTED
        neighbour = peer.name in self.topology.neighbours
        unheard = self._find_unheard(now) if neighbour else []
        ack, sequence = peer.sequence_in, peer.record_send(now)
        heartbeat = Heartbeat(
            self.incarnation,
            sequence,
            ack,
            flags,
            shards,
            unheard,
            view,
            self.refused_revision,
        )
        return OutgoingMessage(peer.name, heartbeat)

    def tick(self):
        """Update the liveness of all peers; return those to send a heartbeat to."""
        now = self.clock.now()
        monitored = self.monitored()
        for peer in monitored:
            self._update_liveness(peer, now)
            if peer.start_silence_report(now):
                self.silent_peers.append(peer.name)
        due = [peer for peer in monitored if peer.is_heartbeat_due(now)]
        if self._has_newly_silent(now):
            due += [peer for peer in self.neighbours() if peer not in due]
        return due

    def forget_unlisted(self):
        """Discard the state of nodes that are neither listed nor heard."""
        now = self.clock.now()
        for name, peer in list(self.peer_by_name.items()):
            if peer.unheard_ms(now) < FORGET_PEER_MS or name in self.topology.listed:
                continue
            del self.peer_by_name[name]
            self._damper.forget(name)
            self.topology.forget(name)
        self._topology_version = None

    def _update_groups(self):
        topology = self.topology
        if self._topology_version == topology.version:
            return
        self._topology_version = topology.version
        self._neighbours = [self.get_peer(name) for name in sorted(topology.neighbours)]
        contacts = [
            self.get_peer(name)
            for names in topology.contacts_by_zone.values()
            for name in names
        ]
        remote = [self.get_peer(name) for name in topology.remote_contacts]
        self._monitored = self._neighbours + contacts + remote
        periods = (
            HEARTBEAT_PERIOD_MS,
            CONTACT_HEARTBEAT_PERIOD_MS,
            REMOTE_HEARTBEAT_PERIOD_MS,
        )
        groups = (self._neighbours, contacts, remote)
        for period_ms, group in zip(periods, groups, strict=True):
            for peer in group:
                peer.period_ms = period_ms

    def _update_liveness(self, peer, now):
        if peer.live:
            if peer.unheard_ms(now) < peer.loss_timeout_ms or self._majority_hears(
                peer, now
            ):
                return
            peer.live = False
            self._damper.record_loss(peer.name)
            log.info("membership: lost %s", peer.name)
        elif peer.is_heard(now) and not peer.is_overdue(now):
            peer.live = now - peer.state_since_ms >= self._damper.hold_down_ms(
                peer.name
            )

    def _majority_hears(self, peer, now):
        if peer.name not in self.topology.neighbours:
            return False
        hearing, not_hearing = 0, 1
        for other in self._neighbours:
            if other is not peer and other.live and not other.is_overdue(now):
                is_unheard = peer.name in other.unheard
                not_hearing += is_unheard
                hearing += not is_unheard
        return hearing >= not_hearing

    def _has_newly_silent(self, now):
        return any(
            peer.live
            and 0 <= peer.unheard_ms(now) - peer.silence_timeout_ms < SILENCE_BURST_MS
            for peer in self._neighbours
        )

    def _find_unheard(self, now):
        return [
            peer.name
            for peer in self.neighbours()
            if peer.is_silent(now) and peer.unheard_ms(now) < UNHEARD_REPORT_MS
        ]
