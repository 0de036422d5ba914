"""Routes chats: leases an engine, sends the chat to it and retries failed tries."""

from peridotcove.exceptions import EndpointFailed, RequestRefused
from peridotcove.models import LeaseRequest
from peridotcove.residency import (
    OTHER_REGION,
    check_engine,
    find_region_limit,
    make_unserved_error,
    may_pass_through,
)
from peridotcove.retries import (
    MAX_TRIES,
    RetryBudget,
    RetryPolicy,
    may_repeat,
    run_tries,
)


class ChatRouter:
    """Runs chats on engines.

    Parameters
    ----------
    node : str
        Name of this node.
    zone : str
        Zone of this node.
    fleet : FleetView
        The node's view of the fleet.
    leases : LeaseClient
        Requests and releases leases on engines.
    states : EndpointStates
        Which engines accept new requests.
    engines : EngineClient
        HTTP client for engines.
    entry_limiter : EntryRateLimiter
        Limits the request rates of customers.
    continuations : ContinuationCodec
        Tokens that callers send back with a chat's next turn.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    metrics : Metrics
        The node's metrics.
    timeline : Timeline
        Records the node's events.
    """

    def __init__(
        self,
        node,
        zone,
        fleet,
        leases,
        states,
        engines,
        entry_limiter,
        continuations,
        clock,
        rng,
        metrics,
        timeline,
    ):
        self._node = node
        self._zone = zone
        self._fleet = fleet
        self._leases = leases
        self._states = states
        self._engines = engines
        self._entry_limiter = entry_limiter
        self._continuations = continuations
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._timeline = timeline
        self._budget = RetryBudget(fleet.configuration.bounds.retry_share)

    async def run_chat(self, chat, request_id, hint="", sink=None):
        """Run a chat, with retries, and return the engine's reply and name.

        Parameters
        ----------
        chat : ChatRequest
            The request.
        request_id : bytes
            Unique id, 8 bytes.
        hint : str
            Engine of the chat's last turn, or empty. Only the first try uses it.
        sink : ResponseSink or None
            Receives a streamed answer; None for a chat that is not streamed.

        Returns
        -------
        reply : EndpointResponse
            The engine's complete answer.
        engine : str
            Name of the engine.

        Raises
        ------
        RequestError
            If the chat has no answer. The verdict covers all tries: it is "not run"
            only if no try may have run.
        """
        self._entry_limiter.admit(chat.customer)
        bounds = self._fleet.configuration.bounds
        self._budget.share = bounds.retry_share
        end_ms = self._clock.now() + bounds.queue_ms

        def may_retry(error, tries):
            started = sink is not None and sink.started
            in_time = tries < MAX_TRIES and self._clock.now() < end_ms
            return (
                in_time
                and not _is_final(error)
                and may_repeat(error, chat.repeatable, started)
            )

        def record_retry(error, tries):
            self._record_retry(request_id, error, tries)

        policy = RetryPolicy(self._budget, self._rng, may_retry, record_retry)

        def attempt(number):
            tried_hint = hint if number == 1 else ""
            return self._try_chat(chat, request_id, tried_hint, sink, end_ms)

        return await run_tries(policy, attempt)

    def _record_retry(self, request_id, error, tries):
        self._metrics.retries.inc()
        detail = f"{error.code}, try {tries + 1}"
        self._timeline.record("request-retried", request_id=request_id, detail=detail)

    async def _try_chat(self, chat, request_id, hint, sink, end_ms):
        limit = self._find_region_limit(chat)
        shard = self._fleet.pick_shard(chat.base_model, chat.chat_key, hint, limit)
        if not shard and limit.is_limited:
            regions = self._fleet.find_serving_regions(chat.base_model)
            raise make_unserved_error(chat.base_model, limit, regions)
        if not shard:
            text = f"no engine in this region serves model {chat.base_model!r}"
            raise RequestRefused("no-engine", text, 503, 5000)
        left_ms = max(1, end_ms - self._clock.now())
        request = LeaseRequest(
            request_id,
            self._node,
            chat.customer.name,
            chat.model,
            chat.prefixes,
            hint,
            self._zone,
            left_ms,
            chat.customer.priority,
            chat.chat_key,
            regions=limit.list_regions(),
        )
        self._timeline.record("lease-asked", request_id=request_id, peer=shard)
        grant = await self._leases.request_lease(shard, request)
        self._timeline.record(
            "grant-received", request_id=request_id, peer=grant.engine
        )
        outcome, cached = "cancelled", -1
        try:
            engine = self._fleet.configuration.engine_by_name[grant.engine]
            self._check_engine(chat, engine)
            self._timeline.record(
                "request-sent", request_id=request_id, peer=engine.name
            )
            name = request_id.hex()
            reply = await self._engines.run(
                engine,
                chat.body,
                name,
                sink,
                lambda: self._check_engine(chat, engine),
                lambda node: self._may_relay(chat, node),
            )
            outcome = "done"
            cached = self._count_cached_blocks(chat, reply)
            return reply, engine.name
        except EndpointFailed as error:
            outcome = "cancelled" if error.code == "slow-caller" else "failed"
            raise
        finally:
            self._leases.release(request_id, outcome, cached)
            self._timeline.record(
                "lease-released", request_id=request_id, detail=outcome
            )

    def _find_region_limit(self, chat):
        return find_region_limit(self._fleet.configuration, customer=chat.customer)

    def _check_engine(self, chat, engine):
        self._states.check_available(engine.name)
        limit = self._find_region_limit(chat)
        check_engine(self._fleet.configuration, engine, limit)

    def _may_relay(self, chat, node):
        limit = self._find_region_limit(chat)
        return may_pass_through(self._fleet.configuration, node.zone, limit)

    def _count_cached_blocks(self, chat, reply):
        blocks = len(chat.prefixes)
        self._metrics.prompt_blocks.inc(blocks)
        if reply.cached_share is None:
            return -1
        cached = round(reply.cached_share * blocks)
        self._metrics.cached_blocks.inc(cached)
        return cached

    def get_leased_engine(self, request_id):
        """Return the engine on which a request holds a lease, or "".

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        """
        held = self._leases.lease_by_id.get(request_id)
        return held.engine if held is not None else ""

    def decode_hint(self, chat):
        """Return the engine that the chat's continuation token names, or "".

        Parameters
        ----------
        chat : ChatRequest
            The request.
        """
        if not chat.continuation:
            return ""
        found = self._continuations.decode(chat.continuation, chat.chat_key)
        return found.engine if found is not None else ""

    def encode_hint(self, engine, chat):
        """Return the continuation token for the chat's next turn, or "".

        Parameters
        ----------
        engine : str
            Engine of this turn.
        chat : ChatRequest
            The request.
        """
        return self._continuations.encode(engine, chat.chat_key, len(chat.prefixes))


def _is_final(error):
    # If an engine starts to leave after its lease was granted, or a limit of regions
    # changed since, another one can serve the request.
    again = error.code in ("leaving", OTHER_REGION)
    return isinstance(error, RequestRefused) and not again
