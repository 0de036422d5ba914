"""Selects the nodes that a node exchanges heartbeats with."""

from peridotcove.rendezvous import rank

# Largest region, in nodes, in which every node exchanges heartbeats with all others.
FULL_MESH_MAX_NODES = 16
# Contacts that are tried at once in a zone or region of which no node is heard.
MAX_CONTACTS = 3
# Region of nodes whose zone is not in the configuration.
UNKNOWN_REGION = ""


def choose_neighbours(node, zone, zone_by_name):
    """Return the names of the nodes that a node exchanges heartbeats with directly.

    These are all nodes of the region if it has at most `FULL_MESH_MAX_NODES`, else
    the nodes of the zone.

    Parameters
    ----------
    node, zone : str
        Name and zone of the node.
    zone_by_name : dict of str
        Zones of the region's nodes by name.
    """
    others = set(zone_by_name) - {node}
    if len(others) < FULL_MESH_MAX_NODES:
        return others
    return {name for name in others if zone_by_name[name] == zone}


def choose_contacts(ranked, hears, is_unresponsive):
    """Return the nodes of another zone or region to exchange heartbeats with.

    This is the first node in rank. While no chosen node is heard, further ones are
    added, up to `MAX_CONTACTS`; unresponsive nodes come last.

    Parameters
    ----------
    ranked : list of str
        Nodes of the zone or region in this node's order.
    hears : callable
        Whether a node, given by name, is heard.
    is_unresponsive : callable
        Whether a node, given by name, has not been heard within its loss timeout.
    """
    chosen = []
    if ranked and hears(ranked[0]):
        return ranked[:1]
    for name in sorted(ranked, key=is_unresponsive):
        chosen.append(name)
        if hears(name) or len(chosen) == MAX_CONTACTS:
            break
    return chosen


class Topology:
    """Listed nodes, and those of them that a node exchanges heartbeats with.

    Parameters
    ----------
    node : Instance
        The node itself.
    region : str
        Region of the node.

    Attributes
    ----------
    instance_by_name : dict of Instance
        Listed nodes, and unlisted ones that are still heard.
    listed : frozenset of str
        Names of the nodes in the latest list.
    neighbours : set of str
        Names of the nodes with direct heartbeats.
    contacts_by_zone : dict of list of str
        Names of the contacts in each other zone of the region.
    remote_contacts : list of str
        Names of the contacts in other regions.
    version : int
        Incremented when the neighbours or contacts change.
    """

    def __init__(self, node, region):
        self.node = node
        self.region = region
        self.instance_by_name = {}
        self.listed = frozenset()
        self.neighbours = set()
        self.contacts_by_zone = {}
        self.remote_contacts = []
        self.version = 0
        self._zone_by_name = None
        self._region_by_zone = {node.zone: region}
        self._ranked_by_zone = {}
        self._ranked_by_region = {}

    def zone_of(self, name):
        """Return the zone of a node, or None if it was never listed.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        instance = self.instance_by_name.get(name)
        return None if instance is None else instance.zone

    def count_zone_peers(self):
        """Return the number of other listed nodes in this node's zone."""
        return sum(self.zone_of(name) == self.node.zone for name in self.listed)

    def has_neighbours_in(self, zone):
        """Return whether this node exchanges heartbeats with all nodes of a zone.

        Parameters
        ----------
        zone : str
            Name of the zone.
        """
        return zone == self.node.zone or zone not in self._ranked_by_zone

    def has_max_contacts(self, zone):
        """Return whether a zone has as many contacts as are allowed at once.

        Parameters
        ----------
        zone : str
            Another zone of the region.
        """
        limit = min(MAX_CONTACTS, len(self._ranked_by_zone.get(zone, ())))
        return len(self.contacts_by_zone.get(zone, ())) >= limit

    def in_region(self, name):
        """Return whether a node is in this node's region.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        return self._region_by_zone.get(self.zone_of(name)) == self.region

    def set_zones(self, zone_by_name):
        """Set the zones of all regions.

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
        self.rebuild()

    def set_listed(self, nodes, keep):
        """Set the nodes of a new list.

        Parameters
        ----------
        nodes : dict of Instance
            Listed nodes by name, without the node itself.
        keep : callable
            Whether to keep a node, given by name, that is no longer listed.
        """
        old = self.instance_by_name
        kept = {name: old[name] for name in old if name not in nodes and keep(name)}
        self.instance_by_name = {**kept, **nodes}
        self.listed = frozenset(nodes)
        self.rebuild()

    def forget(self, name):
        """Drop a node that is neither listed nor heard.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        if self.instance_by_name.pop(name, None) is not None:
            self.rebuild()

    def rebuild(self):
        """Select the neighbours, and rank the nodes of other zones and regions."""
        self.version += 1
        node, instances = self.node, self.instance_by_name.values()
        zone_by_name = {
            instance.name: instance.zone
            for instance in instances
            if self._region_by_zone.get(instance.zone) == self.region
        }
        self.neighbours = choose_neighbours(node.name, node.zone, zone_by_name)
        by_zone, by_region = {}, {}
        for instance in instances:
            region = self._region_by_zone.get(instance.zone, UNKNOWN_REGION)
            if region != self.region:
                by_region.setdefault(region, []).append(instance.name)
            elif instance.name not in self.neighbours:
                by_zone.setdefault(instance.zone, []).append(instance.name)
        self._ranked_by_zone = _rank_all(node.name, by_zone)
        self._ranked_by_region = _rank_all(node.name, by_region)

    def update_contacts(self, hears, is_unresponsive, include_other_regions):
        """Select the contacts in other zones and regions.

        Parameters
        ----------
        hears, is_unresponsive : callable
            See `choose_contacts`.
        include_other_regions : bool
            Whether to select contacts in other regions.
        """
        contacts = {
            zone: choose_contacts(ranked, hears, is_unresponsive)
            for zone, ranked in self._ranked_by_zone.items()
        }
        remote = []
        for region, ranked in self._ranked_by_region.items():
            if include_other_regions or region == UNKNOWN_REGION:
                remote += choose_contacts(ranked, hears, is_unresponsive)
        if contacts != self.contacts_by_zone or remote != self.remote_contacts:
            self.contacts_by_zone, self.remote_contacts = contacts, remote
            self.version += 1


def _rank_all(key, group):
    return {name: rank(key, dict.fromkeys(group[name], 1.0)) for name in sorted(group)}
