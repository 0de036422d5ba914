"""Events that membership reports to the node."""

from attrs import frozen


@frozen
class NodeJoined:
    """A node, or a new process of it, is believed live.

    Attributes
    ----------
    node : str
        Name of the node.
    incarnation : int
        Wall time in ms at which its process started.
    """

    node: str
    incarnation: int


@frozen
class NodeLost:
    """A node, or its previous process, is no longer believed live.

    Attributes
    ----------
    node : str
        Name of the node.
    incarnation : int
        Wall time in ms at which that process started.
    """

    node: str
    incarnation: int


@frozen
class NodeLeaving:
    """A live node is leaving, according to itself or to the platform's list.

    Attributes
    ----------
    node : str
        Name of the node.
    """

    node: str


@frozen
class LinkSilent:
    """A link is silent, so another one is to be opened. The peer may still be live.

    Attributes
    ----------
    peer : str
        Name of the node at the other end.
    """

    peer: str


@frozen
class ProcessResumed:
    """The process runs again after a pause.

    Attributes
    ----------
    paused_ms : int
        Time in ms for which it did not run.
    """

    paused_ms: int
