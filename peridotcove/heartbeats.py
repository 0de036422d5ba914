"""Heartbeats with neighbours and contacts, and what their absence means.

A neighbour that falls silent is probed, its link is reported as silent, and it counts
as lost only if most other neighbours do not hear it either.
"""

import logging

from peridotcove.flap_damping import FlapDamper
from peridotcove.nodes.membership_messages import REPLY_WANTED, Heartbeat
from peridotcove.nodes.network import Outgoing
from peridotcove.peer_state import (
    CONTACT_HEARTBEAT_MS,
    FAR_HEARTBEAT_MS,
    HEARTBEAT_MS,
    PeerState,
)

FORGET_MS = 60_000
ANNOUNCE_MS = 30_000
URGENT_MS = 500

log = logging.getLogger("peridotcove.membership")


class Heartbeats:
    """Heartbeat state of one node with the others.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    layout : Layout
        Says who the neighbours and contacts are.
    incarnation : int
        Wall time in ms at which this process started.

    Attributes
    ----------
    peer_by_name : dict of Peer
        State with each other node.
    silent : list of str
        Nodes whose links were found silent, until taken.
    refused : int
        Revision that this node has refused, on every heartbeat; 0 if none.
    """

    def __init__(self, clock, layout, incarnation):
        self.clock = clock
        self.layout = layout
        self.incarnation = incarnation
        self.peer_by_name = {}
        self.silent = []
        self.refused = 0
        self._flaps = FlapDamper(clock)
        self._version = None
        self._neighbours = []
        self._watched = []

    def peer(self, name):
        """Return the state with a node, new if need be.

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
        """Return the state with each neighbour, sorted by name."""
        self._follow_layout()
        return self._neighbours

    def watched(self):
        """Return the state with each neighbour and contact."""
        self._follow_layout()
        return self._watched

    def hears(self, name):
        """Return whether a node is heard.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        peer = self.peer_by_name.get(name)
        return peer is not None and peer.heard(self.clock.now())

    def gave_up(self, name):
        """Return whether a node was tried in vain.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        peer = self.peer_by_name.get(name)
        return peer is not None and peer.unheard_for(self.clock.now()) >= peer.lost_ms

    def take(self, name, message):
        """Take a heartbeat in; return whether it is news and whether to answer.

        Parameters
        ----------
        name : str
            Name of the sender.
        message : Heartbeat
            What it sent.
        """
        now = self.clock.now()
        peer = self.peer(name)
        news = peer.take(message, now)
        if news and name in self.layout.neighbours:
            self._judge(peer, now)
        if not message.flags & REPLY_WANTED:
            return news, peer.answer_due(now)
        if peer.misses(message, now) and peer.repeat_due(now):
            self.silent.append(name)
        return news, True

    def make(self, peer, flags, shards, view, answer=False):
        """Return a heartbeat to a node.

        Parameters
        ----------
        peer : Peer
            State with the node.
        flags : int
            State of this node.
        shards : dict
            Load total by shard.
        view : bytes
            Digest of the zone's live nodes, or empty.
        answer : bool
            Whether it is an answer, which wants none itself.
        """
        now = self.clock.now()
        if not answer and peer.suspect(now):
            flags += REPLY_WANTED
        neighbour = peer.name in self.layout.neighbours
        unheard = self._list_unheard(now) if neighbour else []
        ack, sequence = peer.sequence_in, peer.send(now)
        beat = Heartbeat(
            self.incarnation,
            sequence,
            ack,
            flags,
            shards,
            unheard,
            view,
            self.refused,
        )
        return Outgoing(peer.name, beat)

    def tick(self):
        """Judge all peers; return those to which a heartbeat is due."""
        now = self.clock.now()
        watched = self.watched()
        for peer in watched:
            self._judge(peer, now)
            if peer.report_silence(now):
                self.silent.append(peer.name)
        due = [peer for peer in watched if peer.due(now)]
        if self._suspicious(now):
            due += [peer for peer in self.neighbours() if peer not in due]
        return due

    def forget_strangers(self):
        """Drop nodes that are neither listed nor heard."""
        now = self.clock.now()
        for name, peer in list(self.peer_by_name.items()):
            if peer.unheard_for(now) < FORGET_MS or name in self.layout.listed:
                continue
            del self.peer_by_name[name]
            self._flaps.forget(name)
            self.layout.forget(name)
        self._version = None

    def _follow_layout(self):
        layout = self.layout
        if self._version == layout.version:
            return
        self._version = layout.version
        self._neighbours = [self.peer(name) for name in sorted(layout.neighbours)]
        contacts = [
            self.peer(name)
            for names in layout.contacts_by_zone.values()
            for name in names
        ]
        far = [self.peer(name) for name in layout.far]
        self._watched = self._neighbours + contacts + far
        periods = (HEARTBEAT_MS, CONTACT_HEARTBEAT_MS, FAR_HEARTBEAT_MS)
        groups = (self._neighbours, contacts, far)
        for period_ms, group in zip(periods, groups, strict=True):
            for peer in group:
                peer.period_ms = period_ms

    def _judge(self, peer, now):
        if peer.live:
            if peer.unheard_for(now) < peer.lost_ms or self._vouched(peer, now):
                return
            peer.live = False
            self._flaps.lose(peer.name)
            log.info("membership: lost %s", peer.name)
        elif peer.heard(now) and not peer.suspect(now):
            peer.live = now - peer.since_ms >= self._flaps.hold_ms(peer.name)

    def _vouched(self, peer, now):
        if peer.name not in self.layout.neighbours:
            return False
        vouchers, deniers = 0, 1
        for other in self._neighbours:
            if other is not peer and other.live and not other.suspect(now):
                denies = peer.name in other.unheard
                deniers += denies
                vouchers += not denies
        return vouchers >= deniers

    def _suspicious(self, now):
        return any(
            peer.live and 0 <= peer.unheard_for(now) - peer.silent_after_ms < URGENT_MS
            for peer in self._neighbours
        )

    def _list_unheard(self, now):
        return [
            peer.name
            for peer in self.neighbours()
            if peer.silent(now) and peer.unheard_for(now) < ANNOUNCE_MS
        ]
