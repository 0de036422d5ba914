"""Routes calls to plain services: chooses an endpoint and retries failed calls."""

from attrs import frozen

from peridotcove.endpoints.service_client import HttpCall
from peridotcove.exceptions import RequestRefused, TicketRefused
from peridotcove.models import LifecycleStatus
from peridotcove.residency import (
    NO_REGION,
    RETRY_AFTER_MS,
    check_engine,
    find_region_limit,
    find_zone_region,
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
from peridotcove.ticketed_calls import TicketedCall
from peridotcove.verdict import Verdict

TICKET_WAIT_MS = 10_000
NO_ENDPOINT = "no-endpoint"
OWN_HEADER_PREFIX = "peridotcove-"
TICKET_HEADER = "Peridotcove-Ticket"
MESSAGE_BY_CODE = {
    "ticket-needed": "send the call again with the ticket in Peridotcove-Ticket",
    "ticket-invalid": "the ticket is malformed or was not issued by this fleet",
    "ticket-of-other-customer": "the ticket belongs to another customer",
    "ticket-bound": "the ticket was already used for another call",
    "ticket-expired": "the ticket has expired",
    "ticket-spent": "the ticket's call was not run; use the new ticket",
    "ticket-home-gone": "the node that recorded the outcome of the call is gone",
    "ticket-home-outside": "the node that recorded the outcome of the call is outside "
    "of the customer's regions",
    "ticket-home-unreachable": "the node that recorded the outcome did not answer",
    "outcome-unknown": "the endpoint gave no complete answer",
}
HOP_BY_HOP_HEADERS = {
    "connection",
    "content-length",
    "expect",
    "host",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
}
NOT_SENT_TO_ENDPOINT = HOP_BY_HOP_HEADERS | {
    "authorization",
    "x-api-key",
    "x-request-id",
}
NOT_SENT_TO_CALLER = HOP_BY_HOP_HEADERS | {"server", "date", "x-request-id"}


@frozen
class CallReply:
    """The answer to a call to a plain service.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple
        Names and values of header fields for the caller.
    body : bytes
        Complete body.
    verdict : Verdict
        Whether the call may have run.
    """

    status: int
    headers: tuple
    body: bytes
    verdict: Verdict


class ServiceRouter:
    """Runs calls to plain services.

    Parameters
    ----------
    zone : str
        Zone of this node.
    fleet : FleetView
        The node's view of the fleet.
    states : EndpointStates
        Which endpoints accept new requests.
    client : ServiceClient
        HTTP client for endpoints.
    entry_limiter : EntryRateLimiter
        Limits the request rates of customers.
    limits : Limits
        Limits of the node; gives the longest wait for an answer.
    rng : random.Random
        Source of jitter; breaks ties between endpoints.
    metrics : Metrics
        The node's metrics.

    Attributes
    ----------
    call_executor : TicketedCallExecutor or None
        Runs calls that may not be repeated; set after construction.
    """

    def __init__(
        self, zone, fleet, states, client, entry_limiter, limits, rng, metrics
    ):
        self.call_executor = None
        self._zone = zone
        self._fleet = fleet
        self._states = states
        self._client = client
        self._entry_limiter = entry_limiter
        self._limits = limits
        self._rng = rng
        self._metrics = metrics
        self._budget = RetryBudget(fleet.configuration.bounds.retry_share)
        self._load_by_endpoint = {}

    async def run(self, customer, request_id, request, name, path):
        """Run a call and return its `CallReply`.

        Parameters
        ----------
        customer : Customer
            The customer that calls.
        request_id : bytes
            Id of the request.
        request : HTTPServerRequest
            The call.
        name, path : str
            Name of the service, and the path below it.

        Raises
        ------
        RequestError
            If there is no answer; it carries the verdict.
        """
        service = self._find_service(name)
        ticket = request.headers.get(TICKET_HEADER, "")
        if not ticket:
            self._entry_limiter.admit(customer)
        path = path or "/"
        target = f"{path}?{request.query}" if request.query else path
        headers = _filter_headers(request.headers.get_all(), NOT_SENT_TO_ENDPOINT)
        headers += (("X-Request-Id", request_id.hex()),)
        if service.repeatable(request.method, path):
            call = HttpCall(request.method, target, headers, request.body)
            answer = await self._send_with_retries(service, call, True, customer)
        else:
            answer = await self._run_at_most_once(
                TicketedCall(
                    ticket,
                    customer.name,
                    request.method,
                    name,
                    target,
                    headers,
                    request.body,
                )
            )
        passed = _filter_headers(answer.headers, NOT_SENT_TO_CALLER)
        return CallReply(answer.status, passed, answer.body, answer.verdict)

    async def run_ticketed(self, call):
        """Run a call that may not be repeated and return the endpoint's answer.

        Parameters
        ----------
        call : TicketedCall
            The call; its ticket is marked as used.

        Raises
        ------
        RequestError
            If there is no answer. The verdict is "not run" only if nothing was sent.
        """
        service = self._find_service(call.service)
        key = call.ticket
        service_call = HttpCall(call.method, call.path, call.headers, call.body, key)
        customer = self._fleet.configuration.customer_by_name.get(call.customer)
        if customer is None:
            text = f"customer {call.customer!r} is not in this node's configuration"
            raise RequestRefused("unknown-customer", text, 503, RETRY_AFTER_MS)
        return await self._send_with_retries(service, service_call, False, customer)

    def _find_service(self, name):
        service = self._fleet.configuration.service_by_name.get(name)
        if service is None:
            raise RequestRefused("unknown-service", f"no service {name!r}", 404)
        return service

    async def _run_at_most_once(self, call):
        reply = await self.call_executor.call(call, TICKET_WAIT_MS)
        if not reply.code:
            return reply.answer
        text = MESSAGE_BY_CODE.get(reply.code, "the call was not answered")
        answer = reply.answer
        raise TicketRefused(
            reply.code, text, answer.status, answer.verdict, reply.ticket
        )

    async def _send_with_retries(self, service, call, repeatable, customer):
        self._budget.share = self._fleet.configuration.bounds.retry_share
        tried = set()

        def attempt(number):
            endpoint = self._pick_endpoint(service, tried, customer)
            tried.add(endpoint.name)
            return self._send(endpoint, call, repeatable, customer)

        policy = RetryPolicy(
            self._budget,
            self._rng,
            lambda error, tries: (
                tries < MAX_TRIES
                and error.code not in (NO_ENDPOINT, NO_REGION)
                and may_repeat(error, repeatable, False)
            ),
            lambda error, tries: self._metrics.retries.inc(),
        )
        return await run_tries(policy, attempt)

    def _check_endpoint(self, endpoint, customer):
        self._states.check_available(endpoint.name)
        configuration = self._fleet.configuration
        limit = find_region_limit(configuration, customer=customer)
        check_engine(configuration, endpoint, limit)

    async def _send(self, endpoint, call, repeatable, customer):
        load = self._load_by_endpoint
        load[endpoint.name] = load.get(endpoint.name, 0) + 1
        try:
            return await self._client.call(
                endpoint.url,
                call,
                self._limits.first_byte_ms,
                repeatable,
                lambda: self._check_endpoint(endpoint, customer),
            )
        finally:
            load[endpoint.name] -= 1

    def _pick_endpoint(self, service, tried, customer):
        leaving = set(self._states.leaving())
        usable = [item for item in service.endpoints if item.name not in leaving]
        usable = [item for item in usable if item.status is LifecycleStatus.IN_SERVICE]
        if not usable:
            text = f"no endpoint of service {service.name!r} is in service"
            raise RequestRefused(NO_ENDPOINT, text, 503, 5000)
        configuration = self._fleet.configuration
        limit = find_region_limit(configuration, customer=customer)
        inside = [
            item for item in usable if may_pass_through(configuration, item.zone, limit)
        ]
        if not inside:
            regions = {find_zone_region(configuration, item.zone) for item in usable}
            raise make_unserved_error(service.name, limit, regions)
        usable = inside
        untried = [item for item in usable if item.name not in tried] or usable
        return min(untried, key=self._rank_endpoint)

    def _rank_endpoint(self, endpoint):
        load = self._load_by_endpoint.get(endpoint.name, 0)
        return load, endpoint.zone != self._zone, self._rng.random()


def _filter_headers(pairs, excluded):
    return tuple(
        (name, value)
        for name, value in pairs
        if name.lower() not in excluded
        and not name.lower().startswith(OWN_HEADER_PREFIX)
    )
