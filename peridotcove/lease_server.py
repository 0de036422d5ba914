"""The owner's side of leases: passes what entries ask to the dispatchers of shards."""

import asyncio

from attrs import define, evolve

from peridotcove.dispatch import Dispatcher
from peridotcove.exceptions import LinkDown
from peridotcove.lease_client import MAX_OWNERS, NOT_OWNER
from peridotcove.logs import get_logger
from peridotcove.models import LeaseGrant, LeaseRequest, LifecycleStatus
from peridotcove.nodes.messages import (
    AskLease,
    GiveLease,
    QueueLease,
    RefuseLease,
    ReleaseLease,
    unpack,
)
from peridotcove.outlier_detection import OutlierDetector

DEFAULT_PRIORITY = 1

log = get_logger("leases")


@define
class Owed:
    """What an entry asked for, and the engine that it got.

    Attributes
    ----------
    entry, shard, engine : str
        Names; the engine is empty while the request waits.
    trace_id : bytes
        Id of the request in the log.
    """

    entry: str
    shard: str
    engine: str = ""
    trace_id: bytes = b""


class LeaseServer:
    """Answers entries for the shards that this node owns.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : Fleet
        The node's view.
    network : Network
        Links to the other nodes.
    clock : Clock
        Source of time.
    timeline : Timeline
        The node's events.

    Attributes
    ----------
    client : LeaseClient
        This node's own side as an entry.
    dispatcher_by_shard : dict
        A `Dispatcher` for each shard in use here.
    queued : asyncio.Event
        Set when a request begins to wait here.
    """

    def __init__(self, node, fleet, network, clock, timeline):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._timeline = timeline
        self._owed_by_id = {}
        self._health = OutlierDetector(clock)
        self._aside_by_shard = {}
        self.request_queued = asyncio.Event()
        self.client = None
        self.dispatcher_by_shard = {}

    def receive(self, peer, message):
        """Take a message of an entry.

        Parameters
        ----------
        peer : str
            Name of the entry.
        message : AskLease, ReleaseLease or HoldLeases
            The message.
        """
        if isinstance(message, AskLease):
            self._ask(peer, message)
        elif isinstance(message, ReleaseLease):
            self._release(message)
        elif message.shard in self._fleet.shard_by_name:
            leases = [tuple(item) for item in message.leases]
            self._tell(self._dispatcher(message.shard).set_held_leases(peer, leases))

    def _ask(self, peer, message):
        owners = self._fleet.rank_owners(message.shard)[:MAX_OWNERS]
        mine = self._node in owners or peer == self._node
        if message.shard not in self._fleet.shard_by_name or not mine:
            self._answer(peer, RefuseLease(message.request_id, NOT_OWNER, 0))
            return
        request = self._read(peer, message)
        trace_id = message.trace_id or message.request_id
        owed = Owed(peer, message.shard, trace_id=trace_id)
        self._owed_by_id[message.request_id] = owed
        decisions = self._dispatcher(message.shard).request_lease(request)
        self._tell(decisions)
        if not any(item.request_id == message.request_id for item in decisions):
            dispatcher = self.dispatcher_by_shard[message.shard]
            inputs = {"waiting": dispatcher.waiting, "load": dispatcher.load}
            self._record("lease-queued", trace_id, peer, inputs=inputs)
            self._answer(peer, QueueLease(message.request_id))
            self.request_queued.set()

    def _read(self, peer, message):
        customer = self._fleet.configuration.customer_by_name.get(message.customer)
        model = self._fleet.shard_by_name[message.shard].model
        return LeaseRequest(
            message.request_id,
            peer,
            message.customer,
            message.model or model,
            unpack(message.prefixes),
            message.hint,
            self._fleet.zone_of(peer),
            message.deadline_ms,
            _priority(message, customer),
            message.chat_key,
            message.blocks,
            tuple(message.avoid),
            tuple(message.part_ends),
        )

    def _release(self, message):
        owed = self._owed_by_id.pop(message.request_id, None)
        if owed is not None:
            self._record("release-received", owed.trace_id, owed.entry)
        shard = owed.shard if owed else None
        if owed and owed.engine and message.outcome != "cancelled":
            described = self._fleet.shard_by_name.get(shard)
            engines = described.engines if described else ()
            self._health.note(owed.engine, message.outcome, engines)
        dispatchers = self.dispatcher_by_shard
        chosen = [dispatchers[shard]] if shard in dispatchers else dispatchers.values()
        for dispatcher in list(chosen):
            decisions = dispatcher.release(
                message.request_id, message.outcome, message.cached_blocks
            )
            self._tell(decisions)

    def _dispatcher(self, shard):
        dispatcher = self.dispatcher_by_shard.get(shard)
        if dispatcher is None:
            entries = [one.name for one in self._fleet.nodes if one.name != self._node]
            dispatcher = Dispatcher(
                self._fleet.shard_by_name[shard],
                self._fleet.configuration,
                self._clock,
                entries,
            )
            self.dispatcher_by_shard[shard] = dispatcher
        return dispatcher

    def update_dispatchers(self):
        """Take over what the node's view now says: shards, engines and owners."""
        for name, dispatcher in list(self.dispatcher_by_shard.items()):
            shard = self._fleet.shard_by_name.get(name)
            if shard is None or self._fleet.rank_owners(name)[:1] != [self._node]:
                del self.dispatcher_by_shard[name]
                self._tell(dispatcher.close())
                continue
            dispatcher.shard = shard
            self._tell(dispatcher.set_configuration(self._fleet.configuration))
            self._aside_by_shard.pop(name, None)
        for name in self._fleet.shard_by_name:
            if self._fleet.rank_owners(name)[:1] == [self._node]:
                self._dispatcher(name)

    def load_by_shard(self):
        """Return the load of each shard that this node owns, for heartbeats."""
        return {
            name: int(dispatcher.load)
            for name, dispatcher in self.dispatcher_by_shard.items()
            if self._fleet.rank_owners(name)[:1] == [self._node]
        }

    def update_other_shard_loads(self):
        """Let each shard here know the load of its model's other shards."""
        for name, dispatcher in self.dispatcher_by_shard.items():
            loads = self._fleet.find_shard_loads(dispatcher.shard.model)
            others = [load for shard, load in loads.items() if shard != name]
            total = sum(load.total for load in others)
            dispatcher.set_other_shards_load(total, sum(load.weight for load in others))

    @property
    def waiting(self):
        """Requests that wait for an engine here."""
        return sum(item.waiting for item in self.dispatcher_by_shard.values())

    def tick(self):
        """Send the decisions whose time has come."""
        for name, dispatcher in list(self.dispatcher_by_shard.items()):
            self._set_aside(name, dispatcher)
            self._tell(dispatcher.tick())

    def _set_aside(self, name, dispatcher):
        aside = self._health.aside(dispatcher.shard.engines)
        if aside == self._aside_by_shard.get(name, frozenset()):
            return
        self._aside_by_shard[name] = aside
        inputs = {"shard": name, "engines": sorted(aside)}
        self._timeline.record("engines-aside", inputs)
        engine_by_name = self._fleet.configuration.engine_by_name
        engines = [
            evolve(engine_by_name[engine], status=LifecycleStatus.ON_ORDER)
            if engine in aside
            else engine_by_name[engine]
            for engine in dispatcher.shard.engines
            if engine in engine_by_name
        ]
        self._tell(dispatcher.set_engines(engines))

    def report(self, dispatcher, report):
        """Take an engine's report of its load.

        Parameters
        ----------
        dispatcher : Dispatcher
            Decisions for the engine's shard.
        report : LoadReport
            The report.
        """
        self._tell(dispatcher.apply_load_report(report))

    def drop_entry(self, entry):
        """Free what a dead entry node held.

        Parameters
        ----------
        entry : str
            Name of the node.
        """
        for dispatcher in list(self.dispatcher_by_shard.values()):
            self._tell(dispatcher.drop_entry(entry))
        for request_id, owed in list(self._owed_by_id.items()):
            if owed.entry == entry:
                del self._owed_by_id[request_id]

    def _tell(self, decisions):
        for decision in decisions:
            owed = self._owed_by_id.get(decision.request_id)
            if isinstance(decision, LeaseGrant):
                if owed is not None:
                    owed.engine = decision.engine
                message = GiveLease(
                    decision.request_id,
                    decision.engine,
                    decision.cached_blocks,
                    decision.source,
                )
            else:
                self._owed_by_id.pop(decision.request_id, None)
                message = RefuseLease(
                    decision.request_id, decision.code, decision.retry_after_ms
                )
            if owed is not None:
                given = isinstance(decision, LeaseGrant)
                kind = "lease-granted" if given else "lease-refused"
                detail = decision.engine if given else decision.code
                inputs = _inputs(decision)
                self._record(kind, owed.trace_id, owed.entry, detail, inputs)
                self._answer(owed.entry, message)

    def _record(self, kind, request_id, peer, detail="", inputs=None):
        self._timeline.record(
            kind, inputs, request_id=request_id, peer=peer, detail=detail
        )

    def _answer(self, entry, message):
        if entry == self._node:
            self.client.receive(self._node, message)
            return
        try:
            self._network.send(entry, message)
        except LinkDown as error:
            log.info("an answer to %s was not sent: %s", entry, error)


def _inputs(decision):
    if not isinstance(decision, LeaseGrant):
        return {"retry_after_ms": decision.retry_after_ms}
    return {
        "blocks": decision.blocks,
        "cached_blocks": decision.cached_blocks,
        "source": decision.source,
        "load": decision.load,
        "waiting": decision.waiting,
    }


def _priority(message, customer):
    if message.priority >= 0:
        return message.priority
    return customer.priority if customer else DEFAULT_PRIORITY
