"""A fleet of nodes in one process: the real control plane on a simulated clock."""

import random

from peridotcove.configuration_reader import ReadPart
from peridotcove.control_plane import ControlPlane
from peridotcove.exceptions import LinkDown
from peridotcove.membership_events import LinkSilent
from peridotcove.models import Instance
from peridotcove.standins.memory_service import LATENCY_MS, MemoryService

TICK_MS = 250
RECONNECT_MS = 20


class MemoryNode:
    """One node of the fleet, as started once.

    Parameters
    ----------
    fleet : MemoryFleet
        The fleet.
    instance : Instance
        The node's entry in the list of instances.
    seed : int
        Random seed of its control plane.

    Attributes
    ----------
    control : ControlPlane
        Its control plane.
    events : list
        Events of its membership, oldest first.
    """

    def __init__(self, fleet, instance, seed):
        self.fleet = fleet
        self.name = instance.name
        region = fleet.region_by_zone[instance.zone]
        rng = random.Random(seed)
        self.control = ControlPlane(instance, region, fleet.links.clock, rng)
        self.events = []
        self.is_reading = False
        self.network = fleet.links.attach(instance.name)
        self.network.on_revision = self._set_peer_revision
        self.network.on_message = self._handle_message
        self._peer_revision = 0
        fleet.links.call_every(TICK_MS, instance.name, self._tick)

    @property
    def revision(self):
        """Revision in force."""
        return self.control.revisions.revision

    def live_names(self):
        """Return the names of the nodes that it considers live."""
        return [live_node.name for live_node in self.control.membership.live_nodes()]

    def _set_peer_revision(self, peer, revision):
        self._peer_revision = revision

    def _handle_message(self, peer, message):
        self.send(self.control.receive(peer, message, self._peer_revision))

    def _tick(self):
        self.send(self.control.tick())
        for event in self.control.membership.pop_events():
            self.events.append(event)
            self.fleet.record_event(self.name, event)
            if isinstance(event, LinkSilent):
                self._reconnect(event.peer)
        self._start_read()

    def _reconnect(self, peer):
        links = self.fleet.links
        links.call_later(
            RECONNECT_MS, self.name, lambda: links.reconnect(self.name, peer)
        )

    def send(self, outgoing):
        """Send messages.

        Parameters
        ----------
        outgoing : list of OutgoingMessage
            The messages.
        """
        self.network.revision = self.revision
        for item in outgoing:
            try:
                self.network.send(item.peer, item.message)
            except LinkDown:
                continue

    def _start_read(self):
        if self.is_reading:
            return
        call = self.control.reader.next_call()
        if call is None:
            return
        self.is_reading = True
        handle_failure = self._run_on_node(self._handle_failure)
        if self.name in self.fleet.turned_away:
            self.fleet.links.call_later(LATENCY_MS, self.name, handle_failure)
            return
        self.fleet.service.call(call, self._make_answer_callback(call), handle_failure)

    def _make_answer_callback(self, call):
        reader = self.control.reader

        def handle_answer(answer):
            def apply_answer():
                self.is_reading = False
                if isinstance(call, ReadPart):
                    self.send(reader.handle_part(call.name, answer))
                else:
                    self.send(reader.handle_manifest(answer))
                self.fleet.links.call_later(
                    reader.pause_ms(), self.name, self._start_read
                )

            self._run_on_node(apply_answer)()

        return handle_answer

    def _handle_failure(self):
        self.is_reading = False
        self.control.reader.handle_failure()

    def _run_on_node(self, call):
        # A paused process gets answers when it resumes; a stopped one never.
        links = self.fleet.links

        def run():
            if links.network_by_name.get(self.name) is self.network:
                links.call_later(0, self.name, call)

        return run


class MemoryFleet:
    """Nodes of all regions, the links between them and the configuration service.

    Parameters
    ----------
    links : Links
        Links between the nodes.
    zones_by_region : dict
        Number of nodes of each zone, by zone name, by region.

    Attributes
    ----------
    service : MemoryService
        The configuration service.
    node_by_name : dict of MemoryNode
        Running and stopped nodes, by name.
    instance_by_name : dict of Instance
        The platform's list of instances, by name.
    node_events : list
        Time in ms, node and event of all membership events.
    turned_away : set of str
        Names of the nodes whose calls to the service fail.
    """

    def __init__(self, links, zones_by_region):
        self.links = links
        self.service = MemoryService(links)
        self.node_by_name = {}
        self.instance_by_name = {}
        self.node_events = []
        self.turned_away = set()
        self.region_by_zone = {}
        for region, zones in zones_by_region.items():
            for zone, count in zones.items():
                self.region_by_zone[zone] = region
                self._add_zone(zone, count)
        self._start_count = 0

    def _add_zone(self, zone, count):
        for number in range(count):
            name = f"{zone}-{number}"
            instance = Instance(name, "node", "127.0.0.1", 1, zone)
            self.instance_by_name[name] = instance

    def start(self, *names):
        """Start nodes; all listed ones when none is named.

        Parameters
        ----------
        *names : str
            Names of the nodes.
        """
        for name in names or self.instance_by_name:
            self._start_count += 1
            seed = hash((self._start_count, len(name))) ^ self.links.rng.randrange(
                1 << 30
            )
            node = MemoryNode(self, self.instance_by_name[name], seed)
            self.node_by_name[name] = node
        self.update_instances(*names)

    def stop(self, name):
        """Stop a node.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.links.stop(name)

    def update_instances(self, *names):
        """Pass the current list of instances to nodes.

        Parameters
        ----------
        *names : str
            Names of the nodes; all running ones when none is named.
        """
        for name in names or self.node_by_name:
            node = self.node_by_name[name]
            node.control.membership.set_instances(self.instance_by_name.values())

    def record_event(self, name, event):
        """Record a membership event of a node.

        Parameters
        ----------
        name : str
            Name of the node whose membership reported it.
        event : object
            The event.
        """
        self.node_events.append((self.links.clock.now(), name, event))

    def running_nodes(self):
        """Return the nodes that are neither stopped nor paused."""
        links = self.links
        stopped = links.down | set(links.paused)
        return [node for name, node in self.node_by_name.items() if name not in stopped]


def describe_zones(region_by_zone):
    """Return the zones section of a configuration.

    Parameters
    ----------
    region_by_zone : dict of str
        Region by zone.
    """
    return {zone: {"region": region} for zone, region in region_by_zone.items()}
