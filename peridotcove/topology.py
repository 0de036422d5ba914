"""Chooses which nodes a node exchanges heartbeats with."""

from peridotcove.rendezvous import rank

MESH_NODES = 16
CONTACTS_TRIED = 3
UNKNOWN = ""


def choose_neighbours(node, zone, zone_by_name):
    """Return the nodes that a node exchanges heartbeats with directly.

    The whole region if it is small, else the zone.

    Parameters
    ----------
    node, zone : str
        Name and zone of the node.
    zone_by_name : dict of str
        Zones of the region's nodes by name.
    """
    others = set(zone_by_name) - {node}
    if len(others) < MESH_NODES:
        return others
    return {name for name in others if zone_by_name[name] == zone}


def choose_contacts(ranked, hears, given_up):
    """Return the nodes of another zone to exchange heartbeats with.

    The first in rank, and further ones while none before them is heard.

    Parameters
    ----------
    ranked : list of str
        Nodes of the zone in this node's order.
    hears : callable
        Whether a node, given by name, is heard.
    given_up : callable
        Whether a node, given by name, was tried in vain of late.
    """
    chosen = []
    if ranked and hears(ranked[0]):
        return ranked[:1]
    for name in sorted(ranked, key=given_up):
        chosen.append(name)
        if hears(name) or len(chosen) == CONTACTS_TRIED:
            break
    return chosen


class Topology:
    """The listed nodes, and which of them a node exchanges heartbeats with.

    Parameters
    ----------
    node : Instance
        The node itself.
    region : str
        Its region.

    Attributes
    ----------
    instance_by_name : dict
        Listed nodes, and those that were and are still heard.
    listed : frozenset of str
        Names in the last list.
    neighbours : set of str
        Nodes with direct heartbeats.
    contacts_by_zone : dict
        Names of contacts in the region's other zones.
    far : list of str
        Contacts in other regions.
    version : int
        Grows when the neighbours or contacts change.
    """

    def __init__(self, node, region):
        self.node = node
        self.region = region
        self.instance_by_name = {}
        self.listed = frozenset()
        self.neighbours = set()
        self.contacts_by_zone = {}
        self.far = []
        self.version = 0
        self._zone_by_name = None
        self._region_by_zone = {node.zone: region}
        self._ranked_by_zone = {}
        self._ranked_by_region = {}

    def zone(self, name):
        """Return the zone of a node, or None if it was never listed.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        one = self.instance_by_name.get(name)
        return None if one is None else one.zone

    def count_zone(self):
        """Return how many other nodes of this node's zone are listed."""
        return sum(self.zone(name) == self.node.zone for name in self.listed)

    def tried_enough(self, zone):
        """Return whether all contacts that may be tried in a zone are.

        Parameters
        ----------
        zone : str
            Another zone of the region.
        """
        limit = min(CONTACTS_TRIED, len(self._ranked_by_zone.get(zone, ())))
        return len(self.contacts_by_zone.get(zone, ())) >= limit

    def in_region(self, name):
        """Return whether a node is in this node's region.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        return self._region_by_zone.get(self.zone(name)) == self.region

    def set_zones(self, zone_by_name):
        """Take the zones of all regions.

        Parameters
        ----------
        zone_by_name : dict of Zone
            Zones of the configuration.
        """
        if zone_by_name is self._zone_by_name:
            return
        self._zone_by_name = zone_by_name
        zones = zone_by_name.values()
        self._region_by_zone = {zone.name: zone.region for zone in zones}
        self._region_by_zone[self.node.zone] = self.region
        self.arrange()

    def set_listed(self, nodes, keep):
        """Take the nodes of a new list.

        Parameters
        ----------
        nodes : dict
            Instances by name, without the node itself.
        keep : callable
            Whether a node that is no longer listed stays known.
        """
        old = self.instance_by_name
        kept = {name: old[name] for name in old if name not in nodes and keep(name)}
        self.instance_by_name = {**kept, **nodes}
        self.listed = frozenset(nodes)
        self.arrange()

    def forget(self, name):
        """Drop a node that is neither listed nor heard.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        if self.instance_by_name.pop(name, None) is not None:
            self.arrange()

    def arrange(self):
        """Choose the neighbours, and rank the nodes of other zones and regions."""
        self.version += 1
        node, instances = self.node, self.instance_by_name.values()
        zone_by_name = {
            one.name: one.zone
            for one in instances
            if self._region_by_zone.get(one.zone) == self.region
        }
        self.neighbours = choose_neighbours(node.name, node.zone, zone_by_name)
        by_zone, by_region = {}, {}
        for one in instances:
            region = self._region_by_zone.get(one.zone, UNKNOWN)
            if region != self.region:
                by_region.setdefault(region, []).append(one.name)
            elif one.name not in self.neighbours:
                by_zone.setdefault(one.zone, []).append(one.name)
        self._ranked_by_zone = _rank_all(node.name, by_zone)
        self._ranked_by_region = _rank_all(node.name, by_region)

    def choose(self, hears, given_up, far):
        """Choose the contacts in other zones and regions.

        Parameters
        ----------
        hears, given_up : callable
            See `choose_contacts`.
        far : bool
            Whether to have contacts in other regions.
        """
        contacts = {
            zone: choose_contacts(ranked, hears, given_up)
            for zone, ranked in self._ranked_by_zone.items()
        }
        distant = []
        for region, ranked in self._ranked_by_region.items():
            if far or region == UNKNOWN:
                distant += choose_contacts(ranked, hears, given_up)
        if contacts != self.contacts_by_zone or distant != self.far:
            self.contacts_by_zone, self.far = contacts, distant
            self.version += 1


def _rank_all(key, group):
    return {name: rank(key, dict.fromkeys(group[name], 1.0)) for name in sorted(group)}
