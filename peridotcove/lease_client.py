"""The entry's side of leases: asks owners, gives back, and tells new owners.

Messages pass through a `Network`, which may lose, delay or double them.
"""

import asyncio

from attrs import frozen

from peridotcove.exceptions import LinkDown, RequestRefused
from peridotcove.logs import get_logger
from peridotcove.models import LeaseGrant
from peridotcove.nodes.messages import (
    AskLease,
    GiveLease,
    HoldLeases,
    QueueLease,
    ReleaseLease,
    pack,
)
from peridotcove.prefix_hashes import sample_prefixes

# Longest wait in ms for an owner's answer: ten times the round trip between zones, and
# short against the time within which callers want an answer.
ANSWER_MS = 120
# Time in ms for which an owner that did not answer is asked after the others; lost
# nodes leave the rank within about twice that.
SILENT_MS = 1_000
PAUSE_MS = 100
MAX_OWNERS = 2
NOT_OWNER = "not-owner"
MOVED = "moved"

log = get_logger("leases")


@frozen
class HeldLease:
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
    timeline : Timeline
        The node's events.
    alone : bool
        Whether this node decides by what it knows itself while no owner answers; the
        bound on load is then kept only over its own requests.
    """

    def __init__(self, node, fleet, network, server, clock, timeline, alone=False):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._server = server
        self._clock = clock
        self._timeline = timeline
        self._future_by_id = {}
        self._silent_until_by_owner = {}
        self._alone = alone
        self._queued_ids = set()
        self.lease_by_id = {}

    async def request_lease(self, shard, request):
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
            for owner in self._candidates(shard):
                reply = await self._ask_owner(owner, shard, request, end_ms)
                if isinstance(reply, LeaseGrant):
                    held = HeldLease(shard, owner, reply.engine, request.customer)
                    self.lease_by_id[request.request_id] = held
                    return reply
                if reply is not None and reply.code not in (NOT_OWNER, MOVED):
                    raise _refuse(reply)
            if self._clock.now() + PAUSE_MS >= end_ms:
                raise RequestRefused(
                    "no-owner", "no node answers for this model", 503, 1000
                )
            await asyncio.sleep(PAUSE_MS / 1000)

    def _candidates(self, shard):
        """Return whom to ask: owners that answer, then the others."""
        now = self._clock.now()
        owners = list(self._fleet.rank_owners(shard)[:MAX_OWNERS])
        if self._alone and self._node not in owners:
            owners.append(self._node)
        silent = {
            name for name, until in self._silent_until_by_owner.items() if now < until
        }
        return sorted(owners, key=lambda name: name in silent)

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
            self._silent_until_by_owner[owner] = self._clock.now() + SILENT_MS
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
        self._silent_until_by_owner[owner] = self._clock.now() + SILENT_MS
        inputs = {"waited_ms": ANSWER_MS, "queued": queued}
        self._timeline.record("owner-silent", inputs, request_id=request_id, peer=owner)
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
        held = self.lease_by_id.pop(request_id, None)
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
            held = self.lease_by_id.get(message.request_id)
            if held is None or held.owner != peer:
                lost = ReleaseLease(message.request_id, "cancelled")
                self._send_quietly(peer, lost)

    def announce_leases(self):
        """Tell the owners of shards which leases this node holds."""
        leases_by_shard = {}
        for request_id, held in list(self.lease_by_id.items()):
            owners = self._fleet.rank_owners(held.shard)
            if not owners:
                continue
            if held.owner != owners[0]:
                moved = HeldLease(held.shard, owners[0], held.engine, held.customer)
                self.lease_by_id[request_id] = moved
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
    whole = request.blocks or request.part_ends
    prefixes = request.prefixes if whole else sample_prefixes(request.prefixes)
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
        request.priority,
        list(request.avoid),
        list(request.part_ends),
        request.trace_id,
    )


def _from_message(message):
    if isinstance(message, GiveLease):
        return LeaseGrant(
            message.request_id, message.engine, message.cached_blocks, message.source
        )
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
