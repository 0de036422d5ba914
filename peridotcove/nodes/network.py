"""The interface between decisions and the links that carry their messages."""

from attrs import frozen


class Network:
    """Sends messages to other nodes and passes on what they send.

    Delivery is not certain: a message may be lost, late, twice or out of order.

    Attributes
    ----------
    on_message : callable or None
        Called with the peer's name, a message and the revision on its frame.
    """

    def __init__(self):
        self.on_message = None

    def send(self, peer, message):
        """Hand a message to the link to a peer.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            A message of `peridotcove.nodes.messages`.

        Raises
        ------
        LinkDown
            If there is no open link; nothing was sent.
        """
        raise NotImplementedError


@frozen
class OutgoingMessage:
    """A message that a decision wants sent.

    Attributes
    ----------
    peer : str
        Name of the node.
    message : object
        A message of `peridotcove.nodes.messages`.
    """

    peer: str
    message: object
