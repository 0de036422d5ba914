"""Composition root of a node: creates its components and connects them."""

import logging
import random
import resource

from peridotcove.answer_memory import AnswerMemory
from peridotcove.build import find_build
from peridotcove.connection_memory.capacity import plan_capacity
from peridotcove.connection_memory.memory import ConnectionMemory
from peridotcove.connection_memory.server import ConnectionGroup
from peridotcove.control_plane import ControlPlane
from peridotcove.departed_engines import DepartedEngines
from peridotcove.drain import DrainController
from peridotcove.endpoint_state_sync import EndpointStateSync
from peridotcove.endpoint_states import EndpointStates
from peridotcove.endpoints.streaming_client import StreamingClient
from peridotcove.engine_notice_sync import EngineNoticeSync
from peridotcove.engine_notices import EngineNotices
from peridotcove.engine_paths import EnginePaths
from peridotcove.engine_retention import EngineRetention
from peridotcove.exceptions import LinkDown, RequestRefused
from peridotcove.fleet_view import FleetView
from peridotcove.interfaces import load_interface
from peridotcove.key_derivation import LINK_PURPOSE, derive_key
from peridotcove.lease_client import LeaseClient
from peridotcove.lease_server import LeaseServer
from peridotcove.logs import get_logger
from peridotcove.metrics import Metrics
from peridotcove.models import Instance, InstanceState
from peridotcove.nodes.handshake import Identity
from peridotcove.nodes.leaving_messages import AskLeaving, EndpointsLeaving
from peridotcove.nodes.links import LinkManager
from peridotcove.nodes.messages import (
    AskLease,
    GiveLease,
    HoldLeases,
    QueueLease,
    RefuseLease,
    ReleaseLease,
    ShareOrigins,
    ShareSuspects,
    ShareVersions,
)
from peridotcove.nodes.relay_client import RelayClient
from peridotcove.nodes.relay_messages import OpenRelay, RelayedNotice, RelayEnded
from peridotcove.nodes.relay_server import RelayServer
from peridotcove.operators.node_status import NodeStatus
from peridotcove.operators.server import make_server as make_operator_server
from peridotcove.request_counter import RequestCounter
from peridotcove.revision_events import RevisionEvents
from peridotcove.timeline import Timeline
from peridotcove.zone_evacuations import (
    find_evacuated_engines,
    find_evacuated_zones,
    find_unserved_models,
    withhold_evacuated,
)

log = get_logger("node")


