"""Base class and registry of the interfaces to callers and to the platform.

An interface sets where the node reads its configuration and instances, and which
protocol its callers use. Routing is the same for all interfaces.
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
    """Base class of the part of a node that depends on its callers and platform.

    Parameters
    ----------
    node : Node
        The node.

    Attributes
    ----------
    grants_locally : bool
        Whether the node chooses engines by itself while no owner answers.
    read_policy : ReadPolicy or None
        How many nodes read the configuration service, and how long their reads wait;
        None for the defaults.
    """

    grants_locally = False
    read_policy = None

    def __init__(self, node):
        self.node = node

    def make_configuration_client(self, settings):
        """Return the client that reads the published configuration.

        Parameters
        ----------
        settings : Settings
            Settings of the node.
        """
        raise NotImplementedError

    def wire(self):
        """Create the parts that only this interface uses, and connect them.

        Called once, after the parts that all nodes have are connected.
        """

    def make_caller_server(self):
        """Return the HTTP server for callers, not yet listening."""
        raise NotImplementedError

    def background_jobs(self):
        """Return this interface's additional coroutines, which run until shutdown."""
        raise NotImplementedError

    def presumed_live_nodes(self):
        """Return nodes that count as live before a message from them has arrived."""
        return ()

    def is_isolated(self):
        """Return whether this node has just started and waits to hear of others."""
        return False

    def tick(self):
        """Run the periodic work of this interface."""
        raise NotImplementedError

    def apply_configuration(self, configuration):
        """Apply the configuration that came into force.

        Parameters
        ----------
        configuration : Configuration
            The configuration.
        """

    def update_owned_engines(self):
        """Handle a change of the engines in the shards that this node owns."""

    def set_live_instances(self, names):
        """Set which of the listed instances are live.

        Parameters
        ----------
        names : list of str
            Names of the instances.
        """

    def handle_peer_joined(self, peer):
        """Handle that a node was heard for the first time, or again.

        Parameters
        ----------
        peer : str
            Name of the node.
        """

    def count_running(self):
        """Return the calls in progress that `Node.request_counter` doesn't count."""
        return 0

    def hand_over(self):
        """Start to transfer state of this node to another one, during the shutdown."""

    def is_handed_over(self):
        """Return whether the transfer that `hand_over` started has ended."""
        return True

    def reload(self):
        """Handle SIGHUP; an interface that can't reload its settings logs that."""
        log.warning(
            "SIGHUP ignored: settings are read at startup only; restart the node"
        )

    def close(self):
        """Close the connections of this interface."""

    def close_idle(self):
        """Stop accepting requests of callers; requests in progress continue."""

    def receive(self, peer, message):
        """Handle a message between nodes that is specific to this interface.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            The message.

        Returns
        -------
        bool
            Whether the interface handles messages of this type.
        """
        return False


def load_interface(name):
    """Import the module of an interface and return its class.

    The modules of other interfaces are not imported.

    Parameters
    ----------
    name : str
        Name in the registry.
    """
    importlib.import_module(MODULE_BY_NAME[name])
    return interfaces.get(name)
