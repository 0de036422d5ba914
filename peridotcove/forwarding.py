"""Forwards requests of host routes unchanged to engines, and their answers back.

The owner of the engines chooses the engine. This module sets the deadlines and decides
on retries. A `Dialect` defines the format of requests and answers.
"""

import asyncio
import os

from attrs import define, evolve, field
from tornado.httputil import HTTPHeaders

from peridotcove.answer_copies import find_copy
from peridotcove.clock import MS_PER_S
from peridotcove.cold_engines import MAX_SEND_DELAY_MS
from peridotcove.crash_suspects import CUT, CUT_BEFORE_ANSWER
from peridotcove.endpoints.streaming_client import Transfer
from peridotcove.engine_notices import NO_NOTICE
from peridotcove.engine_time.admission import QUEUE_WAIT_SHARE
from peridotcove.engine_time.answer_times import NO_TIMES, AnswerTimer
from peridotcove.event_splitter import EventSplitter
from peridotcove.exceptions import EndpointFailed, RequestError, RequestRefused
from peridotcove.forwarding_types import (
    Attempt,
    ForwardedRequest,
    ForwardedResponse,
    ResponseHead,
)
from peridotcove.host_routes import pick_model
from peridotcove.lease_client import UNKNOWN_ORIGIN
from peridotcove.models import Engine, LeaseRequest, LifecycleStatus, Model
from peridotcove.residency import (
    ANY_REGION,
    NO_REGION,
    OTHER_REGION,
    RegionLimit,
    check_engine,
    find_engines_outside,
    find_region_limit,
    make_unserved_error,
    may_pass_through,
)
from peridotcove.retries import RetryBudget, RetryPolicy, may_repeat, run_tries
from peridotcove.stream_origins import StreamOrigin, hash_stream_id
from peridotcove.verdict import Verdict

LEASE_ID_BYTES = 8
# Includes tries that reached no engine, unlike `attempts` of a route.
MAX_TRIES_PER_REQUEST = 5
# With less time left than this, no answer can arrive over the slowest links between
# zones.
MIN_TIME_LEFT_MS = 25
# Allows several round trips between zones, and leaves time to try another engine if
# this one does not respond.
CONNECT_TIMEOUT_MS = 120
# Longest delay before a retry. It can be short, since the retry avoids the engine that
# failed.
MAX_RETRY_DELAY_MS = 10
# Share of the remaining time that a repeatable request waits for the first byte of an
# answer before it is retried at another engine.
FIRST_BYTE_SHARE = 0.4
# Time in which an engine answers a question about itself; it may need a free slot.
LIFE_CHECK_TIMEOUT_MS = 500
MAX_ANSWER_BYTES = 16 << 20
# Change of the held part of an event from which the sum is updated; events are smaller.
MIN_COUNTED_BYTES = 65_536
EVENT_STREAM_TYPE = "text/event-stream"
# Codes of errors of a node that is cut off from the engines. They show little about an
# engine: that it was tried through one peer at most.
RELAY_CODES = ("no-relay", "unreachable-by-peer")
# Codes of errors that mean that no engine was reached.
UNREACHED_CODES = frozenset(
    (
        *RELAY_CODES,
        *("unreachable", "leaving", "paused", "stale-view"),
        *("other-version", "stale-lease", OTHER_REGION),
    )
)
RETRY_AFTER_MS = 1_000
# Outcome that is reported to the owner of the engine when the lease is released, by
# error code; "failed" for all other codes.
OUTCOME_BY_CODE = {
    "slow-caller": "cancelled",
    "unreachable": "unreachable",
    **dict.fromkeys(RELAY_CODES, "cancelled"),
}


class EngineErrorResponse(EndpointFailed):
    """An engine ran the request and answered with an error status (5xx).

    Parameters
    ----------
    forwarded : ForwardedResponse
        The complete answer.
    """

    def __init__(self, forwarded):
        text = f"the engine answered with status {forwarded.head.status}"
        status = forwarded.head.status
        super().__init__("engine-error", text, Verdict.RAN, status)
        self.forwarded = forwarded


