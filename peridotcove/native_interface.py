"""The project's native interface: chats, services, listed instances and orders."""

import asyncio

from peridotcove.callers.server import CallerGateway
from peridotcove.callers.server import make_server as make_caller_server
from peridotcove.interfaces import Interface, interfaces
from peridotcove.publisher.client import PlatformClient
from peridotcove.publisher.watch import watch_instances
from peridotcove.rate_limits import REPORT_INTERVAL_MS, URGENT_REPORT_INTERVAL_MS

ENGINE_POLL_INTERVAL_MS = 250


@interfaces.register("own")
class NativeInterface(Interface):
    """Interface with the common chat API; a platform service lists the instances."""

    def make_configuration_client(self, settings):
        """Return the client of the configuration service.

        Parameters
        ----------
        settings : Settings
            Settings of the node.
        """
        return PlatformClient(settings.platform, settings.node)

    def make_caller_server(self):
        """Return the HTTP server for callers, not yet listening."""
        node = self.node
        gateway = CallerGateway(
            node.fleet,
            node.chat_router,
            node.service_router,
            node.request_counter,
            node.drain,
            node.settings.limits,
            node.clock,
            node.metrics,
            node.timeline,
        )
        return make_caller_server(gateway, node.settings.limits, node.settings.tls)

    def background_jobs(self):
        """Return coroutines that report usage, poll engines and watch the instances."""
        node = self.node
        return [
            _report_usage(node),
            _poll_engines(node.load_poller),
            watch_instances(
                node.configuration_client, node.clock, node.rng, node.update_instances
            ),
        ]

    def tick(self):
        """Read engine states and send due orders.

        Skipped while the node's view of the members is stale and while it drains.
        """
        node = self.node
        if node.control.membership.fresh() and node.drain.ready:
            engine_by_name = node.fleet.configuration.engine_by_name
            node.order_client.tick(engine_by_name)


async def _report_usage(node):
    elapsed_ms = 0
    while True:
        await asyncio.sleep(URGENT_REPORT_INTERVAL_MS / 1000)
        elapsed_ms += URGENT_REPORT_INTERVAL_MS
        if elapsed_ms >= REPORT_INTERVAL_MS:
            node.rate_limit_sync.tick()
            elapsed_ms = 0
        elif node.entry_limiter.urgent_customers:
            node.rate_limit_sync.tick(urgent_only=True)


async def _poll_engines(poller):
    while True:
        polls = [poller.poll_engine(*pair) for pair in poller.pop_due_engines()]
        await asyncio.gather(*polls, return_exceptions=True)
        await asyncio.sleep(ENGINE_POLL_INTERVAL_MS / 1000)
