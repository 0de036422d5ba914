"""Admits requests by host route and API key, and forwards them until their deadline."""

import asyncio
import hashlib

from peridotcove.clock import MS_PER_S
from peridotcove.exceptions import EndpointFailed, RequestRefused
from peridotcove.verdict import Verdict

# After this time without contact to the configuration service or to a node that reads
# it, keys and routes of a newer revision may be missing. An unknown key or route is
# then answered with status 503 instead of 401 or 404.
STALE_CONFIGURATION_MS = 4_000
RETRY_AFTER_MS = 500
# Time after the start for which requests wait for the first configuration: long enough
# for several calls to the configuration service or one to a peer. A refused caller
# would not retry sooner.
START_WAIT_MS = 1_000
# Time after the first configuration for which requests wait for the first engine of
# their route. Engines whose entries expired during an outage of the service are back
# within about this time.
FIRST_ENGINES_WAIT_MS = 2_000
# Share of a request's time that it waits for them; the rest is left to run it.
FIRST_ENGINES_WAIT_SHARE = 0.5
START_POLL_INTERVAL_MS = 10
# Time before the end of a shutdown in which the last answers are written.
LAST_ANSWERS_MS = 200


class HostRouteGateway:
    """Admits, forwards and records the requests that the HTTP server receives.

    Parameters
    ----------
    fleet : FleetView
        The node's view of the fleet.
    revisions : Revisions
        Configuration revisions and their age.
    forwarder : Forwarder
        Forwards requests to engines.
    request_counter : RequestCounter
        Counter of requests in progress.
    drain : DrainController
        Stage of the graceful shutdown.
    clock : Clock
        Source of time.
    metrics : Metrics
        The node's metrics.
    timeline : Timeline
        The node's events.
    """

    def __init__(
        self,
        fleet,
        revisions,
        forwarder,
        request_counter,
        drain,
        clock,
        metrics,
        timeline,
    ):
        self.fleet = fleet
        self.clock = clock
        self._revisions = revisions
        self._forwarder = forwarder
        self._request_counter = request_counter
        self._drain = drain
        self._metrics = metrics
        self._timeline = timeline
        self._started_ms = clock.now()
        self._configured_ms = None
        self._running_limits = set()

    @property
    def leaving(self):
        """Whether callers are asked to send no more requests on their connection."""
        return not self._drain.ready

    def check_accepting(self):
        """Raise a `RequestRefused` if the node takes no more requests."""
        if not self._drain.admit_request():
            text = "this node is shutting down"
            raise RequestRefused("closing", text, 503, RETRY_AFTER_MS)

    def limit_running(self):
        """Let the requests in progress end with an answer before the node ends."""
        loop = asyncio.get_running_loop()
        left_ms = max(0, self._drain.remaining_ms() - LAST_ANSWERS_MS)
        end_s = loop.time() + left_ms / MS_PER_S
        for limit in self._running_limits:
            if limit.when() > end_s:
                limit.reschedule(end_s)

    def begin(self):
        """Count a request as in progress."""
        self._request_counter.begin()
        self._metrics.in_progress.inc()

    def end(self):
        """Count a request as ended."""
        self._request_counter.end()
        self._metrics.in_progress.dec()

    async def wait_for_configuration(self):
        """Wait up to `START_WAIT_MS` after the node's start for a configuration."""
        end_ms = self._started_ms + START_WAIT_MS
        while not self.fleet.configuration.revision and self.clock.now() < end_ms:
            await asyncio.sleep(START_POLL_INTERVAL_MS / 1000)
        if self._configured_ms is None and self.fleet.configuration.revision:
            self._configured_ms = self.clock.now()

    async def _wait_for_first_engines(self, forward):
        """Wait until a model of the route has had an engine since this node started."""
        models = {target.model for target in forward.route.targets}
        left_ms = forward.end_ms - self.clock.now()
        end_ms = min(
            self._configured_ms + FIRST_ENGINES_WAIT_MS,
            self.clock.now() + left_ms * FIRST_ENGINES_WAIT_SHARE,
        )
        while models.isdisjoint(self.fleet.seen_models) and self.clock.now() < end_ms:
            await asyncio.sleep(START_POLL_INTERVAL_MS / 1000)

    def admit(self, host, path, key):
        """Return the route of a request and the customer that owns its API key.

        Parameters
        ----------
        host, path : str
            Host and path of the request.
        key : str or None
            API key of the caller.

        Returns
        -------
        route : HostRoute
            The route.
        customer : Customer or None
            None on a public route, or if the configuration requires no keys.

        Raises
        ------
        RequestRefused
            With status 404 for an unknown route, 401 for an unknown key, or 503 if the
            configuration is missing or may be out of date.
        """
        if not self.fleet.configuration.revision:
            text = "this node has no configuration yet"
            raise RequestRefused("no-configuration", text, 503, RETRY_AFTER_MS)
        route = self.fleet.find_route(host, path)
        if route is None:
            raise self._make_refusal("unknown-route", f"no route for {host}{path}", 404)
        if route.public or not self.fleet.configuration.bounds.keys_required:
            return route, None
        digest = hashlib.sha256((key or "").encode("latin-1", "replace")).hexdigest()
        customer = self.fleet.find_customer(digest)
        if customer is None:
            raise self._make_refusal("unknown-key", "the API key is not known", 401)
        return route, customer

    def _make_refusal(self, code, text, status):
        if self._revisions.age_ms() > STALE_CONFIGURATION_MS:
            text = "this node's configuration may be out of date"
            return RequestRefused("stale-configuration", text, 503, RETRY_AFTER_MS)
        return RequestRefused(code, text, status)

    async def run(self, forward, sink):
        """Forward a request until its deadline or the node's end; see `Forwarder.run`.

        Parameters
        ----------
        forward : ForwardedRequest
            The request.
        sink : ResponseSink
            Receives a streamed response.

        Raises
        ------
        EndpointFailed
            With status 504 if the deadline passes.
        RequestRefused
            If it passes before the request was sent to an engine, or if the node may
            end before it.
        """
        left_ms = max(1, forward.end_ms - self.clock.now())
        if not self._drain.has_time_for(left_ms + LAST_ANSWERS_MS):
            text = "this node shuts down before the request's deadline"
            raise RequestRefused("closing", text, 503, RETRY_AFTER_MS)
        limit = asyncio.timeout(left_ms / MS_PER_S)
        self._running_limits.add(limit)
        try:
            async with limit:
                if self._configured_ms is not None:
                    await self._wait_for_first_engines(forward)
                return await self._forwarder.run(forward, sink)
        except TimeoutError:
            if not forward.is_sent:
                text = "no engine was free before the request's deadline"
                raise RequestRefused("deadline", text, 503, RETRY_AFTER_MS) from None
            text = "no engine answered before the request's deadline"
            verdict = Verdict.MAY_HAVE_RUN
            raise EndpointFailed("timeout", text, verdict, 504) from None
        finally:
            self._running_limits.discard(limit)

    def record_first_byte(self, arrived_ms):
        """Record the time to the first byte of an engine's response.

        Parameters
        ----------
        arrived_ms : int
            Monotonic time in ms at which the request arrived.
        """
        took_ms = self.clock.now() - arrived_ms
        self._metrics.first_byte.observe(took_ms / MS_PER_S)

    def record_end(self, request_id, arrived_ms, status):
        """Record a request whose response was received completely.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        arrived_ms : int
            Monotonic time in ms of its arrival.
        status : int
            HTTP status of the response.
        """
        self._count_outcome("ok", Verdict.RAN)
        inputs = {"status": status, "took_ms": self.clock.now() - arrived_ms}
        self._timeline.record("request-ended", inputs, request_id=request_id)

    def record_failure(self, request_id, arrived_ms, error):
        """Record a request that ended without a complete response of an engine.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        arrived_ms : int
            Monotonic time in ms of its arrival.
        error : RequestError
            Reason, with the verdict whether the request may have run.
        """
        self._count_outcome(error.code, error.verdict)
        refused = error.verdict is Verdict.NOT_RUN
        inputs = {
            "code": error.code,
            "verdict": error.verdict.value,
            "took_ms": self.clock.now() - arrived_ms,
            "configuration": self.fleet.configuration.revision,
            "configuration_age_ms": self._revisions.age_ms(),
        }
        kind = "request-refused" if refused else "request-failed"
        self._timeline.record(kind, inputs, request_id=request_id, detail=str(error))

    def record_caller_gone(self, request_id, arrived_ms):
        """Record a request whose caller closed the connection.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        arrived_ms : int
            Monotonic time in ms of its arrival.
        """
        self._count_outcome("caller-gone", Verdict.MAY_HAVE_RUN)
        inputs = {"code": "caller-gone", "took_ms": self.clock.now() - arrived_ms}
        self._timeline.record("request-failed", inputs, request_id=request_id)

    def _count_outcome(self, outcome, verdict):
        self._metrics.requests.labels("any", outcome).inc()
        self._metrics.verdicts.labels(verdict.value).inc()
