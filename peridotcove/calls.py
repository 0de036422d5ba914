"""Routes calls of plain services: which endpoint, and whether again."""

import asyncio

from attrs import frozen

from peridotcove.endpoints.client import Transfer
from peridotcove.exceptions import RequestError, RequestRefused
from peridotcove.models import Status
from peridotcove.retries import RetryBudget, backoff, may_repeat
from peridotcove.verdict import Verdict

MAX_TRIES = 3
PASSED_TO_ENDPOINT = ("Content-Type", "Accept", "Accept-Language", "If-Match")
PASSED_TO_CALLER = ("Content-Type", "ETag", "Location", "Cache-Control")


@frozen
class CallReply:
    """The answer to a call of a plain service.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : dict
        Header fields for the caller.
    body : bytes
        Body.
    verdict : Verdict
        Whether the call ran.
    """

    status: int
    headers: dict
    body: bytes
    verdict: Verdict


class ServiceRouter:
    """Runs calls of plain services.

    Parameters
    ----------
    zone : str
        Zone of this node.
    fleet : Fleet
        The node's view.
    client : EndpointClient
        HTTP towards endpoints.
    entry_limits : EntryLimits
        Customers' rates.
    limits : Limits
        Waits for first byte and gaps.
    rng : random.Random
        Source of jitter and of ties.
    metrics : Metrics
        The node's metrics.
    """

    def __init__(self, zone, fleet, client, entry_limits, limits, rng, metrics):
        self._zone = zone
        self._fleet = fleet
        self._client = client
        self._entry_limits = entry_limits
        self._limits = limits
        self._rng = rng
        self._metrics = metrics
        self._budget = RetryBudget(fleet.configuration.bounds.retry_share)
        self._load_by_endpoint = {}

    async def run(self, customer, request_id, request, name, path):
        """Run a call and return the reply.

        Parameters
        ----------
        customer : Customer
            Who calls.
        request_id : bytes
            Id of the request.
        request : HTTPServerRequest
            The call.
        name, path : str
            Service and path below it.

        Raises
        ------
        RequestError
            If there is no answer, with the verdict.
        """
        service = self._fleet.configuration.service_by_name.get(name)
        if service is None:
            raise RequestRefused("unknown-service", f"no service {name!r}", 404)
        self._entry_limits.admit(customer)
        path = path or "/"
        repeatable = service.repeatable(request.method, path)
        target = f"{path}?{request.query}" if request.query else path
        headers = _pick(request.headers, PASSED_TO_ENDPOINT)
        headers["X-Request-Id"] = request_id.hex()
        body = (
            request.body if request.body or request.method in ("POST", "PUT") else None
        )
        return await self._repeat(
            service, request.method, target, headers, body, repeatable
        )

    async def _repeat(self, service, method, target, headers, body, repeatable):
        self._budget.deposit()
        tries, doubt, tried = 0, None, set()
        while True:
            tries += 1
            endpoint = self._pick_endpoint(service, tried)
            tried.add(endpoint.name)
            try:
                return await self.send(endpoint, method, target, headers, body, False)
            except RequestError as error:
                if error.verdict is not Verdict.NOT_RUN:
                    doubt = error
                again = tries < MAX_TRIES and may_repeat(error, repeatable, False)
                if not again or not self._budget.withdraw():
                    raise doubt or error from None
                self._metrics.retries.inc()
            await asyncio.sleep(backoff(tries, self._rng) / 1000)

    async def send(self, endpoint, method, target, headers, body, fresh):
        """Send a call to one endpoint, once.

        Parameters
        ----------
        endpoint : Endpoint
            The server.
        method, target : str
            HTTP method, path and query.
        headers : dict
            Header fields.
        body : bytes or None
            Body.
        fresh : bool
            Whether to take a fresh connection, as calls that may not be repeated must.

        Raises
        ------
        EndpointFailed
            If there is no whole answer, with the verdict.
        """
        transfer = Transfer(self._limits.first_byte_ms, self._limits.gap_ms)
        transfer.fresh = fresh
        load = self._load_by_endpoint
        load[endpoint.name] = load.get(endpoint.name, 0) + 1
        try:
            url = endpoint.url + target
            reply = await self._client.fetch(method, url, headers, body, transfer)
        finally:
            load[endpoint.name] -= 1
        passed = _pick(reply.headers, PASSED_TO_CALLER)
        return CallReply(reply.status, passed, reply.body, Verdict.RAN)

    def _pick_endpoint(self, service, tried):
        usable = [
            item for item in service.endpoints if item.status is Status.IN_SERVICE
        ]
        if not usable:
            text = f"no endpoint of {service.name!r} is in service"
            raise RequestRefused("no-endpoint", text, 503, 5000)
        fresh = [item for item in usable if item.name not in tried] or usable
        return min(fresh, key=self._cost)

    def _cost(self, endpoint):
        load = self._load_by_endpoint.get(endpoint.name, 0)
        return load, endpoint.zone != self._zone, self._rng.random()


def _pick(headers, names):
    return {name: headers[name] for name in names if name in headers}
