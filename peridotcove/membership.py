"""Which nodes are listed, live and leaving, as one node believes.

Neighbours exchange heartbeats directly: the whole region if it is small, else the
zone. What goes on in other zones is told by a contact there. A node that falls silent
is probed, then reported as a silent link, and counts as lost only if most neighbours
do not hear it either.
"""

import logging

from peridotcove.contacts import Layout, rank
from peridotcove.flaps import Flaps
from peridotcove.membership_events import (
    LinkSilent,
    NodeJoined,
    NodeLeaving,
    NodeLost,
    Woke,
)
from peridotcove.models import State
from peridotcove.nodes.membership_messages import (
    LEAVING,
    READS_FAIL,
    REPLY_WANTED,
    AskView,
    Heartbeat,
    View,
)
from peridotcove.nodes.network import Outgoing
from peridotcove.peers import FAR_HEARTBEAT_MS, REPLY_AHEAD_MS, Peer
from peridotcove.zone_views import Record, ZoneView, digest_records

PAUSE_MS = 2_000
SETTLE_MS = 3_000
FORGET_MS = 60_000
ANNOUNCE_MS = 30_000
URGENT_MS = 500

log = logging.getLogger("peridotcove.membership")


class Membership:
    """One node's belief about the other nodes.

    Parameters
    ----------
    node : Instance
        The node itself.
    region : str
        Its region.
    clock : Clock
        Time in ms.
    rng : random.Random
        Not used for decisions that several nodes must share.

    Attributes
    ----------
    incarnation : int
        Wall time in ms at which this process started.
    leaving : bool
        Whether this node leaves; see `leave`.
    reads_fail : bool
        Whether its reads of the configuration service fail; set by the reader.
    peer_by_name : dict
        Heartbeat state of other nodes.
    layout : Layout
        Listed nodes, neighbours and contacts.
    """

    def __init__(self, node, region, clock, rng):
        self.node = node
        self.region = region
        self.clock = clock
        self.rng = rng
        self.incarnation = clock.wall()
        self.leaving = False
        self.reads_fail = False
        self.peer_by_name = {}
        self.layout = Layout(node, region)
        self._shards = {}
        self._view_by_zone = {}
        self._flaps = Flaps(clock)
        self._live = {}
        self._left = frozenset()
        self._events = []
        self._ran_ms = clock.now()
        self._woke_ms = clock.now()
        self._listed_ms = None
        self._sequence_at_wake = {}

    # What other parts tell.

    def set_listed(self, instances, asked_ms=None):
        """Take the platform's list of instances.

        Parameters
        ----------
        instances : iterable of Instance
            All instances; those that are no nodes are left out.
        asked_ms : int or None
            Time in ms at which the list was asked for; now by default.
        """
        now = self.clock.now()
        self._notice_pause(now)
        nodes = {one.name: one for one in instances if one.kind == "node"}
        nodes.pop(self.node.name, None)
        self._listed_ms = now if asked_ms is None else asked_ms
        self.layout.set_listed(nodes, lambda name: self._keep(name, now))
        self._update_live(now)

    def set_zones(self, zone_by_name):
        """Take the zones of all regions.

        Parameters
        ----------
        zone_by_name : dict of Zone
            Zones of the configuration.
        """
        self.layout.set_zones(zone_by_name)

    @property
    def has_list(self):
        """Whether the list of instances was read at least once."""
        return self._listed_ms is not None

    def publish(self, shards):
        """Set the load totals that this node's heartbeats carry.

        Parameters
        ----------
        shards : dict
            Load total by shard that this node owns.
        """
        self._shards = shards

    def leave(self):
        """Tell the others that this node leaves; return the messages."""
        self.leaving = True
        now = self.clock.now()
        watched = self._watched()
        return [self._heartbeat(peer, now) for peer in watched if peer.heard(now)]

    # What other parts ask.

    def live(self):
        """Return the nodes of the region believed live and not leaving, sorted."""
        instances = [
            self.layout.instance_by_name[name]
            for name in self._live
            if name not in self._left
        ]
        if not self.leaving:
            instances.append(self.node)
        return tuple(sorted(instances, key=lambda one: one.name))

    def live_in_zone(self):
        """Return the nodes of `live` that are in this node's zone."""
        return tuple(one for one in self.live() if one.zone == self.node.zone)

    def listed(self):
        """Return the names of the listed nodes of all regions but this node."""
        return self.layout.listed

    def leaving_nodes(self):
        """Return the names of live nodes that are leaving."""
        return self._left

    def reaches(self, name):
        """Return whether this node itself hears another.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        peer = self.peer_by_name.get(name)
        return peer is not None and peer.heard(self.clock.now())

    def shards(self):
        """Return the load total by shard over the live nodes of the region."""
        merged = {}
        now = self.clock.now()
        for view in self._view_by_zone.values():
            if view.current(now):
                merged.update(view.shards)
        peers = self._neighbours(now)
        for peer in sorted(peers, key=lambda one: one.heard_ms or 0):
            if peer.live:
                merged.update(peer.shards)
        merged.update(self._shards)
        return merged

    def fresh(self):
        """Return whether the belief is no older than this process's last pause.

        After a start or a pause it is not, until the list was read again or most
        neighbours have answered.
        """
        if self.clock.now() - self._ran_ms > PAUSE_MS:
            return False
        if self._listed_ms is None:
            return False
        if self._listed_ms >= self._woke_ms:
            return True
        neighbours = self.layout.neighbours & self.layout.listed
        answered = sum(self._answered(name) for name in neighbours)
        return 2 * answered >= len(neighbours)

    def events(self):
        """Return what was noticed since the last call."""
        events, self._events = self._events, []
        return events

    # Heartbeats.

    def tick(self):
        """Return the heartbeats that are due; called each 250 ms."""
        now = self.clock.now()
        self._notice_pause(now)
        self._ran_ms = now
        self._choose_contacts(now)
        watched = self._watched()
        for peer in watched:
            self._judge(peer, now)
        urgent = self._suspicious(now)
        outgoing = []
        for peer in watched:
            if peer.due(now) or (urgent and peer.name in self.layout.neighbours):
                outgoing.append(self._heartbeat(peer, now))
            if peer.report_silence(now):
                self._events.append(LinkSilent(peer.name))
        self._forget_strangers(now)
        self._update_live(now)
        return outgoing

    def receive(self, peer, message):
        """Take a message in and return the answers.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            A message; those of other parts are ignored.
        """
        now = self.clock.now()
        self._notice_pause(now)
        if isinstance(message, Heartbeat):
            return self._receive_heartbeat(peer, message, now)
        if isinstance(message, AskView):
            records = [[one.name, one.incarnation, one.flags] for one in self._own()]
            return [Outgoing(peer, View(records))]
        if isinstance(message, View):
            self._receive_view(peer, message, now)
        return []

    def _receive_heartbeat(self, name, message, now):
        peer = self._peer(name, now)
        news = peer.take(message, now)
        outgoing = []
        if news and name in self.layout.neighbours:
            self._judge(peer, now)
            self._update_live(now)
        elif news and message.view:
            outgoing += self._hear_zone(name, message, now)
        wanted = message.flags & REPLY_WANTED
        if wanted or peer.sent_ms is None or now - peer.sent_ms >= REPLY_AHEAD_MS:
            outgoing.append(self._heartbeat(peer, now, answer=True))
        return outgoing

    def _hear_zone(self, name, message, now):
        zone = self.layout.zone(name)
        if zone is None or self._primary(zone, now) != name:
            return []
        view = self._view_by_zone.setdefault(zone, ZoneView())
        if not view.hear(message, now):
            return []
        return [Outgoing(name, AskView(view.digest))]

    def _receive_view(self, name, message, now):
        view = self._view_by_zone.get(self.layout.zone(name))
        if view is not None:
            view.replace(Record(*record) for record in message.records)
            self._update_live(now)

    def _heartbeat(self, peer, now, answer=False):
        flags = LEAVING * self.leaving + READS_FAIL * self.reads_fail
        if not answer and peer.suspect(now):
            flags += REPLY_WANTED
        shards, unheard, view = self._shards, [], b""
        if peer.name in self.layout.neighbours:
            unheard = self._unheard(now)
        elif self.layout.in_region(peer.name):
            shards = self._zone_shards()
            view = self._own_digest(now)
        else:
            shards = {}
        sequence = peer.send(now)
        beat = Heartbeat(
            self.incarnation, sequence, peer.sequence_in, flags, shards, unheard, view
        )
        return Outgoing(peer.name, beat)

    # Judgement.

    def _judge(self, peer, now):
        if peer.live:
            if peer.unheard_for(now) < peer.lost_ms or self._vouched(peer, now):
                return
            peer.live = False
            self._flaps.lose(peer.name)
            log.info("membership: lost %s", peer.name)
        elif peer.heard(now):
            peer.live = now - peer.since_ms >= self._flaps.hold_ms(peer.name)

    def _vouched(self, peer, now):
        if peer.name not in self.layout.neighbours:
            return False
        vouchers, deniers = 0, 1
        for other in self._neighbours(now):
            if other is not peer and other.live and not other.suspect(now):
                denies = peer.name in other.unheard
                deniers += denies
                vouchers += not denies
        return vouchers >= deniers

    def _suspicious(self, now):
        peers = self._neighbours(now)
        limit = URGENT_MS
        return any(
            peer.live and 0 <= peer.unheard_for(now) - peer.silent_after_ms < limit
            for peer in peers
        )

    def _unheard(self, now):
        peers = self._neighbours(now)
        return sorted(
            peer.name
            for peer in peers
            if peer.silent(now) and peer.unheard_for(now) < ANNOUNCE_MS
        )

    def _update_live(self, now):
        live, left = {}, set()
        for peer in self._neighbours(now):
            if peer.live:
                live[peer.name] = peer.incarnation
                if peer.leaving:
                    left.add(peer.name)
        for view in self._view_by_zone.values():
            for record in view.records if view.current(now) else ():
                if self._told(record.name):
                    live[record.name] = record.incarnation
                    if record.leaving:
                        left.add(record.name)
        known = self.layout.instance_by_name
        left |= {name for name in live if known[name].state is State.LEAVING}
        self._note_changes(live, left)

    def _told(self, name):
        known = name in self.layout.instance_by_name and name != self.node.name
        return known and name not in self.layout.neighbours

    def _note_changes(self, live, left):
        for name, incarnation in self._live.items():
            if live.get(name) != incarnation:
                self._events.append(NodeLost(name, incarnation))
        for name, incarnation in live.items():
            if self._live.get(name) != incarnation:
                self._events.append(NodeJoined(name, incarnation))
        self._events += [NodeLeaving(name) for name in sorted(left - self._left)]
        self._live = live
        self._left = frozenset(left)

    # Bookkeeping.

    def _notice_pause(self, now):
        paused_ms = now - self._ran_ms
        if paused_ms <= PAUSE_MS:
            return
        log.warning("membership: this process did not run for %d ms", paused_ms)
        self._ran_ms = now
        self._woke_ms = now
        self._events.append(Woke(paused_ms))
        for peer in self.peer_by_name.values():
            self._sequence_at_wake[peer.name] = peer.sequence_out
            peer.wake(now)

    def _answered(self, name):
        peer = self.peer_by_name.get(name)
        return peer is not None and peer.acked > self._sequence_at_wake.get(name, 0)

    def settled(self, now=None):
        """Return whether the neighbours were heard, or had the time to be.

        Parameters
        ----------
        now : int or None
            Time in ms.
        """
        now = self.clock.now() if now is None else now
        if now - self._woke_ms >= SETTLE_MS:
            return True
        if self._listed_ms is None:
            return False
        return all(peer.heard(now) for peer in self._neighbours(now))

    def _own(self):
        now = self.clock.now()
        own = [Record(self.node.name, self.incarnation, LEAVING * self.leaving)]
        for peer in self._neighbours(now):
            if peer.live and self.layout.zone(peer.name) == self.node.zone:
                flags = LEAVING * (peer.name in self._left)
                own.append(Record(peer.name, peer.incarnation, flags))
        return own

    def _own_digest(self, now):
        return digest_records(self._own()) if self.settled(now) else b""

    def _zone_shards(self):
        merged = {}
        for name in sorted(self.layout.neighbours):
            peer = self.peer_by_name.get(name)
            if peer is not None and peer.live:
                merged.update(peer.shards)
        merged.update(self._shards)
        return merged

    def _choose_contacts(self, now):
        def hears(name):
            return name in self.peer_by_name and self.peer_by_name[name].heard(now)

        def given_up(name):
            peer = self.peer_by_name.get(name)
            return peer is not None and peer.unheard_for(now) >= peer.lost_ms

        self.layout.choose(hears, given_up, self.reader_rank()[0] == self.node.name)

    def reader_rank(self):
        """Return the live nodes of the zone in the order in which they are readers."""
        names = {one.name for one in self.live_in_zone()} | {self.node.name}
        return rank(f"reader {self.node.zone}", names)

    def _primary(self, zone, now):
        for name in self.layout.contacts_by_zone.get(zone, ()):
            if self._peer(name, now).heard(now):
                return name
        return None

    def _neighbours(self, now):
        return [self._peer(name, now) for name in sorted(self.layout.neighbours)]

    def _watched(self):
        now = self.clock.now()
        watched = self._neighbours(now)
        for names in self.layout.contacts_by_zone.values():
            watched += [self._peer(name, now) for name in names]
        for name in self.layout.far:
            peer = self._peer(name, now)
            peer.period_ms = FAR_HEARTBEAT_MS
            watched.append(peer)
        return watched

    def _peer(self, name, now):
        peer = self.peer_by_name.get(name)
        if peer is None:
            peer = self.peer_by_name[name] = Peer(name, now)
        return peer

    def _keep(self, name, now):
        peer = self.peer_by_name.get(name)
        return peer is not None and peer.heard(now)

    def _forget_strangers(self, now):
        for name, peer in list(self.peer_by_name.items()):
            if peer.unheard_for(now) < FORGET_MS or name in self.layout.listed:
                continue
            del self.peer_by_name[name]
            self._flaps.forget(name)
            self.layout.forget(name)
