"""Routes calls of plain services: which endpoint, and whether again."""

from attrs import frozen

from peridotcove.endpoints.services import Call
from peridotcove.exceptions import RequestRefused, TicketRefused
from peridotcove.models import LifecycleStatus
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
OWN_PREFIX = "peridotcove-"
TICKET = "Peridotcove-Ticket"
SENTENCES = {
    "ticket-needed": "send the call again with the ticket in Peridotcove-Ticket",
    "ticket-invalid": "the ticket is not one of this fleet",
    "ticket-of-other-customer": "the ticket belongs to another customer",
    "ticket-bound": "the ticket was used for another call",
    "ticket-expired": "the ticket has expired",
    "ticket-spent": "the ticket was refused before; take the new one",
    "ticket-home-gone": "the node that knows what became of the call is gone",
    "ticket-home-unreachable": "the node that knows what became of it is silent",
    "outcome-unknown": "the endpoint gave no whole answer",
}
HOP_BY_HOP = {
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
KEPT_FROM_ENDPOINT = HOP_BY_HOP | {"authorization", "x-api-key", "x-request-id"}
KEPT_FROM_CALLER = HOP_BY_HOP | {"server", "date", "x-request-id"}


@frozen
class CallReply:
    """The answer to a call of a plain service.

    Attributes
    ----------
    status : int
        HTTP status.
    headers : tuple of tuple
        Names and values of header fields for the caller.
    body : bytes
        Body.
    verdict : Verdict
        Whether the call ran.
    """

    status: int
    headers: tuple
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
    states : EndpointStates
        Which endpoints take new work.
    client : ServiceClient
        HTTP towards endpoints.
    entry_limiter : EntryLimits
        Customers' rates.
    limits : Limits
        Longest wait for an answer.
    rng : random.Random
        Source of jitter and of ties.
    metrics : Metrics
        The node's metrics.

    Attributes
    ----------
    once : Once or None
        Runs calls that may not be repeated.
    """

    def __init__(
        self, zone, fleet, states, client, entry_limiter, limits, rng, metrics
    ):
        self.call_executor = None
        self._zone = zone
        self._fleet = fleet
        self._states = states
        self._client = client
        self._entry_limits = entry_limiter
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
        service = self._find(name)
        ticket = request.headers.get(TICKET, "")
        if not ticket:
            self._entry_limits.admit(customer)
        path = path or "/"
        target = f"{path}?{request.query}" if request.query else path
        headers = _keep(request.headers.get_all(), KEPT_FROM_ENDPOINT)
        headers += (("X-Request-Id", request_id.hex()),)
        if service.repeatable(request.method, path):
            call = Call(request.method, target, headers, request.body)
            answer = await self._send_somewhere(service, call, True)
        else:
            answer = await self._run_once(
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
        passed = _keep(answer.headers, KEPT_FROM_CALLER)
        return CallReply(answer.status, passed, answer.body, answer.verdict)

    async def run_ticketed(self, call):
        """Send a call that may not be repeated, once, and return the answer.

        Parameters
        ----------
        call : TicketedCall
            The call; its ticket is used up.

        Raises
        ------
        RequestError
            With the verdict "not run" only if nothing was sent.
        """
        service = self._find(call.service)
        key = call.ticket
        plain = Call(call.method, call.path, call.headers, call.body, key)
        return await self._send_somewhere(service, plain, False)

    def _find(self, name):
        service = self._fleet.configuration.service_by_name.get(name)
        if service is None:
            raise RequestRefused("unknown-service", f"no service {name!r}", 404)
        return service

    async def _run_once(self, call):
        reply = await self.call_executor.call(call, TICKET_WAIT_MS)
        if not reply.code:
            return reply.answer
        text = SENTENCES.get(reply.code, "the call was not answered")
        answer = reply.answer
        raise TicketRefused(
            reply.code, text, answer.status, answer.verdict, reply.ticket
        )

    async def _send_somewhere(self, service, call, repeatable):
        self._budget.share = self._fleet.configuration.bounds.retry_share
        tried = set()

        def attempt(number):
            endpoint = self._pick_endpoint(service, tried)
            tried.add(endpoint.name)
            return self._send(endpoint, call, repeatable)

        policy = RetryPolicy(
            self._budget,
            self._rng,
            lambda error, tries: (
                tries < MAX_TRIES
                and error.code != NO_ENDPOINT
                and may_repeat(error, repeatable, False)
            ),
            lambda error, tries: self._metrics.retries.inc(),
        )
        return await run_tries(policy, attempt)

    async def _send(self, endpoint, call, repeatable):
        load = self._load_by_endpoint
        load[endpoint.name] = load.get(endpoint.name, 0) + 1
        try:
            return await self._client.call(
                endpoint.url,
                call,
                self._limits.first_byte_ms,
                repeatable,
                lambda: self._states.check_available(endpoint.name),
            )
        finally:
            load[endpoint.name] -= 1

    def _pick_endpoint(self, service, tried):
        leaving = set(self._states.leaving())
        usable = [item for item in service.endpoints if item.name not in leaving]
        usable = [item for item in usable if item.status is LifecycleStatus.IN_SERVICE]
        if not usable:
            text = f"no endpoint of {service.name!r} is in service"
            raise RequestRefused(NO_ENDPOINT, text, 503, 5000)
        fresh = [item for item in usable if item.name not in tried] or usable
        return min(fresh, key=self._cost)

    def _cost(self, endpoint):
        load = self._load_by_endpoint.get(endpoint.name, 0)
        return load, endpoint.zone != self._zone, self._rng.random()


def _keep(pairs, left_out):
    return tuple(
        (name, value)
        for name, value in pairs
        if name.lower() not in left_out and not name.lower().startswith(OWN_PREFIX)
    )
