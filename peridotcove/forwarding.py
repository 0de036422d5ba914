"""Passes a request on unchanged to an engine, and its answer back.

Serves requests of any form that a host route covers. Which engine, how often and for
how long is decided here and by the owner of the engines; how a request and an answer
are written is up to a `Dialect`.
"""

import asyncio
import os

from attrs import define, field
from tornado.httputil import HTTPHeaders

from peridotcove.clock import MS_PER_S
from peridotcove.endpoints.client import Transfer
from peridotcove.event_splitter import EventCutter
from peridotcove.exceptions import EndpointFailed, RequestError, RequestRefused
from peridotcove.forwarding_types import (
    Attempt,
    ForwardedRequest,
    ForwardedResponse,
    ResponseHead,
)
from peridotcove.host_routes import pick_model
from peridotcove.models import LeaseRequest
from peridotcove.retries import RetryBudget, RetryPolicy, may_repeat, run_tries
from peridotcove.verdict import Verdict

LEASE_ID_BYTES = 8
# Tries of one request, those that reached no engine included.
MAX_ROUNDS = 5
# Below this a request can't be answered over the slowest links between zones.
LEAST_LEFT_MS = 25
# Wait for a connection: several round trips between zones, so that a dark engine
# leaves time for another one.
CONNECT_MS = 120
# Pause before another engine is tried; the next choice avoids the one that failed.
PAUSE_MS = 10
# Share of the time left that a repeatable request gives a silent engine.
SILENCE_SHARE = 0.4
# Share of the time left that a request may wait for a place.
QUEUE_SHARE = 0.5
MAX_ANSWER_BYTES = 16 << 20
# Codes of errors after which no engine was reached.
UNREACHED = frozenset(("unreachable", "leaving", "stale-view"))
RETRY_AFTER_MS = 1_000
# What the owner of an engine is told of a failed try; "failed" if not named here.
OUTCOME_BY_CODE = {"slow-caller": "cancelled", "unreachable": "unreachable"}


class EngineAnswered(EndpointFailed):
    """An engine ran the request and answered with a failure of its own.

    Parameters
    ----------
    forwarded : Forwarded
        The whole answer.
    """

    def __init__(self, forwarded):
        text = f"the engine answered with status {forwarded.head.status}"
        status = forwarded.head.status
        super().__init__("engine-error", text, Verdict.RAN, status)
        self.forwarded = forwarded


