"""Which nodes of the region's other zones are live, as told by their own zones."""

import xxhash
from attrs import define, field, frozen

from peridotcove.nodes.membership_messages import LEAVING, AskView
from peridotcove.nodes.network import Outgoing

ZONE_LOST_MS = 5_000
ASK_AGAIN_MS = 500


@frozen
class Record:
    """A live node, as its zone sees it.

    Attributes
    ----------
    name : str
        Name of the node.
    incarnation : int
        Start of its process in wall ms.
    flags : int
        `LEAVING` or 0.
    """

    name: str
    incarnation: int
    flags: int = 0

    @property
    def leaving(self):
        """Whether it says that it is leaving."""
        return bool(self.flags & LEAVING)


def digest_records(records):
    """Return a short digest of records.

    Parameters
    ----------
    records : iterable of Record
        Records in any order.
    """
    lines = sorted(f"{one.name} {one.incarnation} {one.flags}" for one in records)
    return xxhash.xxh3_64_digest("\n".join(lines).encode())


@define
class ZoneView:
    """The live nodes of one other zone.

    Attributes
    ----------
    digest : bytes
        Digest of the records; empty before the first.
    records : tuple of Record
        Live nodes.
    shards : dict
        Load total by shard.
    heard_ms : int or None
        Time of the last heartbeat from a contact there.
    asked_ms : int or None
        Time at which the records were last asked for.
    """

    digest: bytes = b""
    records: tuple = ()
    shards: dict = field(factory=dict)
    heard_ms: int | None = None
    asked_ms: int | None = None

    def hear(self, message, now):
        """Take a contact's heartbeat in; return whether to ask for the records.

        Parameters
        ----------
        message : Heartbeat
            What it sent.
        now : int
            Time in ms.
        """
        self.heard_ms = now
        self.shards = message.shards
        if message.view == self.digest:
            return False
        if self.asked_ms is not None and now - self.asked_ms < ASK_AGAIN_MS:
            return False
        self.asked_ms = now
        return True

    def replace(self, records):
        """Take the records of a contact.

        Parameters
        ----------
        records : iterable of Record
            Live nodes of its zone.
        """
        self.records = tuple(records)
        self.digest = digest_records(self.records)

    def current(self, now):
        """Return whether the zone was heard of late.

        Parameters
        ----------
        now : int
            Time in ms.
        """
        return self.heard_ms is not None and now - self.heard_ms < ZONE_LOST_MS


class ZoneViews:
    """The live nodes of the region's other zones.

    Parameters
    ----------
    clock : Clock
        Time in ms.
    layout : Layout
        Says who the contacts are.
    heartbeats : Heartbeats
        Says who is heard.
    """

    def __init__(self, clock, layout, heartbeats):
        self.clock = clock
        self.layout = layout
        self.heartbeats = heartbeats
        self._view_by_zone = {}

    def current(self):
        """Return the views of zones that were heard of late."""
        now = self.clock.now()
        return [view for view in self._view_by_zone.values() if view.current(now)]

    def records(self):
        """Yield the record of every node in a current view."""
        for view in self.current():
            yield from view.records

    def informed(self, name):
        """Return whether a node is heard and hears most of its own zone.

        Parameters
        ----------
        name : str
            Name of the node.
        """
        hears = self.heartbeats.hears(name)
        return hears and not self.heartbeats.peer(name).minority

    def hear(self, name, message):
        """Take the heartbeat of a contact; return the requests that follow.

        Parameters
        ----------
        name : str
            Name of the sender.
        message : Heartbeat
            What it sent.
        """
        zone = self.layout.zone(name)
        if self._find_primary(zone) != name:
            return []
        view = self._view_by_zone.setdefault(zone, ZoneView())
        if not view.hear(message, self.clock.now()):
            return []
        return [Outgoing(name, AskView(view.digest))]

    def take(self, name, message):
        """Take a contact's view of its zone.

        Parameters
        ----------
        name : str
            Name of the sender.
        message : View
            What it sent.
        """
        zone = self.layout.zone(name)
        if zone in self._view_by_zone and self._find_primary(zone) == name:
            records = (Record(*record) for record in message.records)
            self._view_by_zone[zone].replace(records)

    def _find_primary(self, zone):
        # One that is cut off from its own zone would call the others there dead.
        beats, names = self.heartbeats, self.layout.contacts_by_zone.get(zone, ())
        informed = [name for name in names if self.informed(name)]
        if informed or not self.layout.tried_enough(zone):
            return informed[0] if informed else None
        if not all(beats.hears(name) or beats.gave_up(name) for name in names):
            return None
        return next((name for name in names if beats.hears(name)), None)
