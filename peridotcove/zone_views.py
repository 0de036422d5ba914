"""Live nodes of the region's other zones, as reported by contacts there."""

import xxhash
from attrs import define, field, frozen

from peridotcove.nodes.membership_messages import LEAVING, AskView
from peridotcove.nodes.network import OutgoingMessage

# A view counts as current for this long after the last heartbeat from the zone.
ZONE_VIEW_EXPIRY_MS = 5_000
# Shortest time between two requests for the records of a zone.
REQUEST_RETRY_MS = 500


@frozen
class NodeRecord:
    """A live node, as reported by a node of its zone.

    Attributes
    ----------
    name : str
        Name of the node.
    incarnation : int
        Wall time in ms at which its process started.
    flags : int
        `LEAVING` or 0.
    """

    name: str
    incarnation: int
    flags: int = 0

    @property
    def leaving(self):
        """Whether the node is leaving."""
        return bool(self.flags & LEAVING)


def digest_records(records):
    """Return a short digest of records.

    Parameters
    ----------
    records : iterable of NodeRecord
        Records in any order; the digest doesn't depend on it.
    """
    lines = sorted(
        f"{record.name} {record.incarnation} {record.flags}" for record in records
    )
    return xxhash.xxh3_64_digest("\n".join(lines).encode())


@define
class ZoneView:
    """The live nodes of one other zone.

    Attributes
    ----------
    digest : bytes
        Digest of the records; empty before the first.
    records : tuple of NodeRecord
        Live nodes.
    shards : dict
        Load total by shard.
    heard_ms : int or None
        Time in ms of the last heartbeat from a contact in the zone.
    requested_ms : int or None
        Time in ms at which the records were last requested.
    """

    digest: bytes = b""
    records: tuple = ()
    shards: dict = field(factory=dict)
    heard_ms: int | None = None
    requested_ms: int | None = None

    def apply_heartbeat(self, message, now):
        """Apply a contact's heartbeat; return whether to request the records.

        Parameters
        ----------
        message : Heartbeat
            The heartbeat.
        now : int
            Time in ms.
        """
        self.heard_ms = now
        self.shards = message.shards
        if message.view == self.digest:
            return False
        if self.requested_ms is not None and now - self.requested_ms < REQUEST_RETRY_MS:
            return False
        self.requested_ms = now
        return True

    def set_records(self, records):
        """Replace the records, and compute their digest.

        Parameters
        ----------
        records : iterable of NodeRecord
            Live nodes of the zone.
        """
        self.records = tuple(records)
        self.digest = digest_records(self.records)

    def is_current(self, now):
        """Return whether a contact of the zone was heard within the expiry time.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.heard_ms is not None and now - self.heard_ms < ZONE_VIEW_EXPIRY_MS


class ZoneViews:
    """Views of the region's other zones.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    topology : Topology
        Contacts in each zone.
    heartbeats : HeartbeatMonitor
        Heartbeat state of the contacts.
    """

    def __init__(self, clock, topology, heartbeats):
        self.clock = clock
        self.topology = topology
        self.heartbeats = heartbeats
        self._view_by_zone = {}

    def current_views(self):
        """Return the views that are current."""
        now = self.clock.now()
        return [view for view in self._view_by_zone.values() if view.is_current(now)]

    def records(self):
        """Yield the record of every node in a current view."""
        for view in self.current_views():
            yield from view.records

    def has_view(self, zone):
        """Return whether the records of a zone are there and current.

        Parameters
        ----------
        zone : str
            Name of the zone.
        """
        view = self._view_by_zone.get(zone)
        return (
            view is not None
            and bool(view.records)
            and view.is_current(self.clock.now())
        )

    def is_informed(self, name):
        """Return whether a node is heard and itself hears a majority of its zone.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        hears = self.heartbeats.hears(name)
        return hears and not self.heartbeats.get_peer(name).minority

    def handle_heartbeat(self, name, message):
        """Handle a contact's heartbeat; return a request for records if one is due.

        Parameters
        ----------
        name : str
            Name of the sender.
        message : Heartbeat
            The heartbeat.

        Returns
        -------
        list of Outgoing
        """
        zone = self.topology.zone_of(name)
        if self._find_primary(zone) != name:
            return []
        view = self._view_by_zone.setdefault(zone, ZoneView())
        if not view.apply_heartbeat(message, self.clock.now()):
            return []
        return [OutgoingMessage(name, AskView(view.digest))]

    def handle_view(self, name, message):
        """Handle the records of a zone, if the sender is its primary contact.

        Parameters
        ----------
        name : str
            Name of the sender.
        message : View
            The records.
        """
        zone = self.topology.zone_of(name)
        if zone in self._view_by_zone and self._find_primary(zone) == name:
            records = (NodeRecord(*record) for record in message.records)
            self._view_by_zone[zone].set_records(records)

    def _find_primary(self, zone):
        # A contact that hears no majority of its zone would report live nodes as lost.
        # It is used only if all contacts that may be tried are like that.
        peers, names = self.heartbeats, self.topology.contacts_by_zone.get(zone, ())
        informed = [name for name in names if self.is_informed(name)]
        if informed or not self.topology.has_max_contacts(zone):
            return informed[0] if informed else None
        if not all(peers.hears(name) or peers.is_unresponsive(name) for name in names):
            return None
        return next((name for name in names if peers.hears(name)), None)
