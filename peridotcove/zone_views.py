"""Which nodes of the region's other zones are live, as told by their own zones."""

import xxhash
from attrs import define, field, frozen

from peridotcove.nodes.membership_messages import LEAVING

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
