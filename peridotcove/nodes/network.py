"""Interface through which the control logic sends messages to other nodes."""

from attrs import frozen


class Network:
    """Sends messages to other nodes and delivers received ones.

    Delivery is unreliable: messages may be lost, delayed, duplicated or reordered.

    Attributes
    ----------
    on_message : callable or None
        Called with the peer's name, a message and the revision of its frame.
    """

    def __init__(self):
        self.on_message = None

    def send(self, peer, message):
        """Send a message on the link to a peer.

        Parameters
        ----------
        peer : str
            Name of the node.
        message : object
            A message of `peridotcove.nodes.messages`.

        Raises
        ------
        LinkDown
            If the message can't be sent.
        """
        raise NotImplementedError


@frozen
class OutgoingMessage:
    """A message to be sent to a peer.

    Attributes
    ----------
    peer : str
        Name of the node.
    message : object
        A message of `peridotcove.nodes.messages`.
    """

    peer: str
    message: object
