"""The project's native interface: chats, services, listed instances and orders."""

import asyncio

from peridotcove.background import restarting
from peridotcove.callers.server import CallerGateway
from peridotcove.callers.server import make_server as make_caller_server
from peridotcove.chat_router import ChatRouter
from peridotcove.continuation import ContinuationCodec
from peridotcove.endpoints.engine_client import EngineClient
from peridotcove.endpoints.order_client import OrderClient
from peridotcove.endpoints.service_client import ServiceClient
from peridotcove.interfaces import Interface, interfaces
from peridotcove.key_derivation import (
    CONTINUATION_PURPOSE,
    TICKET_PURPOSE,
    derive_key,
)
from peridotcove.load_poller import LoadPoller
from peridotcove.nodes.rate_limit_messages import ReportUsage, ShareRates
from peridotcove.nodes.ticketed_call_messages import (
    HandOverTickets,
    RunTicketed,
    TicketedAnswer,
    TicketsHeld,
    TicketsTaken,
)
from peridotcove.orders import OrderIssuer
from peridotcove.publisher.client import PlatformClient
from peridotcove.publisher.watch import watch_instances
from peridotcove.rate_limit_sync import RateLimitSync
from peridotcove.rate_limits import (
    REPORT_INTERVAL_MS,
    URGENT_REPORT_INTERVAL_MS,
    EntryRateLimiter,
    HomeRateLimiter,
)
from peridotcove.rendezvous import rank
from peridotcove.residency import find_region_limit, may_pass_through
from peridotcove.service_router import ServiceRouter
from peridotcove.ticket_authority import TicketAuthority
from peridotcove.ticketed_call_coordinator import TicketedCallCoordinator
from peridotcove.ticketed_call_events import TicketedCallEvents
from peridotcove.ticketed_call_executor import TicketedCallExecutor

