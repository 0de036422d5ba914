"""Membership: the nodes that one node believes to be listed, live and leaving.

Neighbours exchange heartbeats directly: all nodes of a small region, else the nodes of
the zone. A contact in each other zone reports the live nodes there.
"""

import logging

from peridotcove.heartbeats import HeartbeatMonitor
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
from peridotcove.nodes.network import OutgoingMessage
from peridotcove.ownership import find_capable, rank_capable_first
from peridotcove.topology import Topology
from peridotcove.zone_views import NodeRecord, ZoneViews, digest_records

# The process counts as paused if it did not run for longer than this.
PAUSE_THRESHOLD_MS = 2_000
# Time after a start or a pause within which neighbours should have been heard.
SETTLE_TIMEOUT_MS = 3_000
CLEANUP_PERIOD_MS = 5_000

log = logging.getLogger("peridotcove.membership")


class Membership:
    """One node's view of which other nodes are live.

    Parameters
    ----------
    node : Instance
        The node itself.
    region : str
        Region of the node.
    clock : Clock
        Time in ms.
    rng : random.Random
        Random numbers; not for decisions on which several nodes must agree.

    Attributes
    ----------
    incarnation : int
        Wall time in ms at which this process started.
    leaving : bool
        Whether this node is leaving; see `leave`.
    reads_fail : bool
        Whether this node's reads of the configuration service fail; set by the caller.
    hides_reads : callable
        Returns whether another node, given by name, must not rely on the reads of this
        one; set by the caller.
    heartbeats : HeartbeatMonitor
        Heartbeat state of other nodes.
    topology : Topology
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
        self.hides_reads = lambda name: False
        self.topology = Topology(node, region)
        self.heartbeats = HeartbeatMonitor(clock, self.topology, self.incarnation)
        self._own_shard_loads = {}
        self._views = ZoneViews(clock, self.topology, self.heartbeats)
        self._live = {}
        self._leaving_names = frozenset()
        self._zone_records = ()
        self._zone_digest = b""
        self._hears_minority = False
        self._reader_rank = (node.name,)
        self._capable_readers = 1
        self._events = []
        self._last_run_ms = clock.now()
        self._resumed_ms = clock.now()
        self._last_cleanup_ms = clock.now()
        self._list_requested_ms = None
        self._sequence_at_resume = {}
        self._update_live(clock.now())

    @property
    def peer_by_name(self):
        """Heartbeat state of other nodes by name."""
        return self.heartbeats.peer_by_name

    # Updates.

    def set_instances(self, instances, asked_ms=None):
        """Set the platform's list of instances.

        Parameters
        ----------
        instances : iterable of Instance
            All instances; those that are not nodes are ignored.
        asked_ms : int or None
            Time in ms at which the list was requested; now by default.
        """
        now = self.clock.now()
        self._detect_pause(now)
        nodes = {item.name: item for item in instances if item.kind == "node"}
        own = nodes.pop(self.node.name, self.node)
        self.leaving = self.leaving or own.state is InstanceState.LEAVING
        self._list_requested_ms = now if asked_ms is None else asked_ms
        self.topology.set_listed(nodes, self.heartbeats.hears)
        self._update_live(now)
        self._update_zone_summary()

    def set_zones(self, zone_by_name):
        """Set the zones of all regions.

        Parameters
        ----------
        zone_by_name : dict of Zone
            Zones of the configuration.
        """
        self.topology.set_zones(zone_by_name)

    @property
    def has_instance_list(self):
        """Whether the list of instances has been read at least once."""
        return self._list_requested_ms is not None

    def set_own_shard_loads(self, shard_loads):
        """Set the load totals that this node's heartbeats carry.

        Parameters
        ----------
        shard_loads : dict
            Load total by name of each shard that this node owns.
        """
        self._own_shard_loads = shard_loads

    def leave(self):
        """Mark this node as leaving; return the heartbeats that announce it."""
        self.leaving = True
        now = self.clock.now()
        self._update_live(now)
        peers = self.heartbeats.peer_by_name.values()
        return [self._make_heartbeat(peer, now) for peer in peers if peer.is_heard(now)]

    # Queries.

    def live_nodes(self):
        """Return the region's live nodes that are not leaving, sorted by name."""
        instances = [
            self.topology.instance_by_name[name]
            for name in self._live
            if name not in self._leaving_names
        ]
        if not self.leaving:
            instances.append(self.node)
        return tuple(sorted(instances, key=lambda item: item.name))

    def is_leaving(self, name):
        """Return whether a node is live but leaving.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        return name in self._leaving_names

    def live_nodes_in_zone(self):
        """Return the live nodes in this node's zone that are not leaving."""
        return tuple(item for item in self.live_nodes() if item.zone == self.node.zone)

    def listed_names(self):
        """Return the names of all other listed nodes, of all regions."""
        return self.topology.listed

    def known_nodes(self):
        """Return the listed nodes, and unlisted ones that are still heard."""
        return list(self.topology.instance_by_name.values())

    def reports_zone(self, zone):
        """Return whether this node knows by itself which nodes of a zone are live.

        Parameters
        ----------
        zone : str
            Zone of this region.
        """
        return self.topology.has_neighbours_in(zone) or self._views.has_view(zone)

    def hears(self, name):
        """Return whether this node receives heartbeats of another.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        return self.heartbeats.hears(name)

    def hears_most(self):
        """Return whether no heartbeat is overdue from half of the peers or more.

        Peers that are lost count too, since it may be this node that is cut off.
        """
        now = self.clock.now()
        monitored = self.heartbeats.monitored()
        heard = sum(peer.live and not peer.is_overdue(now) for peer in monitored)
        return 2 * heard >= len(monitored)

    def reader_rank(self):
        """Return the names of the zone's live nodes, by rank as readers."""
        return self._reader_rank

    def count_capable_readers(self):
        """Return how many nodes, first in that rank, have enough power to read."""
        return self._capable_readers

    def settled(self):
        """Return whether all neighbours were heard, or the time for that has passed."""
        now = self.clock.now()
        if now - self._resumed_ms >= SETTLE_TIMEOUT_MS:
            return True
        if self._list_requested_ms is None:
            return False
        return all(peer.is_heard(now) for peer in self.heartbeats.neighbours())

    def shard_loads(self):
        """Return the load total by shard over the live nodes of the region."""
        merged = {}
        for view in self._views.current_views():
            merged.update(view.shards)
        merged.update(self._collect_shard_loads())
        return merged

    def fresh(self):
        """Return whether this view has been refreshed since the process last paused.

        After a start or a pause this takes a list that was requested later, or answers
        of at least half of the neighbours. A list is always needed.
        """
        if self.clock.now() - self._last_run_ms > PAUSE_THRESHOLD_MS:
            return False
        if self._list_requested_ms is None:
            return False
        if self._list_requested_ms >= self._resumed_ms:
            return True
        neighbours = self.topology.neighbours & self.topology.listed
        answered = sum(self._has_answered(name) for name in neighbours)
        return 2 * answered >= len(neighbours)

    def pop_events(self):
        """Return and clear the membership events since the last call."""
        events, self._events = self._events, []
        return events

    # Messages.

    def tick(self):
        """Return the heartbeats that are due; call it every 250 ms."""
        now = self.clock.now()
        self._detect_pause(now)
        self._last_run_ms = now
        heartbeats = self.heartbeats
        is_first_reader = self._reader_rank[0] == self.node.name
        self.topology.update_contacts(
            self._views.is_informed, heartbeats.is_unresponsive, is_first_reader
        )
        due = heartbeats.tick()
        if now - self._last_cleanup_ms >= CLEANUP_PERIOD_MS:
            self._last_cleanup_ms = now
            heartbeats.forget_unlisted()
        self._update_live(now)
        self._events += [LinkSilent(name) for name in heartbeats.silent_peers]
        heartbeats.silent_peers.clear()
        return [self._make_heartbeat(peer, now) for peer in due]

    def receive(self, peer, message):
        """Handle a message and return the answers.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            A message; types that don't concern membership are ignored.

        Returns
        -------
        list of Outgoing
        """
        now = self.clock.now()
        self._detect_pause(now)
        if isinstance(message, Heartbeat):
            return self._handle_heartbeat(peer, message, now)
        if isinstance(message, AskView):
            records = [
                [record.name, record.incarnation, record.flags]
                for record in self._zone_records
            ]
            return [OutgoingMessage(peer, View(records))]
        if isinstance(message, View):
            self._views.handle_view(peer, message)
            self._update_live(now)
        return []

    def _handle_heartbeat(self, name, message, now):
        peer = self.heartbeats.get_peer(name)
        before = (peer.live, peer.incarnation, peer.leaving)
        is_new, wanted = self.heartbeats.handle_heartbeat(name, message)
        outgoing = []
        if (peer.live, peer.incarnation, peer.leaving) != before:
            self._update_live(now)
        if is_new and message.view:
            outgoing += self._views.handle_heartbeat(name, message)
        if wanted:
            outgoing.append(self._make_heartbeat(peer, now, answer=True))
        return outgoing

    def _make_heartbeat(self, peer, now, answer=False):
        reads_fail = self.reads_fail or self.hides_reads(peer.name)
        flags = LEAVING * self.leaving + READS_FAIL * reads_fail
        flags += MINORITY * self._hears_minority
        shard_loads, view = self._own_shard_loads, b""
        if peer.name not in self.topology.neighbours:
            same_region = self.topology.in_region(peer.name)
            shard_loads = self._collect_shard_loads() if same_region else {}
            view = self._zone_digest if same_region and self.settled() else b""
        return self.heartbeats.make_heartbeat(peer, flags, shard_loads, view, answer)

    def _collect_shard_loads(self):
        merged = {}
        for peer in sorted(self.heartbeats.neighbours(), key=_last_heard):
            if peer.live:
                merged.update(peer.shards)
        merged.update(self._own_shard_loads)
        return merged

    # State.

    def _update_live(self, now):
        live, leaving_names = {}, set()
        known = self.topology.instance_by_name
        for peer in self.heartbeats.neighbours():
            if peer.live:
                live[peer.name] = peer.incarnation
                if peer.leaving or known[peer.name].state is InstanceState.LEAVING:
                    leaving_names.add(peer.name)
        for record in self._views.records():
            name = record.name
            if name in known and name not in self.topology.neighbours:
                live[name] = record.incarnation
                if record.leaving or known[name].state is InstanceState.LEAVING:
                    leaving_names.add(name)
        known_leaving = bool(self._zone_records) and self._zone_records[0].leaving
        if (
            not self._zone_records
            or self.leaving != known_leaving
            or live != self._live
            or leaving_names != self._leaving_names
        ):
            self._apply_changes(live, leaving_names)

    def _apply_changes(self, live, leaving_names):
        for name, incarnation in self._live.items():
            if live.get(name) != incarnation:
                self._events.append(NodeLost(name, incarnation))
        for name, incarnation in live.items():
            if self._live.get(name) != incarnation:
                self._events.append(NodeJoined(name, incarnation))
        self._events += [
            NodeLeaving(name) for name in sorted(leaving_names - self._leaving_names)
        ]
        self._live = live
        self._leaving_names = frozenset(leaving_names)
        self._update_zone_summary()

    def _update_zone_summary(self):
        own = [NodeRecord(self.node.name, self.incarnation, LEAVING * self.leaving)]
        for name, incarnation in self._live.items():
            if self.topology.zone_of(name) == self.node.zone:
                own.append(
                    NodeRecord(
                        name, incarnation, LEAVING * (name in self._leaving_names)
                    )
                )
        self._zone_records = tuple(own)
        self._zone_digest = digest_records(own)
        self._hears_minority = 2 * len(own) <= self.topology.count_zone_peers()
        names = [record.name for record in own if not record.leaving] or [
            self.node.name
        ]
        known = self.topology.instance_by_name | {self.node.name: self.node}
        powers = {name: known[name].power for name in names}
        self._capable_readers = len(find_capable(powers))
        self._reader_rank = tuple(
            rank_capable_first(f"reader {self.node.zone}", powers)
        )

    def _detect_pause(self, now):
        paused_ms = now - self._last_run_ms
        if paused_ms <= PAUSE_THRESHOLD_MS:
            return
        log.warning("membership: this process did not run for %d ms", paused_ms)
        self._last_run_ms = now
        self._resumed_ms = now
        self._events.append(ProcessResumed(paused_ms))
        for peer in self.heartbeats.peer_by_name.values():
            self._sequence_at_resume[peer.name] = peer.sequence_out
            peer.mark_overdue(now)

    def _has_answered(self, name):
        peer = self.heartbeats.get_peer(name)
        return peer.acked_sequence > self._sequence_at_resume.get(name, 0)


def _last_heard(peer):
    return peer.heard_ms or 0
