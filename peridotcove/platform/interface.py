"""Connects a node to the users' platform: clients, servers, store and settings."""

import asyncio

from peridotcove.background import restarting
from peridotcove.cache_watcher import MIN_OWNERSHIP_MS, CacheWatcher
from peridotcove.callers.listening import listen
from peridotcove.clock import MS_PER_S
from peridotcove.configuration_reader import ReadPolicy
from peridotcove.discovery import Discovery
from peridotcove.exceptions import InvalidSettings, ProtocolError
from peridotcove.forwarding import Forwarder
from peridotcove.host_route_gateway import HostRouteGateway
from peridotcove.interfaces import Interface, interfaces
from peridotcove.logs import get_logger
from peridotcove.nodes.membership_messages import ShareNodes
from peridotcove.platform.cache_reader import ServerCacheReader
from peridotcove.platform.configuration_client import StoreConfigurationClient
from peridotcove.platform.dialect import ServerDialect
from peridotcove.platform.ingress import Ingress, make_server
from peridotcove.platform.settings import read_platform_settings
from peridotcove.retry_budgets import RetryBudgets
from peridotcove.zone_evacuations import find_evacuated_engines

# Period in s between reads of the settings file, which may change without a signal.
SETTINGS_POLL_S = 1.0

log = get_logger("machine")


@interfaces.register("platform")
class PlatformInterface(Interface):
    """Interface for clients and servers of the platform; nodes are found by seeds.

    Parameters
    ----------
    node : Node
        Node that uses the interface.
    """

    # A response in time matters more than the load bound while owners are unreachable.
    grants_locally = True
    # Three readers for each zone tolerate the loss of two instances at once. The wait
    # of a call is shorter than the time after which an instance with a silent link is
    # considered unreachable. The first call is not delayed, because the store can
    # serve one call of each instance at the same time.
    read_policy = ReadPolicy(readers=3, watch_ms=2_000, start_ms=0)

    def __init__(self, node):
        super().__init__(node)
        node_name = node.control.node
        self.discovery = Discovery(node_name, node.clock, node.rng)
        self._closed = False
        self._seeds = node.settings.seeds
        self.discovery.set_seeds(self._seeds)
        store = node.settings.platform
        self.retry_budgets = RetryBudgets(store.retry_share, store.retry_extra)
        self._cache_reader = ServerCacheReader(
            node.capacity.page_bytes,
            node.answer_memory,
            lambda engine, notice: node.engine_notice_sync.handle_answer(
                engine, notice
            ),
        )
        self._cache_watcher = CacheWatcher(
            self._cache_reader, self._apply_cache_event, node.clock
        )

    def make_configuration_client(self, settings):
        """Return the client that reads the configuration from the platform's store.

        Parameters
        ----------
        settings : PlatformNodeSettings
            Settings of the node.
        """
        return StoreConfigurationClient(settings.platform)

    def make_caller_server(self):
        """Return the HTTP server for clients, not yet listening."""
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
            node.engine_notices,
            node.engine_notice_sync.handle_answer,
            node.lease_server.stream_origins,
            node.answer_memory,
        )
        gateway = HostRouteGateway(
            node.fleet,
            node.control.revisions,
            forwarder,
            node.request_counter,
            node.drain,
            node.clock,
            node.metrics,
            node.timeline,
        )
        self.ingress = Ingress(gateway)
        return make_server(self.ingress, node.settings.limits, node.make_caller_group())

    def background_jobs(self):
        """Start the metrics port; return the coroutine that polls the settings file."""
        metrics = self.node.settings.metrics
        listen(self.node.operator_server, metrics.host, metrics.port)
        self._update_instances()
        return [self._poll_settings()] if self.node.settings.file else []

    @restarting
    async def _poll_settings(self):
        while True:
            await asyncio.sleep(SETTINGS_POLL_S)
            self._reload_seeds()

    def reload(self):
        """Reload the seeds, which the platform changes when nodes join or leave."""
        if not self._reload_seeds():
            self._record_reload("SIGHUP; no seed changed")

    def _reload_seeds(self):
        """Apply changed seeds and return whether they changed."""
        try:
            settings = read_platform_settings(self.node.settings.file)
        except InvalidSettings as error:
            log.error(
                "invalid settings file; the previous settings stay in force: %s",
                error.exceptions,
            )
            return False
        if settings.seeds == self._seeds:
            return False
        self._seeds = settings.seeds
        self._record_reload("seeds changed")
        self.discovery.set_seeds(settings.seeds)
        self._update_links()
        return True

    def _record_reload(self, reason):
        inputs = {"seeds": list(self._seeds)}
        self.node.timeline.record("settings-reloaded", inputs, detail=reason)

    def presumed_live_nodes(self):
        """Return the nodes that peers report as live, while this node starts."""
        membership = self.node.control.membership
        return self.discovery.presumed_live_nodes(membership.reports_zone)

    def is_isolated(self):
        """Return whether this node has just started and its seeds have not answered."""
        return self.discovery.is_isolated()

    def tick(self):
        """Run discovery, and update retry budgets and watched caches."""
        # Unreachable nodes are counted, because they keep using their share.
        self.retry_budgets.set_node_count(len(self.discovery.instances()))
        hears = self.node.control.membership.hears
        self.node.send_all(self.discovery.tick(hears))
        self._watch_caches()

    def _find_watched_engines(self):
        if self.is_isolated():
            # The node owns all shards only in its own view. If all nodes of a fleet
            # read all caches at once, the engines reject most of the calls.
            return []
        engine_by_name = self.node.fleet.configuration.engine_by_name
        engines = [
            engine_by_name[name]
            for name in self.node.owned_engines()
            if name in engine_by_name and engine_by_name[name].shares_cache
        ]
        evacuated = set(find_evacuated_engines(self.node.fleet.configuration))
        engines = [engine for engine in engines if engine.name not in evacuated]
        pause_left_ms = self.node.engine_notices.pause_left_ms
        return [engine for engine in engines if not pause_left_ms(engine)]

    def _apply_cache_event(self, event):
        self.node.lease_server.apply_part_event(event)

    def update_owned_engines(self):
        """Watch the caches of the owned engines, once ownership has lasted enough."""
        self._watch_caches()
        loop = asyncio.get_running_loop()
        loop.call_later(MIN_OWNERSHIP_MS / MS_PER_S, self._watch_caches)

    def _watch_caches(self):
        if not self._closed:
            self._cache_watcher.set_engines(self._find_watched_engines())

    def close(self):
        """Close the connections that only this interface uses."""
        self._closed = True
        self._cache_watcher.close()
        self._cache_reader.close()

    def close_idle(self):
        """Stop accepting connections, and close idle ones."""
        self.node.caller_server.stop()
        self.ingress.close_idle()

    def receive(self, peer, message):
        """Handle a `ShareNodes` message; return whether the message was one.

        Parameters
        ----------
        peer : str
            Name of the sending node.
        message : object
            Message of `peridotcove.nodes`.
        """
        if not isinstance(message, ShareNodes):
            return False
        try:
            changed, outgoing = self.discovery.receive(peer, message)
        except ProtocolError as error:
            log.warning("node list from %s is invalid and ignored: %s", peer, error)
            return True
        if changed:
            inputs = {"nodes": sorted(self.discovery.known_by_name)}
            self.node.timeline.record("nodes-found", inputs, peer=peer)
            self._update_instances()
        self.node.send_all(outgoing)
        return True

    def _update_instances(self):
        self.node.update_instances(self.discovery.instances(), self.node.clock.now())
        self._update_links()

    def _update_links(self):
        self.node.links.set_peers(self.discovery.dial_targets())
