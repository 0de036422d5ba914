"""A fleet of nodes in memory: the real decisions on a fake clock."""

import random

from peridotcove.configuration_reader import ReadPart
from peridotcove.control_plane import ControlPlane
from peridotcove.exceptions import LinkDown
from peridotcove.membership_events import LinkSilent
from peridotcove.models import Instance
from peridotcove.standins.memory_service import MemoryService

TICK_MS = 250
RECONNECT_MS = 20


class MemoryNode:
    """One process of the fleet.

    Parameters
    ----------
    fleet : MemoryFleet
        The fleet.
    instance : Instance
        The node.
    seed : int
        Seed of its randomness.

    Attributes
    ----------
    control : Control
        Its decisions.
    events : list
        What its membership has noticed.
    """

    def __init__(self, fleet, instance, seed):
        self.fleet = fleet
        self.name = instance.name
        region = fleet.region_by_zone[instance.zone]
        rng = random.Random(seed)
        self.control = ControlPlane(instance, region, fleet.links.clock, rng)
        self.events = []
        self.calling = False
        self.network = fleet.links.attach(instance.name)
        self.network.on_revision = self._note_revision
        self.network.on_message = self._receive
        self._revision = 0
        fleet.links.every(TICK_MS, instance.name, self._tick)

    @property
    def revision(self):
        """Revision in force."""
        return self.control.revisions.revision

    def live_names(self):
        """Return the names of the nodes believed live."""
        return [one.name for one in self.control.membership.live_nodes()]

    def _note_revision(self, peer, revision):
        self._revision = revision

    def _receive(self, peer, message):
        self.send(self.control.receive(peer, message, self._revision))

    def _tick(self):
        self.send(self.control.tick())
        for event in self.control.membership.pop_events():
            self.events.append(event)
            self.fleet.note(self.name, event)
            if isinstance(event, LinkSilent):
                self._reconnect(event.peer)
        self._start_read()

    def _reconnect(self, peer):
        links = self.fleet.links
        links.later(RECONNECT_MS, self.name, lambda: links.reconnect(self.name, peer))

    def send(self, outgoing):
        """Send messages.

        Parameters
        ----------
        outgoing : list of Outgoing
            The messages.
        """
        self.network.revision = self.revision
        for item in outgoing:
            try:
                self.network.send(item.peer, item.message)
            except LinkDown:
                continue

    def _start_read(self):
        if self.calling:
            return
        call = self.control.reader.next_call()
        if call is None:
            return
        self.calling = True
        service = self.fleet.service
        service.call(call, self._after(call), self._on_process(self._handle_failure))

    def _after(self, call):
        reader = self.control.reader

        def done(answer):
            def take():
                self.calling = False
                if isinstance(call, ReadPart):
                    self.send(reader.handle_part(call.name, answer))
                else:
                    self.send(reader.handle_manifest(answer))
                self.fleet.links.later(reader.pause_ms(), self.name, self._start_read)

            self._on_process(take)()

        return done

    def _handle_failure(self):
        self.calling = False
        self.control.reader.handle_failure()

    def _on_process(self, call):
        # Answers wait for a paused process, and die with their process.
        links = self.fleet.links

        def run():
            if links.host_by_name.get(self.name) is self.network:
                links.later(0, self.name, call)

        return run


class MemoryFleet:
    """Nodes of all regions, the links between them and the service.

    Parameters
    ----------
    links : Links
        Links between the nodes.
    zones_by_region : dict
        Number of nodes by zone, by region.

    Attributes
    ----------
    service : MemoryService
        The configuration service.
    node_by_name : dict of MemoryNode
        Running and stopped nodes.
    instance_by_name : dict of Instance
        The platform's list.
    node_events : list
        Time in ms, node and event of everything noticed.
    """

    def __init__(self, links, zones_by_region):
        self.links = links
        self.service = MemoryService(links)
        self.node_by_name = {}
        self.instance_by_name = {}
        self.node_events = []
        self.region_by_zone = {}
        for region, zones in zones_by_region.items():
            for zone, count in zones.items():
                self.region_by_zone[zone] = region
                self._add_zone(zone, count)
        self._seeds = 0

    def _add_zone(self, zone, count):
        for number in range(count):
            name = f"{zone}-{number}"
            instance = Instance(name, "node", "127.0.0.1", 1, zone)
            self.instance_by_name[name] = instance

    def start(self, *names):
        """Start processes; all listed nodes when none is named.

        Parameters
        ----------
        *names : str
            Names of the nodes.
        """
        for name in names or self.instance_by_name:
            self._seeds += 1
            seed = hash((self._seeds, len(name))) ^ self.links.rng.randrange(1 << 30)
            node = MemoryNode(self, self.instance_by_name[name], seed)
            self.node_by_name[name] = node
        self.update_instances(*names)

    def stop(self, name):
        """End a process.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        self.links.stop(name)

    def update_instances(self, *names):
        """Give nodes the list of instances as it is.

        Parameters
        ----------
        *names : str
            Names of the nodes; all running ones when none is named.
        """
        for name in names or self.node_by_name:
            node = self.node_by_name[name]
            node.control.membership.set_instances(self.instance_by_name.values())

    def note(self, name, event):
        """Note an event of a node.

        Parameters
        ----------
        name : str
            Name of the node that noticed it.
        event : object
            The event.
        """
        self.node_events.append((self.links.clock.now(), name, event))

    def running_nodes(self):
        """Return the running nodes."""
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
