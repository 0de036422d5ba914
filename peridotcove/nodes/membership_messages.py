"""Messages for membership and node discovery."""

from attrs import frozen

from peridotcove.nodes.messages import message

LEAVING = 1
REPLY_WANTED = 2
READS_FAIL = 4
MINORITY = 8


@message(20)
@frozen
class Heartbeat:
    """Sent to each neighbour and contact once a period, and as a reply.

    Attributes
    ----------
    incarnation : int
        Wall time in ms at which the sender's process started.
    sequence : int
        Sequence number of the heartbeat on this link, from 1.
    ack : int
        Highest sequence number that the sender received from the receiver; 0 for none.
    flags : int
        Sum of `LEAVING`, `REPLY_WANTED`, `READS_FAIL` and `MINORITY`.
    shards : dict
        Total load by shard: of the sender's shards, or of all shards of its zone if
        the receiver is in another zone.
    unheard : list
        Names of neighbours whose heartbeats the sender does not receive.
    view : bytes
        Digest of the live nodes of the sender's zone, if the receiver is in another
        zone.
    refused : int
        Revision that the sender refused, if later than its revision in force; else 0.
    """

    incarnation: int
    sequence: int
    ack: int
    flags: int
    shards: dict
    unheard: list
    view: bytes = b""
    refused: int = 0


@message(10)
@frozen
class ShareNodes:
    """Lists the nodes that the sender knows, where no instance list is published.

    Attributes
    ----------
    nodes : list
        Lists of name, host, port, zone, time in ms since the node was last heard, and
        power; the sender comes first.
    reply : bool
        Whether the receiver is to reply with the nodes that it knows.
    count : int
        Number of nodes that the sender knows, itself included; 0 if it does not say.
    """

    nodes: list
    reply: bool
    count: int = 0


@message(21)
@frozen
class AskView:
    """Requests the live nodes of the receiver's zone.

    Attributes
    ----------
    digest : bytes
        Digest of the view that the sender holds.
    """

    digest: bytes


@message(22)
@frozen
class View:
    """Lists the live nodes of the sender's zone.

    Attributes
    ----------
    records : list
        Triples of name, incarnation and flags.
    """

    records: list