class Forwarder:
    """Forwards requests to engines.

    Parameters
    ----------
    node, zone : str
        Name and zone of this node.
    fleet : FleetView
        The node's view of the fleet.
    leases : LeaseClient
        Requests and releases leases on engines.
    states : EndpointStates
        Which engines accept new requests.
    client : StreamingClient
        HTTP client for engines.
    dialect : Dialect
        Format of requests and answers.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    metrics : Metrics
        The node's metrics.
    timeline : Timeline
        Records the node's events.
    budgets : RetryBudgets
        Retry budgets of this node, by model.
    notices : EngineNotices
        What engines said of themselves.
    on_notice : callable
        Called with the engine, its `Notice`, the id of the request and the node through
        which it went, if an answer has one.
    stream_origins : StreamOriginSync
        Which software versions began streams.
    answer_memory : AnswerMemory
        Bounds the unfinished answers that are held.
    """

    def __init__(
        self,
        node,
        zone,
        fleet,
        leases,
        states,
        client,
        dialect,
        clock,
        rng,
        metrics,
        timeline,
        budgets,
        notices,
        on_notice,
        stream_origins,
        answer_memory,
    ):
        self.node = node
        self.zone = zone
        self.fleet = fleet
        self.leases = leases
        self.states = states
        self.client = client
        self.dialect = dialect
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.timeline = timeline
        self.budgets = budgets
        self.notices = notices
        self.on_notice = on_notice
        self.stream_origins = stream_origins
        self.answer_memory = answer_memory

    def check_available(self, engine):
        """Raise a `RequestRefused` if an engine may not get new requests.

        Parameters
        ----------
        engine : Engine
            The engine.
        """
        self.states.check_available(engine.name)
        self.notices.check_available(engine)

    def may_fetch_from(self, engine, limit=ANY_REGION):
        """Return whether cached prefixes may be fetched from an engine.

        Parameters
        ----------
        engine : Engine
            The engine.
        limit : RegionLimit
            Regions in which the request may run.
        """
        configuration = self.fleet.configuration
        zone = configuration.zone_by_name.get(engine.zone)
        is_evacuated = zone is not None and zone.evacuated
        if is_evacuated or self.notices.is_leaving(engine):
            return False
        return may_pass_through(configuration, engine.zone, limit)

    def is_served(self, model, limit):
        """Return whether a model has engines in service in the regions of a limit.

        Parameters
        ----------
        model : str
            Name of the model.
        limit : RegionLimit
            Regions in which a request may run.
        """
        return any(map(limit.allows, self.fleet.find_serving_regions(model)))

    async def run(self, forward, sink):
        """Forward a request, with retries, and return the engine's answer.

        Parameters
        ----------
        forward : ForwardedRequest
            The request.
        sink : ResponseSink
            Receives a streamed answer.

        Returns
        -------
        ForwardedResponse
            Complete answer of an engine; its status may be an error.

        Raises
        ------
        RequestError
            If no engine answered. The verdict covers all tries: it is "not run" only
            if no engine may have run the request.
        """
        limit = find_region_limit(
            self.fleet.configuration, forward.route, forward.customer
        )
        if limit.is_limited:
            model = pick_model(
                forward.route, self.rng, lambda model: self.is_served(model, limit)
            )
        else:
            model = pick_model(forward.route, self.rng)
        state = _RequestState(self, forward, sink, model, self.budgets.get(model))
        state.began_ms = self.clock.now()
        if forward.route.streaming:
            state.find_stream()
        policy = RetryPolicy(
            state.budget,
            self.rng,
            state.may_retry,
            state.record_retry,
            state.is_free_retry,
            state.record_denied_retry,
            lambda tries, rng: rng.uniform(0, MAX_RETRY_DELAY_MS),
        )
        try:
            return await run_tries(policy, state.attempt)
        except EngineErrorResponse as error:
            if state.sink.started:
                raise
            forward.head = error.forwarded.head
            return error.forwarded


