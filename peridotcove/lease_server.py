"""Owner's side of the lease protocol: passes messages to the dispatchers of shards."""

import asyncio

from attrs import define, evolve

from peridotcove.dispatch import Dispatcher
from peridotcove.engine_time.answer_times import AnswerTimes
from peridotcove.exceptions import LinkDown, ProtocolError
from peridotcove.lease_client import (
    LEASE_ANNOUNCE_INTERVAL_MS,
    MAX_OWNERS,
    NO_VERSION,
    NOT_OWNER,
    OWNERS_SILENT,
    QUARANTINED,
    UNKNOWN_ORIGIN,
)
from peridotcove.logs import get_logger
from peridotcove.models import LeaseGrant, LeaseRequest, LifecycleStatus
from peridotcove.nodes.messages import (
    EXCLUDED_MARK,
    AskLease,
    GiveLease,
    QueueLease,
    RefuseLease,
    ReleaseLease,
    ShareOrigins,
    ShareSuspects,
    ShareVersions,
    unpack_hashes,
)
from peridotcove.outlier_detection import OutlierDetector
from peridotcove.residency import NO_REGION, find_serving_regions
from peridotcove.stream_origin_sync import StreamOriginSync
from peridotcove.suspect_sync import SuspectSync, format_part

DEFAULT_PRIORITY = 1
# Time after which an engine of the version that began a stream may be back.
VERSION_RETRY_AFTER_MS = 1_000
# A node that isn't the first owner of a shard keeps its leases until no entry has asked
# it for this long. By then the entries have announced them to the first owner.
STANDBY_IDLE_MS = LEASE_ANNOUNCE_INTERVAL_MS

log = get_logger("leases")


@define
class TrackedRequest:
    """A lease request of an entry node, from its arrival to the release of its lease.

    Attributes
    ----------
    entry, shard, engine : str
        Names; `engine` is empty while the request waits.
    trace_id : bytes
        Id of the request in the event log.
    shared_parts : tuple of int
        Hashes of the parts of its prompt that other requests may have too.
    stream : int
        Hash of the id of the stream that it begins or takes up; 0 for none.
    """

    entry: str
    shard: str
    engine: str = ""
    trace_id: bytes = b""
    shared_parts: tuple = ()
    stream: int = 0


