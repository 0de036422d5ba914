"""Entry node's side of the lease protocol: requests, releases and announces leases.

Messages are sent over a `Network`, which may lose, delay or duplicate them.
"""

import asyncio

import attrs
from attrs import frozen

from peridotcove.engine_time.answer_times import NO_TIMES
from peridotcove.exceptions import LinkDown, RequestRefused
from peridotcove.logs import get_logger
from peridotcove.models import LeaseGrant
from peridotcove.nodes.messages import (
    EXCLUDED_MARK,
    AskLease,
    GiveLease,
    HoldLeases,
    QueueLease,
    ReleaseLease,
    pack_hashes,
)
from peridotcove.prefix_hashes import sample_prefixes
from peridotcove.residency import NO_REGION

# Ten times the round trip between zones, and short against the latency that callers
# expect.
OWNER_ANSWER_TIMEOUT_MS = 120
# Time for which an owner that did not answer is tried last. Failed nodes are removed
# from the ranking of owners within about twice this time.
UNRESPONSIVE_OWNER_MS = 1_000
# A timer that fires later than this shows that the process was not running: answers may
# wait in its sockets.
LATE_TIMER_MS = 50
MAX_LATE_WAITS = 3
RETRY_PAUSE_MS = 100
MAX_OWNERS = 2
# Time after which a request whose service was removed finds the route's next service.
REMOVED_RETRY_AFTER_MS = 200
# Period in which each node announces its leases to the owners.
LEASE_ANNOUNCE_INTERVAL_MS = 10_000
NOT_OWNER = "not-owner"
QUARANTINED = "quarantined"
MOVED = "moved"
UNKNOWN_ORIGIN = "unknown-origin"
NO_VERSION = "no-version"
OWNERS_SILENT = "owners-silent"
# Answers after which another owner may grant the lease.
OTHER_OWNER_CODES = (NOT_OWNER, MOVED, UNKNOWN_ORIGIN, OWNERS_SILENT)

log = get_logger("leases")


@frozen
class HeldLease:
    """A lease that this entry node holds."""

    shard: str
    owner: str
    engine: str
    customer: str