@define(eq=False)
class _RequestState:
    """State of one request over all its tries."""

    forwarder: Forwarder
    forward: ForwardedRequest
    sink: object
    model: str
    budget: RetryBudget
    sent_count: int = 0
    avoided_engines: list = field(factory=list)
    splitter: EventSplitter = field(factory=EventSplitter)
    body: bytearray = field(factory=bytearray)
    head: ResponseHead | None = None
    transfer: Transfer | None = None
    # Size of a part of an event that is counted in the node's memory of answers.
    counted_bytes: int = 0
    engine: Engine | None = None
    # Hash of the id under which the caller may take the stream up; 0 if it may not.
    stream: int = 0
    # Where the stream began that this request goes on with, once that is known.
    origin: StreamOrigin | None = None
    # Other models that may have begun a stream that the caller takes up.
    other_models: list = field(factory=list)
    # Whether an owner has granted an engine outside of the allowed regions: it knows
    # another configuration, or its software knows no regions.
    lists_outside: bool = False
    # Times of the answer of this try; None before its request is sent.
    timer: AnswerTimer | None = None
    # Time in ms at which the first try began.
    began_ms: int = 0

    def find_stream(self):
        """Set what is known of the stream that the request begins or takes up."""
        forward, route = self.forward, self.forward.route
        stream_id = forward.request_id_text
        if forward.resume_after:
            stream_id = forward.resumes_text
        if route.resumable and stream_id:
            self.stream = hash_stream_id(stream_id)
        if not forward.resume_after:
            return
        models = [target.model for target in route.targets]
        self.origin = self.forwarder.stream_origins.origins.find(self.stream)
        if self.origin is None:
            self.other_models = [model for model in models if model != self.model]
        elif self.origin.model in models:
            self._use_model(self.origin.model)
        else:
            text = "the route no longer leads to the service that began the stream"
            raise RequestRefused("no-version", text, 503, RETRY_AFTER_MS)

    def _find_region_limit(self):
        """Return the `RegionLimit` that the configuration in force sets."""
        return find_region_limit(
            self.forwarder.fleet.configuration,
            self.forward.route,
            self.forward.customer,
        )

    def _use_model(self, model):
        self.model = model
        self.budget = self.forwarder.budgets.get(model)

    def may_retry(self, error, tries):
        """Return whether the request may be retried after an error."""
        forward, route = self.forward, self.forward.route
        if (
            tries >= MAX_TRIES_PER_REQUEST
            or self.sent_count >= route.attempts
            or self.sink.closed
        ):
            return False
        if forward.end_ms - self.forwarder.clock.now() < MIN_TIME_LEFT_MS:
            return False
        if isinstance(error, RequestRefused) and error.code not in UNREACHED_CODES:
            return False
        if self.sink.started:
            return route.resumable and bool(self.splitter.last_id)
        return may_repeat(error, route.repeatable or route.resumable, False)

    def record_denied_retry(self, error):
        """Record that the retry budget denied a retry."""
        inputs = {"code": error.code, "budget": round(self.budget.balance, 2)}
        self._record("retry-denied", inputs)

    def _record(self, kind, inputs, peer="", detail=""):
        self.forwarder.timeline.record(
            kind,
            inputs,
            request_id=self.forward.request_id,
            peer=peer,
            detail=detail,
        )

    def is_free_retry(self, error):
        """Return whether no engine was reached, so that a retry adds no load.

        Such a retry takes nothing from the budget.
        """
        return error.code in UNREACHED_CODES

    def record_retry(self, error, tries):
        """Record that the request is retried, or its stream resumed."""
        self.forwarder.metrics.retries.inc()
        kind = "stream-resumed" if self.sink.started else "request-retried"
        inputs = {
            "code": error.code,
            "verdict": error.verdict.value,
            "next_try": tries + 1,
            "avoided": list(self.avoided_engines),
            "last_event": self.splitter.last_id,
            "budget": round(self.budget.balance, 2),
        }
        self._record(kind, inputs, detail=str(error))

    async def attempt(self, number):
        """Run one try and return its `ForwardedResponse`."""
        forwarder, forward = self.forwarder, self.forward
        self.timer = None
        left_ms = forward.end_ms - forwarder.clock.now()
        if left_ms < MIN_TIME_LEFT_MS:
            raise RequestRefused("deadline", "too little time is left to run", 503, 0)
        paused = await self._wait_for_paused(left_ms)
        left_ms = forward.end_ms - forwarder.clock.now()
        request = self._make_lease_request(left_ms, paused)
        asked_ms = forwarder.clock.now()
        try:
            grant = await self._request_lease(request)
        finally:
            waited_ms = forwarder.clock.now() - asked_ms
            forwarder.metrics.lease_wait.observe(waited_ms / MS_PER_S)
        outcome = "cancelled"
        try:
            forwarded = await self._send(grant)
            outcome = "done"
            return forwarded
        except EndpointFailed as error:
            outcome = self._select_outcome(error)
            self.avoided_engines.append(grant.engine)
            raise
        except RequestRefused:
            self.avoided_engines.append(grant.engine)
            raise
        finally:
            forwarder.metrics.attempts.labels(outcome).inc()
            forwarder.leases.release(
                request.request_id, outcome, times=self._read_times()
            )

    def _read_times(self):
        """Return the `AnswerTimes` of this try; those through a peer tell little."""
        if self.timer is None or self.transfer.relay is not None:
            return NO_TIMES
        return self.timer.read()

    async def _request_lease(self, request):
        """Return the grant of a lease.

        If several models may have begun the stream, the owners of each are asked. What
        this node believes of the origin of all streams counts only if they know none.
        """
        forwarder = self.forwarder
        models = [self.model, *self.other_models]
        while True:
            limit = RegionLimit.from_regions(request.regions)
            shard = forwarder.fleet.pick_shard(self.model, request.chat_key, "", limit)
            try:
                if not shard:
                    raise self._make_unserved_error(limit)
                return await forwarder.leases.request_lease(shard, request)
            except RequestRefused as error:
                is_unknown = error.code in ("no-engine", NO_REGION, UNKNOWN_ORIGIN)
                if not is_unknown:
                    raise
                if not self.other_models:
                    self.origin = self._find_only_origin(error, models)
                    request = evolve(
                        request, software_versions=self._allowed_versions()
                    )
                    continue
            self._use_model(self.other_models.pop())
            request = evolve(request, model=self.model)

    def _make_unserved_error(self, limit):
        regions = self.forwarder.fleet.find_serving_regions(self.model)
        if limit.is_limited and regions:
            return make_unserved_error(self.model, limit, regions)
        text = f"no engine serves {self.model!r}"
        return RequestRefused("no-engine", text, 503, RETRY_AFTER_MS)

    def _find_only_origin(self, error, models):
        """Return the origin of all streams; raise the error if none is certain."""
        origin = self.forwarder.stream_origins.find_only_origin(models)
        if error.code != UNKNOWN_ORIGIN or self.origin is not None or origin is None:
            raise error
        return origin

    def _select_outcome(self, error):
        if error.code == "cut":
            return CUT if self.transfer.received_bytes else CUT_BEFORE_ANSWER
        return OUTCOME_BY_CODE.get(error.code, "failed")

    async def _wait_for_paused(self, left_ms):
        """Return the engines that want no requests, once one of the model does.

        Raises
        ------
        RequestRefused
            If none will in the time that the request may wait.
        """
        paused_ms = self._find_paused_ms()
        if not paused_ms or 0 in paused_ms.values():
            return tuple(name for name, wait_ms in paused_ms.items() if wait_ms)
        wait_ms = min(paused_ms.values())
        if wait_ms > left_ms * QUEUE_WAIT_SHARE:
            text = f"all engines of {self.model!r} want no requests for {wait_ms} ms"
            raise RequestRefused("all-paused", text, 503, wait_ms)
        self._record("request-delayed", {"wait_ms": wait_ms, "left_ms": left_ms})
        await asyncio.sleep(wait_ms / MS_PER_S)
        return tuple(name for name, left in self._find_paused_ms().items() if left)

    def _find_paused_ms(self):
        """Return the time in ms for which each engine of the model wants no requests.

        Empty if no engine at all has asked for a pause.
        """
        notices = self.forwarder.notices
        if not notices.has_pauses:
            return {}
        configuration = self.forwarder.fleet.configuration
        limit = self._find_region_limit()
        return {
            name: notices.pause_left_ms(engine)
            for name, engine in configuration.engine_by_name.items()
            if engine.model == self.model
            and engine.status is LifecycleStatus.IN_SERVICE
            and may_pass_through(configuration, engine.zone, limit)
        }

    def _make_lease_request(self, left_ms, excluded):
        """Return the request for a lease.

        Raises
        ------
        RequestRefused
            If the limits of the route and of the customer have no region in common.
        """
        forward = self.forward
        limit = self._find_region_limit()
        if limit.is_limited:
            if not limit.regions:
                raise self._make_unserved_error(limit)
            if self.lists_outside:
                excluded = (*excluded, *self._find_outside(limit))
        customer = forward.customer
        return LeaseRequest(
            os.urandom(LEASE_ID_BYTES),
            self.forwarder.node,
            "" if customer is None else customer.name,
            self.model,
            forward.prefixes,
            zone=self.forwarder.zone,
            deadline_ms=max(1, int(left_ms * QUEUE_WAIT_SHARE)),
            priority=self._get_priority(),
            chat_key=forward.prompt_key,
            avoid=tuple(self.avoided_engines),
            part_ends=forward.part_ends,
            trace_id=forward.request_id,
            excluded=excluded,
            stream=self.stream,
            is_resumed=bool(forward.resume_after),
            software_versions=self._allowed_versions(),
            may_be_elsewhere=self.origin is None and len(forward.route.targets) > 1,
            regions=limit.list_regions(),
            goal_ms=self._find_goal_ms(),
        )

    def _find_outside(self, limit):
        configuration = self.forwarder.fleet.configuration
        engines = [
            engine
            for engine in configuration.engine_by_name.values()
            if engine.model == self.model
        ]
        return sorted(find_engines_outside(configuration, engines, limit))

    def _check_region(self, engine):
        """Raise a `RequestRefused` if an engine is outside of the allowed regions."""
        configuration = self.forwarder.fleet.configuration
        try:
            check_engine(configuration, engine, self._find_region_limit())
        except RequestRefused:
            self.lists_outside = True
            raise

    def _find_goal_ms(self):
        """Return the time left until the objective has passed, or 0.

        It is 0 also for a stream that has begun: it ends at its deadline only.
        """
        if self.sink.started or self.forward.resume_after:
            return 0
        elapsed_ms = self.forwarder.clock.now() - self.began_ms
        return max(0, self.forward.route.goal_ms - elapsed_ms)

    def _allowed_versions(self):
        return () if self.origin is None else (self.origin.software_version,)

    def _check_version(self, engine):
        """Raise a `RequestRefused` if an engine can't go on with the stream."""
        allowed = self._allowed_versions()
        if allowed and engine.software_version not in allowed:
            text = f"engine {engine.name} has version {engine.software_version!r}"
            raise RequestRefused("other-version", text, 503, RETRY_AFTER_MS)
        if self.forward.resume_after:
            self.origin = StreamOrigin(self.model, engine.software_version)

    async def _send(self, grant):
        forwarder, forward = self.forwarder, self.forward
        forwarder.states.check_available(grant.engine)
        engine_by_name = forwarder.fleet.configuration.engine_by_name
        engine = self.engine = engine_by_name[grant.engine]
        self._check_region(engine)
        self._check_version(engine)
        forwarder.check_available(engine)
        left_ms = max(1, forward.end_ms - forwarder.clock.now())
        source = engine_by_name.get(grant.source)
        limit = self._find_region_limit()
        if source is not None and not forwarder.may_fetch_from(source, limit):
            source = None
        self._start_transfer(engine, source, left_ms)
        resume_after = self.splitter.last_id if self.sink.started else ""
        attempt = Attempt(engine, source, left_ms, resume_after, self._get_priority())
        headers = HTTPHeaders()
        for name, value in forwarder.dialect.write_headers(forward, attempt):
            headers.add(name, value)
        url = engine.url + forward.target
        has_body = bool(forward.body) or forward.method in ("POST", "PUT", "PATCH")
        body = forward.body if has_body else None
        transfer = self.transfer
        inputs = {
            "route": forward.route.name,
            "model": self.model,
            "left_ms": left_ms,
            "try": self.sent_count + 1,
            "cached_blocks": grant.cached_blocks,
            "source": grant.source,
            "configuration": forwarder.fleet.configuration.revision,
            "resume_after": resume_after or forward.resume_after,
            "resumes": forward.resumes_text,
            "software_version": engine.software_version,
        }
        if limit.is_limited:
            inputs["regions"] = limit.list_regions()
        self._record("request-sent", inputs, peer=engine.name)
        try:
            async with asyncio.timeout(left_ms / 1000):
                await forwarder.client.fetch(
                    forward.method, url, headers, body, transfer
                )
        except TimeoutError:
            verdict = Verdict.MAY_HAVE_RUN if transfer.connected else Verdict.NOT_RUN
            text = f"engine {engine.name} did not answer before the deadline"
            raise EndpointFailed("timeout", text, verdict, 504) from None
        except RequestError as error:
            # A second copy shows that the engine has sent the whole answer.
            if not self.splitter.ended:
                if error.code == "cut":
                    self._record_cut(engine, left_ms)
                raise self._replace_error(error) from None
        finally:
            self.sent_count += transfer.connected
            forward.is_sent = forward.is_sent or transfer.connected
            forwarder.answer_memory.remove(self)
        unframed = transfer.framing == "connection" and not self._read_head().not_run
        if unframed and not self._discard_copy(engine):
            await self._check_unframed_end(engine, left_ms)
        return self._finish_answer(engine)

    def _discard_copy(self, engine):
        """Take a second copy off an answer without a length; return whether it had one.

        Raises
        ------
        EndpointFailed
            If it is uncertain where the answer ends.
        """
        held = self.body or self.splitter.partial
        try:
            end = find_copy(held, self.transfer.head_lines)
        except ValueError as error:
            text = f"engine {engine.name} sent an answer of uncertain end: {error}"
            raise EndpointFailed("mixed-up", text, Verdict.MAY_HAVE_RUN) from None
        if end is not None:
            del self.body[end:]
            self.splitter.truncate_partial(end)
        elif not self.splitter.ended:
            return False
        inputs = {"status": self.transfer.status, **self._describe_end()}
        self._record("answer-copy-discarded", inputs, peer=engine.name)
        return True

    def _record_cut(self, engine, left_ms):
        forward = self.forward
        inputs = {
            "parts": [f"{part:016x}" for part in forward.prefixes],
            "after_ms": left_ms - (forward.end_ms - self.forwarder.clock.now()),
            **self._describe_end(),
        }
        self._record("answer-cut", inputs, peer=engine.name)

    def _describe_end(self):
        """Return how far the answer had come when its connection ended."""
        return {
            "framing": self.transfer.framing,
            "received_bytes": self.transfer.received_bytes,
            "events": self.splitter.count,
            "last_event": self.splitter.last_id,
            "partial_bytes": self.splitter.partial_bytes,
        }

    def _start_transfer(self, engine, source, left_ms):
        route = self.forward.route
        first_ms = left_ms
        if (
            route.repeatable or route.resumable
        ) and self.sent_count + 1 < route.attempts:
            first_ms = min(left_ms, max(route.goal_ms, int(left_ms * FIRST_BYTE_SHARE)))
        self.head = None
        self.body.clear()
        self.counted_bytes = 0
        self.splitter.discard_partial()
        transfer = Transfer(first_ms, left_ms, left_ms, self._handle_data)
        transfer.connect_ms = min(CONNECT_TIMEOUT_MS, left_ms)
        asked_ms = self.forwarder.clock.now()
        transfer.before_send = lambda: self._check_before_send(engine, source, asked_ms)
        transfer.may_relay = self._may_relay
        self.transfer = self.sink.transfer = transfer
        self.timer = AnswerTimer(self.forwarder.clock)

    def _check_before_send(self, engine, source, granted_ms):
        """Raise a `RequestRefused` if an engine may not get the request any more."""
        relay = self.transfer.relay
        if relay is not None:
            self._record("request-relayed", {}, peer=relay.peer, detail=engine.name)
            self._check_passed_zone(relay.zone, f"node {relay.peer}")
        if source is not None:
            self._check_passed_zone(source.zone, f"fetch source {source.name}")
        self._check_region(engine)
        self.forwarder.check_available(engine)
        self._check_cold_lease(engine, granted_ms)
        self.timer.record_send()

    def _check_cold_lease(self, engine, granted_ms):
        """Raise a `RequestRefused` if a cold engine's rate no longer has the request.

        Parameters
        ----------
        engine : Engine
            The engine as it was at the grant.
        granted_ms : int
            Monotonic time in ms of the grant.
        """
        engine_by_name = self.forwarder.fleet.configuration.engine_by_name
        if not engine_by_name.get(engine.name, engine).cold_ms:
            return
        has_turned_cold = not engine.cold_ms
        delay_ms = self.forwarder.clock.now() - granted_ms
        if has_turned_cold or delay_ms > MAX_SEND_DELAY_MS:
            text = f"the lease on cold engine {engine.name} is {delay_ms} ms old"
            raise RequestRefused("stale-lease", text, 503, RETRY_AFTER_MS)

    def _may_relay(self, instance):
        """Return whether the body may be sent to a node."""
        return self._allows_zone(instance.zone)

    def _allows_zone(self, zone):
        configuration = self.forwarder.fleet.configuration
        return may_pass_through(configuration, zone, self._find_region_limit())

    def _check_passed_zone(self, zone, name):
        """Raise a `RequestRefused` if a zone has left the allowed regions meanwhile.

        Parameters
        ----------
        zone : str
            Zone of a node that relays the request, or of an engine that it names.
        name : str
            What is in the zone, for the message.
        """
        if not self._allows_zone(zone):
            text = f"{name} is outside of the allowed regions"
            raise RequestRefused(OTHER_REGION, text, 503, RETRY_AFTER_MS)

    def _get_priority(self):
        customer = self.forward.customer
        return self.forward.route.priority if customer is None else customer.priority

    def _handle_data(self, data):
        """Handle a part of the answer's body; return true to pause the transfer."""
        head = self._read_head()
        if head.fault:
            self.transfer.cancel()
            return False
        streaming = self.forward.route.streaming and head.success and not head.not_run
        if not streaming:
            self.body += data
            if len(self.body) > MAX_ANSWER_BYTES:
                self.give_up_answer()
            else:
                self.forwarder.answer_memory.update(self, len(self.body))
            return False
        count_before = self.splitter.count
        try:
            complete_events = self.splitter.feed(data)
            self._check_for_head(complete_events)
        except ValueError as error:
            self.head = ResponseHead(head.status, fault=str(error))
            self.transfer.cancel()
            return False
        self.timer.record_events(self.splitter.count - count_before)
        self._count_partial()
        if self.splitter.ended:
            self.transfer.cancel()
        return (
            self._write_to_caller(head, complete_events) if complete_events else False
        )

    def _count_partial(self):
        """Count the part of an event that is held, if it is a large one."""
        partial_bytes = self.splitter.partial_bytes
        if abs(partial_bytes - self.counted_bytes) >= MIN_COUNTED_BYTES:
            self.counted_bytes = partial_bytes
            self.forwarder.answer_memory.update(self, partial_bytes)

    def give_up_answer(self):
        """Cancel an answer that is larger than this node has room for."""
        size = len(self.body) + self.splitter.partial_bytes
        fault = f"the answer is too large after {size} bytes"
        self.head = ResponseHead(self.transfer.status, fault=fault)
        self.body.clear()
        self.splitter.discard_partial()
        self.transfer.cancel()

    def _check_for_head(self, events):
        """Raise an error if a copy began inside an event that was broken off."""
        if self.splitter.head_lines and self.transfer.head_lines[0] in events:
            raise ValueError("a second answer began inside an event")

    def _write_to_caller(self, head, data):
        if self.forward.head is None:
            self.forward.head = head
        if self.stream and not self.sink.started:
            self.origin = StreamOrigin(self.model, self.engine.software_version)
            self.forwarder.stream_origins.record(self.stream, self.engine)
        return self.sink.write(data)

    def _read_head(self):
        if self.head is None:
            transfer = self.transfer
            dialect = self.forwarder.dialect
            self.head = dialect.read_head(
                self.forward, transfer.status, transfer.headers
            )
            self.timer.record_slowness(self.head.slowness)
            self._handle_notice(self.head.notice)
            unframed = transfer.framing == "connection"
            self.splitter.head_lines = transfer.head_lines if unframed else ()
        return self.head

    def _replace_error(self, error):
        if self.head is not None and self.head.fault:
            return EndpointFailed("mixed-up", self.head.fault, Verdict.MAY_HAVE_RUN)
        return error

    async def _check_unframed_end(self, engine, left_ms):
        """Raise an error unless an engine lives on after its unframed answer.

        Such an answer ends with its connection, and a process that crashes closes its
        connections like one that has finished. Another incarnation may listen at the
        address by now, so the engine is asked who it is; no answer shows nothing.
        """
        lives = await self._is_alive(engine)
        inputs = {"status": self.transfer.status, **self._describe_end()}
        self._record("answer-unframed", {**inputs, "lives": lives}, peer=engine.name)
        if not lives:
            self._record_cut(engine, left_ms)
            text = f"engine {engine.name} gave no sign of life after its answer"
            raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)

    async def _is_alive(self, engine):
        forwarder = self.forwarder
        configuration = forwarder.fleet.configuration
        listed = configuration.engine_by_name.get(engine.name)
        is_replaced = listed is not None and listed.incarnation != engine.incarnation
        if is_replaced or forwarder.notices.pause_left_ms(engine):
            return False
        time_left_ms = self.forward.end_ms - forwarder.clock.now()
        timeout_ms = max(1, min(LIFE_CHECK_TIMEOUT_MS, time_left_ms))
        transfer = Transfer(timeout_ms, timeout_ms, timeout_ms)
        transfer.connect_ms = timeout_ms
        model = configuration.model_by_name.get(engine.model, Model(engine.model))
        path, headers = forwarder.dialect.make_life_check(engine, model)
        try:
            async with asyncio.timeout(timeout_ms / MS_PER_S):
                response = await forwarder.client.fetch(
                    "GET", engine.url + path, headers, None, transfer
                )
        except (RequestError, TimeoutError) as error:
            inputs = {"timeout_ms": timeout_ms}
            detail = str(error) or "no answer"
            self._record("life-check-failed", inputs, engine.name, detail)
            return False
        lives = forwarder.dialect.confirms_life(engine, response)
        if lives:
            notice = forwarder.dialect.read_notice(response.status, response.headers)
            self._handle_notice(notice)
        return lives

    def _handle_notice(self, notice):
        if notice is not NO_NOTICE:
            relay = self.transfer.relay
            self.forwarder.on_notice(
                self.engine,
                notice,
                self.forward.request_id,
                "" if relay is None else relay.peer,
            )

    def _check_event_end(self, head, remainder):
        """Raise an error if a stream of events ended inside of one or has none."""
        if remainder.endswith(b"\r\n\r\n"):
            return
        is_events = self.splitter.count or _is_event_stream(head)
        if remainder and is_events:
            text = "the stream ended inside an event"
            raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)
        unframed = self.transfer.framing == "connection"
        is_empty = not self.transfer.received_bytes or self.splitter.ended
        if unframed and is_events and is_empty and not self.splitter.count:
            text = "the stream ended before its first event"
            raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)
        if self.splitter.lacks_event and not remainder:
            text = "the resumed stream ended without the event that was broken off"
            raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)

    def _finish_answer(self, engine):
        head = self._read_head()
        if head.fault:
            raise EndpointFailed("mixed-up", head.fault, Verdict.MAY_HAVE_RUN)
        if head.not_run:
            text = f"engine {engine.name} refused the request without running it"
            raise EndpointFailed("engine-busy", text, Verdict.NOT_RUN, 503)
        if not head.success:
            forwarded = ForwardedResponse(head, self._take_body())
            if head.status >= 500:
                raise EngineErrorResponse(forwarded)
            if self.sink.started:
                text = f"engine {engine.name} can't resume the stream"
                raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)
            self.forward.head = head
            return forwarded
        if not self.forward.route.streaming:
            self.timer.record_end()
        remainder = self.splitter.flush()
        self._check_event_end(head, remainder)
        if remainder:
            self._write_to_caller(head, remainder)
        if self.forward.head is None:
            self.forward.head = head
        return ForwardedResponse(self.forward.head, self._take_body())

    def _take_body(self):
        """Return the answer's body, of which this state keeps no copy."""
        body = bytes(self.body)
        self.body.clear()
        return body


def _is_event_stream(head):
    values = [value for name, value in head.headers if name.lower() == "content-type"]
    return any(value.lower().startswith(EVENT_STREAM_TYPE) for value in values)
