"""Messages by which nodes learn of each other."""

from attrs import frozen

from peridotcove.nodes.messages import message

LEAVING = 1
REPLY_WANTED = 2
READS_FAIL = 4
MINORITY = 8


@message(20)
@frozen
class Heartbeat:
    """Sent to each neighbour and contact once a period, and as an answer.

    Attributes
    ----------
    incarnation : int
        Wall time in ms at which the sender's process started.
    sequence : int
        Number of the heartbeat on this link, from 1.
    ack : int
        Highest sequence that the sender has from the receiver; 0 for none.
    flags : int
        Sum of `LEAVING`, `REPLY_WANTED`, `READS_FAIL` and `MINORITY`.
    shards : dict
        Load total by shard: the sender's own, or its zone's towards other zones.
    unheard : list
        Names of neighbours that the sender does not hear.
    view : bytes
        Digest of the live nodes of the sender's zone, towards other zones.
    refused : int
        Revision that the sender has refused, if later than the one in force; else 0.
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
    """Tells a node which others the sender knows, where no list of them is published.

    Attributes
    ----------
    nodes : list
        Lists of name, host, port, zone, the age in ms of the last sign of life, and
        the power; the sender comes first.
    reply : bool
        Whether the receiver is to answer with those that it knows.
    """

    nodes: list
    reply: bool


@message(21)
@frozen
class AskView:
    """Asks for the live nodes of the receiver's zone.

    Attributes
    ----------
    digest : bytes
        Digest that the sender holds.
    """

    digest: bytes


@message(22)
@frozen
class View:
    """The live nodes of the sender's zone.

    Attributes
    ----------
    records : list
        Triples of name, incarnation and flags.
    """

    records: list
