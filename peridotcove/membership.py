"""Which nodes are listed, live and leaving, as one node believes.

Neighbours exchange heartbeats directly: the whole region if it is small, else the
zone. What goes on in other zones is told by a contact there.
"""

import logging

from peridotcove.heartbeats import Heartbeats
from peridotcove.membership_events import (
    LinkSilent,
    NodeJoined,
    NodeLeaving,
    NodeLost,
    ProcessResumed,
)
from peridotcove.models import InstanceState
from peridotcove.nodes.membership_messages import (
    LEAVING,
    MINORITY,
    READS_FAIL,
    AskView,
    Heartbeat,
    View,
)
from peridotcove.nodes.network import Outgoing
from peridotcove.ownership import rank_capable_first
from peridotcove.topology import Topology
from peridotcove.zone_views import Record, ZoneViews, digest_records

PAUSE_MS = 2_000
SETTLE_MS = 3_000
FORGET_EVERY_MS = 5_000

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
    heartbeats : Heartbeats
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
        self.layout = Topology(node, region)
        self.heartbeats = Heartbeats(clock, self.layout, self.incarnation)
        self._shards = {}
        self._views = ZoneViews(clock, self.layout, self.heartbeats)
        self._live = {}
        self._left = frozenset()
        self._own = ()
        self._own_digest = b""
        self._minority = False
        self._readers = (node.name,)
        self._events = []
        self._ran_ms = clock.now()
        self._woke_ms = clock.now()
        self._forgot_ms = clock.now()
        self._listed_ms = None
        self._sequence_at_wake = {}
        self._update_live(clock.now())

    @property
    def peer_by_name(self):
        """Heartbeat state of other nodes by name."""
        return self.heartbeats.peer_by_name

    # What other parts tell.

    def set_instances(self, instances, asked_ms=None):
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
        own = nodes.pop(self.node.name, self.node)
        self.leaving = self.leaving or own.state is InstanceState.LEAVING
        self._listed_ms = now if asked_ms is None else asked_ms
        self.layout.set_listed(nodes, self.heartbeats.hears)
        self._update_live(now)
        self._summarize()

    def set_zones(self, zone_by_name):
        """Take the zones of all regions.

        Parameters
        ----------
        zone_by_name : dict of Zone
            Zones of the configuration.
        """
        self.layout.set_zones(zone_by_name)

    @property
    def has_instance_list(self):
        """Whether the list of instances was read at least once."""
        return self._listed_ms is not None

    def set_own_shard_loads(self, shard_loads):
        """Set the load totals that this node's heartbeats carry.

        Parameters
        ----------
        shard_loads : dict
            Load total by shard that this node owns.
        """
        self._shards = shard_loads

    def leave(self):
        """Tell the others that this node leaves; return the messages."""
        self.leaving = True
        now = self.clock.now()
        self._update_live(now)
        peers = self.heartbeats.peer_by_name.values()
        return [self._heartbeat(peer, now) for peer in peers if peer.heard(now)]

    # What other parts ask.

    def live_nodes(self):
        """Return the nodes of the region believed live and not leaving, sorted."""
        instances = [
            self.layout.instance_by_name[name]
            for name in self._live
            if name not in self._left
        ]
        if not self.leaving:
            instances.append(self.node)
        return tuple(sorted(instances, key=lambda one: one.name))

    def is_leaving(self, name):
        """Return whether a node is live but leaving.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        return name in self._left

    def live_nodes_in_zone(self):
        """Return the nodes of `live` that are in this node's zone."""
        return tuple(one for one in self.live_nodes() if one.zone == self.node.zone)

    def listed_names(self):
        """Return the names of the listed nodes of all regions but this node."""
        return self.layout.listed

    def known_nodes(self):
        """Return the listed nodes, and those that were and are still heard."""
        return list(self.layout.instance_by_name.values())

    def hears(self, name):
        """Return whether this node itself hears another.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        return self.heartbeats.hears(name)

    def reader_rank(self):
        """Return the live nodes of the zone in the order in which they are readers."""
        return self._readers

    def settled(self):
        """Return whether the neighbours were heard, or had the time to be."""
        now = self.clock.now()
        if now - self._woke_ms >= SETTLE_MS:
            return True
        if self._listed_ms is None:
            return False
        return all(peer.heard(now) for peer in self.heartbeats.neighbours())

    def shard_loads(self):
        """Return the load total by shard over the live nodes of the region."""
        merged = {}
        for view in self._views.current():
            merged.update(view.shards)
        merged.update(self._collect_shards())
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

    def pop_events(self):
        """Return what was noticed since the last call."""
        events, self._events = self._events, []
        return events

    # Heartbeats.

    def tick(self):
        """Return the heartbeats that are due; called each 250 ms."""
        now = self.clock.now()
        self._notice_pause(now)
        self._ran_ms = now
        beats = self.heartbeats
        far = self._readers[0] == self.node.name
        self.layout.choose(self._views.informed, beats.gave_up, far)
        due = beats.tick()
        if now - self._forgot_ms >= FORGET_EVERY_MS:
            self._forgot_ms = now
            beats.forget_strangers()
        self._update_live(now)
        self._events += [LinkSilent(name) for name in beats.silent]
        beats.silent.clear()
        return [self._heartbeat(peer, now) for peer in due]

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
            records = [[one.name, one.incarnation, one.flags] for one in self._own]
            return [Outgoing(peer, View(records))]
        if isinstance(message, View):
            self._views.take(peer, message)
            self._update_live(now)
        return []

    def _receive_heartbeat(self, name, message, now):
        peer = self.heartbeats.peer(name)
        before = (peer.live, peer.incarnation, peer.leaving)
        news, wanted = self.heartbeats.take(name, message)
        outgoing = []
        if (peer.live, peer.incarnation, peer.leaving) != before:
            self._update_live(now)
        if news and message.view:
            outgoing += self._views.hear(name, message)
        if wanted:
            outgoing.append(self._heartbeat(peer, now, answer=True))
        return outgoing

    def _heartbeat(self, peer, now, answer=False):
        flags = LEAVING * self.leaving + READS_FAIL * self.reads_fail
        flags += MINORITY * self._minority
        shard_loads, view = self._shards, b""
        if peer.name not in self.layout.neighbours:
            near = self.layout.in_region(peer.name)
            shard_loads = self._collect_shards() if near else {}
            view = self._own_digest if near and self.settled() else b""
        return self.heartbeats.make(peer, flags, shard_loads, view, answer)

    def _collect_shards(self):
        merged = {}
        for peer in sorted(self.heartbeats.neighbours(), key=_last_heard):
            if peer.live:
                merged.update(peer.shards)
        merged.update(self._shards)
        return merged

    # Belief.

    def _update_live(self, now):
        live, left = {}, set()
        known = self.layout.instance_by_name
        for peer in self.heartbeats.neighbours():
            if peer.live:
                live[peer.name] = peer.incarnation
                if peer.leaving or known[peer.name].state is InstanceState.LEAVING:
                    left.add(peer.name)
        for record in self._views.records():
            name = record.name
            if name in known and name not in self.layout.neighbours:
                live[name] = record.incarnation
                if record.leaving or known[name].state is InstanceState.LEAVING:
                    left.add(name)
        known_leaving = bool(self._own) and self._own[0].leaving
        if (
            not self._own
            or self.leaving != known_leaving
            or live != self._live
            or left != self._left
        ):
            self._note_changes(live, left)

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
        self._summarize()

    def _summarize(self):
        own = [Record(self.node.name, self.incarnation, LEAVING * self.leaving)]
        for name, incarnation in self._live.items():
            if self.layout.zone(name) == self.node.zone:
                own.append(Record(name, incarnation, LEAVING * (name in self._left)))
        self._own = tuple(own)
        self._own_digest = digest_records(own)
        self._minority = 2 * len(own) <= self.layout.count_zone()
        names = [one.name for one in own if not one.leaving] or [self.node.name]
        known = self.layout.instance_by_name | {self.node.name: self.node}
        powers = {name: known[name].power for name in names}
        self._readers = tuple(rank_capable_first(f"reader {self.node.zone}", powers))

    def _notice_pause(self, now):
        paused_ms = now - self._ran_ms
        if paused_ms <= PAUSE_MS:
            return
        log.warning("membership: this process did not run for %d ms", paused_ms)
        self._ran_ms = now
        self._woke_ms = now
        self._events.append(ProcessResumed(paused_ms))
        for peer in self.heartbeats.peer_by_name.values():
            self._sequence_at_wake[peer.name] = peer.sequence_out
            peer.wake(now)

    def _answered(self, name):
        peer = self.heartbeats.peer(name)
        return peer.acked > self._sequence_at_wake.get(name, 0)


def _last_heard(peer):
    return peer.heard_ms or 0
