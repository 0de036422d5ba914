"""Admits requests by host route, and runs them for as long as their caller waits."""

import asyncio
import hashlib

from peridotcove.clock import MS_PER_S
from peridotcove.exceptions import EndpointFailed, RequestRefused
from peridotcove.verdict import Verdict

# A node that has heard neither the service nor a reader for this long may lack keys
# and routes that are in force elsewhere, and says so rather than that there are none.
STALE_MS = 4_000
RETRY_AFTER_MS = 500
# Longest time in ms after its start for which a node without a configuration lets
# requests wait: some calls to the service, or one to a peer. A caller that is refused
# comes back no sooner.
START_MS = 1_000
START_STEP_MS = 10


class HostRouteGateway:
    """What the server towards callers works with.

    Parameters
    ----------
    fleet : Fleet
        The node's view.
    revisions : Revisions
        The configuration and its age.
    forwarder : Forwarder
        Passes requests on.
    activity : Activity
        Requests in progress.
    drain : Drain
        Says whether the node leaves.
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
        activity,
        drain,
        clock,
        metrics,
        timeline,
    ):
        self.fleet = fleet
        self.clock = clock
        self._revisions = revisions
        self._forwarder = forwarder
        self._activity = activity
        self._drain = drain
        self._metrics = metrics
        self._timeline = timeline
        self._started_ms = clock.now()

    @property
    def leaving(self):
        """Whether callers are to open no further request on their connection."""
        return not self._drain.ready

    def begin(self):
        """Count a request as in progress."""
        self._activity.begin()
        self._metrics.in_progress.inc()

    def end(self):
        """Count a request as ended."""
        self._activity.end()
        self._metrics.in_progress.dec()

    async def wait_for_configuration(self):
        """Wait a little for the first configuration of a node that has just started."""
        end_ms = self._started_ms + START_MS
        while not self.fleet.configuration.revision and self.clock.now() < end_ms:
            await asyncio.sleep(START_STEP_MS / 1000)

    def admit(self, host, path, key):
        """Return the route of a request and the customer who pays.

        Parameters
        ----------
        host, path : str
            Host and path that the caller names.
        key : str or None
            API key of the caller.

        Returns
        -------
        route : HostRoute
            The route.
        customer : Customer or None
            None on a public route, or where no keys are required.

        Raises
        ------
        RequestRefused
            With status 404 or 401, or 503 while this node can't know.
        """
        if not self.fleet.configuration.revision:
            text = "this node has no configuration yet"
            raise RequestRefused("no-configuration", text, 503, RETRY_AFTER_MS)
        route = self.fleet.find_route(host, path)
        if route is None:
            raise self._unknown("unknown-route", f"no route for {host}{path}", 404)
        if route.public or not self.fleet.configuration.bounds.keys_required:
            return route, None
        digest = hashlib.sha256((key or "").encode("latin-1", "replace")).hexdigest()
        customer = self.fleet.find_customer(digest)
        if customer is None:
            raise self._unknown("unknown-key", "the API key is not known", 401)
        return route, customer

    def _unknown(self, code, text, status):
        if self._revisions.age_ms() > STALE_MS:
            text = "this node's configuration may be out of date"
            return RequestRefused("stale-configuration", text, 503, RETRY_AFTER_MS)
        return RequestRefused(code, text, status)

    async def run(self, forward, sink):
        """Pass a request on; see `Forwarder.run`.

        Parameters
        ----------
        forward : Forward
            The request.
        sink : Sink
            Takes a streamed answer.
        """
        left_ms = max(1, forward.end_ms - self.clock.now())
        try:
            async with asyncio.timeout(left_ms / 1000):
                return await self._forwarder.run(forward, sink)
        except TimeoutError:
            text = "no answer in time"
            verdict = Verdict.MAY_HAVE_RUN
            raise EndpointFailed("timeout", text, verdict, 504) from None

    def record_first_byte(self, arrived_ms):
        """Observe the time to the first byte of an engine's answer.

        Parameters
        ----------
        arrived_ms : int
            Monotonic time in ms at which the request arrived.
        """
        took_ms = self.clock.now() - arrived_ms
        self._metrics.first_byte.observe(took_ms / MS_PER_S)

    def record_end(self, request_id, arrived_ms, status):
        """Record a request whose whole answer has been passed on.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        arrived_ms : int
            Monotonic time in ms of its arrival.
        status : int
            HTTP status of the answer.
        """
        self._count("ok", Verdict.RAN)
        inputs = {"status": status, "took_ms": self.clock.now() - arrived_ms}
        self._timeline.record("request-ended", inputs, request_id=request_id)

    def record_failure(self, request_id, arrived_ms, error):
        """Record a request that ends without an engine's whole answer.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        arrived_ms : int
            Monotonic time in ms of its arrival.
        error : RequestError
            Why, and whether it may have run.
        """
        self._count(error.code, error.verdict)
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
        """Record a request whose caller has closed its connection.

        Parameters
        ----------
        request_id : bytes
            Id of the request.
        arrived_ms : int
            Monotonic time in ms of its arrival.
        """
        self._count("caller-gone", Verdict.MAY_HAVE_RUN)
        inputs = {"code": "caller-gone", "took_ms": self.clock.now() - arrived_ms}
        self._timeline.record("request-failed", inputs, request_id=request_id)

    def _count(self, outcome, verdict):
        self._metrics.requests.labels("any", outcome).inc()
        self._metrics.verdicts.labels(verdict.value).inc()
