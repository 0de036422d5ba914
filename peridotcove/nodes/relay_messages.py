"""Messages about connections to engines that lead through another node."""

from attrs import frozen

from peridotcove.nodes.messages import message


@message(50, since=2)
@frozen
class OpenRelay:
    """Requests a connection to an engine, which the sender then picks up.

    Attributes
    ----------
    token : bytes
        16 random bytes with which the sender's connection to this node begins.
    address : str
        Address of the engine, ``HOST:PORT``.
    """

    token: bytes
    address: str


@message(51, since=2)
@frozen
class RelayEnded:
    """Confirms that the engine has closed a relayed connection in order.

    The end of the connection between the nodes does not show this: it also ends if the
    relaying process is killed.

    Attributes
    ----------
    token : bytes
        Token of the connection.
    """

    token: bytes


@message(52, since=2)
@frozen
class RelayedNotice:
    """Tells a relaying node what an engine said of itself in an answer.

    To the engine, its answer went to the relaying node.

    Attributes
    ----------
    engine : str
        Name of the engine.
    incarnation : int
        Its incarnation.
    is_leaving : bool
        Whether it leaves.
    pause_ms : int
        Time in ms for which it wants no requests; 0 if it names none.
    """

    engine: str
    incarnation: int
    is_leaving: bool
    pause_ms: int
