"""Interfaces that a node may serve: whom it reads from, and how callers speak.

The decisions between the two are the same for each interface.
"""

import importlib

from peridotcove.logs import get_logger
from peridotcove.registry import Registry

interfaces = Registry("interface")
log = get_logger("node")

MODULE_BY_NAME = {
    "own": "peridotcove.native_interface",
    "platform": "peridotcove.platform.interface",
}


class Interface:
    """What a node does by the interface that its settings name.

    Parameters
    ----------
    node : Node
        The node.

    Attributes
    ----------
    grants_locally : bool
        Whether the node decides about engines by itself while no owner answers.
    read_policy : Pace or None
        How many nodes read the service, and how long they wait; None for the usual.
    """

    grants_locally = False
    read_policy = None

    def __init__(self, node):
        self.node = node

    def make_configuration_client(self, settings):
        """Return the client that reads what operators publish.

        Parameters
        ----------
        settings : Settings
            Settings of the node.
        """
        raise NotImplementedError

    def make_caller_server(self):
        """Return the HTTP server towards callers, not yet listening."""
        raise NotImplementedError

    def background_jobs(self):
        """Return the coroutines that run as long as the node, besides the common."""
        raise NotImplementedError

    def presumed_live_nodes(self):
        """Return nodes that count as live though this one has not heard them yet."""
        return ()

    def tick(self):
        """Do the periodic work that only this interface needs."""
        raise NotImplementedError

    def reload(self):
        """Read again what settings may change while the node runs."""
        log.warning("SIGHUP changes nothing: settings are read at the start only")

    def close(self):
        """Close the connections that only this interface has."""

    def close_idle(self):
        """Take no further request from callers; those in progress go on."""

    def receive(self, peer, message):
        """Take a message between nodes that only this interface knows.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            The message.

        Returns
        -------
        bool
            Whether it was one.
        """
        return False


def find_interface(name):
    """Return the class of an interface; only its own module is imported.

    Parameters
    ----------
    name : str
        Name in the registry.
    """
    importlib.import_module(MODULE_BY_NAME[name])
    return interfaces.get(name)
