"""What a node notices about the other nodes."""

from attrs import frozen


@frozen
class NodeJoined:
    """A node is believed live.

    Attributes
    ----------
    node : str
        Its name.
    incarnation : int
        Wall time in ms at which its process started.
    """

    node: str
    incarnation: int


@frozen
class NodeLost:
    """A node, or its last process, is no longer believed live.

    Attributes
    ----------
    node : str
        Its name.
    incarnation : int
        Wall time in ms at which its process had started.
    """

    node: str
    incarnation: int


@frozen
class NodeLeaving:
    """A node says, or the list says, that it is leaving.

    Attributes
    ----------
    node : str
        Its name.
    """

    node: str


@frozen
class LinkSilent:
    """Nothing comes back on a link: open a second one. The peer may well be live.

    Attributes
    ----------
    peer : str
        Name of the node.
    """

    peer: str


@frozen
class ProcessResumed:
    """The process itself had not run for some time.

    Attributes
    ----------
    paused_ms : int
        Time in ms since it last ran.
    """

    paused_ms: int
