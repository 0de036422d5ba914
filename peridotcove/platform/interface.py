"""Wires a node to the users' machines."""

import asyncio

from peridotcove.cache_watcher import CacheWatcher
from peridotcove.callers.server import listen
from peridotcove.configuration_reader import ReadPolicy
from peridotcove.discovery import Discovery
from peridotcove.exceptions import InvalidSettings, ProtocolError
from peridotcove.forwarding import Forwarder
from peridotcove.host_route_gateway import HostRouteGateway
from peridotcove.interfaces import Interface, interfaces
from peridotcove.logs import get_logger
from peridotcove.nodes.membership_messages import ShareNodes
from peridotcove.platform.cache_reader import ServerCaches
from peridotcove.platform.configuration_client import StorePublication
from peridotcove.platform.dialect import ServerDialect
from peridotcove.platform.ingress import Ingress, make_server
from peridotcove.platform.settings import read_platform_settings
from peridotcove.retry_budgets import RetryBudgets

# Period in s of looking at the settings file, which may change without a signal.
SETTINGS_S = 1.0

log = get_logger("machine")


@interfaces.register("platform")
class MachineInterface(Interface):
    """Clients and servers speak the platform's forms; nodes find each other by seeds.

    Parameters
    ----------
    node : Node
        The node.
    """

    # An answer in time counts for more here than the bound while owners are away.
    grants_locally = True
    # Three readers a zone outlast the loss of two machines at once; a call's wait is
    # below the time in which a machine counts as out of touch after a silent link.
    # The first call is not delayed: the store takes one of each machine at once.
    read_policy = ReadPolicy(readers=3, watch_ms=2_000, start_ms=0)

    def __init__(self, node):
        super().__init__(node)
        me = node.control.node
        self.discovery = Discovery(me, node.clock, node.rng)
        self._seeds = node.settings.seeds
        self.discovery.set_seeds(self._seeds)
        store = node.settings.platform
        self.retry_budgets = RetryBudgets(store.retry_share, store.retry_extra)
        self._cache_reader = ServerCaches()
        self._caches = CacheWatcher(self._cache_reader, self._apply_news, node.clock)

    def make_configuration_client(self, settings):
        """Return the client of the platform's store.

        Parameters
        ----------
        settings : MachineSettings
            Settings of the node.
        """
        return StorePublication(settings.platform)

    def make_caller_server(self):
        """Return the HTTP server towards clients, not yet listening."""
        node = self.node
        forwarder = Forwarder(
            node.name,
            node.settings.zone,
            node.fleet,
            node.lease_client,
            node.endpoint_states,
            node.streaming_client,
            ServerDialect(),
            node.clock,
            node.rng,
            node.metrics,
            node.timeline,
            self.retry_budgets,
        )
        desk = HostRouteGateway(
            node.fleet,
            node.control.revisions,
            forwarder,
            node.request_counter,
            node.drain,
            node.clock,
            node.metrics,
            node.timeline,
        )
        self.ingress = Ingress(desk)
        return make_server(self.ingress, node.settings.limits)

    def background_jobs(self):
        """Return the coroutine that looks at the settings file."""
        metrics = self.node.settings.metrics
        listen(self.node.operator_server, metrics.host, metrics.port)
        self._take_nodes()
        return [self._watch_settings()] if self.node.settings.file else []

    async def _watch_settings(self):
        while True:
            await asyncio.sleep(SETTINGS_S)
            self._read_settings()

    def reload(self):
        """Read the seeds again, which the platform changes while nodes come and go."""
        if not self._read_settings():
            self._note_reload("SIGHUP; no seed changed")

    def _read_settings(self):
        """Take seeds that changed and return whether there are any."""
        try:
            settings = read_platform_settings(self.node.settings.file)
        except InvalidSettings as error:
            log.error("the settings are kept as they were: %s", error.exceptions)
            return False
        if settings.seeds == self._seeds:
            return False
        self._seeds = settings.seeds
        self._note_reload("seeds changed")
        self.discovery.set_seeds(settings.seeds)
        self._follow()
        return True

    def _note_reload(self, reason):
        inputs = {"seeds": list(self._seeds)}
        self.node.timeline.record("settings-reloaded", inputs, detail=reason)

    def presumed_live_nodes(self):
        """Return the nodes that others have just heard, while this one starts."""
        return self.discovery.presumed_live_nodes()

    def tick(self):
        """Introduce this node to others, and divide the retries of the fleet."""
        # Nodes out of reach go on spending their part.
        self.retry_budgets.set_node_count(len(self.discovery.instances()))
        hears = self.node.control.membership.hears
        self.node.send_all(self.discovery.tick(hears))
        self._caches.set_engines(self._owned_caches())

    def _owned_caches(self):
        engine_by_name = self.node.fleet.configuration.engine_by_name
        return [
            engine_by_name[name]
            for name in self.node.owned_engines()
            if name in engine_by_name and engine_by_name[name].shares_cache
        ]

    def _apply_news(self, event):
        for dispatcher in self.node.lease_server.dispatcher_by_shard.values():
            if event.engine in dispatcher.shard.engines:
                dispatcher.apply_part_event(event)

    def close(self):
        """Close the connections that only this interface has."""
        self._caches.close()
        self._cache_reader.close()

    def close_idle(self):
        """Take no further connection, and close those without a request."""
        self.node.caller_server.stop()
        self.ingress.close_idle()

    def receive(self, peer, message):
        """Take what another node knows of the fleet.

        Parameters
        ----------
        peer : str
            Name of the sender.
        message : object
            A message between nodes.
        """
        if not isinstance(message, ShareNodes):
            return False
        try:
            news, outgoing = self.discovery.receive(peer, message)
        except ProtocolError as error:
            log.warning("nodes that %s names left out: %s", peer, error)
            return True
        if news:
            inputs = {"nodes": sorted(self.discovery.known_by_name)}
            self.node.timeline.record("nodes-found", inputs, peer=peer)
            self._take_nodes()
        self.node.send_all(outgoing)
        return True

    def _take_nodes(self):
        self.node.update_instances(self.discovery.instances(), self.node.clock.now())
        self._follow()

    def _follow(self):
        self.node.links.set_peers(self.discovery.dial_targets())