class Node:
    """One node with all its components, not yet running.

    Parameters
    ----------
    settings : Settings
        Settings of the node.
    clock : Clock
        Source of time.

    Attributes
    ----------
    ports : tuple of int
        Ports for callers, nodes and operators; empty until the node listens.
    """

    def __init__(self, settings, clock):
        self.ports = ()
        self.settings = settings
        self.clock = clock
        self.rng = random.Random()
        self.name = settings.node
        self.request_counter = RequestCounter()
        self.drain = DrainController(clock, settings.limits.drain_ms)
        self.metrics = Metrics()
        self.fleet = FleetView(settings.region)
        self.endpoint_states = EndpointStates(clock)
        self.engine_retention = EngineRetention(clock)
        self.departed_engines = DepartedEngines(clock)
        self.engine_notices = EngineNotices(clock)
        self._keeps_lapsed_engines = False
        self._withholds_engines = False
        self._handler_by_type = {}
        self._wire_connection_memory()
        self._wire_control()
        self._wire_leaving()
        self._wire_links()
        self._wire_leases()
        self._wire_relays()
        self.streaming_client = StreamingClient(
            clock, self.relay_client, self.answer_memory
        )
        self.interface.wire()
        self._wire_servers()

    def _wire_connection_memory(self):
        limits = self.settings.limits
        open_files, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        self.capacity = plan_capacity(self.settings.machine, open_files)
        self.connection_memory = ConnectionMemory(
            self.clock, self.capacity, limits.least_bytes_per_s, limits.progress_ms
        )
        self.answer_memory = AnswerMemory(
            self.capacity.answer_bytes, self.connection_memory.set_answer_bytes
        )

    def make_caller_group(self):
        """Return the group of the connections of callers."""
        return self._make_group("callers", self.capacity.callers)

    def _make_group(self, port, limit):
        given_up = self.metrics.connections_given_up
        return ConnectionGroup(
            limit,
            self.connection_memory,
            self.clock,
            lambda reason: given_up.labels(port, reason).inc(),
        )

    def _wire_links(self):
        settings = self.settings
        identity = Identity(self.name, settings.zone, self.incarnation, find_build())
        secret = derive_key(settings.secret.read("secret"), LINK_PURPOSE)
        self.links = LinkManager(
            identity,
            secret,
            self.clock,
            on_traffic=self.count_control_bytes,
            max_unknown_peers=self.capacity.unknown_peers,
        )
        self.links.on_message = self._handle_message
        self.control.find_peer_protocol = self.links.peer_builds.find_protocol

    def count_control_bytes(self, way, kind, size):
        """Count bytes between nodes, or between a node and an engine, in the metrics.

        Parameters
        ----------
        way : str
            ``"in"`` or ``"out"``.
        kind : str
            Kind of the message.
        size : int
            Size on the wire in bytes.
        """
        self.metrics.control_bytes.labels(way, kind).inc(size)

    def _wire_control(self):
        settings = self.settings
        host, port = settings.nodes.host, settings.nodes.port
        own_instance = Instance(
            self.name, "node", host, port, settings.zone, power=settings.power
        )
        interface_class = load_interface(settings.INTERFACE)
        self.control = ControlPlane(
            own_instance,
            settings.region,
            self.clock,
            self.rng,
            interface_class.read_policy,
        )
        self.incarnation = self.control.membership.incarnation
        self.timeline = Timeline(
            self.clock,
            self.name,
            incarnation=self.incarnation,
            logger=logging.getLogger("peridotcove.events"),
        )
        self.revision_events = RevisionEvents(self.timeline)
        self.interface = interface_class(self)
        self.configuration_client = self.interface.make_configuration_client(settings)

    def _wire_leaving(self):
        self.engine_notice_sync = EngineNoticeSync(
            self.name,
            self.engine_notices,
            self.fleet,
            self.metrics,
            self.timeline,
            self.send_all,
            self.apply_configuration,
        )
        self.endpoint_state_sync = EndpointStateSync(
            self.endpoint_states,
            self.clock,
            self.rng,
            self._find_withheld_names,
        )

    def _wire_leases(self):
        fleet, links, clock = self.fleet, self.links, self.clock
        self.lease_server = LeaseServer(
            self.name,
            fleet,
            links,
            clock,
            self.timeline,
            self.control.is_current,
            self.metrics.record_first_event,
            self.metrics.refused_again.inc,
        )
        self.lease_client = LeaseClient(
            self.name,
            fleet,
            links,
            self.lease_server,
            clock,
            self.timeline,
            self.interface.grants_locally,
            self._report_notices,
        )
        self.lease_server.client = self.lease_client
        self._handler_by_type |= {
            AskLease: self.lease_server.receive,
            ReleaseLease: self.lease_server.receive,
            HoldLeases: self.lease_server.receive,
            ShareOrigins: self.lease_server.receive,
            ShareSuspects: self.lease_server.receive,
            ShareVersions: self.lease_server.receive,
            GiveLease: self.lease_client.receive,
            RefuseLease: self.lease_client.receive,
            QueueLease: self.lease_client.receive,
            AskLeaving: self._handle_leaving_message,
            EndpointsLeaving: self._handle_leaving_message,
        }

    def _wire_relays(self):
        paths = EnginePaths(self.clock, self.rng, self.settings.zone)
        self.relay_client = RelayClient(
            paths,
            self.links,
            lambda: [one for one in self.fleet.nodes if one.name != self.name],
            self.fleet.serving_addresses,
            self.timeline,
        )
        self.relay_server = RelayServer(
            self.links,
            self._check_relayed_address,
            lambda address: self.drain.ready and not paths.needs_relay(address),
            self.relay_client,
            self.request_counter,
            self.capacity.relays,
            self.connection_memory,
        )
        self.links.make_relay_protocol = self.relay_server.make_protocol
        self._handler_by_type |= {
            OpenRelay: self.relay_server.receive,
            RelayEnded: self.relay_client.receive,
            RelayedNotice: self.engine_notice_sync.receive_relayed,
        }

    def _check_relayed_address(self, address):
        """Raise a `RequestRefused` if a peer may not be connected to an engine."""
        engine = self.fleet.find_engine_at(address)
        if engine is None:
            raise RequestRefused("no-engine", f"no engine has the address {address}")
        self.endpoint_states.check_available(engine.name)
        self.engine_notices.check_available(engine)

    def add_message_handlers(self, handler_by_type):
        """Add handlers of messages that only one interface uses.

        Parameters
        ----------
        handler_by_type : dict of callable
            Handler by class of message, called with the sender and the message.
        """
        self._handler_by_type |= handler_by_type

    def _report_notices(self, owner):
        if owner != self.name:
            self.send_all(self.engine_notice_sync.make_report(owner))

    def _handle_leaving_message(self, peer, message):
        if isinstance(message, AskLeaving):
            self._report_notices(peer)
        elif message.incarnations:
            self.engine_notice_sync.receive(peer, message)
            return
        self.send_all(self.endpoint_state_sync.receive(peer, message))
        self.update_leaving_endpoints()

    def _wire_servers(self):
        self.caller_server = self.interface.make_caller_server()
        self.operator_server = make_operator_server(
            NodeStatus(
                self.drain,
                self.control,
                self.lease_server,
                self.metrics,
                self.timeline,
                self.engine_notices,
                self.fleet,
                self.links,
                self.connection_memory,
            ),
            self._make_group("operators", self.capacity.operators),
        )

    def _handle_message(self, peer, message, revision):
        handler = self._handler_by_type.get(type(message))
        if handler is not None:
            self.control.record_peer_revision(peer, revision)
            handler(peer, message)
        elif self.interface.receive(peer, message):
            self.control.record_peer_revision(peer, revision)
        else:
            self.revision_events.record_received(peer, message)
            self.send_all(self.control.receive(peer, message, revision))
        self.apply_configuration()

    def send_all(self, outgoing):
        """Send messages; messages to unreachable peers are dropped.

        Parameters
        ----------
        outgoing : list of OutgoingMessage
            Messages with their recipients.
        """
        for item in outgoing:
            try:
                self.links.send(item.peer, item.message)
                self.revision_events.record_sent(item.peer, item.message)
            except LinkDown as error:
                log.debug("message dropped: %s", error)

    def apply_configuration(self):
        """Apply the current configuration revision to all components, if it changed."""
        self.revision_events.record_refused(self.control.revisions.refused)
        current = self.control.revisions.current()
        retention_ended = (
            self._keeps_lapsed_engines and not self.engine_retention.active
        )
        hold_ended = self._withholds_engines and not self.departed_engines.active
        if (
            current.revision == self.links.revision
            and not retention_ended
            and not hold_ended
            and not self.engine_notices.pop_changed()
        ):
            return
        trusted = self.departed_engines.withhold_engines(current)
        self._withholds_engines = trusted is not current
        trusted = self.engine_notices.withhold_engines(trusted)
        trusted = self.engine_notices.mark_cold_engines(trusted)
        effective = self.engine_retention.retain_engines(
            self.fleet.configuration, trusted
        )
        self._keeps_lapsed_engines = effective is not trusted
        current = withhold_evacuated(effective)
        self.links.revision = current.revision
        self._record_evacuations(current)
        self._record_cold_engines(current)
        self._record_endpoint_changes(current)
        self.fleet.set_configuration(current)
        self.endpoint_states.set_configuration(current)
        self.fleet.set_leaving(self.endpoint_states.leaving())
        self.lease_server.update_dispatchers()
        self.interface.apply_configuration(current)
        self.revision_events.record_in_force(current.revision)
        log.info("configuration revision %d is in force", current.revision)

    def _find_withheld_names(self):
        """Return the engines of which other nodes learn otherwise that they leave."""
        evacuated = find_evacuated_engines(self.fleet.configuration)
        return [*self.engine_notice_sync.leaving_names(), *evacuated]

    def _record_evacuations(self, current):
        zones = find_evacuated_zones(current)
        if zones == find_evacuated_zones(self.fleet.configuration):
            return
        inputs = {"zones": zones, "unserved_models": find_unserved_models(current)}
        self.timeline.record("zones-evacuated", inputs, revision=current.revision)

    def _record_cold_engines(self, current):
        old = self.fleet.configuration.engine_by_name
        left_ms_by_name = {
            name: engine.cold_ms
            for name, engine in current.engine_by_name.items()
            if engine.cold_report
            and (name not in old or old[name].cold_report != engine.cold_report)
        }
        if left_ms_by_name:
            inputs = {"left_ms": left_ms_by_name}
            self.timeline.record("engines-cold", inputs, revision=current.revision)

    def _record_endpoint_changes(self, current):
        old = self.fleet.configuration.engine_by_name
        new = current.engine_by_name
        status_by_name = {
            name: new[name].status.value if name in new else "gone"
            for name in sorted(old.keys() | new.keys())
            if (old.get(name) and old[name].status)
            != (new.get(name) and new[name].status)
        }
        if status_by_name:
            self.timeline.record(
                "endpoints-changed",
                {"endpoints": status_by_name},
                revision=current.revision,
            )

    def update_live_nodes(self):
        """Recompute the live nodes and, if they changed, update the shard owners."""
        membership = self.control.membership
        instance_by_name = {
            instance.name: instance for instance in membership.live_nodes()
        }
        for instance in self.interface.presumed_live_nodes():
            if not membership.is_leaving(instance.name):
                instance_by_name.setdefault(instance.name, instance)
        if self.fleet.set_nodes(
            tuple(instance_by_name[name] for name in sorted(instance_by_name))
        ):
            self.timeline.record(
                "owners-changed",
                {
                    "nodes": [item.name for item in self.fleet.nodes],
                    "owned": self.owned_shards(),
                },
            )
            self.lease_server.update_dispatchers()
            self.interface.update_owned_engines()
            self.lease_client.announce_leases()

    def owned_shards(self):
        """Return the names of the shards whose highest-ranked owner is this node."""
        shards = self.fleet.shard_by_name
        rank_owners = self.fleet.rank_owners
        return [name for name in shards if rank_owners(name)[:1] == [self.name]]

    def owned_engines(self):
        """Return the names of the engines in the shards that this node owns."""
        shard_by_name = self.fleet.shard_by_name
        return [
            engine
            for shard in self.owned_shards()
            for engine in shard_by_name[shard].engines
        ]

    def update_instances(self, instances, requested_ms):
        """Apply the platform's list of instances.

        Parameters
        ----------
        instances : tuple of Instance
            The complete list.
        requested_ms : int
            Monotonic time in ms at which the list was requested.
        """
        self.control.membership.set_instances(instances, requested_ms)
        self.links.set_peers(self.control.membership.known_nodes())
        peers = self.peers()
        self.send_all(
            self.endpoint_state_sync.set_instances(instances, requested_ms, peers)
        )
        live = [item.name for item in instances if item.state is InstanceState.LIVE]
        self.interface.set_live_instances(live)
        self.update_leaving_endpoints()
        self.update_live_nodes()

    def update_leaving_endpoints(self):
        """Update the owned engines if the leaving endpoints changed."""
        if self.fleet.set_leaving(self.endpoint_states.leaving()):
            self.lease_server.update_dispatchers()
            self.interface.update_owned_engines()

    def peers(self):
        """Return the names of the other live nodes in the region."""
        live = self.control.membership.live_nodes()
        return [item.name for item in live if item.name != self.name]
