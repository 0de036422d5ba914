"""Leases between entry nodes and the owners of shards.

`LeaseClient` is the entry's side, `LeaseServer` the owner's. Both pass plain messages
through a `Network`, which may lose, delay or double them.
"""

import asyncio

from attrs import frozen

from peridotcove.dispatch import Dispatcher
from peridotcove.exceptions import LinkDown, RequestRefused
from peridotcove.logs import get_logger
from peridotcove.models import Grant, LeaseRequest
from peridotcove.nodes.messages import (
    AskLease,
    GiveLease,
    HoldLeases,
    QueueLease,
    RefuseLease,
    ReleaseLease,
    pack,
    unpack,
)
from peridotcove.prefixes import thin

ANSWER_MS = 500
PAUSE_MS = 100
MAX_OWNERS = 2
NOT_OWNER = "not-owner"
MOVED = "moved"
DEFAULT_PRIORITY = 1

log = get_logger("leases")


@frozen
class Held:
    """A lease that an entry holds."""

    shard: str
    owner: str
    engine: str
    customer: str


class LeaseClient:
    """Asks owners for leases and gives them back.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : Fleet
        The node's view.
    network : Network
        Links to the other nodes.
    server : LeaseServer
        This node's own side as an owner.
    clock : Clock
        Source of time.
    """

    def __init__(self, node, fleet, network, server, clock):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._server = server
        self._clock = clock
        self._future_by_id = {}
        self._queued_ids = set()
        self.held_by_id = {}

    async def ask(self, shard, request):
        """Return a grant for a request.

        Parameters
        ----------
        shard : str
            Name of the shard.
        request : LeaseRequest
            What is asked for.

        Raises
        ------
        RequestRefused
            If no owner grants it in time; the request did not run.
        """
        end_ms = self._clock.now() + request.deadline_ms
        while True:
            for owner in self._fleet.rank_owners(shard)[:MAX_OWNERS]:
                reply = await self._ask_owner(owner, shard, request, end_ms)
                if isinstance(reply, Grant):
                    held = Held(shard, owner, reply.engine, request.customer)
                    self.held_by_id[request.request_id] = held
                    return reply
                if reply is not None and reply.code not in (NOT_OWNER, MOVED):
                    raise _refuse(reply)
            if self._clock.now() + PAUSE_MS >= end_ms:
                raise RequestRefused(
                    "no-owner", "no node answers for this model", 503, 1000
                )
            await asyncio.sleep(PAUSE_MS / 1000)

    async def _ask_owner(self, owner, shard, request, end_ms):
        left = end_ms - self._clock.now()
        if left <= 0:
            return None
        future = asyncio.get_running_loop().create_future()
        request_id = request.request_id
        model = self._fleet.shard_by_name[shard].model
        self._future_by_id[request_id] = future
        try:
            self._send(owner, to_message(shard, model, request, left))
            return await self._wait(owner, future, request_id, left)
        except LinkDown:
            return None
        except asyncio.CancelledError:
            self._send_quietly(owner, ReleaseLease(request_id, "cancelled"))
            raise
        finally:
            self._future_by_id.pop(request_id, None)
            self._queued_ids.discard(request_id)

    async def _wait(self, owner, future, request_id, left):
        if owner == self._node:
            return await future
        step = min(left, ANSWER_MS)
        await asyncio.wait([future], timeout=step / 1000)
        queued = request_id in self._queued_ids
        while queued and not future.done() and left > 0 and owner in self._names():
            left -= step
            await asyncio.wait([future], timeout=step / 1000)
        if future.done():
            return future.result()
        self._send_quietly(owner, ReleaseLease(request_id, "cancelled"))
        return None

    def _names(self):
        return {item.name for item in self._fleet.nodes}

    def release(self, request_id, outcome, cached_blocks=-1):
        """Give a lease back.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        outcome : str
            ``"done"``, ``"failed"`` or ``"cancelled"``.
        cached_blocks : int
            Prefix blocks that the engine said it reused; -1 if it said nothing.
        """
        held = self.held_by_id.pop(request_id, None)
        if held is not None:
            message = ReleaseLease(request_id, outcome, cached_blocks)
            self._send_quietly(held.owner, message)

    def receive(self, peer, message):
        """Take an owner's answer; a late one is given back.

        Parameters
        ----------
        peer : str
            Name of the owner.
        message : GiveLease, QueueLease or RefuseLease
            The answer.
        """
        future = self._future_by_id.get(message.request_id)
        if isinstance(message, QueueLease):
            if future is not None:
                self._queued_ids.add(message.request_id)
        elif future is not None and not future.done():
            future.set_result(_from_message(message))
        elif isinstance(message, GiveLease):
            held = self.held_by_id.get(message.request_id)
            if held is None or held.owner != peer:
                lost = ReleaseLease(message.request_id, "cancelled")
                self._send_quietly(peer, lost)

    def announce(self):
        """Tell the owners of shards which leases this node holds."""
        leases_by_shard = {}
        for request_id, held in list(self.held_by_id.items()):
            owners = self._fleet.rank_owners(held.shard)
            if not owners:
                continue
            if held.owner != owners[0]:
                moved = Held(held.shard, owners[0], held.engine, held.customer)
                self.held_by_id[request_id] = moved
            item = [request_id, held.engine, held.customer]
            leases_by_shard.setdefault(held.shard, []).append(item)
        for shard in self._fleet.shard_by_name:
            owners = self._fleet.rank_owners(shard)
            if owners:
                leases = leases_by_shard.get(shard, [])
                self._send_quietly(owners[0], HoldLeases(shard, leases))

    def _send(self, owner, message):
        if owner == self._node:
            self._server.receive(self._node, message)
        else:
            self._network.send(owner, message)

    def _send_quietly(self, owner, message):
        try:
            self._send(owner, message)
        except LinkDown as error:
            log.info("a message to %s was not sent: %s", owner, error)


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

    Attributes
    ----------
    client : LeaseClient
        This node's own side as an entry.
    dispatcher_by_shard : dict
        A `Dispatcher` for each shard in use here.
    queued : asyncio.Event
        Set when a request begins to wait here.
    """

    def __init__(self, node, fleet, network, clock):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._clock = clock
        self._owed_by_id = {}
        self.queued = asyncio.Event()
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
            self._dispatcher(message.shard).hold(peer, leases)

    def _ask(self, peer, message):
        owners = self._fleet.rank_owners(message.shard)[:MAX_OWNERS]
        if message.shard not in self._fleet.shard_by_name or self._node not in owners:
            self._answer(peer, RefuseLease(message.request_id, NOT_OWNER, 0))
            return
        request = self._read(peer, message)
        self._owed_by_id[message.request_id] = (peer, message.shard)
        decisions = self._dispatcher(message.shard).ask(request)
        self._tell(decisions)
        if not any(item.request_id == message.request_id for item in decisions):
            self._answer(peer, QueueLease(message.request_id))
            self.queued.set()

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
            customer.priority if customer else DEFAULT_PRIORITY,
            message.chat_key,
            message.blocks,
        )

    def _release(self, message):
        _, shard = self._owed_by_id.pop(message.request_id, (None, None))
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

    def follow(self):
        """Take over what the node's view now says: shards, engines and owners."""
        for name, dispatcher in list(self.dispatcher_by_shard.items()):
            shard = self._fleet.shard_by_name.get(name)
            if shard is None or self._fleet.rank_owners(name)[:1] != [self._node]:
                del self.dispatcher_by_shard[name]
                self._tell(dispatcher.close())
                continue
            dispatcher.shard = shard
            self._tell(dispatcher.set_configuration(self._fleet.configuration))
        for name in self._fleet.shard_by_name:
            if self._fleet.rank_owners(name)[:1] == [self._node]:
                self._dispatcher(name)

    def loads(self):
        """Return the load of each shard that this node owns, for heartbeats."""
        dispatchers = self.dispatcher_by_shard
        return {name: int(item.load) for name, item in dispatchers.items()}

    def set_loads(self):
        """Let each shard here know the load of its model's other shards."""
        for name, dispatcher in self.dispatcher_by_shard.items():
            loads = self._fleet.loads_of(dispatcher.shard.model)
            others = [load for shard, load in loads.items() if shard != name]
            total = sum(load.total for load in others)
            dispatcher.set_others(total, sum(load.weight for load in others))

    @property
    def waiting(self):
        """Requests that wait for an engine here."""
        return sum(item.waiting for item in self.dispatcher_by_shard.values())

    def tick(self):
        """Send the decisions whose time has come."""
        for dispatcher in list(self.dispatcher_by_shard.values()):
            self._tell(dispatcher.tick())

    def drop_entry(self, entry):
        """Free what a dead entry node held.

        Parameters
        ----------
        entry : str
            Name of the node.
        """
        for dispatcher in list(self.dispatcher_by_shard.values()):
            self._tell(dispatcher.drop_entry(entry))
        for request_id, (peer, _) in list(self._owed_by_id.items()):
            if peer == entry:
                del self._owed_by_id[request_id]

    def _tell(self, decisions):
        for decision in decisions:
            entry, _ = self._owed_by_id.get(decision.request_id, (None, None))
            if isinstance(decision, Grant):
                message = GiveLease(
                    decision.request_id, decision.engine, decision.cached_blocks
                )
            else:
                self._owed_by_id.pop(decision.request_id, None)
                message = RefuseLease(
                    decision.request_id, decision.code, decision.retry_after_ms
                )
            if entry is not None:
                self._answer(entry, message)

    def _answer(self, entry, message):
        if entry == self._node:
            self.client.receive(self._node, message)
            return
        try:
            self._network.send(entry, message)
        except LinkDown as error:
            log.info("an answer to %s was not sent: %s", entry, error)


def to_message(shard, model, request, left_ms):
    """Return the message that asks for a lease.

    Parameters
    ----------
    shard, model : str
        Name of the shard, and the model that its engines serve.
    request : LeaseRequest
        What is asked for; its prefixes are thinned for the wire.
    left_ms : int
        Time in ms for which the request may still wait.
    """
    blocks = request.blocks or len(request.prefixes)
    prefixes = request.prefixes if request.blocks else thin(request.prefixes)
    return AskLease(
        request.request_id,
        shard,
        request.customer,
        "" if request.model == model else request.model,
        pack(prefixes),
        blocks,
        request.hint,
        left_ms,
        request.chat_key,
    )


def _from_message(message):
    if isinstance(message, GiveLease):
        return Grant(message.request_id, message.engine, message.cached_blocks)
    return message


def _refuse(reply):
    sentences = {
        "overloaded": "all engines of this model are busy",
        "deadline": "no engine came free in time",
        "concurrency": "this customer has too many requests in progress",
    }
    message = sentences.get(reply.code, "the request was refused")
    status = 429 if reply.code == "concurrency" else 503
    return RequestRefused(reply.code, message, status, reply.retry_after_ms)