class Forwarder:
    """Passes requests on.

    Parameters
    ----------
    node, zone : str
        Name and zone of this node.
    fleet : Fleet
        The node's view.
    leases : LeaseClient
        Leases on engines.
    states : EndpointStates
        Which engines take new work.
    client : EndpointClient
        HTTP towards engines.
    dialect : Dialect
        How requests and answers are written.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    metrics : Metrics
        The node's metrics.
    timeline : Timeline
        The node's events.
    budgets : RetryBudgets
        Retries that this node may make.
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

    async def run(self, forward, sink):
        """Pass a request on and return its outcome.

        Parameters
        ----------
        forward : Forward
            The request.
        sink : Sink
            Takes a streamed answer.

        Returns
        -------
        Forwarded
            Whole answer of an engine, a failure of its own included.

        Raises
        ------
        RequestError
            With the verdict of all tries; "not run" only if no engine may have run it.
        """
        model = pick_model(forward.route, self.rng)
        run = _Run(self, forward, sink, model, self.budgets.get(model))
        policy = RetryPolicy(
            run.budget,
            self.rng,
            run.may_try_again,
            run.note_retry,
            run.is_free,
            run.note_denied,
            lambda tries, rng: rng.uniform(0, PAUSE_MS),
        )
        try:
            return await run_tries(policy, run.attempt)
        except EngineAnswered as error:
            if run.sink.started:
                raise
            forward.head = error.forwarded.head
            return error.forwarded


@define(eq=False)
class _Run:
    """One request on its way, over all its tries."""

    owner: Forwarder
    forward: ForwardedRequest
    sink: object
    model: str
    budget: RetryBudget
    sent: int = 0
    avoid: list = field(factory=list)
    events: EventCutter = field(factory=EventCutter)
    body: bytearray = field(factory=bytearray)
    head: ResponseHead | None = None
    transfer: Transfer | None = None

    def may_try_again(self, error, tries):
        """Return whether another try is allowed after an error."""
        forward, route = self.forward, self.forward.route
        if tries >= MAX_ROUNDS or self.sent >= route.attempts or self.sink.closed:
            return False
        if forward.end_ms - self.owner.clock.now() < LEAST_LEFT_MS:
            return False
        if isinstance(error, RequestRefused) and error.code not in UNREACHED:
            return False
        if self.sink.started:
            return route.resumable and bool(self.events.last_id)
        return may_repeat(error, route.repeatable or route.resumable, False)

    def note_denied(self, error):
        """Record that the budget allows no further try."""
        inputs = {"code": error.code, "budget": round(self.budget.balance, 2)}
        self._record("retry-denied", inputs)

    def _record(self, kind, inputs, peer="", detail=""):
        self.owner.timeline.record(
            kind,
            inputs,
            request_id=self.forward.request_id,
            peer=peer,
            detail=detail,
        )

    def is_free(self, error):
        """Return whether no engine was reached, so that a retry adds no load."""
        return error.code in UNREACHED

    def note_retry(self, error, tries):
        """Record that the request is tried again."""
        self.owner.metrics.retries.inc()
        kind = "stream-resumed" if self.sink.started else "request-retried"
        inputs = {
            "code": error.code,
            "verdict": error.verdict.value,
            "next_try": tries + 1,
            "avoided": list(self.avoid),
            "last_event": self.events.last_id,
            "budget": round(self.budget.balance, 2),
        }
        self._record(kind, inputs, detail=str(error))

    async def attempt(self, number):
        """Run one try and return its `ForwardedResponse`."""
        owner, forward = self.owner, self.forward
        left_ms = forward.end_ms - owner.clock.now()
        if left_ms < LEAST_LEFT_MS:
            raise RequestRefused("deadline", "too little time is left", 503, 0)
        request = self._make_lease_request(left_ms)
        shard = owner.fleet.pick_shard(self.model, forward.prompt_key, "")
        if not shard:
            text = f"no engine serves {self.model!r}"
            raise RequestRefused("no-engine", text, 503, RETRY_AFTER_MS)
        asked_ms = owner.clock.now()
        try:
            grant = await owner.leases.request_lease(shard, request)
        finally:
            waited_ms = owner.clock.now() - asked_ms
            owner.metrics.lease_wait.observe(waited_ms / MS_PER_S)
        outcome = "cancelled"
        try:
            forwarded = await self._send(grant)
            outcome = "done"
            return forwarded
        except EndpointFailed as error:
            outcome = OUTCOME_BY_CODE.get(error.code, "failed")
            self.avoid.append(grant.engine)
            raise
        except RequestRefused:
            self.avoid.append(grant.engine)
            raise
        finally:
            owner.metrics.attempts.labels(outcome).inc()
            owner.leases.release(request.request_id, outcome)

    def _make_lease_request(self, left_ms):
        forward = self.forward
        customer = forward.customer
        return LeaseRequest(
            os.urandom(LEASE_ID_BYTES),
            self.owner.node,
            "" if customer is None else customer.name,
            self.model,
            forward.prefixes,
            zone=self.owner.zone,
            deadline_ms=max(1, int(left_ms * QUEUE_SHARE)),
            priority=self._priority(),
            chat_key=forward.prompt_key,
            avoid=tuple(self.avoid),
            part_ends=forward.part_ends,
            trace_id=forward.request_id,
        )

    async def _send(self, grant):
        owner, forward = self.owner, self.forward
        owner.states.check_available(grant.engine)
        engine_by_name = owner.fleet.configuration.engine_by_name
        engine = engine_by_name[grant.engine]
        left_ms = max(1, forward.end_ms - owner.clock.now())
        self._begin(engine, left_ms)
        resume_after = self.events.last_id if self.sink.started else ""
        source = engine_by_name.get(grant.source)
        attempt = Attempt(engine, source, left_ms, resume_after, self._priority())
        headers = HTTPHeaders()
        for name, value in owner.dialect.write_headers(forward, attempt):
            headers.add(name, value)
        url = engine.url + forward.target
        has_body = bool(forward.body) or forward.method in ("POST", "PUT", "PATCH")
        body = forward.body if has_body else None
        transfer = self.transfer
        inputs = {
            "route": forward.route.name,
            "model": self.model,
            "left_ms": left_ms,
            "try": self.sent + 1,
            "cached_blocks": grant.cached_blocks,
            "source": grant.source,
            "configuration": owner.fleet.configuration.revision,
            "resume_after": resume_after,
        }
        self._record("request-sent", inputs, peer=engine.name)
        try:
            async with asyncio.timeout(left_ms / 1000):
                await owner.client.fetch(forward.method, url, headers, body, transfer)
        except TimeoutError:
            verdict = Verdict.MAY_HAVE_RUN if transfer.connected else Verdict.NOT_RUN
            text = f"{engine.name} did not answer in time"
            raise EndpointFailed("timeout", text, verdict, 504) from None
        except RequestError as error:
            raise self._explain(error) from None
        finally:
            self.sent += transfer.connected
        return self._finish(engine)

    def _begin(self, engine, left_ms):
        route = self.forward.route
        first_ms = left_ms
        if (route.repeatable or route.resumable) and self.sent + 1 < route.attempts:
            first_ms = min(left_ms, max(route.goal_ms, int(left_ms * SILENCE_SHARE)))
        self.head = None
        self.body.clear()
        self.events.restart()
        transfer = Transfer(first_ms, left_ms, left_ms, self._take)
        transfer.connect_ms = min(CONNECT_MS, left_ms)
        transfer.check = lambda: self.owner.states.check_available(engine.name)
        self.transfer = self.sink.transfer = transfer

    def _priority(self):
        customer = self.forward.customer
        return self.forward.route.priority if customer is None else customer.priority

    def _take(self, data):
        """Take a read of the answer's body; return true to pause the transfer."""
        head = self._read_head()
        if head.fault:
            self.transfer.cancel()
            return False
        streaming = self.forward.route.streaming and head.success and not head.not_run
        if not streaming:
            self.body += data
            if len(self.body) > MAX_ANSWER_BYTES:
                self.transfer.cancel()
            return False
        try:
            whole = self.events.feed(data)
        except ValueError as error:
            self.head = ResponseHead(head.status, fault=str(error))
            self.transfer.cancel()
            return False
        return self._pass_on(head, whole) if whole else False

    def _pass_on(self, head, data):
        if self.forward.head is None:
            self.forward.head = head
        return self.sink.write(data)

    def _read_head(self):
        if self.head is None:
            transfer = self.transfer
            dialect = self.owner.dialect
            self.head = dialect.read_head(
                self.forward, transfer.status, transfer.headers
            )
        return self.head

    def _explain(self, error):
        if self.head is not None and self.head.fault:
            return EndpointFailed("mixed-up", self.head.fault, Verdict.MAY_HAVE_RUN)
        return error

    def _finish(self, engine):
        head = self._read_head()
        if head.fault:
            raise EndpointFailed("mixed-up", head.fault, Verdict.MAY_HAVE_RUN)
        if head.not_run:
            text = f"{engine.name} refused the request"
            raise EndpointFailed("engine-busy", text, Verdict.NOT_RUN, 503)
        if not head.success:
            forwarded = ForwardedResponse(head, bytes(self.body))
            if head.status >= 500:
                raise EngineAnswered(forwarded)
            if self.sink.started:
                text = f"{engine.name} can't go on with the stream"
                raise EndpointFailed("cut", text, Verdict.MAY_HAVE_RUN)
            self.forward.head = head
            return forwarded
        rest = self.events.take_rest()
        if rest:
            self._pass_on(head, rest)
        if self.forward.head is None:
            self.forward.head = head
        return ForwardedResponse(self.forward.head, bytes(self.body))