ENGINE_POLL_INTERVAL_MS = 250
TICKETED_CALL_MESSAGES = (
    RunTicketed,
    TicketedAnswer,
    HandOverTickets,
    TicketsTaken,
    TicketsHeld,
)


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

    def wire(self):
        """Create the routers of chats and services, tickets, rate limits and orders."""
        node = self.node
        self.service_client = ServiceClient(answer_memory=node.answer_memory)
        self._wire_rate_limits()
        self._wire_tickets()
        self._wire_routers()
        self.load_poller = LoadPoller(
            node.clock,
            self.service_client,
            node.lease_server,
            node.count_control_bytes,
        )
        self.order_issuer = OrderIssuer(node.clock, node.rng)
        self.order_client = OrderClient(self.order_issuer, self.service_client)

    def _wire_rate_limits(self):
        node = self.node
        self.entry_limiter = EntryRateLimiter(node.clock)
        home_limiter = HomeRateLimiter(node.clock)
        self.rate_limit_sync = RateLimitSync(
            node.name, node.fleet, node.links, self.entry_limiter, home_limiter
        )
        kinds = (ReportUsage, ShareRates)
        node.add_message_handlers(
            dict.fromkeys(kinds, self.rate_limit_sync.handle_message)
        )

    def _wire_tickets(self):
        node = self.node
        secret = derive_key(node.settings.secret.read("secret"), TICKET_PURPOSE)
        self.ticket_authority = TicketAuthority(
            node.name, node.incarnation, secret, node.clock
        )
        self.call_coordinator = TicketedCallCoordinator(
            self.ticket_authority, node.clock, self._may_forward
        )
        events = TicketedCallEvents(node.timeline)
        self.call_executor = TicketedCallExecutor(
            self.call_coordinator, node.links, self._run_ticketed, events
        )
        node.add_message_handlers(
            dict.fromkeys(TICKETED_CALL_MESSAGES, self.call_executor.handle_message)
        )

    def _may_forward(self, peer, customer):
        """Return whether the body of a customer's call may be sent to a node."""
        fleet = self.node.fleet
        found = fleet.configuration.customer_by_name.get(customer)
        limit = find_region_limit(fleet.configuration, customer=found)
        return may_pass_through(fleet.configuration, fleet.zone_of(peer), limit)

    async def _run_ticketed(self, call):
        return await self.service_router.run_ticketed(call)

    def _wire_routers(self):
        node, settings = self.node, self.node.settings
        secret = settings.secret.read("secret")
        continuations = ContinuationCodec(
            derive_key(secret, CONTINUATION_PURPOSE), node.clock
        )
        self.chat_router = ChatRouter(
            node.name,
            settings.zone,
            node.fleet,
            node.lease_client,
            node.endpoint_states,
            EngineClient(node.streaming_client, settings.limits),
            self.entry_limiter,
            continuations,
            node.clock,
            node.rng,
            node.metrics,
            node.timeline,
        )
        self.service_router = ServiceRouter(
            settings.zone,
            node.fleet,
            node.endpoint_states,
            self.service_client,
            self.entry_limiter,
            settings.limits,
            node.rng,
            node.metrics,
        )
        self.service_router.call_executor = self.call_executor

    def make_caller_server(self):
        """Return the HTTP server for callers, not yet listening."""
        node = self.node
        gateway = CallerGateway(
            node.fleet,
            self.chat_router,
            self.service_router,
            node.request_counter,
            node.drain,
            node.settings.limits,
            node.clock,
            node.metrics,
            node.timeline,
        )
        return make_caller_server(
            gateway, node.settings.limits, node.settings.tls, node.make_caller_group()
        )

    def background_jobs(self):
        """Return coroutines that report usage, poll engines and watch the instances."""
        node = self.node
        return [
            _report_usage(self),
            _poll_engines(self.load_poller),
            watch_instances(
                node.configuration_client, node.clock, node.rng, node.update_instances
            ),
        ]

    def tick(self):
        """Expire tickets, read engine states and send due orders.

        Orders are skipped while the node's view of the members is stale and while it
        drains.
        """
        node = self.node
        self.call_executor.tick()
        self.ticket_authority.expire()
        if node.control.membership.fresh() and node.drain.ready:
            engine_by_name = node.fleet.configuration.engine_by_name
            self.order_client.tick(engine_by_name)

    def apply_configuration(self, configuration):
        """Apply the configuration that came into force.

        Parameters
        ----------
        configuration : Configuration
            The configuration.
        """
        self.ticket_authority.ticket_ms = configuration.bounds.ticket_ms
        self.update_owned_engines()

    def update_owned_engines(self):
        """Update the order issuer with the owned engines and their configuration."""
        self.order_issuer.set_configuration(
            self.node.fleet.configuration, self.node.owned_engines()
        )

    def set_live_instances(self, names):
        """Set which of the listed instances are live.

        Parameters
        ----------
        names : list of str
            Names of the instances.
        """
        self.order_issuer.set_listed(names)

    def handle_peer_joined(self, peer):
        """Announce the ledgers that this node holds to a node that joined.

        Parameters
        ----------
        peer : str
            Name of the node.
        """
        self.node.send_all(self.call_coordinator.announce_held_ledgers(peer))

    def count_running(self):
        """Return the number of ticketed calls in progress."""
        return self.ticket_authority.count_running()

    def hand_over(self):
        """Transfer this node's tickets to another live node, if there is one."""
        node = self.node
        peers = node.peers()
        ranked_peers = rank(f"tickets of {node.name}", dict.fromkeys(peers, 1.0))
        peer_by_name = node.control.membership.peer_by_name
        for name in ranked_peers:
            if name in peer_by_name and peer_by_name[name].incarnation:
                incarnation = peer_by_name[name].incarnation
                node.send_all(self.call_coordinator.hand_over(name, incarnation, peers))
                return

    def is_handed_over(self):
        """Return whether the transfer of the tickets has ended."""
        return not self.call_coordinator.count_pending()

    def close(self):
        """Close the connections that only this interface uses."""
        self.service_client.close()


@restarting
async def _report_usage(interface):
    elapsed_ms = 0
    while True:
        await asyncio.sleep(URGENT_REPORT_INTERVAL_MS / 1000)
        elapsed_ms += URGENT_REPORT_INTERVAL_MS
        if elapsed_ms >= REPORT_INTERVAL_MS:
            interface.rate_limit_sync.tick()
            elapsed_ms = 0
        elif interface.entry_limiter.urgent_customers:
            interface.rate_limit_sync.tick(urgent_only=True)


@restarting
async def _poll_engines(poller):
    while True:
        polls = [poller.poll_engine(*pair) for pair in poller.pop_due_engines()]
        await asyncio.gather(*polls, return_exceptions=True)
        await asyncio.sleep(ENGINE_POLL_INTERVAL_MS / 1000)