class LeaseClient:
    """Requests leases from owners and releases them.

    Parameters
    ----------
    node : str
        Name of this node.
    fleet : FleetView
        This node's view of the fleet.
    network : Network
        Links to the other nodes.
    server : LeaseServer
        This node's side of the protocol as an owner.
    clock : Clock
        Source of time.
    timeline : Timeline
        Event log of this node.
    grants_locally : bool
        Whether this node grants leases itself while no owner answers. The load bound
        then covers only its own requests.
    on_new_owner : callable
        Called with the name of an owner before this node asks it in place of another.
    """

    def __init__(
        self,
        node,
        fleet,
        network,
        server,
        clock,
        timeline,
        grants_locally=False,
        on_new_owner=lambda owner: None,
    ):
        self._node = node
        self._fleet = fleet
        self._network = network
        self._server = server
        self._clock = clock
        self._timeline = timeline
        self._future_by_id = {}
        self._unresponsive_until_by_owner = {}
        self._grants_locally = grants_locally
        self._on_new_owner = on_new_owner
        self._queued_ids = set()
        self._asked_owner_by_shard = {}
        # Owners that know leases of this node, and are told of each release.
        self._informed_by_shard = {}
        self.lease_by_id = {}

    async def request_lease(self, shard, request):
        """Request a lease and return its grant.

        Parameters
        ----------
        shard : str
            Name of the shard.
        request : LeaseRequest
            The request.

        Raises
        ------
        RequestRefused
            If no owner grants a lease in time, or the shard has gone with its service;
            the request did not run.
        """
        end_ms = self._clock.now() + request.deadline_ms
        while True:
            unknown = None
            for owner in self._order_owners(shard):
                if shard not in self._fleet.shard_by_name:
                    text = "the service of the request has just been removed"
                    raise RequestRefused(
                        "service-removed", text, 503, REMOVED_RETRY_AFTER_MS
                    )
                reply = await self._request_from_owner(owner, shard, request, end_ms)
                if isinstance(reply, LeaseGrant):
                    lease = HeldLease(shard, owner, reply.engine, request.customer)
                    self.lease_by_id[request.request_id] = lease
                    return reply
                if reply is not None and reply.code not in OTHER_OWNER_CODES:
                    raise _make_refused_error(reply)
                if reply is not None and reply.code == UNKNOWN_ORIGIN:
                    unknown = reply
            if unknown is not None:
                raise _make_refused_error(unknown)
            if self._clock.now() + RETRY_PAUSE_MS >= end_ms:
                raise RequestRefused(
                    "no-owner",
                    "no owner of this model's engines answered in time",
                    503,
                    1000,
                )
            await asyncio.sleep(RETRY_PAUSE_MS / 1000)

    def _order_owners(self, shard):
        """Return the owners in the order of requests, unresponsive ones last."""
        now = self._clock.now()
        owners = list(self._fleet.rank_owners(shard)[:MAX_OWNERS])
        if self._grants_locally and self._node not in owners:
            owners.append(self._node)
        unresponsive = {
            name
            for name, until in self._unresponsive_until_by_owner.items()
            if now < until
        }
        return sorted(owners, key=lambda name: name in unresponsive)

    async def _request_from_owner(self, owner, shard, request, end_ms):
        left = end_ms - self._clock.now()
        if left <= 0:
            return None
        future = asyncio.get_running_loop().create_future()
        request_id = request.request_id
        model = self._fleet.shard_by_name[shard].model
        self._future_by_id[request_id] = future
        try:
            self._inform_owner(shard, owner)
            self._send(owner, make_ask_lease(shard, model, request, left))
            return await self._wait_for_answer(owner, future, request_id, left)
        except LinkDown:
            self._unresponsive_until_by_owner[owner] = (
                self._clock.now() + UNRESPONSIVE_OWNER_MS
            )
            return None
        except asyncio.CancelledError:
            self._send_or_log(owner, ReleaseLease(request_id, "cancelled"))
            raise
        finally:
            self._future_by_id.pop(request_id, None)
            self._queued_ids.discard(request_id)

    async def _wait_for_answer(self, owner, future, request_id, left):
        if owner == self._node:
            return await future
        step = min(left, OWNER_ANSWER_TIMEOUT_MS)
        for _ in range(MAX_LATE_WAITS):
            if not await self._times_out_late(future, step):
                break
        queued = request_id in self._queued_ids
        while queued and not future.done() and left > 0 and owner in self._node_names():
            left -= step
            await asyncio.wait([future], timeout=step / 1000)
        if future.done():
            return future.result()
        self._send_or_log(owner, ReleaseLease(request_id, "cancelled"))
        self._unresponsive_until_by_owner[owner] = (
            self._clock.now() + UNRESPONSIVE_OWNER_MS
        )
        inputs = {"waited_ms": OWNER_ANSWER_TIMEOUT_MS, "queued": queued}
        self._timeline.record("owner-silent", inputs, request_id=request_id, peer=owner)
        return None

    async def _times_out_late(self, future, timeout_ms):
        """Wait for an answer; return whether this process missed the timeout itself."""
        end_ms = self._clock.now() + timeout_ms
        await asyncio.wait([future], timeout=timeout_ms / 1000)
        return not future.done() and self._clock.now() - end_ms > LATE_TIMER_MS

    def _node_names(self):
        return {item.name for item in self._fleet.nodes}

    def release(self, request_id, outcome, cached_blocks=-1, times=NO_TIMES):
        """Release a lease.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        outcome : str
            ``"done"``, ``"failed"`` or ``"cancelled"``.
        cached_blocks : int
            Prefix blocks that the engine reported as reused; -1 if not reported.
        times : AnswerTimes
            Times of the answer.
        """
        lease = self.lease_by_id.pop(request_id, None)
        if lease is None:
            return
        message = ReleaseLease(
            request_id, outcome, cached_blocks, *attrs.astuple(times)
        )
        for owner in {lease.owner, *self._informed_by_shard.get(lease.shard, ())}:
            self._send_or_log(owner, message)

    def receive(self, peer, message):
        """Handle an owner's answer; a grant that arrives too late is released.

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
            future.set_result(_read_answer(message))
        elif isinstance(message, GiveLease):
            lease = self.lease_by_id.get(message.request_id)
            if lease is None or lease.owner != peer:
                lost = ReleaseLease(message.request_id, "cancelled")
                self._send_or_log(peer, lost)

    def announce_leases(self):
        """Send each owner of a shard the full list of leases that this node holds."""
        items_by_shard = {}
        for request_id, lease in list(self.lease_by_id.items()):
            owners = self._fleet.rank_owners(lease.shard)
            if not owners:
                continue
            if lease.owner != owners[0]:
                moved = HeldLease(lease.shard, owners[0], lease.engine, lease.customer)
                self.lease_by_id[request_id] = moved
            item = [request_id, lease.engine, lease.customer]
            items_by_shard.setdefault(lease.shard, []).append(item)
        for shard in self._fleet.shard_by_name:
            items = items_by_shard.get(shard, [])
            owners = self._fleet.rank_owners(shard)[:1]
            informed = self._informed_by_shard.get(shard, set())
            for owner in {*owners, *informed}:
                self._send_or_log(owner, HoldLeases(shard, items))
            self._informed_by_shard[shard] = set(owners)

    def _inform_owner(self, shard, owner):
        """Send an owner the leases that others granted, if it is asked in their place.

        Without them it would count the load of the engines from zero.
        """
        if self._asked_owner_by_shard.get(shard) == owner:
            return
        items = [
            [request_id, lease.engine, lease.customer]
            for request_id, lease in self.lease_by_id.items()
            if lease.shard == shard
        ]
        self._send(owner, HoldLeases(shard, items))
        self._server.suspect_sync.send_suspects(owner)
        self._on_new_owner(owner)
        self._asked_owner_by_shard[shard] = owner
        self._informed_by_shard.setdefault(shard, set()).add(owner)

    def _send(self, owner, message):
        if owner == self._node:
            self._server.receive(self._node, message)
        else:
            self._network.send(owner, message)

    def _send_or_log(self, owner, message):
        try:
            self._send(owner, message)
        except LinkDown as error:
            log.info(
                "lease message to %s was not sent and is dropped: %s", owner, error
            )


def make_ask_lease(shard, model, request, left_ms):
    """Return the message that requests a lease.

    Parameters
    ----------
    shard, model : str
        Name of the shard, and the model that its engines serve.
    request : LeaseRequest
        The request; only a sample of its prefixes is sent.
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
        pack_hashes(prefixes),
        blocks,
        request.hint,
        left_ms,
        request.chat_key,
        request.priority,
        [*request.avoid, *(EXCLUDED_MARK + name for name in request.excluded)],
        list(request.part_ends),
        request.trace_id,
        request.stream,
        request.is_resumed,
        list(request.software_versions),
        request.may_be_elsewhere,
        list(request.regions),
        request.goal_ms,
    )


def _read_answer(message):
    if isinstance(message, GiveLease):
        return LeaseGrant(
            message.request_id, message.engine, message.cached_blocks, message.source
        )
    return message


def _make_refused_error(reply):
    sentences = {
        "overloaded": "all engines of this model are busy",
        "deadline": "no engine became available in time",
        "all-paused": "all engines of this model want no requests yet",
        "cold": "all engines of this model have just started",
        NO_REGION: "no engine of this model is in service in the allowed regions",
        "concurrency": "the customer has too many requests in progress",
        QUARANTINED: "engines crashed on a part of the prompt",
        UNKNOWN_ORIGIN: "it is not known which software version began the stream",
        NO_VERSION: "no engine of the software version that began the stream serves",
    }
    message = sentences.get(reply.code, "the request was refused")
    status = 429 if reply.code == "concurrency" else 503
    return RequestRefused(reply.code, message, status, reply.retry_after_ms)