class LeaseServer:
    """Answers entry nodes for the shards that this node owns.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : FleetView
        This node's view of the fleet.
    network : Network
        Links to the other nodes.
    clock : Clock
        Source of time.
    timeline : Timeline
        Event log of this node.
    is_current : callable
        Whether this node would have heard of engines that joined a moment ago.
    on_first_event : callable
        Called with the expected and the seen time in ms to the first event of an
        answer.
    on_refused_again : callable
        Called when a request is refused that had been refused before.

    Attributes
    ----------
    client : LeaseClient
        This node's side of the protocol as an entry node.
    suspect_sync : SuspectSync
        Parts of prompts that are suspected to crash engines.
    stream_origins : StreamOriginSync
        Which software versions began streams.
    dispatcher_by_shard : dict
        `Dispatcher` by name of the shard, for the shards that this node serves.
    request_queued : asyncio.Event
        Set when a request starts to wait.
    """

    def __init__(
        self,
        node,
        fleet,
        network,
        clock,
        timeline,
        is_current=lambda: True,
        on_first_event=lambda expected_ms, seen_ms: None,
        on_refused_again=lambda: None,
    ):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._timeline = timeline
        self._on_first_event = on_first_event
        self._on_refused_again = on_refused_again
        self._tracked_by_id = {}
        self._outlier_detector = OutlierDetector(clock)
        self.suspect_sync = SuspectSync(node, fleet, network, clock, timeline)
        self._suspects = self.suspect_sync.suspects
        self.stream_origins = StreamOriginSync(node, fleet, network, clock, is_current)
        self._ejected_by_shard = {}
        self._owned_shards = frozenset()
        self._used_ms_by_shard = {}
        self.request_queued = asyncio.Event()
        self.client = None
        self.dispatcher_by_shard = {}

    def receive(self, peer, message):
        """Handle a message from an entry node.

        Parameters
        ----------
        peer : str
            Name of the entry node.
        message : AskLease, ReleaseLease, HoldLeases, or a ``Share...`` message
            The message.
        """
        if isinstance(message, AskLease):
            self._handle_ask(peer, message)
        elif isinstance(message, ReleaseLease):
            self._handle_release(message)
        elif isinstance(message, (ShareOrigins, ShareVersions)):
            self._receive_versions(peer, message)
        elif isinstance(message, ShareSuspects):
            self.suspect_sync.receive(peer, message)
            self._refuse_quarantined()
        elif message.shard in self._fleet.shard_by_name:
            leases = [tuple(item) for item in message.leases]
            self._send_decisions(
                self._dispatcher(message.shard).set_held_leases(peer, leases)
            )

    def _receive_versions(self, peer, message):
        try:
            self.stream_origins.receive(message)
        except ProtocolError as error:
            log.warning("origins of streams from %s are ignored: %s", peer, error)

    def inform_joined(self, node):
        """Tell a node that has started what owners know of prompts and streams.

        Parameters
        ----------
        node : str
            Name of the node.
        """
        self.suspect_sync.send_suspects(node)
        self.stream_origins.inform_joined(node)

    def _handle_ask(self, peer, message):
        owners = self._fleet.rank_owners(message.shard)[:MAX_OWNERS]
        is_owner = self._is_owner(message.shard) or peer == self._node
        if message.shard not in self._fleet.shard_by_name or not is_owner:
            self._send_answer(peer, RefuseLease(message.request_id, NOT_OWNER, 0))
            return
        request = self._make_lease_request(peer, message)
        trace_id = message.trace_id or message.request_id
        shared_parts = request.prefixes[:-1] if request.part_ends else ()
        tracked = TrackedRequest(
            peer,
            message.shard,
            trace_id=trace_id,
            shared_parts=shared_parts,
            stream=message.stream,
        )
        request = self._restrict_versions(request, tracked)
        if request is None:
            return
        self._tracked_by_id[message.request_id] = tracked
        is_first_owner = owners[:1] == [self._node]
        if self._refuse_if_quarantined(message.request_id, tracked, is_first_owner):
            return
        if self._node not in owners:
            keeps_zone = self._fleet.configuration.bounds.zone_traffic
            request = _ignore_caches(request, keeps_zone)
        dispatcher = self._dispatcher(message.shard)
        dispatcher.set_role(is_first_owner, self._node in owners)
        decisions = dispatcher.request_lease(request)
        self._send_decisions(decisions)
        if not any(item.request_id == message.request_id for item in decisions):
            dispatcher = self.dispatcher_by_shard[message.shard]
            inputs = {"waiting": dispatcher.waiting, "load": dispatcher.load}
            self._record("lease-queued", trace_id, peer, inputs=inputs)
            self._send_answer(peer, QueueLease(message.request_id))
            self.request_queued.set()

    def _restrict_versions(self, request, tracked):
        """Return the request without engines of other software versions than it allows.

        Returns None if it was refused, since it takes up a stream of which this node
        doesn't know the version, or since no engine of that version is in service.
        """
        versions = request.software_versions
        shard = self._fleet.shard_by_name[tracked.shard]
        if request.is_resumed and not versions:
            origin = self._find_origin(request, shard)
            if origin is None or origin.model != shard.model:
                is_owner = self._is_owner(shard.name)
                code = UNKNOWN_ORIGIN if is_owner else OWNERS_SILENT
                self._refuse(request, tracked, code)
                return None
            versions = (origin.software_version,)
        if not versions:
            return request
        engine_by_name = self._fleet.configuration.engine_by_name
        engines = [
            engine_by_name[one] for one in shard.engines if one in engine_by_name
        ]
        serving = [
            engine.name
            for engine in engines
            if engine.software_version in versions
            and engine.status is LifecycleStatus.IN_SERVICE
        ]
        if not serving:
            self._refuse(request, tracked, NO_VERSION)
            return None
        if request.regions and find_serving_regions(
            self._fleet.configuration, serving
        ).isdisjoint(request.regions):
            self._refuse(request, tracked, NO_REGION)
            return None
        others = [one.name for one in engines if one.software_version not in versions]
        return evolve(
            request,
            excluded=(*request.excluded, *others),
            software_versions=tuple(versions),
        )

    def _find_origin(self, request, shard):
        """Return the `StreamOrigin` of a stream, or None if it is not certain.

        A node that is asked since the owners are silent may be cut off: others may know
        of another software version.
        """
        if self._is_owner(shard.name) and not request.may_be_elsewhere:
            return self.stream_origins.find_origin(request.stream, [shard.model])
        return self.stream_origins.origins.find(request.stream)

    def _is_owner(self, shard):
        return self._node in self._fleet.rank_owners(shard)[:MAX_OWNERS]

    def _refuse(self, request, tracked, code):
        inputs = {
            "software_versions": list(request.software_versions),
            "regions": list(request.regions),
        }
        self._record("lease-refused", tracked.trace_id, tracked.entry, code, inputs)
        refusal = RefuseLease(request.request_id, code, VERSION_RETRY_AFTER_MS)
        self._send_answer(tracked.entry, refusal)

    def _make_lease_request(self, peer, message):
        customer = self._fleet.configuration.customer_by_name.get(message.customer)
        model = self._fleet.shard_by_name[message.shard].model
        return LeaseRequest(
            message.request_id,
            peer,
            message.customer,
            message.model or model,
            unpack_hashes(message.prefixes),
            message.hint,
            self._fleet.zone_of(peer),
            message.deadline_ms,
            _effective_priority(message, customer),
            message.chat_key,
            message.blocks,
            tuple(name for name in message.avoid if not name.startswith(EXCLUDED_MARK)),
            tuple(message.part_ends),
            excluded=tuple(
                name.removeprefix(EXCLUDED_MARK)
                for name in message.avoid
                if name.startswith(EXCLUDED_MARK)
            ),
            stream=message.stream,
            is_resumed=message.is_resumed,
            software_versions=tuple(message.software_versions),
            may_be_elsewhere=message.may_be_elsewhere,
            regions=tuple(message.regions),
            goal_ms=message.goal_ms,
        )

    def _handle_release(self, message):
        tracked = self._tracked_by_id.pop(message.request_id, None)
        if tracked is not None:
            self._record("release-received", tracked.trace_id, tracked.entry)
            if self.suspect_sync.record_outcome(message.request_id, message.outcome):
                self._refuse_quarantined()
        shard = tracked.shard if tracked else None
        if tracked and tracked.engine and message.outcome != "cancelled":
            known_shard = self._fleet.shard_by_name.get(shard)
            engines = known_shard.engines if known_shard else ()
            self._outlier_detector.record_outcome(
                tracked.engine, message.outcome, engines
            )
        times = AnswerTimes(
            message.first_ms,
            message.event_ms,
            message.slowness,
            message.slowness_age_ms,
        )
        dispatchers = self.dispatcher_by_shard
        chosen = [dispatchers[shard]] if shard in dispatchers else dispatchers.values()
        for dispatcher in list(chosen):
            decisions = dispatcher.release(
                message.request_id, message.outcome, message.cached_blocks, times
            )
            self._send_decisions(decisions)

    def _refuse_if_quarantined(self, request_id, tracked, may_probe):
        """Refuse a request with a quarantined part; return whether it was refused."""
        quarantine = self._suspects.find_quarantine(
            tracked.shared_parts, request_id, may_probe
        )
        if quarantine is None:
            return False
        del self._tracked_by_id[request_id]
        inputs = {
            "part": format_part(quarantine.part),
            "crashes": quarantine.crashes,
            "retry_after_ms": quarantine.left_ms,
        }
        self._record(
            "lease-refused", tracked.trace_id, tracked.entry, QUARANTINED, inputs
        )
        refusal = RefuseLease(request_id, QUARANTINED, quarantine.left_ms)
        self._send_answer(tracked.entry, refusal)
        return True

    def _refuse_quarantined(self):
        """Refuse the waiting requests that have a quarantined part."""
        for request_id, tracked in list(self._tracked_by_id.items()):
            if tracked.engine or not tracked.shared_parts:
                continue
            if self._refuse_if_quarantined(request_id, tracked, False):
                dispatcher = self.dispatcher_by_shard.get(tracked.shard)
                if dispatcher is not None:
                    self._send_decisions(dispatcher.release(request_id, "cancelled"))

    def _dispatcher(self, shard):
        self._used_ms_by_shard[shard] = self._clock.now()
        dispatcher = self.dispatcher_by_shard.get(shard)
        if dispatcher is None:
            dispatcher = Dispatcher(
                self._fleet.shard_by_name[shard],
                self._fleet.configuration,
                self._clock,
                self._other_nodes(),
                on_first_event=self._on_first_event,
                on_refused_again=self._on_refused_again,
            )
            self.dispatcher_by_shard[shard] = dispatcher
        return dispatcher

    def _other_nodes(self):
        return [one.name for one in self._fleet.nodes if one.name != self._node]

    def update_dispatchers(self):
        """Update the dispatchers to the fleet's current shards, engines and owners.

        The dispatcher of a shard that another node owns keeps its leases, because
        entries still ask this node while that owner does not answer.
        """
        self.stream_origins.update()
        owned = frozenset(
            name
            for name in self._fleet.shard_by_name
            if self._fleet.rank_owners(name)[:1] == [self._node]
        )
        previously_owned, self._owned_shards = self._owned_shards, owned
        for name, dispatcher in list(self.dispatcher_by_shard.items()):
            shard = self._fleet.shard_by_name.get(name)
            if shard is None:
                self._close_dispatcher(name)
                continue
            if name in previously_owned - owned:
                self._send_decisions(dispatcher.close())
            elif name in owned - previously_owned:
                dispatcher.start_recovery(self._other_nodes())
            dispatcher.shard = shard
            self._send_decisions(
                dispatcher.set_configuration(self._fleet.configuration)
            )
            self._ejected_by_shard.pop(name, None)
        for name in owned:
            self._dispatcher(name)

    def _close_dispatcher(self, shard):
        dispatcher = self.dispatcher_by_shard.pop(shard)
        inputs = {
            "shard": shard,
            "leases": dispatcher.lease_count,
            "waiting": dispatcher.waiting,
        }
        self._timeline.record("dispatcher-closed", inputs)
        self._send_decisions(dispatcher.close())

    def _close_idle_dispatchers(self):
        now = self._clock.now()
        for name in self.dispatcher_by_shard.keys() - self._owned_shards:
            used_ms = self._used_ms_by_shard.get(name)
            if used_ms is None or now - used_ms >= STANDBY_IDLE_MS:
                self._close_dispatcher(name)

    def load_by_shard(self):
        """Return the load of each shard that this node owns, to send in heartbeats."""
        return {
            name: int(dispatcher.load)
            for name, dispatcher in self.dispatcher_by_shard.items()
            if self._fleet.rank_owners(name)[:1] == [self._node]
        }

    def update_other_shard_loads(self):
        """Update each dispatcher with the load of its model's other shards."""
        for name, dispatcher in self.dispatcher_by_shard.items():
            loads = self._fleet.find_shard_loads(dispatcher.shard.model)
            others = [load for shard, load in loads.items() if shard != name]
            total = sum(load.total for load in others)
            dispatcher.set_other_shards_load(total, sum(load.weight for load in others))

    @property
    def waiting(self):
        """Number of requests that wait for an engine."""
        return sum(item.waiting for item in self.dispatcher_by_shard.values())

    def tick(self):
        """Update the ejected engines, and send the decisions that are due."""
        if self.suspect_sync.tick():
            self._refuse_quarantined()
        self.stream_origins.tick()
        self._close_idle_dispatchers()
        for name, dispatcher in list(self.dispatcher_by_shard.items()):
            self._update_ejected(name, dispatcher)
            self._send_decisions(dispatcher.tick())
            self._record_zone_changes(name, dispatcher)

    def _record_zone_changes(self, shard, dispatcher):
        for change in dispatcher.zones.pop_changes():
            inputs = {
                "shard": shard,
                "zone": change.zone,
                "may_leave": round(change.share, 3),
                "reason": change.reason,
                "previous_reason": change.previous_reason,
                "load": dispatcher.load,
                "waiting": dispatcher.waiting,
            }
            self._timeline.record("zone-share-changed", inputs)

    def _update_ejected(self, name, dispatcher):
        ejected = self._outlier_detector.ejected_engines(dispatcher.shard.engines)
        if ejected == self._ejected_by_shard.get(name, frozenset()):
            return
        self._ejected_by_shard[name] = ejected
        inputs = {"shard": name, "engines": sorted(ejected)}
        self._timeline.record("engines-aside", inputs)
        engine_by_name = self._fleet.configuration.engine_by_name
        engines = [
            evolve(engine_by_name[engine], status=LifecycleStatus.ON_ORDER)
            if engine in ejected
            else engine_by_name[engine]
            for engine in dispatcher.shard.engines
            if engine in engine_by_name
        ]
        self._send_decisions(dispatcher.set_engines(engines))

    def handle_load_report(self, dispatcher, report):
        """Handle an engine's report of its load.

        Parameters
        ----------
        dispatcher : Dispatcher
            Dispatcher of the engine's shard.
        report : LoadReport
            The report.
        """
        self._send_decisions(dispatcher.apply_load_report(report))

    def apply_part_event(self, event):
        """Apply an engine's cache event to the dispatcher of its shard.

        Parameters
        ----------
        event : CacheEvent
            The event; its hashes are those of prompt parts.
        """
        for dispatcher in list(self.dispatcher_by_shard.values()):
            if event.engine in dispatcher.shard.engines:
                self._send_decisions(dispatcher.apply_part_event(event))

    def drop_entry(self, entry):
        """Release all leases and requests of an entry node that is gone.

        Parameters
        ----------
        entry : str
            Name of the node.
        """
        for dispatcher in list(self.dispatcher_by_shard.values()):
            self._send_decisions(dispatcher.drop_entry(entry))
        for request_id, tracked in list(self._tracked_by_id.items()):
            if tracked.entry == entry:
                del self._tracked_by_id[request_id]
                self._suspects.record_outcome(request_id, "cancelled")

    def _send_decisions(self, decisions):
        for decision in decisions:
            tracked = self._tracked_by_id.get(decision.request_id)
            if isinstance(decision, LeaseGrant):
                if tracked is not None:
                    tracked.engine = decision.engine
                    engine_by_name = self._fleet.configuration.engine_by_name
                    engine = engine_by_name.get(decision.engine)
                    self.stream_origins.record(tracked.stream, engine)
                    self._suspects.record_grant(
                        decision.request_id, decision.engine, tracked.shared_parts
                    )
                message = GiveLease(
                    decision.request_id,
                    decision.engine,
                    decision.cached_blocks,
                    decision.source,
                )
            else:
                self._tracked_by_id.pop(decision.request_id, None)
                self._suspects.cancel_probe(decision.request_id)
                message = RefuseLease(
                    decision.request_id, decision.code, decision.retry_after_ms
                )
            if tracked is not None:
                is_grant = isinstance(decision, LeaseGrant)
                kind = "lease-granted" if is_grant else "lease-refused"
                detail = decision.engine if is_grant else decision.code
                inputs = _event_inputs(decision)
                inputs["rank"] = self._owner_rank(tracked.shard)
                self._record(kind, tracked.trace_id, tracked.entry, detail, inputs)
                self._send_answer(tracked.entry, message)

    def _owner_rank(self, shard):
        owners = self._fleet.rank_owners(shard)
        return owners.index(self._node) if self._node in owners else -1

    def _record(self, kind, request_id, peer, detail="", inputs=None):
        self._timeline.record(
            kind, inputs, request_id=request_id, peer=peer, detail=detail
        )

    def _send_answer(self, entry, message):
        if entry == self._node:
            self.client.receive(self._node, message)
            return
        try:
            self._network.send(entry, message)
        except LinkDown as error:
            log.info("lease answer to %s was not sent and is dropped: %s", entry, error)


def _event_inputs(decision):
    if not isinstance(decision, LeaseGrant):
        return {"retry_after_ms": decision.retry_after_ms}
    return {
        "blocks": decision.blocks,
        "cached_blocks": decision.cached_blocks,
        "source": decision.source,
        "load": decision.load,
        "waiting": decision.waiting,
        "backlog_ms": round(decision.backlog_ms),
        "expected_ms": round(decision.expected_ms),
    }


def _ignore_caches(request, keeps_zone):
    """Return a request that is placed by load and zone alone.

    While no owner answers, many nodes grant leases, and each knows only its own. Chosen
    for their caches, the same few engines would get the requests of all nodes.
    """
    zone = request.zone if keeps_zone else ""
    return evolve(
        request, prefixes=(), part_ends=(), blocks=0, hint="", chat_key=0, zone=zone
    )


def _effective_priority(message, customer):
    if message.priority >= 0:
        return message.priority
    return customer.priority if customer else DEFAULT_PRIORITY
